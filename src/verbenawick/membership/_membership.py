"""Membership component: registration, heartbeats, member tables and loads.

Each node registers with its data centre relay and sends it a heartbeat every second.
The data centre relay sends changes to the region relay, which merges them, writes the
region's table to the store and sends deltas down the relay tree.
"""

from collections import deque
from dataclasses import dataclass

from verbenawick.errors import MemberTableError
from verbenawick.links._component import (
    LinkPurpose,
    NodeIdentity,
    PeerPort,
    StoreObject,
    StorePort,
)
from verbenawick.links._members import DepartedMember
from verbenawick.links._messages import Message
from verbenawick.membership._data_centre_registry import DataCentreRegistry
from verbenawick.membership._member_table import (
    MemberTable,
    decode_region_table,
    departed_row,
    encode_region_table,
)
from verbenawick.membership._membership_events import (
    AuthorityWithdrawn,
    TableInvalid,
    TableReplaced,
)
from verbenawick.membership._membership_messages import (
    DepartedRow,
    DepartureNotice,
    Heartbeat,
    HeartbeatReply,
    LoadBatch,
    LoadRow,
    LoadVector,
    MemberBatch,
    MemberRow,
    Registration,
    TableDelta,
    TableSnapshot,
    TableVersion,
    TableVersions,
)
from verbenawick.membership._region_members import RegionMembers, members_key
from verbenawick.membership._topology import Topology
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.settings._settings import TimingSettings

BATCH_INTERVAL_S = 0.5
# Loads only break ties between endpoints. With 65 subscribers per relay and 163 members
# per region, sending them every second would take 10 KB/s at the relay.
LOAD_INTERVAL_S = 4.0
# Versions are compared periodically, so that a node recovers from an undetected loss of
# a delta.
VERSIONS_INTERVAL_S = 10.0
MIN_REQUEST_INTERVAL_S = 1.0
# An upstream that stays unhealthy for this long is treated as failed: its node reports
# that it is draining, and no region sends it new calls.
UNHEALTHY_DRAIN_DELAY_S = 4.0
MAX_UNANSWERED_HEARTBEATS = 16
# Join times are sent as ages in whole seconds, so the join time of a rejoined member
# may appear earlier than it is, by at most this.
REJOIN_TOLERANCE_S = 5.0


@dataclass(slots=True)
class _Timers:
    next_heartbeat_at: float = 0.0
    next_batch_at: float = 0.0
    next_loads_at: float = 0.0
    next_vector_at: float = 0.0
    next_versions_at: float = 0.0
    next_request_at: float = 0.0


class Membership:
    """Membership component of a node, including its roles as a relay.

    Attributes
    ----------
    table : MemberTable
        Members of all regions, as known to the node.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        *,
        slots: int,
        timing: TimingSettings,
        clock: Clock,
        peers: PeerPort,
        store: StorePort,
        roles: Topology,
        record: DecisionRecord,
    ):
        self.table = MemberTable(
            identity, clock=clock, horizon_s=timing.takeover_horizon_s
        )
        self._identity = identity
        self._slots = slots
        self._timing = timing
        self._clock = clock
        self._peers = peers
        self._store = store
        self._roles = roles
        self._record = record
        self._timers = _Timers()
        self._busy_percent = 0
        self._is_healthy = True
        self._unhealthy_since: float | None = None
        self._is_draining = False
        self._is_leaving = False
        self._relay_id: str | None = None
        self._unanswered_send_times: deque[float] = deque(
            maxlen=MAX_UNANSWERED_HEARTBEATS
        )
        self._rejoined_at: float | None = None
        self._confirmed_at: float | None = None
        self._registry: DataCentreRegistry | None = None
        self._is_full_batch_due = False
        self._is_settled_batch_due = False
        self._region_members: RegionMembers | None = None
        self._has_new_loads = False
        self._encoded_snapshots: dict[str, tuple[tuple[int, int], float, bytes]] = {}

    # Methods for the node

    def set_load(self, busy_share: float, *, is_healthy: bool) -> None:
        """Set the load and health to report in the next heartbeat.

        Parameters
        ----------
        busy_share : float
            Fraction of the upstream's slots in use, 0 to 1.
        """
        self._busy_percent = min(max(round(busy_share * 100), 0), 100)
        if is_healthy:
            self._unhealthy_since = None
        elif self._unhealthy_since is None:
            self._unhealthy_since = self._clock.now()
        self._is_healthy = is_healthy

    def start_drain(self) -> None:
        """Report that this member is draining, with a heartbeat on the next tick."""
        self._is_draining = True
        self._timers.next_heartbeat_at = self._clock.now()

    def announce_stop(self, *, handed_over: bool) -> None:
        """Deregister this member, whose process is about to end."""
        self._is_leaving = True
        if self._registry is not None:
            self._registry.deregister(
                self._identity.node_id,
                self._identity.incarnation,
                handed_over=handed_over,
            )
            self._send_changes_up()
            if self._region_members is not None:
                self._send_delta_down()
        elif self._relay_id is not None:
            notice = DepartureNotice(self._identity.incarnation, handed_over)
            self._peers.send(self._relay_id, notice)

    # Component

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Register with a new relay; clear the relay when its link closes."""
        if purpose is LinkPurpose.RELAY and is_open:
            self._unanswered_send_times.clear()
            self._relay_id = peer_id
            self._register(peer_id)
        elif purpose is LinkPurpose.RELAY and peer_id == self._relay_id:
            self._relay_id = None

    def on_message(self, peer_id: str, message: Message) -> None:
        """Handle a membership message and ignore any other."""
        match message:
            case Heartbeat():
                self._on_heartbeat(peer_id, message)
            case HeartbeatReply():
                self._on_heartbeat_reply(peer_id, message)
            case Registration():
                self._on_registration(peer_id, message)
            case TableDelta():
                self._on_delta(peer_id, message)
            case LoadBatch():
                if self._region_members is not None:
                    self._add_loads(message.loads)
            case LoadVector():
                self._on_load_vector(peer_id, message)
            case MemberBatch():
                if self._region_members is not None:
                    self._region_members.add_batch(message)
            case TableSnapshot():
                self._on_snapshot(peer_id, message)
            case TableVersions():
                self._send_newer_tables(peer_id, message.tables)
            case DepartureNotice():
                if self._registry is not None:
                    self._registry.deregister(
                        peer_id, message.incarnation, handed_over=message.handed_over
                    )

    def on_object(self, obj: StoreObject) -> None:
        """Apply and forward the watched table of another region."""
        if not obj.key.startswith("members/") or not obj.version:
            return
        if obj.key == members_key(self._identity.region):
            if self._region_members is not None:
                self._region_members.on_object(obj)
            return
        self._apply_snapshot(obj.value, data_age_s=obj.age_s, source=obj.key)

    def on_tick(self) -> None:
        """Apply role changes and send messages that are due."""
        now = self._clock.now()
        self._update_roles(now)
        if self._registry is not None:
            self._tick_data_centre(now)
        if self._region_members is not None:
            self._tick_region(now)
        elif now >= self._timers.next_heartbeat_at and self._relay_id is not None:
            self._timers.next_heartbeat_at = now + self._timing.heartbeat_s
            self._unanswered_send_times.append(now)
            self._peers.send(self._relay_id, self._build_heartbeat(now))
        if now >= self._timers.next_versions_at and self._relay_id is not None:
            self._timers.next_versions_at = now + VERSIONS_INTERVAL_S
            self._peers.send(self._relay_id, TableVersions(self.table.versions()))

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap during which this process did not run."""
        if self._registry is not None:
            self._registry.forget_pause(gap_s)
        if self._region_members is not None:
            self._region_members.forget_pause(gap_s)

    # Node

    def _is_effectively_draining(self, now: float) -> bool:
        if self._is_draining or self._is_leaving:
            return True
        since = self._unhealthy_since
        return since is not None and now - since >= UNHEALTHY_DRAIN_DELAY_S

    def _build_heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(
            self._busy_percent, self._is_healthy, self._is_effectively_draining(now)
        )

    def _own_row(self) -> MemberRow:
        identity = self._identity
        return MemberRow(
            identity.node_id,
            identity.incarnation,
            identity.service_id,
            identity.data_centre,
            identity.peer_address,
            self._slots,
            self._is_effectively_draining(self._clock.now()),
            0,
        )

    def _register(self, relay_id: str) -> None:
        if self._registry is not None:
            # The region relay accepts members in batches only.
            self._is_full_batch_due = True
            self._peers.send(relay_id, TableVersions(self.table.versions()))
        elif not self._is_leaving:
            registration = Registration(self._own_row(), self.table.versions())
            self._peers.send(relay_id, registration)

    def _on_heartbeat_reply(self, peer_id: str, reply: HeartbeatReply) -> None:
        if peer_id != self._relay_id:
            return
        sent_at = (
            self._unanswered_send_times.popleft()
            if self._unanswered_send_times
            else None
        )
        if self._registry is None and reply.epoch < self._roles.lease_epoch():
            return
        if not reply.is_member:
            self._withdraw_authority(peer_id)
            self._register(peer_id)
            return
        if sent_at is None or reply.confirmed_age_s < 0:
            return
        # The age is subtracted from the send time of the heartbeat, which is not later
        # than the time of the reply.
        self._confirm_membership(sent_at - reply.confirmed_age_s)

    def _withdraw_authority(self, relay_id: str) -> None:
        now = self._clock.now()
        if self._rejoined_at is None and self.table.authority_deadline() > now:
            self._record.add(
                AuthorityWithdrawn(relay_id),
                cause="the relay does not list this node as a member",
                node_id=self._identity.node_id,
            )
        if self._rejoined_at is None:
            self._rejoined_at = now
            if self._registry is not None:
                # The region relay did not list this data centre's members either.
                self._registry.reset_join_times()
        self._confirmed_at = None
        self.table.withdraw_authority()

    def _confirm_membership(self, confirmed_at: float) -> None:
        if self._rejoined_at is not None:
            joined_at = self.table.joined_at(self._identity.node_id)
            if joined_at is None or joined_at < self._rejoined_at - REJOIN_TOLERANCE_S:
                # The local table does not contain the rejoin of this node yet.
                return
            self._rejoined_at = None
        self._confirmed_at = max(self._confirmed_at or confirmed_at, confirmed_at)
        self.table.extend_authority(self._confirmed_at + self._timing.authority_s)

    def _on_delta(self, peer_id: str, delta: TableDelta) -> None:
        if peer_id != self._relay_id:
            return
        table = self.table.region(delta.region)
        if (delta.epoch, delta.serial) <= table.version:
            return
        if (delta.base_epoch, delta.base_serial) != table.version:
            self._request_tables(peer_id)
            return
        self.table.apply(
            delta.region,
            delta.epoch,
            delta.serial,
            joined=delta.joined,
            departed=delta.departed,
        )
        self._send_down(delta)

    def _request_tables(self, peer_id: str) -> None:
        now = self._clock.now()
        if now >= self._timers.next_request_at:
            self._timers.next_request_at = now + MIN_REQUEST_INTERVAL_S
            self._peers.send(peer_id, TableVersions(self.table.versions()))

    def _on_snapshot(self, peer_id: str, message: TableSnapshot) -> None:
        if peer_id == self._relay_id:
            data_age_s = max(message.data_age_ms, 0) / 1000
            self._apply_snapshot(message.data, data_age_s=data_age_s, source=peer_id)

    def _apply_snapshot(self, data: bytes, *, data_age_s: float, source: str) -> None:
        try:
            snapshot = decode_region_table(data)
        except MemberTableError as error:
            self._record.add(TableInvalid(source, str(error)), cause="decoding failed")
            return
        table = self.table.region(snapshot.region)
        base = table.version
        if (snapshot.epoch, snapshot.serial) <= base:
            return
        old_members = dict(table.members_by_id)
        old_departed = dict(table.departed)
        self.table.replace(snapshot, data_age_s=data_age_s)
        self._record.add(
            TableReplaced(
                snapshot.region,
                snapshot.epoch,
                snapshot.serial,
                len(snapshot.members),
            ),
            cause=f"received from {source}",
        )
        if self._registry is not None:
            self._send_snapshot_delta(base, snapshot.region, old_members, old_departed)

    def _send_snapshot_delta(self, base, region, old_members, old_departed) -> None:
        table, now = self.table.region(region), self._clock.now()
        joined = [
            new.to_row(now)
            for node_id, new in table.members_by_id.items()
            if node_id not in old_members or old_members[node_id].member != new.member
        ]
        current = {
            (m.member.node_id, m.member.incarnation)
            for m in table.members_by_id.values()
        }
        departed = [
            departed_row(departed, now)
            for key, departed in table.departed.items()
            if not _is_same_departure(old_departed.get(key), departed)
        ]
        for old in old_members.values():
            key = (old.member.node_id, old.member.incarnation)
            if key not in current and key not in table.departed:
                member = old.member
                departed.append(DepartedRow(*key, member.service_id, False, False, 0))
        self._send_down(
            TableDelta(region, *base, table.epoch, table.serial, joined, departed)
        )

    def _on_load_vector(self, peer_id: str, vector: LoadVector) -> None:
        if peer_id != self._relay_id:
            return
        if self.table.region(vector.region).version == (vector.epoch, vector.serial):
            self.table.set_load_vector(vector.region, vector.loads)
        self._send_down(vector)

    # Data centre relay

    def _update_roles(self, now: float) -> None:
        if not self._roles.is_data_centre_relay():
            if self._registry is not None:
                self._registry = None
                self._confirmed_at = None
        elif self._registry is None:
            self._start_registry()
        if not self._roles.is_region_relay():
            self._region_members = None
        elif (
            self._region_members is None
            or self._region_members.epoch != self._roles.region_epoch()
        ):
            self._relay_id = None
            self._is_full_batch_due = True
            self._region_members = RegionMembers(
                self._identity.region,
                epoch=self._roles.region_epoch(),
                table=self.table,
                clock=self._clock,
                store=self._store,
                roles=self._roles,
                record=self._record,
            )

    def _start_registry(self) -> None:
        self._registry = DataCentreRegistry(
            self._identity.data_centre,
            clock=self._clock,
            member_timeout_s=self._timing.member_timeout_s,
            record=self._record,
        )
        members = self.table.region(self._identity.region).members_by_id
        self._registry.restore_members(
            [
                joined
                for joined in members.values()
                if joined.member.data_centre == self._identity.data_centre
            ],
            former_relay_id=self._roles.predecessor_id(),
        )
        self._is_full_batch_due = True

    def _on_registration(self, peer_id: str, registration: Registration) -> None:
        if self._registry is None or registration.member.node_id != peer_id:
            return
        if registration.member.data_centre != self._identity.data_centre:
            return
        self._registry.register(registration.member)
        self._send_newer_tables(peer_id, registration.tables)

    def _on_heartbeat(self, peer_id: str, heartbeat: Heartbeat) -> None:
        peer = self._peers.identity(peer_id)
        if peer is None or self._registry is None:
            return
        if peer.data_centre == self._identity.data_centre:
            is_member = self._registry.record_heartbeat(
                peer_id, peer.incarnation, heartbeat
            )
            epoch = self._roles.lease_epoch()
        elif self._region_members is not None:
            self._region_members.record_contact(peer.data_centre)
            member = self.table.member(peer_id)
            is_member = member is not None and member.incarnation == peer.incarnation
            epoch = self._region_members.epoch
        else:
            return
        age_s = -1
        if self._confirmed_at is not None:
            age_s = int(self._clock.now() - self._confirmed_at) + 1
        self._peers.send(peer_id, HeartbeatReply(epoch, is_member, age_s))

    def _tick_data_centre(self, now: float) -> None:
        own_id, incarnation = self._identity.node_id, self._identity.incarnation
        if not self._is_leaving:
            heartbeat = self._build_heartbeat(now)
            if not self._registry.record_heartbeat(own_id, incarnation, heartbeat):
                self._registry.register(self._own_row())
        self._registry.expire()
        if now >= self._timers.next_batch_at:
            self._timers.next_batch_at = now + BATCH_INTERVAL_S
            self._send_changes_up()
        if now >= self._timers.next_loads_at:
            self._timers.next_loads_at = now + LOAD_INTERVAL_S
            self._send_loads_up(self._registry.take_loads())

    def _send_changes_up(self) -> None:
        relay_id = self._roles.relay_id()
        if self._region_members is None and relay_id != self._relay_id:
            relay_id = None
        if relay_id is None:
            return
        epoch = self._roles.lease_epoch()
        if self._is_settled_batch_due and self._registry.is_settled():
            self._is_full_batch_due = True
        if self._is_full_batch_due:
            batch = self._registry.take_full_batch(epoch)
            self._is_full_batch_due = False
            # A full batch is sent again once all members had time to register.
            self._is_settled_batch_due = not batch.is_full
        else:
            batch = self._registry.take_batch(epoch)
        if batch is None:
            return
        if self._region_members is not None:
            self._region_members.add_batch(batch)
        elif not self._peers.send(relay_id, batch):
            self._is_full_batch_due = True

    def _send_loads_up(self, loads: list[LoadRow]) -> None:
        if not loads:
            return
        if self._region_members is not None:
            self._add_loads(loads)
        elif self._relay_id is not None:
            self._peers.send(self._relay_id, LoadBatch(loads))

    def _send_down(self, message: Message) -> None:
        if self._registry is None:
            return
        for node_id in self._peers.peers(LinkPurpose.SUBSCRIBER):
            self._peers.send(node_id, message)

    def _send_newer_tables(self, peer_id: str, tables: list[TableVersion]) -> None:
        if self._registry is None:
            return
        known = {t.region: (t.epoch, t.serial) for t in tables}
        for table in self.table.regions():
            if table.version > known.get(table.region, (0, 0)):
                self._peers.send(peer_id, self._encoded_snapshot(table.region))

    def _encoded_snapshot(self, region: str) -> TableSnapshot:
        # Cached, since all nodes of the data centre request it after a takeover.
        version, now = self.table.region(region).version, self._clock.now()
        encoded = self._encoded_snapshots.get(region)
        if encoded is None or encoded[0] != version:
            data = encode_region_table(self.table.snapshot(region))
            encoded = self._encoded_snapshots[region] = (version, now, data)
        return TableSnapshot(encoded[2], int((now - encoded[1]) * 1000))

    # Region relay

    def _tick_region(self, now: float) -> None:
        self._region_members.record_contact(self._identity.data_centre)
        self._region_members.expire()
        self._confirm_own_membership()
        if now >= self._timers.next_heartbeat_at:
            # The region relay sends no heartbeats and uses their timer for its deltas,
            # which cover the same interval as the batches of the data centre relays.
            self._timers.next_heartbeat_at = now + BATCH_INTERVAL_S
            self._send_delta_down()
        if now >= self._timers.next_vector_at:
            self._timers.next_vector_at = now + LOAD_INTERVAL_S
            self._send_loads_down()
        self._region_members.write_if_due()

    def _confirm_own_membership(self) -> None:
        renewed_at = self._roles.confirmed_at()
        # Holding the lease does not imply recent tables: after a network partition, a
        # node may acquire it and lose the store again before it has read them.
        if renewed_at and self._region_members.is_current():
            self._confirm_membership(renewed_at)

    def _send_delta_down(self) -> None:
        delta = self._region_members.take_delta()
        if delta is not None:
            self._send_down(delta)

    def _add_loads(self, loads: list[LoadRow]) -> None:
        self.table.set_loads(loads)
        self._has_new_loads = True

    def _send_loads_down(self) -> None:
        if not self._has_new_loads:
            return
        self._has_new_loads = False
        table = self.table.region(self._identity.region)
        loads = self.table.load_vector(table.region)
        self._send_down(LoadVector(table.region, *table.version, loads))


def _is_same_departure(old: DepartedMember | None, new: DepartedMember) -> bool:
    # Departure times are not compared, as they differ by the rounding of ages.
    if old is None:
        return False
    old_flags = (old.handed_over, old.process_ended)
    return old_flags == (new.handed_over, new.process_ended)
