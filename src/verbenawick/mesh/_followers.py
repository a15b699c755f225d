"""Task that watches the store, and the one for configurations.

Each task has a separate connection. A watch returns after at most `WATCH_WAIT_S` even
without a change, so that a dead connection is detected soon after that time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import eventlet

from verbenawick.errors import StoreHistoryGoneError, VerbenawickError
from verbenawick.mesh._configuration_relay import (
    FIRST_WATCH_WAIT_S,
    RELAY_WATCH_WAIT_S,
    ConfigurationAnswer,
    ConfigurationBeacon,
    ConfigurationCheck,
    RelayState,
)
from verbenawick.mesh._confirmation import Confirmation
from verbenawick.mesh._document_delta import (
    EMPTY_DOCUMENT,
    Document,
    base_version_of,
    decode_document,
    encode_delta,
)
from verbenawick.mesh._model import MeshConfiguration
from verbenawick.mesh._state_store import ConfigurationChange, StateStore
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

# A node has to be up to date 3 s after a fault. A watch on a connection that has gone
# silent is noticed only after its wait and a time-out, and another one has to follow.
WATCH_WAIT_S = 1.2
# Changes in quick succession are fetched together: a call to the store costs more than
# a second of delay does, and a configuration has to be in force within 2 s.
CONFIGURATION_BATCH_DELAY_S = 0.4
# How often a follower checks whether the beacons of its relay have expired.
RELAY_CHECK_INTERVAL_S = 0.15
# A delta up to this share of the plain document is not compared with the whole one,
# which compresses to a thirtieth.
MAX_DELTA_SHARE = 0.01
BASE_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Longest delay of a node that is no relay. The relay sends it a beacon when the store
# is back; the node has to be up to date within 3 s even if that is lost.
FOLLOWER_RETRY_DELAY_S = 2.8


@register_event(740, level="WARNING")
@dataclass(frozen=True, slots=True)
class StoreLost(Event):
    """The store is unavailable; the node continues with its last known state."""

    subject: str
    revision: int
    reason: str


@register_event(741)
@dataclass(frozen=True, slots=True)
class StoreRegained(Event):
    """The store is available again."""

    subject: str
    revision: int


@register_event(742, level="WARNING")
@dataclass(frozen=True, slots=True)
class HistoryGone(Event):
    """The store has discarded the changes after a revision; a full read follows."""

    subject: str
    revision: int


@register_event(743)
@dataclass(frozen=True, slots=True)
class ConfigurationSourceChanged(Event):
    """The source from which the node receives new configuration versions changed.

    `source` is ``relay`` (this node watches the store on behalf of others), ``beacons``
    (it receives versions from `relay`) or ``store`` (it watches the store only for
    itself).
    """

    source: str
    relay: str
    distance: int
    version: int


@register_event(744, level="WARNING")
@dataclass(frozen=True, slots=True)
class ConfigurationUnusable(Event):
    """A document received from another node cannot be used; `version` stays in force.

    The node requests the whole document from the sender of the beacon. `base` is the
    version that a delta is based on, 0 for a whole document.
    """

    version: int
    base: int
    reason: str


@register_event(757, level="ERROR")
@dataclass(frozen=True, slots=True)
class FollowerFailed(Event):
    """A watch of the store raised an unexpected exception and will be repeated."""

    subject: str
    revision: int
    error: str


class StoreFollower:
    """Reads the full state once, then watches for changes.

    Parameters
    ----------
    is_relay : callable
        Whether this node watches the store on behalf of other nodes.
    """

    subject = ""
    batch_delay_s = 0.0

    def __init__(
        self, store: StateStore, *, random: Random, is_relay: Callable[[], bool]
    ):
        self._store = store
        self._random = random
        self._is_relay = is_relay
        self._revision = 0
        self._is_history_gone = False
        self._failures = 0

    @property
    def has_synced(self) -> bool:
        """Return whether the state has been read once."""
        return self._revision > 0 or self._is_history_gone

    def run(self) -> None:
        """Watch the store until the green thread is killed."""
        while True:
            try:
                has_changed = self._poll()
            except StoreHistoryGoneError:
                emit(HistoryGone(self.subject, self._revision))
                self._revision = 0
                self._is_history_gone = True
                continue
            except VerbenawickError as error:
                self._on_failure(error)
                continue
            except Exception as error:
                # Without this task, the node would keep its present state for good.
                emit(FollowerFailed(self.subject, self._revision, repr(error)))
                self._on_failure(error)
                continue
            if self._failures:
                emit(StoreRegained(self.subject, self._revision))
                self._failures = 0
            if has_changed:
                eventlet.sleep(self.batch_delay_s)

    def _on_failure(self, error: Exception) -> None:
        if not self._failures:
            emit(StoreLost(self.subject, self._revision, str(error)))
        self._failures += 1
        wait_s = min(BASE_RETRY_DELAY_S * 2**self._failures, MAX_RETRY_DELAY_S)
        # The first failure may be that of the connection only.
        if self._failures > 1 and self.has_synced and not self._is_relay():
            wait_s = FOLLOWER_RETRY_DELAY_S
        # Jitter spreads the reconnects of nodes that lost the store at the same time.
        eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))

    def _poll(self) -> bool:
        raise NotImplementedError


class ConfigurationFollower(StoreFollower):
    """Calls `apply` with each accepted configuration, from the store or a relay.

    Parameters
    ----------
    decode : callable
        Decodes a configuration document of the store at the given revision.
    query : callable
        Requests the configuration that the node with the given id serves.
    send_beacon : callable
        Called when contact to the store is restored, so that a beacon may be sent.
    confirmation : Confirmation
        Told whenever the version in force is known to be the latest.
    """

    subject = "configuration"
    batch_delay_s = CONFIGURATION_BATCH_DELAY_S

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
        query: Callable[[str], ConfigurationAnswer | None],
        confirmation: Confirmation,
        send_beacon: Callable[[], None] = lambda: None,
    ):
        super().__init__(store, random=random, is_relay=is_relay)
        self._clock = clock
        self._confirmation = confirmation
        self._apply = apply
        self._relay = relay
        self._decode = decode
        self._query = query
        self._send_beacon = send_beacon
        self._version = 0
        self._document = EMPTY_DOCUMENT
        self._base = EMPTY_DOCUMENT
        self._base_version = 0
        self._is_querying = False
        self._source = ("", "")

    @property
    def has_configuration(self) -> bool:
        """Return whether a configuration has been applied."""
        return bool(self._version)

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether no source has confirmed the version in force for a while."""
        return self._confirmation.is_overdue

    @property
    def beacon(self) -> ConfigurationBeacon:
        """Return a beacon for the configuration in force, without its document."""
        return ConfigurationBeacon(
            self._relay.node_id,
            self._relay.distance,
            self._version,
            self._revision,
            b"",
        )

    def document_for(self, call_id: int) -> ConfigurationAnswer:
        """Return the answer to the `ConfigurationQuery` with this call id."""
        return ConfigurationAnswer(
            call_id, self._version, self._revision, self._document.compressed
        )

    def answer_check(self, check: ConfigurationCheck) -> ConfigurationAnswer:
        """Return the answer to a `ConfigurationCheck`."""
        if self._version > check.version:
            return self.document_for(check.call_id)
        return ConfigurationAnswer(check.call_id, self._version, 0, b"")

    def encode_update(self) -> bytes:
        """Return the document of the version in force for the nodes that lack it.

        While `apply` puts the version in force, this is a delta against the previous
        version, unless the whole document is smaller; later it is the whole document.
        """
        if not self._base.data:
            return self._document.compressed
        delta = encode_delta(
            self._base, self._document, base_version=self._base_version
        )
        # Compressing the whole document takes longer, and is larger by far for the
        # usual change of a few routes.
        if len(delta) <= MAX_DELTA_SHARE * len(self._document.data):
            return delta
        return min(delta, self._document.compressed, key=len)

    def on_beacon(self, sender_id: str, beacon: ConfigurationBeacon) -> None:
        """Process a beacon of a relay; must not block."""
        if beacon.version > self._version and beacon.document:
            self._update_from_document(beacon.document, beacon.revision)
        if beacon.version > self._version:
            if not self._is_querying:
                self._is_querying = True
                eventlet.spawn_n(self._fetch, sender_id)
            return
        self._relay.on_beacon(beacon, self._clock.now())
        if beacon.version == self._version:
            self._confirmation.confirm()
            self._revision = max(self._revision, beacon.revision)

    def _fetch(self, node_id: str) -> None:
        try:
            answer = self._query(node_id)
            if answer is not None:
                self.on_answer(answer)
        finally:
            self._is_querying = False

    def on_answer(self, answer: ConfigurationAnswer) -> None:
        """Use the configuration of another node if it is newer."""
        if answer.version > self._version:
            self._update_from_document(answer.document, answer.revision)

    def _update_from_document(self, encoded: bytes, revision: int) -> None:
        try:
            document = decode_document(self._document, encoded)
        except VerbenawickError as error:
            base = base_version_of(encoded)
            emit(ConfigurationUnusable(self._version, base, str(error)))
            return
        configuration = self._decode(document.data, revision)
        if configuration is not None:
            self._update(configuration, document, revision)

    def _update(
        self, configuration: MeshConfiguration, document: Document, revision: int
    ) -> None:
        if configuration.version > self._version:
            self._base, self._base_version = self._document, self._version
            self._document, self._version = document, configuration.version
            try:
                self._apply(configuration)
            finally:
                self._base = EMPTY_DOCUMENT
        self._revision = max(self._revision, revision)

    def _poll(self) -> bool:
        if not self._revision:
            # A starting node may serve an older version until the first beacon. See
            # `RecordFollower` for the case that the history is gone.
            is_first = not self._is_history_gone
            change = self._store.read_configuration(allow_stale=is_first)
            self._is_history_gone = False
            if is_first:
                self._relay.on_first_read(self._clock.now())
            return self._update_from_change(change, is_stale=is_first)
        if self._is_relay():
            self._set_source("relay", "")
            return self._watch_as_relay()
        if self._relay.has_live_relay(self._clock.now()):
            self._set_source("beacons", self._relay.relay_id)
            eventlet.sleep(RELAY_CHECK_INTERVAL_S)
            return False
        self._set_source("store", "")
        change = self._store.watch_configuration(self._revision, wait_s=WATCH_WAIT_S)
        return self._update_from_change(change)

    def _set_source(self, source: str, relay_id: str) -> None:
        if self._source == (source, relay_id):
            return
        self._source = (source, relay_id)
        emit(
            ConfigurationSourceChanged(
                source, relay_id, self._relay.distance, self._version
            )
        )

    def _watch_as_relay(self) -> bool:
        had_contact = self._relay.has_recent_contact(self._clock.now())
        wait_s = RELAY_WATCH_WAIT_S if had_contact else FIRST_WATCH_WAIT_S
        change = self._store.watch_configuration(self._revision, wait_s=wait_s)
        has_changed = self._update_from_change(change)
        if not had_contact:
            self._send_beacon()
        return has_changed

    def check_confirmation(self) -> None:
        """Log when the version in force becomes unconfirmed, or confirmed again."""
        source, relay_id = self._source
        self._confirmation.check(version=self._version, source=source, relay=relay_id)

    def _update_from_change(
        self, change: ConfigurationChange, *, is_stale: bool = False
    ) -> bool:
        if not is_stale:
            self._confirmation.confirm()
        self._relay.on_store_answer(
            self._clock.now(), round_trip_s=self._store.round_trip_s
        )
        if change.configuration is None:
            self._revision = max(self._revision, change.revision)
            return False
        self._update(change.configuration, Document(change.document), change.revision)
        return True
