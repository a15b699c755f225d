"""Members of a region as its relay keeps them, and their object in the store."""

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

# A data centre relay is replaced within about 8 s; members register within the
# takeover grace after that, but its own link to the region relay comes first.
CENTRE_TIMEOUT_S = 15.0
MIN_WRITE_INTERVAL_S = 1.0
RETRY_S = 2.0


def members_key(region: str) -> str:
    """Return the key of a region's members in the store."""
    return f"members/{region}"


class RegionMembers:
    """Merges the batches of the data centre relays; exists on the region relay only.

    Parameters
    ----------
    epoch : int
        Epoch of the region's lease; it orders the tables of successive relays.
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
        self._heard_at: dict[str, float] = {}
        self._epochs: dict[str, int] = {}
        self._joined: dict[str, tuple[MemberRow, float]] = {}
        self._departed: dict[tuple[str, int], tuple[DepartedRow, float]] = {}
        # Address of each process that departed while this relay watched.
        self._departed_addresses: OrderedDict[tuple[str, int], str] = OrderedDict()
        self._serial = 0
        self._is_first_delta_due = True
        self._has_read_object = False
        # Store versions of the last own write and of the last object from the watch.
        self._written_version = 0
        self._watched_version = 0
        # Version of the object in the store; None until it was read.
        self._object_version: int | None = None
        self._is_store_busy = False
        self._next_store_at = now
        self._written: tuple[int, int] | None = None

    def heard(self, data_centre: str) -> None:
        """Note a sign of life of a data centre's relay."""
        self._heard_at[data_centre] = self._clock.now()

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap in which this process did not run."""
        self._started_at += gap_s
        for data_centre in self._heard_at:
            self._heard_at[data_centre] += gap_s

    def add_batch(self, batch: MemberBatch) -> None:
        """Merge the changes of one data centre; an older relay's are ignored."""
        if batch.epoch < self._epochs.get(batch.data_centre, 0):
            return
        self._epochs[batch.data_centre] = batch.epoch
        self.heard(batch.data_centre)
        now = self._clock.now()
        for row in batch.departed:
            self._add_departed(row, now - row.age_s)
        for row in batch.joined:
            self._add_joined(row, now - row.age_s)
        if batch.is_full:
            self._remove_missing(batch)

    def expire(self) -> None:
        """Remove the members of data centres whose relays are silent."""
        now = self._clock.now()
        for data_centre in self._data_centres():
            heard_at = self._heard_at.get(data_centre, self._started_at)
            if now - heard_at > CENTRE_TIMEOUT_S:
                self._remove_centre(data_centre, now - heard_at)

    def take_delta(self) -> TableDelta | None:
        """Apply what was merged to the table; return the change, if there is one."""
        if not self._has_read_object:
            # A table without the members in the store would make other nodes forget
            # them.
            return None
        if not (self._joined or self._departed or self._is_first_delta_due):
            return None
        self._is_first_delta_due = False
        now = self._clock.now()
        joined = [
            MemberRow(*(getattr(row, n) for n in _ROW_NAMES), max(0, int(now - at)))
            for row, at in self._joined.values()
        ]
        departed = [
            DepartedRow(
                *(getattr(row, n) for n in _DEPARTED_NAMES), max(0, int(now - at))
            )
            for row, at in self._departed.values()
        ]
        self._joined, self._departed = {}, {}
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
        """Handle the region's own object from the watch."""
        self._watched_version = max(self._watched_version, obj.version)
        if self._object_version is not None and obj.version > self._object_version:
            # Another writer; the conditional update finds out about it.
            self._object_version = None

    def is_current(self) -> bool:
        """Return whether the tables are as recent as the lease.

        True when the watch has returned the last table that this relay wrote: then the
        own table holds what former relays wrote, and the watch has delivered the
        tables of the other regions up to that write.
        """
        return 0 < self._written_version <= self._watched_version

    def write_if_due(self) -> None:
        """Write the table when it changed, at most once a second."""
        now = self._clock.now()
        if self._is_store_busy or now < self._next_store_at:
            return
        if not self._roles.is_region_relay():
            return
        if self._object_version is None:
            self._is_store_busy = True
            self._store.get(members_key(self._region), self._on_read)
            return
        version = self._table.region(self._region).version
        if version != self._written and version[0] == self.epoch:
            self._write(version, now)

    def _write(self, version: tuple[int, int], now: float) -> None:
        snapshot = self._table.snapshot(self._region)
        self._is_store_busy = True
        self._next_store_at = now + MIN_WRITE_INTERVAL_S

        def on_written(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            self._is_store_busy = False
            if error is not None:
                # The answer may be lost, or another writer was first: read again.
                self._object_version = None
                self._next_store_at = self._clock.now() + RETRY_S
                return
            self._object_version = self._written_version = obj.version
            self._written = version
            self._record.note(
                MembersWritten(self._region, *version, len(snapshot.members)),
                cause="the table changed",
                version=obj.version,
            )

        self._store.update(
            members_key(self._region),
            encode_region_table(snapshot),
            expected_version=self._object_version,
            callback=on_written,
        )

    def _on_read(self, obj: StoreObject | None, error: VerbenawickError | None) -> None:
        self._is_store_busy = False
        if error is not None:
            self._next_store_at = self._clock.now() + RETRY_S
            return
        if obj.version:
            self._merge_object(obj)
        self._object_version = obj.version
        self._has_read_object = True

    def _merge_object(self, obj: StoreObject) -> None:
        # Members that a former relay wrote and this one does not know, after a cold
        # start for example. They stay for the grace period of a takeover.
        try:
            found = decode_region_table(obj.value)
        except MemberTableError as error:
            self._record.note(TableInvalid(obj.key, str(error)), cause="store object")
            return
        if found.epoch > self.epoch:
            # A later relay wrote it; the lease will tell.
            return
        if (found.epoch, found.serial) == self._written:
            return
        table = self._table.region(self._region)
        if (found.epoch, found.serial) > table.version:
            self._take_newer(found, held_s=obj.age_s)
            return
        now = self._clock.now() - obj.age_s
        for row in found.departed:
            if (row.node_id, row.incarnation) not in table.departed:
                self._add_departed(row, now - row.age_s)
        for row in found.members:
            is_known = row.node_id in table.members_by_id
            is_gone = (row.node_id, row.incarnation) in table.departed
            if not is_known and not is_gone and row.node_id not in self._joined:
                self._joined[row.node_id] = (row, now - row.age_s)
            elif is_known or row.node_id in self._joined:
                self._note_replaced(row)

    def _take_newer(self, found: RegionSnapshot, *, held_s: float) -> None:
        """Start from the stored table when it is later than the own one.

        This node was paused or cut off while another relay changed the table. Members
        that only this node counts were removed by that relay, and others may have
        acted in their place; they count as joined now.
        """
        table, now = self._table.region(self._region), self._clock.now()
        former = dict(table.members_by_id)
        self._table.replace(found, held_s=held_s)
        for node_id, joined in former.items():
            if node_id not in table.members_by_id:
                self._joined.setdefault(node_id, (joined.to_row(now), now))
        for node_id, (row, _) in list(self._joined.items()):
            known = table.members_by_id.get(node_id)
            if known is None or known.member.incarnation != row.incarnation:
                self._joined[node_id] = (row, now)
            if known is not None:
                self._note_replaced(known.to_row(now))

    def _note_replaced(self, row: MemberRow) -> None:
        # The process in the object is an earlier one of the same node.
        joined = self._joined.get(row.node_id)
        known = self._table.region(self._region).members_by_id.get(row.node_id)
        current = joined[0] if joined else known.member
        if current.incarnation != row.incarnation:
            departed = _replaced(row, current.peer_address)
            key = (row.node_id, row.incarnation)
            self._departed[key] = (departed, self._clock.now())

    def _add_joined(self, row: MemberRow, joined_at: float) -> None:
        table = self._table.region(self._region)
        known = table.members_by_id.get(row.node_id)
        pending = self._joined.get(row.node_id)
        if pending is not None and pending[0].incarnation != row.incarnation:
            self._replace(pending[0], row)
        elif known is not None and known.member.incarnation != row.incarnation:
            self._replace(known.to_row(self._clock.now()), row)
        elif known is not None:
            is_younger = joined_at - known.joined_at > AGE_TOLERANCE_S
            if not is_younger:
                joined_at = known.joined_at
                if _without_age(known.to_row(0.0)) == _without_age(row):
                    return
        key = (row.node_id, row.incarnation)
        was_away = self._departed.pop(key, None) is not None or key in table.departed
        is_known = known is not None and known.member.incarnation == row.incarnation
        is_pending = pending is not None and pending[0].incarnation == row.incarnation
        if was_away or not (is_known or is_pending):
            # It is new or was away, so that others may have acted in its place. Its
            # own age does not count: its departure may be older than the horizon.
            joined_at = self._clock.now()
        self._joined[row.node_id] = (row, joined_at)
        self._prove_ends(row)

    def _prove_ends(self, row: MemberRow) -> None:
        # A listener's address belongs to one process, so a new process there proves
        # that the one before has ended. The same node on another VM proves nothing.
        departed = self._table.region(self._region).departed
        for (node_id, incarnation), old in departed.items():
            if node_id != row.node_id or incarnation == row.incarnation:
                continue
            address = self._departed_addresses.get((node_id, incarnation))
            if not old.process_ended and address == row.peer_address:
                # Counted anew: its last request can have left just before the end.
                now = self._clock.now()
                proven = replace(old, process_ended=True, departed_at=now)
                self._add_departed(departed_row(proven, now), now)

    def _replace(self, old: MemberRow, new: MemberRow) -> None:
        departed = _replaced(old, new.peer_address)
        self._add_departed(departed, self._clock.now())

    def _remember_address(self, row: DepartedRow) -> None:
        pending = self._joined.get(row.node_id)
        known = self._table.region(self._region).members_by_id.get(row.node_id)
        for found in (pending and pending[0], known and known.member):
            if found is not None and found.incarnation == row.incarnation:
                key = (row.node_id, row.incarnation)
                self._departed_addresses[key] = found.peer_address
        while len(self._departed_addresses) > MAX_DEPARTED_PER_REGION:
            # Without the address nothing is proven, and its keys wait longer.
            self._departed_addresses.popitem(last=False)

    def _add_departed(self, row: DepartedRow, at: float) -> None:
        self._remember_address(row)
        pending = self._joined.get(row.node_id)
        if pending is not None and pending[0].incarnation == row.incarnation:
            del self._joined[row.node_id]
        key = (row.node_id, row.incarnation)
        known = self._table.region(self._region).departed.get(key)
        if known is not None and known.process_ended and not row.process_ended:
            return
        if known is None or not known.process_ended:
            self._departed[key] = (row, at)

    def _remove_missing(self, batch: MemberBatch) -> None:
        present = {row.node_id for row in batch.joined}
        for row in self._rows_in(batch.data_centre):
            if row.node_id not in present:
                self._add_departed(_lost(row), self._clock.now())

    def _remove_centre(self, data_centre: str, silent_s: float) -> None:
        rows = self._rows_in(data_centre)
        if not rows:
            return
        for row in rows:
            self._add_departed(_lost(row), self._clock.now())
        self._record.note(
            DataCentreDeparted(data_centre, len(rows)),
            cause=f"its relay is silent for {silent_s:.1f} s and has no successor",
        )

    def _rows_in(self, data_centre: str) -> list[MemberRow]:
        now = self._clock.now()
        members = self._table.region(self._region).members_by_id
        rows = {
            node_id: joined.to_row(now)
            for node_id, joined in members.items()
            if joined.member.data_centre == data_centre
        }
        for node_id, (row, _) in self._joined.items():
            if row.data_centre == data_centre:
                rows[node_id] = row
        return [
            row
            for row in rows.values()
            if (row.node_id, row.incarnation) not in self._departed
        ]

    def _data_centres(self) -> set[str]:
        members = self._table.region(self._region).members_by_id
        return {joined.member.data_centre for joined in members.values()}


_ROW_NAMES = MemberRow.__slots__[:-1]
_DEPARTED_NAMES = DepartedRow.__slots__[:-1]


def _replaced(old: MemberRow, new_address: str) -> DepartedRow:
    process_ended = old.peer_address == new_address
    return DepartedRow(
        old.node_id, old.incarnation, old.service_id, False, process_ended, 0
    )


def _lost(row: MemberRow) -> DepartedRow:
    return DepartedRow(row.node_id, row.incarnation, row.service_id, False, False, 0)


def _without_age(row: MemberRow) -> tuple:
    return tuple(getattr(row, name) for name in _ROW_NAMES)
