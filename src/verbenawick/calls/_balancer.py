"""Selection of an endpoint for each attempt of a call."""

from collections.abc import Collection
from dataclasses import dataclass
from math import exp
from random import Random

from verbenawick.links._members import Member, MemberState, MemberView
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Weight of a new sample in the latency average: about the last 10 calls.
LATENCY_WEIGHT = 0.1

# An average that gets no new samples fades towards that of its service, so that an
# endpoint that was slow once is tried again.
LATENCY_FADE_S = 5.0

# Latency assumed for a service without any sample.
LATENCY_PRIOR_S = 0.005

# Endpoints whose scores differ by less than this are compared by reported load.
TIE_SHARE = 0.1

# After a refusal an endpoint is avoided while others of its tier are not, for a time
# that doubles with each further one. The first is about one service time.
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0

SLOW_START_S = 10.0
# Share of its usual calls that a cold endpoint gets at first.
LEAST_WARMTH = 0.1

FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 30.0

# A drain reaches the member table within seconds; until then the refusal is remembered.
DRAIN_MEMORY_S = 5.0

# The spill share rises by the first step with each refused call and falls by the second
# with each accepted one, so it settles where 2 % of the calls sent near are refused.
SPILL_RISE = 0.05
SPILL_FALL = 0.001
# Some calls are always sent near, since only they measure whether room is back.
SPILL_LIMIT = 0.95

REFUSALS_SEEN = register_metric(
    "balancer.refusals", MetricKind.COUNTER, "calls", "Attempts refused by gateways"
)
SPILLED = register_metric(
    "balancer.spilled",
    MetricKind.COUNTER,
    "calls",
    "Attempts sent past endpoints that are nearer, because those refused calls",
)
EJECTED = register_metric(
    "balancer.ejections", MetricKind.COUNTER, "endpoints", "Endpoints ejected"
)


@register_event(510, level="WARNING")
@dataclass(frozen=True, slots=True)
class EndpointEjected(Event):
    """An endpoint failed repeatedly and gets no calls for a while."""

    node: str
    service: str
    seconds: float


@dataclass(slots=True)
class _Endpoint:
    incarnation: int
    first_seen_at: float
    outstanding: int = 0
    latency_s: float = 0.0
    measured_at: float = 0.0
    failures_in_row: int = 0
    refusals_in_row: int = 0
    refused_until: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    draining_until: float = 0.0


class Balancer:
    """Chooses endpoints by what this node itself observes.

    Power of two choices on outstanding calls × latency; the load that members report
    only breaks ties, since it can be stale or wrong. Endpoints of the own data centre
    come first, then those of the region, then the others.
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
        """Return the member for the next attempt, None when there is none.

        Parameters
        ----------
        excluded : collection of str
            Node ids that the call has already tried.
        """
        members = self._members.members_of(service_id)
        # Without a usable member, those reported as draining are tried: the report can
        # be wrong, and a gateway that really drains refuses without running the call.
        tiers = self._usable_tiers(members, excluded) or self._remaining_tiers(
            members, excluded
        )
        if not tiers:
            return None
        tier, candidates = self._pick_tier(service_id, tiers)
        if tier != tiers[0][0]:
            self._metrics.count(SPILLED)
        return self._pick_endpoint(service_id, candidates)

    def usual_latency_s(self, service_id: str) -> float:
        """Return the average latency of a service as measured by this node."""
        return self._latency_by_service_id.get(service_id, LATENCY_PRIOR_S)

    def begin(self, member: Member) -> None:
        """Count an attempt that is about to be sent to `member`."""
        self._endpoint(member).outstanding += 1

    def succeed(self, member: Member, *, latency_s: float) -> None:
        """Record a complete response."""
        endpoint = self._end(member)
        endpoint.failures_in_row = 0
        endpoint.refusals_in_row = 0
        endpoint.ejections = 0
        self._measure(endpoint, member.service_id, latency_s)
        self._move_spill(member, -SPILL_FALL)

    def refuse(self, member: Member, *, is_draining: bool = False) -> None:
        """Record that the gateway refused the call without running it."""
        endpoint = self._end(member)
        self._metrics.count(REFUSALS_SEEN)
        if is_draining:
            endpoint.draining_until = self._clock.now() + DRAIN_MEMORY_S
            return
        pause_s = min(FIRST_PAUSE_S * 2**endpoint.refusals_in_row, LONGEST_PAUSE_S)
        endpoint.refusals_in_row += 1
        endpoint.refused_until = self._clock.now() + pause_s
        self._move_spill(member, SPILL_RISE)

    def fail(self, member: Member) -> None:
        """Record a lost, invalid or late response, or an unreachable node."""
        endpoint = self._end(member)
        endpoint.failures_in_row += 1
        if endpoint.failures_in_row >= FAILURES_TO_EJECT:
            self._eject(endpoint, member)

    def abandon(self, member: Member) -> None:
        """Record an attempt that says nothing about its endpoint."""
        self._end(member)

    def forget_departed(self) -> None:
        """Drop what is known about nodes that are no longer members."""
        for node_id, endpoint in list(self._endpoints_by_node_id.items()):
            if not endpoint.outstanding and self._members.member(node_id) is None:
                del self._endpoints_by_node_id[node_id]

    def tier_of(self, member: Member) -> int:
        """Return 0 for the own data centre, 1 for the own region, 2 elsewhere."""
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

    def _remaining_tiers(self, members, excluded) -> list[tuple[int, list[Member]]]:
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
        first_is_ready = self._draw_ready(first)
        if first_is_ready != self._draw_ready(second):
            return first if first_is_ready else second
        first_score = self._score(service_id, first)
        second_score = self._score(service_id, second)
        if abs(first_score - second_score) <= TIE_SHARE * max(
            first_score, second_score
        ):
            first_score = self._reported_load(first)
            second_score = self._reported_load(second)
        return first if first_score <= second_score else second

    def _draw_ready(self, member: Member) -> bool:
        # A draw instead of a worse score: a worse score would lose each comparison, and
        # the endpoint would get no calls at all until its slow start is over.
        endpoint = self._endpoint(member)
        now = self._clock.now()
        if endpoint.refused_until > now:
            return False
        age_s = now - endpoint.first_seen_at
        if age_s >= SLOW_START_S:
            return True
        return self._random.random() < max(age_s / SLOW_START_S, LEAST_WARMTH)

    def _score(self, service_id: str, member: Member) -> float:
        endpoint = self._endpoint(member)
        now = self._clock.now()
        usual_s = self.usual_latency_s(service_id)
        latency_s = usual_s
        if endpoint.measured_at:
            fading = exp((endpoint.measured_at - now) / LATENCY_FADE_S)
            latency_s += (endpoint.latency_s - usual_s) * fading
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

    def _end(self, member: Member) -> _Endpoint:
        endpoint = self._endpoint(member)
        # A restart in the meantime has replaced the counts of the earlier process.
        endpoint.outstanding = max(endpoint.outstanding - 1, 0)
        return endpoint

    def _measure(self, endpoint: _Endpoint, service_id: str, latency_s: float) -> None:
        if not endpoint.measured_at:
            endpoint.latency_s = latency_s
        endpoint.latency_s += LATENCY_WEIGHT * (latency_s - endpoint.latency_s)
        endpoint.measured_at = self._clock.now()
        usual_s = self._latency_by_service_id.get(service_id, latency_s)
        usual_s += LATENCY_WEIGHT * (latency_s - usual_s)
        self._latency_by_service_id[service_id] = usual_s

    def _move_spill(self, member: Member, step: float) -> None:
        key = (member.service_id, self.tier_of(member))
        spill = self._spill_by_tier.get(key, 0.0)
        if step < 0 and not spill:
            return
        self._spill_by_tier[key] = min(max(spill + step, 0.0), SPILL_LIMIT)

    def _eject(self, endpoint: _Endpoint, member: Member) -> None:
        now = self._clock.now()
        members = self._members.members_of(member.service_id)
        ejected = sum(
            self._endpoint(other).ejected_until > now
            for other in members
            if other.node_id != member.node_id
        )
        # Never more than half: when most endpoints fail, the cause is elsewhere and
        # ejecting them would only overload the rest.
        if ejected + 1 > len(members) // 2:
            return
        seconds = min(FIRST_EJECTION_S * 2**endpoint.ejections, LONGEST_EJECTION_S)
        endpoint.ejections += 1
        endpoint.failures_in_row = 0
        endpoint.ejected_until = now + seconds
        # It comes back with a slow start after the ejection.
        endpoint.first_seen_at = endpoint.ejected_until
        endpoint.measured_at = 0.0
        self._metrics.count(EJECTED)
        emit(EndpointEjected(member.node_id, member.service_id, seconds))
