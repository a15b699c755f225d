"""Leases in the store: claimed and renewed by conditional update, fenced by epoch.

No rule compares clocks of different machines. A holder's authority ends by its own
clock, counted from the instant at which it sent the last successful renewal. A
claimant waits until it has seen the same store version for a full lease timeout on its
own clock. Together with the margin this keeps the two periods apart.
"""

from dataclasses import asdict, astuple, dataclass
from enum import StrEnum
from functools import cache
from importlib.resources import files
from random import Random

import cbor2
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ArgsKwargs
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from verbenawick.errors import (
    StoreUnavailableError,
    VerbenawickError,
)
from verbenawick.links._component import NodeIdentity, StoreObject, StorePort
from verbenawick.runtime._backoff import Backoff
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, register_event
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.settings._settings import TimingSettings

# Covers the difference between the rates of two clocks and the time between the check
# of the authority and the effect of a write.
AUTHORITY_MARGIN_S = 1.0


class LeaseState(StrEnum):
    """States of charts/lease.yaml."""

    FOLLOWER = "follower"
    OBSERVING = "observing"
    CLAIMING = "claiming"
    HOLDING = "holding"
    SUSPENDED = "suspended"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Value of a lease object.

    Attributes
    ----------
    holder : str
        Node id of the holder; empty after a release.
    epoch : int
        Number of takeovers; messages of a relay carry it as fencing token.
    address : str
        ``"ip:port"`` of the holder's listener for nodes.
    """

    holder: str
    incarnation: int
    epoch: int
    address: str


_record_adapter = TypeAdapter(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return the value of a lease object: a CBOR array of the fields in order.

    Each renewal sends it, for most leases across regions, so it carries no names.
    """
    return cbor2.dumps(astuple(record))


def parse_lease_record(value: bytes) -> LeaseRecord | None:
    """Return the record in a lease object; None when it is absent or invalid."""
    try:
        fields = cbor2.loads(value)
        if not isinstance(fields, list):
            return None
        return _record_adapter.validate_python(ArgsKwargs(tuple(fields)))
    except (cbor2.CBORDecodeError, ValidationError):
        return None


@register_event(300)
@dataclass(frozen=True, slots=True)
class LeaseAcquired(Event):
    """The node holds a lease with authority."""

    key: str
    epoch: int


@register_event(301, level="WARNING")
@dataclass(frozen=True, slots=True)
class LeaseSuspended(Event):
    """The authority of a held lease has ended before a renewal succeeded."""

    key: str
    epoch: int
    late_s: float


@register_event(302, level="WARNING")
@dataclass(frozen=True, slots=True)
class LeaseSuperseded(Event):
    """Another node holds a lease that this node held."""

    key: str
    epoch: int
    holder: str


@register_event(303)
@dataclass(frozen=True, slots=True)
class LeaseObserved(Event):
    """The node waits whether a lease expires."""

    key: str
    holder: str
    epoch: int


@register_event(304)
@dataclass(frozen=True, slots=True)
class LeaseRefused(Event):
    """A claim failed, since the lease object had changed."""

    key: str
    holder: str
    epoch: int


@register_event(305)
@dataclass(frozen=True, slots=True)
class LeaseReleased(Event):
    """The node gave a lease up."""

    key: str
    epoch: int


@cache
def _chart() -> Statechart:
    source = files("verbenawick").joinpath("charts/lease.yaml")
    return import_from_yaml(text=source.read_text(encoding="utf-8"))


class Lease:
    """One lease as one node sees it; a plain class driven by `on_tick`.

    At most one request to the store is outstanding at any time.

    Parameters
    ----------
    key : str
        Key of the lease object.
    """

    def __init__(
        self,
        key: str,
        identity: NodeIdentity,
        *,
        clock: Clock,
        store: StorePort,
        timing: TimingSettings,
        random: Random,
        record: DecisionRecord,
    ):
        self.key = key
        self._identity = identity
        self._clock = clock
        self._store = store
        self._timing = timing
        self._record = record
        self._backoff = Backoff(random)
        self._chart = Interpreter(_chart())
        self._chart.execute()
        self._state = LeaseState.FOLLOWER
        self._is_waiting = False
        self._must_resolve = False
        self._next_request_at = 0.0
        self._version = 0
        self._seen: LeaseRecord | None = None
        self._seen_at: float | None = None
        self._own_epoch = 0
        self._sent_at = 0.0
        # Earliest write whose outcome is unknown; a read-back counts from it.
        self._unresolved_since: float | None = None
        self._renewed_at = 0.0

    @property
    def state(self) -> LeaseState:
        """Current state of the chart."""
        return self._state

    @property
    def epoch(self) -> int:
        """Highest epoch known: the own one while acting, else the last one seen."""
        if self.is_acting():
            return self._own_epoch
        return self._seen.epoch if self._seen else 0

    @property
    def last_seen(self) -> LeaseRecord | None:
        """Record last read from the store."""
        return self._seen

    @property
    def authority_ends_at(self) -> float:
        """Instant at which the authority of the last renewal ends."""
        return self._renewed_at + self._timing.lease_timeout_s - AUTHORITY_MARGIN_S

    @property
    def renewed_at(self) -> float:
        """Instant at which the last successful claim or renewal was sent."""
        return self._renewed_at

    def is_held(self) -> bool:
        """Return whether this node has authority now."""
        return (
            self._state is LeaseState.HOLDING
            and self._clock.now() < self.authority_ends_at
        )

    def is_acting(self) -> bool:
        """Return whether this node held the lease last, as far as it knows.

        True without authority while the store is down: nobody can have replaced it
        for lack of a store, and messages are fenced by the epoch.
        """
        return self._state in (LeaseState.HOLDING, LeaseState.SUSPENDED)

    def compete(self, delay_s: float) -> None:
        """Start to observe the lease after `delay_s`, since its holder is missed."""
        if self._state is LeaseState.FOLLOWER:
            self._seen_at = None
            self._next_request_at = self._clock.now() + delay_s
            self._send("holder_missing")

    def stand_down(self) -> None:
        """Stop observing, since the holder was found."""
        if self._state is LeaseState.OBSERVING:
            self._send("holder_found")

    def note_other_holder(self, holder: str, epoch: int) -> None:
        """Give up at once when a peer proves that there was a later takeover."""
        if self.is_acting() and epoch > self._own_epoch:
            self._supersede(
                LeaseRecord(holder, 0, epoch, ""), "a peer follows a later epoch"
            )

    def release(self) -> None:
        """Give the lease up, so that the next claimant need not wait."""
        if not self.is_acting():
            return
        epoch = self._own_epoch
        was_held = self.is_held()
        self._send("released")
        self._record.note(LeaseReleased(self.key, epoch), cause="planned stop")
        if was_held and not self._is_waiting:
            value = encode_lease_record(LeaseRecord("", 0, epoch, ""))
            self._store.update(
                self.key,
                value,
                expected_version=self._version,
                callback=lambda obj, error: None,
            )

    def on_tick(self) -> None:
        """Send the next request when it is due."""
        now = self._clock.now()
        if self._state is LeaseState.HOLDING and now >= self.authority_ends_at:
            late_s = now - self.authority_ends_at
            self._send("lapsed")
            self._next_request_at = now
            self._record.note(
                LeaseSuspended(self.key, self._own_epoch, round(late_s, 3)),
                cause="no renewal succeeded in time",
            )
        if self._is_waiting or now < self._next_request_at:
            return
        if self._state is LeaseState.OBSERVING:
            self._observe(now)
        elif self._state is not LeaseState.FOLLOWER:
            self._read_back() if self._must_resolve else self._write()

    def _observe(self, now: float) -> None:
        if self._seen_at is None:
            self._get(self._on_observed)
        elif now >= self._seen_at + self._timing.lease_timeout_s:
            self._claim()

    def _on_observed(
        self, obj: StoreObject | None, error: VerbenawickError | None
    ) -> None:
        if self._state is not LeaseState.OBSERVING:
            return
        if error is not None:
            self._retry_later()
            return
        self._adopt(obj)
        if self._is_vacant():
            self._claim()

    def _adopt(self, obj: StoreObject) -> None:
        self._backoff.reset()
        self._version = obj.version
        self._seen = parse_lease_record(obj.value) if obj.version else None
        self._seen_at = self._clock.now()
        self._next_request_at = self._seen_at + self._timing.lease_timeout_s
        holder = self._seen.holder if self._seen else ""
        epoch = self._seen.epoch if self._seen else 0
        self._record.note(
            LeaseObserved(self.key, holder, epoch),
            cause="the holder does not answer",
            node_id=holder,
        )

    def _is_vacant(self) -> bool:
        # An earlier process of this node has ended, since this one has its address.
        if self._version == 0:
            return True
        return self._seen is not None and self._seen.holder in (
            "",
            self._identity.node_id,
        )

    def _claim(self) -> None:
        self._own_epoch = (self._seen.epoch if self._seen else 0) + 1
        self._unresolved_since = None
        self._must_resolve = False
        self._send("expired")
        self._write()

    def _write(self) -> None:
        now = self._clock.now()
        self._sent_at = now
        if self._unresolved_since is None:
            self._unresolved_since = now
        self._is_waiting = True
        self._store.update(
            self.key,
            encode_lease_record(self._own_record()),
            expected_version=self._version,
            callback=self._on_written,
        )

    def _own_record(self) -> LeaseRecord:
        return LeaseRecord(
            self._identity.node_id,
            self._identity.incarnation,
            self._own_epoch,
            self._identity.peer_address,
        )

    def _on_written(
        self, obj: StoreObject | None, error: VerbenawickError | None
    ) -> None:
        self._is_waiting = False
        if self._state in (LeaseState.FOLLOWER, LeaseState.OBSERVING):
            return
        if error is None:
            self._confirm(obj.version, self._sent_at)
        elif isinstance(error, StoreUnavailableError):
            if self._unresolved_since == self._sent_at:
                self._unresolved_since = None
            self._retry_later()
        else:
            # The outcome of this write, or of an earlier one whose answer was lost,
            # decides; only the object itself tells.
            self._must_resolve = True
            self._read_back()

    def _read_back(self) -> None:
        self._get(self._on_read_back)

    def _on_read_back(
        self, obj: StoreObject | None, error: VerbenawickError | None
    ) -> None:
        if self._state in (LeaseState.FOLLOWER, LeaseState.OBSERVING):
            return
        if error is not None:
            self._retry_later()
            return
        found = parse_lease_record(obj.value) if obj.version else None
        if obj.version <= self._version:
            # Not applied yet, or a stale read: the conditional write tells.
            self._must_resolve = False
            self._retry_later()
        elif found == self._own_record():
            self._confirm(obj.version, self._unresolved_since)
        elif self._state is LeaseState.CLAIMING:
            self._send("refused")
            self._adopt(obj)
            self._record.note(
                LeaseRefused(self.key, found.holder if found else "", self.epoch),
                cause="another claimant was first",
                node_id=found.holder if found else "",
            )
        else:
            self._supersede(found, "the lease object names another holder")

    def _confirm(self, version: int, sent_at: float) -> None:
        self._must_resolve = False
        self._unresolved_since = None
        self._backoff.reset()
        self._version = version
        self._seen = self._own_record()
        self._renewed_at = max(self._renewed_at, sent_at)
        now = self._clock.now()
        self._next_request_at = self._renewed_at + self._timing.lease_renewal_s
        if now >= self.authority_ends_at:
            # The answer came too late to give authority; renew at once.
            self._next_request_at = now
            if self._state is LeaseState.SUSPENDED:
                return
        if self._state is not LeaseState.HOLDING:
            cause = f"conditional update gave version {version}"
            self._send("acquired")
            self._record.note(
                LeaseAcquired(self.key, self._own_epoch),
                cause=cause,
                node_id=self._identity.node_id,
            )

    def _supersede(self, found: LeaseRecord | None, cause: str) -> None:
        epoch = self._own_epoch
        self._seen = found
        self._send("superseded")
        holder = found.holder if found else ""
        self._record.note(
            LeaseSuperseded(self.key, epoch, holder), cause=cause, node_id=holder
        )

    def _get(self, callback) -> None:
        self._is_waiting = True

        def finish(obj, error):
            self._is_waiting = False
            callback(obj, error)

        self._store.get(self.key, finish)

    def _retry_later(self) -> None:
        self._next_request_at = self._clock.now() + self._backoff.next_wait_s()

    def _send(self, event: str) -> None:
        self._chart.queue(event).execute()
        (name,) = (n for n in self._chart.configuration if n != "lease")
        self._state = LeaseState(name)


def describe_lease(lease: Lease) -> dict[str, object]:
    """Return the state of a lease for `/status`."""
    seen = asdict(lease.last_seen) if lease.last_seen else None
    return {"key": lease.key, "state": str(lease.state), "last_seen": seen}
