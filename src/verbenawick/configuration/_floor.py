"""Floor of a restarted node: the lowest version that it may put in force.

Nodes keep no state on disk. A restarted node obtains the highest version that it may
have served before from a quorum of the other nodes in its data centre, or from a
confirmed read of the store's head. See section 3.4 of docs/design.md.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from verbenawick.configuration._config_messages import (
    FloorQuery,
    FloorRequester,
    FloorResponse,
    HeadConfirmed,
    HeadQuery,
    ProcessStart,
)
from verbenawick.configuration._config_state import VersionRef
from verbenawick.errors import VerbenawickError
from verbenawick.links._component import (
    LinkPurpose,
    NodeIdentity,
    PeerPort,
    RoleView,
    StoreObject,
    StorePort,
)
from verbenawick.links._members import MemberView
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

HEAD_KEY = "config/head"

QUERY_INTERVAL_S = 0.5
# Neighbours are queried first, since confirming the head takes store calls.
HEAD_QUERY_DELAY_S = 1.0
HEAD_QUERY_INTERVAL_S = 1.0
# Range of the random delay before a confirmation is retried. The jitter prevents the
# conditional updates of different regions from conflicting repeatedly.
CONFIRM_RETRY_DELAY_S = (0.05, 0.5)
ABSENT_HEAD_RETRY_S = 5.0
# Upper bound of a store attempt; the store client always returns earlier, see _store.
STORE_ATTEMPT_TIMEOUT_S = 10.0
# After a longer gap between ticks, the node may have been dropped from the members,
# which happens after TimingSettings.member_timeout_s (4 s).
MAX_TICK_GAP_S = 2.0
MAX_KNOWN_STARTS = 1024
MAX_PENDING_QUERIES = 4096


@register_event(354)
@dataclass(frozen=True, slots=True)
class FloorConfirmed(Event):
    """The floor of this node was determined."""

    version: int
    source: str
    answers: int


@register_event(355)
@dataclass(frozen=True, slots=True)
class HeadConfirmedByStore(Event):
    """The store's head was confirmed by a conditional update with unchanged content."""

    version: int
    queries: int


@register_event(356, level="WARNING")
@dataclass(frozen=True, slots=True)
class HeadConfirmationFailed(Event):
    """Confirming the store's head failed; it will be retried."""

    code: str
    reason: str


def required_responses(member_count: int) -> int:
    """Return how many other members have to respond to a restarted node.

    A version in force was held by a majority of the `member_count` members, hence by
    at least `member_count // 2` members other than the restarted node. Any half of the
    members, rounded up, that excludes the restarted node contains one of these.
    """
    return (member_count + 1) // 2


class FloorKeeper:
    """Determines this node's floor and responds to floor queries of other nodes.

    After a pause, the node has to determine its floor again before it responds to
    others: it may have been dropped from the members during the pause, and a version
    may have been committed without it.

    Parameters
    ----------
    get_held_ref : callable
        Returns the highest version held by this node.
    on_floor_found : callable
        Called with the floor whenever it has been determined.
    """

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        clock: Clock,
        peers: PeerPort,
        members: MemberView,
        get_held_ref: Callable[[], VersionRef],
        on_floor_found: Callable[[VersionRef], None],
    ):
        self._identity = identity
        self._own_start = ProcessStart(identity.node_id, identity.incarnation)
        self._clock = clock
        self._peers = peers
        self._members = members
        self._get_held_ref = get_held_ref
        self._on_floor_found = on_floor_found
        self._floor_ref: VersionRef | None = None
        self.attempt = 1
        self._started_at = self._last_tick_at = clock.now()
        self._next_query_at = clock.now()
        self._responses_by_node_id: dict[str, FloorResponse] = {}
        self._starts_by_node_id: OrderedDict[str, ProcessStart] = OrderedDict()
        self._requesters_to_forward: set[FloorRequester] = set()

    @property
    def restarts(self) -> tuple[ProcessStart, ...]:
        """Process starts whose floor query this node responded to."""
        return tuple(self._starts_by_node_id.values())

    @property
    def is_confirmed(self) -> bool:
        """Whether the floor is known and this node holds at least that version."""
        floor_ref = self._floor_ref
        return (
            floor_ref is not None and self._get_held_ref().version >= floor_ref.version
        )

    def on_tick(self) -> None:
        """Send queries until the floor is known, and forward queries of other nodes."""
        self._detect_pause()
        now = self._last_tick_at = self._clock.now()
        if self._requesters_to_forward:
            self._broadcast(
                FloorQuery(tuple(self._requesters_to_forward)), LinkPurpose.SUBSCRIBER
            )
            self._requesters_to_forward.clear()
        if self._floor_ref is not None or now < self._next_query_at:
            return
        self._next_query_at = now + QUERY_INTERVAL_S
        query = FloorQuery((FloorRequester(self._own_start, self.attempt),))
        for purpose in LinkPurpose:
            self._broadcast(query, purpose)

    def on_query(self, peer_id: str, query: FloorQuery) -> None:
        """Respond to a query and, on a relay, queue it for the other nodes."""
        self._detect_pause()
        if not self._is_in_data_centre(peer_id):
            return
        for requester in query.requesters:
            if requester.start.node_id == self._identity.node_id:
                continue
            is_direct = peer_id == requester.start.node_id
            if is_direct and len(self._requesters_to_forward) < MAX_PENDING_QUERIES:
                self._requesters_to_forward.add(requester)
        # Unconfirmed nodes do not respond: in a cold start all nodes send queries, and
        # the number of useless responses would be quadratic in the member count.
        if self.is_confirmed:
            self._respond_to_all(peer_id, query.requesters)

    def _respond_to_all(
        self, peer_id: str, requesters: tuple[FloorRequester, ...]
    ) -> None:
        held, member_count = self._get_held_ref(), self.member_count()
        for requester in requesters:
            if requester.start.node_id == self._identity.node_id:
                continue
            self._record_start(requester.start)
            response = FloorResponse(
                requester, self._own_start, held.version, held.digest, member_count
            )
            self._peers.send(peer_id, response)

    def on_response(self, peer_id: str, response: FloorResponse) -> None:
        """Count a response to this node; forward a response to another node."""
        self._detect_pause()
        if not self._is_in_data_centre(peer_id):
            return
        if response.requester.start.node_id != self._identity.node_id:
            self._peers.send(response.requester.start.node_id, response)
            return
        is_current = response.requester == FloorRequester(self._own_start, self.attempt)
        if self._floor_ref is None and is_current:
            self._responses_by_node_id[response.responder.node_id] = response
            self._evaluate_responses()

    def on_peer_start(self, node_id: str, incarnation: int) -> None:
        """Discard the response of a node that has restarted since."""
        response = self._responses_by_node_id.get(node_id)
        if response is not None and response.responder.incarnation != incarnation:
            del self._responses_by_node_id[node_id]

    def needs_head_query(self) -> bool:
        """Return whether the floor is still unknown after `HEAD_QUERY_DELAY_S`."""
        waited_s = self._clock.now() - self._started_at
        return self._floor_ref is None and waited_s >= HEAD_QUERY_DELAY_S

    def on_head_confirmed(self, ref: VersionRef) -> None:
        """Use the confirmed head as the floor, unless it is already known."""
        self._set_floor(ref, "head", 0)

    def member_count(self) -> int:
        """Return the number of known data centre members, including this node."""
        members = self._members.members_in(self._identity.data_centre)
        return len({member.node_id for member in members} | {self._identity.node_id})

    def _evaluate_responses(self) -> None:
        responses = list(self._responses_by_node_id.values())
        counts = [response.member_count for response in responses]
        required = required_responses(max([*counts, self.member_count()]))
        # A node without any response has to rely on the store's head.
        if len(responses) < max(1, required):
            return
        highest = max(responses, key=lambda response: response.version)
        ref = VersionRef(highest.version, highest.digest)
        self._set_floor(ref, "neighbours", len(responses))

    def _set_floor(self, ref: VersionRef, source: str, response_count: int) -> None:
        if self._floor_ref is not None:
            return
        self._floor_ref = ref
        self._responses_by_node_id.clear()
        emit(FloorConfirmed(ref.version, source, response_count))
        self._on_floor_found(ref)

    def _detect_pause(self) -> None:
        gap_s = self._clock.now() - self._last_tick_at
        if gap_s <= MAX_TICK_GAP_S:
            return
        self._last_tick_at = self._started_at = self._clock.now()
        self._floor_ref = None
        self.attempt += 1
        self._responses_by_node_id.clear()

    def _record_start(self, start: ProcessStart) -> None:
        self._starts_by_node_id[start.node_id] = start
        self._starts_by_node_id.move_to_end(start.node_id)
        while len(self._starts_by_node_id) > MAX_KNOWN_STARTS:
            self._starts_by_node_id.popitem(last=False)

    def _broadcast(self, query: FloorQuery, purpose: LinkPurpose) -> None:
        for peer_id in self._peers.peers(purpose):
            requesters = tuple(
                r for r in query.requesters if r.start.node_id != peer_id
            )
            if requesters and self._is_in_data_centre(peer_id):
                self._peers.send(peer_id, FloorQuery(requesters))

    def _is_in_data_centre(self, peer_id: str) -> bool:
        peer = self._peers.identity(peer_id)
        return peer is not None and peer.data_centre == self._identity.data_centre


@dataclass(frozen=True, slots=True)
class _ForwardedQuery:
    query: HeadQuery
    sequence: int


class HeadConfirmer:
    """Confirms the store's head for this node and the nodes that it relays for.

    The region relay queries the store, every other node its relay. A query is answered
    only by a confirmation that began after the query arrived: the querying node may
    have served a version that was accepted after an earlier confirmation.
    """

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        clock: Clock,
        peers: PeerPort,
        roles: RoleView,
        store: StorePort,
        random: Random,
        on_confirmed: Callable[[VersionRef], None],
        parse_head: Callable[[bytes], VersionRef],
    ):
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._roles = roles
        self._store = store
        self._random = random
        self._on_confirmed = on_confirmed
        self._parse_head = parse_head
        self._pending_by_node_id: dict[str, HeadQuery] = {}
        self._in_flight_by_node_id: dict[str, _ForwardedQuery] = {}
        self._sequence = 0
        self._next_attempt_at = clock.now()
        self._is_head_absent = False

    def on_query(self, peer_id: str, query: HeadQuery) -> None:
        """Queue the query of another node.

        If the queue is full, the query is dropped; the node will send it again.
        """
        if len(self._pending_by_node_id) < MAX_PENDING_QUERIES:
            self._pending_by_node_id[peer_id] = query

    def request_confirmation(self, attempt: int) -> None:
        """Queue a query of this node, replacing any pending one."""
        self._pending_by_node_id[self._identity.node_id] = HeadQuery(attempt, 0)

    def on_head_observed(self) -> None:
        """Retry immediately if the head was absent in the last attempt."""
        if self._is_head_absent:
            self._is_head_absent = False
            self._next_attempt_at = self._clock.now()

    def on_tick(self) -> None:
        """Start a confirmation if queries are waiting and the next attempt is due."""
        if not self._pending_by_node_id and not self._in_flight_by_node_id:
            return
        if self._clock.now() < self._next_attempt_at:
            return
        self._sequence += 1
        self._start_pending()
        if self._roles.is_region_relay():
            self._next_attempt_at = self._clock.now() + STORE_ATTEMPT_TIMEOUT_S
            self._confirm_with_store(self._sequence)
            return
        self._next_attempt_at = self._clock.now() + HEAD_QUERY_INTERVAL_S
        relay_id = self._roles.relay_id()
        if relay_id is not None and relay_id != self._identity.node_id:
            query = HeadQuery(self._identity.incarnation, self._sequence)
            self._peers.send(relay_id, query)

    def on_response(self, message: HeadConfirmed) -> None:
        """Handle a confirmation from the relay; ignore those for other processes."""
        if message.incarnation == self._identity.incarnation:
            ref = VersionRef(message.version, message.digest)
            self._complete(message.sequence, ref)

    def _start_pending(self) -> None:
        for peer_id, query in tuple(self._pending_by_node_id.items()):
            forwarded = self._in_flight_by_node_id.get(peer_id)
            if forwarded and forwarded.query.incarnation == query.incarnation:
                continue
            del self._pending_by_node_id[peer_id]
            self._in_flight_by_node_id[peer_id] = _ForwardedQuery(query, self._sequence)

    def _confirm_with_store(self, sequence: int) -> None:
        def on_read(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            if error is not None:
                self._schedule_retry(error)
            elif obj.version == 0:
                self._is_head_absent = True
                self._next_attempt_at = self._clock.now() + ABSENT_HEAD_RETRY_S
            else:
                self._store.update(
                    HEAD_KEY,
                    obj.value,
                    expected_version=obj.version,
                    callback=lambda _, failure: on_written(obj, failure),
                )

        def on_written(obj: StoreObject, error: VerbenawickError | None) -> None:
            if error is not None:
                self._schedule_retry(error)
                return
            ref = self._parse_head(obj.value)
            emit(HeadConfirmedByStore(ref.version, len(self._in_flight_by_node_id)))
            self._next_attempt_at = self._clock.now()
            self._complete(sequence, ref)

        self._store.get(HEAD_KEY, on_read)

    def _schedule_retry(self, error: VerbenawickError) -> None:
        emit(HeadConfirmationFailed(error.code, error.message))
        # An unknown outcome counts as a failure, since only a successful update
        # confirms the head.
        self._next_attempt_at = self._clock.now() + self._random.uniform(
            *CONFIRM_RETRY_DELAY_S
        )

    def _complete(self, sequence: int, ref: VersionRef) -> None:
        for node_id, forwarded in tuple(self._in_flight_by_node_id.items()):
            if forwarded.sequence > sequence:
                continue
            del self._in_flight_by_node_id[node_id]
            query = forwarded.query
            if node_id == self._identity.node_id:
                self._pending_by_node_id.pop(node_id, None)
                self._on_confirmed(ref)
                continue
            confirmed = HeadConfirmed(
                query.incarnation, query.sequence, ref.version, ref.digest
            )
            self._peers.send(node_id, confirmed)
