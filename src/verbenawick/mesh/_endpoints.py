"""Per-gateway statistics of an entry: state, load, failure rate, calls in flight."""

from dataclasses import dataclass, field

from verbenawick.links._members import Member
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._moving_average import MovingAverages
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
MAX_ROUTES = 2000
# Assumed size of the request and response headers together, bytes.
ASSUMED_HEADER_BYTES = 600
# Weights of a new sample in the moving averages, kept per route, of the call size and
# of the service time over all gateways.
SIZE_WEIGHT = 0.1
SERVICE_TIME_WEIGHT = 0.1


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
    distance: Distance = Distance.REMOTE
    load: GatewayLoad = field(default_factory=GatewayLoad)
    outstanding_at_load: int = 0
    starts_by_call: dict[int, CallStart] = field(default_factory=dict)
    service_s_by_route: dict[str, float] = field(default_factory=dict)
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    avoided_until: float = 0.0

    @property
    def peer_address(self) -> str:
        """Return the address at which the gateway accepts links."""
        return self.member.peer_address

    def current_load(self) -> int:
        """Return the calls at the gateway: last reported plus those sent since then."""
        known = self.load.running + self.load.waiting
        since = len(self.starts_by_call) - self.outstanding_at_load
        return max(known + since, len(self.starts_by_call), 0)

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
        self._service_s_by_route = MovingAverages(SERVICE_TIME_WEIGHT)
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
        return endpoint

    def put_state(
        self, node_id: str, *, service: str, upstream_id: str, state: UpstreamState
    ) -> None:
        """Update a gateway from its own notice, which is newer than the store."""
        endpoint = self._by_node_id.get(node_id)
        if endpoint is None:
            return
        self._set_upstream(endpoint, service, upstream_id)
        endpoint.state = state

    def remove(self, node_id: str) -> None:
        """Remove a gateway."""
        self._by_node_id.pop(node_id, None)

    def record_start(self, node_id: str, call: int, route: str, now: float) -> None:
        """Record a call that is about to be sent to a gateway."""
        endpoint = self._by_node_id.get(node_id)
        if endpoint is not None:
            expected_service_s = self._expected_service_s(endpoint, route)
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
            self._record_load(endpoint, route, result.load)
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
        service_s = self._expected_service_s(endpoint, route)
        if endpoint.starts_by_call:
            oldest = next(iter(endpoint.starts_by_call.values()))
            age_s = now - oldest.at
            # Compared with the expected time of its own route: a long call in flight
            # does not show that calls of faster routes are slow.
            if age_s > OVERDUE_FACTOR * oldest.expected_service_s:
                slowed_s = min(service_s * age_s / oldest.expected_service_s, age_s)
                service_s = max(service_s, slowed_s)
        slots = endpoint.load.slots or 1
        excess = endpoint.current_load() + 1 - slots
        if goes_first:
            excess = min(excess, 1)
        wait_s = max(excess, 0) * service_s / slots if endpoint.load.slots else 0.0
        return Candidate(
            endpoint.node_id,
            endpoint.distance,
            wait_s + service_s,
            endpoint.current_failure_rate(now),
            is_linked,
        )

    def _expected_service_s(self, endpoint: Endpoint, route: str) -> float:
        service_s = endpoint.service_s_by_route.get(route)
        if service_s is None:
            service_s = self._service_s_by_route.value(route)
        return SERVICE_TIME_PRIOR_S if service_s is None else service_s

    def _record_load(self, endpoint: Endpoint, route: str, load: GatewayLoad) -> None:
        endpoint.load = load
        endpoint.outstanding_at_load = len(endpoint.starts_by_call)
        if not load.service_s:
            return
        if len(endpoint.service_s_by_route) >= MAX_ROUTES:
            endpoint.service_s_by_route.clear()
        endpoint.service_s_by_route[route] = load.service_s
        self._service_s_by_route.add(route, load.service_s)

    def _set_upstream(self, endpoint: Endpoint, service: str, upstream_id: str) -> None:
        if (endpoint.service, endpoint.upstream_id) == (service, upstream_id):
            return
        # Statistics of the previous upstream do not apply to its successor.
        endpoint.service = service
        endpoint.upstream_id = upstream_id
        endpoint.load = GatewayLoad()
        endpoint.outstanding_at_load = 0
        endpoint.service_s_by_route.clear()
        endpoint.failure_rate = 0.0

    def _distance(self, record: UpstreamRecord) -> Distance:
        if record.node_id == self._node_id:
            return Distance.OWN_NODE
        if record.region != self._region:
            return Distance.REMOTE
        if record.data_centre != self._data_centre:
            return Distance.REGION
        return Distance.DATA_CENTRE
