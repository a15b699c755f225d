"""Fault table of calls: the required outcome of each fault.

`tests/test_fault_table.py` tests the rows on real sockets; `tools/fault_table.py`
writes them to docs/faults.md.
"""

from dataclasses import dataclass
from enum import StrEnum


class Interface(StrEnum):
    """Interface at which the fault occurs."""

    CALLER = "caller"
    UPSTREAM = "upstream"
    NODE = "node to node"
    STORE = "store"


class Fault(StrEnum):
    """Kind of fault."""

    REFUSE = "refuse"
    RESET = "reset"
    DELAY = "delay"
    HALF_HEAD = "half a head"
    ENDLESS_HEAD = "head without end"
    HALF_ANSWER = "half an answer"
    CRASH_BEFORE = "crash before running"
    CRASH_AFTER = "crash after running"
    FREEZE = "freeze"
    NODE_KILL = "node kill"
    LEASE_LAPSE = "lease lapse"


class Step(StrEnum):
    """Step of the call at which the fault occurs."""

    CONNECT = "connect"
    REQUEST = "request"
    CLAIM = "claim"
    WRITE = "write to the upstream"
    RUN = "run"
    ANSWER = "answer"


class RequestKind(StrEnum):
    """Kind of request."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    NOT_KEYED = "not keyed"


@dataclass(frozen=True, slots=True)
class FaultRow:
    """One row of the table.

    Attributes
    ----------
    outcome : str
        Required `Verbenawick-Outcome` of the call that meets the fault; ``"gone"``
        if its caller no longer reads the response.
    runs : int
        Number of runs of the request, summed over all upstreams.
    retry : str
        Required outcome of a second attempt with the same key.
    runs_after_retry : int
        Number of runs after that attempt.
    untested_reason : str
        Why the row has no contract test; empty if it has one.
    """

    interface: Interface
    fault: Fault
    step: Step
    kind: RequestKind
    outcome: str
    runs: int
    retry: str = ""
    runs_after_retry: int = 0
    untested_reason: str = ""

    @property
    def name(self) -> str:
        """Suffix of the name of the test of the row."""
        parts = (self.interface, self.fault, self.step, self.kind)
        return "_".join(part.value.replace(" ", "_") for part in parts)


def _rows(
    interface, fault, step, *, repeatable=None, keyed=None, not_keyed=None, **more
):
    kinds = {
        RequestKind.REPEATABLE: repeatable,
        RequestKind.KEYED: keyed,
        RequestKind.NOT_KEYED: not_keyed,
    }
    return [
        FaultRow(interface, fault, step, kind, *required, **more)
        for kind, required in kinds.items()
        if required is not None
    ]


def _rows_for_all_kinds(
    interface, fault, step, outcome="complete", runs=1, retry="complete"
):
    """Return rows with the same requirement for each kind of request."""
    return _rows(
        interface,
        fault,
        step,
        repeatable=(outcome, runs),
        keyed=(outcome, runs, retry, 1),
        not_keyed=(outcome, runs),
    )


NEEDS_PROCESSES = (
    "needs a stopped process of its own; tests/claim_simulation.py simulates it "
    "without sockets"
)

ROWS: tuple[FaultRow, ...] = (
    # The caller disconnects, stops reading or is slow.
    *_rows_for_all_kinds(Interface.CALLER, Fault.RESET, Step.REQUEST, "gone", 0),
    *_rows_for_all_kinds(Interface.CALLER, Fault.RESET, Step.RUN, "gone", 1),
    *_rows_for_all_kinds(Interface.CALLER, Fault.DELAY, Step.REQUEST),
    *_rows_for_all_kinds(Interface.CALLER, Fault.FREEZE, Step.ANSWER, "gone", 1),
    # The upstream refuses, fails or is slow.
    *_rows_for_all_kinds(Interface.UPSTREAM, Fault.REFUSE, Step.CONNECT),
    *_rows_for_all_kinds(Interface.UPSTREAM, Fault.REFUSE, Step.REQUEST),
    *_rows(
        Interface.UPSTREAM,
        Fault.RESET,
        Step.REQUEST,
        repeatable=("complete", 1),
        keyed=("unknown", 0, "unknown", 0),
        not_keyed=("unknown", 0),
    ),
    *_rows(
        Interface.UPSTREAM,
        Fault.RESET,
        Step.ANSWER,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows_for_all_kinds(Interface.UPSTREAM, Fault.DELAY, Step.RUN),
    *_rows(
        Interface.UPSTREAM,
        Fault.HALF_HEAD,
        Step.ANSWER,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows(
        Interface.UPSTREAM,
        Fault.ENDLESS_HEAD,
        Step.ANSWER,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows(
        Interface.UPSTREAM,
        Fault.HALF_ANSWER,
        Step.ANSWER,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows(
        Interface.UPSTREAM,
        Fault.CRASH_BEFORE,
        Step.RUN,
        repeatable=("complete", 1),
        keyed=("unknown", 0, "unknown", 0),
        not_keyed=("unknown", 0),
    ),
    *_rows(
        Interface.UPSTREAM,
        Fault.CRASH_AFTER,
        Step.ANSWER,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows(
        Interface.UPSTREAM,
        Fault.FREEZE,
        Step.RUN,
        repeatable=("complete", 1),
        keyed=("unknown", 0, "unknown", 0),
        not_keyed=("unknown", 0),
    ),
    # The link to the other node or that node itself fails.
    *_rows(
        Interface.NODE,
        Fault.REFUSE,
        Step.CONNECT,
        repeatable=("complete", 1),
        keyed=("not-run", 0, "unknown", 0),
        not_keyed=("complete", 1),
    ),
    *_rows(
        Interface.NODE,
        Fault.RESET,
        Step.RUN,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "complete", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows_for_all_kinds(Interface.NODE, Fault.DELAY, Step.REQUEST),
    *_rows(
        Interface.NODE,
        Fault.HALF_ANSWER,
        Step.ANSWER,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "complete", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows(
        Interface.NODE,
        Fault.FREEZE,
        Step.REQUEST,
        repeatable=("complete", 1),
        keyed=("unknown", 0, "unknown", 0),
        not_keyed=("unknown", 0),
    ),
    *_rows(
        Interface.NODE,
        Fault.NODE_KILL,
        Step.WRITE,
        keyed=("unknown", 0, "unknown", 0),
    ),
    *_rows(
        Interface.NODE,
        Fault.NODE_KILL,
        Step.RUN,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
    ),
    *_rows(
        Interface.NODE,
        Fault.LEASE_LAPSE,
        Step.CLAIM,
        repeatable=("complete", 1),
        keyed=("not-run", 0, "unknown", 0),
        not_keyed=("complete", 1),
    ),
    *_rows(
        Interface.NODE,
        Fault.LEASE_LAPSE,
        Step.WRITE,
        keyed=("not-run", 0, "unknown", 0),
    ),
    *_rows(
        Interface.NODE,
        Fault.FREEZE,
        Step.WRITE,
        keyed=("unknown", 0, "unknown", 0),
        untested_reason=NEEDS_PROCESSES,
    ),
    *_rows(
        Interface.NODE,
        Fault.FREEZE,
        Step.RUN,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
        untested_reason=NEEDS_PROCESSES,
    ),
    # Faults of the store do not affect calls.
    *_rows_for_all_kinds(Interface.STORE, Fault.REFUSE, Step.CLAIM),
    *_rows_for_all_kinds(Interface.STORE, Fault.DELAY, Step.CLAIM),
    *_rows_for_all_kinds(Interface.STORE, Fault.FREEZE, Step.CLAIM),
)
