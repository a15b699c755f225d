"""State of the local upstream, derived from status reports and health probes.

Only the node on the same VM sends requests to an upstream, so this state alone decides
whether new work reaches it: after a leave is acknowledged nothing more is sent,
whatever the other nodes know. A restarted node learns from its record in the store
which leaves its previous process acknowledged.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from verbenawick.mesh._model import StatusReport, UpstreamRecord, UpstreamState
from verbenawick.runtime._events import Event, emit, register_event

# Number of slots assumed until a report or a probe contains it.
DEFAULT_SLOTS = 8
# Time after a leave during which reports from the same or an earlier process are
# ignored, seconds. Reports can arrive seconds late, and one sent before the leave must
# not be taken for a return.
LATE_REPORT_WINDOW_S = 10.0
MAX_DEPARTURES = 64


@register_event(710)
@dataclass(frozen=True, slots=True)
class UpstreamChanged(Event):
    """The state, id, service or slots of the local upstream changed."""

    upstream: str
    service: str
    earlier_state: str
    state: str
    cause: str
    sequence: int
    born_ms: int
    slots: int


@register_event(711, level="WARNING")
@dataclass(frozen=True, slots=True)
class ReportIgnored(Event):
    """A status report was ignored because it does not describe the current upstream."""

    upstream: str
    reason: str
    sequence: int
    born_ms: int


@register_event(713, level="WARNING")
@dataclass(frozen=True, slots=True)
class ReportsMissed(Event):
    """Status reports of the local upstream did not reach this process.

    The first report from an upstream process counts all its earlier ones as missed.
    `interval_s` is the time since the last report of that process, 0 before the first.
    """

    upstream: str
    missed: int
    sequence: int
    born_ms: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class ReadyUpstream:
    """An upstream that is ready according to a report or a probe (`cause`)."""

    upstream_id: str
    service: str
    slots: int
    born_ms: int
    sequence: int
    cause: str
    version: str = ""


class LocalUpstream:
    """State of the upstream on this VM.

    Parameters
    ----------
    address : str
        Address at which the upstream listens.
    on_change : callable
        Called after each change of state, id, service or slots, and when an upstream is
        found that waits for `restore`.
    awaits_record : bool
        Whether an upstream becomes ready only after `restore` or `skip_restore`.
    keeps_version : bool
        Whether the version of the upstream is kept, for releases.
    """

    def __init__(
        self,
        *,
        address: str,
        service: str,
        on_change: Callable[[], None],
        awaits_record: bool = False,
        keeps_version: bool = False,
    ):
        self.address = address
        self.service = service
        self.upstream_id = ""
        self.state = UpstreamState.UNKNOWN
        self.slots = DEFAULT_SLOTS
        self.version = ""
        # Version of the upstream in the stored record, and its id.
        self._stored_version = ("", "")
        self._keeps_version = keeps_version
        self._on_change = on_change
        self._sequence = -1
        self._born_ms = 0
        self._departures_by_id: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._awaits_record = awaits_record
        self._candidate: ReadyUpstream | None = None
        # Upstream id, start, sequence and time of the last report; unlike the fields
        # above, never reset.
        self._last_report = ("", 0, 0, 0.0)

    @property
    def accepts_work(self) -> bool:
        """Return whether requests may be sent to the upstream."""
        return self.state is UpstreamState.READY

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream announced that it drains or leaves."""
        return self.state in (UpstreamState.DRAINING, UpstreamState.GONE)

    @property
    def born_ms(self) -> int:
        """Return the start time of the upstream's process, 0 if unknown."""
        return self._born_ms

    @property
    def process_id(self) -> str:
        """Return what tells this process from others, also from those with its id."""
        return f"{self.upstream_id}/{self._born_ms}"

    @property
    def candidate(self) -> ReadyUpstream | None:
        """Return the upstream that becomes ready unless `restore` forbids it."""
        return self._candidate

    def restore(self, record: UpstreamRecord | None) -> None:
        """Apply the record that the previous process of this node left in the store.

        Parameters
        ----------
        record : UpstreamRecord or None
            None if the store has no record of this node.
        """
        if record is not None and self._keeps_version:
            self._stored_version = (record.upstream_id, record.version)
        if not self._awaits_record:
            # `skip_restore` allowed requests before the store answered.
            if self.state is UpstreamState.READY and _has_left(record, self):
                self._set_draining(self, record)
            return
        self._awaits_record = False
        found, self._candidate = self._candidate, None
        if found is None:
            return
        if _has_left(record, found):
            self._set_draining(found, record)
            return
        self._set_ready(found)

    def skip_restore(self) -> None:
        """Use an upstream that reported itself ready although the store is away.

        A health probe is no sufficient reason, since an upstream that is leaving may be
        healthy.
        """
        if self._candidate is not None and self._candidate.cause == "report":
            self.restore(None)

    def on_report(self, report: StatusReport, now: float) -> None:
        """Apply a status report; late reports and those of others are ignored."""
        reason = self._reason_to_ignore(report, now)
        if reason:
            emit(
                ReportIgnored(
                    report.upstream_id, reason, report.sequence, report.born_ms
                )
            )
            return
        self._log_missed_reports(report, now)
        is_same = report.upstream_id == self.upstream_id and self._born_ms in (
            0,
            report.born_ms,
        )
        if report.is_draining or (is_same and self.state is UpstreamState.DRAINING):
            self._candidate = None
            self._sequence = report.sequence
            self._born_ms = report.born_ms
            self._update(
                UpstreamState.DRAINING,
                report.upstream_id,
                report.service,
                report.slots,
                cause="report",
            )
            return
        self._find_ready(
            ReadyUpstream(
                report.upstream_id,
                report.service,
                report.slots,
                report.born_ms,
                report.sequence,
                "report",
                report.version if self._keeps_version else "",
            )
        )

    def on_leave(self, upstream_id: str, now: float) -> None:
        """Handle an upstream's announcement that it leaves permanently."""
        born_ms = self._birth_of(upstream_id)
        self._note_departure(upstream_id, born_ms, now)
        if upstream_id == self.upstream_id or not self.upstream_id:
            self._set_gone(upstream_id, born_ms, cause="leave")

    def on_earlier_leave(self, upstream_id: str, born_ms: int, now: float) -> None:
        """Apply a leave that the previous process of this node acknowledged.

        Parameters
        ----------
        born_ms : int
            Start time of the process that left, 0 if unknown.
        """
        known_born_ms = self._birth_of(upstream_id)
        if self.is_leaving or (born_ms and known_born_ms > born_ms):
            return
        self._note_departure(upstream_id, born_ms, now)
        candidate = self._candidate
        candidate_id = candidate.upstream_id if candidate is not None else ""
        if upstream_id in (self.upstream_id, candidate_id):
            self._set_gone(upstream_id, born_ms or known_born_ms, cause="earlier leave")

    def on_probe(self, upstream_id: str, slots: int) -> None:
        """Apply a successful health probe; ignored unless the state is unknown."""
        if self.state is not UpstreamState.UNKNOWN:
            return
        if upstream_id in self._departures_by_id or self._candidate is not None:
            return
        self._find_ready(
            ReadyUpstream(
                upstream_id,
                self.service,
                slots or self.slots,
                self._born_ms,
                self._sequence,
                "probe",
            )
        )

    def on_leaving(self, upstream_id: str) -> None:
        """Handle an answer in which the upstream says that it leaves."""
        if upstream_id == self.upstream_id and self.state is UpstreamState.READY:
            self._update(
                UpstreamState.DRAINING,
                upstream_id,
                self.service,
                self.slots,
                cause="answer",
            )

    def on_other_upstream(self, upstream_id: str) -> None:
        """Handle evidence that requests for `upstream_id` reach another upstream."""
        if upstream_id == self.upstream_id and self.state is UpstreamState.READY:
            self._forget_process()
            self._update(
                UpstreamState.UNKNOWN, "", self.service, self.slots, cause="other"
            )

    def change_address(self, address: str, service: str) -> None:
        """Apply changed settings; at a new address the upstream is unknown at first."""
        if address == self.address:
            return
        self.address = address
        self._forget_process()
        self._update(UpstreamState.UNKNOWN, "", service, self.slots, cause="settings")

    def _forget_process(self) -> None:
        """Reset what is known of the upstream's process; the next one is another."""
        self._sequence = -1
        self._born_ms = 0

    def _note_departure(self, upstream_id: str, born_ms: int, now: float) -> None:
        """Ignore late reports of a process from now on."""
        self._departures_by_id[upstream_id] = (born_ms, now + LATE_REPORT_WINDOW_S)
        while len(self._departures_by_id) > MAX_DEPARTURES:
            self._departures_by_id.popitem(last=False)

    def _set_gone(self, upstream_id: str, born_ms: int, *, cause: str) -> None:
        self._candidate = None
        self._born_ms = born_ms
        self._update(
            UpstreamState.GONE, upstream_id, self.service, self.slots, cause=cause
        )

    def _birth_of(self, upstream_id: str) -> int:
        """Return the start time of the process of `upstream_id`, 0 if unknown."""
        if upstream_id == self.upstream_id:
            return self._born_ms
        candidate = self._candidate
        if candidate is not None and upstream_id == candidate.upstream_id:
            return candidate.born_ms
        return 0

    def _find_ready(self, found: ReadyUpstream) -> None:
        if not self._awaits_record:
            self._set_ready(found)
            return
        is_first = self._candidate is None
        self._candidate = found
        if is_first:
            self._on_change()

    def _set_ready(self, found: ReadyUpstream) -> None:
        self._sequence = found.sequence
        self._born_ms = found.born_ms
        version = found.version
        if not version and self._stored_version[0] == found.upstream_id:
            # A health probe does not tell the version.
            version = self._stored_version[1]
        is_new_version = version != self.version
        self.version = version
        self._update(
            UpstreamState.READY,
            found.upstream_id,
            found.service,
            found.slots,
            cause=found.cause,
            is_new_version=is_new_version,
        )

    def _set_draining(
        self, found: "ReadyUpstream | LocalUpstream", record: UpstreamRecord
    ) -> None:
        """Apply the stored leave of an upstream that seemed to be ready."""
        self._born_ms = max(record.born_ms, found.born_ms)
        self._update(
            UpstreamState.DRAINING,
            found.upstream_id,
            found.service,
            found.slots,
            cause="record",
        )

    def _reason_to_ignore(self, report: StatusReport, now: float) -> str:
        if report.address != self.address:
            return "address"
        departed = self._departures_by_id.get(report.upstream_id)
        if departed is not None:
            born_ms, until = departed
            # If the start of the process that left is unknown, the report may be its.
            if now < until and (not born_ms or report.born_ms <= born_ms):
                return "departed"
        if report.upstream_id == self.upstream_id:
            if report.born_ms < self._born_ms:
                return "earlier process"
            if report.born_ms == self._born_ms and report.sequence <= self._sequence:
                return "late"
        elif self.upstream_id and report.born_ms < self._born_ms:
            return "earlier process"
        return ""

    def _log_missed_reports(self, report: StatusReport, now: float) -> None:
        """Log how many numbers lie between the last report and this one."""
        upstream_id, born_ms, sequence, received_at = self._last_report
        is_first = (report.upstream_id, report.born_ms) != (upstream_id, born_ms)
        missed = report.sequence - 1 - (0 if is_first else sequence)
        self._last_report = (
            report.upstream_id,
            report.born_ms,
            report.sequence,
            now,
        )
        if missed > 0:
            interval_s = 0.0 if is_first else now - received_at
            emit(
                ReportsMissed(
                    report.upstream_id,
                    missed,
                    report.sequence,
                    report.born_ms,
                    round(interval_s, 3),
                )
            )

    def _update(
        self,
        state: UpstreamState,
        upstream_id: str,
        service: str,
        slots: int,
        *,
        cause: str,
        is_new_version: bool = False,
    ) -> None:
        previous = (self.state, self.upstream_id, self.service, self.slots)
        if (state, upstream_id, service, slots) == previous and not is_new_version:
            return
        self.state = state
        self.upstream_id = upstream_id
        self.service = service
        self.slots = slots
        emit(
            UpstreamChanged(
                upstream_id,
                service,
                previous[0],
                state,
                cause,
                self._sequence,
                self._born_ms,
                slots,
            )
        )
        self._on_change()


def _has_left(
    record: UpstreamRecord | None, found: ReadyUpstream | LocalUpstream
) -> bool:
    """Return whether `record` says that the process of `found` is leaving."""
    return (
        record is not None
        and record.state is UpstreamState.DRAINING
        and record.upstream_id == found.upstream_id
        and (not record.born_ms or found.born_ms <= record.born_ms)
    )
