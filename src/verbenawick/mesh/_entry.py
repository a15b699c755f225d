"""Entry role: routes a caller's call to a gateway and retries it when that is safe.

An offer is one try to have a gateway run a call, even if the gateway refuses the call
or cannot be reached. An arrival is an offer whose request may have reached the
upstream, even if the upstream refused it. `MAX_OFFERS` limits the offers of a call, and
`max_attempts` of its route limits the arrivals. The retry budget is charged for each
arrival that is followed by another offer.

While the gateway of an offer is silent, an idempotent call is offered to another one as
well, if the budget allows it. The offer to the silent gateway stays in progress: its
upstream may be at work, and only the deadline of the call ends the wait for it.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

import eventlet
from greenlet import GreenletExit

from verbenawick.allowances._allowances import Allowances
from verbenawick.allowances._model import Admission
from verbenawick.errors import (
    AnswerLostError,
    CallTimeoutError,
    DrainingError,
    LinkClosedError,
    LinkOpeningError,
    NoEndpointError,
    NoRouteError,
    NotReadyError,
    PeerLostError,
    PeerSilentError,
    PeerUnreachableError,
    QuarantinedError,
    UnknownKeyError,
    WrongServiceError,
)
from verbenawick.links._call_links import CallLinks, PendingRequest
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
from verbenawick.mesh._offer_race import OfferEvent, OfferRace
from verbenawick.mesh._placement import (
    MAX_FURTHER_OFFER_COST,
    Distance,
    choose,
    ends_before_stop,
    late_cost_of,
)
from verbenawick.mesh._retry_budget import RetryBudget
from verbenawick.mesh._route_index import RouteIndex, TargetRotation
from verbenawick.mesh._standing_links import StandingLinks
from verbenawick.releases._shares import VersionShares
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._killable import returns_when_killed
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.sharing._steps import STEP_PRIORITY, StepRecognition
from verbenawick.workspaces._authentication import find_workspace
from verbenawick.workspaces._model import Workspace

# Maximum number of gateways to which one call is offered. A refusal by a gateway is
# cheap, since the upstream does no work for it.
MAX_OFFERS = 4
# Maximum expected cost of a further offer of a step, as for `MAX_FURTHER_OFFER_COST`. A
# refused step also loses the call that waits for it, so only an offer that is expected
# to miss the deadline is not worth it.
MAX_FURTHER_STEP_COST = 1.4
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
    {
        DrainingError.code,
        LinkOpeningError.code,
        PeerUnreachableError.code,
        WrongServiceError.code,
    }
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
STEPS = register_metric(
    "mesh.step_calls",
    MetricKind.COUNTER,
    "calls",
    "Calls of the own upstream that count as steps of calls that it is running",
)
KEY_REFUSALS = register_metric(
    "mesh.calls_without_key",
    MetricKind.COUNTER,
    "calls",
    "Calls refused since no workspace holds their key",
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
    workspace: str


@register_event(731)
@dataclass(frozen=True, slots=True)
class KeyRefused(LogEvent):
    """A call was refused because of its key; `version` is the one in force."""

    request: str
    route: str
    version: int
    reason: str


class _StopReached(GreenletExit):
    """Ends a call whose deadline is after the end of the stopping node."""


@dataclass(slots=True)
class _Progress:
    """What the offers of a call have led to so far.

    Attributes
    ----------
    offers : list of str
        Gateways and outcomes, for the log.
    tried : set of str
        Gateways to which the call was offered.
    opening : list of str
        Gateways whose link did not open in time for the offer, in the order of offers.
    is_retry : bool
        Whether the next offer is a retry, which is charged to the retry budget.
    unknown : CallResult or None
        Last result of an offer whose request may have run.
    refusal_code : str
        Code of the last offer whose request did not run.
    """

    offers: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    opening: list[str] = field(default_factory=list)
    arrivals: int = 0
    is_retry: bool = False
    unknown: CallResult | None = None
    refusal_code: str = NoEndpointError.code
    retry_after_s: float = 0.0

    def add(self, event: OfferEvent) -> None:
        """Add the result or the silence of an offer."""
        result = event.result
        if result is None:
            self.offers.append(f"{event.node_id}:{PeerSilentError.code}")
        else:
            self.offers.append(f"{event.node_id}:{result.code or result.status}")
        # An offer to a silent gateway has been counted when the silence began.
        if not event.was_silent and (result is None or result.has_arrived):
            self.arrivals += 1
            self.is_retry = True
        if result is None:
            return
        if result.outcome is CallOutcome.NOT_RUN:
            self.retry_after_s = max(self.retry_after_s, result.retry_after_s)
            self.refusal_code = result.code
            if result.code == LinkOpeningError.code:
                self.opening.append(event.node_id)
        elif result.outcome is CallOutcome.COMPLETE or not self.has_response:
            self.unknown = result

    @property
    def has_response(self) -> bool:
        """Return whether an upstream responded, although with a failure."""
        return self.unknown is not None and self.unknown.outcome is CallOutcome.COMPLETE


class MeshEntry:
    """Handles the calls from callers on this VM.

    Parameters
    ----------
    gateway : MeshGateway
        Gateway of this node. Calls to the local upstream bypass the links.
    shares : VersionShares or None
        Releases in progress; None for none.
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
        allowances: Allowances,
        clock: Clock,
        random: Random,
        metrics: MetricSet,
        shares: VersionShares | None = None,
    ):
        self._shares = shares or VersionShares()
        self._node_id = node_id
        self._endpoints = endpoints
        self._links = links
        self._standing_links = standing_links
        self._gateway = gateway
        self._budget = budget
        self._guard = guard
        self._allowances = allowances
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._rotation = TargetRotation()
        self._steps = StepRecognition()
        self._configuration: MeshConfiguration | None = None
        self._index: RouteIndex | None = None
        self._stop_at = math.inf
        self._last_call_at = math.inf
        # Deadlines of the calls in progress, by the green thread of the caller.
        self._deadlines_by_thread: dict[object, float] = {}

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
        if configuration.workspaces is not None:
            self._gateway.put_workspaces(configuration.workspaces)
        return True

    def stop_by(self, deadline: float, *, last_call_at: float) -> None:
        """Let calls that arrive from now on end before `deadline`, a local time.

        A call that no gateway is expected to complete by then is refused as not run,
        instead of being cut when the process ends. So are calls that arrive later than
        `last_call_at`, on connections that were kept open for them. Calls that arrived
        earlier and are still in progress at `deadline` end as timed out.
        """
        self._stop_at = deadline
        self._last_call_at = last_call_at
        eventlet.spawn_after(max(deadline - self._clock.now(), 0.0), self._end_calls)

    def _end_calls(self) -> None:
        for thread, deadline in list(self._deadlines_by_thread.items()):
            # Each kill lets other green threads run, so the call may have ended.
            if deadline > self._stop_at and thread in self._deadlines_by_thread:
                eventlet.kill(thread, _StopReached())

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
        if self._configuration.workspaces is None:
            return self._serve(call, route, None, route.priority)
        try:
            workspace = self._find_workspace(route, call.key_digest)
        except UnknownKeyError as error:
            return self._refuse_key(call.call_id, route, error)
        if workspace is not None:
            return self._serve(call, route, workspace, _priority_of(route, workspace))
        running_calls = self._gateway.running_count
        with self._steps.handle(running_calls=running_calls) as is_step:
            if is_step:
                self._metrics.count(STEPS)
            priority = STEP_PRIORITY if is_step else route.priority
            return self._serve(call, route, None, priority)

    def _serve(
        self,
        call: IncomingCall,
        route: MeshRoute,
        workspace: Workspace | None,
        priority: int,
    ) -> CallResult:
        service = self._rotation.choose(route)
        left_s = route.timeout_s
        if call.caller_timeout_s is not None:
            left_s = min(left_s, call.caller_timeout_s)
        left_s = min(left_s, self._stop_at - call.arrived_at)
        if left_s <= 0 or call.arrived_at > self._last_call_at:
            return self._refusal(call, route, service, DrainingError.code, [])
        forwarded = ForwardedCall(
            next_call_id(),
            call.call_id,
            call.caller_service,
            service,
            route.name,
            call.method,
            call.target,
            call.headers,
            call.body,
            route.is_idempotent,
            priority,
            call.arrived_at,
            call.arrived_at + left_s,
            call.arrived_at + min(route.objective_s, left_s),
            workspace.name if workspace else "",
        )
        admission = Admission()
        if workspace is not None:
            admission = self._allowances.admit(workspace, deadline=forwarded.deadline)
            if admission.code:
                return self._over_allowance(call, route, forwarded, admission)
        # A call over the allowance of its workspace earns no retries of others.
        self._budget.count_request(service, self._clock.now())
        fingerprint = fingerprint_of(forwarded)
        if self._guard.is_refused(fingerprint, self._clock.now()):
            self._allowances.give_back(admission)
            return self._refusal(call, route, service, QuarantinedError.code, [])
        progress = _Progress()
        outcome = CallOutcome.UNKNOWN
        try:
            result = self._dispatch(call, route, forwarded, progress)
            outcome = result.outcome
        finally:
            # Also when the caller leaves before the first offer.
            if outcome is CallOutcome.NOT_RUN or not progress.tried:
                self._allowances.give_back(admission)
        if result.outcome is CallOutcome.COMPLETE:
            self._guard.record_completion(fingerprint, self._clock.now())
        return result

    def refuse_unread(
        self, request_id: str, host: str, path: str, key_digest: bytes | None
    ) -> CallResult | None:
        """Return the refusal of a call whose body need not be read for it.

        Returns
        -------
        CallResult or None
            None if the body has to be read first.
        """
        if self._configuration is None or self._configuration.workspaces is None:
            return None
        route = self._index.match(host, path)
        if route is None:
            return None
        try:
            self._find_workspace(route, key_digest)
        except UnknownKeyError as error:
            self._metrics.count(CALLS)
            return self._refuse_key(request_id, route, error)
        return None

    def _find_workspace(
        self, route: MeshRoute, key_digest: bytes | None
    ) -> Workspace | None:
        return find_workspace(
            self._configuration.workspaces, key_digest, is_anonymous=route.is_anonymous
        )

    def _refuse_key(
        self, request_id: str, route: MeshRoute, error: UnknownKeyError
    ) -> CallResult:
        self._metrics.count(KEY_REFUSALS)
        version = self._configuration.version
        emit(KeyRefused(request_id, route.name, version, error.message))
        return CallResult(CallOutcome.NOT_RUN, error.code)

    def _dispatch(
        self,
        call: IncomingCall,
        route: MeshRoute,
        forwarded: ForwardedCall,
        progress: _Progress,
    ) -> CallResult:
        race = OfferRace()
        thread = eventlet.getcurrent()
        self._deadlines_by_thread[thread] = forwarded.deadline
        try:
            return self._dispatch_in(race, progress, call, route, forwarded)
        except _StopReached:
            if progress.has_response:
                response, offers = progress.unknown, progress.offers
                return self._completed(call, route, forwarded, response, offers)
            result = CallResult(CallOutcome.UNKNOWN, CallTimeoutError.code)
            return self._unknown(call, route, forwarded, result, progress.offers)
        finally:
            self._deadlines_by_thread.pop(thread, None)
            race.cancel()

    def _dispatch_in(self, race, progress, call, route, forwarded) -> CallResult:
        is_offering = False
        while True:
            if not is_offering:
                endpoint = self._next_endpoint(route, forwarded, progress)
                if endpoint is None and not race.has_silent:
                    endpoint = self._next_opened_endpoint(route, forwarded, progress)
                if endpoint is not None:
                    progress.tried.add(endpoint.node_id)
                    race.start(partial(self._offer, endpoint, forwarded, race))
                    is_offering = True
                elif not race.has_silent:
                    break
            event = race.next_event()
            if not event.was_silent:
                is_offering = False
            progress.add(event)
            result = event.result
            if result is None or result.outcome is not CallOutcome.COMPLETE:
                continue
            if not self._should_retry_response(result, route, forwarded, progress):
                return self._completed(call, route, forwarded, result, progress.offers)
        unknown = progress.unknown
        if unknown is None:
            return self._refusal(
                call,
                route,
                forwarded.service,
                progress.refusal_code,
                progress.offers,
                progress.retry_after_s,
                forwarded,
            )
        if unknown.outcome is CallOutcome.COMPLETE:
            return self._completed(call, route, forwarded, unknown, progress.offers)
        return self._unknown(call, route, forwarded, unknown, progress.offers)

    def _next_endpoint(self, route, forwarded, progress) -> Endpoint | None:
        """Return the gateway for the next offer, None if there is to be none."""
        if len(progress.tried) >= MAX_OFFERS:
            return None
        if not self._may_offer(route, forwarded, progress):
            return None
        # After a refusal, another gateway is tried only if its expected cost is low
        # enough, and so it is while an offer is still in progress. A call with an
        # unknown outcome has no such bound, because it gains more from another run.
        is_refused = bool(progress.tried) and progress.unknown is None
        endpoint = self._choose(
            forwarded,
            progress.tried,
            max_cost=_max_offer_cost(forwarded, is_refused=is_refused),
        )
        if endpoint is not None:
            self._charge_retry(forwarded, progress)
        return endpoint

    def _next_opened_endpoint(self, route, forwarded, progress) -> Endpoint | None:
        """Wait for a link that was opening during an earlier offer to its gateway.

        Returns
        -------
        Endpoint or None
            The gateway, None if no such link opens or there is to be no offer.
        """
        while progress.opening and self._may_offer(route, forwarded, progress):
            for node_id in tuple(progress.opening):
                endpoint = self._endpoints.get(node_id)
                if endpoint is not None and self._standing_links.is_opening(endpoint):
                    continue
                progress.opening.remove(node_id)
                if (
                    endpoint is not None
                    and endpoint.state is UpstreamState.READY
                    and self._is_linked(endpoint)
                ):
                    self._charge_retry(forwarded, progress)
                    return endpoint
            if progress.opening:
                left_s = forwarded.deadline - self._clock.now()
                self._standing_links.wait_for_any_dial(timeout_s=max(left_s, 0))
        return None

    def _may_offer(self, route, forwarded, progress) -> bool:
        if progress.tried and self._clock.now() >= forwarded.deadline:
            return False
        if progress.unknown is not None and not route.is_idempotent:
            return False
        arrivals = progress.arrivals
        return not progress.is_retry or self._may_retry(route, forwarded, arrivals)

    def _charge_retry(self, forwarded, progress) -> None:
        if progress.is_retry:
            self._budget.count_retry(forwarded.service, self._clock.now())
            self._metrics.count(RETRIES)
            progress.is_retry = False

    def _should_retry_response(self, result, route, forwarded, progress) -> bool:
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
            if endpoint.node_id not in progress.tried
            and endpoint.state is UpstreamState.READY
        ]
        own_rate = result.load.failure_rate
        if not rates or min(rates) > HEALTHY_FAILURE_RATIO * own_rate:
            return False
        return self._may_retry(route, forwarded, progress.arrivals)

    def _may_retry(self, route, forwarded, arrivals: int) -> bool:
        now = self._clock.now()
        if arrivals >= route.max_attempts or now >= forwarded.deadline:
            return False
        return self._budget.allows(forwarded.service, now)

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
        ready = self._shares.select(forwarded.service, ready, now)
        usable = [e for e in ready if e.avoided_until <= now] or ready
        candidates = [
            self._endpoints.candidate(
                endpoint,
                forwarded.route,
                now,
                is_linked=self._is_linked(endpoint),
                goes_first=forwarded.priority == STEP_PRIORITY,
            )
            for endpoint in usable
        ]
        if self._stop_at < math.inf:
            left_s = self._stop_at - now
            candidates = [
                candidate
                for candidate in candidates
                if ends_before_stop(candidate.completion_s, left_s=left_s)
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
        return self._standing_links.may_open(endpoint)

    def _is_linked(self, endpoint: Endpoint) -> bool:
        return endpoint.distance is Distance.OWN_NODE or self._links.is_connected(
            endpoint.member
        )

    def _offer(
        self, endpoint: Endpoint, forwarded: ForwardedCall, race: OfferRace
    ) -> OfferEvent:
        call_id = next_call_id()
        now = self._clock.now()
        forwarded = replace(forwarded, call_id=call_id, sent_at=now)
        self._endpoints.record_start(endpoint.node_id, call_id, forwarded.route, now)
        result = None
        try:
            result = self._send(endpoint, forwarded)
        except PeerSilentError as error:
            race.continue_silent(
                partial(self._resume, endpoint, forwarded, error.pending),
                abandon=partial(self._abandon, endpoint, forwarded, error.pending),
            )
            return OfferEvent(endpoint.node_id, None)
        except BaseException:
            self._record_result(endpoint, forwarded, None)
            raise
        self._record_result(endpoint, forwarded, result)
        return OfferEvent(endpoint.node_id, result)

    def _resume(
        self, endpoint: Endpoint, forwarded: ForwardedCall, pending: PendingRequest
    ) -> OfferEvent:
        """Wait for the result of an offer whose gateway has become silent."""
        wait = partial(self._links.resume, pending, deadline=forwarded.deadline)
        result = self._receive(endpoint, forwarded, wait)
        self._record_result(endpoint, forwarded, result)
        return OfferEvent(endpoint.node_id, result, was_silent=True)

    def _abandon(
        self, endpoint: Endpoint, forwarded: ForwardedCall, pending: PendingRequest
    ) -> None:
        self._links.abandon(pending)
        self._record_result(endpoint, forwarded, None)

    def _record_result(
        self, endpoint: Endpoint, forwarded: ForwardedCall, result: CallResult | None
    ) -> None:
        now = self._clock.now()
        self._endpoints.record_result(
            endpoint.node_id, forwarded.call_id, forwarded.route, result, now
        )
        if result is not None and result.code in AVOID_ENDPOINT_CODES:
            # The gateway's own notice tells when it accepts calls again. Until one
            # arrives, avoid the gateway for a short time.
            self._endpoints.avoid(endpoint.node_id, now)

    def _send(self, endpoint: Endpoint, forwarded: ForwardedCall) -> CallResult:
        if endpoint.distance is Distance.OWN_NODE:
            return self._send_locally(forwarded)
        if not self._is_linked(endpoint):
            self._standing_links.open(endpoint)
            if not self._is_linked(endpoint):
                is_opening = self._standing_links.is_opening(endpoint)
                error = LinkOpeningError if is_opening else PeerUnreachableError
                return CallResult(CallOutcome.NOT_RUN, error.code)
        request = partial(
            self._links.request,
            endpoint.member,
            forwarded,
            deadline=forwarded.deadline,
            # Another call must not run in parallel with a non-idempotent one.
            reports_silence=forwarded.is_idempotent,
        )
        return self._receive(endpoint, forwarded, request)

    def _receive(
        self,
        endpoint: Endpoint,
        forwarded: ForwardedCall,
        request: Callable[[], ForwardedAnswer],
    ) -> CallResult:
        try:
            answer = request()
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
        handle = returns_when_killed(self._gateway.handle)
        thread = eventlet.spawn(handle, forwarded, **options)
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

    def _over_allowance(self, call, route, forwarded, admission) -> CallResult:
        """Return the refusal of a call that its workspace may not send now."""
        self._metrics.count(REFUSED)
        # Not bounded like other refusals: the time follows from the allowance.
        result = CallResult(
            CallOutcome.NOT_RUN, admission.code, retry_after_s=admission.retry_after_s
        )
        self._log(call, route, forwarded, result, [], admission.retry_after_s)
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
                forwarded.workspace if forwarded else "",
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


def _max_offer_cost(forwarded: ForwardedCall, *, is_refused: bool) -> float:
    if not is_refused:
        return math.inf
    if forwarded.priority == STEP_PRIORITY:
        return MAX_FURTHER_STEP_COST
    return MAX_FURTHER_OFFER_COST


def _priority_of(route: MeshRoute, workspace: Workspace) -> int:
    return route.priority if workspace.priority is None else workspace.priority
