"""Tasks that follow the store: the configuration, and the records of upstreams.

Each task owns its connection. A watch returns soon even without a change, so that a
connection that went silent is noticed within `WATCH_WAIT_S` and a little more.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from zlib import compress, decompress
from zlib import error as zlib_error

import eventlet

from verbenawick.errors import StoreHistoryGoneError, VerbenawickError
from verbenawick.mesh._configuration_relay import (
    FIRST_WATCH_WAIT_S,
    RELAY_WATCH_WAIT_S,
    ConfigurationBeacon,
    ConfigurationDocument,
    RelayState,
)
from verbenawick.mesh._model import MeshConfiguration
from verbenawick.mesh._state_store import (
    ConfigurationChange,
    RecordChange,
    StateStore,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

# Below the 3 s after the end of a fault within which a node has to be up to date again.
WATCH_WAIT_S = 2.4
# Changes in quick succession are fetched together: a call to the store costs more than
# a second of delay, and a configuration has 2 s to come into force.
CONFIGURATION_PAUSE_S = 0.4
# How soon a follower notices that its relay is gone, besides the beacons, seconds.
RELAY_CHECK_INTERVAL_S = 0.15
RECORDS_PAUSE_S = 0.3
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0


@register_event(740, level="WARNING")
@dataclass(frozen=True, slots=True)
class StoreLost(Event):
    """The store does not answer; the node goes on with what it knows."""

    subject: str
    revision: int
    reason: str


@register_event(741)
@dataclass(frozen=True, slots=True)
class StoreRegained(Event):
    """The store answers again."""

    subject: str
    revision: int


@register_event(742, level="WARNING")
@dataclass(frozen=True, slots=True)
class HistoryGone(Event):
    """The store no longer knows the changes after a revision; all is read again."""

    subject: str
    revision: int


@register_event(743)
@dataclass(frozen=True, slots=True)
class ConfigurationSourceChanged(Event):
    """The node learns of new versions in another way from now on.

    `source` is ``relay`` (this node watches the store for the others), ``beacons`` (it
    relies on `relay`) or ``store`` (it watches the store for itself).
    """

    source: str
    relay: str
    distance: int
    version: int


class _Follower:
    """Reads once, then watches; subclasses say what."""

    subject = ""
    pause_s = 0.0

    def __init__(self, store: StateStore, *, random: Random):
        self._store = store
        self._random = random
        self._revision = 0
        self._failures = 0

    @property
    def has_read(self) -> bool:
        """Return whether the store has answered at least once."""
        return self._revision > 0

    def run(self) -> None:
        """Follow the store until the green thread is killed."""
        while True:
            try:
                has_changed = self._step()
            except StoreHistoryGoneError:
                emit(HistoryGone(self.subject, self._revision))
                self._revision = 0
                continue
            except VerbenawickError as error:
                self._on_failure(error)
                continue
            if self._failures:
                emit(StoreRegained(self.subject, self._revision))
                self._failures = 0
            if has_changed:
                eventlet.sleep(self.pause_s)

    def _on_failure(self, error: VerbenawickError) -> None:
        if not self._failures:
            emit(StoreLost(self.subject, self._revision, str(error)))
        self._failures += 1
        wait_s = min(FIRST_RETRY_S * 2**self._failures, LONGEST_RETRY_S)
        # Nodes that lost the store together come back spread over the wait.
        eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))

    def _step(self) -> bool:
        raise NotImplementedError


class ConfigurationFollower(_Follower):
    """Brings each accepted configuration to `apply`, from the store or from a relay.

    Parameters
    ----------
    is_relay : callable
        Whether this node watches the store for its region.
    decode : callable
        Returns the configuration in a document of the store at a revision.
    query : callable
        Asks a node by its id for the configuration that it serves.
    announce : callable
        Called when this node can send beacons after a time in which it could not.
    """

    subject = "configuration"
    pause_s = CONFIGURATION_PAUSE_S

    def __init__(
        self,
        store: StateStore,
        *,
        random: Random,
        clock: Clock,
        apply: Callable[[MeshConfiguration], None],
        relay: RelayState,
        is_relay: Callable[[], bool],
        decode: Callable[[bytes, int], MeshConfiguration | None],
        query: Callable[[str], ConfigurationDocument | None],
        announce: Callable[[], None] = lambda: None,
    ):
        super().__init__(store, random=random)
        self._clock = clock
        self._apply = apply
        self._relay = relay
        self._is_relay = is_relay
        self._decode = decode
        self._query = query
        self._announce = announce
        self._version = 0
        self._document = b""
        self._is_querying = False
        self._source = ("", "")

    @property
    def has_configuration(self) -> bool:
        """Return whether a configuration was brought to `apply`."""
        return bool(self._version)

    @property
    def beacon(self) -> ConfigurationBeacon:
        """Return the beacon for the configuration in force, without its document."""
        return ConfigurationBeacon(
            self._relay.node_id,
            self._relay.distance,
            self._version,
            self._revision,
            b"",
        )

    def document_for(self, call_id: int) -> ConfigurationDocument:
        """Return the answer to a query."""
        return ConfigurationDocument(
            call_id, self._version, self._revision, self._document
        )

    def on_beacon(self, sender_id: str, beacon: ConfigurationBeacon) -> None:
        """Follow a relay; must not block."""
        if beacon.version > self._version and beacon.document:
            self._take_document(beacon.document, beacon.revision)
        if beacon.version > self._version:
            if not self._is_querying:
                self._is_querying = True
                eventlet.spawn_n(self._fetch, sender_id)
            return
        self._relay.on_beacon(beacon, self._clock.now())
        if beacon.version == self._version:
            self._revision = max(self._revision, beacon.revision)

    def _fetch(self, node_id: str) -> None:
        try:
            answer = self._query(node_id)
            if answer is not None and answer.version > self._version:
                self._take_document(answer.document, answer.revision)
        finally:
            self._is_querying = False

    def _take_document(self, document: bytes, revision: int) -> None:
        try:
            data = decompress(document)
        except zlib_error as error:
            emit(StoreLost("relay", self._revision, f"document is invalid: {error}"))
            return
        configuration = self._decode(data, revision)
        if configuration is not None:
            self._take(configuration, document, revision)

    def _take(
        self, configuration: MeshConfiguration, document: bytes, revision: int
    ) -> None:
        if configuration.version > self._version:
            self._version = configuration.version
            self._document = document
            self._apply(configuration)
        self._revision = max(self._revision, revision)

    def _step(self) -> bool:
        if not self._revision:
            change = self._store.read_configuration()
        elif self._is_relay():
            self._note_source("relay", "")
            return self._watch_as_relay()
        elif self._relay.can_follow(self._clock.now()):
            self._note_source("beacons", self._relay.relay_id)
            eventlet.sleep(RELAY_CHECK_INTERVAL_S)
            return False
        else:
            self._note_source("store", "")
            change = self._store.watch_configuration(
                self._revision, wait_s=WATCH_WAIT_S
            )
        return self._take_change(change)

    def _note_source(self, source: str, relay_id: str) -> None:
        if self._source == (source, relay_id):
            return
        self._source = (source, relay_id)
        emit(
            ConfigurationSourceChanged(
                source, relay_id, self._relay.distance, self._version
            )
        )

    def _watch_as_relay(self) -> bool:
        had_contact = self._relay.may_send_beacon(self._clock.now())
        wait_s = RELAY_WATCH_WAIT_S if had_contact else FIRST_WATCH_WAIT_S
        change = self._store.watch_configuration(self._revision, wait_s=wait_s)
        has_changed = self._take_change(change)
        if not had_contact:
            self._announce()
        return has_changed

    def _take_change(self, change: ConfigurationChange) -> bool:
        self._relay.on_contact(self._clock.now(), round_trip_s=self._store.round_trip_s)
        if change.configuration is None:
            self._revision = max(self._revision, change.revision)
            return False
        self._take(change.configuration, compress(change.document), change.revision)
        return True


class RecordFollower(_Follower):
    """Brings the records of upstreams to `apply`."""

    subject = "records"
    pause_s = RECORDS_PAUSE_S

    def __init__(
        self,
        store: StateStore,
        *,
        random: Random,
        apply: Callable[[RecordChange], None],
    ):
        super().__init__(store, random=random)
        self._apply = apply

    def _step(self) -> bool:
        if not self._revision:
            change = self._store.read_records()
        else:
            change = self._store.watch_records(self._revision, wait_s=WATCH_WAIT_S)
        if change.revision < self._revision:
            # An answer from before what is known already.
            return bool(change.records_by_node_id)
        self._revision = change.revision
        if change.records_by_node_id or change.is_complete:
            self._apply(change)
        return bool(change.records_by_node_id)
