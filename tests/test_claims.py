"""At-most-once execution of keys when owners, entries and upstreams fail."""

from testtools import TestCase
from testtools.matchers import Equals

from tests.claim_fakes import (
    KEY,
    CoordinatorMesh,
    answer,
    lose_answer,
    member,
    ranked_nodes,
)
from verbenawick.claims._claim_messages import ProcessRef, SealRequest
from verbenawick.claims._claim_records import ClaimLimits
from verbenawick.claims._claims import RETURN_TIME_S
from verbenawick.links._members import MemberState


class ClaimTestCase(TestCase):
    """Base class with the assertions shared by the claim tests."""

    def expect(self, decision, verdict: str, code: str = "") -> None:
        """Check verdict and code of a decision."""
        self.assertThat((str(decision.verdict), decision.code), Equals((verdict, code)))


class OwnerTest(ClaimTestCase):
    """Record states at a single stable owner."""

    def setUp(self):
        super().setUp()
        self.first, self.second = ranked_nodes(2)
        self.mesh = CoordinatorMesh(self.first, self.second)
        self.owner = self.mesh.coordinator(self.first)

    def test_retry_gets_recorded_answer(self):
        """Guards against a second run after the answer was lost in transit."""
        self.mesh.run(self.first)
        retry = self.mesh.begin(self.first, attempt=2)
        self.expect(retry, "recorded")
        self.assertEqual(answer(), retry.answer)
        self.assertEqual([], self.mesh.network.sent)

    def test_concurrent_request_is_in_progress(self):
        """Guards against two concurrent requests with one key both running."""
        self.expect(self.mesh.begin(self.first), "run")
        for attempt in (1, 2):
            decision = self.mesh.begin(self.first, attempt=attempt)
            self.expect(decision, "in-progress", "claim.in-progress")

    def test_released_key_runs_again(self):
        """Guards against a key that stays claimed after it was proven not run."""
        self.expect(self.mesh.begin(self.first), "run")
        self.owner.release(KEY)
        self.expect(self.mesh.begin(self.first), "run")

    def test_upstream_crash_is_unknown(self):
        """Guards against a second run after the upstream crashed during the first."""
        self.expect(self.mesh.begin(self.first), "run")
        self.owner.mark_unknown(KEY)
        for attempt in (1, 2):
            self.expect(
                self.mesh.begin(self.first, attempt=attempt),
                "unknown",
                "claim.outcome-unknown",
            )
        self.owner.release(KEY)
        self.expect(
            self.mesh.begin(self.first, attempt=3), "unknown", "claim.outcome-unknown"
        )

    def test_reused_key_is_refused(self):
        """Guards against returning the answer of one request to another request."""
        self.expect(self.mesh.begin(self.first), "run")
        other = self.mesh.begin(self.first, fingerprint=b"POST /fee 2", attempt=2)
        self.expect(other, "unknown", "claim.key-reused")
        self.owner.finish(KEY, answer())
        other = self.mesh.begin(self.first, fingerprint=b"POST /fee 2")
        self.expect(other, "unknown", "claim.key-reused")

    def test_large_answer_is_not_kept(self):
        """Guards against unbounded memory, and a second run when no answer was kept."""
        self.mesh.run(self.first, body=b"x" * 70_000)
        retry = self.mesh.begin(self.first, attempt=2)
        self.expect(retry, "unknown", "claim.answer-not-kept")

    def test_invalid_keys(self):
        """Guards against long keys that exceed the memory limit of the table."""
        for key in ("", "k" * 201):
            self.expect(
                self.mesh.begin(self.first, key=key), "refused", "claim.key-invalid"
            )

    def test_not_the_owner(self):
        """Guards against a claim by a node that does not own the key."""
        self.expect(self.mesh.begin(self.second), "refused", "claim.not-owner")
        self.expect(
            self.mesh.begin(self.second, attempt=2), "unknown", "claim.not-owner"
        )
        self.assertEqual(0, len(self.mesh.coordinator(self.second).table))

    def test_node_missing_from_its_own_table(self):
        """Guards against claims by a restarted node that still sees its predecessor."""
        self.mesh.tables[self.first].change(self.first, incarnation=99)
        self.expect(self.mesh.begin(self.first), "refused", "claim.not-owner")

    def test_deadline_passed(self):
        """Guards against a claim for a caller that no longer waits."""
        decision = self.owner.begin(
            KEY, fingerprint=b"", attempt=1, deadline=self.mesh.clock.now()
        )
        self.expect(decision, "refused", "claim.deadline-passed")


class AuthorityTest(ClaimTestCase):
    """Membership must be confirmed recently, at the claim and before sending."""

    def setUp(self):
        super().setUp()
        self.first = ranked_nodes(2)[0]
        self.mesh = CoordinatorMesh(*ranked_nodes(2))
        self.table = self.mesh.tables[self.first]

    def test_no_claim_without_authority(self):
        """Guards against a claim by a node that was replaced during a partition."""
        self.table.authority_until = self.mesh.clock.now()
        self.expect(self.mesh.begin(self.first), "refused", "claim.authority-ended")
        self.expect(
            self.mesh.begin(self.first, attempt=2), "unknown", "claim.authority-ended"
        )

    def test_lapse_between_claim_and_sending(self):
        """Guards against sending by an owner that was paused after its claim."""
        self.expect(self.mesh.begin(self.first), "run")
        self.table.authority_until = self.mesh.clock.now()
        self.assertFalse(self.mesh.coordinator(self.first).confirm(KEY))

    def test_deadline_between_claim_and_sending(self):
        """Guards against sending after the caller was told the outcome is unknown."""
        self.expect(self.mesh.begin(self.first), "run")
        self.mesh.clock.advance(4.9)
        self.assertTrue(self.mesh.coordinator(self.first).confirm(KEY))
        self.mesh.clock.advance(0.1)
        self.assertFalse(self.mesh.coordinator(self.first).confirm(KEY))

    def test_confirm_without_claim(self):
        """Guards against sending a request that was finished or never claimed."""
        coordinator = self.mesh.coordinator(self.first)
        self.assertFalse(coordinator.confirm(KEY))
        self.mesh.run(self.first)
        self.assertFalse(coordinator.confirm(KEY))

    def test_lapse_while_sealing(self):
        """Guards against a claim by an owner that was paused during a seal request."""
        new, old = ranked_nodes(2)
        mesh = CoordinatorMesh(old)
        mesh.join(new, old)

        def pause(receiver, reply):
            mesh.tables[new].authority_until = mesh.clock.now()

        mesh.network.before_answer = pause
        self.expect(mesh.begin(new), "refused", "claim.authority-ended")


class TakeoverTest(ClaimTestCase):
    """A recently joined member asks the possible earlier owners of a key."""

    def setUp(self):
        super().setUp()
        self.new, self.old, self.third = ranked_nodes(3)
        self.mesh = CoordinatorMesh(self.old, self.third)

    def join(self) -> None:
        """Add the new owner to the member table of every node."""
        self.mesh.join(self.new, self.old, self.third)

    def test_record_of_earlier_owner(self):
        """Guards against a run at the new owner after a run at the old one."""
        self.mesh.run(self.old)
        self.join()
        retry = self.mesh.begin(self.new, attempt=2)
        self.expect(retry, "recorded")
        self.assertEqual(b"paid", retry.answer.body)
        self.assertEqual([self.old], [node for node, _ in self.mesh.network.sent])
        self.mesh.crash(self.old, process_ended=True)
        self.expect(self.mesh.begin(self.new, attempt=3), "recorded")

    def test_earlier_owner_still_runs(self):
        """Guards against a second run while the old owner still runs the first."""
        self.expect(self.mesh.begin(self.old), "run")
        self.join()
        self.expect(
            self.mesh.begin(self.new, attempt=2), "in-progress", "claim.in-progress"
        )
        self.mesh.coordinator(self.old).finish(KEY, answer())
        self.expect(self.mesh.begin(self.new, attempt=2), "recorded")

    def test_old_owner_promised(self):
        """Guards against a run at the old owner for an entry with an outdated table."""
        self.join()
        self.mesh.run(self.new)
        del self.mesh.tables[self.old].by_id[self.new]
        retry = self.mesh.begin(self.old, attempt=2)
        self.expect(retry, "unknown", "claim.earlier-owner-unreachable")
        self.mesh.tables[self.old].add(member(self.new, recently_joined=True))
        self.expect(self.mesh.begin(self.old, attempt=2), "unknown", "claim.not-owner")

    def test_two_new_owners_that_do_not_know_each_other(self):
        """Guards against two runs when two owners have different member tables."""
        newest, new, stable = ranked_nodes(3)
        mesh = CoordinatorMesh(stable)
        mesh.join(newest, stable)
        mesh.tables[stable].by_id.pop(newest)
        mesh.join(new, stable)
        mesh.run(new)
        decision = mesh.begin(newest, attempt=2)
        self.expect(decision, "unknown", "claim.earlier-owner-unreachable")
        mesh.tables[newest].add(member(new, recently_joined=True))
        self.expect(mesh.begin(newest, attempt=2), "recorded")

    def test_earlier_owner_unreachable(self):
        """Guards against a claim without the promise of an unreachable member."""
        self.join()
        coordinators = self.mesh.network.coordinators_by_id
        unreachable = coordinators.pop(self.old)
        code = "claim.earlier-owner-unreachable"
        self.expect(self.mesh.begin(self.new), "refused", code)
        self.expect(self.mesh.begin(self.new, attempt=2), "unknown", code)
        coordinators[self.old] = unreachable
        self.mesh.network.before_answer = lose_answer
        self.expect(self.mesh.begin(self.new), "refused", code)
        self.mesh.network.before_answer = lambda receiver, reply: None
        self.expect(self.mesh.begin(self.new), "run")

    def test_restarted_process_does_not_answer_for_its_predecessor(self):
        """Guards against a promise by a restarted node that lost its records."""
        self.mesh.run(self.old)
        self.join()
        self.mesh.start(self.old, incarnation=2)
        self.expect(
            self.mesh.begin(self.new, attempt=2),
            "unknown",
            "claim.earlier-owner-unreachable",
        )

    def test_draining_member_does_not_end_the_list(self):
        """Guards against a missed record when a drain was cancelled or its notice lost.

        Members after a draining one in rendezvous order are asked as well.
        """
        mesh = self.mesh
        for table in mesh.tables.values():
            table.change(self.old, state=MemberState.DRAINING)
        mesh.run(self.third)
        self.join()
        self.expect(mesh.begin(self.new, attempt=2), "recorded")
        self.assertIn(self.third, [node for node, _ in mesh.network.sent])

    def test_seal_while_claiming(self):
        """Guards against two runs when two nodes claim a key at the same time."""
        high, low, stable = ranked_nodes(3)
        for first in (low, high):
            mesh = CoordinatorMesh(stable)
            mesh.join(low, stable)
            mesh.join(high, stable, low)
            mesh.tables[low].by_id.pop(high)  # so that each considers itself the owner
            second = low if first == high else high
            inner = []

            def race(receiver, reply, mesh=mesh, second=second, inner=inner):
                if not inner:
                    inner.append(None)
                    inner[0] = mesh.begin(second, attempt=2)

            mesh.network.before_answer = race
            decisions = [mesh.begin(first), *inner]
            ran = [d for d in decisions if d.verdict == "run"]
            self.assertEqual(1, len(ran), decisions)

    def test_record_arrives_while_sealing(self):
        """Guards against a second run when a handover arrives during a seal request."""
        for table in self.mesh.tables.values():
            table.change(self.old, state=MemberState.DRAINING)
        self.mesh.run(self.third)
        self.join()
        third = self.mesh.coordinator(self.third)
        started = []

        def hand_over(receiver, message):
            if not started:
                started.append(True)
                self.assertTrue(third.hand_over(self.mesh.clock.now() + 5))

        self.mesh.network.before_delivery = hand_over
        self.expect(self.mesh.begin(self.new, attempt=2), "recorded")

    def test_bound_of_sealers(self):
        """Guards against unbounded growth of a record over many membership changes."""
        owner = self.mesh.coordinator(self.old)
        verdicts = [self._seal(owner, f"x{number}").verdict for number in range(9)]
        self.assertEqual(["sealed"] * 8 + ["refused"], [str(v) for v in verdicts])

    @staticmethod
    def _seal(coordinator, sealer):
        return coordinator.answer_to(
            SealRequest(1, "treasury", KEY, ProcessRef(sealer, 1), 1)
        )


class DepartureTest(ClaimTestCase):
    """An earlier owner departed, with or without a handover of its records."""

    def setUp(self):
        super().setUp()
        self.departed_id, self.next, self.third = ranked_nodes(3)
        self.mesh = CoordinatorMesh(self.departed_id, self.next, self.third)
        self.limits = ClaimLimits()

    def check_first_attempt_waits(self, wait_s: float) -> None:
        """Check that a first attempt runs after `wait_s` and not earlier."""
        self.mesh.tables[self.next].authority_until += 2 * wait_s
        code = "claim.earlier-owner-departed"
        self.expect(self.mesh.begin(self.next), "refused", code)
        self.mesh.clock.advance(wait_s - 0.001)
        self.expect(self.mesh.begin(self.next), "refused", code)
        self.mesh.clock.advance(0.002)
        self.expect(self.mesh.begin(self.next), "run")

    def test_retry_after_crash_is_unknown(self):
        """Guards against a second run after the owner crashed during the first."""
        self.expect(self.mesh.begin(self.departed_id), "run")
        self.mesh.crash(self.departed_id, process_ended=True)
        for wait_s in (0.0, 31.0, self.limits.authority_s):
            self.mesh.clock.advance(wait_s)
            self.mesh.tables[self.next].authority_until = self.mesh.clock.now() + 60
            self.expect(
                self.mesh.begin(self.next, attempt=2),
                "unknown",
                "claim.outcome-unknown",
            )

    def test_first_attempt_after_proven_end(self):
        """Guards against a first attempt concurrent with a call of the old process."""
        self.mesh.crash(self.departed_id, process_ended=True)
        self.check_first_attempt_waits(30.0)

    def test_first_attempt_after_departure_without_proof(self):
        """Guards against a first attempt concurrent with a run at an isolated owner."""
        self.mesh.crash(self.departed_id, process_ended=False)
        lost = "claim.earlier-owner-lost"
        self.expect(self.mesh.begin(self.next), "refused", lost)
        self.mesh.clock.advance(RETURN_TIME_S - 0.001)
        self.expect(self.mesh.begin(self.next), "refused", lost)
        self.mesh.clock.advance(0.001)
        self.check_first_attempt_waits(75 * 60 + 30.0 - RETURN_TIME_S)

    def test_restarted_owner(self):
        """Guards against a run by a restarted owner that lost its records."""
        self.mesh.run(self.departed_id)
        self.mesh.crash(self.departed_id, process_ended=True)
        self.mesh.join(self.departed_id, self.next, self.third, incarnation=2)
        retry = self.mesh.begin(self.departed_id, attempt=2)
        self.expect(retry, "unknown", "claim.outcome-unknown")
        self.expect(
            self.mesh.begin(self.departed_id), "refused", "claim.earlier-owner-departed"
        )

    def test_record_elsewhere_counts_more_than_a_departure(self):
        """Guards against a false `unknown` when another node has the record."""
        self.mesh.tables[self.next].depart(self.departed_id, process_ended=True)
        self.mesh.tables[self.third].depart(self.departed_id, process_ended=True)
        self.mesh.clock.advance(31)
        self.mesh.run(self.next)
        newest = next(name for name in ranked_nodes(40) if name not in self.mesh.tables)
        self.mesh.join(newest, self.next, self.third)
        self.expect(self.mesh.begin(newest, attempt=2), "recorded")

    def test_owner_that_returns_without_restart(self):
        """Guards against losing the records of a temporarily isolated owner."""
        self.mesh.run(self.departed_id)
        for node in (self.next, self.third):
            self.mesh.tables[node].depart(self.departed_id)
        for table in self.mesh.tables.values():
            table.add(member(self.departed_id, recently_joined=True))
        self.expect(self.mesh.begin(self.departed_id, attempt=2), "recorded")

    def test_replaced_while_paused(self):
        """Guards against sending by an owner that resumes after it was replaced."""
        self.expect(self.mesh.begin(self.departed_id), "run")
        for node in (self.next, self.third):
            self.mesh.tables[node].depart(self.departed_id)
        self.mesh.clock.advance(self.limits.authority_s + 31)
        self.mesh.tables[self.next].authority_until = self.mesh.clock.now() + 60
        self.expect(self.mesh.begin(self.next, attempt=1), "run")
        self.assertFalse(self.mesh.coordinator(self.departed_id).confirm(KEY))


class BoundTest(ClaimTestCase):
    """Limits of the record table."""

    def setUp(self):
        super().setUp()
        self.mesh = CoordinatorMesh("n0", limits=ClaimLimits(max_records=2))
        self.table = self.mesh.coordinator("n0").table

    def test_new_key_is_refused_within_the_horizon(self):
        """Guards against dropping a record whose key then runs a second time."""
        self.mesh.run("n0", key="a")
        self.mesh.run("n0", key="b")
        self.expect(self.mesh.begin("n0", key="c"), "refused", "claim.table-full")
        self.expect(self.mesh.begin("n0", key="a", attempt=2), "recorded")
        self.mesh.clock.advance(2 * 3600 + 1)
        self.mesh.tables["n0"].authority_until += 2 * 3600
        self.expect(self.mesh.begin("n0", key="c"), "run")
        self.assertIsNone(self.table.get("a"))

    def test_running_record_is_never_dropped(self):
        """Guards against a second run concurrent with a very long call."""
        self.expect(self.mesh.begin("n0", key="a"), "run")
        self.mesh.run("n0", key="b")
        self.mesh.clock.advance(2 * 3600 + 1)
        self.mesh.tables["n0"].authority_until += 2 * 3600
        self.expect(self.mesh.begin("n0", key="c"), "refused", "claim.table-full")

    def test_answers_are_bounded_together(self):
        """Guards against memory growth by many answers below the limit per answer."""
        mesh = CoordinatorMesh("n0", limits=ClaimLimits(max_answers_bytes=1000))
        for key in ("a", "b", "c"):
            mesh.run("n0", key=key, body=b"x" * 100)
        self.assertLessEqual(mesh.coordinator("n0").table.answers_bytes, 1000)
        self.expect(
            mesh.begin("n0", key="a", attempt=2), "unknown", "claim.answer-not-kept"
        )
        self.expect(mesh.begin("n0", key="c", attempt=2), "recorded")
