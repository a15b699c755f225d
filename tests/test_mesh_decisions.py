"""Tests of placement, endpoint statistics, retry budget, routing and crash guard."""

from dataclasses import replace
from random import Random

from testtools import TestCase

from verbenawick.mesh._crash_guard import CRASH_TTL_S, MAX_CRASHES, CrashGuard
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
    MAX_FURTHER_OFFER_COST,
    Candidate,
    Distance,
    choose,
    expected_cost,
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
    """Choice of a gateway by expected cost."""

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
        """Traffic between regions is billed; a slower response on time is free."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.12)
        far = Candidate("far", Distance.REMOTE, 0.05)
        self.assertEqual("near", self.chosen(near, far))

    def test_far_upstream_is_used_when_the_near_one_would_be_late(self):
        """A late response loses most of its value."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.4)
        far = Candidate("far", Distance.REMOTE, 0.05)
        self.assertEqual("far", self.chosen(near, far))

    def test_failing_upstream_is_avoided(self):
        """An upstream that fails half of its requests appears idle and fast."""
        failing = Candidate("failing", Distance.OWN_NODE, 0.05, failure_rate=0.5)
        healthy = Candidate("healthy", Distance.REGION, 0.1)
        self.assertEqual("healthy", self.chosen(failing, healthy))

    def test_cost_of_distance_rises_with_size(self):
        """Traffic is billed by volume."""
        far = Candidate("far", Distance.REMOTE, 0.05)
        small = expected_cost(far, objective_s=0.25, left_s=1, kilobytes=1)
        large = expected_cost(far, objective_s=0.25, left_s=1, kilobytes=6)
        self.assertGreater(large, small)

    def test_size_decides_between_a_late_near_and_a_far_upstream(self):
        """Fails if the choice ignores the size and assumes one kilobyte per call."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.4)
        far = Candidate("far", Distance.REMOTE, 0.05)
        self.assertEqual("far", self.chosen(near, far, kilobytes=1.0))
        self.assertEqual("near", self.chosen(near, far, kilobytes=8.0))

    def test_short_step_stays_near_when_slightly_late(self):
        """A lookup that is 20 ms late only delays its parent call by 20 ms."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.065)
        far = Candidate("far", Distance.REMOTE, 0.02)
        self.assertEqual("near", self.chosen(near, far, objective_s=0.06, left_s=0.2))

    def test_short_step_avoids_an_upstream_that_would_miss_its_deadline(self):
        """A lookup that fails makes its parent call fail."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.25)
        far = Candidate("far", Distance.REMOTE, 0.02)
        self.assertEqual("far", self.chosen(near, far, objective_s=0.06, left_s=0.2))

    def test_late_cost_follows_from_the_whole_objective(self):
        """A call with little time left must not be treated as a short step."""
        near = Candidate("near", Distance.DATA_CENTRE, 0.25)
        far = Candidate("far", Distance.REMOTE, 0.02)
        chosen = self.chosen(near, far, objective_s=0.05, left_s=0.8, full_s=0.25)
        self.assertEqual("far", chosen)

    def test_cost_never_falls_with_a_longer_wait(self):
        """A longer queue must not be preferred to a shorter one."""
        costs = [
            expected_cost(
                Candidate("a", Distance.REGION, step / 50), objective_s=0.25, left_s=1.0
            )
            for step in range(60)
        ]
        self.assertEqual(sorted(costs), costs)

    def test_further_offer_that_costs_too_much_is_not_made(self):
        """A refused call would be sent to another full queue over a billed link."""
        options = {"objective_s": 0.1, "left_s": 0.5, "random": Random(1)}
        far = Candidate("far", Distance.REMOTE, 0.4)
        self.assertEqual("far", choose([far], **options).node_id)
        bound = {"max_cost": MAX_FURTHER_OFFER_COST}
        self.assertIsNone(choose([far], **options, **bound))
        near = Candidate("near", Distance.DATA_CENTRE, 0.4)
        self.assertEqual("near", choose([far, near], **options, **bound).node_id)
        free = Candidate("free", Distance.REMOTE, 0.02)
        self.assertEqual("free", choose([free], **options, **bound).node_id)

    def test_without_candidates_none_is_returned(self):
        """The entry then refuses the call."""
        self.assertIsNone(choose([], objective_s=1, left_s=1, random=Random(1)))


class EndpointsTest(TestCase):
    """Statistics about gateways that are learned from answers."""

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
        self.endpoints.record_result(node_id, call, route, result, now)

    def expected(self, now):
        endpoint = self.endpoints.get("n2")
        return self.endpoints.candidate(endpoint, "r", now)

    def test_queue_of_a_gateway_adds_to_the_expected_time(self):
        """By service time alone, a gateway with a long queue would still look fast."""
        self.endpoints.record_start("n2", 1, "r", 0.0)
        self.end(1, now=0.1, running=8)
        self.assertGreater(self.expected(0.1).expected_s, 0.05)

    def test_own_overdue_call_makes_a_gateway_look_slow(self):
        """A frozen gateway sends no answers, so only the age of a call reveals it."""
        self.endpoints.record_start("n2", 1, "r", 0.0)
        self.end(1, now=0.05)
        self.endpoints.record_start("n2", 2, "r", 1.0)
        self.assertGreater(self.expected(2.0).expected_s, 0.9)

    def test_long_call_on_time_does_not_make_short_calls_look_slow(self):
        """A write of 0.1 s in flight sent lookups of 0.02 s over billed links."""
        for route, service_s in (("write", 0.1), ("lookup", 0.02)):
            self.endpoints.record_start("n2", 1, route, 0.0)
            self.end(1, now=service_s, service_s=service_s, route=route)
        self.endpoints.record_start("n2", 2, "write", 1.0)
        candidate = self.endpoints.candidate(self.endpoints.get("n2"), "lookup", 1.12)
        self.assertLess(candidate.expected_s, 0.03)
        late = self.endpoints.candidate(self.endpoints.get("n2"), "lookup", 1.5)
        self.assertGreater(late.expected_s, 0.05)

    def test_failure_rate_decays_so_that_an_upstream_is_tried_again(self):
        """One second of failures must not exclude an upstream permanently."""
        self.endpoints.record_start("n2", 1, "r", 0.0)
        self.end(1, now=0.1, failing=0.6, status=500)
        self.assertAlmostEqual(0.6, self.expected(0.1).failure_rate)
        self.assertLess(self.expected(10.1).failure_rate, 0.05)

    def test_gateway_that_was_full_or_slow_gets_calls_again(self):
        """Guards against one old answer that keeps an entry away for ever."""
        self.put("n3", "u9")
        for number in range(20):
            self.end(number, now=0.0, node_id="n3")
        self.end(50, now=0.1, running=30, service_s=0.5)
        self.assertGreater(self.expected(0.1).expected_s, 1.0)
        self.assertLess(self.expected(20.0).expected_s, 0.1)

    def test_new_upstream_is_not_sent_more_than_its_share_before_its_first_answer(self):
        """Guards against entries that all send everything to an upstream that joins."""
        for number in range(40):
            self.end(number, now=0.0, running=6)
        self.put("n3", "u9")
        new = self.endpoints.get("n3")
        first = self.endpoints.candidate(new, "r", 0.0)
        self.assertAlmostEqual(self.expected(0.0).expected_s, first.expected_s, 2)
        for number in range(50, 58):
            self.endpoints.record_start("n3", number, "r", 0.0)
        self.assertGreater(
            self.endpoints.candidate(new, "r", 0.0).expected_s, 2 * first.expected_s
        )

    def test_speed_of_an_upstream_applies_to_routes_without_answers(self):
        """Guards against first calls of a route that go to the slowest upstream."""
        self.put("n3", "u9")
        for number in range(20):
            self.end(number, now=0.0, service_s=0.3)
            self.end(number, now=0.0, service_s=0.1, node_id="n3")
        self.end(50, now=0.0, service_s=0.01, node_id="n3", route="other")
        slow, fast = (
            self.endpoints.candidate(self.endpoints.get(node_id), "other", 0.0)
            for node_id in ("n2", "n3")
        )
        self.assertGreater(slow.expected_s, 1.5 * fast.expected_s)

    def test_new_upstream_at_a_node_starts_without_statistics(self):
        """Statistics of a slow upstream do not apply to its successor."""
        self.put("n3", "u9")
        self.endpoints.record_start("n3", 7, "r", 0.0)
        self.end(7, now=0.1, node_id="n3")
        self.endpoints.record_start("n2", 1, "r", 0.0)
        self.end(1, now=0.1, failing=0.9, service_s=2.0)
        self.assertEqual(2.0, self.expected(0.1).expected_s)
        self.put("n2", "u3")
        self.assertLess(self.expected(0.1).expected_s, 2.0)
        self.assertEqual(0.0, self.expected(0.1).failure_rate)

    def test_distance_follows_from_data_centre_and_region(self):
        """A wrong distance would send traffic between regions."""
        self.assertEqual(Distance.DATA_CENTRE, self.put("a", "u").distance)
        other = self.put("b", "u", data_centre="d2")
        self.assertEqual(Distance.REGION, other.distance)
        remote = self.put("c", "u", data_centre="d1", region="r2")
        self.assertEqual(Distance.REMOTE, remote.distance)


class RetryBudgetTest(TestCase):
    """Retries stay within the fleet-wide bound."""

    def budget(self, nodes=4):
        return RetryBudget(ratio=0.2, slack=60, window_s=10, node_count=lambda: nodes)

    def try_retry(self, budget, now):
        if not budget.allows("s", now):
            return 0
        budget.count_retry("s", now)
        return 1

    def test_nodes_together_stay_within_the_bound(self):
        """Retries of a failing service must not add to its load."""
        budgets = [self.budget() for _ in range(4)]
        requests = retries = 0
        for step in range(1000):
            now = step / 100
            for budget in budgets:
                budget.count_request("s", now)
                requests += 1
                retries += self.try_retry(budget, now)
        self.assertLessEqual(retries, 0.2 * requests + 60)
        self.assertGreater(retries, 0.05 * requests)

    def test_allowance_is_restored_over_time(self):
        """A burst of failures must not disable retries permanently."""
        budget = self.budget()
        while self.try_retry(budget, 0.0):
            pass
        self.assertEqual(0, self.try_retry(budget, 5.0))
        self.assertEqual(1, self.try_retry(budget, 11.0))

    def test_services_have_separate_budgets(self):
        """One failing service must not use up the retries of another."""
        budget = self.budget()
        while self.try_retry(budget, 0.0):
            pass
        self.assertTrue(budget.allows("other", 0.0))


class RouteTest(TestCase):
    """Route lookup and choice of the target service."""

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
        """A share that is off by a tenth counts as a fault."""
        route = mesh_route("r", "h", "/", ("s1", 90), ("s2", 10))
        rotation = TargetRotation()
        chosen = [rotation.choose(route) for _ in range(100)]
        self.assertEqual(90, chosen.count("s1"))
        self.assertIn("s2", chosen[:20])

    def test_changed_weights_apply_immediately(self):
        """A new configuration can change the weights of a route that keeps its name."""
        rotation = TargetRotation()
        for _ in range(7):
            rotation.choose(mesh_route("r", "h", "/", ("s1", 90), ("s2", 10)))
        route = mesh_route("r", "h", "/", ("s1", 1), ("s2", 1))
        chosen = [rotation.choose(route) for _ in range(10)]
        self.assertEqual(5, chosen.count("s1"))


class CrashGuardTest(TestCase):
    """Requests that crash upstreams are refused after the third crash."""

    def test_identical_requests_are_refused_after_the_third_crash(self):
        """Retries of one request could crash every upstream of a service."""
        guard = CrashGuard()
        for number in range(3):
            self.assertFalse(guard.is_refused(b"f", 1.0))
            guard.record_crash(f"u{number}", (b"f", b"g"), 1.0)
        self.assertTrue(guard.is_refused(b"f", 1.0))

    def test_crashes_of_one_upstream_count_once(self):
        """Two nodes that report the same crash must not make it count twice."""
        guard = CrashGuard()
        for _ in range(5):
            guard.record_crash("u1", (b"f",), 1.0)
        self.assertFalse(guard.is_refused(b"f", 1.0))

    def test_frequent_requests_that_complete_are_not_refused(self):
        """A frequent read is running during almost any crash."""
        guard = CrashGuard()
        for number in range(4):
            guard.record_crash(f"u{number}", (b"f",), 1.0)
            guard.record_completion(b"f", 1.0)
        self.assertFalse(guard.is_refused(b"f", 1.0))

    def test_completion_is_shared_before_the_last_crash(self):
        """Guards against harmless requests refused by nodes that run none of them."""
        told = []
        guard = CrashGuard()
        guard.on_cleared = told.append
        guard.record_crash("u1", (b"f",), 1.0)
        guard.record_completion(b"f", 1.0)
        guard.record_completion(b"f", 1.0)
        guard.record_crash("u2", (b"f",), 100.0)
        guard.record_completion(b"f", 100.0)
        self.assertEqual([{(b"f", "u1")}, {(b"f", "u2")}], told)

    def test_request_that_completed_elsewhere_starts_anew(self):
        """Guards against a refusal after crashes before a completion elsewhere."""
        guard = CrashGuard()
        facts = []
        for number in range(3):
            facts += guard.record_crash(f"u{number}", (b"f",), 1.0)
        cleared = [replace(fact, is_cleared=True) for fact in facts]
        self.assertEqual(3, len(guard.merge(cleared, 1.0)))
        self.assertEqual([], guard.merge(cleared, 1.0))
        self.assertEqual([], guard.merge(facts, 1.0))
        guard.record_crash("u4", (b"f",), 1.0)
        self.assertFalse(guard.is_refused(b"f", 1.0))

    def test_completion_before_the_notice_of_a_crash_clears_it(self):
        """Guards against a refusal that depends on which message arrives first."""
        guard = CrashGuard()
        guard.record_completion(b"f", 1.0)
        for number in range(3):
            guard.record_crash(f"u{number}", (b"f", b"g"), 2.0)
        self.assertEqual(
            [False, True], [guard.is_refused(f, 2.0) for f in (b"f", b"g")]
        )

    def test_crashes_kept_are_limited(self):
        """Guards against memory that grows with the requests that ran in crashes."""
        guard = CrashGuard()
        for number in range(MAX_CRASHES + 10):
            guard.record_crash("u1", (b"%d" % number,), 1.0)
            guard.record_completion(b"%d" % number, 1.0)
        self.assertEqual(MAX_CRASHES, len(guard))
        self.assertEqual(MAX_CRASHES, len(guard.facts(1.0)))
        guard.expire(1.0 + CRASH_TTL_S)
        self.assertEqual((0, bytes(8)), (len(guard), guard.digest))

    def test_crashes_of_a_request_expire_together(self):
        """Guards against a request that crashes upstreams again after the first one."""
        guard = CrashGuard()
        for number in range(3):
            guard.record_crash(f"u{number}", (b"f",), number * CRASH_TTL_S / 2)
            guard.expire(number * CRASH_TTL_S / 2)
        self.assertTrue(guard.is_refused(b"f", 1.9 * CRASH_TTL_S))
        self.assertEqual(3, len(guard.facts(1.9 * CRASH_TTL_S)))

    def test_refusal_expires(self):
        """The request is sent again after the upstreams may have been fixed."""
        guard = CrashGuard()
        for number in range(3):
            guard.record_crash(f"u{number}", (b"f",), 1.0)
        self.assertFalse(guard.is_refused(b"f", 10_000.0))
