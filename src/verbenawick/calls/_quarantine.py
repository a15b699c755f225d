"""Quarantine of requests that crash upstreams.

Equal requests (same method, target and body) have the same fingerprint. The entry that
loses an upstream during a request reports a crash of its fingerprint; the reports go up
through the relays, the region relays exchange them through ``quarantine/<region>`` in
the store, and what is known comes down to every node. A fingerprint with
`CRASHES_TO_REFUSE` crashes, and more crashes than completed runs, is refused for
`QUARANTINE_S`. Completed runs count as well, since a popular read is in flight whenever
an upstream crashes for another reason.
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

CRASHES_TO_REFUSE = 3
QUARANTINE_S = 600.0
# Crashes longer ago than this no longer count.
CRASH_WINDOW_S = 600.0
# Calls that one crash of an upstream cuts off fail within this time and count once.
SAME_CRASH_S = 1.0

MAX_SUSPECTS = 1000
MAX_CRASHES_KEPT = 8
# Enough to outweigh any number of crashes that is kept.
MAX_COMPLETIONS = 100

REPORT_INTERVAL_S = 0.2
WRITE_INTERVAL_S = 1.0
RETRY_S = 2.0

KEY_PREFIX = "quarantine/"

REFUSED = register_metric(
    "quarantine.fingerprints",
    MetricKind.GAUGE,
    "fingerprints",
    "Fingerprints that this node refuses now",
)


@register_event(520, level="ERROR")
@dataclass(frozen=True, slots=True)
class RequestQuarantined(Event):
    """Equal requests crashed several upstreams; they are refused for some minutes."""

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
    """A crash of the upstream of `node_id`, `age_ms` before the message was written."""

    node_id: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """What is known of one fingerprint; completions are a total per reporting node."""

    fingerprint: bytes
    crashes: tuple[Row[CrashRow], ...]
    completions: int


@register_message(60)
@dataclass(frozen=True, slots=True)
class CrashReport(Message):
    """Suspects of a node or data centre, sent up."""

    rows: tuple[Row[SuspectRow], ...]


@register_message(61)
@dataclass(frozen=True, slots=True)
class SuspectTable(Message):
    """Suspects of the fleet, sent down."""

    rows: tuple[Row[SuspectRow], ...]


@dataclass(slots=True)
class _Suspect:
    crashes: list[tuple[str, float]] = field(default_factory=list)
    completions: int = 0
    # Completions seen here that were not yet sent up.
    unsent_completions: int = 0
    refused_until: float = 0.0


class SuspectList:
    """Crashes and completed runs per fingerprint, in bounded memory.

    At the bound, the fingerprint whose last news is oldest is forgotten.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def get(self, fingerprint: bytes) -> _Suspect | None:
        """Return what is known of a fingerprint."""
        return self._suspects.get(fingerprint)

    def items(self) -> list[tuple[bytes, _Suspect]]:
        """Return all suspects."""
        return list(self._suspects.items())

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether the fingerprint is in quarantine now."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.refused_until > self._clock.now()

    def refused_count(self) -> int:
        """Return the number of fingerprints in quarantine."""
        now = self._clock.now()
        return sum(suspect.refused_until > now for suspect in self._suspects.values())

    def add_crash(self, fingerprint: bytes, node_id: str, at: float) -> bool:
        """Count a crash; return False when it is known already."""
        if self._clock.now() - at > CRASH_WINDOW_S:
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect()
            if len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        for known_node_id, known_at in suspect.crashes:
            if known_node_id == node_id and abs(known_at - at) < SAME_CRASH_S:
                return False
        suspect.crashes = [*suspect.crashes, (node_id, at)][-MAX_CRASHES_KEPT:]
        self._suspects.move_to_end(fingerprint)
        self._decide(fingerprint, suspect)
        return True

    def add_completions(self, fingerprint: bytes, number: int) -> None:
        """Count completed runs of a suspect; others are not counted."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.completions = min(suspect.completions + number, MAX_COMPLETIONS)

    def expire(self) -> None:
        """Forget suspects whose crashes and quarantine are over."""
        now = self._clock.now()
        for fingerprint, suspect in self.items():
            if suspect.refused_until > now:
                continue
            if now - suspect.crashes[-1][1] > CRASH_WINDOW_S:
                del self._suspects[fingerprint]

    def _decide(self, fingerprint: bytes, suspect: _Suspect) -> None:
        now = self._clock.now()
        recent = [
            (node_id, at)
            for node_id, at in suspect.crashes
            if now - at <= CRASH_WINDOW_S
        ]
        if len(recent) < CRASHES_TO_REFUSE or len(recent) <= suspect.completions:
            return
        if suspect.refused_until <= now:
            node_ids = ",".join(node_id for node_id, _ in recent)
            emit(RequestQuarantined(fingerprint.hex(), node_ids))
        # Counted from the last crash, so that all nodes end it at about the same time.
        suspect.refused_until = max(at for _, at in recent) + QUARANTINE_S


class Quarantine:
    """Component that spreads crash counts; also asked by entry and gateway.

    `record_crash`, `record_completion` and `is_refused` may be called from any green
    thread of the node; they do not block.
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
        self._to_report: set[bytes] = set()
        self._to_pass_down: set[bytes] = set()
        self._object = _RegionObject(
            KEY_PREFIX + identity.region, clock=clock, store=store, merge=self._merge
        )
        # Fingerprints that other regions' objects have brought; they are not written
        # to the own object again.
        self._own_region: set[bytes] = set()

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether requests with this fingerprint are refused now."""
        return self._suspects.is_refused(fingerprint)

    def record_crash(self, fingerprint: bytes, node_id: str) -> None:
        """Count that the upstream of `node_id` was lost while it ran the request."""
        if self._suspects.add_crash(fingerprint, node_id, self._clock.now()):
            self._to_report.add(fingerprint)

    def record_completion(self, fingerprint: bytes) -> None:
        """Count a completed run; costs a dictionary access for other requests."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.completions >= MAX_COMPLETIONS:
            return
        self._suspects.add_completions(fingerprint, 1)
        suspect.unsent_completions += 1
        self._to_report.add(fingerprint)

    def on_message(self, peer_id: str, message: Message) -> None:
        """Merge reports from below and tables from above."""
        if isinstance(message, CrashReport):
            self._merge(message.rows, 0.0, is_own_region=True)
            for row in message.rows:
                suspect = self._suspects.get(row.fingerprint)
                if suspect is not None and not self._is_top():
                    suspect.unsent_completions += row.completions
                self._to_report.add(row.fingerprint)
        elif isinstance(message, SuspectTable) and peer_id == self._roles.relay_id():
            self._merge(message.rows, 0.0, is_own_region=False, is_from_above=True)

    def on_tick(self) -> None:
        """Send what is new up and down, and write the region's object."""
        now = self._clock.now()
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL_S
        self._suspects.expire()
        self._metrics.gauge(REFUSED, self._suspects.refused_count())
        if self._is_top():
            self._own_region |= self._to_report
            for fingerprint in self._to_report:
                suspect = self._suspects.get(fingerprint)
                if suspect is not None:
                    suspect.unsent_completions = 0
            self._to_pass_down |= self._to_report
            if self._to_report:
                self._object.request_write()
            self._to_report.clear()
            self._own_region &= {key for key, _ in self._suspects.items()}
            self._object.write_if_due(self._own_rows)
        elif self._to_report:
            self._send_up()
        self._send_down(self._to_pass_down, self._peers.peers(LinkPurpose.SUBSCRIBER))
        self._to_pass_down.clear()

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Tell a node that joins below this one what is known."""
        if is_open and purpose is LinkPurpose.SUBSCRIBER:
            known = {fingerprint for fingerprint, _ in self._suspects.items()}
            self._send_down(known, (peer_id,))
        elif is_open and purpose is LinkPurpose.RELAY:
            # A new relay has to learn what the one before it knew.
            self._to_report |= {key for key, _ in self._suspects.items()}

    def on_object(self, obj: StoreObject) -> None:
        """Merge the object of a region."""
        if not obj.key.startswith(KEY_PREFIX) or not obj.value:
            return
        is_own = obj.key == KEY_PREFIX + self._identity.region
        if is_own:
            self._object.note_version(obj.version)
        try:
            rows = decode_rows(obj.value)
        except ProtocolError as error:
            emit(QuarantineObjectInvalid(obj.key, str(error)))
            return
        self._merge(rows, obj.age_s, is_own_region=is_own)

    def _is_top(self) -> bool:
        return self._roles.is_region_relay()

    def _merge(
        self,
        rows: tuple[SuspectRow, ...],
        age_s: float,
        *,
        is_own_region: bool,
        is_from_above: bool = False,
    ) -> None:
        now = self._clock.now()
        for row in rows:
            news = [
                self._suspects.add_crash(
                    row.fingerprint, crash.node_id, now - age_s - crash.age_ms / 1000
                )
                for crash in row.crashes
            ]
            suspect = self._suspects.get(row.fingerprint)
            if suspect is None:
                continue
            if is_from_above or not is_own_region:
                # A total of the fleet or of another region, not an increment.
                known = suspect.completions
                suspect.completions = max(known, row.completions)
                news.append(suspect.completions > known)
            else:
                self._suspects.add_completions(row.fingerprint, row.completions)
                news.append(row.completions > 0)
                self._own_region.add(row.fingerprint)
            if any(news):
                self._to_pass_down.add(row.fingerprint)

    def _send_up(self) -> None:
        relay_id = self._roles.relay_id()
        if relay_id is None or relay_id == self._identity.node_id:
            return
        rows = []
        for fingerprint in self._to_report:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                rows.append(self._row(fingerprint, suspect, suspect.unsent_completions))
        if not rows or not self._peers.send(relay_id, CrashReport(tuple(rows))):
            return
        for row in rows:
            self._suspects.get(row.fingerprint).unsent_completions = 0
        self._to_report.clear()

    def _send_down(self, fingerprints: set[bytes], peer_ids: tuple[str, ...]) -> None:
        rows = []
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                rows.append(self._row(fingerprint, suspect, suspect.completions))
        if not rows:
            return
        for peer_id in peer_ids:
            self._peers.send(peer_id, SuspectTable(tuple(rows)))

    def _own_rows(self) -> tuple[SuspectRow, ...]:
        return tuple(
            self._row(fingerprint, suspect, suspect.completions)
            for fingerprint, suspect in self._suspects.items()
            if fingerprint in self._own_region
        )

    def _row(self, fingerprint, suspect: _Suspect, completions: int) -> SuspectRow:
        now = self._clock.now()
        crashes = tuple(
            CrashRow(node_id, max(int((now - at) * 1000), 0))
            for node_id, at in suspect.crashes
        )
        return SuspectRow(fingerprint, crashes, completions)


class _RegionObject:
    """The store object of a region, written by its relay on change only."""

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
        self._is_due = False
        self._is_busy = False
        self._next_at = 0.0

    def note_version(self, version: int) -> None:
        """Remember the version that a watch reported."""
        if self._version is None or version > self._version:
            self._version = version

    def request_write(self) -> None:
        """Write at the next opportunity."""
        self._is_due = True

    def write_if_due(self, rows: Callable[[], tuple[SuspectRow, ...]]) -> None:
        """Write when something changed and the last write is long enough ago."""
        now = self._clock.now()
        if not self._is_due or self._is_busy or now < self._next_at:
            return
        self._is_busy = True
        self._next_at = now + WRITE_INTERVAL_S
        if self._version is None:
            self._store.get(self._key, self._on_read)
            return
        self._is_due = False
        self._store.update(
            self._key,
            encode_rows(rows()),
            expected_version=self._version,
            callback=self._on_written,
        )

    def _on_read(self, obj: StoreObject | None, error: VerbenawickError | None) -> None:
        self._is_busy = False
        if error is not None:
            self._next_at = self._clock.now() + RETRY_S
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
        self._is_busy = False
        if error is None:
            self._version = obj.version
            return
        # Also after a lost answer: reading tells whether the write took effect.
        self._version = None
        self._is_due = True
        self._next_at = self._clock.now() + RETRY_S


def encode_rows(rows: tuple[SuspectRow, ...]) -> bytes:
    """Return the value of a region's object."""
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
    """Return the rows in the value of a region's object.

    Raises
    ------
    ProtocolError
        The value is not the encoding of rows.
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
