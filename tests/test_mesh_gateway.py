"""Tests of the calls a gateway sends to its upstream and the results it returns."""

import gc
import tracemalloc

from loguru import logger
from testtools import TestCase

from tests.address_observer import FakeAddressObserver
from verbenawick.errors import (
    CallTimeoutError,
    DrainingError,
    QuarantinedError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
    WrongServiceError,
)
from verbenawick.links._component import NodeIdentity
from verbenawick.mesh._crash_guard import CRASH_THRESHOLD, CrashGuard
from verbenawick.mesh._gateway import STOP_SKEW_S, MeshGateway, fingerprint_of
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._messages import ForwardedCall
from verbenawick.mesh._model import CallOutcome, StatusReport
from verbenawick.mesh._slot_queue import Verdict
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer
from verbenawick.platform._calls import PlatformUpstreamProtocol
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet

ADDRESS = "10.0.0.1:80"
PEER = NodeIdentity("n2", 1, "c", "dc1", "r1", "10.0.0.2:80")


def report(sequence: int, *, is_draining: bool = False) -> StatusReport:
    """Return a status report of the gateway's upstream."""
    return StatusReport("u1", "s", ADDRESS, 2, is_draining, 0.0, sequence, 100)


def call(**changes) -> ForwardedCall:
    """Return a call to service ``s`` with one second until its deadline."""
    values = {
        "call_id": 1,
        "request_id": "q1",
        "caller_service": "c",
        "service": "s",
        "route": "r",
        "method": "GET",
        "target": "/x",
        "headers": (),
        "body": b"",
        "is_idempotent": True,
        "priority": 1,
        "sent_at": 0.0,
        "deadline": 1001.0,
        "objective_at": 1000.5,
    }
    return ForwardedCall(**{**values, **changes})


class ScriptedChannels:
    """Test double for `UpstreamChannels` with configurable behaviour."""

    def __init__(self):
        self.sent = []
        self.while_opening = lambda: None
        self.while_running = lambda: None
        self.error = None
        self.kind = AnswerKind.MATCHING
        self.status = 200
        self.headers = ()

    def exchange(self, *, target, headers, before_send, **options):
        """Send a request and return its answer."""
        self.while_opening()
        before_send()
        self.sent.append((target, dict(headers)))
        self.while_running()
        if self.error is not None:
            raise self.error
        headers = [("Attempt-Id", "q1"), *self.headers]
        answer = RawAnswer(self.status, headers, bytearray(b"body"))
        return self.kind, answer

    def is_reachable(self):
        """Return that the upstream accepts connections."""
        return True


class FixedLimit:
    """Test double for `ConcurrencyLimit` that has learned a given limit."""

    def __init__(self, limit):
        self.learned = self.value = limit

    def add(self, *sample, is_busy):
        """Learn nothing from a completed call."""


class MeshGatewayTest(TestCase):
    """A gateway whose upstream is ready and has two slots."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.channels = ScriptedChannels()
        self.metrics = MetricSet()
        self.guard = CrashGuard()
        self.upstream = LocalUpstream(
            observer=FakeAddressObserver(),
            address=ADDRESS,
            service="s",
            on_change=lambda: None,
        )
        self.upstream.on_report(report(1), 0.0)
        self.gateway = MeshGateway(
            node_id="n1",
            upstream=self.upstream,
            channels=self.channels,
            protocol=PlatformUpstreamProtocol(),
            guard=self.guard,
            clock=self.clock,
            metrics=self.metrics,
        )

    def handle(self, **changes):
        message = call(**changes)
        return self.gateway.handle(
            message, deadline=message.deadline, objective_at=message.objective_at
        )

    def test_answer_of_the_upstream_is_returned(self):
        """Status and body come from the upstream, the load from the gateway."""
        result = self.handle()
        self.assertEqual(
            (CallOutcome.COMPLETE, 200, b"body"),
            (result.outcome, result.status, result.body),
        )
        self.assertEqual((0, 0, 2), self.load_of(result))
        self.assertEqual("u1", self.channels.sent[0][1]["Target-Instance"])

    def load_of(self, result):
        return result.load.running, result.load.waiting, result.load.slots

    def test_refusals_of_the_upstream_do_not_count_as_service_times(self):
        """Guards against a queue that admits calls as if they took a millisecond."""
        self.channels.while_running = lambda: self.clock.advance(0.4)
        self.handle()
        self.channels.while_running = lambda: self.clock.advance(0.001)
        for kind, status in (
            (AnswerKind.NOT_RUN, 503),
            (AnswerKind.MATCHING, 500),
            (AnswerKind.MATCHING, 504),
        ):
            self.channels.kind, self.channels.status = kind, status
            result = self.handle()
            self.assertAlmostEqual(0.4, result.load.service_s, msg=(kind, status))

    def test_limit_is_learned_only_from_an_upstream_that_shares_its_vm(self):
        """Guards against a deployment that pays for a part that it has not."""
        for headers in ((), (("Server-Load", "1,0,2"),)):
            self.channels.headers = headers
            self.handle()
            self.assertEqual({}, self.limit_gauges())
        self.channels.headers = (("Server-Load", "1,0,2,100"),)
        self.handle()
        self.assertEqual({"mesh.upstream_concurrency_limit": 2}, self.limit_gauges())

    def test_operators_see_a_limit_that_changes_notably(self):
        """Guards against calls that wait beside free slots for no visible reason."""
        numbers = []
        handler = logger.add(lambda line: numbers.append(line.record["extra"]["event"]))
        self.addCleanup(logger.remove, handler)
        self.channels.headers = (("Server-Load", "1,0,2,100"),)
        for limit, expected in ((2, 0), (1, 1), (1, 1), (2, 2)):
            self.gateway._queue.limit = FixedLimit(limit)
            self.handle()
            self.assertEqual(limit, self.limit_gauges().popitem()[1])
            self.assertEqual(expected, numbers.count(727), limit)

    def limit_gauges(self):
        return {
            name: value
            for name, value in self.metrics.totals().items()
            if name == "mesh.upstream_concurrency_limit"
        }

    def test_nothing_is_sent_to_an_upstream_that_drains_while_a_channel_opens(self):
        """Opening a channel can take a second; the drain is acknowledged by then."""
        self.channels.while_opening = lambda: self.upstream.on_report(
            report(2, is_draining=True), 0.0
        )
        result = self.handle()
        self.assertEqual([], self.channels.sent)
        self.assertEqual(CallOutcome.NOT_RUN, result.outcome)
        self.assertEqual(DrainingError.code, result.code)
        self.assertFalse(result.has_arrived)

    def test_refused_call_has_not_run(self):
        """Such a call may be sent elsewhere, even if it is not idempotent."""
        fingerprint = fingerprint_of(call(target="/crash"))
        for number in range(CRASH_THRESHOLD):
            self.guard.record_crash(f"u{number}", (fingerprint,), self.clock.now())
        cases = {
            WrongServiceError.code: {"service": "other"},
            QuarantinedError.code: {"target": "/crash"},
        }
        for code, changes in cases.items():
            result = self.handle(is_idempotent=False, **changes)
            self.assertEqual((CallOutcome.NOT_RUN, code), (result.outcome, result.code))
            self.assertFalse(result.has_arrived, code)
        self.assertEqual([], self.channels.sent)

    def test_refused_calls_free_their_bodies_at_once(self):
        """Guards against memory that refusals of the queue keep until a collection."""
        body_bytes = 1_000_000
        gc.disable()
        self.addCleanup(gc.enable)
        self.gateway._queue.enter = lambda request, now: request.on_verdict(
            Verdict.REFUSED, 1.0
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(5):
            result = self.handle(body=bytes(body_bytes), request_id=f"q{number}")
            self.assertEqual(CallOutcome.NOT_RUN, result.outcome)
            del result
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, body_bytes // 2)

    def test_equal_requests_of_other_callers_are_told_apart(self):
        """Guards against completions of others that let a crashing request pass."""
        fingerprint = fingerprint_of(call(target="/crash"))
        for number in range(CRASH_THRESHOLD):
            self.guard.record_crash(f"u{number}", (fingerprint,), self.clock.now())
            other = self.handle(target="/crash", caller_service="other")
            self.assertEqual(CallOutcome.COMPLETE, other.outcome)
        self.assertEqual(QuarantinedError.code, self.handle(target="/crash").code)

    def test_call_that_may_have_run_is_unknown(self):
        """If it were reported as not run, the caller would send it again."""
        for error_type in (UpstreamLostError, CallTimeoutError):
            self.channels.error = error_type("lost", step="upstream.exchange")
            result = self.handle(is_idempotent=False)
            self.assertEqual(CallOutcome.UNKNOWN, result.outcome)
            self.assertTrue(result.has_arrived)

    def test_shed_call_has_arrived_but_not_run(self):
        """It may be sent elsewhere, and counts against the retry budget."""
        self.channels.kind = AnswerKind.NOT_RUN
        result = self.handle(is_idempotent=False)
        self.assertEqual(
            (CallOutcome.NOT_RUN, UpstreamShedError.code, True),
            (result.outcome, result.code, result.has_arrived),
        )

    def test_late_421_does_not_affect_the_next_upstream(self):
        """Guards against refusing calls because a request to the earlier one failed."""
        successor = StatusReport("u2", "s", ADDRESS, 2, False, 0.0, 1, 200)
        self.channels.kind = AnswerKind.OTHER_UPSTREAM
        self.channels.while_running = lambda: self.upstream.on_report(successor, 0.0)
        result = self.handle()
        self.assertEqual(UpstreamShedError.code, result.code)
        self.assertEqual("u1", self.channels.sent[0][1]["Target-Instance"])
        self.assertEqual("u2", self.upstream.upstream_id)
        self.assertTrue(self.upstream.accepts_work)

    def test_unreachable_upstream_counts_as_failing(self):
        """Otherwise entries would keep choosing a gateway that fails quickly."""
        self.channels.error = UpstreamUnreachableError("refused", step="connect")
        for _ in range(20):
            result = self.handle()
        self.assertEqual(CallOutcome.NOT_RUN, result.outcome)
        self.assertGreater(result.load.failure_rate, 0.8)

    def test_slot_is_freed_however_a_call_ends(self):
        """A leaked slot would be lost until the node restarts."""
        for error in (
            None,
            UpstreamLostError("lost", step="upstream.exchange"),
            ValueError("unexpected"),
        ):
            self.channels.error = error
            for _ in range(5):
                result = self.handle()
            self.assertEqual((0, 0, 2), self.load_of(result))
        self.assertEqual(0, self.gateway.in_flight)

    def test_unexpected_error_makes_the_outcome_unknown(self):
        """After an unexpected exception the call may have run."""
        self.channels.error = ValueError("unexpected")
        self.assertEqual(CallOutcome.UNKNOWN, self.handle().outcome)

    def test_stopping_gateway_accepts_only_calls_that_end_in_its_grace(self):
        """Guards against bookings that are accepted and cut when the node ends."""
        for _ in range(20):
            self.channels.while_opening = lambda: self.clock.advance(1.0)
            self.handle(deadline=self.clock.now() + 60)
        self.channels.sent.clear()
        for grace_s, left_s, expected in (
            (0.5, 0.4, CallOutcome.NOT_RUN),
            # The upstream may take longer than its average of about 1 s.
            (1.5, 1.4, CallOutcome.NOT_RUN),
            (3, 2.9, CallOutcome.COMPLETE),
            # An entry that got its SIGTERM together with this node.
            (3, 3 + STOP_SKEW_S / 2, CallOutcome.COMPLETE),
            # The upstream may take longer than its longest run so far.
            (3, 3.5, CallOutcome.NOT_RUN),
            (3, 60, CallOutcome.NOT_RUN),
        ):
            now = self.clock.now()
            self.gateway.stop_by(now + grace_s)
            result = self.handle(deadline=now + left_s, is_idempotent=False)
            self.assertEqual(expected, result.outcome)
        self.assertEqual(2, len(self.channels.sent))
        for _, headers in self.channels.sent:
            self.assertLessEqual(int(headers["Deadline-Remaining"]), 3000)

    def call_from_peer(self, peer_now: float) -> int:
        """Handle a call sent now, of 1 s by the peer's clock; return the ms passed on.

        Returns 0 if the gateway sends nothing.
        """
        self.channels.sent.clear()
        message = call(
            sent_at=peer_now, deadline=peer_now + 1, objective_at=peer_now + 0.5
        )
        self.gateway.on_call(PEER, message, self.clock.now())
        if not self.channels.sent:
            return 0
        return int(self.channels.sent[0][1]["Deadline-Remaining"])

    def test_deadline_follows_a_peer_whose_clock_falls_behind(self):
        """Guards against calls that are broken off long before their deadline."""
        slowness = 100e-6
        peer_now = 5000.0
        for _ in range(2000):
            self.clock.advance(10.0)
            peer_now += 10.0 * (1 - slowness)
            left_ms = self.call_from_peer(peer_now)
        self.assertGreaterEqual(left_ms, 990)

    def test_deadline_recovers_after_the_pause_of_a_peers_vm(self):
        """Guards against calls that are broken off early until a node restarts."""
        peer_now = 5000.0
        self.call_from_peer(peer_now)
        self.clock.advance(0.6)
        for _ in range(120):
            self.clock.advance(1.0)
            peer_now += 1.0
            left_ms = self.call_from_peer(peer_now)
        self.assertGreaterEqual(left_ms, 990)

    def test_call_that_was_delayed_in_transit_gains_little_time(self):
        """Guards against runs for callers that have given up."""
        peer_now = 5000.0
        self.call_from_peer(peer_now)
        self.clock.advance(5.0)
        # Sent 0.5 s ago.
        left_ms = self.call_from_peer(peer_now + 4.5)
        self.assertLessEqual(left_ms, 560)

    def test_call_that_was_delayed_on_an_idle_link_gains_little_time(self):
        """Guards against handing upstreams more time than the callers have left."""
        peer_now = 5000.0
        self.call_from_peer(peer_now)
        self.clock.advance(120.0)
        # Sent 0.9 s ago.
        left_ms = self.call_from_peer(peer_now + 119.1)
        self.assertLessEqual(left_ms, 310)
