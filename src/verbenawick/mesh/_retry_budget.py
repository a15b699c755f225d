"""Budget of repeated arrivals at a service, divided among the nodes.

Answers the load of many failures at once: without a bound, retries of a failing or
crashed service add to the load that made it fail.
"""

from collections import deque
from collections.abc import Callable

# Share of the fleet-wide allowance that the nodes hand out together. Calls that a
# repeated request makes, and their own repeats, count as well, and no node sees those.
SAFETY_SHARE = 0.4

# Length of the steps in which a window is counted, seconds.
STEP_S = 0.5


class _Window:
    """Number of events in the last `window_s`, counted in steps."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._steps: deque[list[float]] = deque()
        self.total = 0

    def add(self, now: float) -> None:
        self.expire(now)
        if not self._steps or now - self._steps[-1][0] >= STEP_S:
            self._steps.append([now, 0])
        self._steps[-1][1] += 1
        self.total += 1

    def expire(self, now: float) -> None:
        # A step is kept until its youngest event has left the window.
        while self._steps and now - self._steps[0][0] > self._window_s + STEP_S:
            self.total -= int(self._steps.popleft()[1])


class RetryBudget:
    """Decides whether this node may send a request to a further upstream.

    The allowance in a window is ``ratio`` of the requests this node got for the
    service, plus its part of the fixed slack.

    Parameters
    ----------
    ratio : float
        Fleet-wide bound on repeated arrivals per request.
    slack : float
        Repeated arrivals that are allowed besides, fleet-wide.
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
        self._requests_by_service: dict[str, _Window] = {}
        self._repeats_by_service: dict[str, _Window] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller for `service`."""
        self._window(self._requests_by_service, service).add(now)

    def count_repeat(self, service: str, now: float) -> None:
        """Count an arrival at a further upstream of `service`."""
        self._window(self._repeats_by_service, service).add(now)

    def allows(self, service: str, now: float) -> bool:
        """Return whether one more repeat stays within the allowance."""
        requests = self._window(self._requests_by_service, service)
        repeats = self._window(self._repeats_by_service, service)
        requests.expire(now)
        repeats.expire(now)
        part = self._slack / max(self._node_count(), 1)
        allowance = SAFETY_SHARE * (self._ratio * requests.total + part)
        return repeats.total + 1 <= allowance

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._window_s)
        return window
