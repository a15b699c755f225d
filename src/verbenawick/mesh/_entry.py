"""Entry role: finds route and gateway of a call, repeats it, and says how it ended."""

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
    MOST_COST_OF_FURTHER_OFFER,
    Distance,
    choose,
    late_cost_of,
)
from verbenawick.mesh._retry_budget import RetryBudget
from verbenawick.mesh._route_index import RouteIndex, TargetRotation
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Gateways that one call may be offered to; refusals of gateways cost little.
MAX_OFFERS = 4
# Shortest and longest time after which a refused caller is asked to come back, seconds.
LEAST_RETRY_AFTER_S = 0.03
LONGEST_RETRY_AFTER_S = 1.0
# Callers refused together come back spread over this share of the time.
RETRY_AFTER_SPREAD = 0.5
# When no upstream of a service is known or reachable, seconds: about one status report.
ABSENT_RETRY_AFTER_S = 0.3

# An upstream that fails less than this share of what the failing one does is sound.
SOUND_SHARE = 0.5
# After these another gateway is better for a while.
AVOIDED_CODES = frozenset(
    {DrainingError.code, WrongServiceError.code, PeerUnreachableError.code}
)

CALLS = register_metric("mesh.calls", MetricKind.COUNTER, "calls", "Calls of callers")
COMPLETED = register_metric(
    "mesh.calls_completed", MetricKind.COUNTER, "calls", "Calls with a whole response"
)
REFUSED = register_metric(
    "mesh.calls_refused", MetricKind.COUNTER, "calls", "Calls answered as not run"
)
FAILED = register_metric(
    "mesh.calls_unknown", MetricKind.COUNTER, "calls", "Calls with unknown outcome"
)
REPEATS = register_metric(
    "mesh.calls_repeated", MetricKind.COUNTER, "calls", "Further arrivals of calls"
)


@register_event(730, level="WARNING")
@dataclass(frozen=True, slots=True)
class CallEnded(LogEvent):
    """A call ended without a response, or after more than one offer."""

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
    """Serves the calls of the callers on this VM.

    Parameters
    ----------
    gateway : MeshGateway
        The own gateway; calls for the own upstream need no link.
    """

    def __init__(
        self,
        *,
        node_id: str,
        endpoints: Endpoints,
        links: CallLinks,
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
        """Serve `configuration` from now on; an older one changes nothing."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._index = RouteIndex(configuration)
        self._rotation.forget_except({route.name for route in configuration.routes})
        self._configuration = configuration
        return True

    def serve(self, call: IncomingCall) -> CallResult:
        """Return how `call` ended; `GreenletExit` when its caller leaves."""
        self._metrics.count(CALLS)
        if self._index is None:
            return self._refusal(call, None, "", NotReadyError.code, [])
        route = self._index.match(call.host, call.path)
        if route is None:
            return CallResult(CallOutcome.NOT_RUN, NoRouteError.code)
        service = self._rotation.choose(route)
        left_s = route.timeout_s
        if call.budget_s is not None:
            left_s = min(left_s, call.budget_s)
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
            # A call that a gateway refused moves on only where that is worth it; one
            # whose outcome is unknown has more to gain from a further run.
            is_refused = bool(offers) and unknown is None
            endpoint = self._choose(
                forwarded,
                tried,
                most_cost=MOST_COST_OF_FURTHER_OFFER if is_refused else math.inf,
            )
            if endpoint is None:
                break
            result = self._offer(endpoint, forwarded)
            tried.add(endpoint.node_id)
            offers.append(f"{endpoint.node_id}:{result.code or result.status}")
            arrivals += result.has_arrived
            if result.outcome is CallOutcome.COMPLETE:
                if not self._may_improve(result, route, forwarded, arrivals, tried):
                    return self._completed(call, route, forwarded, result, offers)
                unknown = result
            elif result.outcome is CallOutcome.UNKNOWN:
                unknown = result
                if not route.is_idempotent:
                    break
            else:
                retry_after_s = max(retry_after_s, result.retry_after_s)
                code = result.code
            if result.has_arrived and not self._may_repeat(route, forwarded, arrivals):
                break
        if unknown is not None:
            if unknown.outcome is CallOutcome.COMPLETE:
                return self._completed(call, route, forwarded, unknown, offers)
            return self._unknown(call, route, forwarded, unknown, offers)
        return self._refusal(
            call, route, forwarded.service, code, offers, retry_after_s, forwarded
        )

    def _may_improve(self, result, route, forwarded, arrivals, tried) -> bool:
        """Return whether a failed response of the upstream is worth another run.

        When the others fail as often, the cause is behind them: a further run would
        fail too, and repeat the calls that it makes.
        """
        if result.status < 500 or not route.is_idempotent:
            return False
        now = self._clock.now()
        shares = [
            endpoint.failing_now(now)
            for endpoint in self._endpoints.of_service(forwarded.service)
            if endpoint.node_id not in tried and endpoint.state is UpstreamState.READY
        ]
        own_share = result.load.failing_share
        if not shares or min(shares) > SOUND_SHARE * own_share:
            return False
        return self._may_repeat(route, forwarded, arrivals, peek=True)

    def _may_repeat(self, route, forwarded, arrivals, *, peek=False) -> bool:
        now = self._clock.now()
        if arrivals >= route.max_attempts or now >= forwarded.deadline:
            return False
        if not self._budget.allows(forwarded.service, now):
            return False
        if not peek:
            self._budget.count_repeat(forwarded.service, now)
            self._metrics.count(REPEATS)
        return True

    def _choose(
        self, forwarded: ForwardedCall, tried: set[str], *, most_cost: float
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
            self._endpoints.candidate(endpoint, forwarded.route, now)
            for endpoint in usable
        ]
        chosen = choose(
            candidates,
            objective_s=max(forwarded.objective_at - now, 0.001),
            left_s=max(forwarded.deadline - now, 0.001),
            random=self._random,
            kilobytes=self._endpoints.kilobytes(forwarded.route),
            late_cost=late_cost_of(forwarded.objective_at - forwarded.sent_at),
            most_cost=most_cost,
        )
        return self._endpoints.get(chosen.node_id) if chosen else None

    def _is_reachable(self, endpoint: Endpoint) -> bool:
        if endpoint.distance is Distance.OWN_NODE:
            return True
        address = endpoint.peer_address
        return self._links.is_connected(address) and not self._links.is_silent(address)

    def _offer(self, endpoint: Endpoint, forwarded: ForwardedCall) -> CallResult:
        call_id = next_call_id()
        now = self._clock.now()
        forwarded = replace(forwarded, call_id=call_id, sent_at=now)
        self._endpoints.begin(endpoint.node_id, call_id, forwarded.route, now)
        result = None
        try:
            result = self._send(endpoint, forwarded)
        finally:
            self._endpoints.end(
                endpoint.node_id, call_id, forwarded.route, result, self._clock.now()
            )
        if result.code in AVOIDED_CODES:
            # Its own notice says when it takes calls again; until then or for a moment.
            self._endpoints.avoid(endpoint.node_id, self._clock.now())
        return result

    def _send(self, endpoint: Endpoint, forwarded: ForwardedCall) -> CallResult:
        if endpoint.distance is Distance.OWN_NODE:
            return self._send_locally(forwarded)
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
        # In a green thread of its own, a call that reached the upstream outlives its
        # caller.
        thread = eventlet.spawn(self._gateway.handle, forwarded, **options)
        try:
            return thread.wait()
        except BaseException:
            if self._gateway.is_cancellable(forwarded):
                thread.kill()
            raise

    def _completed(self, call, route, forwarded, result, offers) -> CallResult:
        self._metrics.count(COMPLETED)
        self._endpoints.learn_size(route.name, len(call.body) + len(result.body))
        if len(offers) > 1 or result.status >= 500:
            self._log(call, route, forwarded, result, offers, 0.0)
        return result

    def _unknown(self, call, route, forwarded, result, offers) -> CallResult:
        self._metrics.count(FAILED)
        self._log(call, route, forwarded, result, offers, 0.0)
        return result

    def _refusal(
        self, call, route, service, code, offers, retry_after_s=0.0, forwarded=None
    ) -> CallResult:
        self._metrics.count(REFUSED)
        if not retry_after_s:
            retry_after_s = ABSENT_RETRY_AFTER_S
        spread = 1 + RETRY_AFTER_SPREAD * self._random.random()
        retry_after_s = min(
            max(retry_after_s, LEAST_RETRY_AFTER_S) * spread, LONGEST_RETRY_AFTER_S
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
            answer.failing_share,
        ),
    )
