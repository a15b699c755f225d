"""Gateway: outcomes of calls to the local upstream, claims and drain."""

import eventlet
from testtools import TestCase

from tests.call_support import SERVICE, CallMesh, wait_until
from tests.test_call_links import call_request
from verbenawick.calls._gateway import ClaimDecision, ClaimVerdict
from verbenawick.calls._table import ServicePolicy
from verbenawick.links._call_messages import Outcome


class GatewayTest(TestCase):
    """Outcomes "not run" are proven, and a key is executed at most once."""

    def start(self, **options):
        self.mesh = CallMesh(**options)
        self.addCleanup(self.mesh.close)
        self.gateway = self.mesh.nodes[0].gateway
        self.claims = self.mesh.claims

    def handle(self, timeout_s=5.0, **changes):
        fields = {"service_id": SERVICE, "headers": (("Host", "h"),)}
        request = call_request(**{**fields, **changes})
        deadline = self.mesh.nodes[0].clock.now() + timeout_s
        return self.gateway.handle(request, deadline=deadline)

    def handle_keyed(self, **changes):
        return self.handle(method="POST", idempotency_key="k", body=b"b", **changes)

    def started(self):
        return sum(state == "started" for _, state in self.mesh.runs())

    def test_refusals_before_sending_are_not_run(self):
        """Each refusal has its code, and nothing reaches the upstream."""
        self.start()
        answer = self.handle(service_id="other")
        self.assertEqual("call.wrong-service", answer.code)
        answer = self.handle(timeout_s=0.0)
        self.assertEqual("call.deadline-unreachable", answer.code)
        self.mesh.upstreams[0].faults.draining = True
        self.assertEqual("call.upstream-shed", self.handle().code)
        self.gateway.drain()
        answer = self.handle()
        self.assertEqual(
            ("call.draining", Outcome.NOT_RUN), (answer.code, answer.outcome)
        )
        self.assertEqual(0, self.started())

    def test_a_lost_upstream_is_unknown(self):
        """Guards against "not run" for a request that reached the upstream."""
        self.start()
        answer = self.handle(target="/a?fault=reset")
        self.assertEqual(
            ("call.upstream-lost", Outcome.UNKNOWN, "node-0"),
            (answer.code, answer.outcome, answer.upstream_node_id),
        )
        answer = self.handle(target="/a?delay_ms=400&deadline=ignored", timeout_s=0.05)
        self.assertEqual(
            ("call.timeout", Outcome.UNKNOWN), (answer.code, answer.outcome)
        )

    def test_the_deadline_leaves_time_for_the_answer(self):
        """Guards against answers after the entry's deadline, which end as unknown."""
        self.start()
        request = call_request(service_id=SERVICE, headers=(), remaining_ms=30_000)
        sent_at = self.mesh.nodes[0].clock.now() - 20
        answer = self.gateway.on_request(None, request, sent_at)
        self.assertEqual("call.deadline-unreachable", answer.code)
        self.assertEqual(0, self.started())

    def test_a_call_that_timed_out_counts_for_the_service_time(self):
        """Guards against sending calls to an upstream that is too slow for them."""
        self.start()
        target = "/a?delay_ms=400&deadline=ignored"
        answer = self.handle(target=target, timeout_s=0.1)
        self.assertEqual("call.timeout", answer.code)
        answer = self.handle(target=target, timeout_s=0.04)
        self.assertEqual("call.deadline-unreachable", answer.code)
        self.assertEqual(1, self.started())

    def test_all_slots_are_used_but_never_exceeded_under_load(self):
        """Guards against more concurrent calls than the upstream has slots."""
        policy = ServicePolicy("p", max_queue_length=50, max_queue_s=5.0)
        self.start(slots=3, policy=policy)
        threads = [
            eventlet.spawn(self.handle, target="/a?delay_ms=2") for _ in range(40)
        ]
        for thread in threads:
            self.assertEqual(200, thread.wait().status)
        upstream = self.mesh.upstreams[0]
        self.assertEqual((3, 0), (upstream.peak_running, upstream.shed))

    def test_a_repeated_key_gets_the_recorded_response(self):
        """The second request with a key does not run."""
        self.start()
        first = self.handle_keyed()
        second = self.handle_keyed(attempt=2)
        self.assertEqual((b"b", b"b"), (first.body, second.body))
        self.assertNotEqual(first.call_id, second.call_id)
        self.assertEqual(1, self.started())

    def test_a_key_in_progress_is_not_run_again(self):
        """A retry during the first attempt gets `call.in-progress`."""
        self.start()
        thread = eventlet.spawn(self.handle_keyed, target="/a?delay_ms=100")
        wait_until(self.started)
        self.assertEqual("call.in-progress", self.handle_keyed(attempt=2).code)
        self.assertEqual(Outcome.COMPLETE, thread.wait().outcome)

    def test_an_owner_that_is_full_runs_the_request_on_another_upstream(self):
        """The owner forwards after a proven refusal and records the response."""
        self.start()
        self.mesh.upstreams[0].faults.draining = True
        answer = self.handle_keyed()
        self.assertEqual(
            (Outcome.COMPLETE, "node-1"), (answer.outcome, answer.upstream_node_id)
        )
        self.assertEqual("done", self.claims.state_by_key["k"])
        self.gateway.drain()
        self.assertEqual(b"b", self.handle_keyed(attempt=2).body)

    def test_a_key_that_was_sent_is_never_sent_again(self):
        """Guards against a second run after a lost response."""
        self.start()
        answer = self.handle_keyed(target="/a?fault=reset")
        self.assertEqual(Outcome.UNKNOWN, answer.outcome)
        self.assertEqual("unknown", self.claims.state_by_key["k"])
        answer = self.handle_keyed(target="/a?fault=reset", attempt=2)
        self.assertEqual("call.claim-unknown", answer.code)
        self.assertEqual(1, self.started())

    def test_an_execution_that_is_cancelled_stays_unknown(self):
        """Guards against releasing a claim although the request was sent."""
        self.start()
        target = "/a?delay_ms=60000"
        thread = eventlet.spawn(self.handle_keyed, target=target, timeout_s=60)
        wait_until(self.started)
        thread.kill()
        self.assertEqual("unknown", self.claims.state_by_key["k"])

    def test_the_claim_of_a_refused_request_is_released(self):
        """Guards against blocking a key whose request is proven not to have run."""
        self.start(nodes=1)
        self.mesh.upstreams[0].faults.draining = True
        self.assertEqual(Outcome.NOT_RUN, self.handle_keyed().outcome)
        self.assertEqual({}, self.claims.state_by_key)
        self.mesh.upstreams[0].faults.draining = False
        self.assertEqual(Outcome.COMPLETE, self.handle_keyed(attempt=2).outcome)

    def test_a_request_whose_claim_ended_is_not_sent(self):
        """Guards against a paused owner that sends after its claim ended."""
        self.start()
        self.claims.confirm_result = False
        answer = self.handle_keyed()
        self.assertEqual(
            ("call.claim-refused", Outcome.NOT_RUN), (answer.code, answer.outcome)
        )
        self.assertEqual(0, self.started())

    def test_a_refused_retry_is_unknown(self):
        """An earlier attempt may have run, so "not run" would be wrong."""
        self.start()
        refused = ClaimDecision(ClaimVerdict.REFUSED)
        self.claims.begin = lambda key, **details: refused
        self.assertEqual(Outcome.NOT_RUN, self.handle_keyed().outcome)
        self.assertEqual(Outcome.UNKNOWN, self.handle_keyed(attempt=2).outcome)
        answer = self.handle_keyed(attempt=2, timeout_s=0.0)
        self.assertEqual(Outcome.UNKNOWN, answer.outcome)

    def test_a_retry_that_the_upstream_refuses_is_unknown(self):
        """An earlier attempt may still be in transit to the owner and run later."""
        self.start(nodes=1)
        self.mesh.upstreams[0].faults.draining = True
        answer = self.handle_keyed(attempt=2)
        self.assertEqual(
            ("call.upstream-shed", Outcome.UNKNOWN), (answer.code, answer.outcome)
        )
        self.assertEqual({}, self.claims.state_by_key)

    def test_drain_finishes_the_calls_in_flight(self):
        """A planned stop interrupts no call and accepts no new one."""
        self.start()
        thread = eventlet.spawn(self.handle, target="/a?delay_ms=50")
        wait_until(self.started)
        self.gateway.drain()
        self.assertFalse(self.gateway.wait_drained(timeout_s=0))
        self.assertEqual("call.draining", self.handle().code)
        self.assertTrue(self.gateway.wait_drained(timeout_s=5))
        self.assertEqual(200, thread.wait().status)
        self.assertEqual(0, self.mesh.nodes[0].upstream.open_count)
