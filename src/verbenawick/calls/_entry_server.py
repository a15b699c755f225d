"""HTTP server of the entry role, based on eventlet's WSGI server."""

import resource
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Protocol

import eventlet
from eventlet import wsgi
from greenlet import GreenletExit

from verbenawick.calls._caller_protocol import MAX_HEAD_BYTES, CallerProtocol
from verbenawick.calls._connection_ends import ConnectionEnds
from verbenawick.calls._read_ahead import ReadAhead
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._graceful_listener import GracefulListener
from verbenawick.runtime._metrics import MetricSet
from verbenawick.runtime._sockets import listen

# An idle connection takes some 32 KB.
MAX_CONNECTIONS = 3072
# Descriptors that remain for links, channels to the upstream, the store and files.
RESERVED_DESCRIPTORS = 512
# Share of the connections from which on each is closed after its next response. If all
# were kept until they are idle, new ones would wait without an answer.
CROWDED_SHARE = 0.75
# Idle connections of callers are closed after this time unless the configuration names
# another one.
KEEP_ALIVE_TIMEOUT_S = 75.0
# The connection of a caller that neither sends nor reads for this long within a request
# is closed.
SOCKET_TIMEOUT_S = 30.0

# Time for the first requests on the last connections to arrive and be read; requests on
# kept connections are served too.
LAST_REQUESTS_S = 0.5
LAST_REQUESTS_POLL_S = 0.02


class StoppableApplication(Protocol):
    """WSGI application that can finish its calls before the server stops."""

    def __call__(self, environ, start_response):
        """Serve one call."""
        ...

    def stop_accepting(self) -> None:
        """Let `wait_idle` return as soon as no call is in flight."""
        ...

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait for calls in flight; return whether all ended within `timeout_s`."""
        ...


def connection_limit() -> int:
    """Return how many connections of callers the process can keep."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    remaining = max(descriptors - RESERVED_DESCRIPTORS, descriptors // 2)
    return min(MAX_CONNECTIONS, remaining)


class EntryServer:
    """HTTP server of the entry role.

    Serves from `start` until `stop`, which finishes the calls in flight first.

    Parameters
    ----------
    idle_timeout_s : callable
        Returns the time after which an idle connection is closed, in seconds. It is
        asked whenever a connection becomes idle.
    metrics : MetricSet
        Receives the counts of ended connections.
    """

    def __init__(
        self,
        application: StoppableApplication,
        *,
        metrics: MetricSet,
        max_connections: int = 0,
        idle_timeout_s: Callable[[], float] = lambda: KEEP_ALIVE_TIMEOUT_S,
    ):
        self._application = application
        self._max_connections = max_connections or connection_limit()
        self._idle_timeout_s = idle_timeout_s
        self._listener = None
        self._thread = None
        self._connections: set[CallerProtocol] = set()
        self._ends = ConnectionEnds(metrics)
        self._read_ahead = ReadAhead()
        self._is_stopping = False
        self._clock = MonotonicClock()

    def listen(self, address: str) -> None:
        """Bind the listening socket to ``"ip:port"``."""
        self._listener = GracefulListener(listen(address))

    def start(self) -> None:
        """Serve in a separate green thread; `listen` must have been called."""
        self._is_stopping = False
        self._thread = eventlet.spawn(self._run)

    def _run(self) -> None:
        wsgi.server(
            self._listener,
            self._application,
            protocol=partial(
                CallerProtocol,
                connections=self._connections,
                idle_timeout_s=self._idle_timeout_s,
                is_stopping=lambda: self._is_stopping,
                is_crowded=self._is_crowded,
                on_end=self._ends.record,
                read_ahead=self._read_ahead,
            ),
            log_output=False,
            debug=False,
            max_size=self._max_connections,
            url_length_limit=MAX_HEAD_BYTES,
            keepalive=KEEP_ALIVE_TIMEOUT_S,
            socket_timeout=SOCKET_TIMEOUT_S,
            # Keeps header names as the upstream wrote them and saves time per header.
            capitalize_response_headers=False,
        )

    def _is_crowded(self) -> bool:
        return len(self._connections) > CROWDED_SHARE * self._max_connections

    def stop(self, *, grace_s: float, timeout_s: float) -> bool:
        """Stop gracefully; return whether all calls in flight ended in time.

        Parameters
        ----------
        grace_s : float
            Time during which new connections are still served. The last response on
            each connection announces its close.
        timeout_s : float
            Longest wait for calls in flight, and for the connections that have none,
            after the grace period. New connections are refused meanwhile.
        """
        self._is_stopping = True
        self._application.stop_accepting()
        eventlet.sleep(grace_s)
        deadline = self._clock.now() + timeout_s
        self._listener.close_after_accepting()
        self._serve_last_requests(min(LAST_REQUESTS_S, timeout_s))
        for connection in self._connections:
            connection.prepare_stop()
        # Ends the accept loop. eventlet then closes idle connections and waits for the
        # active ones.
        self._thread.kill()
        self._listener.close()
        left_s = max(deadline - self._clock.now(), 0.0)
        is_idle = self._application.wait_idle(timeout_s=left_s)
        # If no connection is open, the kill already ended the server thread.
        left_s = max(deadline - self._clock.now(), 0.0)
        with eventlet.Timeout(left_s, False), suppress(GreenletExit):
            self._thread.wait()
        # Connections with further requests start calls after the last one had ended.
        return is_idle and self._application.wait_idle(timeout_s=0)

    def _serve_last_requests(self, timeout_s: float) -> None:
        """Wait until all connections are closed, for `timeout_s` at most.

        The last response on a connection announces its close, so a caller that got it
        sends no further request.
        """
        deadline = self._clock.now() + timeout_s
        # The green threads of the last connections start in the next passes of the hub.
        eventlet.sleep(LAST_REQUESTS_POLL_S)
        while self._connections and self._clock.now() < deadline:
            eventlet.sleep(LAST_REQUESTS_POLL_S)

    def close(self) -> None:
        """Stop immediately; calls in flight lose their connection to the caller."""
        self._thread.kill()
        self._listener.close()
