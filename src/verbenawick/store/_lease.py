"""Leases in the store: claimed and renewed by conditional updates, fenced by epochs.

Clocks of different machines are never compared. The authority of a holder ends by its
own clock, measured from the time at which it sent the last successful renewal. A
claimant waits until the lease object has kept the same version for a full lease timeout
by the claimant's clock. With the authority margin this ensures that the old authority
ends before the new one begins.
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

# Allows for clock drift between two machines and for the time between the authority
# check and the effect of a write.
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
        Number of times the lease was claimed; relays send it as a fencing token in
        their messages.
    address : str
        ``"ip:port"`` on which the holder accepts links from nodes.
    """

    holder: str
    incarnation: int
    epoch: int
    address: str


_record_adapter = TypeAdapter(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Encode the value of a lease object as a CBOR array of the fields in order.

    Field names are omitted to save bytes, since each renewal sends the value, for most
    leases across regions.
    """
    return cbor2.dumps(astuple(record))


def parse_lease_record(value: bytes) -> LeaseRecord | None:
    """Decode the value of a lease object; return None if it is not a valid record."""
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
    """The node acquired a lease or regained its authority."""

    key: str
    epoch: int


@register_event(301, level="WARNING")
@dataclass(frozen=True, slots=True)
class LeaseSuspended(Event):
    """The authority of a held lease ended before a renewal succeeded."""

    key: str
    epoch: int
    late_s: float


@register_event(302, level="WARNING")
@dataclass(frozen=True, slots=True)
class LeaseSuperseded(Event):
    """Another node took over a lease that this node held."""

    key: str
    epoch: int
    holder: str


@register_event(303)
@dataclass(frozen=True, slots=True)
class LeaseObserved(Event):
    """The node read a lease and waits for it to expire."""

    key: str
    holder: str
    epoch: int


@register_event(304)
@dataclass(frozen=True, slots=True)
class LeaseRefused(Event):
    """A claim failed because the lease object had changed."""

    key: str
    holder: str
    epoch: int


@register_event(305)
@dataclass(frozen=True, slots=True)
class LeaseReleased(Event):
    """The node released a lease."""

    key: str
    epoch: int


@cache
def _load_chart() -> Statechart:
    source = files("verbenawick").joinpath("charts/lease.yaml")
    return import_from_yaml(text=source.read_text(encoding="utf-8"))


class Lease:
    """View of one node on one lease; a class without I/O, driven by `on_tick`.

    At most one request to the store is pending at any time.

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
        self._interpreter = Interpreter(_load_chart())
        self._interpreter.execute()
        self._state = LeaseState.FOLLOWER
        self._is_request_pending = False
        self._must_read_back = False
        self._next_request_at = 0.0
        self._version = 0
        self._last_seen: LeaseRecord | None = None
        self._last_seen_at: float | None = None
        self._own_epoch = 0
        self._sent_at = 0.0
        # Send time of the earliest write whose outcome is unknown. A claim or renewal
        # that is confirmed by reading the object back gives authority from this time.
        self._unresolved_since: float | None = None
        self._renewed_at = 0.0

    @property
    def state(self) -> LeaseState:
        """Current state of the state chart."""
        return self._state

    @property
    def epoch(self) -> int:
        """Epoch of this node while it is acting, otherwise the epoch of `last_seen`."""
        if self.is_acting():
            return self._own_epoch
        return self._last_seen.epoch if self._last_seen else 0

    @property
    def last_seen(self) -> LeaseRecord | None:
        """Last known record: read from the store, written, or reported by a peer."""
        return self._last_seen

    @property
    def authority_ends_at(self) -> float:
        """Time at which the authority of the last renewal ends."""
        return self._renewed_at + self._timing.lease_timeout_s - AUTHORITY_MARGIN_S

    @property
    def renewed_at(self) -> float:
        """Time at which the last successful claim or renewal was sent."""
        return self._renewed_at

    def is_held(self) -> bool:
        """Return whether this node holds the lease and its authority has not ended."""
        return (
            self._state is LeaseState.HOLDING
            and self._clock.now() < self.authority_ends_at
        )

    def is_acting(self) -> bool:
        """Return whether this node is the last known holder of the lease.

        This remains true without authority while the store is down: no other node can
        claim the lease without the store, and messages are fenced by the epoch.
        """
        return self._state in (LeaseState.HOLDING, LeaseState.SUSPENDED)

    def start_observing(self, delay_s: float) -> None:
        """Start to observe the lease after `delay_s` because its holder is missing."""
        if self._state is LeaseState.FOLLOWER:
            self._last_seen_at = None
            self._next_request_at = self._clock.now() + delay_s
            self._process_event("holder_missing")

    def stop_observing(self) -> None:
        """Stop observing because the holder was found or this node must not claim."""
        if self._state is LeaseState.OBSERVING:
            self._process_event("holder_found")

    def step_down_if_superseded(self, holder: str, epoch: int) -> None:
        """Stop acting if a peer reports a holder with a later epoch."""
        if self.is_acting() and epoch > self._own_epoch:
            self._supersede(
                LeaseRecord(holder, 0, epoch, ""), "a peer reported a later epoch"
            )

    def release(self) -> None:
        """Release the lease, so that a claimant does not wait for it to expire."""
        if not self.is_acting():
            return
        epoch = self._own_epoch
        was_held = self.is_held()
        self._process_event("released")
        self._record.add(LeaseReleased(self.key, epoch), cause="planned stop")
        if was_held and not self._is_request_pending:
            value = encode_lease_record(LeaseRecord("", 0, epoch, ""))
            self._store.update(
                self.key,
                value,
                expected_version=self._version,
                callback=lambda obj, error: None,
            )

    def on_tick(self) -> None:
        """Update the state and send the next request if it is due."""
        now = self._clock.now()
        if self._state is LeaseState.HOLDING and now >= self.authority_ends_at:
            late_s = now - self.authority_ends_at
            self._process_event("lapsed")
            self._next_request_at = now
            self._record.add(
                LeaseSuspended(self.key, self._own_epoch, round(late_s, 3)),
                cause="no renewal succeeded before the authority ended",
            )
        if self._is_request_pending or now < self._next_request_at:
            return
        if self._state is LeaseState.OBSERVING:
            self._observe(now)
        elif self._state is not LeaseState.FOLLOWER:
            self._read_back() if self._must_read_back else self._write()

    def _observe(self, now: float) -> None:
        if self._last_seen_at is None:
            self._read(self._on_observed)
        elif now >= self._last_seen_at + self._timing.lease_timeout_s:
            self._claim()

    def _on_observed(
        self, obj: StoreObject | None, error: VerbenawickError | None
    ) -> None:
        if self._state is not LeaseState.OBSERVING:
            return
        if error is not None:
            self._schedule_retry()
            return
        self._record_observation(obj)
        if self._is_claimable():
            self._claim()

    def _record_observation(self, obj: StoreObject) -> None:
        self._backoff.reset()
        self._version = obj.version
        self._last_seen = parse_lease_record(obj.value) if obj.version else None
        self._last_seen_at = self._clock.now()
        self._next_request_at = self._last_seen_at + self._timing.lease_timeout_s
        holder = self._last_seen.holder if self._last_seen else ""
        epoch = self._last_seen.epoch if self._last_seen else 0
        self._record.add(
            LeaseObserved(self.key, holder, epoch),
            cause="the holder is missing",
            node_id=holder,
        )

    def _is_claimable(self) -> bool:
        # If this node is the recorded holder, that earlier process has ended, because
        # this process listens on its address.
        if self._version == 0:
            return True
        return self._last_seen is not None and self._last_seen.holder in (
            "",
            self._identity.node_id,
        )

    def _claim(self) -> None:
        self._own_epoch = (self._last_seen.epoch if self._last_seen else 0) + 1
        self._unresolved_since = None
        self._must_read_back = False
        self._process_event("expired")
        self._write()

    def _write(self) -> None:
        now = self._clock.now()
        self._sent_at = now
        if self._unresolved_since is None:
            self._unresolved_since = now
        self._is_request_pending = True
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
        self._is_request_pending = False
        if self._state in (LeaseState.FOLLOWER, LeaseState.OBSERVING):
            return
        if error is None:
            self._confirm(obj.version, self._sent_at)
        elif isinstance(error, StoreUnavailableError):
            if self._unresolved_since == self._sent_at:
                self._unresolved_since = None
            self._schedule_retry()
        else:
            # The object must be read to find out whether this write, or an earlier one
            # whose response was lost, took effect.
            self._must_read_back = True
            self._read_back()

    def _read_back(self) -> None:
        self._read(self._on_read_back)

    def _on_read_back(
        self, obj: StoreObject | None, error: VerbenawickError | None
    ) -> None:
        if self._state in (LeaseState.FOLLOWER, LeaseState.OBSERVING):
            return
        if error is not None:
            self._schedule_retry()
            return
        found = parse_lease_record(obj.value) if obj.version else None
        if obj.version <= self._version:
            # The write has not taken effect yet, or the read was stale. The next
            # conditional write finds out.
            self._must_read_back = False
            self._schedule_retry()
        elif found == self._own_record():
            self._confirm(obj.version, self._unresolved_since)
        elif self._state is LeaseState.CLAIMING:
            self._process_event("refused")
            self._record_observation(obj)
            self._record.add(
                LeaseRefused(self.key, found.holder if found else "", self.epoch),
                cause="another claimant acquired the lease first",
                node_id=found.holder if found else "",
            )
        else:
            self._supersede(found, "the lease object has another holder")

    def _confirm(self, version: int, sent_at: float) -> None:
        self._must_read_back = False
        self._unresolved_since = None
        self._backoff.reset()
        self._version = version
        self._last_seen = self._own_record()
        self._renewed_at = max(self._renewed_at, sent_at)
        now = self._clock.now()
        self._next_request_at = self._renewed_at + self._timing.lease_renewal_s
        if now >= self.authority_ends_at:
            # The response came too late to give authority; renew immediately.
            self._next_request_at = now
            if self._state is LeaseState.SUSPENDED:
                return
        if self._state is not LeaseState.HOLDING:
            cause = f"conditional update succeeded with version {version}"
            self._process_event("acquired")
            self._record.add(
                LeaseAcquired(self.key, self._own_epoch),
                cause=cause,
                node_id=self._identity.node_id,
            )

    def _supersede(self, found: LeaseRecord | None, cause: str) -> None:
        epoch = self._own_epoch
        self._last_seen = found
        self._process_event("superseded")
        holder = found.holder if found else ""
        self._record.add(
            LeaseSuperseded(self.key, epoch, holder), cause=cause, node_id=holder
        )

    def _read(self, callback) -> None:
        self._is_request_pending = True

        def finish(obj, error):
            self._is_request_pending = False
            callback(obj, error)

        self._store.get(self.key, finish)

    def _schedule_retry(self) -> None:
        self._next_request_at = self._clock.now() + self._backoff.next_delay_s()

    def _process_event(self, event: str) -> None:
        self._interpreter.queue(event).execute()
        (name,) = (n for n in self._interpreter.configuration if n != "lease")
        self._state = LeaseState(name)


def describe_lease(lease: Lease) -> dict[str, object]:
    """Return the state of a lease for the `/status` page."""
    seen = asdict(lease.last_seen) if lease.last_seen else None
    return {"key": lease.key, "state": str(lease.state), "last_seen": seen}
