"""Members of one data centre as its relay registers them."""

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

# Members search for a relay while it is being replaced. After a takeover they need
# about 3 s to hear of it from neighbours that they ask every 0.5 s. With 10 s, members
# that died together with their relay stayed in all tables for 20 s.
TAKEOVER_GRACE_S = 4.0
MAX_REGISTERED = 1_000
# In member timeouts; members of a half-dead data centre leave after about 8 s.
DOUBT_TIMEOUTS = 1.5
# Departures repeated in a full batch, so that their causes are not lost with a relay.
MAX_RECENT_DEPARTURES = 1_000
LOAD_CHANGE_SHARE = 0.2
MIN_LOAD_CHANGE_PERCENT = 3
LOAD_MAX_AGE_S = 10.0


@dataclass(slots=True)
class _Registered:
    row: MemberRow
    joined_at: float
    last_heard_at: float
    load: LoadRow
    sent_load: LoadRow | None = None
    sent_load_at: float = 0.0


class CentreRegistry:
    """Registered members, changes not sent yet, and loads that are due.

    Parameters
    ----------
    member_timeout_s : float
        A member without a heartbeat for this long has departed.
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
        self._registered: dict[str, _Registered] = {}
        self._changed_ids: set[str] = set()
        self._departed: list[DepartedRow] = []
        self._recent: deque[tuple[float, DepartedRow]] = deque(
            maxlen=MAX_RECENT_DEPARTURES
        )
        self._doubted_since: float | None = None
        self._started_at = clock.now()

    def seed(self, members: list[JoinedMember], *, missed_id: str | None) -> None:
        """Take the members over that a former relay had registered.

        Parameters
        ----------
        missed_id : str or None
            The former relay; it was missed for a lease timeout already and gets no
            grace period.
        """
        now = self._clock.now()
        for joined in members:
            row = joined.to_row(now)
            load = LoadRow(row.node_id, 0, True)
            grace_s = 0.0 if row.node_id == missed_id else TAKEOVER_GRACE_S
            self._registered[row.node_id] = _Registered(
                row, joined.joined_at, now + grace_s, load
            )

    def is_settled(self) -> bool:
        """Return whether each member had time to register since the takeover."""
        settled_at = self._started_at + TAKEOVER_GRACE_S + self._member_timeout_s
        return self._clock.now() >= settled_at

    def is_registered(self, node_id: str, incarnation: int) -> bool:
        """Return whether this process of a node is registered."""
        known = self._registered.get(node_id)
        return known is not None and known.row.incarnation == incarnation

    def size(self) -> int:
        """Return the number of registered members."""
        return len(self._registered)

    def register(self, row: MemberRow) -> bool:
        """Register a member; return False at the bound."""
        now = self._clock.now()
        known = self._registered.get(row.node_id)
        if known is not None and known.row.incarnation == row.incarnation:
            known.last_heard_at = max(known.last_heard_at, now)
            self._update(known, row)
            return True
        if known is not None:
            # Only a new process at the same address proves that the old one has ended.
            process_ended = known.row.peer_address == row.peer_address
            self._remove(known, process_ended, False, "the node registered anew")
        if len(self._registered) >= MAX_REGISTERED:
            return False
        load = LoadRow(row.node_id, 0, True)
        self._registered[row.node_id] = _Registered(row, now, now, load)
        self._changed_ids.add(row.node_id)
        self._record.note(
            MemberJoined(row.node_id, row.service_id, row.incarnation),
            cause="it registered",
            node_id=row.node_id,
            service_id=row.service_id,
        )
        return True

    def heartbeat(self, node_id: str, incarnation: int, beat: Heartbeat) -> bool:
        """Note a sign of life; return False when the process is not registered."""
        known = self._registered.get(node_id)
        if known is None or known.row.incarnation != incarnation:
            return False
        known.last_heard_at = max(known.last_heard_at, self._clock.now())
        known.load = LoadRow(node_id, beat.busy_percent, beat.is_healthy)
        if known.row.is_draining != beat.is_draining:
            self._update(known, replace(known.row, is_draining=beat.is_draining))
        return True

    def goodbye(self, node_id: str, incarnation: int, *, handed_over: bool) -> None:
        """Remove a member that announced its stop."""
        known = self._registered.get(node_id)
        if known is not None and known.row.incarnation == incarnation:
            self._remove(known, True, handed_over, "it announced its stop")

    def expire(self) -> None:
        """Remove members without a sign of life.

        When more than half of them fall silent at once, the relay's own network or
        process is more likely at fault; it waits longer before it removes any.
        """
        now = self._clock.now()
        if self._is_doubtful(now):
            return
        limit = now - self._member_timeout_s
        silent = [m for m in self._registered.values() if m.last_heard_at < limit]
        for known in silent:
            cause = f"no heartbeat for {now - known.last_heard_at:.1f} s"
            self._remove(known, False, False, cause)

    def rejoin(self) -> None:
        """Count all members as joined now, since the region did not know them."""
        now = self._clock.now()
        for known in self._registered.values():
            known.joined_at = now

    def forget_pause(self, gap_s: float) -> None:
        """Extend all deadlines by a gap in which this process did not run."""
        for known in self._registered.values():
            known.last_heard_at += gap_s
        self._started_at += gap_s
        if self._doubted_since is not None:
            self._doubted_since += gap_s

    def take_batch(self, epoch: int) -> MemberBatch | None:
        """Return the changes since the last batch, if there are any."""
        if not self._changed_ids and not self._departed:
            return None
        rows = [
            self._aged(self._registered[node_id])
            for node_id in sorted(self._changed_ids)
            if node_id in self._registered
        ]
        departed, self._departed = self._departed, []
        self._changed_ids.clear()
        return MemberBatch(self._data_centre, epoch, False, rows, departed)

    def take_full_batch(self, epoch: int) -> MemberBatch:
        """Return all members and recent departures.

        The batch counts as full only when each member had time to register.
        """
        now = self._clock.now()
        rows = [self._aged(known) for _, known in sorted(self._registered.items())]
        departed = [
            replace(row, age_s=int(now - at))
            for at, row in self._recent
            if not self.is_registered(row.node_id, row.incarnation)
        ]
        self._departed = []
        self._changed_ids.clear()
        return MemberBatch(self._data_centre, epoch, self.is_settled(), rows, departed)

    def take_loads(self) -> list[LoadRow]:
        """Return the loads that changed enough or were not sent for long."""
        now = self._clock.now()
        due = []
        for known in self._registered.values():
            if self._is_load_due(known, now):
                known.sent_load, known.sent_load_at = known.load, now
                due.append(known.load)
        return due

    def _is_doubtful(self, now: float) -> bool:
        # Half the timeout, so that the rule holds before the first member is removed.
        limit = now - self._member_timeout_s / 2
        late = sum(m.last_heard_at < limit for m in self._registered.values())
        if late * 2 <= len(self._registered) or late < 2:
            self._doubted_since = None
            return False
        if self._doubted_since is None:
            self._doubted_since = now
            self._record.note(
                DeparturesDoubted(late, len(self._registered)),
                cause="more than half of the data centre fell silent at once",
            )
        return now - self._doubted_since < DOUBT_TIMEOUTS * self._member_timeout_s

    def _is_load_due(self, known: _Registered, now: float) -> bool:
        sent, load = known.sent_load, known.load
        if sent is None or now - known.sent_load_at >= LOAD_MAX_AGE_S:
            return True
        if sent.is_healthy != load.is_healthy:
            return True
        change = abs(load.busy_percent - sent.busy_percent)
        limit = max(MIN_LOAD_CHANGE_PERCENT, LOAD_CHANGE_SHARE * sent.busy_percent)
        return change > limit

    def _aged(self, known: _Registered) -> MemberRow:
        age_s = int(max(0.0, self._clock.now() - known.joined_at))
        return replace(known.row, age_s=age_s)

    def _update(self, known: _Registered, row: MemberRow) -> None:
        if replace(known.row, age_s=0) == replace(row, age_s=0):
            return
        if known.row.is_draining != row.is_draining:
            self._record.note(
                MemberStateChanged(row.node_id, row.is_draining),
                cause="the member reported it",
                node_id=row.node_id,
                service_id=row.service_id,
            )
        known.row = row
        self._changed_ids.add(row.node_id)

    def _remove(
        self, known: _Registered, process_ended: bool, handed_over: bool, cause: str
    ) -> None:
        row = known.row
        del self._registered[row.node_id]
        self._changed_ids.discard(row.node_id)
        departed = DepartedRow(
            row.node_id,
            row.incarnation,
            row.service_id,
            handed_over,
            process_ended,
            0,
        )
        self._departed.append(departed)
        self._recent.append((self._clock.now(), departed))
        self._record.note(
            MemberDeparted(row.node_id, row.service_id, handed_over, process_ended),
            cause=cause,
            node_id=row.node_id,
            service_id=row.service_id,
        )
