"""Compiled routing table: the immutable data classes that nodes route with."""

from dataclasses import dataclass, field
from enum import IntEnum


class Criticality(IntEnum):
    """Criticality of a call; queued calls of higher criticality are served first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Effective policy of a service, with the overrides of the preset applied.

    Attributes
    ----------
    timeout_s : float
        Timeout of calls that do not specify one.
    max_attempts : int
        Maximum number of attempts of a repeatable call, including the first.
    retry_budget : float
        Retries allowed as a share of the calls to the service, 0 to 1.
    repeatable_methods : frozenset of str
        Methods whose requests may safely run more than once.
    key_required : bool
        Whether a non-repeatable request without an idempotency key is refused.
    criticality : Criticality
        Criticality of calls that do not specify one.
    max_queue_length : int
        Maximum number of calls queued at the gateway of one upstream.
    max_queue_s : float
        Maximum time of a call in that queue.
    max_body_bytes : int
        Maximum size of a request or response body.
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
    """Routes and policies of one configuration version.

    Attributes
    ----------
    routes : tuple of Route
        Sorted so that the first match wins.
    criticality_floor : Criticality
        Calls of lower criticality are refused under the preset in force.
    """

    version: int
    digest: bytes
    preset: str
    criticality_floor: Criticality = Criticality.LOW
    routes: tuple[Route, ...] = ()
    policies_by_service_id: dict[str, ServicePolicy] = field(default_factory=dict)
