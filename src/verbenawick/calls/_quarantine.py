"""Quarantine of requests that crash upstreams.

Equal requests (same service of the caller, method, target and body) have the same
fingerprint. When an upstream is lost while it runs a request, the entry reports a crash
of the fingerprint, which is then a suspect. Reports go to the region relay through the
relays. The region relays exchange suspects through ``quarantine/<region>`` in the
store, and the suspects are distributed to all nodes. A fingerprint with at least
`CRASH_THRESHOLD` crashes, and more crashes than completed runs, is refused until
`QUARANTINE_S` after its last crash. Completed runs are counted because a frequent read
is in flight whenever an upstream crashes for another reason.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import cbor2

from verbenawick.errors import ProtocolError, VerbenawickError
from verbenawick.links._component import (
    LinkPurpose,
    NodeIdentity,
    PeerPort,
    RoleView,
    StoreObject,
    StorePort,
)
from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

CRASH_THRESHOLD = 3
QUARANTINE_S = 600.0
# Older crashes are ignored.
CRASH_WINDOW_S = 600.0
# Calls that fail because of the same crash of an upstream fail within this time and are
# counted as one crash.
CRASH_DEDUPLICATION_S = 1.0

MAX_SUSPECTS = 1000
MAX_CRASHES_KEPT = 8
# Larger than MAX_CRASHES_KEPT, so that completions can always outnumber the crashes.
MAX_COMPLETIONS = 100

REPORT_INTERVAL_S = 0.2
WRITE_INTERVAL_S = 1.0
STORE_RETRY_DELAY_S = 2.0

STORE_KEY_PREFIX = "quarantine/"

REFUSED = register_metric(
    "quarantine.fingerprints",
    MetricKind.GAUGE,
    "fingerprints",
    "Fingerprints that this node refuses now",
)


@register_event(520, level="ERROR")
@dataclass(frozen=True, slots=True)
class RequestQuarantined(Event):
    """Equal requests crashed several upstreams and are refused for some minutes."""

    fingerprint: str
    crashed_nodes: str


@register_event(521, level="WARNING")
@dataclass(frozen=True, slots=True)
class QuarantineObjectInvalid(Event):
    """The quarantine object of a region cannot be decoded."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class CrashRow:
    """A crash of the upstream of `node_id`, `age_ms` before the row was encoded."""

    node_id: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """Crashes and completed runs of one fingerprint.

    `completions` is an increment in a `CrashReport`, a total elsewhere.
    """

    fingerprint: bytes
    crashes: tuple[Row[CrashRow], ...]
    completions: int


@register_message(60)
@dataclass(frozen=True, slots=True)
class CrashReport(Message):
    """Suspects of a node or data centre, sent to its relay."""

    rows: tuple[Row[SuspectRow], ...]


@register_message(61)
@dataclass(frozen=True, slots=True)
class SuspectTable(Message):
    """Suspects of all regions, sent from a relay to its subscribers."""

    rows: tuple[Row[SuspectRow], ...]


@dataclass(slots=True)
class _Suspect:
    crashes: list[tuple[str, float]] = field(default_factory=list)
    completions: int = 0
    # Completions that have not been reported to the relay yet.
    unsent_completions: int = 0
    refused_until: float = 0.0


class SuspectList:
    """Crashes and completed runs per fingerprint, in bounded memory.

    At `MAX_SUSPECTS`, the fingerprint whose last new crash was recorded longest ago is
    evicted.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def get(self, fingerprint: bytes) -> _Suspect | None:
        """Return the suspect with this fingerprint, if there is one."""
        return self._suspects.get(fingerprint)

    def items(self) -> list[tuple[bytes, _Suspect]]:
        """Return all fingerprints and their suspects."""
        return list(self._suspects.items())

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether the fingerprint is in quarantine."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.refused_until > self._clock.now()

    def refused_count(self) -> int:
        """Return the number of fingerprints in quarantine."""
        now = self._clock.now()
        return sum(suspect.refused_until > now for suspect in self._suspects.values())

    def add_crash(self, fingerprint: bytes, node_id: str, at: float) -> bool:
        """Record a crash; return False if it is too old or already known."""
        if self._clock.now() - at > CRASH_WINDOW_S:
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect()
            if len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        for known_node_id, known_at in suspect.crashes:
            if known_node_id == node_id and abs(known_at - at) < CRASH_DEDUPLICATION_S:
                return False
        suspect.crashes = [*suspect.crashes, (node_id, at)][-MAX_CRASHES_KEPT:]
        self._suspects.move_to_end(fingerprint)
        self._update_quarantine(fingerprint, suspect)
        return True

    def add_completions(self, fingerprint: bytes, number: int) -> None:
        """Add completed runs of a fingerprint, if it is a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.completions = min(suspect.completions + number, MAX_COMPLETIONS)

    def expire(self) -> None:
        """Remove suspects whose crashes and quarantine have expired."""
        now = self._clock.now()
        for fingerprint, suspect in self.items():
            if suspect.refused_until > now:
                continue
            if now - suspect.crashes[-1][1] > CRASH_WINDOW_S:
                del self._suspects[fingerprint]

    def _update_quarantine(self, fingerprint: bytes, suspect: _Suspect) -> None:
        now = self._clock.now()
        recent = [
            (node_id, at)
            for node_id, at in suspect.crashes
            if now - at <= CRASH_WINDOW_S
        ]
        if len(recent) < CRASH_THRESHOLD or len(recent) <= suspect.completions:
            return
        if suspect.refused_until <= now:
            node_ids = ",".join(node_id for node_id, _ in recent)
            emit(RequestQuarantined(fingerprint.hex(), node_ids))
        # Counted from the last crash, so that the quarantine ends on all nodes at about
        # the same time.
        suspect.refused_until = max(at for _, at in recent) + QUARANTINE_S


class Quarantine:
    """Component that distributes crash counts and tells which requests to refuse.

    Entry and gateway may call `record_crash`, `record_completion` and `is_refused` from
    any green thread of the node; these do not block.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        *,
        clock: Clock,
        peers: PeerPort,
        store: StorePort,
        roles: RoleView,
        metrics: MetricSet,
    ):
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._store = store
        self._roles = roles
        self._metrics = metrics
        self._suspects = SuspectList(clock)
        self._next_report_at = 0.0
        self._pending_reports: set[bytes] = set()
        self._pending_broadcasts: set[bytes] = set()
        self._object = _RegionObject(
            STORE_KEY_PREFIX + identity.region,
            clock=clock,
            store=store,
            merge=self._merge,
        )
        # Fingerprints reported within this region. Those known only from the objects of
        # other regions are not written to the object of this region.
        self._own_region_fingerprints: set[bytes] = set()

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether requests with this fingerprint are refused."""
        return self._suspects.is_refused(fingerprint)

    def record_crash(self, fingerprint: bytes, node_id: str) -> None:
        """Record that the upstream of `node_id` was lost while it ran the request."""
        if self._suspects.add_crash(fingerprint, node_id, self._clock.now()):
            self._pending_reports.add(fingerprint)

    def record_completion(self, fingerprint: bytes) -> None:
        """Record a completed run; only a dictionary lookup if it is not a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.completions >= MAX_COMPLETIONS:
            return
        self._suspects.add_completions(fingerprint, 1)
        suspect.unsent_completions += 1
        self._pending_reports.add(fingerprint)

    def on_message(self, peer_id: str, message: Message) -> None:
        """Merge reports of subscribers and tables of the relay."""
        if isinstance(message, CrashReport):
            self._merge(message.rows, 0.0, is_own_region=True)
            for row in message.rows:
                suspect = self._suspects.get(row.fingerprint)
                if suspect is not None and not self._is_region_relay():
                    suspect.unsent_completions += row.completions
                self._pending_reports.add(row.fingerprint)
        elif isinstance(message, SuspectTable) and peer_id == self._roles.relay_id():
            self._merge(message.rows, 0.0, is_own_region=False, is_from_relay=True)

    def on_tick(self) -> None:
        """Send changes to the relay and the subscribers; write the region's object."""
        now = self._clock.now()
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL_S
        self._suspects.expire()
        self._metrics.gauge(REFUSED, self._suspects.refused_count())
        if self._is_region_relay():
            self._own_region_fingerprints |= self._pending_reports
            for fingerprint in self._pending_reports:
                suspect = self._suspects.get(fingerprint)
                if suspect is not None:
                    suspect.unsent_completions = 0
            self._pending_broadcasts |= self._pending_reports
            if self._pending_reports:
                self._object.request_write()
            self._pending_reports.clear()
            self._own_region_fingerprints &= {key for key, _ in self._suspects.items()}
            self._object.write_if_due(self._own_rows)
        elif self._pending_reports:
            self._report_to_relay()
        self._send_to_subscribers(
            self._pending_broadcasts, self._peers.peers(LinkPurpose.SUBSCRIBER)
        )
        self._pending_broadcasts.clear()

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Send all suspects to a new subscriber or, with the next tick, a new relay."""
        if is_open and purpose is LinkPurpose.SUBSCRIBER:
            known = {fingerprint for fingerprint, _ in self._suspects.items()}
            self._send_to_subscribers(known, (peer_id,))
        elif is_open and purpose is LinkPurpose.RELAY:
            # A new relay does not have the suspects of the previous one.
            self._pending_reports |= {key for key, _ in self._suspects.items()}

    def on_object(self, obj: StoreObject) -> None:
        """Merge the object of a region."""
        if not obj.key.startswith(STORE_KEY_PREFIX) or not obj.value:
            return
        is_own = obj.key == STORE_KEY_PREFIX + self._identity.region
        if is_own:
            self._object.observe_version(obj.version)
        try:
            rows = decode_rows(obj.value)
        except ProtocolError as error:
            emit(QuarantineObjectInvalid(obj.key, str(error)))
            return
        self._merge(rows, obj.age_s, is_own_region=is_own)

    def _is_region_relay(self) -> bool:
        return self._roles.is_region_relay()

    def _merge(
        self,
        rows: tuple[SuspectRow, ...],
        age_s: float,
        *,
        is_own_region: bool,
        is_from_relay: bool = False,
    ) -> None:
        now = self._clock.now()
        for row in rows:
            changed = [
                self._suspects.add_crash(
                    row.fingerprint, crash.node_id, now - age_s - crash.age_ms / 1000
                )
                for crash in row.crashes
            ]
            suspect = self._suspects.get(row.fingerprint)
            if suspect is None:
                continue
            if is_from_relay or not is_own_region:
                # A total of all regions or of another region, not an increment.
                known = suspect.completions
                suspect.completions = max(known, row.completions)
                changed.append(suspect.completions > known)
            else:
                self._suspects.add_completions(row.fingerprint, row.completions)
                changed.append(row.completions > 0)
                self._own_region_fingerprints.add(row.fingerprint)
            if any(changed):
                self._pending_broadcasts.add(row.fingerprint)

    def _report_to_relay(self) -> None:
        relay_id = self._roles.relay_id()
        if relay_id is None or relay_id == self._identity.node_id:
            return
        rows = []
        for fingerprint in self._pending_reports:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                rows.append(
                    self._to_row(fingerprint, suspect, suspect.unsent_completions)
                )
        if not rows or not self._peers.send(relay_id, CrashReport(tuple(rows))):
            return
        for row in rows:
            self._suspects.get(row.fingerprint).unsent_completions = 0
        self._pending_reports.clear()

    def _send_to_subscribers(
        self, fingerprints: set[bytes], peer_ids: tuple[str, ...]
    ) -> None:
        rows = []
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                rows.append(self._to_row(fingerprint, suspect, suspect.completions))
        if not rows:
            return
        for peer_id in peer_ids:
            self._peers.send(peer_id, SuspectTable(tuple(rows)))

    def _own_rows(self) -> tuple[SuspectRow, ...]:
        return tuple(
            self._to_row(fingerprint, suspect, suspect.completions)
            for fingerprint, suspect in self._suspects.items()
            if fingerprint in self._own_region_fingerprints
        )

    def _to_row(self, fingerprint, suspect: _Suspect, completions: int) -> SuspectRow:
        now = self._clock.now()
        crashes = tuple(
            CrashRow(node_id, max(int((now - at) * 1000), 0))
            for node_id, at in suspect.crashes
        )
        return SuspectRow(fingerprint, crashes, completions)


class _RegionObject:
    """Store object of a region, written by the region relay, only on changes."""

    def __init__(
        self,
        key: str,
        *,
        clock: Clock,
        store: StorePort,
        merge: Callable[..., None],
    ):
        self._key = key
        self._clock = clock
        self._store = store
        self._merge = merge
        self._version: int | None = None
        self._is_write_due = False
        self._is_request_pending = False
        self._next_attempt_at = 0.0

    def observe_version(self, version: int) -> None:
        """Record a version that a watch reported."""
        if self._version is None or version > self._version:
            self._version = version

    def request_write(self) -> None:
        """Mark the object to be written by the next `write_if_due`."""
        self._is_write_due = True

    def write_if_due(self, rows: Callable[[], tuple[SuspectRow, ...]]) -> None:
        """Write if a write was requested and the minimum interval has passed."""
        now = self._clock.now()
        if (
            not self._is_write_due
            or self._is_request_pending
            or now < self._next_attempt_at
        ):
            return
        self._is_request_pending = True
        self._next_attempt_at = now + WRITE_INTERVAL_S
        if self._version is None:
            self._store.get(self._key, self._on_read)
            return
        self._is_write_due = False
        self._store.update(
            self._key,
            encode_rows(rows()),
            expected_version=self._version,
            callback=self._on_written,
        )

    def _on_read(self, obj: StoreObject | None, error: VerbenawickError | None) -> None:
        self._is_request_pending = False
        if error is not None:
            self._next_attempt_at = self._clock.now() + STORE_RETRY_DELAY_S
            return
        self._version = obj.version
        if not obj.value:
            return
        try:
            self._merge(decode_rows(obj.value), obj.age_s, is_own_region=False)
        except ProtocolError as invalid:
            emit(QuarantineObjectInvalid(self._key, str(invalid)))

    def _on_written(
        self, obj: StoreObject | None, error: VerbenawickError | None
    ) -> None:
        self._is_request_pending = False
        if error is None:
            self._version = obj.version
            return
        # Also after a lost answer: the next read shows whether the write took effect.
        self._version = None
        self._is_write_due = True
        self._next_attempt_at = self._clock.now() + STORE_RETRY_DELAY_S


def encode_rows(rows: tuple[SuspectRow, ...]) -> bytes:
    """Encode rows as the value of a region's object."""
    return cbor2.dumps(
        [
            [
                row.fingerprint,
                [[crash.node_id, crash.age_ms] for crash in row.crashes],
                row.completions,
            ]
            for row in rows
        ]
    )


def decode_rows(value: bytes) -> tuple[SuspectRow, ...]:
    """Decode the rows in the value of a region's object.

    Raises
    ------
    ProtocolError
        The value is not a valid encoding of rows.
    """
    try:
        return tuple(
            SuspectRow(
                bytes(fingerprint),
                tuple(CrashRow(str(node_id), int(age)) for node_id, age in crashes),
                int(completions),
            )
            for fingerprint, crashes, completions in cbor2.loads(value)
        )
    except Exception as error:
        raise ProtocolError(
            f"not a quarantine object: {error!r}", step="quarantine.decode"
        ) from error
