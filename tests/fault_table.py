"""Fault table of calls: which outcome each fault requires.

`tests/test_fault_table.py` runs each row on real sockets; `tools/fault_table.py` writes
the rows to docs/faults.md.
"""

from dataclasses import dataclass
from enum import StrEnum


class Interface(StrEnum):
    """Where the fault occurs."""

    CALLER = "caller"
    UPSTREAM = "upstream"
    NODE = "node to node"
    STORE = "store"


class Fault(StrEnum):
    """What happens."""

    REFUSE = "refuse"
    RESET = "reset"
    DELAY = "delay"
    HALF_ANSWER = "half an answer"
    CRASH_BEFORE = "crash before running"
    CRASH_AFTER = "crash after running"
    FREEZE = "freeze"
    NODE_KILL = "node kill"
    LEASE_LAPSE = "lease lapse"


class Step(StrEnum):
    """Step of the call at which it happens."""

    CONNECT = "connect"
    REQUEST = "request"
    CLAIM = "claim"
    WRITE = "write to the upstream"
    RUN = "run"
    ANSWER = "answer"


class Kind(StrEnum):
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
        when its caller is.
    runs : int
        Runs of the request in all upstreams.
    retry : str
        Required outcome of a second attempt with the same key.
    runs_after_retry : int
        Runs after that attempt.
    why_not_run : str
        Why there is no contract test of the row; empty when there is one.
    """

    interface: Interface
    fault: Fault
    step: Step
    kind: Kind
    outcome: str
    runs: int
    retry: str = ""
    runs_after_retry: int = 0
    why_not_run: str = ""

    @property
    def name(self) -> str:
        """Name of the row's test."""
        parts = (self.interface, self.fault, self.step, self.kind)
        return "_".join(part.value.replace(" ", "_") for part in parts)


def _rows(
    interface, fault, step, *, repeatable=None, keyed=None, not_keyed=None, **more
):
    kinds = {
        Kind.REPEATABLE: repeatable,
        Kind.KEYED: keyed,
        Kind.NOT_KEYED: not_keyed,
    }
    return [
        FaultRow(interface, fault, step, kind, *required, **more)
        for kind, required in kinds.items()
        if required is not None
    ]


def _same(interface, fault, step, outcome="complete", runs=1, retry="complete"):
    """Rows of a fault with the same requirement for each kind of request."""
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
    # The caller goes away or is slow.
    *_same(Interface.CALLER, Fault.RESET, Step.REQUEST, "gone", 0),
    *_same(Interface.CALLER, Fault.RESET, Step.RUN, "gone", 1),
    *_same(Interface.CALLER, Fault.DELAY, Step.REQUEST),
    *_same(Interface.CALLER, Fault.FREEZE, Step.ANSWER, "gone", 1),
    # The upstream refuses, fails or is slow.
    *_same(Interface.UPSTREAM, Fault.REFUSE, Step.CONNECT),
    *_same(Interface.UPSTREAM, Fault.REFUSE, Step.REQUEST),
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
    *_same(Interface.UPSTREAM, Fault.DELAY, Step.RUN),
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
    # The link to the other node, or that node, fails.
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
    *_same(Interface.NODE, Fault.DELAY, Step.REQUEST),
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
        why_not_run=NEEDS_PROCESSES,
    ),
    *_rows(
        Interface.NODE,
        Fault.FREEZE,
        Step.RUN,
        repeatable=("complete", 2),
        keyed=("unknown", 1, "unknown", 1),
        not_keyed=("unknown", 1),
        why_not_run=NEEDS_PROCESSES,
    ),
    # Calls need no store.
    *_same(Interface.STORE, Fault.REFUSE, Step.CLAIM),
    *_same(Interface.STORE, Fault.DELAY, Step.CLAIM),
    *_same(Interface.STORE, Fault.FREEZE, Step.CLAIM),
)
