"""Members of a region as merged by its relay, and their object in the store."""

from collections import OrderedDict
from dataclasses import replace

from verbenawick.errors import MemberTableError, VerbenawickError
from verbenawick.links._component import RoleView, StoreObject, StorePort
from verbenawick.membership._member_table import (
    AGE_TOLERANCE_S,
    MAX_DEPARTED_PER_REGION,
    MemberTable,
    RegionSnapshot,
    decode_region_table,
    departed_row,
    encode_region_table,
)
from verbenawick.membership._membership_events import (
    DataCentreDeparted,
    MembersWritten,
    TableInvalid,
)
from verbenawick.membership._membership_messages import (
    DepartedRow,
    MemberBatch,
    MemberRow,
    TableDelta,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._explain import DecisionRecord

# A data centre relay is replaced within about 8 s. The new relay first links to the
# region relay; its members register within the takeover grace after that.
DATA_CENTRE_TIMEOUT_S = 15.0
MIN_WRITE_INTERVAL_S = 1.0
STORE_RETRY_DELAY_S = 2.0


def members_key(region: str) -> str:
    """Return the store key of a region's member table."""
    return f"members/{region}"


class RegionMembers:
    """Merges the batches of the data centre relays; used by the region relay only.

    Parameters
    ----------
    epoch : int
        Epoch of the region's lease, which orders the tables of successive relays.
    """

    def __init__(
        self,
        region: str,
        *,
        epoch: int,
        table: MemberTable,
        clock: Clock,
        store: StorePort,
        roles: RoleView,
        record: DecisionRecord,
    ):
        self.epoch = epoch
        self._region = region
        self._table = table
        self._clock = clock
        self._store = store
        self._roles = roles
        self._record = record
        now = clock.now()
        self._started_at = now
        self._last_contact_by_data_centre: dict[str, float] = {}
        self._epoch_by_data_centre: dict[str, int] = {}
        self._pending_joins: dict[str, tuple[MemberRow, float]] = {}
        self._pending_departures: dict[tuple[str, int], tuple[DepartedRow, float]] = {}
        # Addresses of the processes whose departure this relay recorded.
        self._departed_addresses: OrderedDict[tuple[str, int], str] = OrderedDict()
        self._serial = 0
        self._is_first_delta_due = True
        self._has_read_object = False
        # Store versions of this relay's last write and of the last watched object.
        self._written_store_version = 0
        self._watched_store_version = 0
        # Version of the object in the store; None if it has to be read first.
        self._known_store_version: int | None = None
        self._is_store_call_pending = False
        self._next_store_call_at = now
        self._written_table_version: tuple[int, int] | None = None

    def record_contact(self, data_centre: str) -> None:
        """Record that the relay of a data centre sent a message."""
        self._last_contact_by_data_centre[data_centre] = self._clock.now()

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap during which this process did not run."""
        self._started_at += gap_s
        for data_centre in self._last_contact_by_data_centre:
            self._last_contact_by_data_centre[data_centre] += gap_s

    def add_batch(self, batch: MemberBatch) -> None:
        """Merge the changes of a data centre, except those of a former relay."""
        if batch.epoch < self._epoch_by_data_centre.get(batch.data_centre, 0):
            return
        self._epoch_by_data_centre[batch.data_centre] = batch.epoch
        self.record_contact(batch.data_centre)
        now = self._clock.now()
        for row in batch.departed:
            self._add_departed(row, now - row.age_s)
        for row in batch.joined:
            self._add_joined(row, now - row.age_s)
        if batch.is_full:
            self._remove_missing(batch)

    def expire(self) -> None:
        """Remove the members of data centres whose relays timed out."""
        now = self._clock.now()
        for data_centre in self._data_centres():
            last_contact_at = self._last_contact_by_data_centre.get(
                data_centre, self._started_at
            )
            if now - last_contact_at > DATA_CENTRE_TIMEOUT_S:
                self._remove_data_centre(data_centre, now - last_contact_at)

    def take_delta(self) -> TableDelta | None:
        """Apply the merged changes to the table; return them, or None without any."""
        if not self._has_read_object:
            # Without the members in the store, the table would remove them from the
            # tables of other nodes.
            return None
        if not (
            self._pending_joins or self._pending_departures or self._is_first_delta_due
        ):
            return None
        self._is_first_delta_due = False
        now = self._clock.now()
        joined = [
            MemberRow(*(getattr(row, n) for n in _MEMBER_FIELDS), max(0, int(now - at)))
            for row, at in self._pending_joins.values()
        ]
        departed = [
            DepartedRow(
                *(getattr(row, n) for n in _DEPARTED_FIELDS), max(0, int(now - at))
            )
            for row, at in self._pending_departures.values()
        ]
        self._pending_joins, self._pending_departures = {}, {}
        base_epoch, base_serial = self._table.region(self._region).version
        self._serial += 1
        self._table.apply(
            self._region, self.epoch, self._serial, joined=joined, departed=departed
        )
        return TableDelta(
            self._region,
            base_epoch,
            base_serial,
            self.epoch,
            self._serial,
            joined,
            departed,
        )

    def on_object(self, obj: StoreObject) -> None:
        """Handle a watched update of this region's object."""
        self._watched_store_version = max(self._watched_store_version, obj.version)
        if (
            self._known_store_version is not None
            and obj.version > self._known_store_version
        ):
            # Changed by another writer, so a conditional update would fail; the object
            # is read again first.
            self._known_store_version = None

    def is_current(self) -> bool:
        """Return whether the tables are at least as recent as the lease.

        This is the case once the watch has returned the last table that this relay
        wrote: the local table then includes the writes of former relays, and the watch
        has delivered the tables of the other regions up to that write.
        """
        return 0 < self._written_store_version <= self._watched_store_version

    def write_if_due(self) -> None:
        """Write the table if it changed, at most once per second."""
        now = self._clock.now()
        if self._is_store_call_pending or now < self._next_store_call_at:
            return
        if not self._roles.is_region_relay():
            return
        if self._known_store_version is None:
            self._is_store_call_pending = True
            self._store.get(members_key(self._region), self._on_read)
            return
        version = self._table.region(self._region).version
        if version != self._written_table_version and version[0] == self.epoch:
            self._write(version, now)

    def _write(self, version: tuple[int, int], now: float) -> None:
        snapshot = self._table.snapshot(self._region)
        self._is_store_call_pending = True
        self._next_store_call_at = now + MIN_WRITE_INTERVAL_S

        def on_written(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            self._is_store_call_pending = False
            if error is not None:
                # The outcome may be unknown, or the object was changed by another
                # writer; read it again.
                self._known_store_version = None
                self._next_store_call_at = self._clock.now() + STORE_RETRY_DELAY_S
                return
            self._known_store_version = self._written_store_version = obj.version
            self._written_table_version = version
            self._record.add(
                MembersWritten(self._region, *version, len(snapshot.members)),
                cause="the member table changed",
                version=obj.version,
            )

        self._store.update(
            members_key(self._region),
            encode_region_table(snapshot),
            expected_version=self._known_store_version,
            callback=on_written,
        )

    def _on_read(self, obj: StoreObject | None, error: VerbenawickError | None) -> None:
        self._is_store_call_pending = False
        if error is not None:
            self._next_store_call_at = self._clock.now() + STORE_RETRY_DELAY_S
            return
        if obj.version:
            self._merge_object(obj)
        self._known_store_version = obj.version
        self._has_read_object = True

    def _merge_object(self, obj: StoreObject) -> None:
        # The object may contain members unknown to this relay, for example after a cold
        # start. They are kept for the grace period of a takeover.
        try:
            found = decode_region_table(obj.value)
        except MemberTableError as error:
            self._record.add(
                TableInvalid(obj.key, str(error)), cause="invalid object in the store"
            )
            return
        if found.epoch > self.epoch:
            # Written by a later relay; `Lease` detects that this one was replaced.
            return
        if (found.epoch, found.serial) == self._written_table_version:
            return
        table = self._table.region(self._region)
        if (found.epoch, found.serial) > table.version:
            self._adopt_newer_table(found, data_age_s=obj.age_s)
            return
        now = self._clock.now() - obj.age_s
        for row in found.departed:
            if (row.node_id, row.incarnation) not in table.departed:
                self._add_departed(row, now - row.age_s)
        for row in found.members:
            is_known = row.node_id in table.members_by_id
            has_departed = (row.node_id, row.incarnation) in table.departed
            if (
                not is_known
                and not has_departed
                and row.node_id not in self._pending_joins
            ):
                self._pending_joins[row.node_id] = (row, now - row.age_s)
            elif is_known or row.node_id in self._pending_joins:
                self._add_replaced_process(row)

    def _adopt_newer_table(self, found: RegionSnapshot, *, data_age_s: float) -> None:
        """Adopt the stored table when it is later than the local one.

        Another relay changed the table while this node was paused or partitioned. It
        removed the members that are only in the local table, so other members may have
        taken over their keys; they are added with the current time as join time.
        """
        table, now = self._table.region(self._region), self._clock.now()
        former = dict(table.members_by_id)
        self._table.replace(found, data_age_s=data_age_s)
        for node_id, joined in former.items():
            if node_id not in table.members_by_id:
                self._pending_joins.setdefault(node_id, (joined.to_row(now), now))
        for node_id, (row, _) in list(self._pending_joins.items()):
            known = table.members_by_id.get(node_id)
            if known is None or known.member.incarnation != row.incarnation:
                self._pending_joins[node_id] = (row, now)
            if known is not None:
                self._add_replaced_process(known.to_row(now))

    def _add_replaced_process(self, row: MemberRow) -> None:
        # Records the departure of the process in the object if the node has another
        # process now.
        joined = self._pending_joins.get(row.node_id)
        known = self._table.region(self._region).members_by_id.get(row.node_id)
        current = joined[0] if joined else known.member
        if current.incarnation != row.incarnation:
            departed = _replaced_row(row, current.peer_address)
            key = (row.node_id, row.incarnation)
            self._pending_departures[key] = (departed, self._clock.now())

    def _add_joined(self, row: MemberRow, joined_at: float) -> None:
        table = self._table.region(self._region)
        known = table.members_by_id.get(row.node_id)
        pending = self._pending_joins.get(row.node_id)
        if pending is not None and pending[0].incarnation != row.incarnation:
            self._add_replacement(pending[0], row)
        elif known is not None and known.member.incarnation != row.incarnation:
            self._add_replacement(known.to_row(self._clock.now()), row)
        elif known is not None:
            is_younger = joined_at - known.joined_at > AGE_TOLERANCE_S
            if not is_younger:
                joined_at = known.joined_at
                if _without_age(known.to_row(0.0)) == _without_age(row):
                    return
        key = (row.node_id, row.incarnation)
        was_away = (
            self._pending_departures.pop(key, None) is not None or key in table.departed
        )
        is_known = known is not None and known.member.incarnation == row.incarnation
        is_pending = pending is not None and pending[0].incarnation == row.incarnation
        if was_away or not (is_known or is_pending):
            # The member is new or was removed before, so others may have taken over its
            # keys. The age in its row does not apply, since its departure may
            # be older than the horizon.
            joined_at = self._clock.now()
        self._pending_joins[row.node_id] = (row, joined_at)
        self._mark_ended_processes(row)

    def _mark_ended_processes(self, row: MemberRow) -> None:
        # Only one process can listen on an address, so a new process at the same
        # address implies that the previous one has ended. The same node on another VM
        # does not.
        departed = self._table.region(self._region).departed
        for (node_id, incarnation), old in departed.items():
            if node_id != row.node_id or incarnation == row.incarnation:
                continue
            address = self._departed_addresses.get((node_id, incarnation))
            if not old.process_ended and address == row.peer_address:
                # The departure time is reset, since the process may have sent its last
                # request just before it ended.
                now = self._clock.now()
                ended = replace(old, process_ended=True, departed_at=now)
                self._add_departed(departed_row(ended, now), now)

    def _add_replacement(self, old: MemberRow, new: MemberRow) -> None:
        departed = _replaced_row(old, new.peer_address)
        self._add_departed(departed, self._clock.now())

    def _record_address(self, row: DepartedRow) -> None:
        pending = self._pending_joins.get(row.node_id)
        known = self._table.region(self._region).members_by_id.get(row.node_id)
        for found in (pending and pending[0], known and known.member):
            if found is not None and found.incarnation == row.incarnation:
                key = (row.node_id, row.incarnation)
                self._departed_addresses[key] = found.peer_address
        while len(self._departed_addresses) > MAX_DEPARTED_PER_REGION:
            # Without the address, the end of the process cannot be established later,
            # and its keys remain blocked for longer.
            self._departed_addresses.popitem(last=False)

    def _add_departed(self, row: DepartedRow, at: float) -> None:
        self._record_address(row)
        pending = self._pending_joins.get(row.node_id)
        if pending is not None and pending[0].incarnation == row.incarnation:
            del self._pending_joins[row.node_id]
        key = (row.node_id, row.incarnation)
        known = self._table.region(self._region).departed.get(key)
        if known is not None and known.process_ended and not row.process_ended:
            return
        if known is None or not known.process_ended:
            self._pending_departures[key] = (row, at)

    def _remove_missing(self, batch: MemberBatch) -> None:
        present = {row.node_id for row in batch.joined}
        for row in self._rows_in(batch.data_centre):
            if row.node_id not in present:
                self._add_departed(_lost_row(row), self._clock.now())

    def _remove_data_centre(self, data_centre: str, silent_s: float) -> None:
        rows = self._rows_in(data_centre)
        if not rows:
            return
        for row in rows:
            self._add_departed(_lost_row(row), self._clock.now())
        self._record.add(
            DataCentreDeparted(data_centre, len(rows)),
            cause=f"no message from its relay for {silent_s:.1f} s and no successor",
        )

    def _rows_in(self, data_centre: str) -> list[MemberRow]:
        now = self._clock.now()
        members = self._table.region(self._region).members_by_id
        rows = {
            node_id: joined.to_row(now)
            for node_id, joined in members.items()
            if joined.member.data_centre == data_centre
        }
        for node_id, (row, _) in self._pending_joins.items():
            if row.data_centre == data_centre:
                rows[node_id] = row
        return [
            row
            for row in rows.values()
            if (row.node_id, row.incarnation) not in self._pending_departures
        ]

    def _data_centres(self) -> set[str]:
        members = self._table.region(self._region).members_by_id
        return {joined.member.data_centre for joined in members.values()}


_MEMBER_FIELDS = MemberRow.__slots__[:-1]
_DEPARTED_FIELDS = DepartedRow.__slots__[:-1]


def _replaced_row(old: MemberRow, new_address: str) -> DepartedRow:
    process_ended = old.peer_address == new_address
    return DepartedRow(
        old.node_id, old.incarnation, old.service_id, False, process_ended, 0
    )


def _lost_row(row: MemberRow) -> DepartedRow:
    return DepartedRow(row.node_id, row.incarnation, row.service_id, False, False, 0)


def _without_age(row: MemberRow) -> tuple:
    return tuple(getattr(row, name) for name in _MEMBER_FIELDS)
