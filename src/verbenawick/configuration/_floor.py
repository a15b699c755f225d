"""Floor of a restarted node: the lowest version that it may put in force.

A node has nothing on disk. It learns the highest version it may have served before
from enough other nodes of its data centre, or from a confirmed read of the store's
head. See section 3.4 of docs/design.md.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from verbenawick.configuration._config_messages import (
    Asker,
    FloorAnswer,
    FloorQuery,
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
# Neighbours are asked first: a confirmation of the head costs store calls.
HEAD_QUERY_DELAY_S = 1.0
HEAD_QUERY_INTERVAL_S = 1.0
# Bounds of the random pause before a confirmation is tried again, so that the
# conditional updates of all regions do not collide again.
CONFIRM_RETRY_S = (0.05, 0.5)
ABSENT_HEAD_RETRY_S = 5.0
# The store's client answers earlier than this in any case; see _store.
STORE_ATTEMPT_S = 10.0
# A node whose ticks stopped for longer may have been dropped from the members, which
# happens after TimingSettings.member_timeout_s, 4 s.
PAUSE_S = 2.0
MAX_KNOWN_STARTS = 1024
MAX_PENDING_QUERIES = 4096


@register_event(354)
@dataclass(frozen=True, slots=True)
class FloorConfirmed(Event):
    """The floor of this node is known."""

    version: int
    source: str
    answers: int


@register_event(355)
@dataclass(frozen=True, slots=True)
class HeadConfirmedByStore(Event):
    """The store's head was confirmed by an update with unchanged content."""

    version: int
    queries: int


@register_event(356, level="WARNING")
@dataclass(frozen=True, slots=True)
class HeadConfirmationFailed(Event):
    """The store's head could not be confirmed; it is tried again."""

    code: str
    reason: str


def answers_needed(member_count: int) -> int:
    """Return how many other members have to answer a restarted node.

    A version in force was held by a majority of the `member_count` members, of which
    at most one is the restarted node; half of the members, rounded up, always include
    one of the others.
    """
    return (member_count + 1) // 2


class FloorKeeper:
    """Finds this node's floor, and answers the floor queries of other nodes.

    A node that was paused asks again before its answers count: it may have been
    dropped from the members meanwhile, and a version committed without it.

    Parameters
    ----------
    held : callable
        Returns the highest version that this node holds.
    on_found : callable
        Called with the floor once it is known, and after each later confirmation.
    """

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        clock: Clock,
        peers: PeerPort,
        members: MemberView,
        held: Callable[[], VersionRef],
        on_found: Callable[[VersionRef], None],
    ):
        self._identity = identity
        self._own_start = ProcessStart(identity.node_id, identity.incarnation)
        self._clock = clock
        self._peers = peers
        self._members = members
        self._held = held
        self._on_found = on_found
        self._found: VersionRef | None = None
        self.attempt = 1
        self._started_at = self._last_tick_at = clock.now()
        self._next_query_at = clock.now()
        self._answers_by_node_id: dict[str, FloorAnswer] = {}
        self._starts_by_node_id: OrderedDict[str, ProcessStart] = OrderedDict()
        self._passed_on: set[Asker] = set()

    @property
    def restarts(self) -> tuple[ProcessStart, ...]:
        """Process starts whose floor query this node answered."""
        return tuple(self._starts_by_node_id.values())

    @property
    def is_confirmed(self) -> bool:
        """Return whether the floor is known and this node holds it."""
        found = self._found
        return found is not None and self._held().version >= found.version

    def on_tick(self) -> None:
        """Ask for the floor until it is known, and pass on the queries of others."""
        self._notice_pause()
        now = self._last_tick_at = self._clock.now()
        if self._passed_on:
            self._broadcast(FloorQuery(tuple(self._passed_on)), LinkPurpose.SUBSCRIBER)
            self._passed_on.clear()
        if self._found is not None or now < self._next_query_at:
            return
        self._next_query_at = now + QUERY_INTERVAL_S
        query = FloorQuery((Asker(self._own_start, self.attempt),))
        for purpose in LinkPurpose:
            self._broadcast(query, purpose)

    def on_query(self, peer_id: str, query: FloorQuery) -> None:
        """Answer for this node; as a relay, pass the query on to the other nodes."""
        self._notice_pause()
        if not self._is_in_data_centre(peer_id):
            return
        for asker in query.askers:
            if asker.start.node_id == self._identity.node_id:
                continue
            is_direct = peer_id == asker.start.node_id
            if is_direct and len(self._passed_on) < MAX_PENDING_QUERIES:
                self._passed_on.add(asker)
        # An unconfirmed node stays silent: in a cold start all nodes ask, and answers
        # that do not count would be as many as the square of the members.
        if self.is_confirmed:
            self._answer_all(peer_id, query.askers)

    def _answer_all(self, peer_id: str, askers: tuple[Asker, ...]) -> None:
        held, member_count = self._held(), self.member_count()
        for asker in askers:
            if asker.start.node_id == self._identity.node_id:
                continue
            self._remember_start(asker.start)
            answer = FloorAnswer(
                asker, self._own_start, held.version, held.digest, member_count
            )
            self._peers.send(peer_id, answer)

    def on_answer(self, peer_id: str, answer: FloorAnswer) -> None:
        """Count an answer to this node's query; pass on one to another node's."""
        self._notice_pause()
        if not self._is_in_data_centre(peer_id):
            return
        if answer.asker.start.node_id != self._identity.node_id:
            self._peers.send(answer.asker.start.node_id, answer)
            return
        is_current = answer.asker == Asker(self._own_start, self.attempt)
        if self._found is None and is_current:
            self._answers_by_node_id[answer.answerer.node_id] = answer
            self._evaluate()

    def on_peer_start(self, node_id: str, incarnation: int) -> None:
        """Drop the answer of a node that has restarted since."""
        answer = self._answers_by_node_id.get(node_id)
        if answer is not None and answer.answerer.incarnation != incarnation:
            del self._answers_by_node_id[node_id]

    def needs_head(self) -> bool:
        """Return whether the neighbours had their time and the floor is not known."""
        waited_s = self._clock.now() - self._started_at
        return self._found is None and waited_s >= HEAD_QUERY_DELAY_S

    def on_head(self, ref: VersionRef) -> None:
        """Take the confirmed head as the floor."""
        self._find(ref, "head", 0)

    def member_count(self) -> int:
        """Return how many members this node knows in its data centre, with itself."""
        members = self._members.members_in(self._identity.data_centre)
        return len({member.node_id for member in members} | {self._identity.node_id})

    def _evaluate(self) -> None:
        answers = list(self._answers_by_node_id.values())
        counts = [answer.member_count for answer in answers]
        needed = answers_needed(max([*counts, self.member_count()]))
        # Without any answer the store's head is the only source.
        if len(answers) < max(1, needed):
            return
        highest = max(answers, key=lambda answer: answer.version)
        ref = VersionRef(highest.version, highest.digest)
        self._find(ref, "neighbours", len(answers))

    def _find(self, ref: VersionRef, source: str, answers: int) -> None:
        if self._found is not None:
            return
        self._found = ref
        self._answers_by_node_id.clear()
        emit(FloorConfirmed(ref.version, source, answers))
        self._on_found(ref)

    def _notice_pause(self) -> None:
        gap_s = self._clock.now() - self._last_tick_at
        if gap_s <= PAUSE_S:
            return
        self._last_tick_at = self._started_at = self._clock.now()
        self._found = None
        self.attempt += 1
        self._answers_by_node_id.clear()

    def _remember_start(self, start: ProcessStart) -> None:
        self._starts_by_node_id[start.node_id] = start
        self._starts_by_node_id.move_to_end(start.node_id)
        while len(self._starts_by_node_id) > MAX_KNOWN_STARTS:
            self._starts_by_node_id.popitem(last=False)

    def _broadcast(self, query: FloorQuery, purpose: LinkPurpose) -> None:
        for peer_id in self._peers.peers(purpose):
            askers = tuple(a for a in query.askers if a.start.node_id != peer_id)
            if askers and self._is_in_data_centre(peer_id):
                self._peers.send(peer_id, FloorQuery(askers))

    def _is_in_data_centre(self, peer_id: str) -> bool:
        peer = self._peers.identity(peer_id)
        return peer is not None and peer.data_centre == self._identity.data_centre


@dataclass(frozen=True, slots=True)
class _ForwardedQuery:
    query: HeadQuery
    sequence: int


class HeadConfirmer:
    """Confirms the store's head for this node and the nodes below it.

    The region relay asks the store; every other node asks the node above. A query is
    answered only by a confirmation that began after the query arrived, since a node
    may have served a version that was accepted after an earlier one.
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
        self._waiting: dict[str, HeadQuery] = {}
        self._in_flight: dict[str, _ForwardedQuery] = {}
        self._sequence = 0
        self._next_try_at = clock.now()
        self._is_head_absent = False

    def on_query(self, peer_id: str, query: HeadQuery) -> None:
        """Queue the query of a node below; at the bound it is dropped and repeated."""
        if len(self._waiting) < MAX_PENDING_QUERIES:
            self._waiting[peer_id] = query

    def want(self, attempt: int) -> None:
        """Queue a query of this node; a later attempt replaces an earlier one."""
        self._waiting[self._identity.node_id] = HeadQuery(attempt, 0)

    def on_head_seen(self) -> None:
        """Try at once when the head was absent at the last attempt."""
        if self._is_head_absent:
            self._is_head_absent = False
            self._next_try_at = self._clock.now()

    def on_tick(self) -> None:
        """Start a confirmation when one is wanted and none is under way."""
        if not self._waiting and not self._in_flight:
            return
        if self._clock.now() < self._next_try_at:
            return
        self._sequence += 1
        self._take_waiting()
        if self._roles.is_region_relay():
            self._next_try_at = self._clock.now() + STORE_ATTEMPT_S
            self._ask_store(self._sequence)
            return
        self._next_try_at = self._clock.now() + HEAD_QUERY_INTERVAL_S
        relay_id = self._roles.relay_id()
        if relay_id is not None and relay_id != self._identity.node_id:
            query = HeadQuery(self._identity.incarnation, self._sequence)
            self._peers.send(relay_id, query)

    def on_answer(self, message: HeadConfirmed) -> None:
        """Take the answer of the node above to a query of this process."""
        if message.incarnation == self._identity.incarnation:
            ref = VersionRef(message.version, message.digest)
            self._complete(message.sequence, ref)

    def _take_waiting(self) -> None:
        for peer_id, query in tuple(self._waiting.items()):
            forwarded = self._in_flight.get(peer_id)
            if forwarded and forwarded.query.incarnation == query.incarnation:
                continue
            del self._waiting[peer_id]
            self._in_flight[peer_id] = _ForwardedQuery(query, self._sequence)

    def _ask_store(self, sequence: int) -> None:
        def on_read(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            if error is not None:
                self._retry(error)
            elif obj.version == 0:
                self._is_head_absent = True
                self._next_try_at = self._clock.now() + ABSENT_HEAD_RETRY_S
            else:
                self._store.update(
                    HEAD_KEY,
                    obj.value,
                    expected_version=obj.version,
                    callback=lambda _, failure: on_written(obj, failure),
                )

        def on_written(obj: StoreObject, error: VerbenawickError | None) -> None:
            if error is not None:
                self._retry(error)
                return
            ref = self._parse_head(obj.value)
            emit(HeadConfirmedByStore(ref.version, len(self._in_flight)))
            self._next_try_at = self._clock.now()
            self._complete(sequence, ref)

        self._store.get(HEAD_KEY, on_read)

    def _retry(self, error: VerbenawickError) -> None:
        emit(HeadConfirmationFailed(error.code, error.message))
        # An unknown outcome is a failure here: only a known success confirms.
        self._next_try_at = self._clock.now() + self._random.uniform(*CONFIRM_RETRY_S)

    def _complete(self, sequence: int, ref: VersionRef) -> None:
        for node_id, forwarded in tuple(self._in_flight.items()):
            if forwarded.sequence > sequence:
                continue
            del self._in_flight[node_id]
            query = forwarded.query
            if node_id == self._identity.node_id:
                self._waiting.pop(node_id, None)
                self._on_confirmed(ref)
                continue
            confirmed = HeadConfirmed(
                query.incarnation, query.sequence, ref.version, ref.digest
            )
            self._peers.send(node_id, confirmed)
