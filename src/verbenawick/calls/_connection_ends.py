"""Why the connections of callers end, in counters and log events."""

from dataclasses import dataclass
from enum import StrEnum

from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric


class EndCause(StrEnum):
    """Why the connection of a caller ended."""

    CALLER_CLOSED = "caller-closed"
    CALLER_LEFT = "caller-left"
    CALLER_ASKED = "caller-asked"
    IDLE = "idle"
    ANNOUNCED = "announced"
    STOPPED = "stopped"
    INVALID = "invalid"
    BROKEN = "broken"


_DESCRIPTION_BY_CAUSE = {
    EndCause.CALLER_CLOSED: "closed by the caller between two requests",
    EndCause.CALLER_LEFT: "closed by the caller while its request was in progress",
    EndCause.CALLER_ASKED: "closed as the request asked for",
    EndCause.IDLE: "closed because no request arrived in time",
    EndCause.ANNOUNCED: "closed as the last response announced",
    EndCause.STOPPED: "closed without an announcement because the node stopped",
    EndCause.INVALID: "closed after a request that is invalid or incomplete",
    EndCause.BROKEN: "closed because a request or response could not be transferred",
}
ENDS_BY_CAUSE = {
    cause: register_metric(
        f"callers.ended_{cause.name.lower()}",
        MetricKind.COUNTER,
        "connections",
        f"Connections of callers {description}",
    )
    for cause, description in _DESCRIPTION_BY_CAUSE.items()
}
UNANSWERED = register_metric(
    "callers.unanswered",
    MetricKind.COUNTER,
    "requests",
    "Requests that were read and not answered, unless their caller left by itself",
)


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """End of the connection of a caller.

    Attributes
    ----------
    requests : int
        Requests of which the head was read.
    responses : int
        Responses that were written as a whole.
    was_announced : bool
        Whether a response announced the end with ``Connection: close``.
    has_unread : bool
        Whether bytes had arrived that were not read.
    """

    cause: EndCause
    requests: int
    responses: int
    was_announced: bool
    has_unread: bool


@register_event(505, level="WARNING")
@dataclass(frozen=True, slots=True)
class CallerUnanswered(Event):
    """A connection ended with a request that was read and not answered.

    `was_announced` tells whether an earlier response announced the end, and
    `has_unread` whether further bytes had arrived.
    """

    cause: str
    requests: int
    responses: int
    was_announced: bool
    has_unread: bool


@register_event(506, level="DEBUG")
@dataclass(frozen=True, slots=True)
class CallerConnectionEnded(Event):
    """The connection of a caller ended, and the node left no request unanswered."""

    cause: str
    requests: int
    was_announced: bool
    has_unread: bool


class ConnectionEnds:
    """Counts the ends of the callers' connections, and logs them."""

    def __init__(self, metrics: MetricSet):
        self._metrics = metrics

    def record(self, end: ConnectionEnd) -> None:
        """Count and log the end of a connection."""
        self._metrics.count(ENDS_BY_CAUSE[end.cause])
        unanswered = end.requests - end.responses
        if unanswered and end.cause is not EndCause.CALLER_LEFT:
            self._metrics.count(UNANSWERED, unanswered)
            emit(
                CallerUnanswered(
                    end.cause,
                    end.requests,
                    end.responses,
                    end.was_announced,
                    end.has_unread,
                )
            )
            return
        emit(
            CallerConnectionEnded(
                end.cause, end.requests, end.was_announced, end.has_unread
            )
        )
