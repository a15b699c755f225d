"""Log events of the platform interfaces."""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, register_event


@register_event(750, level="WARNING")
@dataclass(frozen=True, slots=True)
class ObjectInvalid(Event):
    """An object in the store cannot be decoded; it is ignored."""

    kind: str
    name: str
    reason: str


@register_event(751, level="WARNING")
@dataclass(frozen=True, slots=True)
class ReportInvalid(Event):
    """A status report cannot be decoded; the upstream's state is unchanged."""

    upstream: str
    reason: str


@register_event(752, level="ERROR")
@dataclass(frozen=True, slots=True)
class CallBroken(Event):
    """A call ended with an unexpected exception; the request may have run."""

    request: str
    error: str


@register_event(756, level="ERROR")
@dataclass(frozen=True, slots=True)
class ListingCut(Event):
    """No object of a page has a name, so the pages after it cannot be requested.

    `after` is the name before the page, and `objects` its number of objects.
    """

    kind: str
    after: str
    objects: int


@register_event(758, level="ERROR")
@dataclass(frozen=True, slots=True)
class NodeFailed(Event):
    """The process ends because of an error; its exit code is not 0."""

    error: str


@register_event(759, level="WARNING")
@dataclass(frozen=True, slots=True)
class AddressesUsed(Event):
    """The node waits with its start, since its addresses are in use."""

    addresses: str
