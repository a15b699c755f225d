"""Distribution of accepted configuration: tree, staging, and repair by neighbours."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from verbenawick.calls._table import RoutingTable
from verbenawick.configuration._acks import AckTally
from verbenawick.configuration._config_feed import (
    ConfigFeed,
    FeedCodec,
    FeedResult,
    HeadInfo,
)
from verbenawick.configuration._config_messages import (
    Commit,
    DeltaStep,
    FloorAnswer,
    FloorQuery,
    HeadConfirmed,
    HeadQuery,
    ProcessStart,
    Stage,
    Staged,
    VersionDigest,
    VersionRequest,
)
from verbenawick.configuration._config_state import (
    NO_VERSION,
    ConfigState,
    Note,
    RoutesWithheld,
    VersionRef,
    emit_only,
    withhold_routes,
)
from verbenawick.configuration._floor import HEAD_KEY, FloorKeeper, HeadConfirmer
from verbenawick.configuration._lifecycle import Lifecycle, LifecycleState
from verbenawick.configuration._step_cache import StepCache
from verbenawick.errors import (
    BaseMismatchError,
    DigestMismatchError,
    DocumentError,
    InvariantError,
    OlderVersionError,
    VerbenawickError,
)
from verbenawick.links._component import (
    LinkPurpose,
    NodeIdentity,
    PeerPort,
    RoleView,
    StoreObject,
    StorePort,
)
from verbenawick.links._members import MemberView
from verbenawick.links._messages import Message
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._explain import DecisionRecord

EXCHANGE_INTERVAL_S = 1.0
ANNOUNCE_INTERVAL_S = 0.5
FETCH_TIMEOUT_S = 1.0
FEED_RETRY_S = 1.0
WITHHELD_CHECK_INTERVAL_S = 0.5
# A refused version is requested again after this time, as a snapshot.
REFUSED_RETRY_S = 30.0
MAX_KNOWN_DIGESTS = 128


@register_event(359, level="WARNING")
@dataclass(frozen=True, slots=True)
class StaleEpochIgnored(Event):
    """A message of a former relay was ignored."""

    peer: str
    epoch: int
    current_epoch: int


@register_event(360, level="ERROR")
@dataclass(frozen=True, slots=True)
class DigestConflict(Event):
    """A peer announced another digest for a known version; it was not counted."""

    peer: str
    version: int


class ConfigDistribution:
    """Component that brings accepted versions to this node and the nodes below it.

    Parameters
    ----------
    state : ConfigState
        Versions of this node; nothing else changes it.
    feed_codec : FeedCodec
        Decodes the store's configuration objects.
    random : Random
        Chooses the neighbour for the next exchange.
    record : DecisionRecord, optional
        Takes what was put in force, refused or withheld, with the cause.
    """

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        clock: Clock,
        peers: PeerPort,
        store: StorePort,
        roles: RoleView,
        members: MemberView,
        state: ConfigState,
        feed_codec: FeedCodec,
        lifecycle: Lifecycle,
        random: Random,
        record: DecisionRecord | None = None,
    ):
        self._note: Note = record.note if record else emit_only
        self.state = state
        state.note = self._note
        self.lifecycle = lifecycle
        self.withheld_route_ids: tuple[str, ...] = ()
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._roles = roles
        self._members = members
        self._codec = feed_codec
        self._random = random
        self._feed = ConfigFeed(store=store, codec=feed_codec)
        self._head: HeadInfo | None = None
        self._tally = AckTally(clock)
        self._cache = StepCache()
        self._digests_by_version: OrderedDict[int, bytes] = OrderedDict()
        self._known = NO_VERSION
        self._committed = NO_VERSION
        self._commit_cause = ""
        self._highest_epoch = 0
        self._last_round: tuple[str, int] | None = None
        self._served: RoutingTable | None = None
        self._known_service_ids: frozenset[str] = frozenset()
        self._next_exchange_at = clock.now() + random.uniform(0, EXCHANGE_INTERVAL_S)
        self._next_announcement_at = clock.now()
        self._next_feed_at = clock.now()
        self._next_fetch_at = clock.now()
        self._next_withheld_check_at = clock.now()
        self._wants_snapshot = False
        self._retry_refused_at = clock.now()
        self._floor = FloorKeeper(
            identity=identity,
            clock=clock,
            peers=peers,
            members=members,
            held=lambda: state.held_ref,
            on_found=self._on_floor,
        )
        self._confirmer = HeadConfirmer(
            identity=identity,
            clock=clock,
            peers=peers,
            roles=roles,
            store=store,
            random=random,
            on_confirmed=self._floor.on_head,
            parse_head=lambda value: feed_codec.parse_head(value).ref,
        )
        self._handlers_by_type: dict[type[Message], Callable] = {
            Stage: self._on_stage,
            Staged: self._on_staged,
            Commit: self._on_commit,
            VersionDigest: self._on_digest,
            VersionRequest: self._on_request,
            FloorQuery: self._floor.on_query,
            FloorAnswer: self._floor.on_answer,
            HeadQuery: self._confirmer.on_query,
            HeadConfirmed: lambda _, message: self._confirmer.on_answer(message),
        }

    @property
    def table(self) -> RoutingTable | None:
        """Table to serve calls from; None before the node may serve.

        Read it once per call: it is replaced as a whole.
        """
        return self._served

    @property
    def known_ref(self) -> VersionRef:
        """Highest version that this node has heard of as accepted."""
        return self._known

    # Calls from the control task

    def on_message(self, peer_id: str, message: Message) -> None:
        """Handle a message from a peer; messages of other components are ignored."""
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            handler(peer_id, message)

    def on_object(self, obj: StoreObject) -> None:
        """Learn of a new head from the region relay's watch."""
        if obj.key != HEAD_KEY or obj.version == 0:
            return
        head = self._codec.parse_head(obj.value)
        # A stale read shows a lower version and is ignored.
        if self._head is None or head.ref.version > self._head.ref.version:
            self._head = head
            self._learn(head.ref)
            self._confirmer.on_head_seen()
            self._follow_head()

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Exchange versions with a peer as soon as its link opens."""
        if not is_open:
            return
        peer = self._peers.identity(peer_id)
        if peer is not None:
            self._floor.on_peer_start(peer_id, peer.incarnation)
        self._peers.send(peer_id, self._digest())

    def on_tick(self) -> None:
        """Do what is due."""
        now = self._clock.now()
        self._floor.on_tick()
        if self._floor.needs_head():
            self._confirmer.want(self._floor.attempt)
        self._confirmer.on_tick()
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + EXCHANGE_INTERVAL_S
            self._exchange()
        if now >= self._next_announcement_at:
            self._next_announcement_at = now + ANNOUNCE_INTERVAL_S
            self._announce_again()
        if now >= self._next_feed_at:
            self._follow_head()
        if now >= self._next_withheld_check_at:
            self._next_withheld_check_at = now + WITHHELD_CHECK_INTERVAL_S
            self._serve()
        self._advance()

    # Store

    def _follow_head(self) -> None:
        head = self._head
        if head is None or not self._roles.is_region_relay() or self._feed.is_reading:
            return
        if self.state.held_ref.version >= head.ref.version:
            return
        if not self._may_try(head.ref):
            return
        self._next_feed_at = self._clock.now() + FEED_RETRY_S
        self._feed.read(
            head,
            self.state.held_ref,
            self._on_feed,
            wants_snapshot=self._wants_snapshot,
        )

    def _on_feed(self, result: FeedResult | None) -> None:
        if result is None:
            return
        self._take(result.ref, result.base, result.steps, result.snapshot)
        if self._head is not None and self._head.ref.version > result.ref.version:
            self._follow_head()

    # Staging

    def _on_stage(self, peer_id: str, message: Stage) -> None:
        is_announcement = message.round_number > 0
        if is_announcement and not self._is_current(peer_id, message.epoch):
            return
        ref = VersionRef(message.version, message.digest)
        if not self._learn(ref, peer_id):
            return
        if is_announcement and self._is_in_data_centre(peer_id):
            self._last_round = (peer_id, message.round_number)
        base = VersionRef(message.base_version, message.base_digest)
        if self.state.held_ref.version >= ref.version or self._take(
            ref, base, message.steps, message.snapshot
        ):
            self._acknowledge()
        elif self.state.refusal_of(ref) is None:
            self._fetch(peer_id)

    def _take(
        self,
        ref: VersionRef,
        base: VersionRef,
        steps: tuple[DeltaStep, ...],
        snapshot: bytes,
    ) -> bool:
        if not steps and not snapshot:
            return False
        try:
            if steps:
                deltas = [step.delta for step in steps]
                self.state.stage_deltas(ref, base, deltas)
            else:
                self.state.stage_snapshot(ref, snapshot)
        except BaseMismatchError:
            return False
        except OlderVersionError:
            return False
        except DigestMismatchError as error:
            self._on_wrong_digest(ref, error, was_snapshot=not steps)
            return False
        except (DocumentError, InvariantError):
            # Verified but not servable here. Other nodes decide for themselves.
            self._retry_refused_at = self._clock.now() + REFUSED_RETRY_S
            self._pass_on(ref, base, steps)
            return False
        self._wants_snapshot = False
        self._next_fetch_at = self._clock.now()
        self._learn(ref)
        self._pass_on(ref, base, steps)
        self._advance()
        return True

    def _on_wrong_digest(
        self, ref: VersionRef, error: VerbenawickError, *, was_snapshot: bool
    ) -> None:
        if was_snapshot:
            self.state.refuse(ref, error)
            self._retry_refused_at = self._clock.now() + REFUSED_RETRY_S
        self._wants_snapshot = True
        self._next_fetch_at = self._next_feed_at = self._clock.now()

    def _pass_on(
        self, ref: VersionRef, base: VersionRef, steps: tuple[DeltaStep, ...]
    ) -> None:
        if steps:
            self._cache.add(base, steps)
        subscribers = self._peers.peers(LinkPurpose.SUBSCRIBER)
        if not subscribers:
            return
        self._tally.begin_round()
        base, step = self._cache.last_step(ref)
        for peer_id in subscribers:
            self._send_stage(peer_id, ref, base, (step,) if step else ())

    def _send_stage(
        self,
        peer_id: str,
        ref: VersionRef,
        base: VersionRef = NO_VERSION,
        steps: tuple[DeltaStep, ...] = (),
        snapshot: bytes = b"",
        *,
        is_answer: bool = False,
    ) -> None:
        stage = Stage(
            self._epoch(),
            0 if is_answer else self._tally.round_number,
            ref.version,
            ref.digest,
            base.version,
            base.digest,
            steps,
            snapshot,
        )
        self._peers.send(peer_id, stage)

    def _acknowledge(self) -> None:
        if self._last_round is None:
            return
        relay_id, round_number = self._last_round
        held = self.state.held_ref
        staged = Staged(
            self._identity.incarnation,
            round_number,
            held.version,
            held.digest,
            self.state.in_force_ref.version,
            self._floor.restarts,
        )
        self._peers.send(relay_id, staged)

    # Committing

    def _on_staged(self, peer_id: str, message: Staged) -> None:
        if not self._is_in_data_centre(peer_id):
            return
        ref = VersionRef(message.version, message.digest)
        known = self._digests_by_version.get(ref.version, ref.digest)
        if known != ref.digest:
            emit(DigestConflict(peer_id, ref.version))
            return
        self._tally.report_starts(message.restarts)
        start = ProcessStart(peer_id, message.incarnation)
        self._tally.record(start, round_number=message.round_number, ref=ref)
        self._advance()
        committed = self._committed
        if message.in_force_version < committed.version <= ref.version:
            self._send_commit(peer_id)

    def _advance(self) -> None:
        """Commit the highest version that a majority of the data centre holds."""
        if self._is_relaying():
            self._tally.report_starts(self._floor.restarts)
            own_ref = self.state.held_ref
            member_ids = self._member_ids()
            ref = self._tally.highest_of_majority(member_ids, own_ref=own_ref)
            if ref.version > self._committed.version:
                self._learn_committed(ref, "held by a majority of the data centre")
                for peer_id in self._subscribers_in_data_centre():
                    self._send_commit(peer_id)
        self._put_in_force()

    def _send_commit(self, peer_id: str) -> None:
        ref = self._committed
        self._peers.send(peer_id, Commit(self._epoch(), ref.version, ref.digest))

    def _on_commit(self, peer_id: str, message: Commit) -> None:
        if not self._is_in_data_centre(peer_id):
            return
        if not self._is_current(peer_id, message.epoch):
            return
        ref = VersionRef(message.version, message.digest)
        if self._learn(ref, peer_id):
            self._learn_committed(ref, f"commit of relay {peer_id}")
            self._put_in_force()
            self._fetch_if_behind(peer_id)

    def _learn_committed(self, ref: VersionRef, cause: str) -> None:
        if ref.version > self._committed.version:
            self._committed, self._commit_cause = ref, cause

    def _put_in_force(self) -> None:
        state, ref = self.state, self._committed
        if state.floor is None or ref.version < max(1, state.floor):
            return
        if state.in_force_ref.version >= ref.version:
            return
        try:
            is_in_force = state.commit(ref, cause=self._commit_cause)
        except (InvariantError, OlderVersionError):
            # Already reported; the version in force stays.
            return
        if is_in_force:
            if self.lifecycle.state is LifecycleState.CATCHING_UP:
                self.lifecycle.enter_service()
            self._serve()

    # Repair

    def _exchange(self) -> None:
        digest = self._digest()
        relay_id = self._roles.relay_id()
        if relay_id is not None and relay_id != self._identity.node_id:
            self._peers.send(relay_id, digest)
        neighbours = [
            peer_id
            for peer_id in self._peers.peers(LinkPurpose.NEIGHBOUR)
            if peer_id != relay_id
        ]
        if neighbours:
            self._peers.send(self._random.choice(neighbours), digest)

    def _digest(self, *, is_reply: bool = False) -> VersionDigest:
        in_force, held = self.state.in_force_ref, self.state.held_ref
        return VersionDigest(
            in_force.version, in_force.digest, held.version, held.digest, is_reply
        )

    def _on_digest(self, peer_id: str, message: VersionDigest) -> None:
        in_force = VersionRef(message.in_force_version, message.in_force_digest)
        held = VersionRef(message.held_version, message.held_digest)
        if not (self._learn(in_force, peer_id) and self._learn(held, peer_id)):
            return
        if self._is_in_data_centre(peer_id):
            self._learn_committed(in_force, f"in force on {peer_id}")
            self._put_in_force()
        self._fetch_if_behind(peer_id, held)
        own = self.state
        is_behind = (
            held.version < own.held_ref.version
            or in_force.version < own.in_force_ref.version
        )
        if is_behind and not message.is_reply:
            self._peers.send(peer_id, self._digest(is_reply=True))

    def _fetch_if_behind(self, peer_id: str, offered: VersionRef | None = None) -> None:
        offered = offered or self._committed
        if offered.version > self.state.held_ref.version:
            self._fetch(peer_id)

    def _fetch(self, peer_id: str) -> None:
        """Request what is missing; one request at a time, repeated after a while."""
        now = self._clock.now()
        if now < self._next_fetch_at or not self._may_try(self._known):
            return
        held = self.state.held_ref
        request = VersionRequest(held.version, held.digest, self._wants_snapshot)
        if self._peers.send(peer_id, request):
            self._next_fetch_at = now + FETCH_TIMEOUT_S

    def _may_try(self, ref: VersionRef) -> bool:
        if self.state.refusal_of(ref) is None:
            return True
        if self._clock.now() < self._retry_refused_at:
            return False
        self._wants_snapshot = True
        return True

    def _on_request(self, peer_id: str, message: VersionRequest) -> None:
        have = VersionRef(message.version, message.digest)
        held = self.state.held_ref
        if held.version <= have.version:
            return
        steps = () if message.wants_snapshot else self._cache.chain(have, held)
        snapshot = b""
        if not steps:
            snapshot = self._cache.snapshot_of(held, self.state.encode_held)
        self._send_stage(peer_id, held, have, steps, snapshot, is_answer=True)

    def _announce_again(self) -> None:
        """Repeat the announcement to members whose acknowledgement is missing."""
        held = self.state.held_ref
        if held.version <= self._committed.version:
            return
        missing = [
            peer_id
            for peer_id in self._subscribers_in_data_centre()
            if not self._tally.holds(peer_id, held.version)
        ]
        if missing:
            self._tally.begin_round()
        for peer_id in missing:
            self._send_stage(peer_id, held)

    # Floor and service

    def _on_floor(self, ref: VersionRef) -> None:
        self._learn(ref)
        if self.state.floor is None:
            self.state.raise_floor(ref.version)
        if self.lifecycle.state is LifecycleState.STARTING:
            self.lifecycle.confirm_floor()
        self._put_in_force()

    def _serve(self) -> None:
        in_force = self.state.in_force
        if in_force is None:
            return
        services = in_force.table.policies_by_service_id
        self._known_service_ids |= {
            service_id
            for service_id in services.keys() - self._known_service_ids
            if self._members.members_of(service_id)
        }
        if self._served is not None and not self.withheld_route_ids:
            if self._served is in_force.table:
                return
        table, withheld = withhold_routes(in_force.table, self._known_service_ids)
        if self._served is not None and self._served == table:
            return
        self._served, self.withheld_route_ids = table, withheld
        if withheld:
            self._note(
                RoutesWithheld(table.version, withheld),
                cause="no endpoint of the service is known",
                version=table.version,
            )

    # Views

    def _learn(self, ref: VersionRef, peer_id: str = "") -> bool:
        """Note a version; return False when its digest contradicts a known one."""
        if ref.version == 0:
            return True
        known = self._digests_by_version.setdefault(ref.version, ref.digest)
        if known != ref.digest:
            emit(DigestConflict(peer_id, ref.version))
            return False
        while len(self._digests_by_version) > MAX_KNOWN_DIGESTS:
            self._digests_by_version.popitem(last=False)
        if ref.version > self._known.version:
            self._known = ref
        return True

    def _is_relaying(self) -> bool:
        # Staging and committing stay safe without a lease: versions come only from an
        # accepted head, and a commit rests on acknowledgements.
        return bool(
            self._roles.is_data_centre_relay() or self._subscribers_in_data_centre()
        )

    def _is_current(self, peer_id: str, epoch: int) -> bool:
        """Return whether a message from a relay of this data centre is not fenced."""
        if not self._is_in_data_centre(peer_id):
            return True
        self._highest_epoch = max(self._highest_epoch, epoch, self._epoch())
        if epoch < self._highest_epoch:
            emit(StaleEpochIgnored(peer_id, epoch, self._highest_epoch))
            return False
        return True

    def _epoch(self) -> int:
        return self._roles.lease_epoch()

    def _is_in_data_centre(self, peer_id: str) -> bool:
        peer = self._peers.identity(peer_id)
        return peer is not None and peer.data_centre == self._identity.data_centre

    def _subscribers_in_data_centre(self) -> list[str]:
        subscribers = self._peers.peers(LinkPurpose.SUBSCRIBER)
        return [i for i in subscribers if self._is_in_data_centre(i)]

    def _member_ids(self) -> set[str]:
        members = self._members.members_in(self._identity.data_centre)
        known = {member.node_id for member in members}
        return known | {self._identity.node_id, *self._subscribers_in_data_centre()}
