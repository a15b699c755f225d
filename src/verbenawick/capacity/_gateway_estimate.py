"""What an entry expects of a gateway, from answers that may be seconds old.

Load: many entries share many gateways, so that one entry hears of a gateway only now
and then, while queues build up and end within tenths of a second. What was reported
loses weight with age: the load tends to the usual one of the service in the data
centre, and the time of a call to the usual time of its route. A gateway that was slow
or full is therefore tried again, and entries that have all seen one idle gateway do not
keep choosing it. A gateway without an answer so far counts as one in usual use, so that
it gets its share at once and no more.
"""

import math
from dataclasses import dataclass, field

from verbenawick.capacity._moving_average import MovingAverage, MovingAverages

# Half-life of a reported queue, seconds: some service times, within which it changes.
QUEUE_HALF_LIFE_S = 1.0
# Half-life of a reported slowness that differs from the upstream's own usual speed,
# seconds.
SLOWNESS_HALF_LIFE_S = 2.0
# Half-life of the usual speed of an upstream without answers, seconds.
SPEED_HALF_LIFE_S = 10.0
# Half-life of the usual use of gateways without answers, seconds.
USE_HALF_LIFE_S = 3.0
# Weights of a new answer in the moving averages: of the time of a route over all
# gateways, of the use of the slots, and of the speed of an upstream.
SERVICE_TIME_WEIGHT = 0.1
USE_WEIGHT = 0.05
SPEED_WEIGHT = 0.1


@dataclass(slots=True)
class _Use:
    average: MovingAverage
    added_at: float


class UsualTimes:
    """Usual time of the calls of each route and use of the slots of each group.

    A group is the gateways of a service in a data centre, since demand may be high in
    one data centre and low in another.
    """

    def __init__(self):
        self._service_s_by_route = MovingAverages(SERVICE_TIME_WEIGHT)
        self._use_by_group: dict[tuple[str, str], _Use] = {}

    def add(
        self,
        group: tuple[str, str],
        route: str,
        *,
        service_s: float,
        use: float,
        now: float,
    ) -> None:
        """Add what the answer of a gateway reported."""
        self._service_s_by_route.add(route, service_s)
        known = self._use_by_group.get(group)
        if known is None:
            average = MovingAverage(USE_WEIGHT)
            known = self._use_by_group[group] = _Use(average, now)
        known.average.add(use)
        known.added_at = now

    def service_s(self, route: str) -> float | None:
        """Return the usual time of a call of `route`, None if it is unknown."""
        return self._service_s_by_route.value(route)

    def use(self, group: tuple[str, str], now: float) -> float:
        """Return the calls at the gateways of a group, per slot.

        A group without answers for some time, or at all, counts as unused, so that one
        that was full is tried again.
        """
        known = self._use_by_group.get(group)
        if known is None:
            return 0.0
        age_s = max(now - known.added_at, 0.0)
        return known.average.value * 0.5 ** (age_s / USE_HALF_LIFE_S)


@dataclass(slots=True)
class GatewayEstimate:
    """Expected queue and service time of one gateway.

    Attributes
    ----------
    calls : int
        Running and waiting calls at the gateway when it last answered.
    slots : int
        Calls that its upstream takes well at once: its slots until the first answer, 0
        if unknown.
    """

    calls: int = 0
    slots: int = 0
    reported_at: float = -math.inf
    # Service time relative to the usual one of the route at the last answer, and the
    # average of its logarithm.
    slowdown: float = 1.0
    log_slowdown: MovingAverage = field(
        default_factory=lambda: MovingAverage(SPEED_WEIGHT, 0.0)
    )

    def record(
        self,
        *,
        calls: int,
        slots: int,
        service_s: float,
        usual_service_s: float | None,
        now: float,
    ) -> None:
        """Apply the load that an answer reported.

        Parameters
        ----------
        service_s : float
            Expected time of a call of the answer's route; 0 if unknown.
        usual_service_s : float or None
            The same over all gateways; None if no other answer shows it.
        """
        self._age_speed(now)
        self.calls = calls
        self.slots = slots
        self.reported_at = now
        if service_s and usual_service_s:
            self.slowdown = service_s / usual_service_s
            self.log_slowdown.add(math.log(self.slowdown))

    def expected_calls(self, usual_use: float, now: float) -> float:
        """Return the calls expected at the gateway now."""
        usual = usual_use * self.slots
        weight = 0.5 ** (max(now - self.reported_at, 0.0) / QUEUE_HALF_LIFE_S)
        return usual + weight * (self.calls - usual)

    def expected_slowdown(self, now: float) -> float:
        """Return the expected service time relative to the usual one of a route."""
        age_s = max(now - self.reported_at, 0.0)
        usual = self.log_slowdown.value * 0.5 ** (age_s / SPEED_HALF_LIFE_S)
        weight = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return self.slowdown**weight * math.exp((1 - weight) * usual)

    def _age_speed(self, now: float) -> None:
        age_s = max(now - self.reported_at, 0.0)
        self.log_slowdown.value *= 0.5 ** (age_s / SPEED_HALF_LIFE_S)
