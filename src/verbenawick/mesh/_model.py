"""Types shared by the decisions of a node: configuration, upstreams, calls, answers."""

from dataclasses import dataclass, field
from enum import StrEnum

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route sends requests to, and its share of them."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class MeshRoute:
    """A route of the accepted configuration.

    Attributes
    ----------
    targets : tuple of RouteTarget
        One, or several that share the requests in proportion to their weights.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time for which a requester is kept waiting.
    objective_s : float
        Time within which a response is worth its full value.
    priority : int
        Rank among the routes; 0 is served first.
    max_attempts : int
        Upstreams that may run one request.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[RouteTarget, ...]
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the configuration says about a service."""

    name: str
    health_path: str = "/health"
    max_connections: int = 64


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of what a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class MeshConfiguration:
    """One accepted version, whole.

    Attributes
    ----------
    revision : int
        Revision of the store that holds this version.
    """

    version: int
    revision: int
    routes: tuple[MeshRoute, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: RequestLimits = RequestLimits()


class UpstreamState(StrEnum):
    """What a node knows about the upstream beside it."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class StatusReport:
    """What an upstream says of itself.

    Attributes
    ----------
    cold_left_s : float
        How much longer the upstream is slow after its start.
    sequence : int
        Rises with each report of one process; tells late reports.
    born_ms : int
        Start of the process, Unix time in milliseconds; tells processes apart that
        use the same id. 0 when the report does not say.
    """

    upstream_id: str
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_left_s: float
    sequence: int
    born_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream and the node beside it, as written to the store.

    Attributes
    ----------
    revision : int
        Revision of the store's object.
    """

    node_id: str
    service: str
    data_centre: str
    region: str
    peer_address: str
    upstream_id: str
    state: UpstreamState
    slots: int
    revision: int = 0


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """A request as a caller sent it, whole.

    Attributes
    ----------
    call_id : str
        The caller's id of this attempt.
    target : str
        Path and query as sent.
    host : str
        Host without port.
    headers : Headers
        What is passed on to the upstream.
    budget_s : float or None
        How long the caller waits; None when it does not say.
    arrived_at : float
        Instant of the local clock.
    """

    call_id: str
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    budget_s: float | None
    arrived_at: float


class CallOutcome(StrEnum):
    """What is known about a call that was sent towards an upstream."""

    COMPLETE = "complete"  # the response is the upstream's, whole
    NOT_RUN = "not-run"  # proven not to have run and never to run
    UNKNOWN = "unknown"  # it may have run


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """Load of a gateway when it wrote an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests at the upstream, requests in the queue, and what the upstream runs at
        the same time.
    service_s : float
        Usual time at the upstream of a request of the same route; 0 when unknown.
    failing_share : float
        Share of the recent requests that the upstream refused or failed, 0 to 1.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    service_s: float = 0.0
    failing_share: float = 0.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended.

    Attributes
    ----------
    code : str
        Reason of a failure or refusal, empty with a response.
    has_arrived : bool
        Whether the upstream saw the request, also when it refused it.
    retry_after_s : float
        When room is expected; for refusals.
    """

    outcome: CallOutcome
    code: str = ""
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    has_arrived: bool = False
    retry_after_s: float = 0.0
    node_id: str = ""
    load: GatewayLoad = field(default_factory=GatewayLoad)
