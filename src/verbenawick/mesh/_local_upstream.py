"""State of the local upstream, derived from status reports and health probes.

Only the node on the same VM sends requests to an upstream, so this state alone decides
whether new work reaches it: after a leave is acknowledged nothing more is sent,
whatever the other nodes know. A restarted node learns from its record in the store
which leaves its previous process acknowledged.

A leave or a drain binds until a process that started later reports. Reports can arrive
late by any time, a leave does not contain the start of its process, and start times are
read from clocks that step, so neither their order nor a time limit tells a later
process from the one that left. Such a report is used only if the process at the address
answers a health probe under the reported id: one that drains or leaves does not.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from verbenawick.mesh._model import StatusReport, UpstreamRecord, UpstreamState
from verbenawick.runtime._events import Event, emit, register_event

# Number of slots assumed until a report or a probe contains it.
DEFAULT_SLOTS = 8
# Time after a leave during which reports are ignored, whatever a health probe says, if
# they are from the process known as the one that left, or if the process that served at
# the time of the leave still runs. It is limited because the leave itself may be a late
# one of an earlier process with the same id.
LATE_REPORT_WINDOW_S = 10.0
MAX_DEPARTURES = 64

Decision = TypeVar("Decision")


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


class AddressObserver(Protocol):
    """Evidence about the process that serves at the address of the upstream."""

    def is_healthy(self, upstream_id: str, service: str) -> bool:
        """Return whether it answers a health probe of `service` as `upstream_id`.

        May block for a fraction of a second.
        """
        ...

    def watch_process(self) -> None:
        """Observe the process that serves now; may block for a fraction of a second."""
        ...

    def is_watched_process_running(self) -> bool:
        """Return whether it is certain that the observed process still runs."""
        ...

    def stop_watching(self) -> None:
        """Stop observing the process."""
        ...


class LocalUpstream:
    """State of the upstream on this VM.

    Parameters
    ----------
    address : str
        Address at which the upstream listens.
    observer : AddressObserver
        Observes the process at that address.
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
        observer: AddressObserver,
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
        self._observer = observer
        self._on_change = on_change
        self._sequence = -1
        self._born_ms = 0
        self._departures_by_id: OrderedDict[str, tuple[int, float]] = OrderedDict()
        # Time up to which the observed process, if it runs, is the one that left.
        self._watched_until = 0.0
        # Counts what a decision that waits for a health probe must not miss.
        self._generation = 0
        self._awaits_record = awaits_record
        self._candidate: ReadyUpstream | None = None
        # Whether the candidate needs a successful health probe: its report may be late,
        # and no record tells whether it has left since.
        self._is_unconfirmed = False
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
        has_left, is_confirmed = self._decide(
            lambda: (self._has_left(record), self._is_candidate_confirmed())
        )
        found = self._usable_upstream()
        self._awaits_record = False
        if has_left:
            self._set_draining(record)
        elif found is not None and found is self._candidate:
            if is_confirmed:
                self._set_ready(found)
            else:
                self._is_unconfirmed = True

    def skip_restore(self) -> None:
        """Use an upstream that reported itself ready although the store is away.

        A health probe alone is no sufficient reason, since it does not tell the start
        of the process, by which other nodes know the one that left.
        """
        if self._candidate is not None and self._candidate.cause == "report":
            self.restore(None)

    def on_report(self, report: StatusReport, now: float) -> None:
        """Apply a status report; late reports and those of others are ignored."""
        reason = self._decide(lambda: self._reason_to_ignore(report, now))
        if reason:
            emit(
                ReportIgnored(
                    report.upstream_id, reason, report.sequence, report.born_ms
                )
            )
            return
        self._log_missed_reports(report, now)
        is_same_draining = (
            self.state is UpstreamState.DRAINING and self._is_known_process(report)
        )
        if report.is_draining or is_same_draining:
            self._clear_candidate()
            self._generation += 1
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
        self._note_departure(upstream_id, self._birth_of(upstream_id), now)
        if self._decide(lambda: self._is_leave_of_other(upstream_id)):
            return
        self._set_gone(upstream_id, self._birth_of(upstream_id), cause="leave")
        self._watched_until = now + LATE_REPORT_WINDOW_S
        self._observer.watch_process()

    def on_earlier_leave(self, upstream_id: str, born_ms: int, now: float) -> None:
        """Apply a leave that the previous process of this node acknowledged.

        Parameters
        ----------
        born_ms : int
            Start time of the process that left, 0 if unknown.
        """
        if self.is_leaving or self._decide(
            lambda: self._has_returned(upstream_id, born_ms)
        ):
            return
        self._note_departure(upstream_id, born_ms, now)
        found = self._usable_upstream()
        if found is not None and found.upstream_id == upstream_id:
            self._set_gone(upstream_id, born_ms or found.born_ms, cause="earlier leave")

    def on_probe(self, upstream_id: str, slots: int) -> None:
        """Apply a successful health probe; ignored unless the state is unknown."""
        if self.state is not UpstreamState.UNKNOWN:
            return
        if upstream_id in self._departures_by_id:
            return
        candidate = self._candidate
        if candidate is not None:
            if self._is_unconfirmed and candidate.upstream_id == upstream_id:
                self._set_ready(candidate)
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
        self._watched_until = 0.0
        self._observer.stop_watching()
        self._clear_candidate()
        self._forget_process()
        self._update(UpstreamState.UNKNOWN, "", service, self.slots, cause="settings")

    def _forget_process(self) -> None:
        """Reset what is known of the upstream's process; the next one is another."""
        self._sequence = -1
        self._born_ms = 0

    def _note_departure(self, upstream_id: str, born_ms: int, now: float) -> None:
        """Ignore late reports of a process from now on."""
        self._generation += 1
        self._departures_by_id[upstream_id] = (born_ms, now + LATE_REPORT_WINDOW_S)
        while len(self._departures_by_id) > MAX_DEPARTURES:
            self._departures_by_id.popitem(last=False)

    def _set_gone(self, upstream_id: str, born_ms: int, *, cause: str) -> None:
        self._clear_candidate()
        if (upstream_id, born_ms) != (self.upstream_id, self._born_ms) or not born_ms:
            self._sequence = -1
        self._born_ms = born_ms
        self._update(
            UpstreamState.GONE, upstream_id, self.service, self.slots, cause=cause
        )

    def _clear_candidate(self) -> None:
        self._candidate = None
        self._is_unconfirmed = False

    def _usable_upstream(self) -> "ReadyUpstream | LocalUpstream | None":
        """Return the upstream that is ready, or may become ready without a report."""
        if self._candidate is not None:
            return self._candidate
        return self if self.state is UpstreamState.READY else None

    def _decide(self, decision: Callable[[], Decision]) -> Decision:
        """Return a decision that nothing changed during its health probe."""
        while True:
            generation = self._generation
            result = decision()
            if generation == self._generation:
                return result

    def _has_left(self, record: UpstreamRecord | None) -> bool:
        """Return whether the ready upstream is the one whose leave is stored."""
        found = self._usable_upstream()
        if (
            found is None
            or record is None
            or record.state is not UpstreamState.DRAINING
        ):
            return False
        if found.upstream_id == record.upstream_id and found.born_ms in (
            0,
            record.born_ms,
        ):
            return True
        return not self._observer.is_healthy(found.upstream_id, found.service)

    def _is_candidate_confirmed(self) -> bool:
        """Return whether a health probe shows that the candidate is not leaving."""
        found = self._candidate
        return found is not None and (
            found.cause == "probe"
            or self._observer.is_healthy(found.upstream_id, found.service)
        )

    def _has_returned(self, upstream_id: str, born_ms: int) -> bool:
        """Return whether the ready upstream is a later process than one that left."""
        found = self._usable_upstream()
        return (
            found is not None
            and found.upstream_id == upstream_id
            and found.born_ms not in (0, born_ms)
            and self._observer.is_healthy(upstream_id, found.service)
        )

    def _is_leave_of_other(self, upstream_id: str) -> bool:
        """Return whether another upstream than the one that leaves is known here."""
        if self.upstream_id in ("", upstream_id):
            return False
        return self.is_leaving or self._is_current_healthy()

    def _is_current_healthy(self) -> bool:
        return self._observer.is_healthy(self.upstream_id, self.service)

    def _is_known_process(self, report: StatusReport) -> bool:
        """Return whether a report is certainly from the process that is known."""
        return (
            report.upstream_id == self.upstream_id
            and report.born_ms == self._born_ms != 0
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
        self._generation += 1
        self._candidate = found
        if is_first:
            self._on_change()

    def _set_ready(self, found: ReadyUpstream) -> None:
        if found.born_ms != self._born_ms:
            self._generation += 1
        self._sequence = found.sequence
        self._born_ms = found.born_ms
        self._clear_candidate()
        self._watched_until = 0.0
        self._observer.stop_watching()
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

    def _set_draining(self, record: UpstreamRecord) -> None:
        """Apply the stored leave of the upstream on this VM."""
        self._clear_candidate()
        self._sequence = -1
        self._born_ms = record.born_ms
        self._update(
            UpstreamState.DRAINING,
            record.upstream_id,
            record.service,
            record.slots,
            cause="record",
        )

    def _reason_to_ignore(self, report: StatusReport, now: float) -> str:
        if report.address != self.address:
            return "address"
        is_known = self._is_known_process(report)
        if is_known and report.sequence <= self._sequence:
            return "late"
        born_ms, until = self._departures_by_id.get(report.upstream_id, (0, 0.0))
        if now < until and report.born_ms == born_ms != 0:
            return "departed"
        if (
            self.state is UpstreamState.GONE
            and now < self._watched_until
            and self._observer.is_watched_process_running()
        ):
            return "departed"
        if report.is_draining:
            return self._reason_to_ignore_drain(report)
        if self.is_leaving or self._is_unconfirmed or self._may_have_left(report):
            is_draining = is_known and self.state is UpstreamState.DRAINING
            if is_draining or self._observer.is_healthy(
                report.upstream_id, report.service
            ):
                return ""
            return "no health probe answered"
        return "" if self._is_later(report) else "earlier process"

    def _reason_to_ignore_drain(self, report: StatusReport) -> str:
        """Return why a draining report does not apply, empty if it does.

        It applies unless it is certainly not from the process at the address: once it
        is acknowledged, nothing more may be sent to its sender.
        """
        if self.state is not UpstreamState.READY or self._is_later(report):
            return ""
        return "earlier process" if self._is_current_healthy() else ""

    def _may_have_left(self, report: StatusReport) -> bool:
        """Return whether a report may be from a process that left, by its id."""
        return (
            report.upstream_id in self._departures_by_id
            and report.upstream_id != self.upstream_id
        )

    def _is_later(self, report: StatusReport) -> bool:
        """Return whether a report seems to be newer than what is known."""
        if not self.upstream_id:
            return True
        if report.upstream_id != self.upstream_id:
            return report.born_ms >= self._born_ms
        return (report.born_ms, report.sequence) > (self._born_ms, self._sequence)

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
        self._generation += 1
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
