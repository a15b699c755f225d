"""Green threads that run one function after another.

A new green thread gets a stack from the operating system and gives it back at its end,
which takes two system calls and a tenth of the processor time of a call.
"""

from collections.abc import Callable

import eventlet
from eventlet import hubs
from eventlet.greenthread import GreenThread, getcurrent

# Further threads end when they have no function to run. Each takes some 20 KB.
MAX_IDLE_THREADS = 16


class ReusedThreads:
    """Runs functions in green threads, of which the idle ones are kept."""

    def __init__(self, *, max_idle: int = MAX_IDLE_THREADS):
        self._max_idle = max_idle
        self._idle: list[GreenThread] = []

    def spawn(self, function: Callable, *arguments) -> GreenThread:
        """Run a function soon; return its thread, which can be killed until it ends."""
        while self._idle:
            thread = self._idle.pop()
            if not thread.dead:
                hub = hubs.get_hub()
                hub.schedule_call_global(0, thread.switch, function, arguments)
                return thread
        return eventlet.spawn(self._run, [(function, arguments)])

    def _run(self, first: list[tuple[Callable, tuple]]) -> None:
        # A green thread keeps its own arguments, and an idle one its variables: the
        # first and the last request with their bodies.
        function, arguments = first.pop()
        while True:
            function(*arguments)
            function, arguments = None, ()
            if len(self._idle) >= self._max_idle:
                return
            self._idle.append(getcurrent())
            function, arguments = hubs.get_hub().switch()
