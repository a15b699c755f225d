"""Data model of a mesh node: configuration, upstreams, calls and results."""

from dataclasses import dataclass, field
from enum import StrEnum

from verbenawick.workspaces._model import Workspaces

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A target service of a route, and its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class MeshRoute:
    """A route of the accepted configuration.

    Attributes
    ----------
    targets : tuple of RouteTarget
        One target, or several that share the requests in proportion to their weights.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Maximum time that a caller waits for a response.
    objective_s : float
        Target latency: a response within this time has its full value.
    priority : int
        Priority of the route's calls in a gateway's queue; 0 is served first.
    max_attempts : int
        Maximum number of upstreams that one request may reach, including those that
        refuse it.
    is_anonymous : bool
        Whether callers need no key of a workspace.
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
    is_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Settings of a service in the configuration."""

    name: str
    health_path: str = "/health"
    max_connections: int = 64


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class MeshConfiguration:
    """One accepted version of the configuration, complete.

    Attributes
    ----------
    revision : int
        Revision of the store object that holds this version.
    workspaces : Workspaces or None
        None if the configuration has none; callers need no key then.
    """

    version: int
    revision: int
    routes: tuple[MeshRoute, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: RequestLimits = RequestLimits()
    workspaces: Workspaces | None = None


class UpstreamState(StrEnum):
    """State of an upstream as known to the node on the same VM."""

    UNKNOWN = "unknown"  # for example before the first report or probe
    READY = "ready"
    DRAINING = "draining"  # completes its requests and accepts no more
    GONE = "gone"  # announced that it leaves permanently


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A status report sent by an upstream.

    Attributes
    ----------
    cold_left_s : float
        Remaining warm-up time, during which the upstream is slow.
    sequence : int
        Increases with each report of one process; identifies late reports.
    born_ms : int
        Start time of the process, Unix time in milliseconds; distinguishes processes
        with the same id. 0 if the report does not contain it.
    version : str
        Version of the upstream's software.
    """

    upstream_id: str
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_left_s: float
    sequence: int
    born_ms: int
    version: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Store record of an upstream and the node on the same VM.

    Attributes
    ----------
    born_ms : int
        Start time of the upstream's process as in `StatusReport`, 0 if unknown.
    revision : int
        Revision of the object in the store.
    version : str
        Version of the upstream's software; empty where the settings allow no releases.
    """

    node_id: str
    service: str
    data_centre: str
    region: str
    peer_address: str
    upstream_id: str
    state: UpstreamState
    slots: int
    born_ms: int = 0
    revision: int = 0
    version: str = ""


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """A complete request from a caller.

    Attributes
    ----------
    call_id : str
        The caller's id of this attempt.
    caller_service : str
        Service of the upstream on this VM, where the call began.
    target : str
        Path and query as sent.
    host : str
        Host without port.
    headers : Headers
        Headers to forward to the upstream.
    caller_timeout_s : float or None
        How long the caller waits; None if the request does not say.
    arrived_at : float
        Time of arrival on the local clock.
    key_digest : bytes or None
        Digest of the key that the caller sent, None without one.
    """

    call_id: str
    caller_service: str
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    caller_timeout_s: float | None
    arrived_at: float
    key_digest: bytes | None = None


class CallOutcome(StrEnum):
    """Whether a call completed, did not run, or may have run."""

    COMPLETE = "complete"  # the complete response of the upstream was received
    NOT_RUN = "not-run"  # certain not to have run and not to run later
    UNKNOWN = "unknown"  # it may have run


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """Load of a gateway at the time it sent an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests running at the upstream, requests in the queue, and the number that the
        upstream runs concurrently.
    service_s : float
        Expected service time of a request of the same route; 0 if unknown.
    failure_rate : float
        Fraction of recent requests that the upstream refused or failed, 0 to 1.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    service_s: float = 0.0
    failure_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call.

    Attributes
    ----------
    code : str
        Error code of a failure or refusal; empty if there is a response.
    has_arrived : bool
        Whether the request may have reached the upstream, even if it was refused there.
    retry_after_s : float
        Suggested delay before a retry; set for refusals.
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
