"""Slots of the upstream beside the node, and which waiting call gets the next one.

Answers the load of a service whose requests exceed its slots for a while: calls that
can still meet their objective go first, more urgent ones ahead of others; a call that
cannot end before its deadline is refused when it arrives, not when its time is over.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count

from verbenawick.mesh._moving_average import MovingAverage, MovingAverages

# Weight of a new sample in the average service times: about the last ten calls.
SERVICE_TIME_WEIGHT = 0.1
# Assumed before the first sample, seconds.
SERVICE_TIME_PRIOR_S = 0.05
# Share of the time left that the expected wait and run may take. The rest covers
# calls that take longer than usual.
ADMITTED_SHARE = 0.75
# The same for a call that can no longer meet its objective. Those that can are served
# first, also those that arrive later, so its turn comes later than it seems.
ADMITTED_SHARE_LATE = 0.4
# Share of the usual service time that has to be left when a call gets its slot.
LEAST_SHARE_LEFT = 0.5
# Bound of the queue, in calls per slot.
MAX_WAITING_PER_SLOT = 6
# Shortest time after which a refused caller is asked to come back, seconds.
LEAST_RETRY_AFTER_S = 0.02


class Verdict(StrEnum):
    """What the queue decided about a call."""

    GRANTED = "granted"
    REFUSED = "refused"


@dataclass(eq=False, slots=True)
class SlotRequest:
    """A call that asks for a slot.

    Attributes
    ----------
    decide : callable
        Told the verdict and, for a refusal, the seconds until room is expected; called
        once, possibly before `SlotQueue.enter` returns.
    """

    route: str
    priority: int
    objective_at: float
    deadline: float
    decide: Callable[[Verdict, float], None]
    order: int = 0
    started_at: float = 0.0


@dataclass(slots=True)
class ServiceTimes:
    """Average time at the upstream, by route and over all routes."""

    by_route: MovingAverages = field(
        default_factory=lambda: MovingAverages(SERVICE_TIME_WEIGHT)
    )
    overall: MovingAverage = field(
        default_factory=lambda: MovingAverage(SERVICE_TIME_WEIGHT)
    )

    def add(self, route: str, seconds: float) -> None:
        """Add the time that a call took."""
        self.by_route.add(route, seconds)
        self.overall.add(seconds)

    def expected_s(self, route: str) -> float:
        """Return the usual time of a call of `route`."""
        value = self.by_route.value(route)
        return self.mean_s() if value is None else value

    def mean_s(self) -> float:
        """Return the usual time of any call."""
        value = self.overall.value
        return SERVICE_TIME_PRIOR_S if value is None else value


class SlotQueue:
    """Slots in use and calls that wait; plain state without a network or a clock."""

    def __init__(self, *, slots: int):
        self.slots = slots
        self.times = ServiceTimes()
        self._running: set[SlotRequest] = set()
        self._waiting: list[SlotRequest] = []
        self._next_order = count().__next__

    @property
    def running_count(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of calls that wait."""
        return len(self._waiting)

    def enter(self, request: SlotRequest, now: float) -> None:
        """Grant a slot, queue the call, or refuse it."""
        request.order = self._next_order()
        if len(self._running) < self.slots and not self._waiting:
            self._grant(request, now)
            return
        if len(self._waiting) >= MAX_WAITING_PER_SLOT * self.slots:
            self._refuse(request)
            return
        self._waiting.append(request)
        self._refuse_unreachable(now)

    def leave(
        self, request: SlotRequest, now: float, *, service_s: float | None = None
    ) -> None:
        """Free the slot of `request`, or withdraw it from the queue.

        Parameters
        ----------
        service_s : float
            Time the call took at the upstream; None when it did not run to an end.
        """
        if request in self._running:
            self._running.discard(request)
            if service_s is not None:
                self.times.add(request.route, service_s)
            self.grant_free(now)
        elif request in self._waiting:
            self._waiting.remove(request)

    def grant_free(self, now: float) -> None:
        """Grant free slots to waiting calls."""
        while self._waiting and len(self._running) < self.slots:
            request = min(self._waiting, key=lambda r: self._rank(r, now))
            self._waiting.remove(request)
            needed_s = LEAST_SHARE_LEFT * self.times.expected_s(request.route)
            if now + needed_s > request.deadline:
                self._refuse(request)
                continue
            self._grant(request, now)

    def refuse_all(self) -> None:
        """Refuse every waiting call, for an upstream that takes no more."""
        while self._waiting:
            self._refuse(self._waiting.pop())

    def expected_service_s(self, route: str, now: float) -> float:
        """Return the usual time of `route`, corrected for an upstream grown slow."""
        return self.times.expected_s(route) * self._slowdown(self._turnover_s(now))

    def _slowdown(self, turnover_s: float) -> float:
        return max(turnover_s / max(self.times.mean_s(), 1e-6), 1.0)

    def _turnover_s(self, now: float) -> float:
        # Ages of running calls show a slow upstream before the first of them ends.
        mean_s = self.times.mean_s()
        if not self._running:
            return mean_s
        age_s = sum(now - request.started_at for request in self._running)
        return max(mean_s, age_s / len(self._running))

    def _rank(self, request: SlotRequest, now: float) -> tuple[bool, int, float, int]:
        is_late = now + self.times.expected_s(request.route) > request.objective_at
        return (is_late, request.priority, request.objective_at, request.order)

    def _refuse_unreachable(self, now: float) -> None:
        """Refuse the waiting calls whose turn would come too late."""
        ranked = sorted(self._waiting, key=lambda request: self._rank(request, now))
        # The running calls do not change meanwhile; their ages are added up once.
        turnover_s = self._turnover_s(now)
        slowdown = self._slowdown(turnover_s)
        ahead = 0
        for request in ranked:
            excess = max(len(self._running) + ahead + 1 - self.slots, 0)
            wait_s = excess * turnover_s / max(self.slots, 1)
            needed_s = wait_s + self.times.expected_s(request.route) * slowdown
            is_late = now + needed_s > request.objective_at
            share = ADMITTED_SHARE_LATE if is_late else ADMITTED_SHARE
            if needed_s > share * (request.deadline - now):
                self._waiting.remove(request)
                self._refuse(request)
            else:
                ahead += 1

    def _grant(self, request: SlotRequest, now: float) -> None:
        request.started_at = now
        self._running.add(request)
        request.decide(Verdict.GRANTED, 0.0)

    def _refuse(self, request: SlotRequest) -> None:
        wait_s = len(self._waiting) * self.times.mean_s() / max(self.slots, 1)
        request.decide(Verdict.REFUSED, max(wait_s, LEAST_RETRY_AFTER_S))
