"""Configuration and records that a starting node requests from other nodes.

A node that starts while the store is unavailable knows neither routes nor upstreams.
Other nodes know it from its record and open links to it, so it can ask them. What it
gets may be older than the content of the store, as with any node that has lost the
store; the node follows the changes from there once the store is back.
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
from verbenawick.mesh._configuration_relay import ConfigurationQuery
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


class StateExchange:
    """Answers queries for records, and queries other nodes at the start."""

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

    def run(self) -> None:
        """Query nodes that have linked this one until it has its state."""
        eventlet.sleep(FIRST_QUERY_DELAY_S)
        while not self._is_complete:
            self.query_peers()
            eventlet.sleep(QUERY_INTERVAL_S)

    def query_peers(self) -> None:
        """Query a few nodes for what this one lacks."""
        peers = self._links.accepted_peers()
        self._random.shuffle(peers)
        for peer in peers[:MAX_PEERS_PER_QUERY]:
            self._query(peer)

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
