"""Capped exponential backoff with full jitter."""

from random import Random

INITIAL_BACKOFF_LIMIT_S = 0.1
MAX_BACKOFF_LIMIT_S = 5.0


class Backoff:
    """Delays between attempts, drawn uniformly between zero and a doubling limit.

    Full jitter spreads out the reconnects of processes that failed at the same time.

    Parameters
    ----------
    random : Random
        Source of randomness.
    """

    def __init__(
        self,
        random: Random,
        *,
        initial_limit_s: float = INITIAL_BACKOFF_LIMIT_S,
        max_limit_s: float = MAX_BACKOFF_LIMIT_S,
    ):
        self._random = random
        self._initial_limit_s = initial_limit_s
        self._max_limit_s = max_limit_s
        self._limit_s = initial_limit_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds and double the limit up to the cap."""
        delay_s = self._random.uniform(0.0, self._limit_s)
        self._limit_s = min(self._limit_s * 2, self._max_limit_s)
        return delay_s

    def reset(self) -> None:
        """Reset the limit to its initial value, after a success."""
        self._limit_s = self._initial_limit_s
