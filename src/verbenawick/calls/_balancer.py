"""Selection of an endpoint for each attempt of a call."""

from collections.abc import Collection
from dataclasses import dataclass
from math import exp
from random import Random

from verbenawick.links._members import Member, MemberState, MemberView
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Weight of a new sample in the moving average of the latency, which thus covers about
# the last 10 calls.
LATENCY_WEIGHT = 0.1

# Time constant with which an endpoint's average without new samples decays towards that
# of its service, so that an endpoint that was slow once is tried again.
LATENCY_DECAY_S = 5.0

# Latency assumed for a service without samples.
DEFAULT_LATENCY_S = 0.005

# Endpoints whose scores differ by at most this fraction are compared by reported load.
TIE_TOLERANCE = 0.1

# After a refusal, the other endpoints of the tier are preferred for a backoff that
# doubles with each consecutive refusal. The initial one is about one service time.
INITIAL_REFUSAL_BACKOFF_S = 0.02
MAX_REFUSAL_BACKOFF_S = 1.0

# Time after its start or an ejection during which the traffic of an endpoint increases
# to normal.
SLOW_START_S = 10.0
# Fraction of its normal traffic that an endpoint gets at the beginning of a slow start.
MIN_SLOW_START_FRACTION = 0.1

CONSECUTIVE_FAILURES_TO_EJECT = 5
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0

# How long an endpoint that refused a call as draining is skipped. The member table
# shows the drain within seconds.
DRAIN_REFUSAL_TTL_S = 5.0

# The fraction of a tier's calls that spill over to the next tier rises by the first
# step with each refused call and falls by the second with each accepted one. It settles
# where 2 % of the calls sent to the nearer tier are refused.
SPILL_INCREASE = 0.05
SPILL_DECREASE = 0.001
# Some calls always go to the nearer tier, since only they show that it has capacity
# again.
MAX_SPILL = 0.95

REFUSALS = register_metric(
    "balancer.refusals", MetricKind.COUNTER, "calls", "Attempts refused by gateways"
)
SPILLED = register_metric(
    "balancer.spilled",
    MetricKind.COUNTER,
    "calls",
    "Attempts sent past endpoints that are nearer, because those refused calls",
)
EJECTIONS = register_metric(
    "balancer.ejections", MetricKind.COUNTER, "endpoints", "Endpoints ejected"
)


@register_event(510, level="WARNING")
@dataclass(frozen=True, slots=True)
class EndpointEjected(Event):
    """An endpoint failed several times in a row and gets no calls for a while."""

    node: str
    service: str
    seconds: float


@dataclass(slots=True)
class _Endpoint:
    incarnation: int
    slow_start_at: float
    outstanding: int = 0
    latency_s: float = 0.0
    latency_measured_at: float = 0.0
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    refused_until: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    draining_until: float = 0.0


class Balancer:
    """Selects endpoints by the latency and failures that this node observes.

    Uses power of two choices on outstanding calls × latency. The load that members
    report only breaks ties, since it can be stale or wrong. Endpoints in the local data
    centre are preferred, then those in the local region, then all others.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        region: str,
        members: MemberView,
        clock: Clock,
        random: Random,
        metrics: MetricSet,
    ):
        self._data_centre = data_centre
        self._region = region
        self._members = members
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._endpoints_by_node_id: dict[str, _Endpoint] = {}
        self._latency_by_service_id: dict[str, float] = {}
        self._spill_by_tier: dict[tuple[str, int], float] = {}

    def choose(self, service_id: str, *, excluded: Collection[str]) -> Member | None:
        """Return the member for the next attempt, None if there is none.

        Parameters
        ----------
        excluded : collection of str
            Ids of nodes that the call has already been sent to.
        """
        members = self._members.members_of(service_id)
        # If no member is usable, fall back to those that are draining or ejected: a
        # drain report can be wrong, and a gateway that really drains refuses the call
        # without running it.
        tiers = self._usable_tiers(members, excluded) or self._fallback_tiers(
            members, excluded
        )
        if not tiers:
            return None
        tier, candidates = self._pick_tier(service_id, tiers)
        if tier != tiers[0][0]:
            self._metrics.count(SPILLED)
        return self._pick_endpoint(service_id, candidates)

    def average_latency_s(self, service_id: str) -> float:
        """Return the average latency of a service, as measured by this node."""
        return self._latency_by_service_id.get(service_id, DEFAULT_LATENCY_S)

    def start_attempt(self, member: Member) -> None:
        """Record that an attempt is about to be sent to `member`."""
        self._endpoint(member).outstanding += 1

    def record_success(self, member: Member, *, latency_s: float) -> None:
        """Record a complete response."""
        endpoint = self._finish_attempt(member)
        endpoint.consecutive_failures = 0
        endpoint.consecutive_refusals = 0
        endpoint.ejections = 0
        self._record_latency(endpoint, member.service_id, latency_s)
        self._adjust_spill(member, -SPILL_DECREASE)

    def record_refusal(self, member: Member, *, is_draining: bool = False) -> None:
        """Record that the gateway refused the call without running it."""
        endpoint = self._finish_attempt(member)
        self._metrics.count(REFUSALS)
        if is_draining:
            endpoint.draining_until = self._clock.now() + DRAIN_REFUSAL_TTL_S
            return
        backoff_s = min(
            INITIAL_REFUSAL_BACKOFF_S * 2**endpoint.consecutive_refusals,
            MAX_REFUSAL_BACKOFF_S,
        )
        endpoint.consecutive_refusals += 1
        endpoint.refused_until = self._clock.now() + backoff_s
        self._adjust_spill(member, SPILL_INCREASE)

    def record_failure(self, member: Member) -> None:
        """Record an unreachable node, or a lost, invalid or late response."""
        endpoint = self._finish_attempt(member)
        endpoint.consecutive_failures += 1
        if endpoint.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            self._eject(endpoint, member)

    def record_inconclusive(self, member: Member) -> None:
        """Record the end of an attempt that says nothing about its endpoint."""
        self._finish_attempt(member)

    def forget_departed(self) -> None:
        """Drop the state of nodes that are no longer members."""
        for node_id, endpoint in list(self._endpoints_by_node_id.items()):
            if not endpoint.outstanding and self._members.member(node_id) is None:
                del self._endpoints_by_node_id[node_id]

    def tier_of(self, member: Member) -> int:
        """Return 0 for the local data centre, 1 for the local region, 2 elsewhere."""
        if member.data_centre == self._data_centre and member.region == self._region:
            return 0
        return 1 if member.region == self._region else 2

    def _usable_tiers(self, members, excluded) -> list[tuple[int, list[Member]]]:
        now = self._clock.now()
        members_by_tier: dict[int, list[Member]] = {}
        for member in members:
            if member.state is not MemberState.ACTIVE or member.node_id in excluded:
                continue
            endpoint = self._endpoint(member)
            if endpoint.ejected_until > now or endpoint.draining_until > now:
                continue
            members_by_tier.setdefault(self.tier_of(member), []).append(member)
        return sorted(members_by_tier.items())

    def _fallback_tiers(self, members, excluded) -> list[tuple[int, list[Member]]]:
        members_by_tier: dict[int, list[Member]] = {}
        for member in members:
            if member.node_id not in excluded:
                members_by_tier.setdefault(self.tier_of(member), []).append(member)
        return sorted(members_by_tier.items())

    def _pick_tier(self, service_id, tiers) -> tuple[int, list[Member]]:
        for tier, candidates in tiers[:-1]:
            spill = self._spill_by_tier.get((service_id, tier), 0.0)
            if not spill or self._random.random() >= spill:
                return tier, candidates
        return tiers[-1]

    def _pick_endpoint(self, service_id: str, candidates: list[Member]) -> Member:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        first_is_ready = self._sample_readiness(first)
        if first_is_ready != self._sample_readiness(second):
            return first if first_is_ready else second
        first_score = self._score(service_id, first)
        second_score = self._score(service_id, second)
        if abs(first_score - second_score) <= TIE_TOLERANCE * max(
            first_score, second_score
        ):
            first_score = self._reported_load(first)
            second_score = self._reported_load(second)
        return first if first_score <= second_score else second

    def _sample_readiness(self, member: Member) -> bool:
        # Slow start is a random choice rather than a worse score. With a worse score,
        # the endpoint would lose every comparison and get no calls at all until its
        # slow start ends.
        endpoint = self._endpoint(member)
        now = self._clock.now()
        if endpoint.refused_until > now:
            return False
        age_s = now - endpoint.slow_start_at
        if age_s >= SLOW_START_S:
            return True
        return self._random.random() < max(
            age_s / SLOW_START_S, MIN_SLOW_START_FRACTION
        )

    def _score(self, service_id: str, member: Member) -> float:
        endpoint = self._endpoint(member)
        now = self._clock.now()
        average_s = self.average_latency_s(service_id)
        latency_s = average_s
        if endpoint.latency_measured_at:
            decay = exp((endpoint.latency_measured_at - now) / LATENCY_DECAY_S)
            latency_s += (endpoint.latency_s - average_s) * decay
        return (endpoint.outstanding + 1) * latency_s

    def _reported_load(self, member: Member) -> float:
        load = self._members.load_of(member.node_id)
        if load is None:
            return 0.5
        return load.busy_share + (0.0 if load.healthy else 1.0)

    def _endpoint(self, member: Member) -> _Endpoint:
        endpoint = self._endpoints_by_node_id.get(member.node_id)
        if endpoint is None or endpoint.incarnation != member.incarnation:
            endpoint = _Endpoint(member.incarnation, self._clock.now())
            self._endpoints_by_node_id[member.node_id] = endpoint
        return endpoint

    def _finish_attempt(self, member: Member) -> _Endpoint:
        endpoint = self._endpoint(member)
        # The node may have restarted since the attempt began, which reset its counts.
        endpoint.outstanding = max(endpoint.outstanding - 1, 0)
        return endpoint

    def _record_latency(
        self, endpoint: _Endpoint, service_id: str, latency_s: float
    ) -> None:
        if not endpoint.latency_measured_at:
            endpoint.latency_s = latency_s
        endpoint.latency_s += LATENCY_WEIGHT * (latency_s - endpoint.latency_s)
        endpoint.latency_measured_at = self._clock.now()
        average_s = self._latency_by_service_id.get(service_id, latency_s)
        average_s += LATENCY_WEIGHT * (latency_s - average_s)
        self._latency_by_service_id[service_id] = average_s

    def _adjust_spill(self, member: Member, step: float) -> None:
        key = (member.service_id, self.tier_of(member))
        spill = self._spill_by_tier.get(key, 0.0)
        if step < 0 and not spill:
            return
        self._spill_by_tier[key] = min(max(spill + step, 0.0), MAX_SPILL)

    def _eject(self, endpoint: _Endpoint, member: Member) -> None:
        now = self._clock.now()
        members = self._members.members_of(member.service_id)
        ejected = sum(
            self._endpoint(other).ejected_until > now
            for other in members
            if other.node_id != member.node_id
        )
        # Eject at most half of the endpoints: if most of them fail, the cause lies
        # elsewhere and ejecting them would only overload the others.
        if ejected + 1 > len(members) // 2:
            return
        seconds = min(BASE_EJECTION_S * 2**endpoint.ejections, MAX_EJECTION_S)
        endpoint.ejections += 1
        endpoint.consecutive_failures = 0
        endpoint.ejected_until = now + seconds
        # The endpoint returns with a slow start after the ejection.
        endpoint.slow_start_at = endpoint.ejected_until
        endpoint.latency_measured_at = 0.0
        self._metrics.count(EJECTIONS)
        emit(EndpointEjected(member.node_id, member.service_id, seconds))
