"""Monotonic time, injected so that tests control it."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Return the current instant in seconds."""
        ...


class MonotonicClock:
    """Clock of the operating system; never steps back."""

    def now(self) -> float:
        """Return the current instant in seconds."""
        return monotonic()


class BootClock:
    """Clock that also counts the time for which the VM was suspended.

    A deadline passes while the VM is suspended as well, since callers go on waiting.
    """

    def now(self) -> float:
        """Return the current instant in seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when a test advances it.

    Parameters
    ----------
    start : float
        First instant in seconds.
    """

    def __init__(self, start: float = 1000.0):
        self._now = start

    def now(self) -> float:
        """Return the current instant in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        if seconds < 0:
            raise ValueError("a monotonic clock cannot go back")
        self._now += seconds
