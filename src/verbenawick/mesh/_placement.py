"""Choice of the gateway for a call by what the call is likely to lose there.

Answers the load of a service whose upstreams differ in speed, distance and queue. The
cost of a candidate adds the chance of missing the objective, the chance of a failure,
and the price of the distance, so that a slow near upstream is left for a faster one
farther away only when the objective is at stake.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from random import Random


class Distance(IntEnum):
    """How far a gateway is from the entry."""

    OWN_NODE = 0
    DATA_CENTRE = 1
    REGION = 2
    REMOTE = 3


# Round trip to a gateway and back, seconds; from the latencies between sites.
ROUND_TRIP_S = {
    Distance.OWN_NODE: 0.0,
    Distance.DATA_CENTRE: 0.001,
    Distance.REGION: 0.002,
    Distance.REMOTE: 0.018,
}
# Cost of a hop as a share of the value of a call: the work of a further node, and the
# lower chance of an answer over a longer way.
DISTANCE_COST = {
    Distance.OWN_NODE: 0.0,
    Distance.DATA_CENTRE: 0.005,
    Distance.REGION: 0.02,
    Distance.REMOTE: 0.1,
}
# Cost of a kilobyte as a share of the value of a call. Traffic between regions is paid
# by volume, traffic between data centres at about a third of that.
KILOBYTE_COST = {
    Distance.OWN_NODE: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.05,
    Distance.REMOTE: 0.17,
}
# Share of the value that is lost when a response is later than its objective.
LATE_COST = 0.7
# Objective from which on a late response loses that much, seconds. A shorter objective
# belongs to a step of another call, which a late step delays by tens of milliseconds
# only; that is seldom worth paid traffic.
FULL_COST_OBJECTIVE_S = 0.2
# How much more a late response costs when it is expected right at the deadline, which
# service times longer than usual make it miss.
LATE_RISE = 0.4
# Cost of a call that is expected to end after its deadline.
LOST_COST = 1.5
# How the chance of a miss rises with the expected share of the objective. Service
# times spread by about a third, so it is small up to two thirds of the objective.
MISS_EXPONENT = 6
# Above this a further offer is expected to lose the whole value of a call. Under an
# overload of all gateways it only brings a late call to another full queue, over a paid
# way, where it delays calls that are still in time.
MOST_COST_OF_FURTHER_OFFER = 1.0
# Draws among candidates of equal cost, so that entries do not all choose the same.
JITTER_COST = 0.01


@dataclass(frozen=True, slots=True)
class Candidate:
    """A gateway that could run a call.

    Attributes
    ----------
    expected_s : float
        Expected wait and run at the upstream, without the way there.
    failing_share : float
        Expected share of failed requests, 0 to 1.
    """

    node_id: str
    distance: Distance
    expected_s: float
    failing_share: float = 0.0

    @property
    def completion_s(self) -> float:
        """Return the expected time until the response is back."""
        return self.expected_s + ROUND_TRIP_S[self.distance]


def late_cost_of(objective_s: float) -> float:
    """Return what a call with an objective loses when its response is late."""
    return LATE_COST * min(objective_s / FULL_COST_OBJECTIVE_S, 1.0)


def cost_of(
    candidate: Candidate,
    *,
    objective_s: float,
    left_s: float,
    kilobytes: float = 1.0,
    late_cost: float = LATE_COST,
) -> float:
    """Return the expected loss of a call at `candidate` as a share of its value.

    Parameters
    ----------
    objective_s, left_s : float
        Time left until the objective and until the deadline of the call.
    kilobytes : float
        Usual size of request and response.
    late_cost : float
        Lost by a response that is later than its objective, as a share of the value.
    """
    completion_s = candidate.completion_s
    if completion_s >= left_s:
        miss = LOST_COST
    elif completion_s >= objective_s:
        miss = late_cost * (1 + LATE_RISE * completion_s / left_s)
    else:
        miss = late_cost * (completion_s / objective_s) ** MISS_EXPONENT
    way = DISTANCE_COST[candidate.distance]
    way += KILOBYTE_COST[candidate.distance] * kilobytes
    return miss + way + candidate.failing_share


def choose(
    candidates: Sequence[Candidate],
    *,
    objective_s: float,
    left_s: float,
    random: Random,
    kilobytes: float = 1.0,
    late_cost: float = LATE_COST,
    most_cost: float = math.inf,
) -> Candidate | None:
    """Return the candidate of least cost, None without one of `most_cost` or less."""
    costs = [
        cost_of(
            candidate,
            objective_s=objective_s,
            left_s=left_s,
            kilobytes=kilobytes,
            late_cost=late_cost,
        )
        + JITTER_COST * random.random()
        for candidate in candidates
    ]
    least = min(costs, default=math.inf)
    if not candidates or least > most_cost:
        return None
    return candidates[costs.index(least)]
