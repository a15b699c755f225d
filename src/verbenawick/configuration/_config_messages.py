"""Messages of configuration distribution and status; kinds 30 to 49."""

from dataclasses import dataclass

from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """One start of a node's process."""

    node_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class DeltaStep:
    """One accepted change: the delta that leads to `version` from the one before."""

    version: int
    digest: bytes
    delta: bytes


@register_message(30)
@dataclass(frozen=True, slots=True)
class Stage(Message):
    """A version to hold ready: deltas on a base, a snapshot, or an announcement.

    Attributes
    ----------
    epoch : int
        Epoch of the data centre's lease as the sender knows it.
    round_number : int
        Counts the sender's announcements, echoed in `Staged`; 0 in an answer to
        `VersionRequest`.
    steps : tuple of DeltaStep
        Deltas that lead from the base to the version, in order.
    snapshot : bytes
        Whole document; empty when steps are sent, or when the version is announced
        only.
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
    """The highest version that the sender holds, staged or in force.

    Attributes
    ----------
    incarnation : int
        Process of the sender, since the message can arrive after its restart.
    restarts : tuple of ProcessStart
        Process starts for which the sender answered a floor query. An earlier
        acknowledgement of such a node's former process no longer counts.
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
    """A majority of the data centre holds the version; it may be put in force."""

    epoch: int
    version: int
    digest: bytes


@register_message(33)
@dataclass(frozen=True, slots=True)
class VersionDigest(Message):
    """Versions of the sender, exchanged with its relay and a random neighbour."""

    in_force_version: int
    in_force_digest: bytes
    held_version: int
    held_digest: bytes
    is_reply: bool = False


@register_message(34)
@dataclass(frozen=True, slots=True)
class VersionRequest(Message):
    """Asks for the receiver's highest version; names what the sender holds."""

    version: int
    digest: bytes
    wants_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class Asker:
    """A process that asks for its floor; `attempt` tells its own queries apart."""

    start: Row[ProcessStart]
    attempt: int


@register_message(35)
@dataclass(frozen=True, slots=True)
class FloorQuery(Message):
    """Asks for the highest version held, on behalf of restarted nodes."""

    askers: tuple[Row[Asker], ...]


@register_message(36)
@dataclass(frozen=True, slots=True)
class FloorAnswer(Message):
    """Answer of one node to a floor query, passed on by the relay.

    Only a node whose own floor is confirmed answers.

    Attributes
    ----------
    member_count : int
        Members of the data centre that the answering node knows, itself included.
    """

    asker: Row[Asker]
    answerer: Row[ProcessStart]
    version: int
    digest: bytes
    member_count: int


@register_message(37)
@dataclass(frozen=True, slots=True)
class HeadQuery(Message):
    """Asks the node above to confirm the store's head; cold starts only."""

    incarnation: int
    sequence: int


@register_message(38)
@dataclass(frozen=True, slots=True)
class HeadConfirmed(Message):
    """The store's head, confirmed after the query with these numbers arrived."""

    incarnation: int
    sequence: int
    version: int
    digest: bytes


@register_message(40)
@dataclass(frozen=True, slots=True)
class NodeReport(Message):
    """Status of one node, to its data centre relay.

    Attributes
    ----------
    staged_version : int
        Highest version that the node holds.
    refused_version : int
        Highest version above it that the node refused; 0 for none.
    state : str
        State of the node's lifecycle.
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
    """Reports of a data centre that changed, to the region relay.

    A node of the data centre that is in neither list was heard from, unchanged.

    Attributes
    ----------
    is_full : bool
        `reports` has all nodes heard from.
    unheard_ids : tuple of str
        Nodes not heard from for `UNKNOWN_AFTER_S`.
    """

    data_centre: str
    is_full: bool
    reports: tuple[Row[NodeReport], ...]
    unheard_ids: tuple[str, ...]
