"""Gateway role: serves calls for the local upstream."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

from eventlet.event import Event
from greenlet import GreenletExit
from xxhash import xxh64_intdigest

from verbenawick.calls._admission import Admission
from verbenawick.calls._table import Criticality, RoutingTable, ServicePolicy
from verbenawick.calls._tracing import Tracer
from verbenawick.calls._upstream import UpstreamConnections
from verbenawick.errors import (
    AnswerLostError,
    CallError,
    CallInProgressError,
    CallTimeoutError,
    ClaimRefusedError,
    ClaimUnknownError,
    DeadlineUnreachableError,
    DrainingError,
    LinkClosedError,
    NotReadyError,
    PeerLostError,
    QuarantinedError,
    QueueFullError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
    WrongServiceError,
)
from verbenawick.links._call_messages import (
    MAX_MESSAGE_BODY_BYTES,
    CallAnswer,
    CallRequest,
    Headers,
    Outcome,
    next_call_id,
)
from verbenawick.links._component import NodeIdentity, RequestPort
from verbenawick.links._members import Member, MemberState, MemberView
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._metrics import MetricSet

# Codes of refused calls that another upstream of the service may accept.
FORWARDABLE_REFUSAL_CODES = frozenset(
    {
        DrainingError.code,
        QueueFullError.code,
        UpstreamShedError.code,
        UpstreamUnreachableError.code,
    }
)


@register_event(501)
@dataclass(frozen=True, slots=True)
class GatewayDraining(LogEvent):
    """The gateway refuses new calls and finishes those in flight."""

    node: str
    in_flight: int


class ClaimVerdict(StrEnum):
    """Decision of the owner of an idempotency key about a request."""

    RUN = "run"
    RECORDED = "recorded"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Result of `ClaimPort.begin`.

    Attributes
    ----------
    verdict : ClaimVerdict
        `RUN`: the key is now claimed and the gateway must execute the request;
        `RECORDED`: `answer` is the response of an earlier execution;
        `IN_PROGRESS`: an earlier request with this key is running on this node;
        `UNKNOWN`: the request may have run before, and its response is not known;
        `REFUSED`: the key was not claimed, and this attempt did not run; `code` gives
        the reason, for example that the owner's authority has ended.
    code : str
        Error code for the caller, empty for `RUN` and `RECORDED`.
    """

    verdict: ClaimVerdict
    answer: CallAnswer | None = None
    code: str = ""


@register_event(504, level="ERROR")
@dataclass(frozen=True, slots=True)
class GatewayFailed(LogEvent):
    """A call ended with an unexpected exception."""

    node: str
    error: str


ERRORS_BY_VERDICT: dict[ClaimVerdict, type[CallError]] = {
    ClaimVerdict.IN_PROGRESS: CallInProgressError,
    ClaimVerdict.UNKNOWN: ClaimUnknownError,
    ClaimVerdict.REFUSED: ClaimRefusedError,
}


class ClaimPort(Protocol):
    """At-most-once execution of keyed requests, as used by entry and gateway.

    The entry calls `owner_of` and sends the call to the owner's gateway, and to no
    other node, with an empty `CallRequest.claimed_by`. The owner's gateway calls
    `begin` in the green thread of the call. On `RUN` it executes the request on its
    local upstream or, if that one is full or draining, through the gateway of another
    upstream of the service. The forwarded request has `claimed_by` set to the owner's
    node id, so that the other gateway claims nothing. Immediately before the request is
    written to a socket, the owner's gateway calls `confirm`. After `RUN`, it calls
    exactly one of these, even if the caller has disconnected:

    - `finish`: the response is complete;
    - `release`: the request is proven not to have run, since no byte was sent to an
      upstream or the upstream answered that it did not run the request;
    - `mark_unknown`: the request was sent and no complete response arrived.

    Once a request was sent to an upstream, it is not sent to another one unless the
    upstream answered that it did not run it.
    """

    def owner_of(self, service_id: str, key: str) -> Member | None:
        """Return the member that owns `key`; None if the service has no member."""
        ...

    def begin(
        self,
        key: str,
        *,
        fingerprint: bytes,
        attempt: int,
        deadline: float,
    ) -> ClaimDecision:
        """Claim `key`, or return why it was not claimed.

        Called only on the owner, for keys of the service of its node. May block until
        `deadline` while earlier owners are asked to seal the key.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the request; reuse of the key for a different request is refused.
        attempt : int
            The caller's attempt number, 1 for the first.
        deadline : float
            Time on the local clock.
        """
        ...

    def confirm(self, key: str) -> bool:
        """Return whether the claim still holds; never blocks.

        Called immediately before the request is written. Returns False if the
        authority or the claim ended while the owner was paused. The gateway then sends
        nothing and calls `release`.
        """
        ...

    def finish(self, key: str, answer: CallAnswer) -> None:
        """Record the complete response of the claimed request."""
        ...

    def release(self, key: str) -> None:
        """Release the claim: the request is proven not to have run."""
        ...

    def mark_unknown(self, key: str) -> None:
        """Record that the claimed request may have run."""
        ...


class Gateway:
    """Serves calls for the local upstream.

    Parameters
    ----------
    table : callable
        Returns the `RoutingTable` in force, None before the first one.
    claims : ClaimPort
        Decides on keyed requests.
    is_quarantined : callable
        Returns whether requests with a fingerprint are refused.
    on_upstream_run, on_upstream_refusal : callable
        Called after the upstream ran a request or refused to run it.
    """

    def __init__(
        self,
        *,
        node_id: str,
        service_id: str,
        admission: Admission,
        upstream: UpstreamConnections,
        table: Callable[[], RoutingTable | None],
        members: MemberView,
        requests: RequestPort,
        claims: ClaimPort,
        tracer: Tracer,
        metrics: MetricSet,
        clock: Clock,
        is_quarantined: Callable[[bytes], bool] = lambda fingerprint: False,
        on_upstream_run: Callable[[], None] = lambda: None,
        on_upstream_refusal: Callable[[], None] = lambda: None,
    ):
        self._on_upstream_run = on_upstream_run
        self._on_upstream_refusal = on_upstream_refusal
        self._node_id = node_id
        self._service_id = service_id
        self._admission = admission
        self._upstream = upstream
        self._table = table
        self._members = members
        self._requests = requests
        self._claims = claims
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock
        self._is_quarantined = is_quarantined
        self._in_flight = 0
        self._is_draining = False
        self._idle = Event()

    @property
    def is_draining(self) -> bool:
        """Return whether the gateway refuses new calls."""
        return self._is_draining

    @property
    def in_flight(self) -> int:
        """Return the number of calls that the gateway is handling."""
        return self._in_flight

    @property
    def busy_share(self) -> float:
        """Return the fraction of slots in use, 0 to 1."""
        return self._admission.in_use / self._admission.slots

    def drain(self) -> None:
        """Refuse new calls from now on; calls that hold a slot run to completion."""
        if self._is_draining:
            return
        self._is_draining = True
        self._idle = Event()
        emit(GatewayDraining(self._node_id, self._in_flight))
        self._admission.drain()
        if not self._in_flight:
            self._idle.send(True)

    def resume(self) -> None:
        """Accept new calls again, after the drain of the upstream ended."""
        self._is_draining = False
        self._admission.resume()

    def wait_drained(self, *, timeout_s: float) -> bool:
        """Wait after `drain`; return whether all calls ended within `timeout_s`."""
        is_idle = bool(self._idle.wait(timeout=timeout_s))
        self._upstream.close_idle()
        return is_idle

    def on_request(
        self, peer: NodeIdentity, request: CallRequest, sent_at: float
    ) -> CallAnswer:
        """Handle a call from another node; registered as a handler of `CallLinks`.

        The answer is assumed to take as long in transit as the request did. It must
        arrive before the entry's deadline, since the entry reports the outcome as
        unknown when a refusal arrives late.
        """
        transit_s = self._clock.now() - sent_at
        deadline = sent_at + request.remaining_ms / 1000 - transit_s
        return self.handle(request, deadline=deadline)

    def handle(self, request: CallRequest, *, deadline: float) -> CallAnswer:
        """Return the answer to a call; exceptions are converted to answers."""
        self._in_flight += 1
        try:
            context = self._tracer.context_from(request.traceparent)
            with self._tracer.span("gateway", context) as span_context:
                return self._handle(request, deadline, span_context)
        except CallError as error:
            return self._answer_for(error, request)
        except Exception as error:
            emit(GatewayFailed(self._node_id, repr(error)))
            return unknown_answer(error, request)
        finally:
            self._in_flight -= 1
            if self._is_draining and not self._in_flight and not self._idle.ready():
                self._idle.send(True)

    def _handle(self, request, deadline, context) -> CallAnswer:
        is_owner = bool(request.idempotency_key) and not request.claimed_by
        try:
            policy = self._validate(request, deadline)
        except CallError as error:
            if is_owner and request.attempt > 1:
                return unknown_answer(error, request)
            raise
        if is_owner:
            return self._handle_as_owner(request, deadline, context, policy)
        return self._run(request, deadline, context, policy)

    def _validate(self, request: CallRequest, deadline: float) -> ServicePolicy:
        table = self._table()
        if table is None:
            raise NotReadyError(
                "no configuration in force", step="gateway", peer=self._node_id
            )
        if request.service_id != self._service_id:
            raise WrongServiceError(
                f"this gateway serves {self._service_id}",
                step="gateway",
                peer=self._node_id,
            )
        if self._is_quarantined(request.fingerprint):
            raise QuarantinedError(
                "equal requests crashed upstreams", step="gateway", peer=self._node_id
            )
        if deadline <= self._clock.now():
            raise DeadlineUnreachableError(
                "deadline passed on the way", step="gateway", peer=self._node_id
            )
        return table.policies_by_service_id.get(self._service_id) or ServicePolicy("")

    def _run(self, request, deadline, context, policy, before_send=None) -> CallAnswer:
        """Run the request on the local upstream; the returned answer is complete."""
        self._admission.enter(
            criticality=Criticality(request.criticality),
            deadline=deadline,
            policy=policy,
        )
        started_at = self._clock.now()
        service_s = None
        is_complete = False
        try:
            response = self._upstream.exchange(
                method=request.method,
                target=request.target,
                headers=self._headers_for(request, deadline, context),
                body=request.body,
                deadline=deadline,
                max_body_bytes=min(policy.max_body_bytes, MAX_MESSAGE_BODY_BYTES),
                before_send=before_send,
            )
            service_s = self._clock.now() - started_at
            is_complete = True
        except UpstreamShedError:
            self._on_upstream_refusal()
            raise
        except (CallTimeoutError, GreenletExit):
            service_s = self._clock.now() - started_at
            raise
        finally:
            self._admission.leave(service_s=service_s, is_complete=is_complete)
        self._on_upstream_run()
        return CallAnswer(
            request.call_id,
            Outcome.COMPLETE,
            "",
            response.status,
            response.headers,
            response.body,
            self._node_id,
        )

    def _headers_for(self, request, deadline, context) -> Headers:
        remaining_ms = max(int((deadline - self._clock.now()) * 1000), 1)
        headers = (
            *request.headers,
            ("Request-Timeout", str(remaining_ms)),
            ("Criticality", Criticality(request.criticality).name.lower()),
            ("Attempt", str(request.attempt)),
            ("Call-Depth", str(request.depth + 1)),
            ("traceparent", context.header()),
        )
        if request.idempotency_key:
            headers += (("Idempotency-Key", request.idempotency_key),)
        return headers

    def _handle_as_owner(self, request, deadline, context, policy) -> CallAnswer:
        key = request.idempotency_key
        decision = self._claims.begin(
            key,
            fingerprint=request.fingerprint,
            attempt=request.attempt,
            deadline=deadline,
        )
        if decision.verdict is not ClaimVerdict.RUN:
            return self._answer_unclaimed(request, decision)
        try:
            answer = self._run_claimed(request, deadline, context, policy)
        except BaseException as error:
            # Also on GreenletExit: it is not known here whether the request was sent.
            self._claims.mark_unknown(key)
            if not isinstance(error, Exception):
                raise
            emit(GatewayFailed(self._node_id, repr(error)))
            return unknown_answer(error, request)
        if answer.outcome is Outcome.COMPLETE:
            self._claims.finish(key, answer)
        elif answer.outcome is Outcome.NOT_RUN:
            self._claims.release(key)
            if request.attempt > 1:
                # This attempt did not run, but an earlier one may still be in transit.
                return replace(answer, outcome=Outcome.UNKNOWN)
        else:
            self._claims.mark_unknown(key)
        return answer

    def _answer_unclaimed(self, request, decision: ClaimDecision) -> CallAnswer:
        if decision.verdict is ClaimVerdict.RECORDED:
            return replace(decision.answer, call_id=request.call_id)
        error_type = ERRORS_BY_VERDICT[decision.verdict]
        error = error_type(
            f"key was not claimed: {decision.verdict}",
            step="gateway.claim",
            peer=self._node_id,
        )
        if request.attempt > 1:
            # An earlier attempt may have run elsewhere, so "not run" is not proven.
            answer = unknown_answer(error, request)
        else:
            answer = answer_for(error, request)
        return replace(answer, code=decision.code or answer.code)

    def _run_claimed(self, request, deadline, context, policy) -> CallAnswer:
        """Run the request on the local upstream, or on another one if it refuses."""
        key = request.idempotency_key

        def confirm() -> None:
            if not self._claims.confirm(key):
                raise ClaimRefusedError(
                    "claim ended before the request was sent", step="gateway.confirm"
                )

        try:
            return self._run(request, deadline, context, policy, confirm)
        except CallError as error:
            answer = self._answer_for(error, request)
        if answer.code not in FORWARDABLE_REFUSAL_CODES:
            return answer
        return self._run_on_other_upstream(request, deadline, policy, answer)

    def _answer_for(self, error: CallError, request: CallRequest) -> CallAnswer:
        answer = answer_for(error, request)
        if isinstance(error, UpstreamLostError):
            return replace(answer, upstream_node_id=self._node_id)
        return answer

    def _run_on_other_upstream(self, request, deadline, policy, answer) -> CallAnswer:
        others = [
            member
            for member in self._members.members_of(self._service_id)
            if member.node_id != self._node_id and member.state is MemberState.ACTIVE
        ]
        # Starting at the hash of the key spreads the load of a full upstream.
        start = xxh64_intdigest(request.idempotency_key.encode()) % max(len(others), 1)
        for member in (others[start:] + others[:start])[: policy.max_attempts - 1]:
            if not self._claims.confirm(request.idempotency_key):
                return answer
            try:
                result = self._requests.request(
                    member,
                    self._forwarded_request(request, deadline),
                    deadline=deadline,
                )
            except LinkClosedError:
                continue
            except AnswerLostError as error:
                lost = PeerLostError(
                    error.message, step="gateway.forward", peer=member.node_id
                )
                return answer_for(lost, request)
            answer = replace(result, call_id=request.call_id)
            if answer.outcome is not Outcome.NOT_RUN:
                return answer
        return answer

    def _forwarded_request(self, request: CallRequest, deadline: float) -> CallRequest:
        return replace(
            request,
            call_id=next_call_id(),
            claimed_by=self._node_id,
            remaining_ms=(deadline - self._clock.now()) * 1000,
        )


def answer_for(error: CallError, request: CallRequest) -> CallAnswer:
    """Return the answer that reports `error` with the outcome it proves."""
    outcome = Outcome(error.outcome)
    return CallAnswer(request.call_id, outcome, error.code, 0, (), b"", "")


def unknown_answer(error: Exception, request: CallRequest) -> CallAnswer:
    """Return the answer that reports `error` with the outcome unknown."""
    code = getattr(error, "code", CallError.code)
    return CallAnswer(request.call_id, Outcome.UNKNOWN, code, 0, (), b"", "")
