"""Log events of a node: start, stop, settings, peers and configuration."""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, register_event


@register_event(700, level="WARNING")
@dataclass(frozen=True, slots=True)
class LinesOmitted(Event):
    """Log lines were dropped to limit their volume.

    `omitted` counts them by event number; ``unread`` counts lines that were dropped
    because the output was not read fast enough.
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
    """The node received a request to stop and completes the calls in progress."""

    calls_in_flight: int
    gateway_calls: int


@register_event(703)
@dataclass(frozen=True, slots=True)
class MeshNodeStopped(Event):
    """The node has stopped; its remaining calls have ended or were cut off."""

    all_calls_ended: bool


@register_event(704)
@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file was reloaded."""

    cause: str
    service: str
    upstream_address: str


@register_event(705)
@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A new configuration is in force on the node."""

    version: int
    earlier_version: int
    revision: int
    routes: int


@register_event(706)
@dataclass(frozen=True, slots=True)
class PeerReached(Event):
    """A link to another node was opened."""

    peer: str


@register_event(707, level="WARNING")
@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """Another node is unreachable or does not respond."""

    peer: str
    reason: str


@register_event(717, level="WARNING")
@dataclass(frozen=True, slots=True)
class PeerSilent(Event):
    """Another node has pending calls and answers no pings; it gets no new calls.

    Many `unsent_bytes` point to a full or broken link; `ProcessStalled` at that node
    points to its process.
    """

    peer: str
    silence_s: float
    pending_calls: int
    unsent_bytes: int


@register_event(718)
@dataclass(frozen=True, slots=True)
class PeerResponding(Event):
    """A silent node responds again."""

    peer: str
    silence_s: float
    pending_calls: int


@register_event(719, level="WARNING")
@dataclass(frozen=True, slots=True)
class ProcessStalled(Event):
    """The process ran no other task for `stalled_s`.

    A `cpu_s` of about `stalled_s` means that one task kept the processor; a low one
    that the process was paused or got no processor time.
    """

    stalled_s: float
    cpu_s: float


@register_event(708, level="DEBUG")
@dataclass(frozen=True, slots=True)
class UpstreamProbeFailed(Event):
    """The local upstream failed a health probe."""

    reason: str


@register_event(709, level="ERROR")
@dataclass(frozen=True, slots=True)
class SettingsRejected(Event):
    """The changed settings are invalid; the node keeps the current ones."""

    reason: str


@register_event(712)
@dataclass(frozen=True, slots=True)
class ConfigurationForwarded(Event):
    """The relay or the leader of a region sent a new version to other nodes.

    `kind` is ``delta`` (against version `base`) or ``whole``; `bytes` is the size of
    the messages to all `nodes` before framing.
    """

    version: int
    base: int
    nodes: int
    bytes: int
    kind: str


@register_event(714)
@dataclass(frozen=True, slots=True)
class RecordSuperseded(Event):
    """A node's record is ignored, since another node has taken over its address."""

    peer: str
    peer_address: str


@register_event(715)
@dataclass(frozen=True, slots=True)
class RecordRemoved(Event):
    """The record of a node was removed.

    The node was unreachable for minutes, or another node has taken over its address.
    """

    peer: str
    upstream: str
    revision: int


@register_event(716, level="WARNING")
@dataclass(frozen=True, slots=True)
class RecordNotRemoved(Event):
    """Removing the record of an unreachable node failed and will be retried."""

    peer: str
    reason: str


@register_event(760, level="WARNING")
@dataclass(frozen=True, slots=True)
class LeaveNotKept(Event):
    """A leave of the upstream reached neither the store nor a peer.

    It applies, but is not acknowledged.
    """

    upstream: str
    born_ms: int
