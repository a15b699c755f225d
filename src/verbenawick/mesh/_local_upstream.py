"""What a node believes about the upstream beside it, from reports and probes.

Only the node beside an upstream sends it requests, so this state alone decides whether
new work reaches it: once a leaving is acknowledged nothing more is sent, whatever the
other nodes know.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from verbenawick.mesh._model import StatusReport, UpstreamState
from verbenawick.runtime._events import Event, emit, register_event

# Assumed until a report or a probe says how many requests the upstream runs at once.
DEFAULT_SLOTS = 8
# A report that was under way when its sender left is not taken for a return during
# this time, seconds. Reports may be seconds late.
LATE_REPORT_S = 10.0
MAX_DEPARTED_KEPT = 64


@register_event(710)
@dataclass(frozen=True, slots=True)
class UpstreamChanged(Event):
    """The node changed its belief about the upstream beside it."""

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
    """A status report says nothing about the upstream that runs now."""

    upstream: str
    reason: str
    sequence: int
    born_ms: int


class LocalUpstream:
    """State of the upstream beside the node.

    Parameters
    ----------
    address : str
        Where the upstream of this VM listens.
    on_change : callable
        Told after each change of state, id, service or slots.
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

    @property
    def accepts_work(self) -> bool:
        """Return whether requests may be sent to the upstream."""
        return self.state is UpstreamState.READY

    def on_report(self, report: StatusReport, now: float) -> None:
        """Learn from a status report; late and foreign ones are ignored."""
        reason = self._reason_to_ignore(report, now)
        if reason:
            emit(
                ReportIgnored(
                    report.upstream_id, reason, report.sequence, report.born_ms
                )
            )
            return
        is_same = (report.upstream_id, report.born_ms) == (
            self.upstream_id,
            self._born_ms,
        )
        state = UpstreamState.DRAINING if report.is_draining else UpstreamState.READY
        if is_same and self.state is UpstreamState.DRAINING:
            state = UpstreamState.DRAINING
        self._sequence = report.sequence
        self._born_ms = report.born_ms
        self._become(
            state, report.upstream_id, report.service, report.slots, cause="report"
        )

    def on_leave(self, upstream_id: str, now: float) -> None:
        """Learn that an upstream leaves for good."""
        born_ms = self._born_ms if upstream_id == self.upstream_id else 0
        self._departures_by_id[upstream_id] = (born_ms, now + LATE_REPORT_S)
        while len(self._departures_by_id) > MAX_DEPARTED_KEPT:
            self._departures_by_id.popitem(last=False)
        if upstream_id == self.upstream_id or not self.upstream_id:
            self._become(
                UpstreamState.GONE,
                upstream_id,
                self.service,
                self.slots,
                cause="leave",
            )

    def on_probe(self, upstream_id: str, slots: int) -> None:
        """Learn from a good health answer; only before the first report."""
        if self.state is not UpstreamState.UNKNOWN:
            return
        if upstream_id in self._departures_by_id:
            return
        self._become(
            UpstreamState.READY,
            upstream_id,
            self.service,
            slots or self.slots,
            cause="probe",
        )

    def on_other_upstream(self, upstream_id: str) -> None:
        """Learn that requests for `upstream_id` meet another upstream."""
        if upstream_id == self.upstream_id and self.state is UpstreamState.READY:
            self._sequence = -1
            self._become(
                UpstreamState.UNKNOWN, "", self.service, self.slots, cause="other"
            )

    def move_to(self, address: str, service: str) -> None:
        """Follow changed settings; who listens at another address is yet unknown."""
        if address == self.address:
            return
        self.address = address
        self._sequence = -1
        self._become(UpstreamState.UNKNOWN, "", service, self.slots, cause="settings")

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

    def _become(
        self, state: UpstreamState, upstream_id: str, service: str, slots: int, *, cause
    ) -> None:
        earlier = (self.state, self.upstream_id, self.service, self.slots)
        if (state, upstream_id, service, slots) == earlier:
            return
        self.state = state
        self.upstream_id = upstream_id
        self.service = service
        self.slots = slots
        emit(
            UpstreamChanged(
                upstream_id,
                service,
                earlier[0],
                state,
                cause,
                self._sequence,
                self._born_ms,
                slots,
            )
        )
        self._on_change()
