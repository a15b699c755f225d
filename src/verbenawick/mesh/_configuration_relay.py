"""Distribution of configurations from a single store watch through relay and leaders.

The leader of a region is the node with the lowest id among its linked nodes. The leader
with the shortest round trip to the store is the relay: it watches the store and sends
each configuration to its region and to the other leaders, which forward it to theirs. A
configuration is thus transferred to each other region once, compressed.

The relay sends periodic beacons while its watch works. A node that receives none for
`BEACON_VALID_S` watches the store itself, so that loss of the relay delays a node by at
most that time. A leader takes over earlier, after `TAKEOVER_AFTER_S`. Two simultaneous
relays only cost additional calls to the store, since a node ignores older versions.

Worst case: a relay that loses the store sends beacons for at most `CONTACT_VALID_S`,
leaders forward them immediately, and nodes rely on them for `BEACON_VALID_S`. With one
read of the store this stays below the 2 s in which a configuration has to be in force.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenawick.links._messages import Message, register_message

BEACON_INTERVAL_S = 0.3
BEACON_VALID_S = 0.65
# A leader becomes the relay after this time without a beacon of a nearer relay. It is
# shorter than `BEACON_VALID_S`, so that the first beacon of the new relay reaches nodes
# before their trust in the lost one expires.
TAKEOVER_AFTER_S = 0.45
# Maximum duration of a watch of the relay; beacons are sent only if a watch returned
# within `CONTACT_VALID_S`.
RELAY_WATCH_WAIT_S = 0.5
CONTACT_VALID_S = 0.75
# The first watch of a relay returns immediately, so that it can send a beacon.
FIRST_WATCH_WAIT_S = 0.01
# Round trips to the store are compared in steps of this size: they differ by a
# millisecond within a region and by ten or more between regions.
DISTANCE_STEP_S = 0.005


@register_message(94)
@dataclass(frozen=True, slots=True)
class ConfigurationBeacon(Message):
    """Periodic message of a relay that watches the store and serves `version`.

    Attributes
    ----------
    relay_id : str
        Node that watches the store: the sender, or the origin of a forwarded beacon.
    distance : int
        Round-trip time of the relay to the store in steps of `DISTANCE_STEP_S`.
    revision : int
        Store revision up to which the sender has processed all changes.
    document : bytes
        Compressed document of a new version; empty if nothing changed.
    """

    relay_id: str
    distance: int
    version: int
    revision: int
    document: bytes


@register_message(95)
@dataclass(frozen=True, slots=True)
class ConfigurationQuery(Message):
    """Request for the document of the version that the receiver serves."""

    call_id: int


@register_message(96)
@dataclass(frozen=True, slots=True)
class ConfigurationAnswer(Message):
    """Compressed document of a version; empty if the sender has none."""

    call_id: int
    version: int
    revision: int
    document: bytes


@register_message(100)
@dataclass(frozen=True, slots=True)
class ConfigurationCheck(Message):
    """Question whether the receiver serves a later version than `version`.

    The answer is a `ConfigurationAnswer`, without a document if it does not.
    """

    call_id: int
    version: int


class RelayState:
    """Tracks contact to the store and beacons of relays on one node."""

    def __init__(self, *, node_id: str):
        self.node_id = node_id
        self._beacon_at = float("-inf")
        self._contact_at = float("-inf")
        self._nearer_beacon_at = float("-inf")
        self.distance = 0
        self.relay_id = ""

    def on_store_answer(self, now: float, *, round_trip_s: float) -> None:
        """Record an answer of the store and the round-trip time to it."""
        self._contact_at = now
        self.distance = int(round_trip_s / DISTANCE_STEP_S)

    def on_first_read(self, now: float) -> None:
        """Let a starting node, which has just read the store, wait for a beacon.

        It is the leader of its region until it has links, so at a common start all
        nodes would watch the store.
        """
        self._beacon_at = self._nearer_beacon_at = now

    def on_beacon(self, beacon: ConfigurationBeacon, now: float) -> None:
        """Record a beacon of a relay."""
        self._beacon_at = now
        self.relay_id = beacon.relay_id
        if (beacon.distance, beacon.relay_id) < (self.distance, self.node_id):
            self._nearer_beacon_at = now

    def has_live_relay(self, now: float) -> bool:
        """Return whether a beacon arrived within `BEACON_VALID_S`."""
        return now - self._beacon_at <= BEACON_VALID_S

    def is_leader(self, linked_ids: Iterable[str]) -> bool:
        """Return whether this node has the lowest id among its linked nodes."""
        return all(self.node_id < node_id for node_id in linked_ids)

    def has_nearer_relay(self, now: float) -> bool:
        """Return whether a nearer relay sent a beacon within `TAKEOVER_AFTER_S`."""
        return now - self._nearer_beacon_at <= TAKEOVER_AFTER_S

    def has_recent_contact(self, now: float) -> bool:
        """Return whether the store answered this node within `CONTACT_VALID_S`."""
        return now - self._contact_at <= CONTACT_VALID_S
