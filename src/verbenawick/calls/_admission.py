"""Admission control for the local upstream: a slot limit and a bounded queue."""

from bisect import insort
from dataclasses import dataclass, field
from itertools import count
from typing import NoReturn

from eventlet.event import Event

from verbenawick.calls._table import Criticality, ServicePolicy
from verbenawick.errors import (
    CallError,
    DeadlineUnreachableError,
    DrainingError,
    QueueFullError,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Weight of a new sample in the moving average of the service time, which thus covers
# about the last 20 calls.
SERVICE_TIME_WEIGHT = 0.05

# A call is sent to a busy upstream only if the time to its deadline exceeds the
# average service time by this many mean deviations. A call that times out has an
# unknown outcome and wastes its slot; a refused call is known not to have run.
DEADLINE_MARGIN_DEVIATIONS = 2.0

# Fraction of the average service time that must remain for a call to an idle upstream.
# Such a call delays no other call, and it measures whether the upstream became faster.
IDLE_MIN_SERVICE_FRACTION = 0.5

QUEUED = register_metric(
    "gateway.queued", MetricKind.COUNTER, "calls", "Calls that waited for a slot"
)
QUEUE_FULL = register_metric(
    "gateway.queue_full", MetricKind.COUNTER, "calls", "Calls refused by a full queue"
)
QUEUE_EXPIRED = register_metric(
    "gateway.queue_expired",
    MetricKind.COUNTER,
    "calls",
    "Calls dropped because they would not meet their deadline",
)


@dataclass(eq=False, slots=True)
class _Waiter:
    criticality: Criticality
    arrival_order: int
    deadline: float
    admitted: Event = field(default_factory=Event)

    def sort_key(self) -> tuple[int, int]:
        """Return the queue position: by criticality, highest first, then by arrival."""
        return (-self.criticality, self.arrival_order)


class Admission:
    """Limits the concurrent calls of one upstream and queues the calls above the limit.

    `enter` returns once the caller holds a slot; `leave` frees it. The number of slots
    in use never exceeds `slots`.

    Parameters
    ----------
    slots : int
        Maximum number of calls that the upstream runs concurrently.
    """

    def __init__(self, *, slots: int, clock: Clock, metrics: MetricSet):
        self._slots = slots
        self._clock = clock
        self._metrics = metrics
        self._in_use = 0
        self._waiters: list[_Waiter] = []
        self._next_arrival_order = count().__next__
        self._service_time_s = 0.0
        self._deviation_s = 0.0
        self._is_draining = False

    @property
    def in_use(self) -> int:
        """Return the number of slots in use."""
        return self._in_use

    @property
    def queue_length(self) -> int:
        """Return the number of queued calls."""
        return len(self._waiters)

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return self._slots

    def enter(
        self, *, criticality: Criticality, deadline: float, policy: ServicePolicy
    ) -> None:
        """Acquire a slot, queueing for one within the limits of `policy`.

        Raises
        ------
        QueueFullError, DeadlineUnreachableError, DrainingError
            The call got no slot and must not be sent.
        """
        if self._is_draining:
            raise DrainingError("gateway is draining", step="admission.enter")
        if self._in_use or self._waiters:
            self._check_deadline(deadline)
        else:
            self._check_deadline_when_idle(deadline)
        if self._in_use < self._slots and not self._waiters:
            self._in_use += 1
            return
        self._wait(criticality, deadline, policy)

    def leave(
        self, *, service_s: float | None = None, is_complete: bool = True
    ) -> None:
        """Free a slot and admit the next call.

        Parameters
        ----------
        service_s : float
            Time the upstream took; None if it did not run the call.
        is_complete : bool
            Whether the call completed. Otherwise `service_s` is a lower bound, which is
            recorded only if it is above the average. Without these samples, only the
            fast calls of an upstream that becomes slow would enter the average.
        """
        if service_s is not None and (is_complete or service_s > self._service_time_s):
            self._record_service_time(service_s)
        self._in_use -= 1
        self._admit_next()

    def drain(self) -> None:
        """Refuse queued and new calls; calls that hold a slot run to completion."""
        self._is_draining = True
        for waiter in self._waiters:
            self._refuse(waiter, DrainingError("gateway is draining", step="admission"))
        self._waiters.clear()

    def resume(self) -> None:
        """Accept calls again."""
        self._is_draining = False

    def _record_service_time(self, service_s: float) -> None:
        if not self._service_time_s:
            self._service_time_s = service_s
        difference_s = service_s - self._service_time_s
        self._service_time_s += SERVICE_TIME_WEIGHT * difference_s
        self._deviation_s += SERVICE_TIME_WEIGHT * (
            abs(difference_s) - self._deviation_s
        )

    def _wait(self, criticality, deadline, policy) -> None:
        waiter = _Waiter(criticality, self._next_arrival_order(), deadline)
        calls_ahead = sum(w.sort_key() < waiter.sort_key() for w in self._waiters)
        self._check_deadline(deadline, wait_s=self._expected_wait_s(calls_ahead + 1))
        self._ensure_queue_space(waiter, policy)
        insort(self._waiters, waiter, key=_Waiter.sort_key)
        self._metrics.count(QUEUED)
        # Stop waiting while a refusal can still reach the caller before its deadline.
        longest_wait_s = deadline - self._required_time_s() - self._clock.now()
        wait_s = min(policy.max_queue_s, longest_wait_s)
        try:
            is_admitted = waiter.admitted.wait(timeout=max(wait_s, 0.0))
        except CallError:
            raise
        except BaseException:
            self._discard_waiter(waiter)
            raise
        if not is_admitted:
            self._discard_waiter(waiter)
            self._metrics.count(QUEUE_EXPIRED)
            raise QueueFullError("no slot became free in time", step="admission.wait")
        self._recheck_after_wakeup(deadline)

    def _recheck_after_wakeup(self, deadline: float) -> None:
        """Free the granted slot if the deadline can no longer be met.

        In a busy process, a green thread may run some 10 ms after it was woken.
        """
        try:
            self._check_deadline(deadline)
        except DeadlineUnreachableError:
            self._in_use -= 1
            self._admit_next()
            raise

    def _ensure_queue_space(self, waiter: _Waiter, policy: ServicePolicy) -> None:
        if len(self._waiters) < policy.max_queue_length:
            return
        self._metrics.count(QUEUE_FULL)
        error = QueueFullError("queue is full", step="admission.enter")
        last = self._waiters[-1] if self._waiters else None
        if last is None or last.criticality >= waiter.criticality:
            raise error
        self._waiters.pop()
        self._refuse(last, error)

    def _required_time_s(self) -> float:
        return self._service_time_s + DEADLINE_MARGIN_DEVIATIONS * self._deviation_s

    def _expected_wait_s(self, calls_ahead: int) -> float:
        return calls_ahead / self._slots * self._service_time_s

    def _check_deadline(self, deadline: float, *, wait_s: float = 0.0) -> None:
        if deadline - self._clock.now() <= wait_s + self._required_time_s():
            self._raise_unreachable()

    def _check_deadline_when_idle(self, deadline: float) -> None:
        minimum_s = IDLE_MIN_SERVICE_FRACTION * self._service_time_s
        if deadline - self._clock.now() > minimum_s:
            return
        # If the average is so high that every call is refused, no new samples arrive
        # and it would never change. Lowering it on each refusal prevents that.
        self._service_time_s -= SERVICE_TIME_WEIGHT * self._service_time_s
        self._raise_unreachable()

    def _raise_unreachable(self) -> NoReturn:
        self._metrics.count(QUEUE_EXPIRED)
        raise DeadlineUnreachableError(
            "deadline is closer than the expected wait and service time",
            step="admission.enter",
        )

    def _admit_next(self) -> None:
        while self._waiters and self._in_use < self._slots:
            waiter = self._waiters.pop(0)
            try:
                self._check_deadline(waiter.deadline)
            except DeadlineUnreachableError as error:
                self._refuse(waiter, error)
                continue
            self._in_use += 1
            waiter.admitted.send(True)

    def _discard_waiter(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.admitted.ready() and not waiter.admitted.has_exception():
            # The slot was granted after the wait had ended; grant it to the next call.
            self._in_use -= 1
            self._admit_next()

    @staticmethod
    def _refuse(waiter: _Waiter, error: CallError) -> None:
        waiter.admitted.send_exception(error)
