"""Retry budget per service, divided among the nodes.

Prevents retry storms: without a bound, retries of calls to a failing or crashed service
add to the load that made it fail. A retry is a further request for the same call after
an earlier one may have reached an upstream. The bound also covers the nested calls that
a retried request makes again, and their retries.
"""

from collections import deque
from collections.abc import Callable

# Fraction of the fleet-wide bound that the nodes use together. The rest is left for the
# nested calls of retried requests and their retries, which count against the bound too,
# although no node can tell them from other calls.
SAFETY_FACTOR = 0.4

# Bucket width of the sliding window, seconds.
BUCKET_S = 0.5


class _SlidingCounter:
    """Number of events in the last `window_s`, counted in buckets."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._buckets: deque[list[float]] = deque()
        self.total = 0

    def add(self, now: float) -> None:
        self.expire(now)
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now, 0])
        self._buckets[-1][1] += 1
        self.total += 1

    def expire(self, now: float) -> None:
        # A bucket is kept until its newest event has left the window.
        while self._buckets and now - self._buckets[0][0] > self._window_s + BUCKET_S:
            self.total -= int(self._buckets.popleft()[1])


class RetryBudget:
    """Decides whether this node may send a request to another upstream.

    The allowance in a window is ``ratio`` times the requests that this node received
    for the service, plus its share of the fixed slack, scaled down by `SAFETY_FACTOR`.

    Parameters
    ----------
    ratio : float
        Fleet-wide maximum of retries per request, including retries by nested calls.
    slack : float
        Fleet-wide number of retries allowed in each window in addition to `ratio`.
    window_s : float
        Length of the sliding window.
    node_count : callable
        Number of nodes that share the slack.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        node_count: Callable[[], int],
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._node_count = node_count
        self._requests_by_service: dict[str, _SlidingCounter] = {}
        self._retries_by_service: dict[str, _SlidingCounter] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request to `service`."""
        self._counter(self._requests_by_service, service).add(now)

    def count_retry(self, service: str, now: float) -> None:
        """Count a retry that is sent to another upstream of `service`."""
        self._counter(self._retries_by_service, service).add(now)

    def allows(self, service: str, now: float) -> bool:
        """Return whether one more retry stays within the allowance."""
        requests = self._counter(self._requests_by_service, service)
        retries = self._counter(self._retries_by_service, service)
        requests.expire(now)
        retries.expire(now)
        slack_share = self._slack / max(self._node_count(), 1)
        allowance = SAFETY_FACTOR * (self._ratio * requests.total + slack_share)
        return retries.total + 1 <= allowance

    def _counter(
        self, counters: dict[str, _SlidingCounter], service: str
    ) -> _SlidingCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _SlidingCounter(self._window_s)
        return counter
