"""Admission to the own upstream: exact slots and a bounded, ordered queue."""

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

# Weight of a new sample in the average service time: about the last 20 calls.
SERVICE_TIME_WEIGHT = 0.05

# Mean deviations above the average service time that have to remain for a call to be
# sent. A call that runs out of time ends as unknown and has used its slot for nothing;
# a refused one is known not to have run.
DEVIATIONS_LEFT = 2.0

# Share of the average service time that has to remain for a call to an idle upstream.
# Such a call delays no other one, and it shows whether the upstream became faster.
IDLE_SERVICE_SHARE = 0.5

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
    order: int
    deadline: float
    decided: Event = field(default_factory=Event)

    def sort_key(self) -> tuple[int, int]:
        """Return the position: high criticality first, then the order of arrival."""
        return (-self.criticality, self.order)


class Admission:
    """Slots of one upstream and the calls that wait for them.

    `enter` returns when the caller holds a slot; `leave` frees it. The number of slots
    in use never exceeds `slots`.

    Parameters
    ----------
    slots : int
        Calls that the upstream runs at the same time.
    """

    def __init__(self, *, slots: int, clock: Clock, metrics: MetricSet):
        self._slots = slots
        self._clock = clock
        self._metrics = metrics
        self._in_use = 0
        self._waiters: list[_Waiter] = []
        self._next_order = count().__next__
        self._service_time_s = 0.0
        self._deviation_s = 0.0
        self._is_draining = False

    @property
    def in_use(self) -> int:
        """Return the number of slots in use."""
        return self._in_use

    @property
    def queue_length(self) -> int:
        """Return the number of calls that wait."""
        return len(self._waiters)

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return self._slots

    def enter(
        self, *, criticality: Criticality, deadline: float, policy: ServicePolicy
    ) -> None:
        """Take a slot, waiting for one within the limits of `policy`.

        Raises
        ------
        QueueFullError, DeadlineUnreachableError, DrainingError
            The call holds no slot and must not be sent.
        """
        if self._is_draining:
            raise DrainingError("gateway is draining", step="admission.enter")
        if self._in_use or self._waiters:
            self._check_reachable(deadline)
        else:
            self._check_idle(deadline)
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
            Time the upstream took; None when it did not run the call.
        is_complete : bool
            Whether the call ran to its end. Otherwise `service_s` is a lower bound,
            which counts only above the average: without these samples an upstream
            that becomes slow would be measured by its fast calls alone.
        """
        if service_s is not None and (is_complete or service_s > self._service_time_s):
            self._measure(service_s)
        self._in_use -= 1
        self._admit_next()

    def drain(self) -> None:
        """Refuse all waiting and later calls; calls that hold a slot finish."""
        self._is_draining = True
        for waiter in self._waiters:
            self._refuse(waiter, DrainingError("gateway drains", step="admission"))
        self._waiters.clear()

    def resume(self) -> None:
        """Accept calls again."""
        self._is_draining = False

    def _measure(self, service_s: float) -> None:
        if not self._service_time_s:
            self._service_time_s = service_s
        difference_s = service_s - self._service_time_s
        self._service_time_s += SERVICE_TIME_WEIGHT * difference_s
        self._deviation_s += SERVICE_TIME_WEIGHT * (
            abs(difference_s) - self._deviation_s
        )

    def _wait(self, criticality, deadline, policy) -> None:
        waiter = _Waiter(criticality, self._next_order(), deadline)
        ahead = sum(w.sort_key() < waiter.sort_key() for w in self._waiters)
        self._check_reachable(deadline, wait_s=self._expected_wait_s(ahead + 1))
        self._make_room(waiter, policy)
        insort(self._waiters, waiter, key=_Waiter.sort_key)
        self._metrics.count(QUEUED)
        # The wait ends while the refusal can still reach the caller in time.
        latest_s = deadline - self._needed_s() - self._clock.now()
        wait_s = min(policy.max_queue_s, latest_s)
        try:
            is_admitted = waiter.decided.wait(timeout=max(wait_s, 0.0))
        except CallError:
            raise
        except BaseException:
            self._forget(waiter)
            raise
        if not is_admitted:
            self._forget(waiter)
            self._metrics.count(QUEUE_EXPIRED)
            raise QueueFullError("no slot became free in time", step="admission.wait")
        self._check_woken(deadline)

    def _check_woken(self, deadline: float) -> None:
        """Give the slot up when too much time passed since it was granted.

        In a busy process the woken green thread runs late, some 10 ms after the grant.
        """
        try:
            self._check_reachable(deadline)
        except DeadlineUnreachableError:
            self._in_use -= 1
            self._admit_next()
            raise

    def _make_room(self, waiter: _Waiter, policy: ServicePolicy) -> None:
        if len(self._waiters) < policy.max_queue_length:
            return
        self._metrics.count(QUEUE_FULL)
        error = QueueFullError("queue is full", step="admission.enter")
        last = self._waiters[-1] if self._waiters else None
        if last is None or last.criticality >= waiter.criticality:
            raise error
        self._waiters.pop()
        self._refuse(last, error)

    def _needed_s(self) -> float:
        return self._service_time_s + DEVIATIONS_LEFT * self._deviation_s

    def _expected_wait_s(self, calls_ahead: int) -> float:
        return calls_ahead / self._slots * self._service_time_s

    def _check_reachable(self, deadline: float, *, wait_s: float = 0.0) -> None:
        if deadline - self._clock.now() <= wait_s + self._needed_s():
            self._raise_unreachable()

    def _check_idle(self, deadline: float) -> None:
        needed_s = IDLE_SERVICE_SHARE * self._service_time_s
        if deadline - self._clock.now() > needed_s:
            return
        # An average that refuses all calls would get no new samples and refuse them
        # for ever, so each refusal lowers it.
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
                self._check_reachable(waiter.deadline)
            except DeadlineUnreachableError as error:
                self._refuse(waiter, error)
                continue
            self._in_use += 1
            waiter.decided.send(True)

    def _forget(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.decided.ready() and not waiter.decided.has_exception():
            # The slot was granted after the wait had ended; pass it on.
            self._in_use -= 1
            self._admit_next()

    @staticmethod
    def _refuse(waiter: _Waiter, error: CallError) -> None:
        waiter.decided.send_exception(error)
