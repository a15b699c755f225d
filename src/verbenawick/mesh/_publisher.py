"""Task that writes the current state of this node to its record in the store."""

import math
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

BASE_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


@register_event(745)
@dataclass(frozen=True, slots=True)
class RecordWritten(LogEvent):
    """The node's record was written to the store."""

    node: str
    upstream: str
    state: str
    revision: int


@register_event(746, level="WARNING")
@dataclass(frozen=True, slots=True)
class RecordNotWritten(LogEvent):
    """Writing the node's record to the store failed and will be retried."""

    node: str
    failures: int
    reason: str


class RecordPublisher:
    """Writes the node's record whenever it differs from the stored one.

    Parameters
    ----------
    desired : callable
        Returns the record that the store should hold, or None for no record.
    on_first_answer : callable
        Called once, when the store has been found to hold no record of this node, or
        with the record that it held before this process wrote one.
    on_failure : callable
        Called after each attempt that got no answer of the store.
    """

    def __init__(
        self,
        store: StateStore,
        *,
        node_id: str,
        desired: Callable[[], UpstreamRecord | None],
        random: Random,
        on_first_answer: Callable[[UpstreamRecord | None], None] = lambda record: None,
        on_failure: Callable[[], None] = lambda: None,
    ):
        self._on_first_answer = on_first_answer
        self._on_failure = on_failure
        self._has_answer = False
        self._store = store
        self._node_id = node_id
        self._desired = desired
        self._random = random
        self._stored: UpstreamRecord | None = None
        self._is_stored_known = False
        # Whether the records that this node has read include its own.
        self._is_listed = False
        self._is_writing = False
        # Highest revision of the record that was watched during a write, infinite
        # after a deletion.
        self._revision_during_write = 0.0
        self._changed = Event()
        self._idle = Event()

    def wake(self) -> None:
        """Make the task compare the stored record with the desired one."""
        if not self._changed.ready():
            self._changed.send(True)

    def on_stored(self, record: UpstreamRecord | None) -> None:
        """Process a watched change of the record, possibly by another node."""
        self._is_listed = record is not None
        if self._is_writing:
            revision = math.inf if record is None else record.revision
            self._revision_during_write = max(self._revision_during_write, revision)
            return
        known_revision = self._stored.revision if self._stored else 0
        if record is None or record.revision > known_revision:
            if record is not None and self._is_stored(record):
                # The store came back with the record at another revision.
                self._stored = record
            elif record != self._stored:
                self._is_stored_known = False
                self.wake()

    def run(self) -> None:
        """Write changes until the green thread is killed."""
        failures = 0
        while True:
            if not self._is_current():
                try:
                    self._write_once()
                    failures = 0
                except StoreConditionError as error:
                    self._is_stored_known = False
                    failures += 1
                    self._back_off(failures, error)
                except (StoreAnswerLostError, StoreUnavailableError) as error:
                    if isinstance(error, StoreAnswerLostError):
                        self._is_stored_known = False
                    failures += 1
                    self._on_failure()
                    self._back_off(failures, error)
                continue
            self._changed.wait()
            self._changed = Event()

    def flush(self, *, timeout_s: float) -> bool:
        """Return whether the desired record is stored within `timeout_s`."""
        self.wake()
        with eventlet.Timeout(timeout_s, False):
            while not self._is_current():
                eventlet.sleep(0.02)
            return True
        return False

    def _is_current(self) -> bool:
        desired = self._desired()
        if not self._is_stored_known:
            # No record is desired and this process has written none, so no call to the
            # store is needed.
            return desired is None and self._stored is None
        if desired is None or self._stored is None:
            return desired is self._stored
        return self._is_stored(desired)

    def _is_stored(self, record: UpstreamRecord) -> bool:
        """Return whether the stored record is `record`, at whatever revision."""
        stored = self._stored
        return (
            stored is not None and replace(record, revision=stored.revision) == stored
        )

    def _write_once(self) -> None:
        self._is_writing, self._revision_during_write = True, 0.0
        try:
            self._write()
        finally:
            self._is_writing = False
        # The watch often reports this write before the store's response is read.
        known_revision = self._stored.revision if self._stored else 0
        if self._revision_during_write > known_revision:
            self._is_stored_known = False

    def _write(self) -> None:
        desired = self._desired()
        if not self._is_stored_known:
            self._create_or_read(desired)
            return
        if desired is None:
            if self._stored is not None:
                self._store.delete_record(self._node_id, self._stored.revision)
                self._stored = None
            return
        revision = (
            self._store.replace_record(replace(desired, revision=self._stored.revision))
            if self._stored
            else self._store.create_record(desired)
        )
        self._set_stored(desired, revision)

    def _create_or_read(self, desired: UpstreamRecord | None) -> None:
        """Create the record, or read the existing record of this node.

        After a restart the record usually exists; an attempt to create it would be a
        wasted call.
        """
        if self._stored is None and desired is not None and not self._is_listed:
            try:
                revision = self._store.create_record(desired)
            except StoreConditionError:
                pass
            else:
                self._set_stored(desired, revision)
                self._note_first_answer(None)
                return
        self._stored = self._store.read_record(self._node_id)
        self._is_stored_known = True
        self._note_first_answer(self._stored)

    def _note_first_answer(self, record: UpstreamRecord | None) -> None:
        if not self._has_answer:
            self._has_answer = True
            self._on_first_answer(record)

    def _set_stored(self, record: UpstreamRecord, revision: int) -> None:
        self._stored = replace(record, revision=revision)
        self._is_stored_known = True
        emit(RecordWritten(self._node_id, record.upstream_id, record.state, revision))

    def _back_off(self, failures: int, error: Exception) -> None:
        emit(RecordNotWritten(self._node_id, failures, str(error)))
        wait_s = min(BASE_RETRY_DELAY_S * 2**failures, MAX_RETRY_DELAY_S)
        eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))
