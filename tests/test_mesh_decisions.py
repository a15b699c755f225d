"""Placement, retry budget, route selection and crash guard."""

from random import Random

from testtools import TestCase

from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    MeshConfiguration,
    MeshRoute,
    RouteTarget,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._placement import (
    MOST_COST_OF_FURTHER_OFFER,
    Candidate,
    Distance,
    choose,
    cost_of,
    late_cost_of,
)
from verbenawick.mesh._retry_budget import RetryBudget
from verbenawick.mesh._route_index import RouteIndex, TargetRotation


def mesh_route(name, host, prefix, *targets) -> MeshRoute:
    """Return a route to equal or weighted targets."""
    return MeshRoute(
        name,
        host,
        prefix,
        tuple(RouteTarget(service, weight) for service, weight in targets),
        True,
        1.0,
        0.25,
        1,
        2,
    )


class PlacementTest(TestCase):
    """Cost of a call at a gateway."""

    def chosen(
        self, *candidates, objective_s=0.25, left_s=1.0, kilobytes=1.0, full_s=None
    ):
        return choose(
            candidates,
            objective_s=objective_s,
            left_s=left_s,
            random=Random(1),
            kilobytes=kilobytes,
            late_cost=late_cost_of(full_s or objective_s),
        ).node_id

    def test_near_upstream_is_preferred_while_the_objective_is_safe(self):
        """Traffic between regions is paid, a slower answer in time is not."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.12)
        far = Candidate("far", Distance.REMOTE, 0.05)
        self.assertEqual("near", self.chosen(near, far))

    def test_far_upstream_is_used_when_the_near_one_would_be_late(self):
        """A caller that gets a late answer loses most of its value."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.4)
        far = Candidate("far", Distance.REMOTE, 0.05)
        self.assertEqual("far", self.chosen(near, far))

    def test_failing_upstream_is_avoided(self):
        """An upstream that fails half of its requests looks idle and fast."""
        failing = Candidate("failing", Distance.OWN_NODE, 0.05, failing_share=0.5)
        sound = Candidate("sound", Distance.REGION, 0.1)
        self.assertEqual("sound", self.chosen(failing, sound))

    def test_larger_answers_stay_nearer(self):
        """The price of the way rises with the bytes."""
        far = Candidate("far", Distance.REMOTE, 0.05)
        small = cost_of(far, objective_s=0.25, left_s=1, kilobytes=1)
        large = cost_of(far, objective_s=0.25, left_s=1, kilobytes=6)
        self.assertGreater(large, small)

    def test_size_decides_between_a_late_near_and_a_far_upstream(self):
        """Guards against a choice that takes every call for one kilobyte."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.4)
        far = Candidate("far", Distance.REMOTE, 0.05)
        self.assertEqual("far", self.chosen(near, far, kilobytes=1.0))
        self.assertEqual("near", self.chosen(near, far, kilobytes=8.0))

    def test_short_steps_stay_near_when_they_are_somewhat_late(self):
        """A lookup that is 20 ms late delays its parent by 20 ms, not by a miss."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.065)
        far = Candidate("far", Distance.REMOTE, 0.02)
        self.assertEqual("near", self.chosen(near, far, objective_s=0.06, left_s=0.2))

    def test_short_steps_move_on_from_an_upstream_that_misses_their_deadline(self):
        """A lookup that fails makes its parent fail."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.25)
        far = Candidate("far", Distance.REMOTE, 0.02)
        self.assertEqual("far", self.chosen(near, far, objective_s=0.06, left_s=0.2))

    def test_a_call_near_its_objective_keeps_its_value(self):
        """The value follows from the whole objective, not from what is left of it."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.25)
        far = Candidate("far", Distance.REMOTE, 0.02)
        chosen = self.chosen(near, far, objective_s=0.05, left_s=0.8, full_s=0.25)
        self.assertEqual("far", chosen)

    def test_cost_never_falls_with_a_longer_wait(self):
        """A longer queue must not look better than a shorter one."""
        costs = [
            cost_of(
                Candidate("a", Distance.REGION, step / 50), objective_s=0.25, left_s=1.0
            )
            for step in range(60)
        ]
        self.assertEqual(sorted(costs), costs)

    def test_further_offer_that_is_not_worth_its_way_is_not_made(self):
        """A refused call would travel to another full queue and be late there."""
        options = {"objective_s": 0.1, "left_s": 0.5, "random": Random(1)}
        far = Candidate("far", Distance.REMOTE, 0.4)
        self.assertEqual("far", choose([far], **options).node_id)
        most = {"most_cost": MOST_COST_OF_FURTHER_OFFER}
        self.assertIsNone(choose([far], **options, **most))
        near = Candidate("near", Distance.DATA_CENTRE, 0.4)
        self.assertEqual("near", choose([far, near], **options, **most).node_id)
        free = Candidate("free", Distance.REMOTE, 0.02)
        self.assertEqual("free", choose([free], **options, **most).node_id)

    def test_without_candidates_there_is_no_choice(self):
        """The caller is refused instead."""
        self.assertIsNone(choose([], objective_s=1, left_s=1, random=Random(1)))


class EndpointsTest(TestCase):
    """What answers teach about a gateway."""

    def setUp(self):
        super().setUp()
        self.endpoints = Endpoints(node_id="n1", data_centre="d1", region="r1")
        self.put("n2", "u2")

    def put(self, node_id, upstream_id, *, data_centre="d1", region="r1"):
        return self.endpoints.put_record(
            UpstreamRecord(
                node_id,
                "s",
                data_centre,
                region,
                f"{node_id}:1",
                upstream_id,
                UpstreamState.READY,
                4,
            )
        )

    def end(
        self,
        call,
        *,
        now,
        running=0,
        service_s=0.05,
        failing=0.0,
        status=200,
        node_id="n2",
        route="r",
    ):
        load = GatewayLoad(running, 0, 4, service_s, failing)
        result = CallResult(CallOutcome.COMPLETE, "", status, load=load)
        self.endpoints.end(node_id, call, route, result, now)

    def expected(self, now):
        endpoint = self.endpoints.get("n2")
        return self.endpoints.candidate(endpoint, "r", now)

    def test_queue_of_a_gateway_adds_to_the_expected_time(self):
        """Calls would pile up at a gateway that looks fast by its service time."""
        self.endpoints.begin("n2", 1, "r", 0.0)
        self.end(1, now=0.1, running=8)
        self.assertGreater(self.expected(0.1).expected_s, 0.05)

    def test_own_overdue_call_makes_a_gateway_look_slow(self):
        """A frozen gateway answers nothing, so nothing else tells."""
        self.endpoints.begin("n2", 1, "r", 0.0)
        self.end(1, now=0.05)
        self.endpoints.begin("n2", 2, "r", 1.0)
        self.assertGreater(self.expected(2.0).expected_s, 0.9)

    def test_long_call_in_time_does_not_make_short_ones_leave(self):
        """Each write of 0.1 s sent the lookups of 0.02 s beside it over a paid way."""
        for route, service_s in (("write", 0.1), ("lookup", 0.02)):
            self.endpoints.begin("n2", 1, route, 0.0)
            self.end(1, now=service_s, service_s=service_s, route=route)
        self.endpoints.begin("n2", 2, "write", 1.0)
        candidate = self.endpoints.candidate(self.endpoints.get("n2"), "lookup", 1.12)
        self.assertLess(candidate.expected_s, 0.03)
        late = self.endpoints.candidate(self.endpoints.get("n2"), "lookup", 1.5)
        self.assertGreater(late.expected_s, 0.05)

    def test_failures_fade_so_that_an_upstream_is_tried_again(self):
        """One bad second must not exclude an upstream for good."""
        self.endpoints.begin("n2", 1, "r", 0.0)
        self.end(1, now=0.1, failing=0.6, status=500)
        self.assertAlmostEqual(0.6, self.expected(0.1).failing_share)
        self.assertLess(self.expected(10.1).failing_share, 0.05)

    def test_successor_at_a_node_starts_with_a_clean_record(self):
        """What was learned about a slow upstream does not hold for the next one."""
        self.put("n3", "u9")
        self.endpoints.begin("n3", 7, "r", 0.0)
        self.end(7, now=0.1, node_id="n3")
        self.endpoints.begin("n2", 1, "r", 0.0)
        self.end(1, now=0.1, failing=0.9, service_s=2.0)
        self.assertEqual(2.0, self.expected(0.1).expected_s)
        self.put("n2", "u3")
        self.assertLess(self.expected(0.1).expected_s, 2.0)
        self.assertEqual(0.0, self.expected(0.1).failing_share)

    def test_distances_follow_the_places(self):
        """A wrong distance sends traffic between regions."""
        self.assertEqual(Distance.DATA_CENTRE, self.put("a", "u").distance)
        other = self.put("b", "u", data_centre="d2")
        self.assertEqual(Distance.REGION, other.distance)
        remote = self.put("c", "u", data_centre="d1", region="r2")
        self.assertEqual(Distance.REMOTE, remote.distance)


class RetryBudgetTest(TestCase):
    """Repeated arrivals stay within the fleet-wide bound."""

    def budget(self, nodes=4):
        return RetryBudget(ratio=0.2, slack=60, window_s=10, node_count=lambda: nodes)

    def take(self, budget, now):
        if not budget.allows("s", now):
            return 0
        budget.count_repeat("s", now)
        return 1

    def test_nodes_together_stay_within_the_bound(self):
        """Retries of a failing service must not add to its load."""
        budgets = [self.budget() for _ in range(4)]
        requests = repeats = 0
        for step in range(1000):
            now = step / 100
            for budget in budgets:
                budget.count_request("s", now)
                requests += 1
                repeats += self.take(budget, now)
        self.assertLessEqual(repeats, 0.2 * requests + 60)
        self.assertGreater(repeats, 0.05 * requests)

    def test_allowance_comes_back_with_time(self):
        """A burst of failures must not forbid retries for good."""
        budget = self.budget()
        while self.take(budget, 0.0):
            pass
        self.assertEqual(0, self.take(budget, 5.0))
        self.assertEqual(1, self.take(budget, 11.0))

    def test_services_have_budgets_of_their_own(self):
        """One failing service must not take the retries of another."""
        budget = self.budget()
        while self.take(budget, 0.0):
            pass
        self.assertTrue(budget.allows("other", 0.0))


class RouteTest(TestCase):
    """Selection of a route and of its target."""

    def index(self, *routes):
        return RouteIndex(MeshConfiguration(1, 1, tuple(routes), {}))

    def test_longest_prefix_of_the_host_wins(self):
        """A shorter prefix would send the request to another service."""
        index = self.index(
            mesh_route("r1", "a.example", "/x/", ("s1", 1)),
            mesh_route("r2", "a.example", "/x/y/", ("s2", 1)),
            mesh_route("r3", "b.example", "/x/", ("s3", 1)),
        )
        for host, path, name in (
            ("a.example", "/x/1", "r1"),
            ("a.example", "/x/y/1", "r2"),
            ("a.example", "/x/y", "r1"),
            ("A.Example", "/x/", "r1"),
            ("b.example", "/x/y/1", "r3"),
            ("a.example", "/x", None),
            ("a.example", "/other/1", None),
            ("c.example", "/x/1", None),
            ("a.example", "", None),
        ):
            route = index.match(host, path)
            self.assertEqual(name, route.name if route else None, (host, path))

    def test_weighted_targets_get_their_exact_shares(self):
        """A share that is off by a tenth is a fault."""
        route = mesh_route("r", "h", "/", ("s1", 90), ("s2", 10))
        rotation = TargetRotation()
        chosen = [rotation.choose(route) for _ in range(100)]
        self.assertEqual(90, chosen.count("s1"))
        self.assertIn("s2", chosen[:20])

    def test_changed_weights_hold_at_once(self):
        """A new version changes the shares of a route that keeps its name."""
        rotation = TargetRotation()
        for _ in range(7):
            rotation.choose(mesh_route("r", "h", "/", ("s1", 90), ("s2", 10)))
        route = mesh_route("r", "h", "/", ("s1", 1), ("s2", 1))
        chosen = [rotation.choose(route) for _ in range(10)]
        self.assertEqual(5, chosen.count("s1"))


class CrashGuardTest(TestCase):
    """Requests that crash upstreams are refused after the third."""

    def test_third_crash_refuses_equal_requests(self):
        """One request could take down every upstream of a service."""
        guard = CrashGuard()
        for number in range(3):
            self.assertFalse(guard.is_refused(b"f", 1.0))
            guard.on_crash(f"u{number}", (b"f", b"g"), 1.0)
        self.assertTrue(guard.is_refused(b"f", 1.0))

    def test_crashes_of_one_upstream_count_once(self):
        """Two nodes that report the same crash must not count it twice."""
        guard = CrashGuard()
        for _ in range(5):
            guard.on_crash("u1", (b"f",), 1.0)
        self.assertFalse(guard.is_refused(b"f", 1.0))

    def test_frequent_requests_that_end_well_are_not_refused(self):
        """A popular read is running at any crash."""
        guard = CrashGuard()
        for number in range(4):
            guard.on_crash(f"u{number}", (b"f",), 1.0)
            guard.on_completion(b"f")
        self.assertFalse(guard.is_refused(b"f", 1.0))

    def test_refusal_ends(self):
        """A repaired upstream gets the request again."""
        guard = CrashGuard()
        for number in range(3):
            guard.on_crash(f"u{number}", (b"f",), 1.0)
        self.assertFalse(guard.is_refused(b"f", 10_000.0))
