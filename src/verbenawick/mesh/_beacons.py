"""Beacons of configurations and records, from the relay through the region leaders."""

from collections.abc import Callable
from dataclasses import replace

import eventlet

from verbenawick.errors import AnswerLostError, LinkClosedError
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import next_call_id
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import Link
from verbenawick.links._messages import Message, encode_message
from verbenawick.mesh._configuration_relay import (
    BEACON_INTERVAL_S,
    ConfigurationAnswer,
    ConfigurationBeacon,
    ConfigurationQuery,
    RelayState,
)
from verbenawick.mesh._document_delta import base_version_of, is_delta
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._followers import ConfigurationFollower
from verbenawick.mesh._node_events import ConfigurationForwarded, PeerLost
from verbenawick.mesh._placement import Distance
from verbenawick.mesh._record_follower import RecordFollower
from verbenawick.mesh._record_relay import RecordBeacon
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import emit

# Nodes of the same region answer in milliseconds.
QUERY_TIMEOUT_S = 0.5
# A link that has stopped carrying data has to be replaced within 3 s. Finding its
# silence takes 0.7 s of these.
LINK_CHECK_INTERVAL_S = 1.5


class Beacons:
    """Exchanges beacons and configuration documents with other nodes.

    Parameters
    ----------
    region : str
        Region of this node.
    relay : RelayState
        Relay state of this node, shared with the follower.
    is_stopping : callable
        Whether this node is shutting down; if so, it is not a relay.
    """

    def __init__(
        self,
        *,
        region: str,
        links: CallLinks,
        endpoints: Endpoints,
        clock: Clock,
        relay: RelayState,
        is_stopping: Callable[[], bool],
    ):
        self._region = region
        self._links = links
        self._endpoints = endpoints
        self._clock = clock
        self._relay = relay
        self._is_stopping = is_stopping
        self._follower: ConfigurationFollower | None = None
        self._record_follower: RecordFollower | None = None
        self._forwarded_version = 0
        self._next_link_check_at = float("-inf")

    def set_follower(self, follower: ConfigurationFollower) -> None:
        """Register `follower` for received beacons and for configuration queries."""
        self._follower = follower
        self._links.register_notice(ConfigurationBeacon, self._on_beacon)
        self._links.register_handler(
            ConfigurationQuery,
            lambda peer, query, sent_at: follower.document_for(query.call_id),
        )

    def run(self) -> None:
        """Send beacons until the green thread is killed."""
        while True:
            eventlet.sleep(BEACON_INTERVAL_S)
            self.send_if_relay()
            self._follower.check_confirmation()

    def is_relay(self) -> bool:
        """Return whether this node watches the store on behalf of other nodes."""
        if self._relay.has_nearer_relay(self._clock.now()):
            return False
        return self.is_leader()

    def is_leader(self) -> bool:
        """Return whether this node is the leader of its region."""
        if self._is_stopping():
            return False
        linked = (
            endpoint.node_id
            for endpoint in self._endpoints.all()
            if endpoint.distance in (Distance.DATA_CENTRE, Distance.REGION)
            and self._links.is_connected(endpoint.member)
            and not self._links.is_silent(endpoint.peer_address)
        )
        return self._relay.is_leader(linked)

    def send_if_relay(self, *, with_document: bool = False) -> None:
        """Send a beacon if this node is the relay and in contact with the store."""
        follower = self._follower
        if (
            not follower.has_configuration
            or not self._relay.has_recent_contact(self._clock.now())
            or not self.is_relay()
        ):
            return
        beacon = follower.beacon
        if with_document:
            beacon = replace(beacon, document=follower.encode_update())
        self._send(beacon, [*self._region_links(), *self._links_to_other_leaders()])

    def set_record_follower(self, follower: RecordFollower) -> None:
        """Register `follower` for received changes of the records."""
        self._record_follower = follower
        self._links.register_notice(RecordBeacon, self._on_record_beacon)

    def send_records(self, beacon: RecordBeacon) -> None:
        """Send changes of the records as the relay."""
        self.broadcast(beacon)

    def broadcast(self, message: Message) -> None:
        """Send a message to the region, and through their leaders to the others."""
        for link in (*self._region_links(), *self._links_to_other_leaders()):
            self._links.notify(link, message)

    def forward(self, peer: NodeIdentity, message: Message) -> None:
        """Send a message that came from another region to this one."""
        if peer.region != self._region:
            for link in self._region_links():
                self._links.notify(link, message)

    def query(self, node_id: str) -> ConfigurationAnswer | None:
        """Return the configuration of another node, or None if it is unreachable."""
        endpoint = self._endpoints.get(node_id)
        if endpoint is None:
            return None
        deadline = self._links.now() + QUERY_TIMEOUT_S
        try:
            query = ConfigurationQuery(next_call_id())
            return self._links.request(endpoint.member, query, deadline=deadline)
        except (LinkClosedError, AnswerLostError) as error:
            emit(PeerLost(node_id, f"configuration query failed: {error}"))
            return None

    def _on_beacon(self, peer: NodeIdentity, beacon: ConfigurationBeacon) -> None:
        if peer.region != self._region:
            self._send(beacon, self._region_links())
        self._follower.on_beacon(peer.node_id, beacon)

    def _on_record_beacon(self, peer: NodeIdentity, beacon: RecordBeacon) -> None:
        self.forward(peer, beacon)
        self._record_follower.on_beacon(beacon)

    def _send(self, beacon: ConfigurationBeacon, links: list[Link]) -> None:
        is_check_due = self._clock.now() >= self._next_link_check_at
        if is_check_due:
            self._next_link_check_at = self._clock.now() + LINK_CHECK_INTERVAL_S
        for link in links:
            self._links.notify(link, beacon)
            if is_check_due:
                self._links.check(link)
        has_document = bool(beacon.document and links)
        if not has_document or beacon.version <= self._forwarded_version:
            return
        self._forwarded_version = beacon.version
        emit(
            ConfigurationForwarded(
                beacon.version,
                base_version_of(beacon.document),
                len(links),
                len(links) * len(encode_message(beacon)),
                "delta" if is_delta(beacon.document) else "whole",
            )
        )

    def _region_links(self) -> list[Link]:
        return [
            link
            for link in self._links.dialled_links()
            if link.peer.region == self._region
        ]

    def _links_to_other_leaders(self) -> list[Link]:
        leaders_by_region: dict[str, Link] = {}
        for link in self._links.dialled_links():
            peer = link.peer
            if peer.region == self._region:
                continue
            leader = leaders_by_region.get(peer.region)
            is_responsive = not self._links.is_silent(peer.peer_address)
            if is_responsive and (leader is None or peer.node_id < leader.peer.node_id):
                leaders_by_region[peer.region] = link
        return list(leaders_by_region.values())
