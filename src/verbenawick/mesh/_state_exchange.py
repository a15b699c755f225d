"""Configuration and records that a node requests from other nodes.

A node that starts while the store is unavailable knows neither routes nor upstreams.
Other nodes know it from its record and open links to it, so it can ask them. What it
gets may be older than the content of the store, as with any node that has lost the
store; the node follows the changes from there once the store is back.

The store may also refuse a node while it serves others. A node whose version neither
the store nor a relay confirms asks its neighbours for a later one: each node that the
store serves, or that has got a version this way, passes it on.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import eventlet

from verbenawick.errors import AnswerLostError, LinkClosedError
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import next_call_id
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import Member
from verbenawick.links._messages import Message
from verbenawick.mesh._configuration_relay import (
    ConfigurationAnswer,
    ConfigurationCheck,
    ConfigurationQuery,
)
from verbenawick.mesh._followers import ConfigurationFollower
from verbenawick.mesh._node_events import PeerLost
from verbenawick.mesh._record_follower import RecordFollower
from verbenawick.mesh._record_relay import RecordQuery
from verbenawick.runtime._events import Event, emit, register_event

# The store usually answers a starting node earlier.
FIRST_QUERY_DELAY_S = 0.3
QUERY_INTERVAL_S = 0.3
QUERY_TIMEOUT_S = 0.5
# At a common start no node has an answer yet; more queries would only add load.
MAX_PEERS_PER_QUERY = 2


@register_event(749)
@dataclass(frozen=True, slots=True)
class StateReceived(Event):
    """A starting node received its state from another node instead of the store."""

    peer: str
    version: int
    records: int


@register_event(755)
@dataclass(frozen=True, slots=True)
class VersionReceived(Event):
    """A node that no source kept up to date got a later version from another node."""

    peer: str
    version: int
    earlier_version: int


class StateExchange:
    """Answers queries of other nodes, and queries them for what this node lacks."""

    def __init__(
        self,
        links: CallLinks,
        *,
        configuration: ConfigurationFollower,
        records: RecordFollower,
        random: Random,
    ):
        self._links = links
        self._configuration = configuration
        self._records = records
        self._random = random
        links.register_handler(
            RecordQuery, lambda peer, query, sent_at: records.answer(query.call_id)
        )
        links.register_handler(
            ConfigurationCheck,
            lambda peer, check, sent_at: configuration.answer_check(check),
        )

    def run(self) -> None:
        """Query other nodes at the start, and while no source confirms the version."""
        eventlet.sleep(FIRST_QUERY_DELAY_S)
        while True:
            if not self._is_complete:
                self.query_peers()
            elif self._configuration.is_unconfirmed:
                self.check_peers()
            eventlet.sleep(QUERY_INTERVAL_S)

    def query_peers(self) -> None:
        """Query a few nodes that have linked this one for what it lacks."""
        for peer in self._pick(self._links.accepted_peers()):
            self._query(peer)

    def check_peers(self) -> None:
        """Ask a few linked nodes for a later version."""
        peers = [
            link.peer
            for link in self._links.dialled_links()
            if not self._links.is_silent(link.peer.peer_address)
        ]
        for peer in self._pick(peers):
            version = self._configuration.beacon.version
            check = ConfigurationCheck(next_call_id(), version)
            self._request(peer, check, self._on_check_answer(peer, version))

    def _on_check_answer(
        self, peer: NodeIdentity, version: int
    ) -> Callable[[ConfigurationAnswer], None]:
        def use(answer: ConfigurationAnswer) -> None:
            self._configuration.on_answer(answer)
            received = self._configuration.beacon.version
            if received > version:
                emit(VersionReceived(peer.node_id, received, version))

        return use

    def _pick(self, peers: list[NodeIdentity]) -> list[NodeIdentity]:
        self._random.shuffle(peers)
        return peers[:MAX_PEERS_PER_QUERY]

    @property
    def _is_complete(self) -> bool:
        return self._configuration.has_configuration and self._records.has_synced

    def _query(self, peer: NodeIdentity) -> None:
        if self._is_complete:
            return
        if not self._configuration.has_configuration:
            query = ConfigurationQuery(next_call_id())
            self._request(peer, query, self._configuration.on_answer)
        if not self._records.has_synced:
            query = RecordQuery(next_call_id())
            self._request(peer, query, self._records.on_answer)
        if self._is_complete:
            emit(
                StateReceived(
                    peer.node_id,
                    self._configuration.beacon.version,
                    self._records.record_count,
                )
            )

    def _request(
        self, peer: NodeIdentity, query: Message, on_answer: Callable[[Message], None]
    ) -> None:
        member = Member(
            peer.node_id,
            peer.incarnation,
            peer.service_id,
            peer.data_centre,
            peer.region,
            peer.peer_address,
            0,
        )
        deadline = self._links.now() + QUERY_TIMEOUT_S
        try:
            answer = self._links.request(member, query, deadline=deadline)
        except (LinkClosedError, AnswerLostError) as error:
            emit(PeerLost(peer.node_id, f"state query failed: {error}"))
            return
        on_answer(answer)
