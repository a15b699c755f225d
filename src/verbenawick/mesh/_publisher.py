"""Task that keeps this node's record in the store as the node believes it to be."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import eventlet
from eventlet.event import Event

from verbenawick.errors import (
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
)
from verbenawick.mesh._model import UpstreamRecord
from verbenawick.mesh._state_store import StateStore
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0


@register_event(745)
@dataclass(frozen=True, slots=True)
class RecordWritten(LogEvent):
    """The node's record in the store was brought up to date."""

    node: str
    upstream: str
    state: str
    revision: int


@register_event(746, level="WARNING")
@dataclass(frozen=True, slots=True)
class RecordNotWritten(LogEvent):
    """The store did not take the node's record; it is tried again."""

    node: str
    failures: int
    reason: str


class RecordPublisher:
    """Writes the node's record on change only.

    Parameters
    ----------
    wanted : callable
        Returns the record as it should be, None when there should be none.
    """

    def __init__(
        self,
        store: StateStore,
        *,
        node_id: str,
        wanted: Callable[[], UpstreamRecord | None],
        random: Random,
    ):
        self._store = store
        self._node_id = node_id
        self._wanted = wanted
        self._random = random
        self._stored: UpstreamRecord | None = None
        self._is_known = False
        self._is_writing = False
        self._has_changed_since = False
        self._changed = Event()
        self._idle = Event()

    def wake(self) -> None:
        """Compare the record in the store with the wanted one."""
        if not self._changed.ready():
            self._changed.send(True)

    def on_stored(self, record: UpstreamRecord | None) -> None:
        """Learn from a watch what the store holds; others may have changed it."""
        if self._is_writing:
            # The answer to the write may be older than this change.
            self._has_changed_since = True
            return
        known = self._stored.revision if self._stored else 0
        if record is None or record.revision > known:
            if record != self._stored:
                self._is_known = False
                self.wake()

    def run(self) -> None:
        """Write until the green thread is killed."""
        failures = 0
        while True:
            if not self._is_current():
                try:
                    self._write_once()
                    failures = 0
                except (StoreConditionError, StoreAnswerLostError) as error:
                    self._is_known = False
                    failures += 1
                    self._pause(failures, error)
                except StoreUnavailableError as error:
                    failures += 1
                    self._pause(failures, error)
                continue
            self._changed.wait()
            self._changed = Event()

    def flush(self, *, timeout_s: float) -> bool:
        """Return whether the store holds the wanted record within `timeout_s`."""
        self.wake()
        with eventlet.Timeout(timeout_s, False):
            while not self._is_current():
                eventlet.sleep(0.02)
            return True
        return False

    def _is_current(self) -> bool:
        wanted = self._wanted()
        if not self._is_known:
            # Nothing to say and nothing written by this process: no call is needed.
            return wanted is None and self._stored is None
        if wanted is None or self._stored is None:
            return wanted is self._stored
        return replace(wanted, revision=self._stored.revision) == self._stored

    def _write_once(self) -> None:
        self._is_writing, self._has_changed_since = True, False
        try:
            self._write()
        finally:
            self._is_writing = False
        if self._has_changed_since:
            self._is_known = False

    def _write(self) -> None:
        wanted = self._wanted()
        if not self._is_known:
            self._learn(wanted)
            return
        if wanted is None:
            if self._stored is not None:
                self._store.delete_record(self._node_id, self._stored.revision)
                self._stored = None
            return
        revision = (
            self._store.replace_record(replace(wanted, revision=self._stored.revision))
            if self._stored
            else self._store.create_record(wanted)
        )
        self._note(wanted, revision)

    def _learn(self, wanted: UpstreamRecord | None) -> None:
        """Create the record, or read what the store holds under its name."""
        if self._stored is None and wanted is not None:
            try:
                revision = self._store.create_record(wanted)
            except StoreConditionError:
                pass
            else:
                self._note(wanted, revision)
                return
        self._stored = self._store.read_record(self._node_id)
        self._is_known = True

    def _note(self, record: UpstreamRecord, revision: int) -> None:
        self._stored = replace(record, revision=revision)
        self._is_known = True
        emit(RecordWritten(self._node_id, record.upstream_id, record.state, revision))

    def _pause(self, failures: int, error: Exception) -> None:
        emit(RecordNotWritten(self._node_id, failures, str(error)))
        wait_s = min(FIRST_RETRY_S * 2**failures, LONGEST_RETRY_S)
        eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))
