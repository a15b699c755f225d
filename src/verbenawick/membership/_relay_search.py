"""Discovery of a relay, with competition for its lease when none is found."""

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

# Heartbeat replies arrive every second; the search starts after two missing ones.
RELAY_TIMEOUT_S = 2.0
# Time for the neighbours to answer queries before this node competes for the lease,
# which reads the lease object.
QUERY_TIMEOUT_S = 1.0
# Time for a peer dialled as relay to answer that it is the relay.
CONFIRM_TIMEOUT_S = 2.0
# Time for which a relay is not dialled again after it failed or lost its role.
SUSPECT_DURATION_S = 6.0


@register_event(310)
@dataclass(frozen=True, slots=True)
class RelayFound(Event):
    """The node established the link to its relay."""

    relay: str
    address: str
    epoch: int


@register_event(311, level="WARNING")
@dataclass(frozen=True, slots=True)
class RelayLost(Event):
    """The link to the relay was closed, timed out or was replaced."""

    relay: str
    reason: str


@register_event(312)
@dataclass(frozen=True, slots=True)
class ClaimantStarted(Event):
    """No neighbour knows a live relay; this node competes for the lease."""

    key: str
    delay_s: float


class Dialler(Protocol):
    """Opens and closes control links; reports results by calling `Topology`."""

    def dial(self, address: str, purpose: LinkPurpose) -> None:
        """Open a link; ends with a call of `on_dialled` or `on_dial_failed`."""
        ...

    def close_link(self, node_id: str, purpose: LinkPurpose) -> None:
        """Close the link that was dialled to a node for this purpose."""
        ...


class RelaySearch:
    """Search for the relay of a data centre or a region, and the link to it.

    Parameters
    ----------
    lease : Lease
        Lease held by the relay.
    rank_delay : callable
        Returns the delay in seconds before this node competes for the lease.

    Attributes
    ----------
    known_relay : RelayReference or None
        Latest reference received, whether or not that relay can be reached.
    linked_relay : RelayReference or None
        Relay with an open link that confirmed its role.
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
        self.known_relay: RelayReference | None = None
        self.linked_relay: RelayReference | None = None
        self._identity = identity
        self._clock = clock
        self._dialler = dialler
        self._record = record
        self._rank_delay = rank_delay
        self._backoff = Backoff(random)
        self._suspect_until: dict[tuple[str, int], float] = {}
        self._dialled_relay: RelayReference | None = None
        self._dialled_at = 0.0
        self._is_dialled_link_open = False
        self._next_dial_at = 0.0
        self._last_contact_at = 0.0
        self._searching_since: float | None = None

    def reference(self) -> RelayReference | None:
        """Return the relay that this node considers alive, or None."""
        if self.lease.is_acting():
            return RelayReference(
                self._identity.node_id,
                self._identity.peer_address,
                self.lease.epoch,
            )
        return self.linked_relay

    def is_searching(self) -> bool:
        """Return whether the search for a relay is active."""
        return self._searching_since is not None

    def record_contact(self, node_id: str) -> None:
        """Record that a peer sent a message."""
        if self.linked_relay is not None and node_id == self.linked_relay.node_id:
            self._last_contact_at = self._clock.now()

    def learn(self, reference: RelayReference | None) -> None:
        """Process a reference from a peer or from the lease object."""
        if reference is None:
            return
        self.lease.step_down_if_superseded(reference.node_id, reference.epoch)
        if reference.node_id == self._identity.node_id:
            return
        if self.known_relay is None or reference.epoch > self.known_relay.epoch:
            self.known_relay = reference
            self._next_dial_at = self._clock.now()
        if self.linked_relay is not None and reference.epoch > self.linked_relay.epoch:
            self.drop_relay("replaced by a relay with a higher epoch")

    def confirm(self, node_id: str, reference: RelayReference | None) -> bool:
        """Handle the answer of a peer about its own role.

        Return whether it newly confirmed the dialled peer as relay.
        """
        candidate = self.linked_relay or (
            self._dialled_relay if self._is_dialled_link_open else None
        )
        if candidate is None or candidate.node_id != node_id:
            return False
        if reference is None or reference.node_id != node_id:
            if self.linked_relay is not None:
                self.drop_relay("no longer holds the lease")
            else:
                self._drop_dialled_relay()
            return False
        is_new = self.linked_relay is None
        self.linked_relay = self.known_relay = reference
        self._dialled_relay = None
        self._last_contact_at = self._clock.now()
        self._searching_since = None
        self._backoff.reset()
        self.lease.stop_observing()
        if is_new:
            self._record.add(
                RelayFound(reference.node_id, reference.address, reference.epoch),
                cause="the peer confirmed that it is the relay",
                node_id=reference.node_id,
            )
        return is_new

    def on_dialled(self, address: str, node_id: str) -> None:
        """Handle a newly opened link whose peer is not confirmed as relay yet."""
        if self._dialled_relay is not None and self._dialled_relay.address == address:
            # The node in the lease object may have been replaced by another node at the
            # same address.
            self._dialled_relay = RelayReference(
                node_id, address, self._dialled_relay.epoch
            )
            self._dialled_at = self._clock.now()
            self._is_dialled_link_open = True

    def on_dial_failed(self, address: str) -> None:
        """Handle a failed attempt to open a link."""
        if self._dialled_relay is not None and self._dialled_relay.address == address:
            self._mark_suspect(self._dialled_relay)
            self._dialled_relay = None

    def on_closed(self, node_id: str) -> None:
        """Handle the closing of a link to the relay or a dialled peer."""
        if self.linked_relay is not None and self.linked_relay.node_id == node_id:
            self.drop_relay("link closed")
        elif self._dialled_relay is not None and self._dialled_relay.node_id == node_id:
            self._mark_suspect(self._dialled_relay)
            self._dialled_relay = None

    def drop_relay(self, reason: str) -> None:
        """Close the link to the relay and treat the relay as suspect."""
        if self.linked_relay is None:
            return
        lost, self.linked_relay = self.linked_relay, None
        self._mark_suspect(lost)
        self._record.add(
            RelayLost(lost.node_id, reason), cause=reason, node_id=lost.node_id
        )
        self._dialler.close_link(lost.node_id, LinkPurpose.RELAY)

    def stop(self) -> None:
        """Stop the search and close its links, since this node needs no such relay."""
        if self.linked_relay is not None:
            self._dialler.close_link(self.linked_relay.node_id, LinkPurpose.RELAY)
            self.linked_relay = None
        if self._dialled_relay is not None and self._is_dialled_link_open:
            self._dialler.close_link(self._dialled_relay.node_id, LinkPurpose.RELAY)
        self._dialled_relay = None
        self._searching_since = None

    def on_tick(self) -> None:
        """Check the relay's timeout, dial a known relay, or compete for the lease."""
        now = self._clock.now()
        if self.linked_relay is not None:
            if now - self._last_contact_at > RELAY_TIMEOUT_S:
                self.drop_relay("silent")
            return
        if self._searching_since is None:
            self._searching_since = now
        self._learn_from_lease()
        if self._dialled_relay is not None:
            waited_s = now - self._dialled_at
            if self._is_dialled_link_open and waited_s > CONFIRM_TIMEOUT_S:
                self._drop_dialled_relay()
            return
        if self.known_relay is not None and not self._is_suspect(self.known_relay, now):
            if now >= self._next_dial_at:
                self._next_dial_at = now + self._backoff.next_delay_s()
                self._dialled_relay = self.known_relay
                self._is_dialled_link_open = False
                self._dialler.dial(self.known_relay.address, LinkPurpose.RELAY)
            return
        if now - self._searching_since >= QUERY_TIMEOUT_S:
            self._compete()

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap during which this process did not run."""
        self._last_contact_at += gap_s
        self._dialled_at += gap_s
        if self._searching_since is not None:
            self._searching_since += gap_s

    def _learn_from_lease(self) -> None:
        observed = self.lease.last_seen
        if observed is not None and observed.holder and not self.lease.is_acting():
            self.learn(
                RelayReference(observed.holder, observed.address, observed.epoch)
            )

    def _compete(self) -> None:
        if self.lease.state != "follower":
            return
        delay_s = self._rank_delay()
        self._record.add(
            ClaimantStarted(self.lease.key, round(delay_s, 3)),
            cause="no neighbour knows a live relay",
        )
        self.lease.start_observing(delay_s)

    def _drop_dialled_relay(self) -> None:
        self._mark_suspect(self._dialled_relay)
        self._dialler.close_link(self._dialled_relay.node_id, LinkPurpose.RELAY)
        self._dialled_relay = None

    def _mark_suspect(self, reference: RelayReference) -> None:
        now = self._clock.now()
        self._suspect_until = {k: v for k, v in self._suspect_until.items() if v > now}
        self._suspect_until[(reference.node_id, reference.epoch)] = (
            now + SUSPECT_DURATION_S
        )

    def _is_suspect(self, reference: RelayReference, now: float) -> bool:
        return self._suspect_until.get((reference.node_id, reference.epoch), 0.0) > now
