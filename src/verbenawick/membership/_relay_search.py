"""Search for one relay, and when a node competes for the lease instead."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from verbenawick.links._component import LinkPurpose, NodeIdentity
from verbenawick.membership._membership_messages import RelayReference
from verbenawick.runtime._backoff import Backoff
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, register_event
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.store._lease import Lease

# Replies to heartbeats come every second; two missing ones start the search.
RELAY_SILENCE_S = 2.0
# Time for the neighbours to answer before the lease object is read.
QUERY_PATIENCE_S = 1.0
# A peer that was dialled as relay and does not answer is not used.
CONFIRM_TIMEOUT_S = 2.0
SUSPECT_S = 6.0


@register_event(310)
@dataclass(frozen=True, slots=True)
class RelayFound(Event):
    """The node is linked to its relay."""

    relay: str
    address: str
    epoch: int


@register_event(311, level="WARNING")
@dataclass(frozen=True, slots=True)
class RelayLost(Event):
    """The link to the relay is closed or silent."""

    relay: str
    reason: str


@register_event(312)
@dataclass(frozen=True, slots=True)
class ClaimantStarted(Event):
    """No neighbour knows a relay that is alive; this node competes for the lease."""

    key: str
    delay_s: float


class Dialler(Protocol):
    """Opens and closes control links; results come back as calls of `Topology`."""

    def dial(self, address: str, purpose: LinkPurpose) -> None:
        """Open a link; `on_dialled` or `on_dial_failed` follows."""
        ...

    def hang_up(self, node_id: str, purpose: LinkPurpose) -> None:
        """Close the dialled link of this purpose."""
        ...


class RelaySearch:
    """Search for the relay of one level, and the link to it.

    Parameters
    ----------
    lease : Lease
        Lease of the relay that is searched.
    may_claim : callable
        Whether this node may compete for the lease now.
    rank_delay : callable
        Delay in seconds before this node competes.
    """

    def __init__(
        self,
        lease: Lease,
        identity: NodeIdentity,
        *,
        clock: Clock,
        random: Random,
        dialler: Dialler,
        record: DecisionRecord,
        rank_delay: Callable[[], float],
    ):
        self.lease = lease
        self.known: RelayReference | None = None
        self.linked: RelayReference | None = None
        self._identity = identity
        self._clock = clock
        self._dialler = dialler
        self._record = record
        self._rank_delay = rank_delay
        self._backoff = Backoff(random)
        self._suspects: dict[tuple[str, int], float] = {}
        self._dialled: RelayReference | None = None
        self._dialled_at = 0.0
        self._is_dialled_open = False
        self._next_dial_at = 0.0
        self._heard_at = 0.0
        self._missed_since: float | None = None

    def reference(self) -> RelayReference | None:
        """Return the relay that is alive as far as this node knows."""
        if self.lease.is_acting():
            return RelayReference(
                self._identity.node_id,
                self._identity.peer_address,
                self.lease.epoch,
            )
        return self.linked

    def is_searching(self) -> bool:
        """Return whether the relay is missed now."""
        return self._missed_since is not None

    def heard(self, node_id: str) -> None:
        """Note a message from a peer."""
        if self.linked is not None and node_id == self.linked.node_id:
            self._heard_at = self._clock.now()

    def learn(self, found: RelayReference | None) -> None:
        """Take over a reference from a peer or from the lease object."""
        if found is None:
            return
        self.lease.note_later_epoch(found.node_id, found.epoch)
        if found.node_id == self._identity.node_id:
            return
        if self.known is None or found.epoch > self.known.epoch:
            self.known = found
            self._next_dial_at = self._clock.now()
        if self.linked is not None and found.epoch > self.linked.epoch:
            self.lose("a later relay took over")

    def confirm(self, node_id: str, found: RelayReference | None) -> bool:
        """Handle the answer of the peer dialled as relay; return if it is the relay."""
        candidate = self.linked or (self._dialled if self._is_dialled_open else None)
        if candidate is None or candidate.node_id != node_id:
            return False
        if found is None or found.node_id != node_id:
            if self.linked is not None:
                self.lose("it holds the lease no longer")
            else:
                self._drop_dialled()
            return False
        is_new = self.linked is None
        self.linked = self.known = found
        self._dialled = None
        self._heard_at = self._clock.now()
        self._missed_since = None
        self._backoff.reset()
        self.lease.stop_observing()
        if is_new:
            self._record.note(
                RelayFound(found.node_id, found.address, found.epoch),
                cause="it answered as relay",
                node_id=found.node_id,
            )
        return is_new

    def on_dialled(self, address: str, node_id: str) -> None:
        """Handle an open link that is not confirmed yet."""
        if self._dialled is not None and self._dialled.address == address:
            # The lease object may name a node whose address another node has now.
            self._dialled = RelayReference(node_id, address, self._dialled.epoch)
            self._dialled_at = self._clock.now()
            self._is_dialled_open = True

    def on_dial_failed(self, address: str) -> None:
        """Handle a link that could not be opened."""
        if self._dialled is not None and self._dialled.address == address:
            self._suspect(self._dialled)
            self._dialled = None

    def on_closed(self, node_id: str) -> None:
        """Handle the end of the link to the relay."""
        if self.linked is not None and self.linked.node_id == node_id:
            self.lose("link closed")
        elif self._dialled is not None and self._dialled.node_id == node_id:
            self._suspect(self._dialled)
            self._dialled = None

    def lose(self, reason: str) -> None:
        """Give the link to the relay up."""
        if self.linked is None:
            return
        lost, self.linked = self.linked, None
        self._suspect(lost)
        self._record.note(
            RelayLost(lost.node_id, reason), cause=reason, node_id=lost.node_id
        )
        self._dialler.hang_up(lost.node_id, LinkPurpose.RELAY)

    def stop(self) -> None:
        """End the search, since this node needs no relay of this level."""
        if self.linked is not None:
            self._dialler.hang_up(self.linked.node_id, LinkPurpose.RELAY)
            self.linked = None
        if self._dialled is not None and self._is_dialled_open:
            self._dialler.hang_up(self._dialled.node_id, LinkPurpose.RELAY)
        self._dialled = None
        self._missed_since = None

    def on_tick(self) -> None:
        """Check the relay's silence, dial a known relay, or compete for the lease."""
        now = self._clock.now()
        if self.linked is not None:
            if now - self._heard_at > RELAY_SILENCE_S:
                self.lose("silent")
            return
        if self._missed_since is None:
            self._missed_since = now
        self._learn_from_lease()
        if self._dialled is not None:
            waited_s = now - self._dialled_at
            if self._is_dialled_open and waited_s > CONFIRM_TIMEOUT_S:
                self._drop_dialled()
            return
        if self.known is not None and not self._is_suspect(self.known, now):
            if now >= self._next_dial_at:
                self._next_dial_at = now + self._backoff.next_wait_s()
                self._dialled = self.known
                self._is_dialled_open = False
                self._dialler.dial(self.known.address, LinkPurpose.RELAY)
            return
        if now - self._missed_since >= QUERY_PATIENCE_S:
            self._compete()

    def forget_pause(self, gap_s: float) -> None:
        """Extend the deadlines by a gap in which this process did not run."""
        self._heard_at += gap_s
        self._dialled_at += gap_s
        if self._missed_since is not None:
            self._missed_since += gap_s

    def _learn_from_lease(self) -> None:
        seen = self.lease.last_seen
        if seen is not None and seen.holder and not self.lease.is_acting():
            self.learn(RelayReference(seen.holder, seen.address, seen.epoch))

    def _compete(self) -> None:
        if self.lease.state != "follower":
            return
        delay_s = self._rank_delay()
        self._record.note(
            ClaimantStarted(self.lease.key, round(delay_s, 3)),
            cause="no neighbour knows a relay that is alive",
        )
        self.lease.start_observing(delay_s)

    def _drop_dialled(self) -> None:
        self._suspect(self._dialled)
        self._dialler.hang_up(self._dialled.node_id, LinkPurpose.RELAY)
        self._dialled = None

    def _suspect(self, reference: RelayReference) -> None:
        now = self._clock.now()
        self._suspects = {k: v for k, v in self._suspects.items() if v > now}
        self._suspects[(reference.node_id, reference.epoch)] = now + SUSPECT_S

    def _is_suspect(self, reference: RelayReference, now: float) -> bool:
        return self._suspects.get((reference.node_id, reference.epoch), 0.0) > now
