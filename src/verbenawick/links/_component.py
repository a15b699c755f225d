"""Ports between the control task and the components that decide.

A component is a plain class without sockets. The control task calls it, one call at a
time, with messages, ticks and link changes; the component answers through the ports
it was given. Tests replace the ports by in-memory ones.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from verbenawick.errors import VerbenawickError
from verbenawick.links._members import Member
from verbenawick.links._messages import Message


class LinkPurpose(StrEnum):
    """Why a link between two nodes exists, seen from the node at hand."""

    RELAY = "relay"  # to the data centre relay, or from it to the region relay
    SUBSCRIBER = "subscriber"  # from a node or relay below this one
    NEIGHBOUR = "neighbour"  # to or from another node of the data centre


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who a node is. `incarnation` is drawn anew at each process start."""

    node_id: str
    incarnation: int
    service_id: str
    data_centre: str
    region: str
    peer_address: str


class PeerPort(Protocol):
    """Sends messages to other nodes; never blocks."""

    def send(self, node_id: str, message: Message) -> bool:
        """Queue `message`; return False when there is no link to `node_id`.

        A message to the node itself is delivered to its own components.
        """
        ...

    def identity(self, node_id: str) -> NodeIdentity | None:
        """Return who a linked peer is."""
        ...

    def peers(self, purpose: LinkPurpose) -> tuple[str, ...]:
        """Return the node ids with an open link of this purpose."""
        ...


@dataclass(frozen=True, slots=True)
class StoreObject:
    """An object as the store returned it.

    Attributes
    ----------
    version : int
        Version of the object in the store; 0 when it does not exist.
    age_s : float
        Time since the last update by the store's own clock.
    """

    key: str
    value: bytes
    version: int
    age_s: float = 0.0


StoreCallback = Callable[[StoreObject | None, VerbenawickError | None], None]


class StorePort(Protocol):
    """Asynchronous access to the store; callbacks run in the control task.

    A callback gets the object, or the error: `StoreUnavailableError` when nothing was
    sent, `StoreAnswerLostError` when the outcome is unknown, `StoreConditionError`
    when the condition failed.
    """

    def get(self, key: str, callback: StoreCallback) -> None:
        """Read one object; an absent one has version 0."""
        ...

    def update(
        self, key: str, value: bytes, *, expected_version: int, callback: StoreCallback
    ) -> None:
        """Write if the object's version is `expected_version`; 0 means absent."""
        ...


class RoleView(Protocol):
    """Roles that this node and the nodes above it hold now."""

    def is_data_centre_relay(self) -> bool:
        """Return whether this node holds its data centre's lease."""
        ...

    def is_region_relay(self) -> bool:
        """Return whether this node holds its region's lease."""
        ...

    def relay_id(self) -> str | None:
        """Return the node above: the data centre relay, for it the region relay.

        None when no relay is known; the node's own id for the region relay.
        """
        ...

    def lease_epoch(self) -> int:
        """Return the epoch of the data centre's lease as this node knows it."""
        ...


class Component(Protocol):
    """A decision component hosted by the control task."""

    def on_message(self, peer_id: str, message: Message) -> None:
        """Handle a message from a peer."""
        ...

    def on_tick(self) -> None:
        """Do periodic work; called about every 0.1 s."""
        ...

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Handle the opening or closing of a link."""
        ...

    def on_object(self, obj: StoreObject) -> None:
        """Handle a watched object; called on the region relay only."""
        ...


class RequestPort(Protocol):
    """Blocking request and answer between nodes on the call channel."""

    def request(self, member: Member, message: Message, *, deadline: float) -> Message:
        """Return the answer of `member`.

        `message` and its answer have `call_id` as their first field.

        Raises
        ------
        LinkClosedError
            Nothing was sent.
        AnswerLostError
            The message was sent; the link closed or the deadline passed before the
            answer arrived.
        """
        ...
