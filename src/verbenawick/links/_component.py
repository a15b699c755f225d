"""Interfaces between the control task and the components with the decision logic.

A component is a plain class without I/O. The control task calls it with messages,
ticks and link changes, never concurrently; the component acts through the ports passed
to its constructor. Tests use in-memory implementations of the ports.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from verbenawick.errors import VerbenawickError
from verbenawick.links._members import Member
from verbenawick.links._messages import Message


class LinkPurpose(StrEnum):
    """Purpose of a link between two nodes, as seen from this node."""

    RELAY = "relay"  # to the data centre relay, or from it to the region relay
    SUBSCRIBER = "subscriber"  # from a node or relay that this node relays to
    NEIGHBOUR = "neighbour"  # to or from another node of the data centre


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity of a node process; each start generates a new random `incarnation`."""

    node_id: str
    incarnation: int
    service_id: str
    data_centre: str
    region: str
    peer_address: str


class PeerPort(Protocol):
    """Sends messages to other nodes; never blocks."""

    def send(self, node_id: str, message: Message) -> bool:
        """Queue `message`; return False if there is no link to `node_id`.

        A message to this node itself is delivered to its own components.
        """
        ...

    def identity(self, node_id: str) -> NodeIdentity | None:
        """Return the identity of a linked peer, or None without a link."""
        ...

    def peers(self, purpose: LinkPurpose) -> tuple[str, ...]:
        """Return the ids of the peers with an open link of this purpose."""
        ...


@dataclass(frozen=True, slots=True)
class StoreObject:
    """An object as the store returned it.

    Attributes
    ----------
    version : int
        Version of the object in the store, 0 if it does not exist.
    age_s : float
        Time since the last update, measured by the clock of the store.
    """

    key: str
    value: bytes
    version: int
    age_s: float = 0.0


StoreCallback = Callable[[StoreObject | None, VerbenawickError | None], None]


class StorePort(Protocol):
    """Asynchronous access to the store; callbacks run in the control task.

    A callback receives the object or an error: `StoreUnavailableError` if the request
    had no effect, `StoreAnswerLostError` if its outcome is unknown,
    `StoreConditionError` if the condition failed.
    """

    def get(self, key: str, callback: StoreCallback) -> None:
        """Read one object; an absent one has version 0."""
        ...

    def update(
        self, key: str, value: bytes, *, expected_version: int, callback: StoreCallback
    ) -> None:
        """Write if the object has version `expected_version`, 0 for an absent one."""
        ...


class RoleView(Protocol):
    """Current relay roles of this node, and the relay that it follows."""

    def is_data_centre_relay(self) -> bool:
        """Return whether this node acts as the relay of its data centre."""
        ...

    def is_region_relay(self) -> bool:
        """Return whether this node acts as the relay of its region."""
        ...

    def relay_id(self) -> str | None:
        """Return the id of the relay that this node follows, None if none is known.

        A node follows its data centre relay, which follows the region relay. The region
        relay returns its own id.
        """
        ...

    def lease_epoch(self) -> int:
        """Return the last known epoch of the data centre's lease."""
        ...


class Component(Protocol):
    """Decision logic that is run by the control task."""

    def on_message(self, peer_id: str, message: Message) -> None:
        """Handle a message from a peer."""
        ...

    def on_tick(self) -> None:
        """Perform periodic work; called about every 0.1 s."""
        ...

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Handle the opening or closing of a link."""
        ...

    def on_object(self, obj: StoreObject) -> None:
        """Handle a watched object that changed; called on the region relay only."""
        ...


class RequestPort(Protocol):
    """Blocking requests to other nodes on the call channel."""

    def request(self, member: Member, message: Message, *, deadline: float) -> Message:
        """Send `message` to `member` and return its answer.

        `call_id` must be the first field of both messages.

        Raises
        ------
        LinkClosedError
            Nothing was sent.
        AnswerLostError
            The message was sent, but the link closed or the deadline passed before the
            answer arrived.
        """
        ...
