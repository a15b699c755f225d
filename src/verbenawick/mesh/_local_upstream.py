"""State of the local upstream, derived from status reports and health probes.

Only the node on the same VM sends requests to an upstream, so this state alone decides
whether new work reaches it: after a leave is acknowledged nothing more is sent,
whatever the other nodes know.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from verbenawick.mesh._model import StatusReport, UpstreamState
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


class LocalUpstream:
    """State of the upstream on this VM.

    Parameters
    ----------
    address : str
        Address at which the upstream listens.
    on_change : callable
        Called after each change of state, id, service or slots.
    """

    def __init__(self, *, address: str, service: str, on_change: Callable[[], None]):
        self.address = address
        self.service = service
        self.upstream_id = ""
        self.state = UpstreamState.UNKNOWN
        self.slots = DEFAULT_SLOTS
        self._on_change = on_change
        self._sequence = -1
        self._born_ms = 0
        self._departures_by_id: OrderedDict[str, tuple[int, float]] = OrderedDict()
        # Upstream id, start, sequence and time of the last report; unlike the fields
        # above, never reset.
        self._last_report = ("", 0, 0, 0.0)

    @property
    def accepts_work(self) -> bool:
        """Return whether requests may be sent to the upstream."""
        return self.state is UpstreamState.READY

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
        is_same = (report.upstream_id, report.born_ms) == (
            self.upstream_id,
            self._born_ms,
        )
        state = UpstreamState.DRAINING if report.is_draining else UpstreamState.READY
        if is_same and self.state is UpstreamState.DRAINING:
            state = UpstreamState.DRAINING
        self._sequence = report.sequence
        self._born_ms = report.born_ms
        self._update(
            state, report.upstream_id, report.service, report.slots, cause="report"
        )

    def on_leave(self, upstream_id: str, now: float) -> None:
        """Handle an upstream's announcement that it leaves permanently."""
        born_ms = self._born_ms if upstream_id == self.upstream_id else 0
        self._departures_by_id[upstream_id] = (born_ms, now + LATE_REPORT_WINDOW_S)
        while len(self._departures_by_id) > MAX_DEPARTURES:
            self._departures_by_id.popitem(last=False)
        if upstream_id == self.upstream_id or not self.upstream_id:
            self._update(
                UpstreamState.GONE,
                upstream_id,
                self.service,
                self.slots,
                cause="leave",
            )

    def on_probe(self, upstream_id: str, slots: int) -> None:
        """Apply a successful health probe; ignored unless the state is unknown."""
        if self.state is not UpstreamState.UNKNOWN:
            return
        if upstream_id in self._departures_by_id:
            return
        self._update(
            UpstreamState.READY,
            upstream_id,
            self.service,
            slots or self.slots,
            cause="probe",
        )

    def on_other_upstream(self, upstream_id: str) -> None:
        """Handle evidence that requests for `upstream_id` reach another upstream."""
        if upstream_id == self.upstream_id and self.state is UpstreamState.READY:
            self._sequence = -1
            self._update(
                UpstreamState.UNKNOWN, "", self.service, self.slots, cause="other"
            )

    def change_address(self, address: str, service: str) -> None:
        """Apply changed settings; at a new address the upstream is unknown at first."""
        if address == self.address:
            return
        self.address = address
        self._sequence = -1
        self._update(UpstreamState.UNKNOWN, "", service, self.slots, cause="settings")

    def _reason_to_ignore(self, report: StatusReport, now: float) -> str:
        if report.address != self.address:
            return "address"
        departed = self._departures_by_id.get(report.upstream_id)
        if departed is not None:
            born_ms, until = departed
            if now < until and report.born_ms <= born_ms:
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
        self, state: UpstreamState, upstream_id: str, service: str, slots: int, *, cause
    ) -> None:
        previous = (self.state, self.upstream_id, self.service, self.slots)
        if (state, upstream_id, service, slots) == previous:
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
