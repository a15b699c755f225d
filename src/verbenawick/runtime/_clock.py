"""Monotonic clocks, injected so that tests can control the time."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Return the current time in seconds."""
        ...


class MonotonicClock:
    """Monotonic clock of the operating system."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return monotonic()


class BootClock:
    """Monotonic clock that includes the time during which the VM was suspended.

    Deadlines must expire during a suspension, since callers keep waiting.
    """

    def now(self) -> float:
        """Return the current time in seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


class ManualClock:
    """Clock for tests that moves only when it is advanced.

    Parameters
    ----------
    start : float
        Initial time in seconds.
    """

    def __init__(self, start: float = 1000.0):
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        if seconds < 0:
            raise ValueError("a monotonic clock cannot move backwards")
        self._now += seconds
