"""Dispatch of a call by the entry: endpoint selection, attempts and outcome.

An attempt is one try to have a member run a call, even if its gateway refuses the call
or cannot be reached. `max_attempts` of a policy limits the attempts by this entry. The
attempt number in a request continues the caller's numbering, so a number above 1 means
that the call may have been sent before.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import eventlet

from verbenawick.calls._attempts import Attempt, Attempts
from verbenawick.calls._balancer import Balancer
from verbenawick.calls._gateway import ClaimPort, Gateway
from verbenawick.calls._retry import CallTraits, RetryRules
from verbenawick.calls._table import Criticality, ServicePolicy
from verbenawick.errors import (
    AnswerLostError,
    AuthorityEndedError,
    BadResponseError,
    CallError,
    CallTimeoutError,
    ClaimStoppingError,
    DrainingError,
    EarlierOwnerLostError,
    LinkClosedError,
    NoEndpointError,
    NotOwnerError,
    NotReadyError,
    PeerLostError,
    PeerUnreachableError,
    QueueFullError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
)
from verbenawick.links._call_messages import (
    CallAnswer,
    CallRequest,
    Headers,
    Outcome,
    next_call_id,
)
from verbenawick.links._component import RequestPort
from verbenawick.links._members import Member
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# A timeout counts as a failure of the endpoint only if the attempt lasted at least this
# long, which is a normal amount of time for a call.
MIN_TIMEOUT_AS_FAILURE_S = 0.1

# A further attempt is considered once half of the time left has passed without an
# answer, if that is at least this many times the average latency of the service.
MIN_ATTEMPT_LATENCIES = 10.0

# Codes with which an owner states that it did not claim the key, and which end by
# themselves when a node has joined, returned or stopped and the member tables agree
# again.
OWNER_NOT_READY_CODES = frozenset(
    {
        AuthorityEndedError.code,
        ClaimStoppingError.code,
        EarlierOwnerLostError.code,
        NotOwnerError.code,
        NotReadyError.code,
    }
)
OWNER_RETRY_DELAY_S = 0.1
# A node that joined may claim keys after its first heartbeats, which are sent once a
# second. A node that is cut off for longer does not keep the callers waiting.
MAX_OWNER_WAIT_S = 4.0

REFUSAL_CODES = frozenset({QueueFullError.code, UpstreamShedError.code})
FAILURE_CODES = frozenset(
    {
        BadResponseError.code,
        PeerLostError.code,
        PeerUnreachableError.code,
        UpstreamLostError.code,
        UpstreamUnreachableError.code,
    }
)

# Stands for the missing answer of an attempt that takes long, when the retry rules are
# asked about another one.
OVERDUE_ANSWER = CallAnswer(0, Outcome.UNKNOWN, CallTimeoutError.code, 0, (), b"", "")

CROSS_REGION_BYTES = register_metric(
    "calls.cross_region_bytes",
    MetricKind.COUNTER,
    "bytes",
    "Request and response bodies sent between regions",
)
ATTEMPTS = register_metric(
    "calls.attempts", MetricKind.COUNTER, "attempts", "Attempts sent to gateways"
)


@dataclass(frozen=True, slots=True)
class Call:
    """A call that the entry has accepted.

    Attributes
    ----------
    deadline : float
        Time on the local clock.
    version : int
        Version of the configuration that the call was routed with.
    """

    service_id: str
    policy: ServicePolicy
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    criticality: Criticality
    attempt: int
    depth: int
    idempotency_key: str
    is_repeatable: bool
    traceparent: str
    fingerprint: bytes
    version: int


class Dispatcher:
    """Sends calls to gateways and retries them as the retry rules allow.

    Parameters
    ----------
    gateway : Gateway
        Gateway of this node; calls to the local upstream need no link.
    on_crash : callable
        Called with the fingerprint and the node id of an attempt whose upstream was
        lost.
    on_complete : callable
        Called with the fingerprint of a call that got a complete response.
    is_quarantined : callable
        Returns whether requests with a fingerprint are refused.
    """

    def __init__(
        self,
        *,
        node_id: str,
        region: str,
        balancer: Balancer,
        retry_rules: RetryRules,
        gateway: Gateway,
        requests: RequestPort,
        claims: ClaimPort,
        clock: Clock,
        metrics: MetricSet,
        on_crash: Callable[[bytes, str], None] = lambda fingerprint, node_id: None,
        on_complete: Callable[[bytes], None] = lambda fingerprint: None,
        is_quarantined: Callable[[bytes], bool] = lambda fingerprint: False,
    ):
        self._node_id = node_id
        self._region = region
        self._balancer = balancer
        self._retry_rules = retry_rules
        self._gateway = gateway
        self._requests = requests
        self._claims = claims
        self._clock = clock
        self._metrics = metrics
        self._on_crash = on_crash
        self._on_complete = on_complete
        self._is_quarantined = is_quarantined

    def dispatch(self, call: Call) -> CallAnswer:
        """Return the outcome of `call`.

        Raises
        ------
        CallError
            No attempt was sent.
        """
        self._retry_rules.add_call(call.service_id, call.policy)
        if call.idempotency_key:
            return self._dispatch_keyed(call)
        return self._dispatch_with_retries(call)

    def _dispatch_keyed(self, call: Call) -> CallAnswer:
        now = self._clock.now()
        wait_until = now + min((call.deadline - now) / 2, MAX_OWNER_WAIT_S)
        while True:
            answer = self._attempt_at_owner(call)
            if answer.code not in OWNER_NOT_READY_CODES:
                return answer
            if self._clock.now() + OWNER_RETRY_DELAY_S >= wait_until:
                return answer
            eventlet.sleep(OWNER_RETRY_DELAY_S)

    def _attempt_at_owner(self, call: Call) -> CallAnswer:
        owner = self._claims.owner_of(call.service_id, call.idempotency_key)
        if owner is None:
            raise NoEndpointError("service has no member", step="entry.owner")
        answer = self._attempt(call, Attempt(owner), call.attempt)
        if answer.code == PeerUnreachableError.code and call.attempt > 1:
            # Nothing was sent now, but an earlier attempt with this key may have run.
            return replace(answer, outcome=Outcome.UNKNOWN)
        return answer

    def _dispatch_with_retries(self, call: Call) -> CallAnswer:
        attempts = Attempts(
            lambda attempt, number: self._attempt(call, attempt, call.attempt + number)
        )
        try:
            return self._first_complete_answer(call, attempts)
        finally:
            attempts.cancel()

    def _first_complete_answer(self, call: Call, attempts: Attempts) -> CallAnswer:
        """Return the first complete answer, or the last one if none is complete.

        An attempt that takes long is not cancelled for the next one, since it may be
        the one that completes.
        """
        member = self._balancer.choose(call.service_id, excluded=())
        if member is None:
            raise NoEndpointError(
                f"no usable member of {call.service_id}", step="entry.choose"
            )
        attempts.start(member)
        overdue_at = self._overdue_at(call, attempts)
        may_have_run = False
        while True:
            answer = attempts.next_answer(
                timeout_s=max(overdue_at - self._clock.now(), 0.0)
                if overdue_at < call.deadline
                else None
            )
            if answer is None:
                attempts.mark_overdue()
            elif answer.outcome is Outcome.COMPLETE:
                return answer
            else:
                may_have_run = may_have_run or answer.outcome is Outcome.UNKNOWN
            is_retried = self._start_retry(call, attempts, answer or OVERDUE_ANSWER)
            if not attempts.has_unread:
                break
            if is_retried or answer is None:
                overdue_at = self._overdue_at(call, attempts)
        if may_have_run:
            return replace(answer, outcome=Outcome.UNKNOWN)
        return answer

    def _start_retry(self, call: Call, attempts: Attempts, answer: CallAnswer) -> bool:
        if self._is_quarantined(call.fingerprint):
            return False
        member = self._balancer.choose(call.service_id, excluded=attempts.node_ids)
        if member is None or not self._may_retry(call, attempts, answer):
            return False
        attempts.start(member)
        return True

    def _may_retry(self, call: Call, attempts: Attempts, answer: CallAnswer) -> bool:
        traits = CallTraits(
            is_repeatable=call.is_repeatable,
            has_key=False,
            attempt=call.attempt,
            depth=call.depth,
        )
        return self._retry_rules.may_retry(
            call.service_id,
            call.policy,
            traits,
            answer,
            attempts_made=attempts.count,
            remaining_s=call.deadline - self._clock.now(),
        )

    def _overdue_at(self, call: Call, attempts: Attempts) -> float:
        """Return when another attempt is considered; the deadline for never.

        A paused node keeps its links open, so without this limit a call to it would
        wait until the deadline of the call.
        """
        now = self._clock.now()
        half_remaining_s = (call.deadline - now) / 2
        average_s = self._balancer.average_latency_s(call.service_id)
        is_last_attempt = attempts.count >= call.policy.max_attempts
        if (
            is_last_attempt
            or not call.is_repeatable
            or half_remaining_s < MIN_ATTEMPT_LATENCIES * average_s
        ):
            return call.deadline
        return now + half_remaining_s

    def _attempt(self, call: Call, attempt: Attempt, number: int) -> CallAnswer:
        member = attempt.member
        request = self._request_for(call, number)
        self._metrics.count(ATTEMPTS)
        self._balancer.start_attempt(member)
        started_at = self._clock.now()
        try:
            answer = self._send(member, request, call.deadline)
        except BaseException:
            if attempt.is_overdue:
                self._balancer.record_failure(member)
            else:
                self._balancer.record_inconclusive(member)
            raise
        self._record_answer(call, member, answer, self._clock.now() - started_at)
        if member.region != self._region:
            body_bytes = len(request.body) + len(answer.body)
            self._metrics.count(CROSS_REGION_BYTES, body_bytes)
        return answer

    def _send(self, member: Member, request: CallRequest, deadline: float):
        if member.node_id == self._node_id:
            return self._send_locally(request, deadline)
        try:
            return self._requests.request(member, request, deadline=deadline)
        except LinkClosedError as error:
            return _answer_for(PeerUnreachableError(error.message), request)
        except AnswerLostError as error:
            if self._clock.now() >= deadline:
                return _answer_for(CallTimeoutError(error.message), request)
            return _answer_for(PeerLostError(error.message), request)

    def _send_locally(self, request: CallRequest, deadline: float) -> CallAnswer:
        if not request.idempotency_key:
            return self._gateway.handle(request, deadline=deadline)
        # A separate green thread lets a claimed execution outlive its caller.
        thread = eventlet.spawn(self._gateway.handle, request, deadline=deadline)
        return thread.wait()

    def _record_answer(self, call, member, answer, elapsed_s) -> None:
        if answer.outcome is Outcome.COMPLETE:
            self._balancer.record_success(member, latency_s=elapsed_s)
            self._on_complete(call.fingerprint)
        elif answer.code == DrainingError.code:
            self._balancer.record_refusal(member, is_draining=True)
        elif answer.code in REFUSAL_CODES:
            self._balancer.record_refusal(member)
        elif _is_failure(answer, elapsed_s):
            self._balancer.record_failure(member)
        else:
            self._balancer.record_inconclusive(member)
        if answer.code == UpstreamLostError.code:
            self._on_crash(call.fingerprint, answer.upstream_node_id or member.node_id)

    def _request_for(self, call: Call, attempt: int) -> CallRequest:
        return CallRequest(
            call_id=next_call_id(),
            service_id=call.service_id,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            remaining_ms=(call.deadline - self._clock.now()) * 1000,
            criticality=call.criticality,
            attempt=attempt,
            depth=call.depth,
            idempotency_key=call.idempotency_key,
            claimed_by="",
            entry_node_id=self._node_id,
            traceparent=call.traceparent,
            fingerprint=call.fingerprint,
            version=call.version,
        )


def _is_failure(answer: CallAnswer, elapsed_s: float) -> bool:
    if answer.code == CallTimeoutError.code:
        return elapsed_s >= MIN_TIMEOUT_AS_FAILURE_S
    return answer.code in FAILURE_CODES


def _answer_for(error: CallError, request: CallRequest) -> CallAnswer:
    outcome = Outcome(error.outcome)
    return CallAnswer(request.call_id, outcome, error.code, 0, (), b"", "")
