"""Per-gateway statistics of an entry: state, load, failure rate, calls in flight."""

from dataclasses import dataclass, field

from verbenawick.capacity._gateway_estimate import GatewayEstimate, UsualTimes
from verbenawick.capacity._moving_average import MovingAverages
from verbenawick.links._members import Member
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._placement import Candidate, Distance

# Service time assumed for an upstream without samples, seconds.
SERVICE_TIME_PRIOR_S = 0.05
# Half-life of a gateway's failure rate while no answers arrive, seconds. The decay lets
# a failing upstream be tried again after a few half-lives.
FAILURE_HALF_LIFE_S = 2.0
# Weight of a failed call in the locally estimated failure rate, used if no rate was
# reported. Higher than the gateway's own weight, because a gateway sees more calls than
# one entry.
FAILURE_WEIGHT = 0.15
# A call in flight for more than this multiple of its expected time indicates that the
# gateway or its upstream has become slow.
OVERDUE_FACTOR = 3.0
# Time for which a gateway is avoided after it was unreachable or accepted no calls,
# seconds.
AVOIDANCE_S = 0.5
# Assumed size of the request and response headers together, bytes.
ASSUMED_HEADER_BYTES = 600
# Weight of a new sample in the moving averages of the call size, kept per route.
SIZE_WEIGHT = 0.1


def member_of(record: UpstreamRecord) -> Member:
    """Return the `Member` that the links use to reach the node of `record`."""
    return Member(
        record.node_id,
        0,
        record.service,
        record.data_centre,
        record.region,
        record.peer_address,
        record.slots,
    )


@dataclass(frozen=True, slots=True)
class CallStart:
    """Start time of a call in flight, and the service time expected for its route."""

    at: float
    expected_service_s: float


@dataclass(slots=True)
class Endpoint:
    """State and statistics of one gateway as seen by this entry."""

    node_id: str
    member: Member
    service: str = ""
    upstream_id: str = ""
    state: UpstreamState = UpstreamState.UNKNOWN
    version: str = ""
    distance: Distance = Distance.REMOTE
    estimate: GatewayEstimate = field(default_factory=GatewayEstimate)
    outstanding_at_load: int = 0
    starts_by_call: dict[int, CallStart] = field(default_factory=dict)
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    avoided_until: float = 0.0

    @property
    def peer_address(self) -> str:
        """Return the address at which the gateway accepts links."""
        return self.member.peer_address

    @property
    def group(self) -> tuple[str, str]:
        """Return service and data centre, whose gateways usually have similar load."""
        return self.service, self.member.data_centre

    def current_load(self, usual_use: float, now: float) -> float:
        """Return the calls expected at the gateway, with those sent since it answered.

        Parameters
        ----------
        usual_use : float
            Calls at the gateways of its group, per slot.
        """
        expected = self.estimate.expected_calls(usual_use, now)
        since = len(self.starts_by_call) - self.outstanding_at_load
        return max(expected + since, len(self.starts_by_call), 0)

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed since the last answer."""
        age_s = max(now - self.failure_rate_at, 0.0)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)


class Endpoints:
    """Gateways by node id, updated from store records, gateway notices and answers."""

    def __init__(self, *, node_id: str, data_centre: str, region: str):
        self._node_id = node_id
        self._data_centre = data_centre
        self._region = region
        self._by_node_id: dict[str, Endpoint] = {}
        self._usual = UsualTimes()
        self._bytes_by_route = MovingAverages(SIZE_WEIGHT)

    def __len__(self) -> int:
        """Return the number of known gateways."""
        return len(self._by_node_id)

    def get(self, node_id: str) -> Endpoint | None:
        """Return a gateway, None if it is unknown."""
        return self._by_node_id.get(node_id)

    def all(self) -> tuple[Endpoint, ...]:
        """Return all gateways."""
        return tuple(self._by_node_id.values())

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the gateways whose upstream runs `service`."""
        return [e for e in self._by_node_id.values() if e.service == service]

    def put_record(self, record: UpstreamRecord) -> Endpoint:
        """Add or update a gateway from its record in the store."""
        endpoint = self._by_node_id.get(record.node_id)
        if endpoint is None:
            endpoint = Endpoint(record.node_id, member_of(record))
            self._by_node_id[record.node_id] = endpoint
        endpoint.distance = self._distance(record)
        endpoint.member = member_of(record)
        self._set_upstream(endpoint, record.service, record.upstream_id)
        endpoint.state = record.state
        endpoint.version = record.version
        return endpoint

    def put_state(
        self,
        node_id: str,
        *,
        service: str,
        upstream_id: str,
        state: UpstreamState,
        version: str = "",
    ) -> None:
        """Update a gateway from its own notice, which is newer than the store."""
        endpoint = self._by_node_id.get(node_id)
        if endpoint is None:
            return
        self._set_upstream(endpoint, service, upstream_id)
        endpoint.state = state
        endpoint.version = version

    def remove(self, node_id: str) -> None:
        """Remove a gateway."""
        self._by_node_id.pop(node_id, None)

    def record_start(self, node_id: str, call: int, route: str, now: float) -> None:
        """Record a call that is about to be sent to a gateway."""
        endpoint = self._by_node_id.get(node_id)
        if endpoint is not None:
            expected_service_s = self._expected_service_s(endpoint, route, now)
            endpoint.starts_by_call[call] = CallStart(now, expected_service_s)

    def record_result(
        self, node_id: str, call: int, route: str, result: CallResult | None, now: float
    ) -> None:
        """Update the statistics from the result of a call; None if it was cancelled."""
        endpoint = self._by_node_id.get(node_id)
        if endpoint is None:
            return
        endpoint.starts_by_call.pop(call, None)
        if result is None:
            return
        if result.load.slots:
            self._record_load(endpoint, route, result.load, now)
            endpoint.failure_rate = max(
                result.load.failure_rate, endpoint.current_failure_rate(now)
            )
            if result.outcome is CallOutcome.COMPLETE and result.status < 500:
                endpoint.failure_rate = result.load.failure_rate
            endpoint.failure_rate_at = now
        elif result.outcome is not CallOutcome.COMPLETE:
            rate = endpoint.current_failure_rate(now)
            endpoint.failure_rate = rate + FAILURE_WEIGHT * (1 - rate)
            endpoint.failure_rate_at = now

    def record_size(self, route: str, body_bytes: int) -> None:
        """Add the size of a call, given the bytes of both bodies."""
        self._bytes_by_route.add(route, body_bytes + ASSUMED_HEADER_BYTES)

    def kilobytes(self, route: str) -> float:
        """Return the average size of the calls of a route, in kilobytes."""
        size = self._bytes_by_route.value(route)
        return (ASSUMED_HEADER_BYTES if size is None else size) / 1000

    def avoid(self, node_id: str, now: float) -> None:
        """Avoid a gateway for `AVOIDANCE_S`, after it was unreachable or refused."""
        endpoint = self._by_node_id.get(node_id)
        if endpoint is not None:
            endpoint.avoided_until = now + AVOIDANCE_S

    def expected_calls(self, endpoint: Endpoint, now: float) -> float:
        """Return the calls expected to run or wait at a gateway now."""
        return endpoint.current_load(self._usual.use(endpoint.group, now), now)

    def candidate(
        self,
        endpoint: Endpoint,
        route: str,
        now: float,
        *,
        is_linked: bool = True,
        goes_first: bool = False,
    ) -> Candidate:
        """Return the time and failure rate expected at a gateway for `route`.

        Parameters
        ----------
        goes_first : bool
            Whether the gateway grants the call its next free slot.
        """
        service_s = self._expected_service_s(endpoint, route, now)
        if endpoint.starts_by_call:
            oldest = next(iter(endpoint.starts_by_call.values()))
            age_s = now - oldest.at
            # Compared with the expected time of its own route: a long call in flight
            # does not show that calls of faster routes are slow.
            if age_s > OVERDUE_FACTOR * oldest.expected_service_s:
                slowed_s = min(service_s * age_s / oldest.expected_service_s, age_s)
                service_s = max(service_s, slowed_s)
        slots = endpoint.estimate.slots
        wait_s = 0.0
        if slots:
            excess = max(self.expected_calls(endpoint, now) + 1 - slots, 0)
            if goes_first:
                excess = min(excess, 1)
            wait_s = excess * service_s / slots
        return Candidate(
            endpoint.node_id,
            endpoint.distance,
            wait_s + service_s,
            endpoint.current_failure_rate(now),
            is_linked,
        )

    def _expected_service_s(self, endpoint: Endpoint, route: str, now: float) -> float:
        service_s = self._usual.service_s(route)
        if service_s is None:
            return SERVICE_TIME_PRIOR_S
        return service_s * endpoint.estimate.expected_slowdown(now)

    def _record_load(
        self, endpoint: Endpoint, route: str, load: GatewayLoad, now: float
    ) -> None:
        calls = load.running + load.waiting
        is_route_known = self._usual.service_s(route) is not None
        if load.service_s:
            self._usual.add(
                endpoint.group,
                route,
                service_s=load.service_s,
                use=calls / load.slots,
                now=now,
            )
        endpoint.estimate.record(
            calls=calls,
            slots=load.slots,
            service_s=load.service_s,
            usual_service_s=self._usual.service_s(route) if is_route_known else None,
            now=now,
        )
        endpoint.outstanding_at_load = len(endpoint.starts_by_call)

    def _set_upstream(self, endpoint: Endpoint, service: str, upstream_id: str) -> None:
        if (endpoint.service, endpoint.upstream_id) == (service, upstream_id):
            return
        # Statistics of the previous upstream do not apply to its successor.
        endpoint.service = service
        endpoint.upstream_id = upstream_id
        endpoint.estimate = GatewayEstimate(slots=endpoint.member.slots)
        endpoint.outstanding_at_load = 0
        endpoint.failure_rate = 0.0

    def _distance(self, record: UpstreamRecord) -> Distance:
        if record.node_id == self._node_id:
            return Distance.OWN_NODE
        if record.region != self._region:
            return Distance.REMOTE
        if record.data_centre != self._data_centre:
            return Distance.REGION
        return Distance.DATA_CENTRE
