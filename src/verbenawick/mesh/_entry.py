"""Entry role: routes a caller's call to a gateway and retries it when that is safe.

An offer is one try to have a gateway run a call, even if the gateway refuses the call
or cannot be reached. An arrival is an offer whose request may have reached the
upstream, even if the upstream refused it. `MAX_OFFERS` limits the offers of a call, and
`max_attempts` of its route limits the arrivals. The retry budget is charged for each
arrival that is followed by another offer.
"""

import math
from dataclasses import dataclass, replace
from random import Random

import eventlet

from verbenawick.errors import (
    AnswerLostError,
    CallTimeoutError,
    DrainingError,
    LinkClosedError,
    NoEndpointError,
    NoRouteError,
    NotReadyError,
    PeerLostError,
    PeerUnreachableError,
    QuarantinedError,
    WrongServiceError,
)
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import next_call_id
from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.mesh._endpoints import Endpoint, Endpoints
from verbenawick.mesh._gateway import MeshGateway, fingerprint_of
from verbenawick.mesh._messages import ForwardedAnswer, ForwardedCall
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    IncomingCall,
    MeshConfiguration,
    MeshRoute,
    UpstreamState,
)
from verbenawick.mesh._placement import (
    MAX_FURTHER_OFFER_COST,
    Distance,
    choose,
    late_cost_of,
)
from verbenawick.mesh._retry_budget import RetryBudget
from verbenawick.mesh._route_index import RouteIndex, TargetRotation
from verbenawick.mesh._standing_links import StandingLinks
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Maximum number of gateways to which one call is offered. A refusal by a gateway is
# cheap, since the upstream does no work for it.
MAX_OFFERS = 4
# Bounds of the retry-after time sent to a refused caller, seconds.
MIN_RETRY_AFTER_S = 0.03
MAX_RETRY_AFTER_S = 1.0
# Maximum random fraction added to the retry-after time, so that callers refused
# together do not retry together.
RETRY_AFTER_JITTER = 0.5
# Retry-after time when no gateway suggested one, for example because no upstream of the
# service is known or reachable, seconds. About one status report interval.
DEFAULT_RETRY_AFTER_S = 0.3

# A failed response is retried only if another upstream fails at most this fraction as
# often as the one that returned it.
HEALTHY_FAILURE_RATIO = 0.5
# Error codes after which the gateway is avoided for a short time.
AVOID_ENDPOINT_CODES = frozenset(
    {DrainingError.code, WrongServiceError.code, PeerUnreachableError.code}
)

CALLS = register_metric("mesh.calls", MetricKind.COUNTER, "calls", "Calls of callers")
COMPLETED = register_metric(
    "mesh.calls_completed", MetricKind.COUNTER, "calls", "Calls with a whole response"
)
REFUSED = register_metric(
    "mesh.calls_refused", MetricKind.COUNTER, "calls", "Calls answered as not run"
)
UNKNOWN_OUTCOMES = register_metric(
    "mesh.calls_unknown", MetricKind.COUNTER, "calls", "Calls with unknown outcome"
)
RETRIES = register_metric(
    "mesh.calls_repeated", MetricKind.COUNTER, "calls", "Further arrivals of calls"
)


@register_event(730, level="WARNING")
@dataclass(frozen=True, slots=True)
class CallEnded(LogEvent):
    """A call failed, was refused, or was offered to more than one gateway."""

    request: str
    route: str
    service: str
    version: int
    outcome: str
    code: str
    offers: str
    elapsed_s: float
    left_s: float
    retry_after_s: float


class MeshEntry:
    """Handles the calls from callers on this VM.

    Parameters
    ----------
    gateway : MeshGateway
        Gateway of this node. Calls to the local upstream bypass the links.
    """

    def __init__(
        self,
        *,
        node_id: str,
        endpoints: Endpoints,
        links: CallLinks,
        standing_links: StandingLinks,
        gateway: MeshGateway,
        budget: RetryBudget,
        guard: CrashGuard,
        clock: Clock,
        random: Random,
        metrics: MetricSet,
    ):
        self._node_id = node_id
        self._endpoints = endpoints
        self._links = links
        self._standing_links = standing_links
        self._gateway = gateway
        self._budget = budget
        self._guard = guard
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._rotation = TargetRotation()
        self._configuration: MeshConfiguration | None = None
        self._index: RouteIndex | None = None

    @property
    def configuration(self) -> MeshConfiguration | None:
        """Return the configuration in force."""
        return self._configuration

    def put_in_force(self, configuration: MeshConfiguration) -> bool:
        """Put `configuration` in force unless its version is not newer.

        Returns
        -------
        bool
            Whether `configuration` replaced the previous one.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._index = RouteIndex(configuration)
        self._rotation.retain({route.name for route in configuration.routes})
        self._configuration = configuration
        return True

    def serve(self, call: IncomingCall) -> CallResult:
        """Handle `call` and return its result.

        Raises `GreenletExit` if the caller disconnects.
        """
        self._metrics.count(CALLS)
        if self._index is None:
            return self._refusal(call, None, "", NotReadyError.code, [])
        route = self._index.match(call.host, call.path)
        if route is None:
            return CallResult(CallOutcome.NOT_RUN, NoRouteError.code)
        service = self._rotation.choose(route)
        left_s = route.timeout_s
        if call.caller_timeout_s is not None:
            left_s = min(left_s, call.caller_timeout_s)
        forwarded = ForwardedCall(
            next_call_id(),
            call.call_id,
            service,
            route.name,
            call.method,
            call.target,
            call.headers,
            call.body,
            route.is_idempotent,
            route.priority,
            call.arrived_at,
            call.arrived_at + left_s,
            call.arrived_at + min(route.objective_s, left_s),
        )
        self._budget.count_request(service, self._clock.now())
        if self._guard.is_refused(fingerprint_of(forwarded), self._clock.now()):
            return self._refusal(call, route, service, QuarantinedError.code, [])
        return self._dispatch(call, route, forwarded)

    def _dispatch(
        self, call: IncomingCall, route: MeshRoute, forwarded: ForwardedCall
    ) -> CallResult:
        offers: list[str] = []
        tried: set[str] = set()
        arrivals = 0
        unknown: CallResult | None = None
        retry_after_s = 0.0
        code = NoEndpointError.code
        while len(offers) < MAX_OFFERS:
            # After a refusal, another gateway is tried only if its expected cost is low
            # enough. A call with an unknown outcome has no such bound, because it gains
            # more from another run.
            is_refused = bool(offers) and unknown is None
            endpoint = self._choose(
                forwarded,
                tried,
                max_cost=MAX_FURTHER_OFFER_COST if is_refused else math.inf,
            )
            if endpoint is None:
                break
            result = self._offer(endpoint, forwarded)
            tried.add(endpoint.node_id)
            offers.append(f"{endpoint.node_id}:{result.code or result.status}")
            arrivals += result.has_arrived
            if result.outcome is CallOutcome.COMPLETE:
                if not self._should_retry_response(
                    result, route, forwarded, arrivals, tried
                ):
                    return self._completed(call, route, forwarded, result, offers)
                unknown = result
            elif result.outcome is CallOutcome.UNKNOWN:
                unknown = result
                if not route.is_idempotent:
                    break
            else:
                retry_after_s = max(retry_after_s, result.retry_after_s)
                code = result.code
            if result.has_arrived and not self._may_retry(route, forwarded, arrivals):
                break
        if unknown is not None:
            if unknown.outcome is CallOutcome.COMPLETE:
                return self._completed(call, route, forwarded, unknown, offers)
            return self._unknown(call, route, forwarded, unknown, offers)
        return self._refusal(
            call, route, forwarded.service, code, offers, retry_after_s, forwarded
        )

    def _should_retry_response(self, result, route, forwarded, arrivals, tried) -> bool:
        """Return whether to retry a call that the upstream answered with a 5xx status.

        If the other upstreams fail about as often, the cause is a shared dependency: a
        retry would fail too, and repeat the nested calls that the request makes.
        """
        if result.status < 500 or not route.is_idempotent:
            return False
        now = self._clock.now()
        rates = [
            endpoint.current_failure_rate(now)
            for endpoint in self._endpoints.of_service(forwarded.service)
            if endpoint.node_id not in tried and endpoint.state is UpstreamState.READY
        ]
        own_rate = result.load.failure_rate
        if not rates or min(rates) > HEALTHY_FAILURE_RATIO * own_rate:
            return False
        return self._may_retry(route, forwarded, arrivals, peek=True)

    def _may_retry(self, route, forwarded, arrivals, *, peek=False) -> bool:
        now = self._clock.now()
        if arrivals >= route.max_attempts or now >= forwarded.deadline:
            return False
        if not self._budget.allows(forwarded.service, now):
            return False
        if not peek:
            self._budget.count_retry(forwarded.service, now)
            self._metrics.count(RETRIES)
        return True

    def _choose(
        self, forwarded: ForwardedCall, tried: set[str], *, max_cost: float
    ) -> Endpoint | None:
        now = self._clock.now()
        ready = [
            endpoint
            for endpoint in self._endpoints.of_service(forwarded.service)
            if endpoint.state is UpstreamState.READY
            and endpoint.node_id not in tried
            and self._is_reachable(endpoint)
        ]
        usable = [e for e in ready if e.avoided_until <= now] or ready
        candidates = [
            self._endpoints.candidate(
                endpoint,
                forwarded.route,
                now,
                is_linked=self._is_linked(endpoint),
            )
            for endpoint in usable
        ]
        chosen = choose(
            candidates,
            objective_s=max(forwarded.objective_at - now, 0.001),
            left_s=max(forwarded.deadline - now, 0.001),
            random=self._random,
            kilobytes=self._endpoints.kilobytes(forwarded.route),
            late_cost=late_cost_of(forwarded.objective_at - forwarded.sent_at),
            max_cost=max_cost,
        )
        return self._endpoints.get(chosen.node_id) if chosen else None

    def _is_reachable(self, endpoint: Endpoint) -> bool:
        if self._is_linked(endpoint):
            return not self._links.is_silent(endpoint.peer_address)
        # Unknown until a call opens the link; from then on the link is kept.
        return not self._standing_links.is_standing(endpoint)

    def _is_linked(self, endpoint: Endpoint) -> bool:
        return endpoint.distance is Distance.OWN_NODE or self._links.is_connected(
            endpoint.peer_address
        )

    def _offer(self, endpoint: Endpoint, forwarded: ForwardedCall) -> CallResult:
        call_id = next_call_id()
        now = self._clock.now()
        forwarded = replace(forwarded, call_id=call_id, sent_at=now)
        self._endpoints.record_start(endpoint.node_id, call_id, forwarded.route, now)
        result = None
        try:
            result = self._send(endpoint, forwarded)
        finally:
            self._endpoints.record_result(
                endpoint.node_id, call_id, forwarded.route, result, self._clock.now()
            )
        if result.code in AVOID_ENDPOINT_CODES:
            # The gateway's own notice tells when it accepts calls again. Until one
            # arrives, avoid the gateway for a short time.
            self._endpoints.avoid(endpoint.node_id, self._clock.now())
        return result

    def _send(self, endpoint: Endpoint, forwarded: ForwardedCall) -> CallResult:
        if endpoint.distance is Distance.OWN_NODE:
            return self._send_locally(forwarded)
        if not self._is_linked(endpoint):
            self._standing_links.open(endpoint)
            if not self._is_linked(endpoint):
                return CallResult(CallOutcome.NOT_RUN, PeerUnreachableError.code)
        try:
            answer = self._links.request(
                endpoint.member, forwarded, deadline=forwarded.deadline
            )
        except LinkClosedError:
            return CallResult(CallOutcome.NOT_RUN, PeerUnreachableError.code)
        except AnswerLostError:
            is_late = self._clock.now() >= forwarded.deadline
            code = CallTimeoutError.code if is_late else PeerLostError.code
            return CallResult(CallOutcome.UNKNOWN, code, has_arrived=True)
        return _result_of(answer, endpoint.node_id)

    def _send_locally(self, forwarded: ForwardedCall) -> CallResult:
        options = {
            "deadline": forwarded.deadline,
            "objective_at": forwarded.objective_at,
        }
        if forwarded.is_idempotent:
            return self._gateway.handle(forwarded, **options)
        # A non-idempotent call runs in its own green thread, so that it completes even
        # if the caller disconnects after the request reached the upstream.
        thread = eventlet.spawn(self._gateway.handle, forwarded, **options)
        try:
            return thread.wait()
        except BaseException:
            if self._gateway.is_cancellable(forwarded):
                thread.kill()
            raise

    def _completed(self, call, route, forwarded, result, offers) -> CallResult:
        self._metrics.count(COMPLETED)
        self._endpoints.record_size(route.name, len(call.body) + len(result.body))
        if len(offers) > 1 or result.status >= 500:
            self._log(call, route, forwarded, result, offers, 0.0)
        return result

    def _unknown(self, call, route, forwarded, result, offers) -> CallResult:
        self._metrics.count(UNKNOWN_OUTCOMES)
        self._log(call, route, forwarded, result, offers, 0.0)
        return result

    def _refusal(
        self, call, route, service, code, offers, retry_after_s=0.0, forwarded=None
    ) -> CallResult:
        self._metrics.count(REFUSED)
        if not retry_after_s:
            retry_after_s = DEFAULT_RETRY_AFTER_S
        jitter = 1 + RETRY_AFTER_JITTER * self._random.random()
        retry_after_s = min(
            max(retry_after_s, MIN_RETRY_AFTER_S) * jitter, MAX_RETRY_AFTER_S
        )
        result = CallResult(CallOutcome.NOT_RUN, code, retry_after_s=retry_after_s)
        self._log(call, route, forwarded, result, offers, retry_after_s)
        return result

    def _log(self, call, route, forwarded, result, offers, retry_after_s) -> None:
        now = self._clock.now()
        emit(
            CallEnded(
                call.call_id,
                route.name if route else "",
                forwarded.service if forwarded else "",
                self._configuration.version if self._configuration else 0,
                result.outcome,
                result.code or str(result.status),
                ",".join(offers),
                round(now - call.arrived_at, 3),
                round(forwarded.deadline - now, 3) if forwarded else 0.0,
                round(retry_after_s, 3),
            )
        )


def _result_of(answer: ForwardedAnswer, node_id: str) -> CallResult:
    return CallResult(
        answer.outcome,
        answer.code,
        answer.status,
        answer.headers,
        answer.body,
        answer.has_arrived,
        answer.retry_after_s,
        node_id,
        GatewayLoad(
            answer.running,
            answer.waiting,
            answer.slots,
            answer.service_s,
            answer.failure_rate,
        ),
    )
