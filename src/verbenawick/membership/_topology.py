"""Control links of a node, and its competition for the relay leases.

Each node has a link to its relay and to a few neighbours in its data centre. A node
without a relay queries its neighbours; it reads the lease object only if none of them
knows a live relay. The code uses no sockets; a `Dialler` opens and closes the links.
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
NEIGHBOUR_REPLACEMENT_INTERVAL_S = 60.0
QUERY_INTERVAL_S = 0.5
# Delay per rank before a node observes the lease object, in addition to a random delay
# of up to 1 s. The spacing limits how many nodes read the object while the first one
# observes it.
RANK_DELAY_S = 2.0
MAX_RANK_DELAY_S = 20.0
# Without a known rank, as in a cold start, the delay is random up to this.
MAX_UNRANKED_DELAY_S = 5.0
MAX_KNOWN_ADDRESSES = 64
MAX_ADDRESSES_PER_ANSWER = 8


class Topology:
    """Control links of a node to its relay and its neighbours.

    Parameters
    ----------
    seeds : tuple of str
        Neighbour addresses from the settings.
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
        search_options = {
            "clock": clock,
            "random": random,
            "dialler": dialler,
            "record": record,
        }
        self._data_centre_search = RelaySearch(
            data_centre_lease, identity, rank_delay=self._rank_delay, **search_options
        )
        self._region_search = RelaySearch(
            region_lease,
            identity,
            rank_delay=lambda: random.uniform(0.0, 1.0),
            **search_options,
        )
        self._addresses: dict[str, None] = dict.fromkeys(seeds)
        self._seeds = seeds
        # Node ids of dialled neighbours by address; None while dialling.
        self._neighbours: dict[str, str | None] = {}
        self._next_neighbour_dial_at = 0.0
        self._neighbour_backoff = Backoff(random)
        self._next_replacement_at = clock.now() + NEIGHBOUR_REPLACEMENT_INTERVAL_S
        self._next_query_at = 0.0
        self._is_stopping = False
        self._last_sent_references: tuple[RelayReference | None, ...] = (None, None)

    # RoleView

    def is_data_centre_relay(self) -> bool:
        """Return whether this node currently acts as its data centre's relay."""
        return self.data_centre_lease.is_acting()

    def is_region_relay(self) -> bool:
        """Return whether this node currently acts as its region's relay."""
        return self.is_data_centre_relay() and self.region_lease.is_acting()

    def relay_id(self) -> str | None:
        """Return the parent in the relay tree; see `RoleView.relay_id`."""
        search = (
            self._region_search
            if self.is_data_centre_relay()
            else self._data_centre_search
        )
        reference = search.reference()
        return reference.node_id if reference else None

    def lease_epoch(self) -> int:
        """Return the last known epoch of the data centre's lease."""
        reference = (
            self._data_centre_search.reference() or self._data_centre_search.known_relay
        )
        return reference.epoch if reference else 0

    def region_epoch(self) -> int:
        """Return the last known epoch of the region's lease."""
        reference = self._region_search.reference() or self._region_search.known_relay
        return reference.epoch if reference else 0

    def predecessor_id(self) -> str | None:
        """Return the last other node known as relay of the data centre."""
        known = self._data_centre_search.known_relay
        return known.node_id if known else None

    def has_authority(self) -> bool:
        """Return whether this node holds a lease that permits writes to the store."""
        return self.data_centre_lease.is_held() or self.region_lease.is_held()

    def confirmed_at(self) -> float:
        """Return the send time of the region lease's last successful renewal."""
        return self.region_lease.renewed_at

    # Methods for the control task

    def on_message(self, peer_id: str, message: Message) -> bool:
        """Handle a message; return whether it confirmed a new link to a relay."""
        self._data_centre_search.record_contact(peer_id)
        self._region_search.record_contact(peer_id)
        if isinstance(message, RelayQuery):
            self._peers.send(peer_id, self.answer())
        elif isinstance(message, RelayAnswer):
            return self._on_answer(peer_id, message)
        return False

    def answer(self) -> RelayAnswer:
        """Return the relays and neighbours known to this node."""
        known = [a for a in self._addresses if a != self._identity.peer_address]
        count = min(MAX_ADDRESSES_PER_ANSWER, len(known))
        return RelayAnswer(
            self._identity.data_centre,
            self._data_centre_search.reference(),
            self._region_search.reference() or self._region_search.known_relay,
            self._random.sample(known, count),
        )

    def on_dialled(
        self, address: str, peer: NodeIdentity, purpose: LinkPurpose
    ) -> None:
        """Handle a link that this node opened."""
        if purpose is LinkPurpose.RELAY:
            self._data_centre_search.on_dialled(address, peer.node_id)
            self._region_search.on_dialled(address, peer.node_id)
            return
        self._neighbour_backoff.reset()
        self._neighbours[address] = peer.node_id
        self._peers.send(peer.node_id, RelayQuery())

    def on_dial_failed(self, address: str, purpose: LinkPurpose) -> None:
        """Handle a failed attempt to open a link."""
        if purpose is LinkPurpose.RELAY:
            self._data_centre_search.on_dial_failed(address)
            self._region_search.on_dial_failed(address)
            return
        self._neighbours.pop(address, None)
        if address not in self._seeds:
            self._addresses.pop(address, None)
        delay_s = self._neighbour_backoff.next_delay_s()
        self._next_neighbour_dial_at = self._clock.now() + delay_s

    def on_closed(self, node_id: str, purpose: LinkPurpose) -> None:
        """Handle the closing of a link that this node opened."""
        if purpose is LinkPurpose.RELAY:
            self._data_centre_search.on_closed(node_id)
            self._region_search.on_closed(node_id)
            return
        for address, neighbour_id in tuple(self._neighbours.items()):
            if neighbour_id == node_id:
                del self._neighbours[address]

    def on_tick(self) -> None:
        """Update the leases, the relay search and the neighbour links."""
        self.data_centre_lease.on_tick()
        self.region_lease.on_tick()
        if self._is_stopping:
            return
        self._maintain_neighbours()
        if self.data_centre_lease.is_acting():
            self._data_centre_search.stop()
            self._run_search(self._region_search)
        else:
            if self.region_lease.is_acting():
                # Only a data centre relay may be the region relay.
                self.region_lease.release()
            self.region_lease.stop_observing()
            self._region_search.stop()
            self._run_search(self._data_centre_search)
        self._notify_subscribers()

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap during which this process did not run."""
        self._data_centre_search.forget_pause(gap_s)
        self._region_search.forget_pause(gap_s)

    def stop(self) -> None:
        """Release the leases and stop competing for them."""
        self._is_stopping = True
        self.region_lease.release()
        self.data_centre_lease.release()
        self.region_lease.stop_observing()
        self.data_centre_lease.stop_observing()

    def _notify_subscribers(self) -> None:
        # Subscribers forward the reference to the region relay and disconnect from a
        # relay that has lost its lease.
        current = (
            self._data_centre_search.reference(),
            self._region_search.reference(),
        )
        if current == self._last_sent_references:
            return
        self._last_sent_references = current
        for node_id in self._peers.peers(LinkPurpose.SUBSCRIBER):
            self._peers.send(node_id, self.answer())

    def _run_search(self, search: RelaySearch) -> None:
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
        self._region_search.learn(answer.region_relay)
        if answer.data_centre != self._identity.data_centre:
            if self.is_data_centre_relay():
                return self._region_search.confirm(peer_id, answer.region_relay)
            for address, neighbour_id in self._neighbours.items():
                if neighbour_id == peer_id:
                    self._addresses.pop(address, None)
                    self._dialler.close_link(peer_id, LinkPurpose.NEIGHBOUR)
                    break
            return False
        for address in answer.neighbours:
            self._add_address(address)
        self._data_centre_search.learn(answer.data_centre_relay)
        if self.is_data_centre_relay():
            return self._region_search.confirm(peer_id, answer.region_relay)
        return self._data_centre_search.confirm(peer_id, answer.data_centre_relay)

    def _add_address(self, address: str) -> None:
        if address != self._identity.peer_address:
            if len(self._addresses) < MAX_KNOWN_ADDRESSES:
                self._addresses[address] = None

    def _maintain_neighbours(self) -> None:
        now = self._clock.now()
        if now >= self._next_replacement_at:
            self._next_replacement_at = now + NEIGHBOUR_REPLACEMENT_INTERVAL_S
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
            self._dialler.close_link(self._random.choice(linked), LinkPurpose.NEIGHBOUR)

    def _rank_delay(self) -> float:
        members = ()
        if self.members is not None:
            members = self.members.members_in(self._identity.data_centre)
        own_id, former_relay = (
            self._identity.node_id,
            self._data_centre_search.known_relay,
        )
        node_ids = {m.node_id for m in members}
        if own_id not in node_ids:
            return self._random.uniform(0.0, MAX_UNRANKED_DELAY_S)
        if former_relay is not None:
            node_ids.discard(former_relay.node_id)
        salt = self.lease_epoch()
        own_digest = xxh64_intdigest(own_id.encode(), salt)
        rank = sum(xxh64_intdigest(n.encode(), salt) < own_digest for n in node_ids)
        return min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S) + self._random.random()
