"""Bounded buffer of a node's recent decisions with their causes."""

from collections import deque
from dataclasses import dataclass, fields
from itertools import count

from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, number_of

# An entry takes about 400 bytes, so the buffer stays below 1 MB.
MAX_ENTRIES = 2000


@dataclass(frozen=True, slots=True)
class Decision:
    """One recorded decision.

    Attributes
    ----------
    sequence : int
        Sequence number of the decision on this node, from 1.
    instant : float
        Time of the local clock in seconds.
    """

    sequence: int
    instant: float
    event_number: int
    event_name: str
    cause: str
    node_id: str
    service_id: str
    version: int
    details: str


class DecisionRecord:
    """Ring buffer of decisions, which drops the oldest entry when it is full.

    Parameters
    ----------
    clock : Clock
        Source of the decision times.
    max_entries : int
        Capacity of the buffer.
    """

    def __init__(self, clock: Clock, *, max_entries: int = MAX_ENTRIES):
        self._clock = clock
        self._decisions: deque[Decision] = deque(maxlen=max_entries)
        self._sequences = count(1)

    def add(
        self,
        event: Event,
        *,
        cause: str,
        node_id: str = "",
        service_id: str = "",
        version: int = 0,
    ) -> None:
        """Log `event` and record it with its cause."""
        emit(event)
        details = " ".join(f"{f.name}={getattr(event, f.name)}" for f in fields(event))
        self._decisions.append(
            Decision(
                sequence=next(self._sequences),
                instant=self._clock.now(),
                event_number=number_of(type(event)),
                event_name=type(event).__name__,
                cause=cause,
                node_id=node_id,
                service_id=service_id,
                version=version,
                details=details,
            )
        )

    def decisions(
        self,
        *,
        node_id: str | None = None,
        service_id: str | None = None,
        version: int | None = None,
        limit: int = 200,
    ) -> tuple[Decision, ...]:
        """Return the latest decisions that match all given filters, oldest first.

        Parameters
        ----------
        limit : int
            Maximum number of decisions to return.
        """
        matching = [
            decision
            for decision in self._decisions
            if node_id in (None, decision.node_id)
            and service_id in (None, decision.service_id)
            and version in (None, decision.version)
        ]
        return tuple(matching[-limit:]) if limit > 0 else ()

    def age_s(self, decision: Decision) -> float:
        """Return the age of a decision in seconds."""
        return self._clock.now() - decision.instant
