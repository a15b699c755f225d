"""Listener of the entry role over eventlet's WSGI server."""

from contextlib import suppress
from typing import Protocol

import eventlet
from eventlet import wsgi
from greenlet import GreenletExit

from verbenawick.calls._caller_protocol import CallerProtocol
from verbenawick.runtime._sockets import listen

MAX_CONNECTIONS = 1024
# An idle connection of a caller is closed after this time.
IDLE_LIMIT_S = 75.0
# A caller that sends or reads nothing for this long within a request is given up.
SOCKET_TIMEOUT_S = 30.0


class CallServingApplication(Protocol):
    """WSGI application that can finish its calls before it stops."""

    def __call__(self, environ, start_response):
        """Serve one call."""
        ...

    def stop_accepting(self) -> None:
        """Answer with ``Connection: close`` from now on."""
        ...

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Return whether the last call ended within `timeout_s`, after the stop."""
        ...


class EntryServer:
    """Listener of the entry role.

    `start` serves until `stop`, which finishes the calls in flight first.
    """

    def __init__(
        self, application: CallServingApplication, *, max_connections: int = 0
    ):
        self._application = application
        self._max_connections = max_connections or MAX_CONNECTIONS
        self._listener = None
        self._thread = None

    def listen(self, address: str) -> None:
        """Bind the listening socket to ``"ip:port"``."""
        self._listener = listen(address)

    def start(self) -> None:
        """Serve in a green thread of its own; needs `listen` before."""
        self._thread = eventlet.spawn(self._run)

    def _run(self) -> None:
        wsgi.server(
            self._listener,
            self._application,
            protocol=CallerProtocol,
            log_output=False,
            debug=False,
            max_size=self._max_connections,
            keepalive=IDLE_LIMIT_S,
            socket_timeout=SOCKET_TIMEOUT_S,
            # Names stay as the upstream wrote them, which also saves time per header.
            capitalize_response_headers=False,
        )

    def stop(self, *, grace_s: float, timeout_s: float) -> bool:
        """Stop without interrupting a call; return whether all calls ended in time.

        Parameters
        ----------
        grace_s : float
            Time during which new connections are still served, with
            ``Connection: close`` in each answer.
        timeout_s : float
            Longest wait for calls in flight after that.
        """
        self._application.stop_accepting()
        eventlet.sleep(grace_s)
        # Ends the accept loop; eventlet then closes idle connections and waits for the
        # others.
        self._thread.kill()
        self._listener.close()
        is_idle = self._application.wait_idle(timeout_s=timeout_s)
        # The server ends by the kill itself when no connection is open.
        with eventlet.Timeout(timeout_s, False), suppress(GreenletExit):
            self._thread.wait()
        return is_idle

    def close(self) -> None:
        """Stop at once; calls in flight lose their caller."""
        self._thread.kill()
        self._listener.close()
