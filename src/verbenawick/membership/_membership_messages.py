"""Messages of relay discovery and membership (kinds 10 to 29)."""

from dataclasses import dataclass

from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message


@dataclass(frozen=True, slots=True)
class RelayReference:
    """Relay as known to a peer; the reference with the highest epoch is current."""

    node_id: str
    address: str
    epoch: int


@register_message(10)
@dataclass(frozen=True, slots=True)
class Attach(Message):
    """First message on a dialled link: its purpose for the dialling node."""

    purpose: str


@register_message(11)
@dataclass(frozen=True, slots=True)
class RelayQuery(Message):
    """Request for the relays that a peer knows to be alive."""


@register_message(12)
@dataclass(frozen=True, slots=True)
class RelayAnswer(Message):
    """Relays known to the sender, which may be a relay itself.

    Attributes
    ----------
    data_centre : str
        Data centre of the sender and of `data_centre_relay`.
    data_centre_relay : RelayReference or None
        The sender or the relay that it is linked to.
    region_relay : RelayReference or None
        As `data_centre_relay`, or the last one that the sender knew.
    neighbours : list of str
        Addresses of some nodes of the data centre.
    """

    data_centre: str
    data_centre_relay: Row[RelayReference] | None
    region_relay: Row[RelayReference] | None
    neighbours: list[str]


@dataclass(frozen=True, slots=True)
class MemberRow:
    """Member as encoded in messages and in the store.

    Attributes
    ----------
    age_s : int
        Time between the join and the writing of the row. Clock readings are not
        exchanged between machines.
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
    """Departed member as encoded in messages and in the store."""

    node_id: str
    incarnation: int
    service_id: str
    handed_over: bool
    process_ended: bool
    age_s: int


@dataclass(frozen=True, slots=True)
class TableVersion:
    """Version of a region's table, ordered by epoch, then by serial."""

    region: str
    epoch: int
    serial: int


@register_message(13)
@dataclass(frozen=True, slots=True)
class Registration(Message):
    """Registration of the sender with its data centre relay."""

    member: Row[MemberRow]
    tables: list[Row[TableVersion]]


@register_message(14)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Heartbeat of a member, sent once per second.

    Attributes
    ----------
    busy_percent : int
        Percentage of slots in use, 0 to 100.
    """

    busy_percent: int
    is_healthy: bool
    is_draining: bool


@register_message(15)
@dataclass(frozen=True, slots=True)
class HeartbeatReply(Message):
    """Reply of a relay to a heartbeat.

    Attributes
    ----------
    epoch : int
        Epoch of the relay's lease.
    is_member : bool
        If False, the sender of the heartbeat has to register again.
    confirmed_age_s : int
        Time since the store last confirmed the region relay; -1 if unknown.
    """

    epoch: int
    is_member: bool
    confirmed_age_s: int


@register_message(16)
@dataclass(frozen=True, slots=True)
class DepartureNotice(Message):
    """Notice that the sender's process is about to end as planned."""

    incarnation: int
    handed_over: bool


@register_message(17)
@dataclass(frozen=True, slots=True)
class MemberBatch(Message):
    """Changes in one data centre, sent by its relay to the region relay.

    Attributes
    ----------
    is_full : bool
        Whether `joined` lists all members, so that those not in it have departed.
    """

    data_centre: str
    epoch: int
    is_full: bool
    joined: list[Row[MemberRow]]
    departed: list[Row[DepartedRow]]


@register_message(18)
@dataclass(frozen=True, slots=True)
class TableDelta(Message):
    """Changes to a region's table from one version to a later one."""

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
    """Table of one region, encoded as in the store.

    Attributes
    ----------
    data : bytes
        Result of `encode_region_table`.
    data_age_ms : int
        Time since `data` was encoded, which is added to the ages in it.
    """

    data: bytes
    data_age_ms: int


@register_message(20)
@dataclass(frozen=True, slots=True)
class TableVersions(Message):
    """Versions that the sender has; the relay answers with newer tables."""

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
    """Changed loads, sent by a data centre relay to the region relay."""

    loads: list[Row[LoadRow]]


@register_message(22)
@dataclass(frozen=True, slots=True)
class LoadVector(Message):
    """Loads of all members of a region, sent down the relay tree.

    With one byte per member, a relay with 65 subscribers sends at most 9 KB/s.

    Attributes
    ----------
    epoch, serial : int
        Version of the region's table to which the order of `loads` refers.
    loads : bytes
        One byte per member in the order of node ids: percentage of busy slots, plus 128
        if the member is healthy; 127 if the load is unknown.
    """

    region: str
    epoch: int
    serial: int
    loads: bytes
