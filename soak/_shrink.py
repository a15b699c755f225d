"""Reduction of a schedule that breaks a promise to the faults that are needed."""

from collections.abc import Callable

from soak._faults import Event


def shrink(events: list[Event], breaks: Callable[[list[Event]], bool]) -> list[Event]:
    """Return the events without those that can be left out one after the other.

    Parameters
    ----------
    breaks : callable
        Plays a schedule and returns whether it breaks a promise.
    """
    size = len(events) // 2
    while size:
        start = 0
        while start < len(events):
            rest = events[:start] + events[start + size :]
            if breaks(rest):
                events = rest
            else:
                start += size
        size //= 2
    return events
