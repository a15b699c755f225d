"""Full-jitter, capped backoff."""

from random import Random

BACKOFF_FIRST_S = 0.1
BACKOFF_CAP_S = 5.0


class Backoff:
    """Waits between attempts, drawn uniformly from zero to a doubling limit.

    Full jitter spreads the reconnects of many processes that failed together.

    Parameters
    ----------
    random : Random
        Source of randomness.
    """

    def __init__(
        self,
        random: Random,
        *,
        first_s: float = BACKOFF_FIRST_S,
        cap_s: float = BACKOFF_CAP_S,
    ):
        self._random = random
        self._first_s = first_s
        self._cap_s = cap_s
        self._limit_s = first_s

    def next_wait_s(self) -> float:
        """Return the next wait in seconds and double the limit up to the cap."""
        wait_s = self._random.uniform(0.0, self._limit_s)
        self._limit_s = min(self._limit_s * 2, self._cap_s)
        return wait_s

    def reset(self) -> None:
        """Start again from the first limit after a success."""
        self._limit_s = self._first_s
