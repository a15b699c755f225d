"""Waiting until a socket is readable, registered with the hub once.

A green socket registers with the hub and leaves it again for each read, which are three
of the five system calls of a received message. A connection that is read for its whole
life stays registered.
"""

from eventlet import hubs
from greenlet import getcurrent


class ReadWaiter:
    """Lets one green thread at a time wait for a socket.

    Parameters
    ----------
    fileno : int
        Descriptor of a non-blocking socket. `close` has to be called before it is
        closed.
    """

    def __init__(self, fileno: int):
        self._fileno = fileno
        self._listener = None
        self._parked = None
        self._is_closed = False

    def wait(self) -> None:
        """Return when the socket may be readable; a read may still find nothing.

        Raises
        ------
        OSError
            The socket was closed.
        """
        if self._is_closed:
            raise OSError("socket is closed")
        hub = hubs.get_hub()
        if self._listener is None:
            self._listener = hub.add(
                hub.READ, self._fileno, self._on_readable, self._on_error, self._on_lost
            )
        self._parked = getcurrent()
        try:
            hub.switch()
        finally:
            self._parked = None
        if self._is_closed:
            raise OSError("socket was closed")

    def close(self) -> None:
        """Leave the hub; a waiting green thread gets an `OSError`."""
        self._is_closed = True
        self._leave()
        parked = self._parked
        if parked is not None:
            hubs.get_hub().schedule_call_global(0, self._resume, parked)

    def _resume(self, parked) -> None:
        if self._parked is parked:
            parked.switch()

    def _on_readable(self, fileno: int) -> None:
        if self._parked is not None:
            self._parked.switch()
        else:
            # Nobody reads now; the hub would report the same bytes again and again.
            self._leave()

    def _on_error(self, *details) -> None:
        if self._parked is not None:
            self._parked.throw(*details)

    def _on_lost(self) -> None:
        self._listener = None
        self._is_closed = True

    def _leave(self) -> None:
        if self._listener is not None:
            listener, self._listener = self._listener, None
            hubs.get_hub().remove(listener)
