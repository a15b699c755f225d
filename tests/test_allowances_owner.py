"""Tests of the buckets of an owner and of the grants of a node."""

from testtools import TestCase

from verbenawick.allowances._delegations import (
    MAX_AVOIDANCE_S,
    NODE_COUNT_FALL_S,
    Delegations,
    NodeCount,
)
from verbenawick.allowances._grants import REFUSAL_HOLD_S, GrantPool
from verbenawick.allowances._messages import AllowanceAsk
from verbenawick.allowances._model import (
    AHEAD_S,
    GRANT_S,
    WINDOW_S,
    Grant,
    Tolerance,
    group_of,
)
from verbenawick.allowances._owner import AllowanceOwner, Bucket
from verbenawick.workspaces._model import Workspace, Workspaces

ACME = Workspace("acme", None, 10.0, 10.0)
EPOCH = 7


def ask(waiting: int, *, epoch: int = EPOCH, nodes: int = 2, until: float = 100.0):
    """Return an ask for `ACME` that delegates one share of `nodes`."""
    wanted = {"acme": waiting}
    return AllowanceAsk(1, group_of("acme"), epoch, nodes, until, wanted)


class BucketTest(TestCase):
    """One bucket with all shares."""

    def test_tolerance_is_kept_in_each_window(self):
        """Callers within the operator's tolerance would be refused for nothing."""
        for rate, burst in ((1.0, 1.0), (26.0, 26.0), (187.0, 400.0)):
            bucket = Bucket(
                Workspace("a", None, rate, burst), 0.0, tolerance=Tolerance(0.1, 20.0)
            )
            bucket.set_fraction(1.0, 0.0)
            bucket.grant(1000, 30.0)
            # A full bucket, then all that it gets until the last grant can be used.
            granted = bucket.depth + bucket.rate_per_s * (WINDOW_S + GRANT_S)
            allowance = rate * WINDOW_S + burst
            self.assertLessEqual(granted, 1.1 * allowance + 20)
            self.assertGreater(granted, 1.02 * allowance)

    def setUp(self):
        super().setUp()
        self.bucket = Bucket(ACME, 0.0)

    def test_a_gained_share_adds_no_content(self):
        """Guards against a burst that two owners grant one after the other."""
        self.bucket.set_fraction(1.0, 50.0)
        self.assertEqual(0, self.bucket.grant(5, 50.0))
        self.assertEqual(5, self.bucket.grant(5, 50.5))

    def test_grants_ahead_take_the_place_of_the_burst(self):
        """Guards against kept grants that are used on top of a full bucket."""
        self.bucket.set_fraction(1.0, 0.0)
        self.bucket.accrue(10.0)
        ahead = self.bucket.grant_ahead(50, 10.0)
        self.assertEqual(5, ahead)
        self.assertEqual(10 - ahead, self.bucket.grant(50, 10.0 + 0.9 * AHEAD_S))
        self.assertEqual(10, self.bucket.grant(50, 20.0))

    def test_refused_requests_get_times_at_the_rate(self):
        """Guards against refused callers that all come back at the same instant."""
        self.bucket.set_fraction(1.0, 0.0)
        first_s, _ = self.bucket.refuse(2, 4, 0.0)
        second_s, spacing_s = self.bucket.refuse(1, 4, 0.0)
        self.assertAlmostEqual(0.1, first_s)
        self.assertAlmostEqual(0.3, second_s)
        self.assertAlmostEqual(0.4, spacing_s)


class AllowanceOwnerTest(TestCase):
    """Delegations to one owner."""

    def setUp(self):
        super().setUp()
        self.owner = AllowanceOwner(epoch=EPOCH)
        self.workspaces = Workspaces({"acme": ACME})
        self.owner.put_in_force(self.workspaces, 0.0)

    def granted(self, message: AllowanceAsk, now: float, node_id: str = "a") -> int:
        """Return the grants that a node gets."""
        return self.owner.answer(node_id, message, now).granted_by_name.get("acme", 0)

    def test_idle_shares_serve_the_node_with_the_demand(self):
        """Guards against refusals for want of a share at one node."""
        self.granted(ask(0), 0.0, "a")
        self.granted(ask(0), 0.0, "b")
        self.assertEqual(10, self.granted(ask(50), 4.0, "a"))

    def test_delegation_to_an_earlier_process_does_not_count(self):
        """Guards against a share that a restarted owner takes for its own."""
        self.granted(ask(0, epoch=EPOCH - 1), 0.0)
        self.assertEqual(0, self.granted(ask(5, epoch=0), 10.0))

    def test_released_owner_grants_nothing(self):
        """Guards against shares that a stopping owner and the next one both use."""
        self.granted(ask(0), 0.0)
        self.owner.release()
        self.owner.put_in_force(self.workspaces, 1.0)
        answer = self.owner.answer("a", ask(5), 5.0)
        self.assertEqual((0, {}), (answer.epoch, answer.granted_by_name))

    def test_lower_limit_also_cuts_what_was_saved_up(self):
        """Guards against a burst of the earlier limit after a new version."""
        self.granted(ask(0, nodes=1), 0.0)
        lower = Workspace("acme", None, 2.0, 4.0)
        self.owner.put_in_force(Workspaces({"acme": lower}), 10.0)
        self.assertEqual(4, self.granted(ask(50, nodes=1), 10.0))


class GrantPoolTest(TestCase):
    """Grants and refusals of a node."""

    def setUp(self):
        super().setUp()
        self.pool = GrantPool()

    def test_grant_of_a_request_that_did_not_run_is_used_again_in_time(self):
        """Guards against credit lost by refusals, and against grants that last."""
        self.pool.add("acme", 1, GRANT_S, 0.0)
        grant = self.pool.take("acme", 0.0)
        self.assertIsNone(self.pool.take("acme", 0.0))
        self.assertTrue(self.pool.give_back(grant, 0.1))
        self.assertEqual(Grant("acme", GRANT_S), self.pool.take("acme", 0.2))
        self.assertFalse(self.pool.give_back(grant, GRANT_S))

    def test_refusal_holds_briefly_and_spreads_the_callers(self):
        """Guards against an ask for each request of a workspace over its allowance."""
        self.pool.put_refusal("acme", 0.2, 0.1, 0.0)
        self.assertTrue(self.pool.is_refusing("acme", 0.05))
        self.assertFalse(self.pool.is_refusing("acme", REFUSAL_HOLD_S))
        times = [round(self.pool.retry_after_s("acme", 0.0), 6) for _ in range(3)]
        self.assertEqual([0.2, 0.3, 0.4], times)


class NodeCountTest(TestCase):
    """Number of nodes that share an allowance."""

    def test_rise_counts_at_once_and_a_fall_later(self):
        """Guards against larger shares while others still divide by more nodes."""
        count = NodeCount()
        count.put(10, 0.0)
        count.put(8, 1.0)
        count.put(9, 2.0)
        self.assertEqual(10, count.value(0.9 + NODE_COUNT_FALL_S))
        self.assertEqual(9, count.value(1.0 + NODE_COUNT_FALL_S))
        count.put(12, 7.0)
        self.assertEqual(12, count.value(7.0))


class DelegationsTest(TestCase):
    """Owners that are asked."""

    def setUp(self):
        super().setUp()
        self.delegations = Delegations(starts_at=0.0)
        self.delegations.put_nodes(frozenset({"a", "b"}), 0.0)

    def owners(self, now: float) -> list[str]:
        """Return the owners that are asked for calls."""
        return list(self.delegations.owners_to_ask(0, now, lambda node_id: True))

    def test_lost_owner_is_probed_less_and_less_often(self):
        """Guards against calls that wait each second for an owner that is gone."""
        first_id, next_id = self.owners(0.0)
        self.delegations.on_failure(first_id, 0.0)
        probed_at = []
        for now in (quarter / 4 for quarter in range(100)):
            self.assertEqual([next_id], self.owners(now))
            if self.delegations.owners_to_probe(now):
                probed_at.append(now)
                self.delegations.on_failure(first_id, now)
        expected = [0.25, 0.75, 1.75, 3.75, 7.75, 15.75, 15.75 + MAX_AVOIDANCE_S]
        self.assertEqual(expected, probed_at)

    def test_lost_owner_keeps_a_share_only_until_the_delegation_ends(self):
        """Guards against each try of a lost owner renewing the delegation to it."""
        first_id, next_id = self.owners(0.0)
        for owner_id in (first_id, next_id):
            self.delegations.on_answer(owner_id, 5, 0.0, sent_at=0.0, now=0.0)
        self.delegations.delegate(0, first_id, 0.0, lambda node_id: True)
        self.delegations.on_failure(first_id, 0.4)
        for now in (1.4, 1.6):
            self.delegations.delegate(0, first_id, now, lambda node_id: True)
            self.delegations.delegate(0, next_id, now, lambda node_id: True)
        self.assertEqual(next_id, self.delegations.holder(0, 1.7))
