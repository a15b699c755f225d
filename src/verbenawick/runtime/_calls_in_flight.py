"""Count of calls in flight, and waiting for the last one at a stop."""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.event import Event


class CallsInFlight:
    """Calls that entered and have not ended yet."""

    def __init__(self):
        self._count = 0
        self._is_stopping = False
        self._idle = Event()

    @property
    def count(self) -> int:
        """Return the number of calls in flight."""
        return self._count

    @property
    def is_stopping(self) -> bool:
        """Return whether `stop` was called."""
        return self._is_stopping

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Count a call while the context lasts."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            self._note_end()

    def stop(self) -> None:
        """Tell `wait_idle` to return when no call is in flight."""
        self._is_stopping = True
        self._note_end()

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Return whether no call was in flight within `timeout_s`, after the stop."""
        if self._is_stopping and not self._count:
            return True
        return bool(self._idle.wait(timeout=timeout_s))

    def _note_end(self) -> None:
        if self._is_stopping and not self._count and not self._idle.ready():
            self._idle.send(True)
