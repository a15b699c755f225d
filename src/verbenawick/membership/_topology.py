"""Which control links a node keeps, and when it competes for a lease.

A plain class without sockets. Each node keeps a link to its relay and to a few
neighbours of its data centre. A node that misses its relay asks its neighbours; it
reads the lease object only when none of them knows a relay that is alive.
"""

from random import Random

from xxhash import xxh64_intdigest

from verbenawick.links._component import LinkPurpose, NodeIdentity, PeerPort
from verbenawick.links._members import MemberView
from verbenawick.links._messages import Message
from verbenawick.membership._membership_messages import (
    RelayAnswer,
    RelayQuery,
    RelayReference,
)
from verbenawick.membership._relay_search import Dialler, RelaySearch
from verbenawick.runtime._backoff import Backoff
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.store._lease import Lease

NEIGHBOUR_LINKS = 3
NEIGHBOUR_REPLACEMENT_S = 60.0
QUERY_INTERVAL_S = 0.5
# Rank 0 observes at once. Ranks are spaced so that few nodes read the lease object
# while the first one observes it.
RANK_DELAY_S = 2.0
MAX_RANK_DELAY_S = 20.0
# With no known members (cold start) claimants spread over this time.
UNRANKED_DELAY_S = 5.0
MAX_KNOWN_ADDRESSES = 64
ADDRESSES_PER_ANSWER = 8


class Topology:
    """Links of one node: relay, region relay, neighbours.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of neighbours from the settings.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        *,
        seeds: tuple[str, ...],
        clock: Clock,
        random: Random,
        dialler: Dialler,
        peers: PeerPort,
        data_centre_lease: Lease,
        region_lease: Lease,
        record: DecisionRecord,
    ):
        self._identity = identity
        self._clock = clock
        self._random = random
        self._dialler = dialler
        self._peers = peers
        self.data_centre_lease = data_centre_lease
        self.region_lease = region_lease
        self.members: MemberView | None = None
        shared = {
            "clock": clock,
            "random": random,
            "dialler": dialler,
            "record": record,
        }
        self._data_centre = RelaySearch(
            data_centre_lease, identity, rank_delay=self._rank_delay, **shared
        )
        self._region = RelaySearch(
            region_lease,
            identity,
            rank_delay=lambda: random.uniform(0.0, 1.0),
            **shared,
        )
        self._addresses: dict[str, None] = dict.fromkeys(seeds)
        self._seeds = seeds
        # Neighbours that this node dialled, by address; None while dialling.
        self._neighbours: dict[str, str | None] = {}
        self._next_neighbour_dial_at = 0.0
        self._neighbour_backoff = Backoff(random)
        self._next_replacement_at = clock.now() + NEIGHBOUR_REPLACEMENT_S
        self._next_query_at = 0.0
        self._is_stopping = False
        self._last_answered: tuple[RelayReference | None, ...] = (None, None)

    # RoleView

    def is_data_centre_relay(self) -> bool:
        """Return whether this node acts as its data centre's relay."""
        return self.data_centre_lease.is_acting()

    def is_region_relay(self) -> bool:
        """Return whether this node acts as its region's relay."""
        return self.is_data_centre_relay() and self.region_lease.is_acting()

    def relay_id(self) -> str | None:
        """Return the node above; see `RoleView`."""
        search = self._region if self.is_data_centre_relay() else self._data_centre
        reference = search.reference()
        return reference.node_id if reference else None

    def lease_epoch(self) -> int:
        """Return the epoch of the data centre's lease as this node knows it."""
        reference = self._data_centre.reference() or self._data_centre.known
        return reference.epoch if reference else 0

    def region_epoch(self) -> int:
        """Return the epoch of the region's lease as this node knows it."""
        reference = self._region.reference() or self._region.known
        return reference.epoch if reference else 0

    def predecessor_id(self) -> str | None:
        """Return the relay of the data centre that this node knew last."""
        known = self._data_centre.known
        return known.node_id if known else None

    def has_authority(self) -> bool:
        """Return whether a lease of this node allows writes to the store now."""
        return self.data_centre_lease.is_held() or self.region_lease.is_held()

    def confirmed_at(self) -> float:
        """Return the send time of the region lease's last renewal by this node."""
        return self.region_lease.renewed_at

    # Calls of the control task

    def on_message(self, peer_id: str, message: Message) -> bool:
        """Handle a message; return whether the link to a relay was confirmed by it."""
        self._data_centre.heard(peer_id)
        self._region.heard(peer_id)
        if isinstance(message, RelayQuery):
            self._peers.send(peer_id, self.answer())
        elif isinstance(message, RelayAnswer):
            return self._on_answer(peer_id, message)
        return False

    def answer(self) -> RelayAnswer:
        """Return what this node tells others about relays."""
        known = [a for a in self._addresses if a != self._identity.peer_address]
        count = min(ADDRESSES_PER_ANSWER, len(known))
        return RelayAnswer(
            self._identity.data_centre,
            self._data_centre.reference(),
            self._region.reference() or self._region.known,
            self._random.sample(known, count),
        )

    def on_dialled(
        self, address: str, peer: NodeIdentity, purpose: LinkPurpose
    ) -> None:
        """Handle a link that this node opened."""
        if purpose is LinkPurpose.RELAY:
            self._data_centre.on_dialled(address, peer.node_id)
            self._region.on_dialled(address, peer.node_id)
            return
        self._neighbour_backoff.reset()
        self._neighbours[address] = peer.node_id
        self._peers.send(peer.node_id, RelayQuery())

    def on_dial_failed(self, address: str, purpose: LinkPurpose) -> None:
        """Handle a link that could not be opened."""
        if purpose is LinkPurpose.RELAY:
            self._data_centre.on_dial_failed(address)
            self._region.on_dial_failed(address)
            return
        self._neighbours.pop(address, None)
        if address not in self._seeds:
            self._addresses.pop(address, None)
        wait_s = self._neighbour_backoff.next_wait_s()
        self._next_neighbour_dial_at = self._clock.now() + wait_s

    def on_closed(self, node_id: str, purpose: LinkPurpose) -> None:
        """Handle the end of a link that this node opened."""
        if purpose is LinkPurpose.RELAY:
            self._data_centre.on_closed(node_id)
            self._region.on_closed(node_id)
            return
        for address, neighbour_id in tuple(self._neighbours.items()):
            if neighbour_id == node_id:
                del self._neighbours[address]

    def on_tick(self) -> None:
        """Drive leases, searches and neighbours."""
        self.data_centre_lease.on_tick()
        self.region_lease.on_tick()
        if self._is_stopping:
            return
        self._keep_neighbours()
        if self.data_centre_lease.is_acting():
            self._data_centre.stop()
            self._drive(self._region)
        else:
            if self.region_lease.is_acting():
                # Only a data centre relay may be region relay.
                self.region_lease.release()
            self.region_lease.stop_observing()
            self._region.stop()
            self._drive(self._data_centre)
        self._tell_subscribers()

    def forget_pause(self, gap_s: float) -> None:
        """Extend the deadlines by a gap in which this process did not run."""
        self._data_centre.forget_pause(gap_s)
        self._region.forget_pause(gap_s)

    def stop(self) -> None:
        """Give the leases up and compete for none from now on."""
        self._is_stopping = True
        self.region_lease.release()
        self.data_centre_lease.release()
        self.region_lease.stop_observing()
        self.data_centre_lease.stop_observing()

    def _tell_subscribers(self) -> None:
        # Subscribers pass on who the region relay is, and leave a relay that has lost
        # its lease.
        current = (self._data_centre.reference(), self._region.reference())
        if current == self._last_answered:
            return
        self._last_answered = current
        for node_id in self._peers.peers(LinkPurpose.SUBSCRIBER):
            self._peers.send(node_id, self.answer())

    def _drive(self, search: RelaySearch) -> None:
        if search.lease.is_acting():
            search.stop()
            return
        search.on_tick()
        now = self._clock.now()
        if search.is_searching() and now >= self._next_query_at:
            self._next_query_at = now + QUERY_INTERVAL_S
            for node_id in self._peers.peers(LinkPurpose.NEIGHBOUR):
                self._peers.send(node_id, RelayQuery())

    def _on_answer(self, peer_id: str, answer: RelayAnswer) -> bool:
        self._region.learn(answer.region_relay)
        if answer.data_centre != self._identity.data_centre:
            if self.is_data_centre_relay():
                return self._region.confirm(peer_id, answer.region_relay)
            for address, neighbour_id in self._neighbours.items():
                if neighbour_id == peer_id:
                    self._addresses.pop(address, None)
                    self._dialler.hang_up(peer_id, LinkPurpose.NEIGHBOUR)
                    break
            return False
        for address in answer.neighbours:
            self._remember(address)
        self._data_centre.learn(answer.data_centre_relay)
        if self.is_data_centre_relay():
            return self._region.confirm(peer_id, answer.region_relay)
        return self._data_centre.confirm(peer_id, answer.data_centre_relay)

    def _remember(self, address: str) -> None:
        if address != self._identity.peer_address:
            if len(self._addresses) < MAX_KNOWN_ADDRESSES:
                self._addresses[address] = None

    def _keep_neighbours(self) -> None:
        now = self._clock.now()
        if now >= self._next_replacement_at:
            self._next_replacement_at = now + NEIGHBOUR_REPLACEMENT_S
            self._replace_neighbour()
        if len(self._neighbours) >= NEIGHBOUR_LINKS:
            return
        if now < self._next_neighbour_dial_at:
            return
        candidates = [a for a in self._candidates() if a not in self._neighbours]
        if not candidates:
            return
        address = self._random.choice(candidates)
        self._neighbours[address] = None
        self._dialler.dial(address, LinkPurpose.NEIGHBOUR)

    def _candidates(self) -> list[str]:
        own = self._identity.peer_address
        if self.members is not None:
            members = self.members.members_in(self._identity.data_centre)
            addresses = [m.peer_address for m in members if m.peer_address != own]
            if len(addresses) >= NEIGHBOUR_LINKS:
                return addresses
        return [a for a in self._addresses if a != own]

    def _replace_neighbour(self) -> None:
        linked = [n for n in self._neighbours.values() if n is not None]
        others = [a for a in self._candidates() if a not in self._neighbours]
        if len(linked) >= NEIGHBOUR_LINKS and others:
            self._dialler.hang_up(self._random.choice(linked), LinkPurpose.NEIGHBOUR)

    def _rank_delay(self) -> float:
        members = ()
        if self.members is not None:
            members = self.members.members_in(self._identity.data_centre)
        own_id, missed = self._identity.node_id, self._data_centre.known
        node_ids = {m.node_id for m in members}
        if own_id not in node_ids:
            return self._random.uniform(0.0, UNRANKED_DELAY_S)
        if missed is not None:
            node_ids.discard(missed.node_id)
        salt = self.lease_epoch()
        own_digest = xxh64_intdigest(own_id.encode(), salt)
        rank = sum(xxh64_intdigest(n.encode(), salt) < own_digest for n in node_ids)
        return min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S) + self._random.random()
