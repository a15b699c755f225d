"""Cancellation of calls whose caller closed its connection."""

from contextlib import contextmanager

import eventlet
from eventlet.greenthread import getcurrent
from greenlet import GreenletExit

from verbenawick.runtime._polling import closed_by_peer

# Interval at which calls in flight are checked for callers that disconnected, seconds.
CHECK_INTERVAL_S = 0.025


class CallerWatcher:
    """Cancels calls whose caller closed its connection.

    A single green thread polls all connections with a call in flight, since registering
    each of them with the hub would cost two system calls per call.
    """

    def __init__(self, *, interval_s: float = CHECK_INTERVAL_S):
        self._interval_s = interval_s
        self._filenos_by_thread: dict[object, int] = {}
        self._is_running = False

    @contextmanager
    def watch(self, sock):
        """Raise `GreenletExit` in this green thread if the peer closes `sock`.

        It is raised at once if the peer gave up while its request waited to be read.
        """
        fileno = sock.fileno()
        if closed_by_peer([fileno]):
            raise GreenletExit
        # A connection may have several calls that run side by side.
        thread = getcurrent()
        self._filenos_by_thread[thread] = fileno
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        try:
            yield
        finally:
            self._filenos_by_thread.pop(thread, None)

    def _run(self) -> None:
        try:
            while self._filenos_by_thread:
                eventlet.sleep(self._interval_s)
                self._cancel_disconnected()
        finally:
            self._is_running = False

    def _cancel_disconnected(self) -> None:
        closed = set(closed_by_peer(set(self._filenos_by_thread.values())))
        disconnected = [
            (thread, fileno)
            for thread, fileno in self._filenos_by_thread.items()
            if fileno in closed
        ]
        for thread, fileno in disconnected:
            # Each kill lets other green threads run, so the call may have ended and its
            # descriptor may belong to the connection of another caller.
            if self._filenos_by_thread.get(thread) == fileno:
                del self._filenos_by_thread[thread]
                eventlet.kill(thread)
