"""Data model of what upstreams say of their load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream names in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests running at the upstream, requests in its own queue, and the number that
        it runs concurrently.
    slowdown : float or None
        Time that work takes on its VM at this moment relative to the usual time, 1 as
        usual; None if the upstream does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
