"""Counter of calls in flight, which a stop uses to wait for the last one."""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.event import Event


class CallsInFlight:
    """Counts calls in flight and signals when the last one has ended after a stop."""

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
        """Count a call for the duration of the context."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            self._signal_if_idle()

    def stop(self) -> None:
        """Let `wait_idle` return as soon as no call is in flight."""
        self._is_stopping = True
        self._signal_if_idle()

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait for calls in flight; return whether all ended within `timeout_s`.

        Returns early only after `stop`, since new calls may start before it.
        """
        if self._is_stopping and not self._count:
            return True
        if self._idle.ready():
            # Further calls have started after the last one had ended.
            self._idle = Event()
        return bool(self._idle.wait(timeout=timeout_s))

    def _signal_if_idle(self) -> None:
        if self._is_stopping and not self._count and not self._idle.ready():
            self._idle.send(True)
