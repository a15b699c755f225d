"""Messages for configuration distribution and status; kinds 30 to 49."""

from dataclasses import dataclass

from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """A single process of a node, identified by its incarnation."""

    node_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class DeltaStep:
    """An accepted change: the delta from the previous version to `version`."""

    version: int
    digest: bytes
    delta: bytes


@register_message(30)
@dataclass(frozen=True, slots=True)
class Stage(Message):
    """A version to stage: deltas on a base, a snapshot, or only an announcement.

    Attributes
    ----------
    epoch : int
        Epoch of the data centre's lease known to the sender.
    round_number : int
        Number of the sender's announcement round, echoed in `Staged`; 0 in a response
        to `VersionRequest`.
    steps : tuple of DeltaStep
        Consecutive deltas from the base to the version.
    snapshot : bytes
        Complete document; empty if `steps` are sent or the version is only announced.
    """

    epoch: int
    round_number: int
    version: int
    digest: bytes
    base_version: int = 0
    base_digest: bytes = b""
    steps: tuple[Row[DeltaStep], ...] = ()
    snapshot: bytes = b""


@register_message(31)
@dataclass(frozen=True, slots=True)
class Staged(Message):
    """Acknowledgement: the highest version that the sender has staged or in force.

    Attributes
    ----------
    incarnation : int
        Identifies the sending process, as the message may arrive after a restart.
    restarts : tuple of ProcessStart
        Process starts whose floor query the sender answered. Acknowledgements from
        earlier processes of these nodes are no longer valid.
    """

    incarnation: int
    round_number: int
    version: int
    digest: bytes
    in_force_version: int
    restarts: tuple[Row[ProcessStart], ...] = ()


@register_message(32)
@dataclass(frozen=True, slots=True)
class Commit(Message):
    """Permission to put a version in force: a data centre majority holds it."""

    epoch: int
    version: int
    digest: bytes


@register_message(33)
@dataclass(frozen=True, slots=True)
class VersionSummary(Message):
    """The sender's versions, exchanged with its relay and a random neighbour."""

    in_force_version: int
    in_force_digest: bytes
    held_version: int
    held_digest: bytes
    is_reply: bool = False


@register_message(34)
@dataclass(frozen=True, slots=True)
class VersionRequest(Message):
    """Request for the receiver's highest version, with the one held by the sender."""

    version: int
    digest: bytes
    wants_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class FloorRequester:
    """A process that queries its floor; `attempt` distinguishes its queries."""

    start: Row[ProcessStart]
    attempt: int


@register_message(35)
@dataclass(frozen=True, slots=True)
class FloorQuery(Message):
    """Query for the highest held version, on behalf of restarted nodes."""

    requesters: tuple[Row[FloorRequester], ...]


@register_message(36)
@dataclass(frozen=True, slots=True)
class FloorResponse(Message):
    """Response of one node to a floor query, forwarded by the relay.

    Sent only by nodes whose own floor is confirmed.

    Attributes
    ----------
    member_count : int
        Number of members of the data centre known to the responder, itself included.
    """

    requester: Row[FloorRequester]
    responder: Row[ProcessStart]
    version: int
    digest: bytes
    member_count: int


@register_message(37)
@dataclass(frozen=True, slots=True)
class HeadQuery(Message):
    """Request to the relay to confirm the store's head; used only in cold starts."""

    incarnation: int
    sequence: int


@register_message(38)
@dataclass(frozen=True, slots=True)
class HeadConfirmed(Message):
    """The store's head, confirmed after the `HeadQuery` with these numbers arrived."""

    incarnation: int
    sequence: int
    version: int
    digest: bytes


@register_message(40)
@dataclass(frozen=True, slots=True)
class NodeReport(Message):
    """Status of one node, sent to its data centre relay.

    Attributes
    ----------
    staged_version : int
        Highest version that the node holds.
    refused_version : int
        Highest refused version above `staged_version`; 0 if there is none.
    state : str
        Lifecycle state of the node.
    """

    node_id: str
    incarnation: int
    version: int
    staged_version: int
    refused_version: int
    refusal_code: str
    state: str
    withheld_routes: int


@register_message(41)
@dataclass(frozen=True, slots=True)
class DataCentreReport(Message):
    """Changed node reports of a data centre, sent to the region relay.

    A node of the data centre that is in neither list is reachable and unchanged.

    Attributes
    ----------
    is_full : bool
        Whether `reports` contains all reachable nodes.
    unreachable_ids : tuple of str
        Nodes without a report for `UNKNOWN_AFTER_S`.
    """

    data_centre: str
    is_full: bool
    reports: tuple[Row[NodeReport], ...]
    unreachable_ids: tuple[str, ...]
