"""Task that follows the upstream records, through the relay or in the store."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import eventlet

from verbenawick.errors import ProtocolError
from verbenawick.mesh._followers import (
    RELAY_CHECK_INTERVAL_S,
    WATCH_WAIT_S,
    StoreFollower,
)
from verbenawick.mesh._record_relay import (
    BEACON_INTERVAL_S,
    BEACON_VALID_S,
    CONTACT_VALID_S,
    MAX_UPDATE_BYTES,
    RELAY_WATCH_WAIT_S,
    RecordAnswer,
    RecordBeacon,
    RecordTable,
    decode_records,
    encode_records,
)
from verbenawick.mesh._state_store import RecordChange, StateStore
from verbenawick.mesh._store_era import era_of
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

# Changes in quick succession are fetched and sent together.
RECORDS_BATCH_DELAY_S = 0.3
# Nodes write the records that an older copy of the store lacks within two seconds.
RESTORE_GRACE_S = 3.0


@register_event(747, level="WARNING")
@dataclass(frozen=True, slots=True)
class RecordsUnusable(Event):
    """Record changes from another node are invalid; they are read from the store."""

    revision: int
    received_revision: int
    reason: str


@register_event(748)
@dataclass(frozen=True, slots=True)
class RecordSourceChanged(Event):
    """The source from which the node receives changes of the records changed.

    `source` is ``relay`` (this node watches the store on behalf of others), ``beacons``
    (it receives changes from the relay) or ``store`` (it watches the store only for
    itself). `relay_revision` is the last change that a relay is known to have.
    """

    source: str
    revision: int
    relay_revision: int


class RecordFollower(StoreFollower):
    """Calls `apply` with each change of the upstream records.

    Parameters
    ----------
    send : callable
        Sends a beacon to the nodes that rely on this one.
    """

    subject = "records"
    batch_delay_s = RECORDS_BATCH_DELAY_S

    def __init__(
        self,
        store: StateStore,
        *,
        random: Random,
        clock: Clock,
        apply: Callable[[RecordChange], None],
        is_relay: Callable[[], bool],
        send: Callable[[RecordBeacon], None],
    ):
        super().__init__(store, random=random, is_relay=is_relay)
        self._clock = clock
        self._apply = apply
        self._send = send
        self._table = RecordTable()
        # No record has changed between this revision and `_revision`.
        self._changed_revision = 0
        self._relay_revision = 0
        self._relay_valid_until = float("-inf")
        self._contact_valid_until = float("-inf")
        self._source = ""
        self._era = 0
        # When the records that an older copy of the store lacks are given up.
        self._restore_until = float("inf")

    def send_beacons(self) -> None:
        """Send beacons while this node is the relay, until the thread is killed."""
        while True:
            eventlet.sleep(BEACON_INTERVAL_S)
            if self._clock.now() < self._contact_valid_until:
                self._send_beacon()

    def on_beacon(self, beacon: RecordBeacon) -> None:
        """Process a beacon of the relay; must not block."""
        if not self._revision:
            return
        self._relay_valid_until = self._clock.now() + BEACON_VALID_S
        self._relay_revision = max(self._relay_revision, beacon.revision)
        if self._revision < beacon.revision:
            self._catch_up(beacon)
        if self._revision >= beacon.revision:
            self._revision = max(self._revision, beacon.position)
            self._era = era_of(self._revision)

    @property
    def record_count(self) -> int:
        """Return the number of known records."""
        return len(self._table.by_node_id)

    def answer(self, call_id: int) -> RecordAnswer:
        """Return the answer to the `RecordQuery` with this call id."""
        records = encode_records(self._table.by_node_id)
        return RecordAnswer(call_id, self._revision, records)

    def on_answer(self, answer: RecordAnswer) -> None:
        """Use the records of another node, unless this one has read its own."""
        if self.has_synced or not answer.revision:
            return
        try:
            records = decode_records(answer.records)
        except ProtocolError as error:
            emit(RecordsUnusable(self._revision, answer.revision, str(error)))
            return
        self._update(RecordChange(answer.revision, records, is_complete=True))

    def _catch_up(self, beacon: RecordBeacon) -> None:
        if beacon.records and beacon.base <= self._revision:
            try:
                records = decode_records(beacon.records)
            except ProtocolError as error:
                emit(RecordsUnusable(self._revision, beacon.revision, str(error)))
                return
            self._update(RecordChange(beacon.revision, records, is_complete=False))
        elif beacon.digest == self._table.digest:
            # The relay has read all records anew; none of them differ.
            self._revision = beacon.revision

    @property
    def _is_behind(self) -> bool:
        return self._revision < self._relay_revision

    def _poll(self) -> bool:
        if self._clock.now() >= self._restore_until:
            self._restore_until = float("inf")
            records = dict(self._table.by_node_id)
            self._apply(RecordChange(self._revision, records, is_complete=True))
        if not self._revision:
            # A stale answer may be older than the history that the store has kept, so
            # that the watch from its revision would fail again.
            change = self._store.read_records(allow_stale=not self._is_history_gone)
            self._is_history_gone = False
            base = self._changed_revision
            if self._is_of_new_era(change.revision):
                # The other nodes apply the differences without a call to the store.
                records = self._table.changes_to(change.records_by_node_id)
                change = RecordChange(change.revision, records, is_complete=False)
            has_changed = self._update(change)
            if self._is_relay():
                self._contact_valid_until = self._clock.now() + CONTACT_VALID_S
                if has_changed and not change.is_complete:
                    self._send_changes(base, change)
                else:
                    self._send_beacon()
            return has_changed
        if self._is_relay():
            self._set_source("relay")
            return self._watch_as_relay()
        if self._clock.now() < self._relay_valid_until and not self._is_behind:
            self._set_source("beacons")
            eventlet.sleep(RELAY_CHECK_INTERVAL_S)
            return False
        self._set_source("store")
        if self._is_behind:
            # Spreads the calls of the nodes that missed the same change.
            eventlet.sleep(RECORDS_BATCH_DELAY_S * self._random.random())
            if not self._is_behind:
                return False
        change = self._store.watch_records(self._revision, wait_s=WATCH_WAIT_S)
        return self._update(change)

    def _watch_as_relay(self) -> bool:
        base = self._changed_revision
        change = self._store.watch_records(self._revision, wait_s=RELAY_WATCH_WAIT_S)
        self._contact_valid_until = self._clock.now() + CONTACT_VALID_S
        if not self._update(change):
            return False
        if self._is_relay():
            self._send_changes(base, change)
        return True

    def _send_changes(self, base: int, change: RecordChange) -> None:
        records = encode_records(change.records_by_node_id)
        if len(records) > MAX_UPDATE_BYTES:
            records = b""
        self._send(
            RecordBeacon(
                base, change.revision, change.revision, self._table.digest, records
            )
        )

    def _send_beacon(self) -> None:
        if self._is_relay():
            revision = self._changed_revision
            self._send(
                RecordBeacon(
                    revision, revision, self._revision, self._table.digest, b""
                )
            )

    def _is_of_new_era(self, revision: int) -> bool:
        """Return whether the store came back from an older copy since the last one."""
        return bool(self._table.by_node_id) and era_of(revision) > self._era

    def _set_source(self, source: str) -> None:
        if self._source != source:
            self._source = source
            emit(RecordSourceChanged(source, self._revision, self._relay_revision))

    def _update(self, change: RecordChange) -> bool:
        """Apply a change unless it is outdated; return whether it changed records."""
        if change.revision < self._revision:
            # Stale answer: older than a revision that was already processed.
            return False
        has_records = bool(change.records_by_node_id)
        if self._is_of_new_era(change.revision) and not change.is_complete:
            change = replace(change, is_restored=True)
            self._restore_until = self._clock.now() + RESTORE_GRACE_S
        self._revision = change.revision
        self._era = era_of(change.revision)
        if has_records or change.is_complete:
            self._changed_revision = change.revision
            if change.is_complete:
                self._table.clear()
            for node_id, record in change.records_by_node_id.items():
                self._table.put(node_id, record)
            self._apply(change)
        return has_records
