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

# Eight times the design size. Beyond it further joins are refused, so that a faulty
# peer cannot exhaust the memory.
MAX_MEMBERS = 10_000
# 160 restarts a day are 14 within the horizon; a restart of a whole region fits too.
MAX_DEPARTED_PER_REGION = 2_000
MAX_TABLE_BYTES = 8 * 1024 * 1024
# Ages travel in whole seconds through several hops; smaller differences are no change.
AGE_TOLERANCE_S = 5.0
COMPRESSION_LEVEL = 3
HEALTHY_BIT = 0x80
MAX_PERCENT_MASK = 0x7F
UNKNOWN_LOAD = 0x7F


@dataclass(frozen=True, slots=True)
class RegionSnapshot:
    """One region's table with ages instead of instants."""

    region: str
    epoch: int
    serial: int
    members: list[Row[MemberRow]]
    departed: list[Row[DepartedRow]]


_snapshot_adapter = TypeAdapter(RegionSnapshot)


def encode_region_table(snapshot: RegionSnapshot) -> bytes:
    """Return the form of a region's table in the store and in `TableSnapshot`."""
    rows = [
        snapshot.region,
        snapshot.epoch,
        snapshot.serial,
        [_values(row) for row in snapshot.members],
        [_values(row) for row in snapshot.departed],
    ]
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return compressor.compress(cbor2.dumps(rows))


def decode_region_table(data: bytes) -> RegionSnapshot:
    """Return the table in `data`.

    Raises
    ------
    MemberTableError
        `data` is not a region's table.
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


def _values(row: MemberRow | DepartedRow) -> list:
    return [getattr(row, name) for name in row.__slots__]


@dataclass(slots=True)
class JoinedMember:
    """A member and the instant of the local clock at which it joined."""

    member: Member
    joined_at: float

    def to_row(self, now: float) -> MemberRow:
        """Return the row for the wire."""
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
    """Return the member in a row."""
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
    """Members of one region, departed ones included."""

    region: str
    epoch: int = 0
    serial: int = 0
    members_by_id: dict[str, JoinedMember] = field(default_factory=dict)
    # By node id and incarnation.
    departed: dict[tuple[str, int], DepartedMember] = field(default_factory=dict)

    @property
    def version(self) -> tuple[int, int]:
        """Epoch of the region's lease and serial; a later one compares greater."""
        return (self.epoch, self.serial)


class MemberTable:
    """The `MemberView` of a node.

    Attributes
    ----------
    generation : int
        Grows with each change, so that readers can cache what they derive.
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
        return self._indexed().by_service.get(service_id, ())

    def departed_of(self, service_id: str) -> tuple[DepartedMember, ...]:
        """Return members of a service that departed within the horizon."""
        earliest = self._clock.now() - self._horizon_s
        return tuple(
            departed
            for table in self._regions.values()
            for departed in table.departed.values()
            if departed.service_id == service_id and departed.departed_at > earliest
        )

    def members_in(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre, sorted by node id."""
        return self._indexed().by_data_centre.get(data_centre, ())

    def member(self, node_id: str) -> Member | None:
        """Return the member with `node_id`."""
        return self._indexed().by_id.get(node_id)

    def load_of(self, node_id: str) -> ReportedLoad | None:
        """Return the last load that a member reported, if any is known."""
        return self._loads.get(node_id)

    def authority_deadline(self) -> float:
        """Return the instant until which this node may claim idempotency keys.

        0 while this node is not in its own table.
        """
        own = self.member(self._identity.node_id)
        if own is None or own.incarnation != self._identity.incarnation:
            return 0.0
        return self._authority_deadline

    # Changes

    def extend_authority(self, deadline: float) -> None:
        """Move the authority deadline to a later instant."""
        self._authority_deadline = max(self._authority_deadline, deadline)

    def withdraw_authority(self) -> None:
        """End the authority now, until it is confirmed again."""
        self._authority_deadline = 0.0

    def region(self, region: str) -> RegionTable:
        """Return the table of a region; it is created when absent."""
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
        """Return the instant at which a member joined."""
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
        held_s: float = 0.0,
    ) -> None:
        """Apply changes of a region's table and set its version.

        Parameters
        ----------
        held_s : float
            Time since the rows were written; added to the ages in them.
        """
        table = self.region(region)
        now = self._clock.now() - held_s
        for row in departed:
            self._depart(table, row, now - row.age_s)
        for row in joined:
            self._join(table, row, now - row.age_s)
        table.epoch, table.serial = epoch, serial
        self._drop_old_departed(table)
        self._changed()

    def replace(self, snapshot: RegionSnapshot, *, held_s: float = 0.0) -> None:
        """Replace a region's table by a snapshot.

        Members that the snapshot does not name have departed, and former departures
        stay: a relay that took over may not know them, and a forgotten member could
        have run keys that another node would then claim.
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
            held_s=held_s,
        )
        self._keep_departures(table, old, old_departed)
        for node_id in old.keys() - table.members_by_id.keys():
            self._loads.pop(node_id, None)

    def _keep_departures(self, table: RegionTable, old, old_departed) -> None:
        present = {
            (joined.member.node_id, joined.member.incarnation)
            for joined in table.members_by_id.values()
        }
        for key, departed in old_departed.items():
            if key not in present:
                table.departed.setdefault(key, departed)
        for joined in old.values():
            gone = joined.member
            key = (gone.node_id, gone.incarnation)
            if key not in present and key not in table.departed:
                table.departed[key] = DepartedMember(
                    *key, gone.service_id, gone.region, False, False, self._clock.now()
                )
        self._drop_old_departed(table)
        self._changed()

    def snapshot(self, region: str) -> RegionSnapshot:
        """Return a region's table with ages as of now."""
        table, now = self.region(region), self._clock.now()
        self._drop_old_departed(table)
        return RegionSnapshot(
            region,
            table.epoch,
            table.serial,
            [joined.to_row(now) for joined in table.members_by_id.values()],
            [departed_row(departed, now) for departed in table.departed.values()],
        )

    def set_loads(self, loads: Iterable[LoadRow]) -> None:
        """Keep the loads of known members."""
        by_id = self._indexed().by_id
        for row in loads:
            if row.node_id in by_id:
                self._loads[row.node_id] = ReportedLoad(
                    min(max(row.busy_percent, 0), 100) / 100, row.is_healthy
                )

    def load_vector(self, region: str) -> bytes:
        """Return the loads of a region's members as in `LoadVector`."""
        return bytes(
            _load_byte(self._loads.get(node_id))
            for node_id in sorted(self.region(region).members_by_id)
        )

    def set_load_vector(self, region: str, loads: bytes) -> None:
        """Keep the loads in a vector of the table's present version."""
        for node_id, value in zip(
            sorted(self.region(region).members_by_id), loads, strict=False
        ):
            if value != UNKNOWN_LOAD:
                busy_percent = min(value & MAX_PERCENT_MASK, 100)
                is_healthy = value >= HEALTHY_BIT
                self._loads[node_id] = ReportedLoad(busy_percent / 100, is_healthy)

    def _join(self, table: RegionTable, row: MemberRow, joined_at: float) -> None:
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

    def _depart(self, table: RegionTable, row: DepartedRow, at: float) -> None:
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

    def _drop_old_departed(self, table: RegionTable) -> None:
        earliest = self._clock.now() - self._horizon_s
        old = [k for k, d in table.departed.items() if d.departed_at <= earliest]
        for key in old:
            del table.departed[key]
        excess = len(table.departed) - MAX_DEPARTED_PER_REGION
        if excess > 0:
            # At the bound the longest departed ones are forgotten first.
            by_age = sorted(table.departed, key=lambda k: table.departed[k].departed_at)
            for key in by_age[:excess]:
                del table.departed[key]

    def _changed(self) -> None:
        self.generation += 1
        self._index = None

    def _indexed(self) -> "_Index":
        now = self._clock.now()
        if self._index is None or now >= self._index.valid_until:
            self._index = self._build_index(now)
        return self._index

    def _build_index(self, now: float) -> "_Index":
        index = _Index(valid_until=float("inf"))
        for table in self._regions.values():
            for joined in table.members_by_id.values():
                settled_at = joined.joined_at + self._horizon_s
                member = joined.member
                if now < settled_at:
                    index.valid_until = min(index.valid_until, settled_at)
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
    """Return the row of a departed member for the wire."""
    return DepartedRow(
        departed.node_id,
        departed.incarnation,
        departed.service_id,
        departed.handed_over,
        departed.process_ended,
        max(0, int(now - departed.departed_at)),
    )
