"""One store watch for the mesh: the parts of the relay, of heads and of followers.

The head of a region is the node with the lowest id among its linked nodes. The head
nearest to the store is the relay: it watches the store and passes each configuration on
to its region and to the other heads, which repeat to their regions what they hear. So a
configuration crosses to each other region once, compressed. Beacons say that the watch
is alive; a node that misses them watches the store itself, so that a lost relay delays
nobody by more than `BEACON_VALID_S`. A head that misses them takes over a little
earlier. Two relays at a time cost calls, nothing else: a node never goes back to an
older version.

Bounds: a relay that is cut from the store sends beacons for at most `CONTACT_VALID_S`
more, heads repeat them at once, and nodes rely on them for `BEACON_VALID_S`; together
with one read of the store that stays below the 2 s in which a configuration has to be
in force.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenawick.links._messages import Message, register_message

BEACON_INTERVAL_S = 0.3
BEACON_VALID_S = 0.65
# A head without a beacon of a nearer one relays after this time, early enough for its
# first beacon to reach the nodes that still rely on the lost relay.
TAKEOVER_AFTER_S = 0.45
# A relay's watch returns at least this often; a beacon needs a recent return.
RELAY_WATCH_WAIT_S = 0.5
CONTACT_VALID_S = 0.75
# The first watch of a relay returns at once, to have contact for a beacon.
FIRST_WATCH_WAIT_S = 0.01
# Distances to the store are compared in steps of this size; nodes of one region differ
# by a millisecond, regions by ten or more.
DISTANCE_STEP_S = 0.005


@register_message(94)
@dataclass(frozen=True, slots=True)
class ConfigurationBeacon(Message):
    """The relay watches the store and serves `version`.

    Attributes
    ----------
    relay_id : str
        Node that watches the store; the sender, or the one whom it repeats.
    distance : int
        Round trip of the relay to the store in steps of `DISTANCE_STEP_S`.
    revision : int
        Revision of the store up to which the sender knows all changes.
    document : bytes
        The compressed document of a new version; empty when nothing changed.
    """

    relay_id: str
    distance: int
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
        self.node_id = node_id
        self._beacon_at = float("-inf")
        self._contact_at = float("-inf")
        self._nearer_at = float("-inf")
        self.distance = 0
        self.relay_id = ""

    def on_contact(self, now: float, *, round_trip_s: float) -> None:
        """Note that the store answered, and how far away it is."""
        self._contact_at = now
        self.distance = int(round_trip_s / DISTANCE_STEP_S)

    def on_beacon(self, beacon: ConfigurationBeacon, now: float) -> None:
        """Note a beacon of a relay."""
        self._beacon_at = now
        self.relay_id = beacon.relay_id
        if (beacon.distance, beacon.relay_id) < (self.distance, self.node_id):
            self._nearer_at = now

    def can_follow(self, now: float) -> bool:
        """Return whether a relay was alive a moment ago."""
        return now - self._beacon_at <= BEACON_VALID_S

    def is_head(self, linked_ids: Iterable[str]) -> bool:
        """Return whether this node has the lowest id of its region's linked ones."""
        return all(self.node_id < node_id for node_id in linked_ids)

    def hears_nearer_relay(self, now: float) -> bool:
        """Return whether a relay nearer to the store was alive a moment ago."""
        return now - self._nearer_at <= TAKEOVER_AFTER_S

    def may_send_beacon(self, now: float) -> bool:
        """Return whether the own watch was alive a moment ago."""
        return now - self._contact_at <= CONTACT_VALID_S
