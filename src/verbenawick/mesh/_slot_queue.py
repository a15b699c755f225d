"""Priority queue for the slots of the local upstream, with admission control.

Handles temporary overload, when a service has more requests than slots. Steps of
running calls are served first, then calls that can still meet their objective, by
priority and by the fair shares of their workspaces. A call that cannot complete before
its deadline is refused on arrival instead of timing out in the queue. The same holds
while the upstream takes fewer requests a second than its slots could serve.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count

from verbenawick.mesh._moving_average import MovingAverage, MovingAverages
from verbenawick.mesh._request_rate import RequestRate
from verbenawick.sharing._fair_shares import FairShares
from verbenawick.sharing._served_shares import Group, ServedShares
from verbenawick.sharing._slot_forecast import SlotForecast
from verbenawick.sharing._steps import STEP_PRIORITY

# Weight of a new sample in the moving averages of the service time, which thus cover
# about the last 10 calls.
SERVICE_TIME_WEIGHT = 0.1
# Service time assumed before the first sample, seconds.
SERVICE_TIME_PRIOR_S = 0.05
# A call is admitted if its expected wait plus service time is at most this fraction of
# the time left before its deadline. The rest is a margin for longer service times.
ADMITTED_SHARE = 0.75
# The same for a call that can no longer meet its objective. Calls that still can are
# served first even if they arrive later, so a late call waits longer than estimated.
ADMITTED_SHARE_LATE = 0.4
# A queued call is granted a slot only if at least this fraction of the average service
# time is left before the deadline.
MIN_SERVICE_SHARE_LEFT = 0.5
# Least time before its deadline at which a waiting call is refused. Covers two transits
# between regions and the delays of both processes, after which its entry gives up.
REFUSAL_MARGIN_S = 0.05
# Maximum queue length, in calls per slot.
MAX_WAITING_PER_SLOT = 6
# Minimum retry-after time of a refused call, seconds.
MIN_RETRY_AFTER_S = 0.02


class Verdict(StrEnum):
    """Decision of the queue about a call."""

    GRANTED = "granted"
    REFUSED = "refused"


@dataclass(eq=False, slots=True)
class SlotRequest:
    """A call that requests a slot.

    Attributes
    ----------
    on_verdict : callable
        Called once with the verdict and, for a refusal, the retry-after time in
        seconds; possibly before `SlotQueue.enter` returns.
    """

    route: str
    priority: int
    objective_at: float
    deadline: float
    on_verdict: Callable[[Verdict, float], None]
    workspace: str = ""
    arrival_order: int = 0
    started_at: float = 0.0

    @property
    def is_step(self) -> bool:
        """Return whether a running call waits for this one."""
        return self.priority == STEP_PRIORITY

    @property
    def groups(self) -> tuple[Group, ...]:
        """Return the groups whose served share counts for this call."""
        return self.route, self.priority


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages of the service time, per route and over all routes."""

    by_route: MovingAverages = field(
        default_factory=lambda: MovingAverages(SERVICE_TIME_WEIGHT)
    )
    overall: MovingAverage = field(
        default_factory=lambda: MovingAverage(SERVICE_TIME_WEIGHT)
    )

    def add(self, route: str, seconds: float) -> None:
        """Add the service time of a completed call."""
        self.by_route.add(route, seconds)
        self.overall.add(seconds)

    def expected_s(self, route: str) -> float:
        """Return the average for `route`; the overall one if it has no samples."""
        value = self.by_route.value(route)
        return self.mean_s() if value is None else value

    def mean_s(self) -> float:
        """Return the average over all routes."""
        value = self.overall.value
        return SERVICE_TIME_PRIOR_S if value is None else value


class SlotQueue:
    """Running and queued calls of one upstream; does no I/O and reads no clock."""

    def __init__(self, *, slots: int):
        self.slots = slots
        self.rate = RequestRate()
        self.service_times = ServiceTimes()
        self._running: set[SlotRequest] = set()
        self._waiting: list[SlotRequest] = []
        self._next_arrival_order = count().__next__
        self.fair_shares = FairShares()
        self._served_shares = ServedShares()

    @property
    def running_count(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of queued calls."""
        return len(self._waiting)

    def enter(self, request: SlotRequest, now: float) -> None:
        """Grant a slot to a call, queue it, or refuse it."""
        request.arrival_order = self._next_arrival_order()
        if not self._waiting and self._can_grant(now):
            self._grant(request, now)
            return
        self._waiting.append(request)
        self._refuse_deadline_misses(now)

    def leave(
        self, request: SlotRequest, now: float, *, service_s: float | None = None
    ) -> None:
        """Free the slot of `request`, or withdraw it from the queue.

        Parameters
        ----------
        service_s : float
            Service time at the upstream; None if the call did not complete.
        """
        if request in self._running:
            self._running.discard(request)
            if service_s is not None:
                self.service_times.add(request.route, service_s)
            self.grant_free_slots(now)
        elif request in self._waiting:
            self._waiting.remove(request)

    def grant_free_slots(self, now: float) -> None:
        """Grant free slots to queued calls."""
        while self._waiting and self._can_grant(now):
            request = self._ranked(now)[0]
            self._waiting.remove(request)
            if now > self.wait_until(request):
                self._refuse(request, now)
                continue
            self._served_shares.add(request.groups, is_served=True, now=now)
            self._grant(request, now)

    def wait_until(self, request: SlotRequest) -> float:
        """Return the time from which a queued call is granted no slot."""
        needed_s = MIN_SERVICE_SHARE_LEFT * self.service_times.expected_s(request.route)
        return request.deadline - max(needed_s, REFUSAL_MARGIN_S)

    def next_grant_at(self, now: float) -> float | None:
        """Return when the rate admits the next queued call to a free slot, or None."""
        if not self._waiting or len(self._running) >= self.slots:
            return None
        return now + self.rate.delay_s(now)

    def refuse_waiting(self, now: float) -> None:
        """Refuse all queued calls because the upstream accepts no more work."""
        while self._waiting:
            self._refuse(self._waiting.pop(), now)

    def usable_slots(self, route: str, now: float) -> int:
        """Return the slots that the rate of the upstream allows to be in use."""
        return self.rate.usable_slots(self.slots, self.expected_service_s(route, now))

    def expected_service_s(self, route: str, now: float) -> float:
        """Return the service time of `route`, scaled by the current slowdown."""
        return self.service_times.expected_s(route) * self._slowdown(
            self._current_service_s(now)
        )

    def _can_grant(self, now: float) -> bool:
        return len(self._running) < self.slots and not self.rate.delay_s(now)

    def _slowdown(self, current_service_s: float) -> float:
        return max(current_service_s / max(self.service_times.mean_s(), 1e-6), 1.0)

    def _current_service_s(self, now: float) -> float:
        # The ages of the running calls reveal a slow upstream before any of them ends.
        mean_s = self.service_times.mean_s()
        if not self._running:
            return mean_s
        age_s = sum(now - request.started_at for request in self._running)
        return max(mean_s, age_s / len(self._running))

    def _slowdown_of_running(self, now: float) -> float:
        """Return how much longer than usual the running calls take, at least 1.

        Their ages are compared with the times of their own routes, since long calls do
        not show that the upstream is slow.
        """
        if not self._running:
            return 1.0
        age_s = sum(now - request.started_at for request in self._running)
        usual_s = self._running_service_s() * len(self._running)
        return max(age_s / max(usual_s, 1e-6), 1.0)

    def _running_service_s(self) -> float:
        """Return the mean expected service time of the running calls."""
        if not self._running:
            return self.service_times.mean_s()
        total_s = sum(self.service_times.expected_s(r.route) for r in self._running)
        return total_s / len(self._running)

    def _ranked(self, now: float) -> list[SlotRequest]:
        """Return the queued calls in the order in which they are served."""
        ranked = sorted(self._waiting, key=lambda request: self._rank(request, now))
        self._advance_short_group(ranked)
        return ranked

    def _advance_short_group(self, ranked: list[SlotRequest]) -> None:
        """Move the first call of a group that is served too rarely behind the steps.

        Only one call moves, so that the others do not lengthen the expected wait of
        more urgent calls.
        """
        is_short_by_groups: dict[tuple[Group, ...], bool] = {}
        step_count = sum(request.is_step for request in ranked)
        for index in range(step_count, len(ranked)):
            groups = ranked[index].groups
            if groups not in is_short_by_groups:
                is_short_by_groups[groups] = self._served_shares.is_short(groups)
            if is_short_by_groups[groups]:
                ranked.insert(step_count, ranked.pop(index))
                return

    def _rank(
        self, request: SlotRequest, now: float
    ) -> tuple[bool, bool, int, int, float, int]:
        is_late = (
            now + self.service_times.expected_s(request.route) > request.objective_at
        )
        return (
            not request.is_step,
            is_late,
            request.priority,
            self._excess(request, now),
            request.objective_at,
            request.arrival_order,
        )

    def _excess(self, request: SlotRequest, now: float) -> int:
        if not request.workspace:
            return 0
        mean_s = self.service_times.mean_s()
        return self.fair_shares.excess(request.workspace, mean_s, now)

    def _refuse_deadline_misses(self, now: float) -> None:
        """Refuse the queued calls that are expected to miss their deadline."""
        # Computed once: the running calls do not change inside the loop.
        slowdown = self._slowdown_of_running(now)
        forecast = SlotForecast(
            slots=self.slots,
            running=len(self._running),
            service_s=self._running_service_s() * slowdown,
        )
        ahead = 0
        for request in self._ranked(now):
            wait_s = max(forecast.wait_s(), self.rate.delay_s(now, ahead + 1))
            service_s = self.service_times.expected_s(request.route) * slowdown
            needed_s = wait_s + service_s
            is_late = now + needed_s > request.objective_at and not request.is_step
            share = ADMITTED_SHARE_LATE if is_late else ADMITTED_SHARE
            is_full = ahead >= MAX_WAITING_PER_SLOT * self.slots
            if is_full or needed_s > share * (request.deadline - now):
                self._waiting.remove(request)
                self._refuse(request, now)
            else:
                forecast.add(service_s)
                ahead += 1

    def _grant(self, request: SlotRequest, now: float) -> None:
        request.started_at = now
        self.rate.take(now)
        if request.workspace:
            service_s = self.service_times.expected_s(request.route)
            self.fair_shares.charge(request.workspace, service_s, now)
        self._running.add(request)
        request.on_verdict(Verdict.GRANTED, 0.0)

    def _refuse(self, request: SlotRequest, now: float) -> None:
        self._served_shares.add(request.groups, is_served=False, now=now)
        wait_s = max(
            len(self._waiting) * self.service_times.mean_s() / max(self.slots, 1),
            self.rate.delay_s(now, len(self._waiting) + 1),
        )
        request.on_verdict(Verdict.REFUSED, max(wait_s, MIN_RETRY_AFTER_S))
