"""Endpoint selection by the node's own observations."""

from collections import Counter
from random import Random

from testtools import TestCase

from tests.call_support import SERVICE, StaticMembers, member
from verbenawick.calls._balancer import SLOW_START_S, Balancer
from verbenawick.links._members import MemberState, ReportedLoad
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet


class BalancerTest(TestCase):
    """Latency, failures, distance, slow start and ejection."""

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
        self.balancer.begin(chosen)
        self.balancer.succeed(chosen, latency_s=latency_s)
        return chosen.node_id

    def counts(self, calls=600):
        return Counter(self.choose().node_id for _ in range(calls))

    def fail(self, node_id, times=5):
        failing = self.view.member(node_id)
        for _ in range(times):
            self.balancer.begin(failing)
            self.balancer.fail(failing)

    def test_equal_endpoints_get_equal_shares(self):
        """Guards against a favourite among equals."""
        self.assertTrue(all(60 < count < 140 for count in self.counts().values()))

    def test_busy_and_slow_endpoints_get_fewer_calls(self):
        """Outstanding × latency decides, whatever the members report."""
        for _ in range(20):
            self.balancer.begin(self.view.members[0])
            self.balancer.begin(self.view.members[1])
            self.balancer.succeed(self.view.members[1], latency_s=0.5)
            self.balancer.begin(self.view.members[2])
            self.balancer.succeed(self.view.members[2], latency_s=0.01)
        self.view.loads_by_node_id = {
            "n0": ReportedLoad(0.0, True),
            "n1": ReportedLoad(0.0, True),
        }
        counts = self.counts()
        self.assertLess(counts["n0"], 5)
        self.assertLess(counts["n1"], 50)

    def test_a_slow_measurement_fades(self):
        """An endpoint that was slow once is tried again."""
        self.balancer.begin(self.view.members[1])
        self.balancer.succeed(self.view.members[1], latency_s=0.01)
        self.balancer.begin(self.view.members[0])
        self.balancer.succeed(self.view.members[0], latency_s=5.0)
        self.assertEqual(0, self.counts()["n0"])
        self.clock.advance(60)
        self.assertGreater(self.counts()["n0"], 60)

    def test_reported_load_only_breaks_ties(self):
        """A false report moves calls among equals and excludes nobody."""
        self.view.loads_by_node_id = {
            f"n{number}": ReportedLoad(0.9, False) for number in range(6)
        }
        self.assertEqual(6, len(self.counts()))
        self.view.loads_by_node_id["n3"] = ReportedLoad(0.1, True)
        self.assertGreater(self.counts()["n3"], 150)

    def test_tried_draining_and_refusing_endpoints_are_left_out(self):
        """The next attempt goes elsewhere, and a drain is known at once."""
        self.view.members[0] = member("n0", state=MemberState.DRAINING)
        self.balancer.begin(self.view.members[1])
        self.balancer.refuse(self.view.members[1], is_draining=True)
        chosen = {self.choose(excluded=["n2", "n3"]).node_id for _ in range(50)}
        self.assertEqual({"n4", "n5"}, chosen)
        every = [f"n{number}" for number in range(6)]
        self.assertIsNone(self.choose(excluded=every))

    def test_draining_endpoints_are_tried_when_no_other_is_left(self):
        """Wrong drain reports about all members do not empty the service."""
        self.view.members = [
            member(f"n{number}", state=MemberState.DRAINING) for number in range(2)
        ]
        self.assertIsNotNone(self.choose())

    def test_an_endpoint_that_refuses_is_avoided_for_a_while(self):
        """Guards against spending the retry budget on one full upstream."""
        refused = 0
        for _ in range(600):
            chosen = self.choose()
            self.balancer.begin(chosen)
            if chosen.node_id == "n0":
                refused += 1
                self.balancer.refuse(chosen)
            else:
                self.balancer.succeed(chosen, latency_s=0.01)
            self.clock.advance(0.01)
        self.assertTrue(0 < refused < 25, refused)
        self.clock.advance(2)
        self.assertGreater(self.counts()["n0"], 60)

    def test_failing_endpoints_are_ejected_for_growing_times(self):
        """Repeated failures eject, one success resets, the ejection ends."""
        self.fail("n0", times=4)
        self.balancer.begin(self.view.members[0])
        self.balancer.succeed(self.view.members[0], latency_s=0.01)
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
        """Guards against a cause elsewhere that leaves a service without endpoints."""
        for number in range(6):
            self.fail(f"n{number}", times=20)
        self.assertEqual(3, len(self.counts()))

    def test_a_new_or_restarted_endpoint_starts_slowly(self):
        """A cold endpoint gets a tenth of its share at first, all of it after 10 s."""
        self.view.members[0] = member("n0", incarnation=2)
        self.choose()
        cold = self.counts()["n0"]
        self.assertTrue(0 < cold < 30, cold)
        self.clock.advance(SLOW_START_S)
        self.assertGreater(self.counts()["n0"], 60)

    def test_counts_of_departed_nodes_are_dropped(self):
        """Memory stays bounded while members churn."""
        self.view.members = self.view.members[:2]
        self.balancer.forget_departed()
        self.assertEqual(2, len(self.balancer._endpoints_by_node_id))

    def spread(self):
        """Use two endpoints in each tier."""
        self.view.members = [
            member("near-1"),
            member("near-2"),
            member("region-1", data_centre="dc2"),
            member("region-2", data_centre="dc2"),
            member("far-1", data_centre="dc9", region="south"),
            member("far-2", data_centre="dc9", region="south"),
        ]
        self.start()

    def tiers(self, calls=1000, is_refused=lambda tier: False):
        counts = Counter()
        for _ in range(calls):
            chosen = self.choose()
            self.balancer.begin(chosen)
            tier = self.balancer.tier_of(chosen)
            counts[tier] += 1
            if is_refused(tier):
                self.balancer.refuse(chosen)
            else:
                self.balancer.succeed(chosen, latency_s=0.01)
        return counts

    def test_near_endpoints_come_first(self):
        """Guards against cross-region traffic while there is room near."""
        self.spread()
        self.assertEqual({0: 1000}, self.tiers())
        self.view.members = self.view.members[2:]
        self.assertEqual({1: 1000}, self.tiers())
        self.view.members = self.view.members[2:]
        self.assertEqual({2: 1000}, self.tiers())

    def test_calls_spill_as_far_as_refusals_show_and_return(self):
        """Only what near endpoints refuse is spilled; room near is found again."""
        self.spread()
        served = [0]

        def is_refused(tier):
            # The data centre accepts every second of the calls, as if half its load
            # were other nodes' calls.
            served[0] += 1
            return tier == 0 and served[0] % 2 == 0

        self.tiers(is_refused=is_refused)
        counts = self.tiers(is_refused=is_refused)
        self.assertGreater(counts[1], 500)
        self.assertGreater(counts[0], 10)
        self.assertEqual(0, counts[2])
        self.tiers(calls=20_000)
        self.assertGreater(self.tiers()[0], 990)
