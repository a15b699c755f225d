"""Messages of relay discovery and membership (kinds 10 to 29)."""

from dataclasses import dataclass

from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message


@dataclass(frozen=True, slots=True)
class RelayReference:
    """A relay as a peer knows it; the one with the highest epoch counts."""

    node_id: str
    address: str
    epoch: int


@register_message(10)
@dataclass(frozen=True, slots=True)
class Attach(Message):
    """First message on a dialled link: its purpose, seen from the dialling node."""

    purpose: str


@register_message(11)
@dataclass(frozen=True, slots=True)
class RelayQuery(Message):
    """Asks a peer which relays it knows to be alive."""


@register_message(12)
@dataclass(frozen=True, slots=True)
class RelayAnswer(Message):
    """Relays that the sender is, is linked to, or last knew.

    Attributes
    ----------
    data_centre : str
        Data centre of the sender, to which `data_centre_relay` belongs.
    neighbours : list of str
        A few addresses of nodes of the data centre.
    """

    data_centre: str
    data_centre_relay: Row[RelayReference] | None
    region_relay: Row[RelayReference] | None
    neighbours: list[str]


@dataclass(frozen=True, slots=True)
class MemberRow:
    """A member on the wire and in the store.

    Attributes
    ----------
    age_s : int
        Time since it joined, when the row was written; no instants cross machines.
    """

    node_id: str
    incarnation: int
    service_id: str
    data_centre: str
    peer_address: str
    slots: int
    is_draining: bool
    age_s: int


@dataclass(frozen=True, slots=True)
class DepartedRow:
    """A departed member on the wire and in the store."""

    node_id: str
    incarnation: int
    service_id: str
    handed_over: bool
    process_ended: bool
    age_s: int


@dataclass(frozen=True, slots=True)
class TableVersion:
    """Version of one region's table; ordered by epoch, then serial."""

    region: str
    epoch: int
    serial: int


@register_message(13)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """Registers the sender with its data centre relay."""

    member: Row[MemberRow]
    tables: list[Row[TableVersion]]


@register_message(14)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sign of life of a member, once a second.

    Attributes
    ----------
    busy_percent : int
        Share of the slots in use, 0 to 100.
    """

    busy_percent: int
    is_healthy: bool
    is_draining: bool


@register_message(15)
@dataclass(frozen=True, slots=True)
class HeartbeatReply(Message):
    """Answer of a relay.

    Attributes
    ----------
    epoch : int
        Epoch of the relay's lease.
    is_member : bool
        False asks for a new `Hello`.
    confirmed_age_s : int
        Age of the region relay's last confirmation by the store; -1 when unknown.
    """

    epoch: int
    is_member: bool
    confirmed_age_s: int


@register_message(16)
@dataclass(frozen=True, slots=True)
class Goodbye(Message):
    """Planned stop of the sender, whose process ends now."""

    incarnation: int
    handed_over: bool


@register_message(17)
@dataclass(frozen=True, slots=True)
class MemberBatch(Message):
    """Changes of one data centre, from its relay to the region relay.

    Attributes
    ----------
    is_full : bool
        `joined` has all members; members that are not in it have departed.
    """

    data_centre: str
    epoch: int
    is_full: bool
    joined: list[Row[MemberRow]]
    departed: list[Row[DepartedRow]]


@register_message(18)
@dataclass(frozen=True, slots=True)
class TableDelta(Message):
    """Changes of one region's table from one version to a later one."""

    region: str
    base_epoch: int
    base_serial: int
    epoch: int
    serial: int
    joined: list[Row[MemberRow]]
    departed: list[Row[DepartedRow]]


@register_message(19)
@dataclass(frozen=True, slots=True)
class TableSnapshot(Message):
    """One region's table as in the store.

    Attributes
    ----------
    data : bytes
        As written by `encode_region_table`.
    held_ms : int
        Time since `data` was written; added to the ages in it.
    """

    data: bytes
    held_ms: int


@register_message(20)
@dataclass(frozen=True, slots=True)
class TableVersions(Message):
    """Versions that the sender has; the relay answers with what is missing."""

    tables: list[Row[TableVersion]]


@dataclass(frozen=True, slots=True)
class LoadRow:
    """Load of one member."""

    node_id: str
    busy_percent: int
    is_healthy: bool


@register_message(21)
@dataclass(frozen=True, slots=True)
class LoadBatch(Message):
    """Loads that changed, from a data centre relay to the region relay."""

    loads: list[Row[LoadRow]]


@register_message(22)
@dataclass(frozen=True, slots=True)
class LoadVector(Message):
    """Loads of all members of a region, down the tree.

    A byte per member keeps a relay with 65 nodes below it within 9 KB/s.

    Attributes
    ----------
    epoch, serial : int
        Version of the region's table that gives the order of `loads`.
    loads : bytes
        One byte per member in the order of node ids: the busy share in percent, plus
        128 when it is healthy; 127 when it is not known.
    """

    region: str
    epoch: int
    serial: int
    loads: bytes
