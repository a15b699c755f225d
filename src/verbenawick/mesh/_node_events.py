"""Events of a node on the platform: start, stop, settings, peers, configuration."""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, register_event


@register_event(700, level="WARNING")
@dataclass(frozen=True, slots=True)
class LinesOmitted(Event):
    """Log lines were left out, to bound their volume.

    `omitted` counts them by event number; ``unread`` counts lines that nobody read.
    """

    omitted: str


@register_event(701)
@dataclass(frozen=True, slots=True)
class MeshNodeStarted(Event):
    """The node listens on all its addresses."""

    incarnation: int
    service: str
    data_centre: str
    region: str


@register_event(702)
@dataclass(frozen=True, slots=True)
class MeshNodeStopping(Event):
    """The node was told to stop; it finishes its calls first."""

    calls_in_flight: int
    gateway_calls: int


@register_event(703)
@dataclass(frozen=True, slots=True)
class MeshNodeStopped(Event):
    """The node has ended its calls."""

    all_calls_ended: bool


@register_event(704)
@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file was read again."""

    cause: str
    service: str
    upstream_address: str


@register_event(705)
@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """The node serves a configuration from now on."""

    version: int
    earlier_version: int
    revision: int
    routes: int


@register_event(706)
@dataclass(frozen=True, slots=True)
class PeerReached(Event):
    """A link to another node is open."""

    peer: str


@register_event(707, level="WARNING")
@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """Another node cannot be reached or gives no sign of life."""

    peer: str
    reason: str


@register_event(708, level="DEBUG")
@dataclass(frozen=True, slots=True)
class UpstreamProbeFailed(Event):
    """The upstream beside the node did not answer a health probe well."""

    reason: str


@register_event(709, level="ERROR")
@dataclass(frozen=True, slots=True)
class SettingsRejected(Event):
    """The changed settings are invalid; the node goes on with those at hand."""

    reason: str


@register_event(715)
@dataclass(frozen=True, slots=True)
class RecordRemoved(Event):
    """The record of a node that has been away for minutes was removed."""

    peer: str
    upstream: str
    revision: int


@register_event(716, level="WARNING")
@dataclass(frozen=True, slots=True)
class RecordNotRemoved(Event):
    """The record of a node that is away could not be removed; it is tried again."""

    peer: str
    reason: str
