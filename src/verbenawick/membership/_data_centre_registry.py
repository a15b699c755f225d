"""Registry of the members of one data centre, kept by the data centre's relay."""

from collections import deque
from dataclasses import dataclass, replace

from verbenawick.membership._member_table import JoinedMember
from verbenawick.membership._membership_events import (
    DeparturesDoubted,
    MemberDeparted,
    MemberJoined,
    MemberStateChanged,
)
from verbenawick.membership._membership_messages import (
    DepartedRow,
    Heartbeat,
    LoadRow,
    MemberBatch,
    MemberRow,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._explain import DecisionRecord

# Additional time for members to register after a takeover. They need about 3 s to
# discover the new relay through their neighbours, which they query every 0.5 s. With
# 10 s, members that failed together with their relay stayed in all tables for 20 s.
TAKEOVER_GRACE_S = 4.0
MAX_REGISTERED_MEMBERS = 1_000
# Delay before more than half of the members are removed at once, in member timeouts.
# The members are then removed about 8 s after they failed.
EXPIRY_DELAY_TIMEOUTS = 1.5
# Departures repeated in a full batch, so that how a member departed is not lost when a
# relay fails.
MAX_RECENT_DEPARTURES = 1_000
# A load is sent to the region relay if its health changed, if it differs from the last
# one sent by more than this fraction of it and by more than this many percentage
# points, and at the latest after `LOAD_MAX_AGE_S`.
MIN_LOAD_CHANGE_SHARE = 0.2
MIN_LOAD_CHANGE_PERCENT = 3
LOAD_MAX_AGE_S = 10.0


@dataclass(slots=True)
class _RegisteredMember:
    row: MemberRow
    joined_at: float
    last_contact_at: float
    load: LoadRow
    sent_load: LoadRow | None = None
    load_sent_at: float = 0.0


class DataCentreRegistry:
    """Registered members, and the changes and loads to send to the region relay.

    Parameters
    ----------
    member_timeout_s : float
        Time without a heartbeat after which a member is removed.
    """

    def __init__(
        self,
        data_centre: str,
        *,
        clock: Clock,
        member_timeout_s: float,
        record: DecisionRecord,
    ):
        self._data_centre = data_centre
        self._clock = clock
        self._member_timeout_s = member_timeout_s
        self._record = record
        self._registered: dict[str, _RegisteredMember] = {}
        self._changed_node_ids: set[str] = set()
        self._unsent_departures: list[DepartedRow] = []
        self._recent_departures: deque[tuple[float, DepartedRow]] = deque(
            maxlen=MAX_RECENT_DEPARTURES
        )
        self._expiry_delayed_since: float | None = None
        self._started_at = clock.now()

    def restore_members(
        self, members: list[JoinedMember], *, former_relay_id: str | None
    ) -> None:
        """Register the members of the former relay without a new registration.

        Parameters
        ----------
        former_relay_id : str or None
            Node id of the former relay. It gets no grace period, since it was
            unreachable for a whole lease timeout already.
        """
        now = self._clock.now()
        for joined in members:
            row = joined.to_row(now)
            load = LoadRow(row.node_id, 0, True)
            grace_s = 0.0 if row.node_id == former_relay_id else TAKEOVER_GRACE_S
            self._registered[row.node_id] = _RegisteredMember(
                row, joined.joined_at, now + grace_s, load
            )

    def is_settled(self) -> bool:
        """Return whether all members had time to register since the takeover."""
        settled_at = self._started_at + TAKEOVER_GRACE_S + self._member_timeout_s
        return self._clock.now() >= settled_at

    def is_registered(self, node_id: str, incarnation: int) -> bool:
        """Return whether a node is registered with this incarnation."""
        known = self._registered.get(node_id)
        return known is not None and known.row.incarnation == incarnation

    def size(self) -> int:
        """Return the number of registered members."""
        return len(self._registered)

    def register(self, row: MemberRow) -> bool:
        """Register a member; return False when the registry is full."""
        now = self._clock.now()
        known = self._registered.get(row.node_id)
        if known is not None and known.row.incarnation == row.incarnation:
            known.last_contact_at = max(known.last_contact_at, now)
            self._update(known, row)
            return True
        if known is not None:
            # Only a new process at the same address proves that the old one has ended.
            process_ended = known.row.peer_address == row.peer_address
            self._remove(
                known, process_ended, False, "the node registered a new process"
            )
        if len(self._registered) >= MAX_REGISTERED_MEMBERS:
            return False
        load = LoadRow(row.node_id, 0, True)
        self._registered[row.node_id] = _RegisteredMember(row, now, now, load)
        self._changed_node_ids.add(row.node_id)
        self._record.add(
            MemberJoined(row.node_id, row.service_id, row.incarnation),
            cause="the member registered",
            node_id=row.node_id,
            service_id=row.service_id,
        )
        return True

    def record_heartbeat(
        self, node_id: str, incarnation: int, heartbeat: Heartbeat
    ) -> bool:
        """Record a heartbeat; return False when its sender is not registered."""
        known = self._registered.get(node_id)
        if known is None or known.row.incarnation != incarnation:
            return False
        known.last_contact_at = max(known.last_contact_at, self._clock.now())
        known.load = LoadRow(node_id, heartbeat.busy_percent, heartbeat.is_healthy)
        if known.row.is_draining != heartbeat.is_draining:
            self._update(known, replace(known.row, is_draining=heartbeat.is_draining))
        return True

    def deregister(self, node_id: str, incarnation: int, *, handed_over: bool) -> None:
        """Remove a member that announced that it stops."""
        known = self._registered.get(node_id)
        if known is not None and known.row.incarnation == incarnation:
            self._remove(known, True, handed_over, "the member announced its stop")

    def expire(self) -> None:
        """Remove the members whose heartbeats timed out.

        If more than half of the members are overdue at once, a fault of the relay's own
        network or process is more likely, so that removal is delayed.
        """
        now = self._clock.now()
        if self._is_expiry_delayed(now):
            return
        limit = now - self._member_timeout_s
        expired = [m for m in self._registered.values() if m.last_contact_at < limit]
        for known in expired:
            cause = f"no heartbeat for {now - known.last_contact_at:.1f} s"
            self._remove(known, False, False, cause)

    def reset_join_times(self) -> None:
        """Set the join time of all members to now.

        Called when the region relay did not count them as members.
        """
        now = self._clock.now()
        for known in self._registered.values():
            known.joined_at = now

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap during which this process did not run."""
        for known in self._registered.values():
            known.last_contact_at += gap_s
        self._started_at += gap_s
        if self._expiry_delayed_since is not None:
            self._expiry_delayed_since += gap_s

    def take_batch(self, epoch: int) -> MemberBatch | None:
        """Return the changes since the last batch, or None without changes."""
        if not self._changed_node_ids and not self._unsent_departures:
            return None
        rows = [
            self._row_with_age(self._registered[node_id])
            for node_id in sorted(self._changed_node_ids)
            if node_id in self._registered
        ]
        departed, self._unsent_departures = self._unsent_departures, []
        self._changed_node_ids.clear()
        return MemberBatch(self._data_centre, epoch, False, rows, departed)

    def take_full_batch(self, epoch: int) -> MemberBatch:
        """Return all members and recent departures.

        `is_full` is set only if all members had time to register.
        """
        now = self._clock.now()
        rows = [
            self._row_with_age(known) for _, known in sorted(self._registered.items())
        ]
        departed = [
            replace(row, age_s=int(now - at))
            for at, row in self._recent_departures
            if not self.is_registered(row.node_id, row.incarnation)
        ]
        self._unsent_departures = []
        self._changed_node_ids.clear()
        return MemberBatch(self._data_centre, epoch, self.is_settled(), rows, departed)

    def take_loads(self) -> list[LoadRow]:
        """Return the loads that changed significantly or are due to be sent again."""
        now = self._clock.now()
        due = []
        for known in self._registered.values():
            if self._is_load_due(known, now):
                known.sent_load, known.load_sent_at = known.load, now
                due.append(known.load)
        return due

    def _is_expiry_delayed(self, now: float) -> bool:
        # Half the timeout, so that the delay starts before the first member is removed.
        limit = now - self._member_timeout_s / 2
        overdue = sum(m.last_contact_at < limit for m in self._registered.values())
        if overdue * 2 <= len(self._registered) or overdue < 2:
            self._expiry_delayed_since = None
            return False
        if self._expiry_delayed_since is None:
            self._expiry_delayed_since = now
            self._record.add(
                DeparturesDoubted(overdue, len(self._registered)),
                cause="more than half of the data centre's members are overdue",
            )
        return (
            now - self._expiry_delayed_since
            < EXPIRY_DELAY_TIMEOUTS * self._member_timeout_s
        )

    def _is_load_due(self, known: _RegisteredMember, now: float) -> bool:
        sent, load = known.sent_load, known.load
        if sent is None or now - known.load_sent_at >= LOAD_MAX_AGE_S:
            return True
        if sent.is_healthy != load.is_healthy:
            return True
        change = abs(load.busy_percent - sent.busy_percent)
        limit = max(MIN_LOAD_CHANGE_PERCENT, MIN_LOAD_CHANGE_SHARE * sent.busy_percent)
        return change > limit

    def _row_with_age(self, known: _RegisteredMember) -> MemberRow:
        age_s = int(max(0.0, self._clock.now() - known.joined_at))
        return replace(known.row, age_s=age_s)

    def _update(self, known: _RegisteredMember, row: MemberRow) -> None:
        if replace(known.row, age_s=0) == replace(row, age_s=0):
            return
        if known.row.is_draining != row.is_draining:
            self._record.add(
                MemberStateChanged(row.node_id, row.is_draining),
                cause="reported by the member",
                node_id=row.node_id,
                service_id=row.service_id,
            )
        known.row = row
        self._changed_node_ids.add(row.node_id)

    def _remove(
        self,
        known: _RegisteredMember,
        process_ended: bool,
        handed_over: bool,
        cause: str,
    ) -> None:
        row = known.row
        del self._registered[row.node_id]
        self._changed_node_ids.discard(row.node_id)
        departed = DepartedRow(
            row.node_id,
            row.incarnation,
            row.service_id,
            handed_over,
            process_ended,
            0,
        )
        self._unsent_departures.append(departed)
        self._recent_departures.append((self._clock.now(), departed))
        self._record.add(
            MemberDeparted(row.node_id, row.service_id, handed_over, process_ended),
            cause=cause,
            node_id=row.node_id,
            service_id=row.service_id,
        )
