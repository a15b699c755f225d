"""Members of the mesh as every node sees them: one member per upstream and its node."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class MemberState(StrEnum):
    """Lifecycle of a member as written in the member table."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream together with the node beside it.

    Attributes
    ----------
    incarnation : int
        Random number drawn by each process start; tells restarts of a node apart.
    peer_address : str
        ``"ip:port"`` of the node's websocket listener.
    slots : int
        Calls that the upstream runs at the same time.
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
        Whether it handed its claim records over before it stopped.
    process_ended : bool
        Whether its process is known to have ended, because the same node registered
        with a new incarnation or announced its stop.
    departed_at : float
        Instant of the local clock at which this node learned of the departure.
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
    """Load that a member reported; late and possibly wrong.

    Attributes
    ----------
    busy_share : float
        Share of the slots in use, 0 to 1.
    healthy : bool
        Health as its upstream reports it.
    """

    busy_share: float
    healthy: bool


class MemberView(Protocol):
    """Read access to the members; implemented by the member table of a node."""

    def members_of(self, service_id: str) -> tuple[Member, ...]:
        """Return the members of a service, sorted by node id."""
        ...

    def departed_of(self, service_id: str) -> tuple[DepartedMember, ...]:
        """Return members of a service that departed within the horizon."""
        ...

    def members_in(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre, sorted by node id."""
        ...

    def member(self, node_id: str) -> Member | None:
        """Return the member with `node_id`."""
        ...

    def load_of(self, node_id: str) -> ReportedLoad | None:
        """Return the last load that a member reported, if any is known."""
        ...

    def authority_deadline(self) -> float:
        """Return the instant until which this node may claim idempotency keys."""
        ...
