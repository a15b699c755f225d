"""Endpoint selection by the observations of the node."""

from collections import Counter
from random import Random

from testtools import TestCase

from tests.call_support import SERVICE, StaticMembers, member
from verbenawick.calls._balancer import SLOW_START_S, Balancer
from verbenawick.links._members import MemberState, ReportedLoad
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet


class BalancerTest(TestCase):
    """Latency, failures, refusals, tiers, slow start and ejection."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.view = StaticMembers([member(f"n{number}") for number in range(6)])
        self.start()

    def start(self):
        self.balancer = Balancer(
            data_centre="dc1",
            region="north",
            members=self.view,
            clock=self.clock,
            random=Random(11),
            metrics=MetricSet(),
        )
        self.balancer.choose(SERVICE, excluded=())
        self.clock.advance(SLOW_START_S)

    def choose(self, excluded=()):
        return self.balancer.choose(SERVICE, excluded=excluded)

    def call(self, latency_s=0.01):
        chosen = self.choose()
        self.balancer.start_attempt(chosen)
        self.balancer.record_success(chosen, latency_s=latency_s)
        return chosen.node_id

    def counts(self, calls=600):
        return Counter(self.choose().node_id for _ in range(calls))

    def fail(self, node_id, times=5):
        failing = self.view.member(node_id)
        for _ in range(times):
            self.balancer.start_attempt(failing)
            self.balancer.record_failure(failing)

    def test_equal_endpoints_get_equal_shares(self):
        """Guards against preferring one of several equal endpoints."""
        self.assertTrue(all(60 < count < 140 for count in self.counts().values()))

    def test_busy_and_slow_endpoints_get_fewer_calls(self):
        """Guards against trusting reported load over outstanding calls × latency."""
        for _ in range(20):
            self.balancer.start_attempt(self.view.members[0])
            self.balancer.start_attempt(self.view.members[1])
            self.balancer.record_success(self.view.members[1], latency_s=0.5)
            self.balancer.start_attempt(self.view.members[2])
            self.balancer.record_success(self.view.members[2], latency_s=0.01)
        self.view.loads_by_node_id = {
            "n0": ReportedLoad(0.0, True),
            "n1": ReportedLoad(0.0, True),
        }
        counts = self.counts()
        self.assertLess(counts["n0"], 5)
        self.assertLess(counts["n1"], 50)

    def test_a_slow_measurement_decays(self):
        """Guards against avoiding an endpoint for ever because it was slow once."""
        self.balancer.start_attempt(self.view.members[1])
        self.balancer.record_success(self.view.members[1], latency_s=0.01)
        self.balancer.start_attempt(self.view.members[0])
        self.balancer.record_success(self.view.members[0], latency_s=5.0)
        self.assertEqual(0, self.counts()["n0"])
        self.clock.advance(60)
        self.assertGreater(self.counts()["n0"], 60)

    def test_reported_load_only_breaks_ties(self):
        """A false report only shifts calls between equal endpoints."""
        self.view.loads_by_node_id = {
            f"n{number}": ReportedLoad(0.9, False) for number in range(6)
        }
        self.assertEqual(6, len(self.counts()))
        self.view.loads_by_node_id["n3"] = ReportedLoad(0.1, True)
        self.assertGreater(self.counts()["n3"], 150)

    def test_tried_draining_and_refusing_endpoints_are_left_out(self):
        """The next attempt goes elsewhere; a drain refusal takes effect immediately."""
        self.view.members[0] = member("n0", state=MemberState.DRAINING)
        self.balancer.start_attempt(self.view.members[1])
        self.balancer.record_refusal(self.view.members[1], is_draining=True)
        chosen = {self.choose(excluded=["n2", "n3"]).node_id for _ in range(50)}
        self.assertEqual({"n4", "n5"}, chosen)
        every = [f"n{number}" for number in range(6)]
        self.assertIsNone(self.choose(excluded=every))

    def test_draining_endpoints_are_tried_when_no_other_is_left(self):
        """Guards against false drain reports that leave a service without endpoints."""
        self.view.members = [
            member(f"n{number}", state=MemberState.DRAINING) for number in range(2)
        ]
        self.assertIsNotNone(self.choose())

    def test_an_endpoint_that_refuses_is_avoided_for_a_while(self):
        """Guards against spending the retry budget on one full upstream."""
        refused = 0
        for _ in range(600):
            chosen = self.choose()
            self.balancer.start_attempt(chosen)
            if chosen.node_id == "n0":
                refused += 1
                self.balancer.record_refusal(chosen)
            else:
                self.balancer.record_success(chosen, latency_s=0.01)
            self.clock.advance(0.01)
        self.assertTrue(0 < refused < 25, refused)
        self.clock.advance(2)
        self.assertGreater(self.counts()["n0"], 60)

    def test_failing_endpoints_are_ejected_for_increasing_times(self):
        """Consecutive failures eject, a success resets the count, ejections end."""
        self.fail("n0", times=4)
        self.balancer.start_attempt(self.view.members[0])
        self.balancer.record_success(self.view.members[0], latency_s=0.01)
        self.fail("n0", times=4)
        self.assertIn("n0", self.counts())
        self.fail("n0", times=1)
        self.assertNotIn("n0", self.counts())
        self.clock.advance(2.1)
        self.assertIn("n0", self.counts())
        self.fail("n0")
        self.clock.advance(2.1)
        self.assertNotIn("n0", self.counts())

    def test_at_most_half_of_a_service_is_ejected(self):
        """Guards against ejecting all endpoints when the cause lies elsewhere."""
        for number in range(6):
            self.fail(f"n{number}", times=20)
        self.assertEqual(3, len(self.counts()))

    def test_a_new_or_restarted_endpoint_starts_slowly(self):
        """A new endpoint gets a tenth of its share at first, all of it after 10 s."""
        self.view.members[0] = member("n0", incarnation=2)
        self.choose()
        cold = self.counts()["n0"]
        self.assertTrue(0 < cold < 30, cold)
        self.clock.advance(SLOW_START_S)
        self.assertGreater(self.counts()["n0"], 60)

    def test_counts_of_departed_nodes_are_dropped(self):
        """Guards against unbounded memory while members come and go."""
        self.view.members = self.view.members[:2]
        self.balancer.forget_departed()
        self.assertEqual(2, len(self.balancer._endpoints_by_node_id))

    def use_two_endpoints_per_tier(self):
        """Set up two endpoints in each tier."""
        self.view.members = [
            member("near-1"),
            member("near-2"),
            member("region-1", data_centre="dc2"),
            member("region-2", data_centre="dc2"),
            member("far-1", data_centre="dc9", region="south"),
            member("far-2", data_centre="dc9", region="south"),
        ]
        self.start()

    def count_tiers(self, calls=1000, is_refused=lambda tier: False):
        counts = Counter()
        for _ in range(calls):
            chosen = self.choose()
            self.balancer.start_attempt(chosen)
            tier = self.balancer.tier_of(chosen)
            counts[tier] += 1
            if is_refused(tier):
                self.balancer.record_refusal(chosen)
            else:
                self.balancer.record_success(chosen, latency_s=0.01)
        return counts

    def test_near_endpoints_come_first(self):
        """Guards against cross-region traffic while nearer endpoints have capacity."""
        self.use_two_endpoints_per_tier()
        self.assertEqual({0: 1000}, self.count_tiers())
        self.view.members = self.view.members[2:]
        self.assertEqual({1: 1000}, self.count_tiers())
        self.view.members = self.view.members[2:]
        self.assertEqual({2: 1000}, self.count_tiers())

    def test_refused_calls_spill_to_the_next_tier_and_return(self):
        """Calls spill only as far and as long as nearer endpoints refuse them."""
        self.use_two_endpoints_per_tier()
        call_count = [0]

        def is_refused(tier):
            # The local data centre refuses every second call, as if other nodes used
            # half of its capacity.
            call_count[0] += 1
            return tier == 0 and call_count[0] % 2 == 0

        self.count_tiers(is_refused=is_refused)
        counts = self.count_tiers(is_refused=is_refused)
        self.assertGreater(counts[1], 500)
        self.assertGreater(counts[0], 10)
        self.assertEqual(0, counts[2])
        self.count_tiers(calls=20_000)
        self.assertGreater(self.count_tiers()[0], 990)
