"""Requests that a caller sends before its earlier ones on the connection are answered.

The load: callers that send several safe requests at once. Run one after the other, each
would wait for all before it. They run side by side, and are answered in order.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet
from eventlet.greenthread import GreenThread

from verbenawick.runtime._polling import readable

# Requests of one connection that run ahead of the one that is answered next.
MAX_REQUESTS_AHEAD = 8
# Interval at which connections with a running request are checked for further ones.
READ_AHEAD_INTERVAL_S = 0.05
SAFE_METHODS = frozenset({"GET", "HEAD"})

_HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class Answer:
    """Answer of a WSGI application, kept until its turn."""

    status: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    chunks: list[bytes] = field(default_factory=list)

    def start(self, status: str, headers, exc_info=None) -> None:
        """Take the head of the answer, as WSGI's ``start_response``."""
        self.status, self.headers = status, list(headers)


@dataclass(frozen=True, slots=True)
class RequestAhead:
    """A request that runs before its turn to be answered.

    Attributes
    ----------
    lines : list of bytes
        Lines of its head, with their line breaks.
    thread : GreenThread
        Returns the `Answer`.
    """

    lines: list[bytes]
    thread: GreenThread


def run_ahead(application, environ) -> Answer:
    """Return the answer of a WSGI application."""
    answer = Answer()
    answer.chunks = list(application(environ, answer.start))
    return answer


def split_head(data: bytes) -> tuple[list[bytes], bytes]:
    """Return the lines of the head at the start of `data`, and the head.

    Both are empty unless the whole head has arrived and has regular line breaks.
    """
    end = data.find(_HEAD_END)
    lines = data[:end].split(b"\r\n") if end > 0 else []
    if not lines or any(not line or b"\n" in line or b"\r" in line for line in lines):
        return [], b""
    head = data[: end + len(_HEAD_END)]
    return [line + b"\r\n" for line in (*lines, b"")], head


class ReadAhead:
    """Tells connections with a running request that further bytes have arrived.

    A single green thread polls all of them, since registering each with the hub would
    cost two system calls per request, also of callers that never send ahead.
    """

    def __init__(self, *, interval_s: float = READ_AHEAD_INTERVAL_S):
        self._interval_s = interval_s
        self._read_by_fileno: dict[int, Callable[[], bool]] = {}
        self._is_running = False

    @contextmanager
    def watch(self, fileno: int, read: Callable[[], bool]) -> Iterator[None]:
        """Call `read` when bytes arrive until the context ends or it returns False.

        Parameters
        ----------
        read : callable
            Must neither block nor raise.
        """
        self._read_by_fileno[fileno] = read
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        try:
            yield
        finally:
            self._read_by_fileno.pop(fileno, None)

    def _run(self) -> None:
        try:
            while self._read_by_fileno:
                eventlet.sleep(self._interval_s)
                for fileno in readable(self._read_by_fileno):
                    if not self._read_by_fileno[fileno]():
                        del self._read_by_fileno[fileno]
        finally:
            self._is_running = False
