"""Nodes of several regions that exchange crashes over messages held by a test."""

from dataclasses import dataclass, field
from random import Random

from verbenawick.links._component import NodeIdentity
from verbenawick.links._messages import Message, decode_message, encode_message
from verbenawick.mesh._crash_exchange import (
    CrashDigest,
    CrashExchange,
    CrashNotice,
    CrashQuery,
)
from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.runtime._clock import ManualClock

CONTACTS = 2


@dataclass(frozen=True)
class Envelope:
    """A message on its way."""

    sender: NodeIdentity
    receiver_id: str
    content: bytes


@dataclass(frozen=True)
class NodeLink:
    """An open link to `peer`."""

    peer: NodeIdentity


class Node:
    """A node process with its guard and its links to other nodes."""

    def __init__(self, network: "CrashNetwork", node_id: str, region: str):
        self.network = network
        network.incarnation += 1
        self.identity = NodeIdentity(
            node_id, network.incarnation, "s", region, region, f"{node_id}:1"
        )
        self.guard = CrashGuard()
        self.timers = []
        self.exchange = CrashExchange(
            self.guard,
            self,
            region=region,
            clock=network.clock,
            random=network.random,
            call_later=lambda delay_s, call: self.timers.append(call),
        )

    @property
    def node_id(self) -> str:
        """Return the id of the node."""
        return self.identity.node_id

    def open_links(self) -> list[NodeLink]:
        """Return the links to the region, and those between contacts."""
        return [NodeLink(node.identity) for node in self.network.peers_of(self)]

    def notify(self, link: NodeLink, message: Message) -> None:
        """Send a message that the test delivers, or does not."""
        self.network.send(self, link.peer, message)

    def notify_peer(self, peer: NodeIdentity, message: Message) -> None:
        """Send a message to a process that still runs."""
        if self.network.by_id[peer.node_id].identity == peer:
            self.network.send(self, peer, message)

    def crash(self, process_id: str, *fingerprints: bytes) -> None:
        """Let the upstream crash while it runs requests."""
        self.exchange.on_crash(process_id, fingerprints)

    def complete(self, fingerprint: bytes) -> None:
        """Let a request complete."""
        self.guard.record_completion(fingerprint, self.network.clock.now())

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether the node refuses a request."""
        return self.guard.is_refused(fingerprint, self.network.clock.now())

    def receive(self, sender: NodeIdentity, message: Message) -> None:
        """Handle a message of another node."""
        handler = {
            CrashNotice: self.exchange.on_notice,
            CrashDigest: self.exchange.on_digest,
            CrashQuery: self.exchange.on_query,
        }[type(message)]
        handler(sender, message)

    def run_timers(self) -> None:
        """Call what the node has delayed."""
        timers, self.timers = self.timers, []
        for call in timers:
            call()


@dataclass
class CrashNetwork:
    """Nodes, and the messages between them.

    Attributes
    ----------
    sent : int
        Number of messages sent so far.
    """

    regions: int = 3
    nodes_per_region: int = 3
    random: Random = field(default_factory=lambda: Random(1))
    clock: ManualClock = field(default_factory=ManualClock)
    node_type: type = Node
    incarnation: int = 0
    sent: int = 0
    envelopes: list[Envelope] = field(default_factory=list)
    by_id: dict[str, Node] = field(default_factory=dict)

    def __post_init__(self):
        for region in range(self.regions):
            for number in range(self.nodes_per_region):
                node_id = f"{region}-{number}"
                self.by_id[node_id] = self.node_type(self, node_id, str(region))

    @property
    def nodes(self) -> list[Node]:
        """Return all nodes."""
        return list(self.by_id.values())

    @property
    def link_count(self) -> int:
        """Return the number of links, each counted at both ends."""
        return sum(len(self.peers_of(node)) for node in self.nodes)

    def peers_of(self, node: Node) -> list[Node]:
        """Return the nodes that a node has links to."""
        return [
            peer
            for peer in self.nodes
            if peer is not node
            and (
                peer.identity.region == node.identity.region
                or (self._is_contact(peer) and self._is_contact(node))
            )
        ]

    def send(self, sender: Node, receiver: NodeIdentity, message: Message) -> None:
        """Put a message on its way."""
        self.sent += 1
        content = encode_message(message)
        self.envelopes.append(Envelope(sender.identity, receiver.node_id, content))

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message, which may be a copy."""
        receiver = self.by_id[envelope.receiver_id]
        receiver.receive(envelope.sender, decode_message(envelope.content))

    def deliver_one(self) -> None:
        """Deliver any one of the messages that are on their way."""
        index = self.random.randrange(len(self.envelopes))
        self.deliver(self.envelopes.pop(index))

    def deliver_all(self, *, most: int) -> None:
        """Deliver all messages in any order; fail if more than `most` are sent."""
        limit = self.sent + most
        while self.envelopes or any(node.timers for node in self.nodes):
            if self.envelopes:
                self.deliver_one()
            else:
                self.random.choice(self.nodes).run_timers()
            if self.sent > limit:
                raise AssertionError(f"more than {most} messages are sent")

    def compare(self) -> None:
        """Let each pair of linked nodes compare what they know, without losses."""
        for node in self.nodes:
            for link in node.open_links():
                # The nodes do not ask again at once.
                self.clock.advance(0.3)
                node.exchange.on_link_open(link)
                self.deliver_all(most=4 * self.link_count)

    def restart(self, node_id: str) -> None:
        """Replace a node process; its links are opened by both ends."""
        region = self.by_id[node_id].identity.region
        self.by_id[node_id] = node = self.node_type(self, node_id, region)
        for peer in self.peers_of(node):
            peer.exchange.on_link_open(NodeLink(node.identity))

    def _is_contact(self, node: Node) -> bool:
        return int(node.node_id.split("-")[1]) < CONTACTS
