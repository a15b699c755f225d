"""Waiting for a socket to become readable, with a single registration with the hub.

A green socket registers with the hub and unregisters again for each read, which are
three of the five system calls of a received message. A waiter stays registered, which
suits a connection that is read for its whole lifetime.
"""

from eventlet import hubs
from greenlet import getcurrent


class ReadWaiter:
    """Lets one green thread at a time wait until a socket is readable.

    Parameters
    ----------
    fileno : int
        Descriptor of a non-blocking socket. Call `close` before closing the socket.
    """

    def __init__(self, fileno: int):
        self._fileno = fileno
        self._listener = None
        self._waiting_thread = None
        self._is_closed = False

    def wait(self) -> None:
        """Wait until the socket may be readable; wake-ups can be spurious.

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
                hub.READ,
                self._fileno,
                self._on_readable,
                self._on_error,
                self._on_closed,
            )
        self._waiting_thread = getcurrent()
        try:
            hub.switch()
        finally:
            self._waiting_thread = None
        if self._is_closed:
            raise OSError("socket was closed")

    def close(self) -> None:
        """Unregister from the hub; a waiting green thread gets an `OSError`."""
        self._is_closed = True
        self._unregister()
        waiting_thread = self._waiting_thread
        if waiting_thread is not None:
            hubs.get_hub().schedule_call_global(0, self._resume, waiting_thread)

    def _resume(self, waiting_thread) -> None:
        if self._waiting_thread is waiting_thread:
            waiting_thread.switch()

    def _on_readable(self, fileno: int) -> None:
        if self._waiting_thread is not None:
            self._waiting_thread.switch()
        else:
            # No green thread is waiting, so the hub would report the same bytes
            # repeatedly.
            self._unregister()

    def _on_error(self, *details) -> None:
        if self._waiting_thread is not None:
            self._waiting_thread.throw(*details)

    def _on_closed(self) -> None:
        self._listener = None
        self._is_closed = True

    def _unregister(self) -> None:
        if self._listener is not None:
            listener, self._listener = self._listener, None
            hubs.get_hub().remove(listener)
