"""Control links of one node, by peer and purpose."""

from collections.abc import Callable
from typing import Protocol

import eventlet

from verbenawick.errors import (
    LinkClosedError,
    LinkOverflowError,
    VerbenawickError,
)
from verbenawick.links._component import LinkPurpose, NodeIdentity
from verbenawick.links._links import CONTROL_CHANNEL, Link, dial_link
from verbenawick.links._messages import Message
from verbenawick.membership._membership_messages import Attach
from verbenawick.settings._settings import NodeSettings

# A frozen peer accepts connections in its kernel but answers no handshake.
DIAL_TIMEOUT_S = 2.0


class LinkEvents(Protocol):
    """Receives what happens on links; called in the control task only."""

    def on_peer_message(self, peer_id: str, message: Message) -> None:
        """Handle a message from a peer, or from the node itself."""
        ...

    def on_attach(self, link: Link, purpose: LinkPurpose) -> LinkPurpose | None:
        """Return the purpose of a link that a peer opened; None refuses it."""
        ...

    def on_dialled(
        self, address: str, peer: NodeIdentity, purpose: LinkPurpose
    ) -> None:
        """Handle a link that this node opened."""
        ...

    def on_dial_failed(self, address: str, purpose: LinkPurpose) -> None:
        """Handle a link that could not be opened."""
        ...

    def on_dialled_closed(self, node_id: str, purpose: LinkPurpose) -> None:
        """Handle the end of a link that this node opened."""
        ...

    def on_peer_link(
        self, node_id: str, purpose: LinkPurpose, *, is_open: bool
    ) -> None:
        """Handle the first or last announced link of a purpose to a peer."""
        ...


class _Entry:
    """One open link, its purpose, and whether the components know of it."""

    __slots__ = ("link", "purpose", "is_announced")

    def __init__(self, link: Link, purpose: LinkPurpose | None):
        self.link = link
        self.purpose = purpose
        self.is_announced = False


class ControlLinks:
    """The `PeerPort` and `Dialler` of a node, and the handler of its control channel.

    Parameters
    ----------
    post : callable
        Puts a call into the control task's mailbox; waits while it is full.
    post_local : callable
        Queues a call from inside the control task; never waits.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: NodeIdentity,
        *,
        events: LinkEvents,
        post: Callable[[Callable[[], None]], None],
        post_local: Callable[[Callable[[], None]], None],
        dial: Callable[..., Link] = dial_link,
    ):
        self._settings = settings
        self._identity = identity
        self._events = events
        self._post = post
        self._post_local = post_local
        self._dial_link = dial
        self._entries_by_node: dict[str, list[_Entry]] = {}
        self._closed_bytes = 0

    def link_count(self) -> int:
        """Return the number of open control links."""
        return sum(len(entries) for entries in self._entries_by_node.values())

    def bytes_on_links(self) -> int:
        """Return the bytes sent and received on all control links so far."""
        return self._closed_bytes + sum(
            entry.link.bytes_sent + entry.link.bytes_received
            for entries in self._entries_by_node.values()
            for entry in entries
        )

    def close_all(self) -> None:
        """Close all links."""
        for entries in tuple(self._entries_by_node.values()):
            for entry in tuple(entries):
                entry.link.close()

    def announce(self, node_id: str, purpose: LinkPurpose) -> None:
        """Let the components know of the open links of this purpose."""
        for entry in tuple(self._entries_by_node.get(node_id, ())):
            if entry.purpose is purpose:
                self._announce(entry)

    # PeerPort

    def send(self, node_id: str, message: Message) -> bool:
        """Queue `message` on a link to `node_id`; see `PeerPort`."""
        if node_id == self._identity.node_id:
            self._post_local(lambda: self._events.on_peer_message(node_id, message))
            return True
        for entry in self._entries_by_node.get(node_id, ()):
            try:
                entry.link.post(message)
                return True
            except (LinkClosedError, LinkOverflowError):
                continue
        return False

    def identity(self, node_id: str) -> NodeIdentity | None:
        """Return who a linked peer is."""
        if node_id == self._identity.node_id:
            return self._identity
        entries = self._entries_by_node.get(node_id)
        return entries[0].link.peer if entries else None

    def peers(self, purpose: LinkPurpose) -> tuple[str, ...]:
        """Return the node ids with an announced link of this purpose."""
        return tuple(
            node_id
            for node_id, entries in self._entries_by_node.items()
            if any(e.purpose is purpose and e.is_announced for e in entries)
        )

    # Dialler

    def dial(self, address: str, purpose: LinkPurpose) -> None:
        """Open a link in a worker green thread; see `Dialler`."""
        eventlet.spawn_n(self._dial, address, purpose)

    def close_link(self, node_id: str, purpose: LinkPurpose) -> None:
        """Close the dialled link of this purpose."""
        for entry in tuple(self._entries_by_node.get(node_id, ())):
            if entry.purpose is purpose and entry.link.is_dialled:
                entry.link.close()
                self._remove(entry)

    def _dial(self, address: str, purpose: LinkPurpose) -> None:
        ip = address.rpartition(":")[0]
        try:
            link = self._dial_link(
                address,
                channel=CONTROL_CHANNEL,
                identity=self._identity,
                handler=self,
                delay_s=self.delay_for(ip),
                timeout_s=DIAL_TIMEOUT_S,
            )
            link.post(Attach(str(purpose)))
        except VerbenawickError:
            self._post(lambda: self._events.on_dial_failed(address, purpose))
            return
        self._post(lambda: self._on_dialled(address, link, purpose))

    def delay_for(self, ip: str) -> float:
        """Return the added one-way delay in seconds for a peer; for tests."""
        for prefix, delay_ms in self._settings.link_delays_ms.items():
            if ip.startswith(prefix):
                return delay_ms / 1000
        return 0.0

    # LinkHandler; called from the links' green threads

    def on_open(self, link: Link) -> None:
        """Ignore the opening: `Attach` or the dialler tells the purpose."""

    def on_message(self, link: Link, message: Message) -> None:
        """Put a message into the mailbox."""
        self._post(lambda: self._receive(link, message))

    def on_close(self, link: Link) -> None:
        """Put the end of a link into the mailbox."""
        self._post(lambda: self._on_closed(link))

    def _on_dialled(self, address: str, link: Link, purpose: LinkPurpose) -> None:
        if not link.is_open or link.peer.node_id == self._identity.node_id:
            link.close()
            self._events.on_dial_failed(address, purpose)
            return
        entry = self._add(link, purpose)
        if purpose is LinkPurpose.NEIGHBOUR:
            self._announce(entry)
        self._events.on_dialled(address, link.peer, purpose)

    def _receive(self, link: Link, message: Message) -> None:
        if isinstance(message, Attach):
            self._on_attach(link, message)
        else:
            self._events.on_peer_message(link.peer.node_id, message)

    def _on_attach(self, link: Link, message: Attach) -> None:
        if not link.is_open:
            return
        try:
            purpose = LinkPurpose(message.purpose)
        except ValueError:
            link.close("unknown purpose")
            return
        accepted = self._events.on_attach(link, purpose)
        entry = self._add(link, accepted)
        if accepted is not None:
            self._announce(entry)

    def _add(self, link: Link, purpose: LinkPurpose | None) -> _Entry:
        entries = self._entries_by_node.setdefault(link.peer.node_id, [])
        for other in tuple(entries):
            if other.link.peer.incarnation != link.peer.incarnation:
                # The peer restarted; its old links are dead.
                other.link.close()
                self._remove(other)
        entry = _Entry(link, purpose)
        entries = self._entries_by_node.setdefault(link.peer.node_id, [])
        # `send` takes the first link; all messages of the tree keep to one link, so
        # that they arrive in order.
        entries.insert(
            0 if purpose is not LinkPurpose.NEIGHBOUR else len(entries), entry
        )
        return entry

    def _announce(self, entry: _Entry) -> None:
        if entry.is_announced:
            return
        node_id = entry.link.peer.node_id
        was_known = node_id in self.peers(entry.purpose)
        entry.is_announced = True
        if not was_known:
            self._events.on_peer_link(node_id, entry.purpose, is_open=True)

    def _on_closed(self, link: Link) -> None:
        for entry in self._entries_by_node.get(link.peer.node_id, ()):
            if entry.link is link:
                self._remove(entry)
                return

    def _remove(self, entry: _Entry) -> None:
        node_id = entry.link.peer.node_id
        entries = self._entries_by_node[node_id]
        entries.remove(entry)
        if not entries:
            del self._entries_by_node[node_id]
        self._closed_bytes += entry.link.bytes_sent + entry.link.bytes_received
        if entry.link.is_dialled:
            self._events.on_dialled_closed(node_id, entry.purpose)
        if entry.is_announced and node_id not in self.peers(entry.purpose):
            self._events.on_peer_link(node_id, entry.purpose, is_open=False)
