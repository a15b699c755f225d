"""Compiled routing table: immutable data classes that nodes serve from."""

from dataclasses import dataclass, field
from enum import IntEnum


class Criticality(IntEnum):
    """Importance of a call; calls of higher criticality are served first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Effective policy of a service, with the overrides of the preset applied.

    Attributes
    ----------
    timeout_s : float
        Longest time for a call whose caller names no timeout.
    max_attempts : int
        Attempts of a repeatable call, the first included.
    retry_budget : float
        Retries allowed as a share of the calls to the service, 0 to 1.
    repeatable_methods : frozenset of str
        Methods whose requests may run more than once.
    key_required : bool
        Whether a non-repeatable request without an idempotency key is refused.
    criticality : Criticality
        Criticality of calls whose caller names none.
    max_queue_length : int
        Calls that may wait at the gateway of one upstream.
    max_queue_s : float
        Longest wait in that queue.
    max_body_bytes : int
        Largest request or response body.
    """

    policy_id: str
    timeout_s: float = 5.0
    max_attempts: int = 3
    retry_budget: float = 0.1
    repeatable_methods: frozenset[str] = frozenset({"GET", "HEAD", "OPTIONS"})
    key_required: bool = True
    criticality: Criticality = Criticality.NORMAL
    max_queue_length: int = 24
    max_queue_s: float = 0.25
    max_body_bytes: int = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Route:
    """One route; the longest matching path prefix wins."""

    route_id: str
    path_prefix: str
    service_id: str
    methods: frozenset[str] = frozenset()
    host: str = ""


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """All that a node serves at one configuration version.

    Attributes
    ----------
    routes : tuple of Route
        Sorted so that the first match wins.
    criticality_floor : Criticality
        Calls below it are refused under the preset in force.
    """

    version: int
    digest: bytes
    preset: str
    criticality_floor: Criticality = Criticality.LOW
    routes: tuple[Route, ...] = ()
    policies_by_service_id: dict[str, ServicePolicy] = field(default_factory=dict)
