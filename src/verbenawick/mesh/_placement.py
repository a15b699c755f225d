"""Cost-based choice of the gateway for a call.

Balances load across upstreams that differ in speed, distance and queue length. The cost
of a candidate is the sum of the expected costs of a late response, of a failure, and of
the distance. A faster but more distant upstream is therefore preferred to a slow near
one only if the objective is at risk.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from random import Random


class Distance(IntEnum):
    """Network distance between the entry and a gateway."""

    OWN_NODE = 0
    DATA_CENTRE = 1
    REGION = 2
    REMOTE = 3


# Round-trip time by distance, seconds; derived from the latencies between sites.
ROUND_TRIP_S = {
    Distance.OWN_NODE: 0.0,
    Distance.DATA_CENTRE: 0.001,
    Distance.REGION: 0.002,
    Distance.REMOTE: 0.018,
}
# Cost of a hop as a fraction of the value of a call. Covers the work of the other node
# and the lower probability of an answer over a longer path.
DISTANCE_COST = {
    Distance.OWN_NODE: 0.0,
    Distance.DATA_CENTRE: 0.005,
    Distance.REGION: 0.02,
    Distance.REMOTE: 0.1,
}
# Cost of a kilobyte as a fraction of the value of a call. Traffic between regions is
# billed by volume, traffic between data centres of a region at about a third of that.
COST_PER_KILOBYTE = {
    Distance.OWN_NODE: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.05,
    Distance.REMOTE: 0.17,
}
# A call to a gateway without a link first opens one: two round trips (connection and
# handshake) and the headers of the handshake.
LINK_ROUND_TRIPS = 2
LINK_KILOBYTES = 0.75
# Fraction of the value that is lost when a response misses its objective.
LATE_COST = 0.7
# Objective from which `LATE_COST` applies in full, seconds. Calls with a shorter
# objective are steps of another call; a late step delays that call by only tens of
# milliseconds, which rarely justifies billed traffic.
FULL_LATE_COST_OBJECTIVE_S = 0.2
# Relative increase of the late cost for a response expected right at the deadline. Such
# a response misses the deadline whenever the service time is longer than average.
LATE_COST_SLOPE = 0.4
# Cost of a call that is expected to complete after its deadline.
DEADLINE_MISSED_COST = 1.5
# Exponent of the probability of missing the objective, as a function of the ratio of
# expected time to objective. Service times vary by about a third, so the probability
# stays small up to two thirds of the objective.
MISS_EXPONENT = 6
# Maximum expected cost of offering a refused call to another gateway; above it the
# whole value of the call is expected to be lost. When all gateways are overloaded, a
# further offer would only move a late call over a billed link into another full queue,
# where it delays calls that are still on time.
MAX_FURTHER_OFFER_COST = 1.0
# A node that stops sends a call only if this multiple of its expected time is left,
# since service times vary.
STOP_TIME_FACTOR = 2.0
# Random cost added to break ties, so that entries do not all choose the same gateway.
JITTER_COST = 0.01


@dataclass(frozen=True, slots=True)
class Candidate:
    """A gateway that could run a call.

    Attributes
    ----------
    expected_s : float
        Expected queueing plus service time, without the network round trip.
    failure_rate : float
        Expected fraction of failed requests, 0 to 1.
    is_linked : bool
        Whether a link to the gateway is open.
    """

    node_id: str
    distance: Distance
    expected_s: float
    failure_rate: float = 0.0
    is_linked: bool = True

    @property
    def completion_s(self) -> float:
        """Return the expected time until the entry receives the response."""
        round_trips = 1 if self.is_linked else 1 + LINK_ROUND_TRIPS
        return self.expected_s + round_trips * ROUND_TRIP_S[self.distance]


def ends_before_stop(expected_s: float, *, left_s: float) -> bool:
    """Return whether a call can be sent by a node that stops in `left_s` seconds.

    A call that is still running when the node stops loses its response, although it
    may have had its effect.
    """
    return STOP_TIME_FACTOR * expected_s <= left_s


def late_cost_of(objective_s: float) -> float:
    """Return the cost of a late response for a call with objective `objective_s`."""
    return LATE_COST * min(objective_s / FULL_LATE_COST_OBJECTIVE_S, 1.0)


def expected_cost(
    candidate: Candidate,
    *,
    objective_s: float,
    left_s: float,
    kilobytes: float = 1.0,
    late_cost: float = LATE_COST,
) -> float:
    """Return the expected cost of a call at `candidate` as a fraction of its value.

    Parameters
    ----------
    objective_s, left_s : float
        Time left until the objective and until the deadline of the call.
    kilobytes : float
        Average size of request and response together.
    late_cost : float
        Cost of a response that misses its objective, as a fraction of the value.
    """
    completion_s = candidate.completion_s
    if completion_s >= left_s:
        miss_cost = DEADLINE_MISSED_COST
    elif completion_s >= objective_s:
        miss_cost = late_cost * (1 + LATE_COST_SLOPE * completion_s / left_s)
    else:
        miss_cost = late_cost * (completion_s / objective_s) ** MISS_EXPONENT
    if not candidate.is_linked:
        kilobytes += LINK_KILOBYTES
    transfer_cost = DISTANCE_COST[candidate.distance]
    transfer_cost += COST_PER_KILOBYTE[candidate.distance] * kilobytes
    return miss_cost + transfer_cost + candidate.failure_rate


def choose(
    candidates: Sequence[Candidate],
    *,
    objective_s: float,
    left_s: float,
    random: Random,
    kilobytes: float = 1.0,
    late_cost: float = LATE_COST,
    max_cost: float = math.inf,
) -> Candidate | None:
    """Return the cheapest candidate; None if there is none of at most `max_cost`."""
    costs = [
        expected_cost(
            candidate,
            objective_s=objective_s,
            left_s=left_s,
            kilobytes=kilobytes,
            late_cost=late_cost,
        )
        + JITTER_COST * random.random()
        for candidate in candidates
    ]
    min_cost = min(costs, default=math.inf)
    if not candidates or min_cost > max_cost:
        return None
    return candidates[costs.index(min_cost)]
