"""Members of the mesh: each one is an upstream and the node beside it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class MemberState(StrEnum):
    """State of a member in the member table."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream and the node beside it.

    Attributes
    ----------
    incarnation : int
        Random number generated at each process start; distinguishes restarts of a node.
    peer_address : str
        ``"ip:port"`` of the node's websocket listener.
    slots : int
        Number of calls that the upstream runs concurrently.
    recently_joined : bool
        Whether the member joined within the takeover horizon.
    """

    node_id: str
    incarnation: int
    service_id: str
    data_centre: str
    region: str
    peer_address: str
    slots: int
    state: MemberState = MemberState.ACTIVE
    recently_joined: bool = False


@dataclass(frozen=True, slots=True)
class DepartedMember:
    """A member that left within the takeover horizon.

    Attributes
    ----------
    handed_over : bool
        Whether it handed over its claim records before it stopped.
    process_ended : bool
        Whether its process is known to have ended, because the same node registered
        with a new incarnation or announced its stop.
    departed_at : float
        Time on the local clock at which this node learned of the departure.
    """

    node_id: str
    incarnation: int
    service_id: str
    region: str
    handed_over: bool
    process_ended: bool
    departed_at: float


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a member reported; may be outdated or wrong.

    Attributes
    ----------
    busy_share : float
        Fraction of the slots in use, 0 to 1.
    healthy : bool
        Health that its upstream reports.
    """

    busy_share: float
    healthy: bool


class MemberView(Protocol):
    """Read-only view of the members; implemented by the member table of a node."""

    def members_of(self, service_id: str) -> tuple[Member, ...]:
        """Return the members of a service, sorted by node id."""
        ...

    def departed_of(self, service_id: str) -> tuple[DepartedMember, ...]:
        """Return members of a service that departed within the takeover horizon."""
        ...

    def members_in(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre, sorted by node id."""
        ...

    def member(self, node_id: str) -> Member | None:
        """Return the member with `node_id`, or None."""
        ...

    def load_of(self, node_id: str) -> ReportedLoad | None:
        """Return the last load that a member reported, or None."""
        ...

    def authority_deadline(self) -> float:
        """Return the time until which this node may claim idempotency keys."""
        ...
