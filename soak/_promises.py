"""What callers and upstreams may rely on, checked against the history of a run."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

# A request may reach an upstream this long after its drain was acknowledged.
DRAIN_S = 2.0
# Bounds of the grace period within which a stop has to answer all requests.
STOP_GRACE_S = 6.0
# A fault disturbs the node for this long after its end.
SETTLE_S = 3.0
MAX_NODE_MB = 200.0
# A request sent so shortly before the end of its connection may not have been read.
LOSS_SLACK_S = 0.2


@dataclass(slots=True)
class Attempt:
    """A request as its caller saw it.

    Attributes
    ----------
    sent_at, last_byte_at : float
        Time of the first and of the last byte; 0 if it was not sent.
    ended_at : float
        End of the answer, or of the connection if there was no whole answer.
    status : int
        0 if there was no whole answer.
    connection, position : int
        Number of the connection of this caller, and of the request on it.
    is_given_up : bool
        Whether the caller closed the connection because no answer came in time.
    is_after_close : bool
        Whether an earlier answer on the connection announced its close.
    """

    request_id: str
    node_id: str
    is_safe: bool
    sent_at: float = 0.0
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    seal: str = ""
    body: bytes = b""
    connection: int = 0
    position: int = 1
    payload: bytes = b""
    encoding: str = ""
    is_given_up: bool = False
    is_after_close: bool = False

    @property
    def place(self) -> str:
        """Return where the request was sent, for reports."""
        return (
            f"{self.request_id} ({self.encoding}, number {self.position} on connection "
            f"{self.connection} to {self.node_id})"
        )


@dataclass(slots=True)
class Run:
    """A request that an upstream began to run.

    Attributes
    ----------
    process : str
        Process of the upstream; several can have the same upstream id.
    """

    request_id: str
    process: str
    at: float


@dataclass(slots=True)
class History:
    """Everything that was seen during a run.

    Attributes
    ----------
    drained_at : dict
        Time of the acknowledgement of a drain or leave, by process.
    stops : list
        Node and time of each planned stop.
    disturbed : list
        Begin and end of each unplanned fault.
    versions_by_process : dict
        Versions that each process put in force, in order.
    own_exits, unready : list
        Nodes whose process ended by itself, or that did not serve at the end.
    peak_mb_by_process : dict
        Largest memory of each process.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    stops: list[tuple[str, float]] = field(default_factory=list)
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    versions_by_process: dict[str, list[int]] = field(default_factory=dict)
    own_exits: list[str] = field(default_factory=list)
    unready: list[str] = field(default_factory=list)
    peak_mb_by_process: dict[str, float] = field(default_factory=dict)


Promise = Callable[[History], Iterator[str]]
promises_by_name: dict[str, Promise] = {}


def register_promise(promise: Promise) -> Promise:
    """Register a check that yields a text for each violation."""
    promises_by_name[promise.__name__] = promise
    return promise


@register_promise
def whole_own_answers(history: History) -> Iterator[str]:
    """Yield successes that are not the whole answer to their request."""
    for attempt in history.attempts:
        if attempt.status == 200 and (
            attempt.seal != f"seal-{attempt.request_id}"
            or attempt.request_id.encode() not in attempt.body
            or not attempt.body.endswith(attempt.payload)
        ):
            yield f"{attempt.request_id} got {attempt.seal} {attempt.body[:60]!r}"


@register_promise
def unsafe_at_most_once(history: History) -> Iterator[str]:
    """Yield unsafe requests that ran more than once."""
    counts = Counter(run.request_id for run in history.runs)
    for attempt in history.attempts:
        if not attempt.is_safe and counts[attempt.request_id] > 1:
            yield f"{attempt.request_id} ran {counts[attempt.request_id]} times"


@register_promise
def refused_did_not_run(history: History) -> Iterator[str]:
    """Yield unsafe requests that were refused as not run and ran."""
    ran = {run.request_id for run in history.runs}
    for attempt in history.attempts:
        is_refused = attempt.status in (408, 421, 429, 503)
        if not attempt.is_safe and is_refused and attempt.request_id in ran:
            yield f"{attempt.request_id} got {attempt.status} and ran"


@register_promise
def nothing_after_drain(history: History) -> Iterator[str]:
    """Yield requests that reached an upstream long after its drain or leave."""
    for run in history.runs:
        acknowledged_at = history.drained_at.get(run.process)
        if acknowledged_at is not None and run.at > acknowledged_at + DRAIN_S:
            yield f"{run.request_id} at {run.process} {run.at - acknowledged_at}"


@register_promise
def stops_cut_nothing(history: History) -> Iterator[str]:
    """Yield requests that ran and that a planned stop in calm left unanswered."""
    ran = {run.request_id for run in history.runs}
    for node_id, stopped_at in history.stops:
        ends_at = stopped_at + STOP_GRACE_S
        if any(
            begin < ends_at + 1 and end > stopped_at - SETTLE_S
            for begin, end in history.disturbed
        ):
            continue
        for attempt in history.attempts:
            if attempt.node_id != node_id or attempt.request_id not in ran:
                continue
            is_near = stopped_at - SETTLE_S <= attempt.sent_at <= ends_at
            if not attempt.status and is_near:
                yield f"{attempt.place} cut {attempt.ended_at - stopped_at:.2f} s after"


@register_promise
def sent_requests_are_answered(history: History) -> Iterator[str]:
    """Yield requests that were sent in calm well before their connection was closed."""
    for attempt in history.attempts:
        is_cut = not attempt.status and attempt.last_byte_at and attempt.ended_at
        if not is_cut or attempt.is_given_up or not _is_calm(history, attempt):
            continue
        waited_s = attempt.ended_at - attempt.last_byte_at
        if waited_s > LOSS_SLACK_S:
            yield f"{attempt.place} closed {waited_s:.2f} s after its last byte"


@register_promise
def nothing_runs_after_announced_close(history: History) -> Iterator[str]:
    """Yield requests that ran although an earlier answer announced the close."""
    ran_at = {run.request_id: run.at for run in history.runs}
    for attempt in history.attempts:
        if attempt.is_after_close and attempt.request_id in ran_at:
            after_s = ran_at[attempt.request_id] - attempt.ended_at
            yield f"{attempt.place} ran {after_s:+.2f} s from the close"


@register_promise
def planned_faults_leave_outcomes_known(history: History) -> Iterator[str]:
    """Yield requests with an unknown outcome although no unplanned fault was near."""
    for attempt in history.attempts:
        is_unknown = attempt.status in (400, 499, 500, 502, 504)
        if is_unknown and _is_calm(history, attempt):
            yield f"{attempt.place} got {attempt.status}"


def _is_calm(history: History, attempt: Attempt) -> bool:
    """Return whether no unplanned fault was near an attempt."""
    return not any(
        begin < attempt.ended_at and end > attempt.sent_at - SETTLE_S
        for begin, end in history.disturbed
    )


@register_promise
def versions_never_back(history: History) -> Iterator[str]:
    """Yield processes that went back to an earlier version."""
    for process, versions in history.versions_by_process.items():
        if versions != sorted(versions):
            yield f"{process} served {versions}"


@register_promise
def processes_stay(history: History) -> Iterator[str]:
    """Yield processes that ended by themselves, did not recover or grew too large."""
    yield from (f"{node_id} ended by itself" for node_id in history.own_exits)
    yield from (f"{node_id} does not serve" for node_id in history.unready)
    for process, peak_mb in history.peak_mb_by_process.items():
        if peak_mb > MAX_NODE_MB:
            yield f"{process} used {peak_mb:.0f} MB"


def violations_of(history: History) -> dict[str, list[str]]:
    """Return the texts of all violations, by promise."""
    found = {name: list(check(history)) for name, check in promises_by_name.items()}
    return {name: texts for name, texts in found.items() if texts}
