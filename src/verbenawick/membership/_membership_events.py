"""Log events of the membership component (numbers 400 to 449)."""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, register_event


@register_event(400)
@dataclass(frozen=True, slots=True)
class MemberJoined(Event):
    """A relay registered a member."""

    node: str
    service: str
    incarnation: int


@register_event(401)
@dataclass(frozen=True, slots=True)
class MemberDeparted(Event):
    """A relay removed a member."""

    node: str
    service: str
    handed_over: bool
    process_ended: bool


@register_event(402, level="WARNING")
@dataclass(frozen=True, slots=True)
class DataCentreDeparted(Event):
    """The region relay removed all members of an unreachable data centre."""

    data_centre: str
    members: int


@register_event(403, level="WARNING")
@dataclass(frozen=True, slots=True)
class DeparturesDoubted(Event):
    """Most heartbeats stopped at once; the relay delays the removal of members."""

    silent: int
    members: int


@register_event(404)
@dataclass(frozen=True, slots=True)
class MemberStateChanged(Event):
    """A member started or stopped draining."""

    node: str
    is_draining: bool


@register_event(405, level="DEBUG")
@dataclass(frozen=True, slots=True)
class MembersWritten(Event):
    """The region relay wrote the region's member table to the store."""

    region: str
    epoch: int
    serial: int
    members: int


@register_event(406, level="DEBUG")
@dataclass(frozen=True, slots=True)
class TableReplaced(Event):
    """A region's table was replaced by a snapshot."""

    region: str
    epoch: int
    serial: int
    members: int


@register_event(407, level="WARNING")
@dataclass(frozen=True, slots=True)
class AuthorityWithdrawn(Event):
    """The relay does not list this node, which claims no keys until it is a member."""

    relay: str


@register_event(408, level="WARNING")
@dataclass(frozen=True, slots=True)
class TableInvalid(Event):
    """A member table from a peer or the store is invalid and was ignored."""

    source: str
    reason: str
