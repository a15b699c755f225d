"""Events of the platform's border."""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, register_event


@register_event(750, level="WARNING")
@dataclass(frozen=True, slots=True)
class ObjectInvalid(Event):
    """An object in the store cannot be decoded; it is passed over."""

    kind: str
    name: str
    reason: str


@register_event(751, level="WARNING")
@dataclass(frozen=True, slots=True)
class ReportInvalid(Event):
    """A status report cannot be decoded; the upstream's state stays as it is."""

    upstream: str
    reason: str


@register_event(752, level="ERROR")
@dataclass(frozen=True, slots=True)
class CallBroken(Event):
    """A call ended with an error that the node does not know; it may have run."""

    request: str
    error: str
