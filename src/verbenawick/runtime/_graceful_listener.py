"""Listening socket of a server that loses no connection when it is closed."""

from collections import deque
from dataclasses import dataclass

import eventlet
from eventlet import getcurrent, hubs
from eventlet.greenio import GreenSocket

from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._sockets import accept


@register_event(106, level="WARNING")
@dataclass(frozen=True, slots=True)
class WaitingConnectionsReset(Event):
    """A listener was closed with connections that the process lacks resources for."""

    address: str
    reason: str


class _ListenerClosing(BaseException):
    """Ends the wait of the accept loop."""


class GracefulListener:
    """Listening socket of which each connection reaches the accept loop.

    The kernel resets the connections that wait at a listening socket when it is closed,
    although their callers are connected and may have sent a request.

    Parameters
    ----------
    sock : GreenSocket
        Listening socket.
    """

    def __init__(self, sock: GreenSocket):
        self._sock = sock
        self._accept_loop = None
        self._is_closed = False
        self._last_connections: deque = deque()

    @property
    def family(self):
        """Return the address family of the socket."""
        return self._sock.family

    def getsockname(self):
        """Return the address of the socket."""
        return self._sock.getsockname()

    def accept(self):
        """Return the next connection and its address.

        After `close_after_accepting`, returns the connections that waited, then blocks.
        """
        if not self._is_closed:
            self._accept_loop = getcurrent()
            try:
                return accept(self._sock)
            except _ListenerClosing:
                self._accept_last()
            finally:
                self._accept_loop = None
        if not self._last_connections:
            # The server that runs the accept loop closes its connections when the loop
            # ends, so only `kill` ends it.
            eventlet.Event().wait()
        return self._last_connections.popleft()

    def close_after_accepting(self) -> None:
        """Accept the connections that wait, and close the socket.

        No other green thread runs in between, and new callers are refused.
        """
        if self._accept_loop is None:
            # The accept loop waits for a connection to end.
            self._accept_last()
            return
        # The hub must not watch a closed socket, so the loop ends its wait first.
        hubs.get_hub().schedule_call_global(0, getcurrent().switch)
        self._accept_loop.throw(_ListenerClosing)

    def close(self) -> None:
        """Close the socket and the connections that the accept loop has not taken."""
        self._is_closed = True
        self._sock.close()
        while self._last_connections:
            self._last_connections.popleft()[0].close()

    def _accept_last(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._sock.setblocking(False)
        try:
            while True:
                sock, address = accept(self._sock, waits=False)
                self._last_connections.append((GreenSocket(sock), address))
        except BlockingIOError:
            # No connection waits any more.
            pass
        except OSError as error:
            host, port = self._sock.getsockname()[:2]
            emit(WaitingConnectionsReset(f"{host}:{port}", error.strerror))
        finally:
            self._sock.close()
