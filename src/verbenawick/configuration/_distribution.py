"""Distribution of accepted configuration: relay tree, staging, anti-entropy repair."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from verbenawick.calls._table import RoutingTable
from verbenawick.configuration._acks import AckTracker
from verbenawick.configuration._config_feed import (
    ConfigFeed,
    FeedCodec,
    FeedResult,
    HeadInfo,
)
from verbenawick.configuration._config_messages import (
    Commit,
    DeltaStep,
    FloorQuery,
    FloorResponse,
    HeadConfirmed,
    HeadQuery,
    ProcessStart,
    Stage,
    Staged,
    VersionRequest,
    VersionSummary,
)
from verbenawick.configuration._config_state import (
    NO_VERSION,
    ConfigState,
    EventRecorder,
    RoutesWithheld,
    VersionRef,
    log_event,
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
# After this time a refused version is requested again, as a snapshot.
REFUSED_RETRY_S = 30.0
MAX_KNOWN_DIGESTS = 128


@register_event(359, level="WARNING")
@dataclass(frozen=True, slots=True)
class StaleEpochIgnored(Event):
    """A message with the lease epoch of a previous relay was ignored."""

    peer: str
    epoch: int
    current_epoch: int


@register_event(360, level="ERROR")
@dataclass(frozen=True, slots=True)
class DigestConflict(Event):
    """A peer sent a different digest for a known version; its message was ignored."""

    peer: str
    version: int


class ConfigDistribution:
    """Component that distributes accepted versions to this node and its subscribers.

    Parameters
    ----------
    state : ConfigState
        Versions of this node; modified only by this component.
    feed_codec : FeedCodec
        Decoder of the configuration objects in the store.
    random : Random
        Selects the neighbour for each version exchange.
    record : DecisionRecord, optional
        Records which versions were put in force or refused and which routes were
        withheld, with the cause.
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
        self._record_event: EventRecorder = record.add if record else log_event
        self.state = state
        state.record_event = self._record_event
        self.lifecycle = lifecycle
        self.withheld_route_ids: tuple[str, ...] = ()
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._roles = roles
        self._members = members
        self._feed_codec = feed_codec
        self._random = random
        self._feed = ConfigFeed(store=store, codec=feed_codec)
        self._head: HeadInfo | None = None
        self._ack_tracker = AckTracker(clock)
        self._step_cache = StepCache()
        self._digests_by_version: OrderedDict[int, bytes] = OrderedDict()
        self._highest_known = NO_VERSION
        self._committed = NO_VERSION
        self._commit_cause = ""
        self._highest_epoch = 0
        self._last_round: tuple[str, int] | None = None
        self._served_table: RoutingTable | None = None
        self._known_service_ids: frozenset[str] = frozenset()
        self._next_exchange_at = clock.now() + random.uniform(0, EXCHANGE_INTERVAL_S)
        self._next_announcement_at = clock.now()
        self._next_feed_read_at = clock.now()
        self._next_fetch_at = clock.now()
        self._next_withheld_check_at = clock.now()
        self._wants_snapshot = False
        self._retry_refused_at = clock.now()
        self._floor_keeper = FloorKeeper(
            identity=identity,
            clock=clock,
            peers=peers,
            members=members,
            get_held_ref=lambda: state.held_ref,
            on_floor_found=self._on_floor_found,
        )
        self._head_confirmer = HeadConfirmer(
            identity=identity,
            clock=clock,
            peers=peers,
            roles=roles,
            store=store,
            random=random,
            on_confirmed=self._floor_keeper.on_head_confirmed,
            parse_head=lambda value: feed_codec.parse_head(value).ref,
        )
        self._handlers_by_type: dict[type[Message], Callable] = {
            Stage: self._on_stage,
            Staged: self._on_staged,
            Commit: self._on_commit,
            VersionSummary: self._on_version_summary,
            VersionRequest: self._on_version_request,
            FloorQuery: self._floor_keeper.on_query,
            FloorResponse: self._floor_keeper.on_response,
            HeadQuery: self._head_confirmer.on_query,
            HeadConfirmed: lambda _, message: self._head_confirmer.on_response(message),
        }

    @property
    def table(self) -> RoutingTable | None:
        """Routing table for calls; None until the node may serve.

        Each call should read it only once, as it can be replaced at any time.
        """
        return self._served_table

    @property
    def known_ref(self) -> VersionRef:
        """Highest accepted version known to this node."""
        return self._highest_known

    # Callbacks of the control task

    def on_message(self, peer_id: str, message: Message) -> None:
        """Handle a message from a peer; ignore messages of other components."""
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            handler(peer_id, message)

    def on_object(self, obj: StoreObject) -> None:
        """Handle a head reported by the region relay's watch."""
        if obj.key != HEAD_KEY or obj.version == 0:
            return
        head = self._feed_codec.parse_head(obj.value)
        # Ignore stale reads, which return a lower version.
        if self._head is None or head.ref.version > self._head.ref.version:
            self._head = head
            self._register_version(head.ref)
            self._head_confirmer.on_head_observed()
            self._read_head_version()

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Send this node's versions to a peer whose link has opened."""
        if not is_open:
            return
        peer = self._peers.identity(peer_id)
        if peer is not None:
            self._floor_keeper.on_peer_start(peer_id, peer.incarnation)
        self._peers.send(peer_id, self._version_summary())

    def on_tick(self) -> None:
        """Run the periodic tasks that are due."""
        now = self._clock.now()
        self._floor_keeper.on_tick()
        if self._floor_keeper.needs_head_query():
            self._head_confirmer.request_confirmation(self._floor_keeper.attempt)
        self._head_confirmer.on_tick()
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + EXCHANGE_INTERVAL_S
            self._exchange_versions()
        if now >= self._next_announcement_at:
            self._next_announcement_at = now + ANNOUNCE_INTERVAL_S
            self._repeat_announcements()
        if now >= self._next_feed_read_at:
            self._read_head_version()
        if now >= self._next_withheld_check_at:
            self._next_withheld_check_at = now + WITHHELD_CHECK_INTERVAL_S
            self._update_served_table()
        self._advance_commit()

    # Store

    def _read_head_version(self) -> None:
        head = self._head
        if head is None or not self._roles.is_region_relay() or self._feed.is_reading:
            return
        if self.state.held_ref.version >= head.ref.version:
            return
        if not self._may_fetch(head.ref):
            return
        self._next_feed_read_at = self._clock.now() + FEED_RETRY_S
        self._feed.read(
            head,
            self.state.held_ref,
            self._on_feed_read,
            wants_snapshot=self._wants_snapshot,
        )

    def _on_feed_read(self, result: FeedResult | None) -> None:
        if result is None:
            return
        self._stage_version(result.ref, result.base, result.steps, result.snapshot)
        if self._head is not None and self._head.ref.version > result.ref.version:
            self._read_head_version()

    # Staging

    def _on_stage(self, peer_id: str, message: Stage) -> None:
        is_announcement = message.round_number > 0
        if is_announcement and not self._has_current_epoch(peer_id, message.epoch):
            return
        ref = VersionRef(message.version, message.digest)
        if not self._register_version(ref, peer_id):
            return
        if is_announcement and self._is_in_data_centre(peer_id):
            self._last_round = (peer_id, message.round_number)
        base = VersionRef(message.base_version, message.base_digest)
        if self.state.held_ref.version >= ref.version or self._stage_version(
            ref, base, message.steps, message.snapshot
        ):
            self._acknowledge()
        elif self.state.refusal_of(ref) is None:
            self._fetch(peer_id)

    def _stage_version(
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
            self._on_digest_mismatch(ref, error, was_snapshot=not steps)
            return False
        except (DocumentError, InvariantError):
            # The version is verified but cannot be served by this node. It is still
            # forwarded, since other nodes may be able to serve it.
            self._retry_refused_at = self._clock.now() + REFUSED_RETRY_S
            self._forward_to_subscribers(ref, base, steps)
            return False
        self._wants_snapshot = False
        self._next_fetch_at = self._clock.now()
        self._register_version(ref)
        self._forward_to_subscribers(ref, base, steps)
        self._advance_commit()
        return True

    def _on_digest_mismatch(
        self, ref: VersionRef, error: VerbenawickError, *, was_snapshot: bool
    ) -> None:
        if was_snapshot:
            self.state.refuse(ref, error)
            self._retry_refused_at = self._clock.now() + REFUSED_RETRY_S
        self._wants_snapshot = True
        self._next_fetch_at = self._next_feed_read_at = self._clock.now()

    def _forward_to_subscribers(
        self, ref: VersionRef, base: VersionRef, steps: tuple[DeltaStep, ...]
    ) -> None:
        if steps:
            self._step_cache.add(base, steps)
        subscribers = self._peers.peers(LinkPurpose.SUBSCRIBER)
        if not subscribers:
            return
        self._ack_tracker.begin_round()
        base, step = self._step_cache.last_step(ref)
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
            0 if is_answer else self._ack_tracker.round_number,
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
            self._floor_keeper.restarts,
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
        self._ack_tracker.record_starts(message.restarts)
        start = ProcessStart(peer_id, message.incarnation)
        self._ack_tracker.record_ack(start, round_number=message.round_number, ref=ref)
        self._advance_commit()
        committed = self._committed
        if message.in_force_version < committed.version <= ref.version:
            self._send_commit(peer_id)

    def _advance_commit(self) -> None:
        """Commit the highest version held by a majority of the data centre."""
        if self._is_relaying():
            self._ack_tracker.record_starts(self._floor_keeper.restarts)
            own_ref = self.state.held_ref
            member_ids = self._member_ids()
            ref = self._ack_tracker.highest_majority_ref(member_ids, own_ref=own_ref)
            if ref.version > self._committed.version:
                self._register_committed(ref, "held by a majority of the data centre")
                for peer_id in self._subscribers_in_data_centre():
                    self._send_commit(peer_id)
        self._put_in_force()

    def _send_commit(self, peer_id: str) -> None:
        ref = self._committed
        self._peers.send(peer_id, Commit(self._epoch(), ref.version, ref.digest))

    def _on_commit(self, peer_id: str, message: Commit) -> None:
        if not self._is_in_data_centre(peer_id):
            return
        if not self._has_current_epoch(peer_id, message.epoch):
            return
        ref = VersionRef(message.version, message.digest)
        if self._register_version(ref, peer_id):
            self._register_committed(ref, f"commit of relay {peer_id}")
            self._put_in_force()
            self._fetch_if_behind(peer_id)

    def _register_committed(self, ref: VersionRef, cause: str) -> None:
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
            # The error was recorded by `state`; the current version stays in force.
            return
        if is_in_force:
            if self.lifecycle.state is LifecycleState.CATCHING_UP:
                self.lifecycle.enter_service()
            self._update_served_table()

    # Repair

    def _exchange_versions(self) -> None:
        summary = self._version_summary()
        relay_id = self._roles.relay_id()
        if relay_id is not None and relay_id != self._identity.node_id:
            self._peers.send(relay_id, summary)
        neighbours = [
            peer_id
            for peer_id in self._peers.peers(LinkPurpose.NEIGHBOUR)
            if peer_id != relay_id
        ]
        if neighbours:
            self._peers.send(self._random.choice(neighbours), summary)

    def _version_summary(self, *, is_reply: bool = False) -> VersionSummary:
        in_force, held = self.state.in_force_ref, self.state.held_ref
        return VersionSummary(
            in_force.version, in_force.digest, held.version, held.digest, is_reply
        )

    def _on_version_summary(self, peer_id: str, message: VersionSummary) -> None:
        in_force = VersionRef(message.in_force_version, message.in_force_digest)
        held = VersionRef(message.held_version, message.held_digest)
        if not (
            self._register_version(in_force, peer_id)
            and self._register_version(held, peer_id)
        ):
            return
        if self._is_in_data_centre(peer_id):
            self._register_committed(in_force, f"in force on {peer_id}")
            self._put_in_force()
        self._fetch_if_behind(peer_id, held)
        own = self.state
        is_behind = (
            held.version < own.held_ref.version
            or in_force.version < own.in_force_ref.version
        )
        if is_behind and not message.is_reply:
            self._peers.send(peer_id, self._version_summary(is_reply=True))

    def _fetch_if_behind(self, peer_id: str, offered: VersionRef | None = None) -> None:
        offered = offered or self._committed
        if offered.version > self.state.held_ref.version:
            self._fetch(peer_id)

    def _fetch(self, peer_id: str) -> None:
        """Request a newer version from a peer, with at most one request pending.

        A request without a response expires after `FETCH_TIMEOUT_S`.
        """
        now = self._clock.now()
        if now < self._next_fetch_at or not self._may_fetch(self._highest_known):
            return
        held = self.state.held_ref
        request = VersionRequest(held.version, held.digest, self._wants_snapshot)
        if self._peers.send(peer_id, request):
            self._next_fetch_at = now + FETCH_TIMEOUT_S

    def _may_fetch(self, ref: VersionRef) -> bool:
        if self.state.refusal_of(ref) is None:
            return True
        if self._clock.now() < self._retry_refused_at:
            return False
        self._wants_snapshot = True
        return True

    def _on_version_request(self, peer_id: str, message: VersionRequest) -> None:
        requester_ref = VersionRef(message.version, message.digest)
        held = self.state.held_ref
        if held.version <= requester_ref.version:
            return
        steps = (
            ()
            if message.wants_snapshot
            else self._step_cache.chain(requester_ref, held)
        )
        snapshot = b""
        if not steps:
            snapshot = self._step_cache.snapshot_of(held, self.state.encode_held)
        self._send_stage(peer_id, held, requester_ref, steps, snapshot, is_answer=True)

    def _repeat_announcements(self) -> None:
        """Announce the held version again to members that have not acknowledged it."""
        held = self.state.held_ref
        if held.version <= self._committed.version:
            return
        missing = [
            peer_id
            for peer_id in self._subscribers_in_data_centre()
            if not self._ack_tracker.has_acknowledged(peer_id, held.version)
        ]
        if missing:
            self._ack_tracker.begin_round()
        for peer_id in missing:
            self._send_stage(peer_id, held)

    # Floor and service

    def _on_floor_found(self, ref: VersionRef) -> None:
        self._register_version(ref)
        if self.state.floor is None:
            self.state.raise_floor(ref.version)
        if self.lifecycle.state is LifecycleState.STARTING:
            self.lifecycle.confirm_floor()
        self._put_in_force()

    def _update_served_table(self) -> None:
        in_force = self.state.in_force
        if in_force is None:
            return
        services = in_force.table.policies_by_service_id
        self._known_service_ids |= {
            service_id
            for service_id in services.keys() - self._known_service_ids
            if self._members.members_of(service_id)
        }
        if self._served_table is not None and not self.withheld_route_ids:
            if self._served_table is in_force.table:
                return
        table, withheld = withhold_routes(in_force.table, self._known_service_ids)
        if self._served_table is not None and self._served_table == table:
            return
        self._served_table, self.withheld_route_ids = table, withheld
        if withheld:
            self._record_event(
                RoutesWithheld(table.version, withheld),
                cause="no known endpoint for the service",
                version=table.version,
            )

    # Versions, epochs and members

    def _register_version(self, ref: VersionRef, peer_id: str = "") -> bool:
        """Register a version; return False if its digest conflicts with a known one."""
        if ref.version == 0:
            return True
        known = self._digests_by_version.setdefault(ref.version, ref.digest)
        if known != ref.digest:
            emit(DigestConflict(peer_id, ref.version))
            return False
        while len(self._digests_by_version) > MAX_KNOWN_DIGESTS:
            self._digests_by_version.popitem(last=False)
        if ref.version > self._highest_known.version:
            self._highest_known = ref
        return True

    def _is_relaying(self) -> bool:
        # Staging and committing are safe without a lease, since versions originate
        # from an accepted head and commits require acknowledgements of a majority.
        return bool(
            self._roles.is_data_centre_relay() or self._subscribers_in_data_centre()
        )

    def _has_current_epoch(self, peer_id: str, epoch: int) -> bool:
        """Return False if a message of this data centre has an outdated lease epoch."""
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
