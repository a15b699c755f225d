"""Gateway role: runs calls on the local upstream, within its number of slots."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import eventlet
from eventlet.event import Event
from xxhash import xxh3_128_digest

from verbenawick.capacity._model import UpstreamLoad
from verbenawick.capacity._moving_average import MovingAverage
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
from verbenawick.links._links import Link
from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._messages import ForwardedAnswer, ForwardedCall
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    Headers,
)
from verbenawick.mesh._named_limits import LimitNotice, NamedLimit
from verbenawick.mesh._placement import ends_before_stop
from verbenawick.mesh._slot_queue import SlotQueue, SlotRequest, Verdict
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer, UpstreamChannels
from verbenawick.releases._shares import VersionShares
from verbenawick.releases._tally import ReleaseTally
from verbenawick.runtime._calls_in_flight import CallsInFlight
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.sharing._fair_shares import weights_by_workspace
from verbenawick.workspaces._model import Workspaces

# Weight of a new outcome in the moving average of the upstream's failure rate.
FAILURE_WEIGHT = 0.1
# Time by which the deadline of a call may exceed the end of a stopping gateway. Nodes
# that are stopped together get their stop requests at slightly different times, and
# each entry lets its calls end before its own stop.
STOP_SKEW_S = 0.2
# Change of the learned limit that is logged, as a share of the slots.
NOTABLE_LIMIT_CHANGE = 0.2
# Rate at which the estimated offset of a peer's clock falls while all calls seem to be
# delayed, in seconds per second. The clocks of two VMs diverge when one is slewed or
# paused.
CLOCK_OFFSET_DECAY = 0.01
# Most that one call lowers the estimate, which is the time that a delayed call can gain
# on a link without earlier calls. Upstreams may get 0.5 s more than their caller has.
MAX_OFFSET_FALL_S = 0.2

RUNS = register_metric(
    "mesh.gateway_runs", MetricKind.COUNTER, "calls", "Calls sent to the own upstream"
)
REFUSALS = register_metric(
    "mesh.gateway_refusals",
    MetricKind.COUNTER,
    "calls",
    "Calls that the gateway refused without sending them",
)
RATE_LIMIT = register_metric(
    "mesh.upstream_rate_limit",
    MetricKind.GAUGE,
    "calls/s",
    "Rate that the own upstream has named as its limit, 0 without one",
)


CONCURRENCY_LIMIT = register_metric(
    "mesh.upstream_concurrency_limit",
    MetricKind.GAUGE,
    "calls",
    "Calls that the own upstream takes well at a time, at most its slots",
)
SERVICE_TIME = register_metric(
    "mesh.upstream_service_time",
    MetricKind.GAUGE,
    "seconds",
    "Expected time of a call at the own upstream, over all routes",
)


@register_event(720, level="WARNING")
@dataclass(frozen=True, slots=True)
class GatewayRefused(LogEvent):
    """The gateway refused a call without sending it to the upstream.

    `priority` and `workspace` are what the call competed for a slot with.
    """

    request: str
    route: str
    workspace: str
    priority: int
    code: str
    upstream: str
    state: str
    running: int
    waiting: int
    left_s: float


@register_event(721, level="WARNING")
@dataclass(frozen=True, slots=True)
class UpstreamFailed(LogEvent):
    """The upstream was unreachable, refused a call or gave no complete answer to it."""

    request: str
    route: str
    code: str
    upstream: str
    left_s: float
    reason: str


@register_event(724, level="WARNING")
@dataclass(frozen=True, slots=True)
class UpstreamCrashed(LogEvent):
    """The upstream closed the channel of a call and accepts no connections.

    `process` is the id and the start of the upstream; `requests` is the number of
    different requests that it was running.
    """

    process: str
    requests: int


@register_event(722, level="ERROR")
@dataclass(frozen=True, slots=True)
class GatewayError(LogEvent):
    """A call ended with an unexpected exception."""

    request: str
    error: str


@register_event(723)
@dataclass(frozen=True, slots=True)
class UpstreamRateChanged(LogEvent):
    """The upstream began or ceased to limit the requests per second that it takes.

    Rates are in requests per second, 0 if unlimited.
    """

    upstream: str
    earlier_rate: float
    rate: float


@register_event(727)
@dataclass(frozen=True, slots=True)
class ConcurrencyLimitChanged(LogEvent):
    """The number of calls that the upstream is found to take well changed notably.

    `service_s` is the mean time of its recent calls.
    """

    upstream: str
    earlier_limit: int
    limit: int
    slots: int
    service_s: float


class UpstreamProtocol(Protocol):
    """Protocol of the upstream; implemented by `verbenawick.platform`."""

    @property
    def id_header(self) -> str:
        """Return the lower-case name of the header with the id of a request."""
        ...

    def request_headers(
        self,
        headers: Headers,
        *,
        caller_service: str,
        upstream_id: str,
        left_s: float,
        workspace: str,
    ) -> Headers:
        """Return request headers that allow only `upstream_id` to run the request."""
        ...

    def classify(self, answer: RawAnswer, *, request_id: str) -> AnswerKind:
        """Classify an answer in relation to the request with `request_id`."""
        ...

    def response_headers(self, answer: RawAnswer) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""
        ...

    def load_of(self, answer: RawAnswer) -> UpstreamLoad | None:
        """Return the load that the upstream names, None if it names none."""
        ...

    def rate_limit_of(self, answer: RawAnswer) -> float | None:
        """Return the requests per second that the upstream takes, None if any."""
        ...

    def is_leaving(self, answer: RawAnswer) -> bool:
        """Return whether the upstream says that it leaves."""
        ...

    def health_headers(self, host: str) -> Headers:
        """Return the headers of a health probe."""
        ...

    def read_health(self, answer: RawAnswer) -> tuple[str, int]:
        """Return the upstream's id and slot count; the id is empty if unhealthy."""
        ...


def fingerprint_of(call: ForwardedCall) -> bytes:
    """Return a hash of caller, method, target and body, the same for equal requests.

    Upstreams may treat equal requests of different callers differently.
    """
    head = f"{call.caller_service} {call.method} {call.target}\n"
    return xxh3_128_digest(head.encode("latin-1", "replace") + call.body)


class MeshGateway:
    """Runs calls on the local upstream.

    Parameters
    ----------
    on_crash : callable
        Called with the process of the upstream that crashed and the fingerprints of the
        calls that it was running.
    observe : callable
        Called with the time that the upstream took for a call, in seconds.
    shares : VersionShares or None
        Releases in progress; None for none.
    tally : ReleaseTally or None
        Counts the calls during a release of the upstream's service.
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
        on_crash: Callable[
            [str, tuple[bytes, ...]], None
        ] = lambda process_id, fingerprints: None,
        on_limit: Callable[[], None] = lambda: None,
        observe: Callable[[float], None] = lambda seconds: None,
        shares: VersionShares | None = None,
        tally: ReleaseTally | None = None,
    ):
        self._shares = shares or VersionShares()
        self._tally = tally or ReleaseTally()
        self._observe = observe
        self._node_id = node_id
        self._upstream = upstream
        self._channels = channels
        self._protocol = protocol
        self._guard = guard
        self._clock = clock
        self._metrics = metrics
        self._on_crash = on_crash
        self._on_limit = on_limit
        self._queue = SlotQueue(slots=upstream.slots)
        self._failure_rate = MovingAverage(FAILURE_WEIGHT, 0.0)
        self._calls = CallsInFlight()
        self._stop_at = math.inf
        # `id()` of the non-idempotent calls that were sent to the upstream and are
        # still running.
        self._sent_non_idempotent: set[int] = set()
        # Fingerprints of the calls that the upstream is running, by `id()` of the call.
        self._running_fingerprints: dict[int, bytes] = {}
        # Offset and the local time at which it was estimated.
        self._clock_offset_by_peer: dict[tuple[str, int], tuple[float, float]] = {}
        self._named_limit = NamedLimit(upstream.upstream_id)
        self._is_grant_scheduled = False
        # Limit in the last log event about it.
        self._reported_limit = upstream.slots

    def put_workspaces(self, workspaces: Workspaces) -> None:
        """Share the slots between `workspaces`, in proportion to their allowances."""
        self._queue.fair_shares.weight_by_workspace = weights_by_workspace(workspaces)

    @property
    def running_count(self) -> int:
        """Return the number of calls that the own upstream is running."""
        return self._queue.running_count

    @property
    def in_flight(self) -> int:
        """Return the number of calls that the gateway is handling."""
        return self._calls.count

    def stop_by(self, deadline: float) -> None:
        """Accept only calls whose deadline is before the node stops.

        The time that a run takes is not known in advance, and a run that the end of the
        node cuts may have had its effect. A refused call can run at another gateway.
        Calls that are not expected to end by then are refused too.

        Parameters
        ----------
        deadline : float
            Local time by which the last answer has to be sent.
        """
        self._stop_at = deadline

    def stop_accepting(self) -> None:
        """Refuse new and queued calls; calls sent to the upstream complete."""
        self._calls.stop()
        self._queue.refuse_waiting(self._clock.now())

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Return whether all calls ended within `timeout_s` after `stop_accepting`."""
        return self._calls.wait_idle(timeout_s=timeout_s)

    def on_upstream_change(self) -> None:
        """Apply a change of the upstream's state or slot count to the queue."""
        now = self._clock.now()
        self._queue.slots = max(self._upstream.slots, 1)
        if self._upstream.upstream_id != self._named_limit.upstream_id:
            # The limits of the previous upstream do not apply to its successor.
            self._named_limit.follow(self._upstream.upstream_id)
            self._set_limit(self._named_limit.rate_limit, now)
            self._queue.forget_limit()
            self._reported_limit = self._queue.slots
        if not self._upstream.accepts_work:
            self._queue.refuse_waiting(now)
        self._grant_free_slots()

    @property
    def rate_limit(self) -> float | None:
        """Return the limit that the upstream names, as in `GatewayNotice`."""
        return self._named_limit.rate_limit

    def on_limit_notice(self, notice: LimitNotice) -> None:
        """Keep the limit that the upstream named to an earlier process of this node."""
        self._named_limit.on_notice(notice)
        self._set_limit(self._named_limit.rate_limit, self._clock.now())

    def load(self, route: str) -> GatewayLoad:
        """Return the load that is reported with each answer."""
        now = self._clock.now()
        return GatewayLoad(
            self._queue.running_count,
            self._queue.waiting_count,
            self._queue.usable_slots(route, now),
            self._queue.expected_service_s(route, now),
            self._failure_rate.value,
        )

    def is_cancellable(self, call: ForwardedCall) -> bool:
        """Return whether a call may be cancelled after its requester disconnected.

        A non-idempotent request that was sent to the upstream is not cancelled, because
        its effect is still wanted.
        """
        return call.is_idempotent or id(call) not in self._sent_non_idempotent

    def on_link_open(self, link: Link) -> None:
        """Measure the clock of a node that has linked this one.

        The first call may be held in transit for seconds; the handshake of a link that
        opens is not.
        """
        if link.clock_offset_s is not None:
            self._record_clock_offset(link.peer, link.clock_offset_s)

    def on_call(
        self, peer: NodeIdentity, call: ForwardedCall, sent_at: float
    ) -> ForwardedAnswer:
        """Handle a call from another node; registered as a handler of `CallLinks`."""
        offset = self._clock_offset(peer, call)
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
            load.failure_rate,
        )

    def handle(
        self, call: ForwardedCall, *, deadline: float, objective_at: float
    ) -> CallResult:
        """Run a call and return its result; exceptions are converted to results.

        Parameters
        ----------
        deadline, objective_at : float
            Times on the local clock.
        """
        with self._calls.enter():
            try:
                return self._handle(call, deadline, objective_at)
            except CallError as error:
                return self._failure_result(call, error, deadline)
            except Exception as error:
                emit(GatewayError(call.request_id, repr(error)))
                return self._result(call, CallOutcome.UNKNOWN, CallError.code)

    def _handle(self, call, deadline, objective_at) -> CallResult:
        now = self._clock.now()
        fingerprint = fingerprint_of(call)
        self._check_accepts(call, fingerprint, deadline, now)
        ends_by = min(deadline, self._stop_at)
        request = SlotRequest(
            call.route,
            call.priority,
            objective_at,
            ends_by,
            lambda *verdict: None,
            call.workspace,
        )
        self._wait_for_slot(request, now)
        started_at = self._clock.now()
        service_s = None
        try:
            # The upstream's state may have changed while the call was queued.
            self._check_accepts(call, fingerprint, deadline, started_at)
            kind, answer = self._run_counted(call, fingerprint, deadline, started_at)
            elapsed_s = self._clock.now() - started_at
            self._observe(elapsed_s)
            if self._shows_service_time(call.route, kind, answer, elapsed_s):
                service_s = elapsed_s
        finally:
            self._queue.leave(request, self._clock.now(), service_s=service_s)
            self._schedule_grant()
            if self._queue.learns_limit:
                self._report_concurrency_limit()
        if kind is not AnswerKind.MATCHING:
            raise UpstreamShedError(
                f"upstream answered {answer.status} without running the request",
                step="gateway.run",
                peer=self._upstream.upstream_id,
            )
        self._guard.record_completion(fingerprint, self._clock.now())
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

    def _shows_service_time(
        self, route: str, kind: AnswerKind, answer: RawAnswer, elapsed_s: float
    ) -> bool:
        """Return whether the time of an answer tells how long calls take.

        A failed call would have taken at least as long, a refused one says nothing.
        """
        if kind is not AnswerKind.MATCHING:
            return False
        expected_s = self._queue.service_times.expected_s(route)
        return answer.status < 500 or elapsed_s > expected_s

    def _run_counted(self, call, fingerprint: bytes, deadline: float, started_at):
        """Run a call, and count it for a release unless the upstream refused it."""
        try:
            kind, answer = self._run(call, fingerprint, deadline)
        except CallNotRunError:
            raise
        except CallError:
            self._count_for_release(call, started_at, is_failure=True)
            raise
        if kind is AnswerKind.MATCHING:
            is_failure = answer.status >= 500
            self._count_for_release(call, started_at, is_failure=is_failure)
        return kind, answer

    def _count_for_release(self, call, started_at: float, *, is_failure: bool) -> None:
        seconds = self._clock.now() - started_at
        self._tally.add(call.route, seconds, is_failure=is_failure)

    def _check_accepts(
        self, call: ForwardedCall, fingerprint: bytes, deadline: float, now: float
    ) -> None:
        upstream = self._upstream
        if self._calls.is_stopping or not upstream.accepts_work:
            raise DrainingError(
                f"gateway accepts no calls; upstream state is {upstream.state}",
                step="gateway",
                peer=self._node_id,
            )
        if self._shares.is_retired(upstream.service, upstream.version, now):
            raise DrainingError(
                f"version {upstream.version} gets no further calls",
                step="gateway",
                peer=self._node_id,
            )
        if call.service != upstream.service:
            raise WrongServiceError(
                f"this gateway serves {upstream.service}",
                step="gateway",
                peer=self._node_id,
            )
        if self._stop_at < math.inf and not self._ends_before_stop(call, deadline, now):
            raise DrainingError(
                "call may not end before the node stops",
                step="gateway",
                peer=self._node_id,
            )
        if self._guard.is_refused(fingerprint, now):
            raise QuarantinedError(
                "equal requests crashed upstreams",
                step="gateway",
                peer=self._node_id,
            )

    def _ends_before_stop(
        self, call: ForwardedCall, deadline: float, now: float
    ) -> bool:
        return deadline <= self._stop_at + STOP_SKEW_S and ends_before_stop(
            self._queue.expected_service_s(call.route, now),
            left_s=self._stop_at - now,
        )

    def _wait_for_slot(self, request: SlotRequest, now: float) -> None:
        decided = Event()
        request.on_verdict = lambda verdict, wait_s: decided.send((verdict, wait_s))
        self._queue.enter(request, now)
        self._schedule_grant()
        try:
            timeout_s = max(self._queue.wait_until(request) - now, 0.0)
            verdict = decided.wait(timeout=timeout_s)
        except BaseException:
            self._queue.leave(request, self._clock.now())
            raise
        if verdict is None:
            self._queue.leave(request, self._clock.now())
            raise QueueFullError(
                "no slot became free before the deadline", step="gateway.queue"
            )
        if verdict[0] is Verdict.REFUSED:
            raise _queue_refusal(verdict[1])

    def _grant_free_slots(self) -> None:
        self._queue.grant_free_slots(self._clock.now())
        self._schedule_grant()

    def _schedule_grant(self) -> None:
        """Grant slots again when the rate of the upstream admits the next call."""
        if self._is_grant_scheduled:
            return
        now = self._clock.now()
        grant_at = self._queue.next_grant_at(now)
        if grant_at is not None:
            self._is_grant_scheduled = True
            eventlet.spawn_after(grant_at - now, self._grant_when_due)

    def _grant_when_due(self) -> None:
        self._is_grant_scheduled = False
        self._grant_free_slots()

    def _set_limit(self, limit: float | None, now: float) -> None:
        rate = self._queue.rate
        earlier = rate.limit
        rate.set_limit(limit or None, now)
        self._metrics.gauge(RATE_LIMIT, rate.limit or 0.0)
        if (earlier is None) != (rate.limit is None):
            emit(
                UpstreamRateChanged(
                    self._upstream.upstream_id, earlier or 0.0, rate.limit or 0.0
                )
            )

    def _report_concurrency_limit(self) -> None:
        queue = self._queue
        limit = queue.limit.learned
        self._metrics.gauge(CONCURRENCY_LIMIT, limit)
        self._metrics.gauge(SERVICE_TIME, queue.service_times.mean_s())
        earlier = self._reported_limit
        is_notable = abs(limit - earlier) >= NOTABLE_LIMIT_CHANGE * queue.slots
        if is_notable or (limit == queue.slots and limit != earlier):
            self._reported_limit = limit
            emit(
                ConcurrencyLimitChanged(
                    self._upstream.upstream_id,
                    earlier,
                    limit,
                    queue.slots,
                    round(queue.service_times.mean_s(), 4),
                )
            )

    def _run(self, call: ForwardedCall, fingerprint: bytes, deadline: float):
        upstream_id = self._upstream.upstream_id
        ends_by = min(deadline, self._stop_at)
        headers = self._protocol.request_headers(
            call.headers,
            caller_service=call.caller_service,
            upstream_id=upstream_id,
            left_s=max(ends_by - self._clock.now(), 0.001),
            workspace=call.workspace,
        )

        def before_send() -> None:
            # Opening a channel can take up to a second; the upstream may have started
            # to drain in the meantime.
            self._check_accepts(call, fingerprint, deadline, self._clock.now())
            self._metrics.count(RUNS)
            self._running_fingerprints[id(call)] = fingerprint
            if not call.is_idempotent:
                self._sent_non_idempotent.add(id(call))

        try:
            kind, answer = self._channels.exchange(
                request_id=call.request_id,
                method=call.method,
                target=call.target,
                headers=headers,
                body=call.body,
                deadline=ends_by,
                classify=lambda answer: self._protocol.classify(
                    answer, request_id=call.request_id
                ),
                before_send=before_send,
            )
            if upstream_id == self._upstream.upstream_id:
                self._on_answer(kind, answer)
            return kind, answer
        except UpstreamLostError:
            self._report_crash()
            raise
        finally:
            self._running_fingerprints.pop(id(call), None)
            self._sent_non_idempotent.discard(id(call))

    def _on_answer(self, kind: AnswerKind, answer: RawAnswer) -> None:
        """Apply what an answer to a request for the current upstream says of it."""
        if kind is AnswerKind.OTHER_UPSTREAM:
            self._upstream.on_other_upstream(self._upstream.upstream_id)
            return
        if self._protocol.is_leaving(answer):
            self._upstream.on_leaving(self._upstream.upstream_id)
        limit = self._protocol.rate_limit_of(answer)
        self._set_limit(limit, self._clock.now())
        if self._named_limit.on_answer(limit):
            self._on_limit()
        if not self._queue.learns_limit:
            load = self._protocol.load_of(answer)
            # On a VM that others use too, the slots do not tell what it takes well.
            self._queue.learns_limit = load is not None and load.slowdown is not None
        self._grant_free_slots()

    def _report_crash(self) -> None:
        """Report a crash if the upstream no longer accepts connections."""
        process_id = self._upstream.process_id
        fingerprints = tuple(set(self._running_fingerprints.values()))

        def confirm() -> None:
            if self._channels.is_reachable():
                return
            emit(UpstreamCrashed(process_id, len(fingerprints)))
            self._on_crash(process_id, fingerprints)

        eventlet.spawn_n(confirm)

    def _failure_result(self, call, error: CallError, deadline: float) -> CallResult:
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
                    call.workspace,
                    call.priority,
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
        self._failure_rate.add(float(is_failure))

    def _clock_offset(self, peer: NodeIdentity, call: ForwardedCall) -> float:
        """Return the estimated offset of the peer's clock from the local clock.

        Transit delay only lowers the measured difference, so the largest difference
        seen is the best estimate. It falls slowly, to follow a clock that has fallen
        behind. A call that was delayed in transit therefore gains little time.
        """
        return self._record_clock_offset(peer, call.sent_at - self._clock.now())

    def _record_clock_offset(self, peer: NodeIdentity, seen: float) -> float:
        key = (peer.node_id, peer.incarnation)
        now = self._clock.now()
        known, known_at = self._clock_offset_by_peer.get(key, (seen, now))
        fall_s = min(CLOCK_OFFSET_DECAY * (now - known_at), MAX_OFFSET_FALL_S)
        offset = max(known - fall_s, seen)
        self._clock_offset_by_peer[key] = offset, now
        return offset


def _queue_refusal(retry_after_s: float) -> QueueFullError:
    """Return the error for a call that the slot queue refused.

    A caller that kept it in a variable would form a reference cycle with its traceback,
    which keeps the call and its body until the next garbage collection.
    """
    error = QueueFullError("slot queue refused the call", step="gateway.queue")
    error.retry_after_s = retry_after_s
    return error
