"""One store watch per region: the relay's part and the followers' part.

The node with the lowest id among the linked nodes of a region watches the store and
passes each configuration on. Its beacons say that its watch is alive; a follower that
misses them watches the store itself, so that a lost relay delays nobody by more than
`BEACON_VALID_S`. Two relays at a time cost calls, nothing else: a node never goes back
to an older version.

Bounds: a relay that is cut from the store sends beacons for at most `CONTACT_VALID_S`
more, and its followers rely on them for `BEACON_VALID_S`; together with one read of the
store that stays below the 2 s in which a configuration has to be in force.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenawick._messages import Message, register_message

BEACON_INTERVAL_S = 0.3
BEACON_VALID_S = 0.65
# A relay's watch returns at least this often; a beacon needs a recent return.
RELAY_WATCH_WAIT_S = 0.5
CONTACT_VALID_S = 0.75


@register_message(94)
@dataclass(frozen=True, slots=True)
class ConfigurationBeacon(Message):
    """The sender watches the store and serves `version`.

    Attributes
    ----------
    revision : int
        Revision of the store up to which the sender knows all changes.
    document : bytes
        The compressed document of a new version; empty when nothing changed.
    """

    version: int
    revision: int
    document: bytes


@register_message(95)
@dataclass(frozen=True, slots=True)
class ConfigurationQuery(Message):
    """Asks a relay for the document of the version that it serves."""

    call_id: int


@register_message(96)
@dataclass(frozen=True, slots=True)
class ConfigurationDocument(Message):
    """The compressed document of a version; empty when the sender has none."""

    call_id: int
    version: int
    revision: int
    document: bytes


class RelayState:
    """Whether this node relays, and whether it can rely on a relay."""

    def __init__(self, *, node_id: str):
        self._node_id = node_id
        self._beacon_at = float("-inf")
        self._contact_at = float("-inf")
        self.relay_id = ""

    def on_contact(self, now: float) -> None:
        """Note that the store answered."""
        self._contact_at = now

    def on_beacon(self, relay_id: str, now: float) -> None:
        """Note a beacon of a node of the same region."""
        self.relay_id = relay_id
        self._beacon_at = now

    def can_follow(self, now: float) -> bool:
        """Return whether a relay was alive a moment ago."""
        return now - self._beacon_at <= BEACON_VALID_S

    def is_relay(self, linked_ids: Iterable[str]) -> bool:
        """Return whether this node has the lowest id of the linked ones."""
        return all(self._node_id < node_id for node_id in linked_ids)

    def may_send_beacon(self, now: float) -> bool:
        """Return whether the own watch was alive a moment ago."""
        return now - self._contact_at <= CONTACT_VALID_S
