"""Member table of one node: all members of the mesh, by region."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import cbor2
import zstandard
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ArgsKwargs

from verbenawick.errors import MemberTableError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import (
    DepartedMember,
    Member,
    MemberState,
    ReportedLoad,
)
from verbenawick.links._message_rows import Row
from verbenawick.membership._membership_messages import (
    DepartedRow,
    LoadRow,
    MemberRow,
    TableVersion,
)
from verbenawick.runtime._clock import Clock

# Eight times the design size. Joins above the limit are ignored, so that a faulty peer
# cannot exhaust the memory.
MAX_MEMBERS = 10_000
# 160 restarts per day are 14 within the horizon. The limit also covers a restart of a
# whole region.
MAX_DEPARTED_PER_REGION = 2_000
MAX_TABLE_BYTES = 8 * 1024 * 1024
# Ages are rounded to whole seconds at each of several hops, so smaller differences are
# not treated as a change.
AGE_TOLERANCE_S = 5.0
COMPRESSION_LEVEL = 3
HEALTHY_BIT = 0x80
BUSY_PERCENT_MASK = 0x7F
UNKNOWN_LOAD = 0x7F


@dataclass(frozen=True, slots=True)
class RegionSnapshot:
    """Table of one region with ages instead of local times."""

    region: str
    epoch: int
    serial: int
    members: list[Row[MemberRow]]
    departed: list[Row[DepartedRow]]


_snapshot_adapter = TypeAdapter(RegionSnapshot)


def encode_region_table(snapshot: RegionSnapshot) -> bytes:
    """Return a region's table as encoded in the store and in `TableSnapshot`."""
    rows = [
        snapshot.region,
        snapshot.epoch,
        snapshot.serial,
        [_row_values(row) for row in snapshot.members],
        [_row_values(row) for row in snapshot.departed],
    ]
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return compressor.compress(cbor2.dumps(rows))


def decode_region_table(data: bytes) -> RegionSnapshot:
    """Return the region's table that is encoded in `data`.

    Raises
    ------
    MemberTableError
        `data` is not a valid table.
    """
    try:
        plain = zstandard.ZstdDecompressor().decompress(
            data, max_output_size=MAX_TABLE_BYTES
        )
        values = cbor2.loads(plain)
        return _snapshot_adapter.validate_python(ArgsKwargs(tuple(values)))
    except (
        zstandard.ZstdError,
        cbor2.CBORDecodeError,
        TypeError,
        ValidationError,
    ) as error:
        raise MemberTableError(
            f"invalid member table: {error}", step="members.decode"
        ) from error


def _row_values(row: MemberRow | DepartedRow) -> list:
    return [getattr(row, name) for name in row.__slots__]


@dataclass(slots=True)
class JoinedMember:
    """Member with the time on the local clock at which it joined."""

    member: Member
    joined_at: float

    def to_row(self, now: float) -> MemberRow:
        """Return the member as a row for messages and the store."""
        member = self.member
        return MemberRow(
            member.node_id,
            member.incarnation,
            member.service_id,
            member.data_centre,
            member.peer_address,
            member.slots,
            member.state is MemberState.DRAINING,
            max(0, int(now - self.joined_at)),
        )


def member_from_row(row: MemberRow, region: str) -> Member:
    """Return the member that a row describes."""
    return Member(
        row.node_id,
        row.incarnation,
        row.service_id,
        row.data_centre,
        region,
        row.peer_address,
        row.slots,
        MemberState.DRAINING if row.is_draining else MemberState.ACTIVE,
    )


@dataclass(slots=True)
class RegionTable:
    """Current and departed members of one region."""

    region: str
    epoch: int = 0
    serial: int = 0
    members_by_id: dict[str, JoinedMember] = field(default_factory=dict)
    # Keyed by node id and incarnation.
    departed: dict[tuple[str, int], DepartedMember] = field(default_factory=dict)

    @property
    def version(self) -> tuple[int, int]:
        """Epoch of the region's lease and serial; later versions compare greater."""
        return (self.epoch, self.serial)


class MemberTable:
    """Implementation of `MemberView`: the members of all regions.

    Attributes
    ----------
    generation : int
        Incremented by each change; readers can use it to invalidate caches.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        *,
        clock: Clock,
        horizon_s: float,
        max_members: int = MAX_MEMBERS,
    ):
        self.generation = 0
        self._identity = identity
        self._clock = clock
        self._horizon_s = horizon_s
        self._max_members = max_members
        self._regions: dict[str, RegionTable] = {}
        self._loads: dict[str, ReportedLoad] = {}
        self._authority_deadline = 0.0
        self._index: _Index | None = None

    # MemberView

    def members_of(self, service_id: str) -> tuple[Member, ...]:
        """Return the members of a service, sorted by node id."""
        return self._current_index().by_service.get(service_id, ())

    def departed_of(self, service_id: str) -> tuple[DepartedMember, ...]:
        """Return the members of a service that departed within the horizon."""
        earliest = self._clock.now() - self._horizon_s
        return tuple(
            departed
            for table in self._regions.values()
            for departed in table.departed.values()
            if departed.service_id == service_id and departed.departed_at > earliest
        )

    def members_in(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre, sorted by node id."""
        return self._current_index().by_data_centre.get(data_centre, ())

    def member(self, node_id: str) -> Member | None:
        """Return the member with `node_id`, or None."""
        return self._current_index().by_id.get(node_id)

    def load_of(self, node_id: str) -> ReportedLoad | None:
        """Return the last known load of a member, or None."""
        return self._loads.get(node_id)

    def authority_deadline(self) -> float:
        """Return the time until which this node may claim idempotency keys.

        0 while this process is not in its own table.
        """
        own = self.member(self._identity.node_id)
        if own is None or own.incarnation != self._identity.incarnation:
            return 0.0
        return self._authority_deadline

    # Updates

    def extend_authority(self, deadline: float) -> None:
        """Extend the authority to claim keys to `deadline`, never shortening it."""
        self._authority_deadline = max(self._authority_deadline, deadline)

    def withdraw_authority(self) -> None:
        """End the authority to claim keys until it is extended again."""
        self._authority_deadline = 0.0

    def region(self, region: str) -> RegionTable:
        """Return the table of a region, creating it if absent."""
        table = self._regions.get(region)
        if table is None:
            table = self._regions[region] = RegionTable(region)
        return table

    def regions(self) -> tuple[RegionTable, ...]:
        """Return the tables of all known regions."""
        return tuple(self._regions.values())

    def versions(self) -> list[TableVersion]:
        """Return the version of each region's table."""
        return [TableVersion(t.region, t.epoch, t.serial) for t in self.regions()]

    def joined_at(self, node_id: str) -> float | None:
        """Return the time at which a member joined, or None."""
        for table in self._regions.values():
            joined = table.members_by_id.get(node_id)
            if joined is not None:
                return joined.joined_at
        return None

    def size(self) -> int:
        """Return the number of members."""
        return sum(len(table.members_by_id) for table in self._regions.values())

    def apply(
        self,
        region: str,
        epoch: int,
        serial: int,
        *,
        joined: Iterable[MemberRow],
        departed: Iterable[DepartedRow],
        data_age_s: float = 0.0,
    ) -> None:
        """Apply changes to a region's table and set its version.

        Parameters
        ----------
        data_age_s : float
            Time since the rows were written, which is added to their ages.
        """
        table = self.region(region)
        now = self._clock.now() - data_age_s
        for row in departed:
            self._apply_departure(table, row, now - row.age_s)
        for row in joined:
            self._apply_join(table, row, now - row.age_s)
        table.epoch, table.serial = epoch, serial
        self._drop_expired_departures(table)
        self._invalidate_index()

    def replace(self, snapshot: RegionSnapshot, *, data_age_s: float = 0.0) -> None:
        """Replace a region's table by a snapshot.

        Members that are missing in the snapshot are recorded as departed, and earlier
        departures are kept. A relay that took over may not know of them, and without
        the record another node could claim keys that a departed member has run.
        """
        table = self.region(snapshot.region)
        old, old_departed = table.members_by_id, table.departed
        table.members_by_id, table.departed = {}, {}
        self.apply(
            snapshot.region,
            snapshot.epoch,
            snapshot.serial,
            joined=snapshot.members,
            departed=snapshot.departed,
            data_age_s=data_age_s,
        )
        self._carry_over_departures(table, old, old_departed)
        for node_id in old.keys() - table.members_by_id.keys():
            self._loads.pop(node_id, None)

    def _carry_over_departures(self, table: RegionTable, old, old_departed) -> None:
        present = {
            (joined.member.node_id, joined.member.incarnation)
            for joined in table.members_by_id.values()
        }
        for key, departed in old_departed.items():
            if key not in present:
                table.departed.setdefault(key, departed)
        for joined in old.values():
            missing = joined.member
            key = (missing.node_id, missing.incarnation)
            if key not in present and key not in table.departed:
                table.departed[key] = DepartedMember(
                    *key,
                    missing.service_id,
                    missing.region,
                    False,
                    False,
                    self._clock.now(),
                )
        self._drop_expired_departures(table)
        self._invalidate_index()

    def snapshot(self, region: str) -> RegionSnapshot:
        """Return a region's table with current ages."""
        table, now = self.region(region), self._clock.now()
        self._drop_expired_departures(table)
        return RegionSnapshot(
            region,
            table.epoch,
            table.serial,
            [joined.to_row(now) for joined in table.members_by_id.values()],
            [departed_row(departed, now) for departed in table.departed.values()],
        )

    def set_loads(self, loads: Iterable[LoadRow]) -> None:
        """Store the loads of known members and ignore those of other nodes."""
        by_id = self._current_index().by_id
        for row in loads:
            if row.node_id in by_id:
                self._loads[row.node_id] = ReportedLoad(
                    min(max(row.busy_percent, 0), 100) / 100, row.is_healthy
                )

    def load_vector(self, region: str) -> bytes:
        """Return the loads of a region's members as encoded in `LoadVector`."""
        return bytes(
            _load_byte(self._loads.get(node_id))
            for node_id in sorted(self.region(region).members_by_id)
        )

    def set_load_vector(self, region: str, loads: bytes) -> None:
        """Store the loads of a vector that matches the table's current version."""
        for node_id, value in zip(
            sorted(self.region(region).members_by_id), loads, strict=False
        ):
            if value != UNKNOWN_LOAD:
                busy_percent = min(value & BUSY_PERCENT_MASK, 100)
                is_healthy = value >= HEALTHY_BIT
                self._loads[node_id] = ReportedLoad(busy_percent / 100, is_healthy)

    def _apply_join(self, table: RegionTable, row: MemberRow, joined_at: float) -> None:
        known = table.members_by_id.get(row.node_id)
        if known is None and self.size() >= self._max_members:
            return
        table.departed.pop((row.node_id, row.incarnation), None)
        member = member_from_row(row, table.region)
        if (
            known is not None
            and known.member.incarnation == row.incarnation
            and abs(known.joined_at - joined_at) <= AGE_TOLERANCE_S
        ):
            joined_at = known.joined_at
        table.members_by_id[row.node_id] = JoinedMember(member, joined_at)

    def _apply_departure(self, table: RegionTable, row: DepartedRow, at: float) -> None:
        known = table.members_by_id.get(row.node_id)
        if known is not None and known.member.incarnation == row.incarnation:
            del table.members_by_id[row.node_id]
            self._loads.pop(row.node_id, None)
        table.departed[(row.node_id, row.incarnation)] = DepartedMember(
            row.node_id,
            row.incarnation,
            row.service_id,
            table.region,
            row.handed_over,
            row.process_ended,
            at,
        )

    def _drop_expired_departures(self, table: RegionTable) -> None:
        earliest = self._clock.now() - self._horizon_s
        old = [k for k, d in table.departed.items() if d.departed_at <= earliest]
        for key in old:
            del table.departed[key]
        excess = len(table.departed) - MAX_DEPARTED_PER_REGION
        if excess > 0:
            # Above the limit the earliest departures are dropped first.
            keys_by_age = sorted(
                table.departed, key=lambda k: table.departed[k].departed_at
            )
            for key in keys_by_age[:excess]:
                del table.departed[key]

    def _invalidate_index(self) -> None:
        self.generation += 1
        self._index = None

    def _current_index(self) -> "_Index":
        now = self._clock.now()
        if self._index is None or now >= self._index.valid_until:
            self._index = self._build_index(now)
        return self._index

    def _build_index(self, now: float) -> "_Index":
        index = _Index(valid_until=float("inf"))
        for table in self._regions.values():
            for joined in table.members_by_id.values():
                recent_until = joined.joined_at + self._horizon_s
                member = joined.member
                if now < recent_until:
                    index.valid_until = min(index.valid_until, recent_until)
                    member = replace(member, recently_joined=True)
                index.by_id[member.node_id] = member
        by_service: dict[str, list[Member]] = {}
        by_data_centre: dict[str, list[Member]] = {}
        for _, member in sorted(index.by_id.items()):
            by_service.setdefault(member.service_id, []).append(member)
            by_data_centre.setdefault(member.data_centre, []).append(member)
        index.by_service = {key: tuple(value) for key, value in by_service.items()}
        index.by_data_centre = {k: tuple(v) for k, v in by_data_centre.items()}
        return index


@dataclass(slots=True)
class _Index:
    valid_until: float
    by_id: dict[str, Member] = field(default_factory=dict)
    by_service: dict[str, tuple[Member, ...]] = field(default_factory=dict)
    by_data_centre: dict[str, tuple[Member, ...]] = field(default_factory=dict)


def _load_byte(load: ReportedLoad | None) -> int:
    if load is None:
        return UNKNOWN_LOAD
    return round(load.busy_share * 100) + (HEALTHY_BIT if load.healthy else 0)


def departed_row(departed: DepartedMember, now: float) -> DepartedRow:
    """Return a departed member as a row for messages and the store."""
    return DepartedRow(
        departed.node_id,
        departed.incarnation,
        departed.service_id,
        departed.handed_over,
        departed.process_ended,
        max(0, int(now - departed.departed_at)),
    )
