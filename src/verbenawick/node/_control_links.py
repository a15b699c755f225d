"""Control links of one node, organised by peer and purpose."""

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

# The kernel of a frozen peer still accepts connections, but the handshake times out.
DIAL_TIMEOUT_S = 2.0


class LinkEvents(Protocol):
    """Callbacks for events of control links, called in the control task only."""

    def on_peer_message(self, peer_id: str, message: Message) -> None:
        """Handle a message from a peer or from this node itself."""
        ...

    def on_attach(self, link: Link, purpose: LinkPurpose) -> LinkPurpose | None:
        """Return the purpose of a link that a peer opened, or None to refuse it."""
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


class _LinkEntry:
    """An open link, its purpose, and whether it was announced to the components."""

    __slots__ = ("link", "purpose", "is_announced")

    def __init__(self, link: Link, purpose: LinkPurpose | None):
        self.link = link
        self.purpose = purpose
        self.is_announced = False


class ControlLinks:
    """Implements `PeerPort` and `Dialler`; also the handler of the control channel.

    Parameters
    ----------
    submit : callable
        Queues a function in the mailbox of the control task; blocks while it is full.
    submit_local : callable
        Queues a function from within the control task; never blocks.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: NodeIdentity,
        *,
        events: LinkEvents,
        submit: Callable[[Callable[[], None]], None],
        submit_local: Callable[[Callable[[], None]], None],
        dial: Callable[..., Link] = dial_link,
    ):
        self._settings = settings
        self._identity = identity
        self._events = events
        self._submit = submit
        self._submit_local = submit_local
        self._dial_link = dial
        self._entries_by_node: dict[str, list[_LinkEntry]] = {}
        self._closed_bytes = 0

    def link_count(self) -> int:
        """Return the number of open control links."""
        return sum(len(entries) for entries in self._entries_by_node.values())

    def bytes_on_links(self) -> int:
        """Return the number of bytes sent and received on all control links so far."""
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
        """Announce the open links of this purpose to the components."""
        for entry in tuple(self._entries_by_node.get(node_id, ())):
            if entry.purpose is purpose:
                self._announce(entry)

    # PeerPort

    def send(self, node_id: str, message: Message) -> bool:
        """Send `message` on a link to `node_id`; see `PeerPort`."""
        if node_id == self._identity.node_id:
            self._submit_local(lambda: self._events.on_peer_message(node_id, message))
            return True
        for entry in self._entries_by_node.get(node_id, ()):
            try:
                entry.link.post(message)
                return True
            except (LinkClosedError, LinkOverflowError):
                continue
        return False

    def identity(self, node_id: str) -> NodeIdentity | None:
        """Return the identity of a linked peer, or None without a link."""
        if node_id == self._identity.node_id:
            return self._identity
        entries = self._entries_by_node.get(node_id)
        return entries[0].link.peer if entries else None

    def peers(self, purpose: LinkPurpose) -> tuple[str, ...]:
        """Return the ids of the peers with an announced link of this purpose."""
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
            self._submit(lambda: self._events.on_dial_failed(address, purpose))
            return
        self._submit(lambda: self._on_dialled(address, link, purpose))

    def delay_for(self, ip: str) -> float:
        """Return the artificial one-way delay in seconds to a peer; for tests."""
        for prefix, delay_ms in self._settings.link_delays_ms.items():
            if ip.startswith(prefix):
                return delay_ms / 1000
        return 0.0

    # LinkHandler, called from the green threads of the links

    def on_open(self, link: Link) -> None:
        """Do nothing: the purpose is only known from `Attach` or from the dialler."""

    def on_message(self, link: Link, message: Message) -> None:
        """Queue a message in the mailbox."""
        self._submit(lambda: self._receive(link, message))

    def on_close(self, link: Link) -> None:
        """Queue the end of a link in the mailbox."""
        self._submit(lambda: self._on_closed(link))

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
            link.close("unknown link purpose")
            return
        accepted = self._events.on_attach(link, purpose)
        entry = self._add(link, accepted)
        if accepted is not None:
            self._announce(entry)

    def _add(self, link: Link, purpose: LinkPurpose | None) -> _LinkEntry:
        entries = self._entries_by_node.setdefault(link.peer.node_id, [])
        for other in tuple(entries):
            if other.link.peer.incarnation != link.peer.incarnation:
                # The peer restarted; its earlier links no longer work.
                other.link.close()
                self._remove(other)
        entry = _LinkEntry(link, purpose)
        entries = self._entries_by_node.setdefault(link.peer.node_id, [])
        # `send` uses the first link. Relay and subscriber links precede neighbour
        # links, so that all messages of the relay tree use one link and stay in order.
        entries.insert(
            0 if purpose is not LinkPurpose.NEIGHBOUR else len(entries), entry
        )
        return entry

    def _announce(self, entry: _LinkEntry) -> None:
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

    def _remove(self, entry: _LinkEntry) -> None:
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
