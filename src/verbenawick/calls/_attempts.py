"""Concurrent attempts of one call."""

from collections import deque
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from verbenawick.links._call_messages import CallAnswer
from verbenawick.links._members import Member


class Attempt:
    """One attempt of a call.

    Attributes
    ----------
    answer, error : CallAnswer, Exception
        Result of an attempt that ended.
    is_overdue : bool
        Whether it took so long that another attempt was considered.
    """

    __slots__ = ("answer", "error", "is_overdue", "member", "thread")

    def __init__(self, member: Member):
        self.member = member
        self.answer: CallAnswer | None = None
        self.error: Exception | None = None
        self.is_overdue = False
        self.thread = None


class Attempts:
    """Attempts of one call, each in its own green thread.

    Parameters
    ----------
    run : callable
        Runs an attempt, given with its number from 0, and returns its answer.
    """

    def __init__(self, run: Callable[[Attempt, int], CallAnswer]):
        self.node_ids: list[str] = []
        self._run = run
        self._running: set[Attempt] = set()
        self._ended: deque[Attempt] = deque()
        self._has_ended: Event | None = None

    @property
    def count(self) -> int:
        """Return the number of attempts that were started."""
        return len(self.node_ids)

    @property
    def has_unread(self) -> bool:
        """Return whether `next_answer` will return a further answer."""
        return bool(self._running or self._ended)

    def start(self, member: Member) -> None:
        """Start an attempt to have `member` run the call."""
        attempt = Attempt(member)
        number = self.count
        self.node_ids.append(member.node_id)
        self._running.add(attempt)
        attempt.thread = eventlet.spawn_n(self._run_attempt, attempt, number)

    def next_answer(self, *, timeout_s: float | None) -> CallAnswer | None:
        """Return the next answer; None if none arrives within `timeout_s`."""
        if not self._ended:
            self._has_ended = Event()
            self._has_ended.wait(timeout=timeout_s)
        if not self._ended:
            return None
        attempt = self._ended.popleft()
        if attempt.error is not None:
            raise attempt.error
        return attempt.answer

    def mark_overdue(self) -> None:
        """Mark the running attempts as overdue."""
        for attempt in self._running:
            attempt.is_overdue = True

    def cancel(self) -> None:
        """Cancel the attempts without an answer."""
        for attempt in list(self._running):
            eventlet.kill(attempt.thread)

    def _run_attempt(self, attempt: Attempt, number: int) -> None:
        try:
            attempt.answer = self._run(attempt, number)
        except Exception as error:
            attempt.error = error
        self._running.discard(attempt)
        self._ended.append(attempt)
        if self._has_ended is not None and not self._has_ended.ready():
            self._has_ended.send(True)
