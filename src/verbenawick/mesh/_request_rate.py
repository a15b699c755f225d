"""Rate of requests to an upstream that names the rate it takes.

Load: callers offer more requests than an upstream accepts from all nodes together. All
requests to it pass through the node beside it, so one token bucket there keeps the
rate. Does no I/O and reads no clock.
"""

import math

# Time of unused rate that may be made up for, so that random arrivals use the rate.
BURST_S = 0.5
# Lower bound of a named rate, requests per second. Without any request, the node would
# not learn that the upstream takes more.
MIN_RATE = 0.5


class RequestRate:
    """Token bucket whose rate the upstream names, unlimited while it names none."""

    def __init__(self):
        self._limit: float | None = None
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def limit(self) -> float | None:
        """Return the rate in requests per second, None if it is unlimited."""
        return self._limit

    def set_limit(self, limit: float | None, now: float) -> None:
        """Change the rate to `limit` requests per second, None for unlimited."""
        if limit is not None:
            limit = max(limit, MIN_RATE)
        if limit == self._limit:
            return
        self._accrue(now)
        if self._limit is None:
            # Until now the upstream got more than it takes, so nothing was unused.
            self._tokens = 0.0
        self._limit = limit
        self._accrue(now)

    def take(self, now: float) -> None:
        """Count a request that is sent to the upstream."""
        if self._limit is not None:
            self._accrue(now)
            self._tokens -= 1

    def delay_s(self, now: float, position: int = 1) -> float:
        """Return the time until the request at a position of the queue may be sent."""
        if self._limit is None:
            return 0.0
        self._accrue(now)
        return max(position - self._tokens, 0.0) / self._limit

    def usable_slots(self, slots: int, service_s: float) -> int:
        """Return how many slots the rate keeps busy, given the time of a request."""
        if self._limit is None:
            return slots
        return max(min(slots, math.ceil(self._limit * service_s)), 1)

    def _accrue(self, now: float) -> None:
        if self._limit is not None:
            capacity = max(self._limit * BURST_S, 1.0)
            gained = (now - self._updated_at) * self._limit
            self._tokens = min(self._tokens + gained, capacity)
        self._updated_at = now
