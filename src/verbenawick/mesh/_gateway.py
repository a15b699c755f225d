"""Gateway role: runs calls on the upstream beside the node, within its slots."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import eventlet
from eventlet.event import Event
from xxhash import xxh3_128_digest

from verbenawick.errors import (
    CallError,
    CallNotRunError,
    DrainingError,
    QuarantinedError,
    QueueFullError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
    WrongServiceError,
)
from verbenawick.links._component import NodeIdentity
from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._messages import ForwardedAnswer, ForwardedCall
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    Headers,
)
from verbenawick.mesh._moving_average import MovingAverage
from verbenawick.mesh._slot_queue import SlotQueue, SlotRequest, Verdict
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer, UpstreamChannels
from verbenawick.runtime._calls_in_flight import CallsInFlight
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Weight of a new outcome in the share of failures of the upstream.
FAILURE_WEIGHT = 0.1

RUNS = register_metric(
    "mesh.gateway_runs", MetricKind.COUNTER, "calls", "Calls sent to the own upstream"
)
REFUSALS = register_metric(
    "mesh.gateway_refusals",
    MetricKind.COUNTER,
    "calls",
    "Calls that the gateway refused without sending them",
)


@register_event(720, level="WARNING")
@dataclass(frozen=True, slots=True)
class GatewayRefused(LogEvent):
    """The gateway refused a call; the upstream did not see it."""

    request: str
    route: str
    code: str
    upstream: str
    state: str
    running: int
    waiting: int
    left_s: float


@register_event(721, level="WARNING")
@dataclass(frozen=True, slots=True)
class UpstreamFailed(LogEvent):
    """The upstream did not give a whole answer of its own to a call."""

    request: str
    route: str
    code: str
    upstream: str
    left_s: float
    reason: str


@register_event(722, level="ERROR")
@dataclass(frozen=True, slots=True)
class GatewayError(LogEvent):
    """A call ended with an error that the gateway does not know."""

    request: str
    error: str


class UpstreamProtocol(Protocol):
    """How the upstream is spoken to; implemented by `verbenawick.platform`."""

    def request_headers(
        self, headers: Headers, *, upstream_id: str, left_s: float
    ) -> Headers:
        """Return the headers of a request that only `upstream_id` may run."""
        ...

    def classify(self, answer: RawAnswer, *, request_id: str) -> AnswerKind:
        """Return what an answer is to the request with `request_id`."""
        ...

    def response_headers(self, answer: RawAnswer) -> Headers:
        """Return the headers of an answer that are passed on."""
        ...

    def health_headers(self, host: str) -> Headers:
        """Return the headers of a health probe."""
        ...

    def read_health(self, answer: RawAnswer) -> tuple[str, int]:
        """Return the id and the slots of a healthy upstream; an empty id otherwise."""
        ...


def fingerprint_of(call: ForwardedCall) -> bytes:
    """Return what identifies equal requests."""
    head = f"{call.method} {call.target}\n".encode("latin-1", "replace")
    return xxh3_128_digest(head + call.body)


class MeshGateway:
    """Runs calls on the upstream beside the node.

    Parameters
    ----------
    on_crash : callable
        Told the fingerprints of the calls that were running when the upstream crashed.
    observe : callable
        Told the seconds that the upstream took for a call.
    """

    def __init__(
        self,
        *,
        node_id: str,
        upstream: LocalUpstream,
        channels: UpstreamChannels,
        protocol: UpstreamProtocol,
        guard: CrashGuard,
        clock: Clock,
        metrics: MetricSet,
        on_crash: Callable[[tuple[bytes, ...]], None] = lambda fingerprints: None,
        observe: Callable[[float], None] = lambda seconds: None,
    ):
        self._observe = observe
        self._node_id = node_id
        self._upstream = upstream
        self._channels = channels
        self._protocol = protocol
        self._guard = guard
        self._clock = clock
        self._metrics = metrics
        self._on_crash = on_crash
        self._queue = SlotQueue(slots=upstream.slots)
        self._failing_share = MovingAverage(FAILURE_WEIGHT, 0.0)
        self._calls = CallsInFlight()
        # Identities of the calls that must not run twice and are at the upstream.
        self._sent_once: set[int] = set()
        self._running_fingerprints: dict[int, bytes] = {}
        self._offset_by_peer: dict[tuple[str, int], float] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of calls that the gateway is handling."""
        return self._calls.count

    def stop_accepting(self) -> None:
        """Refuse new calls; those under way finish."""
        self._calls.stop()
        self._queue.refuse_all()

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Return whether the last call ended within `timeout_s`, after the stop."""
        return self._calls.wait_idle(timeout_s=timeout_s)

    def on_upstream_change(self) -> None:
        """Follow a change of the upstream's state or size."""
        self._queue.slots = max(self._upstream.slots, 1)
        if not self._upstream.accepts_work:
            self._queue.refuse_all()
        self._queue.grant_free(self._clock.now())

    def load(self, route: str) -> GatewayLoad:
        """Return the load that answers carry."""
        now = self._clock.now()
        return GatewayLoad(
            self._queue.running_count,
            self._queue.waiting_count,
            self._queue.slots,
            self._queue.expected_service_s(route, now),
            self._failing_share.value,
        )

    def is_cancellable(self, call: ForwardedCall) -> bool:
        """Return whether a call may be ended because nobody waits for it any more.

        A request that must not run twice and is at the upstream runs to its end: its
        requester may have left, its effect is wanted all the same.
        """
        return call.is_idempotent or id(call) not in self._sent_once

    def on_call(
        self, peer: NodeIdentity, call: ForwardedCall, sent_at: float
    ) -> ForwardedAnswer:
        """Handle a call from another node; a handler of `CallLinks`."""
        offset = self._offset(peer, call)
        result = self.handle(
            call,
            deadline=call.deadline - offset,
            objective_at=call.objective_at - offset,
        )
        load = result.load
        return ForwardedAnswer(
            call.call_id,
            result.outcome,
            result.code,
            result.status,
            result.headers,
            result.body,
            result.has_arrived,
            result.retry_after_s,
            load.running,
            load.waiting,
            load.slots,
            load.service_s,
            load.failing_share,
        )

    def handle(
        self, call: ForwardedCall, *, deadline: float, objective_at: float
    ) -> CallResult:
        """Run a call and return how it ended; errors of the path become results.

        Parameters
        ----------
        deadline, objective_at : float
            Instants of the local clock.
        """
        with self._calls.enter():
            try:
                return self._handle(call, deadline, objective_at)
            except CallError as error:
                return self._failure(call, error, deadline)
            except Exception as error:
                emit(GatewayError(call.request_id, repr(error)))
                return self._result(call, CallOutcome.UNKNOWN, CallError.code)

    def _handle(self, call, deadline, objective_at) -> CallResult:
        now = self._clock.now()
        fingerprint = fingerprint_of(call)
        self._check(call, fingerprint, now)
        request = SlotRequest(
            call.route, call.priority, objective_at, deadline, lambda *verdict: None
        )
        self._wait_for_slot(request, now)
        started_at = self._clock.now()
        service_s = None
        try:
            # The state may have changed while the call waited.
            self._check(call, fingerprint, started_at)
            kind, answer = self._run(call, fingerprint, deadline)
            service_s = self._clock.now() - started_at
            self._observe(service_s)
        finally:
            self._queue.leave(request, self._clock.now(), service_s=service_s)
        if kind is AnswerKind.OTHER_UPSTREAM:
            self._upstream.on_other_upstream(self._upstream.upstream_id)
        if kind is not AnswerKind.OWN:
            raise UpstreamShedError(
                f"upstream answered {answer.status} without running the request",
                step="gateway.run",
                peer=self._upstream.upstream_id,
            )
        self._guard.on_completion(fingerprint)
        self._count_outcome(is_failure=answer.status >= 500)
        return CallResult(
            CallOutcome.COMPLETE,
            "",
            answer.status,
            self._protocol.response_headers(answer),
            bytes(answer.body),
            True,
            0.0,
            self._node_id,
            self.load(call.route),
        )

    def _check(self, call: ForwardedCall, fingerprint: bytes, now: float) -> None:
        upstream = self._upstream
        if self._calls.is_stopping or not upstream.accepts_work:
            raise DrainingError(
                f"upstream is {upstream.state}", step="gateway", peer=self._node_id
            )
        if call.service != upstream.service:
            raise WrongServiceError(
                f"this gateway serves {upstream.service}",
                step="gateway",
                peer=self._node_id,
            )
        if self._guard.is_refused(fingerprint, now):
            raise QuarantinedError(
                "equal requests crashed upstreams", step="gateway", peer=self._node_id
            )

    def _wait_for_slot(self, request: SlotRequest, now: float) -> None:
        decided = Event()
        request.decide = lambda verdict, wait_s: decided.send((verdict, wait_s))
        self._queue.enter(request, now)
        try:
            timeout_s = max(request.deadline - now, 0.0)
            verdict = decided.wait(timeout=timeout_s)
        except BaseException:
            self._queue.leave(request, self._clock.now())
            raise
        if verdict is None:
            self._queue.leave(request, self._clock.now())
            raise QueueFullError("no slot became free in time", step="gateway.queue")
        if verdict[0] is Verdict.REFUSED:
            error = QueueFullError("no slot is free in time", step="gateway.queue")
            error.retry_after_s = verdict[1]
            raise error

    def _run(self, call: ForwardedCall, fingerprint: bytes, deadline: float):
        upstream_id = self._upstream.upstream_id
        headers = self._protocol.request_headers(
            call.headers,
            upstream_id=upstream_id,
            left_s=max(deadline - self._clock.now(), 0.001),
        )

        def before_send() -> None:
            # A channel may have taken its time to open; the upstream left meanwhile.
            self._check(call, fingerprint, self._clock.now())
            self._metrics.count(RUNS)
            self._running_fingerprints[id(call)] = fingerprint
            if not call.is_idempotent:
                self._sent_once.add(id(call))

        try:
            return self._channels.exchange(
                method=call.method,
                target=call.target,
                headers=headers,
                body=call.body,
                deadline=deadline,
                classify=lambda answer: self._protocol.classify(
                    answer, request_id=call.request_id
                ),
                before_send=before_send,
            )
        except UpstreamLostError:
            self._note_crash(upstream_id)
            raise
        finally:
            self._running_fingerprints.pop(id(call), None)
            self._sent_once.discard(id(call))

    def _note_crash(self, upstream_id: str) -> None:
        """Report a crash when the upstream accepts no channel any more."""
        fingerprints = tuple(set(self._running_fingerprints.values()))

        def confirm() -> None:
            if self._channels.is_reachable():
                return
            self._on_crash(fingerprints)

        eventlet.spawn_n(confirm)

    def _failure(self, call, error: CallError, deadline: float) -> CallResult:
        now = self._clock.now()
        has_arrived = isinstance(error, UpstreamShedError) or not isinstance(
            error, CallNotRunError
        )
        if has_arrived or isinstance(error, UpstreamUnreachableError):
            self._count_outcome(is_failure=True)
            emit(
                UpstreamFailed(
                    call.request_id,
                    call.route,
                    error.code,
                    self._upstream.upstream_id,
                    round(deadline - now, 3),
                    error.message,
                )
            )
        else:
            self._metrics.count(REFUSALS)
            emit(
                GatewayRefused(
                    call.request_id,
                    call.route,
                    error.code,
                    self._upstream.upstream_id,
                    self._upstream.state,
                    self._queue.running_count,
                    self._queue.waiting_count,
                    round(deadline - now, 3),
                )
            )
        return self._result(
            call,
            CallOutcome(error.outcome),
            error.code,
            has_arrived=has_arrived,
            retry_after_s=getattr(error, "retry_after_s", 0.0),
        )

    def _result(
        self, call, outcome, code, *, has_arrived=True, retry_after_s=0.0
    ) -> CallResult:
        return CallResult(
            outcome,
            code,
            has_arrived=has_arrived,
            retry_after_s=retry_after_s,
            node_id=self._node_id,
            load=self.load(call.route),
        )

    def _count_outcome(self, *, is_failure: bool) -> None:
        self._failing_share.add(float(is_failure))

    def _offset(self, peer: NodeIdentity, call: ForwardedCall) -> float:
        """Return what the peer's clock is ahead of the local one.

        Each message arrives after it was sent, so the largest difference seen is the
        closest; a call that was held up on its way does not get more time for it.
        """
        key = (peer.node_id, peer.incarnation)
        seen = call.sent_at - self._clock.now()
        offset = max(self._offset_by_peer.get(key, seen), seen)
        self._offset_by_peer[key] = offset
        return offset
