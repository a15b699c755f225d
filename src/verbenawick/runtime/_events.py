"""Numbered log events.

An event is a frozen data class registered with a number. `emit` logs it through loguru,
with the number and the fields as structured values. docs/events.md is generated from
the registry.

Number ranges: 100 process and links, 200 configuration and operators, 300 leases and
distribution, 400 membership and status, 500 calls, 600 claims, 700 the node on the
users' platform (`mesh` and `platform`).
"""

from collections.abc import Callable
from dataclasses import dataclass, fields

from loguru import logger


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of all log events."""


events_by_number: dict[int, type[Event]] = {}
_registration_by_type: dict[type[Event], tuple[int, str]] = {}


def register_event(number: int, *, level: str = "INFO"):
    """Return a class decorator that registers an event class.

    Parameters
    ----------
    number : int
        Unique number of the event.
    level : str
        loguru level name.
    """

    def decorate(cls):
        if number in events_by_number:
            raise ValueError(f"event number {number} is registered twice")
        events_by_number[number] = cls
        _registration_by_type[cls] = (number, level)
        return cls

    return decorate


def number_of(event_type: type[Event]) -> int:
    """Return the number of an event class."""
    return _registration_by_type[event_type][0]


def level_of(event_type: type[Event]) -> str:
    """Return the loguru level of an event class."""
    return _registration_by_type[event_type][1]


_event_filter: Callable[[int], bool] | None = None
_min_severity = 0


def set_event_filter(
    is_enabled: Callable[[int], bool] | None, *, min_level: str = "TRACE"
) -> None:
    """Log only events of at least `min_level` for whose number `is_enabled` is true.

    Other events are not formatted, and those below `min_level` do not reach the filter.
    """
    global _event_filter, _min_severity
    _event_filter = is_enabled
    _min_severity = logger.level(min_level).no


def emit(event: Event) -> None:
    """Log `event` with its number and fields."""
    number, level = _registration_by_type[type(event)]
    if logger.level(level).no < _min_severity:
        return
    if _event_filter is not None and not _event_filter(number):
        return
    values_by_name = {field.name: getattr(event, field.name) for field in fields(event)}
    text = " ".join(f"{name}={value}" for name, value in values_by_name.items())
    logger.bind(event=number, **values_by_name).log(
        level, "{} {} {}", number, type(event).__name__, text
    )
