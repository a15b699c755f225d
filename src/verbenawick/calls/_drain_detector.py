"""Detection of an upstream that starts to drain by itself.

A health endpoint can be stale or wrong, and a refusal can have other causes, so the
gateway stops sending only if both indicate a drain.
"""

from collections.abc import Callable
from dataclasses import dataclass

from verbenawick.runtime._events import Event, emit, register_event

REFUSALS_TO_DRAIN = 3


@register_event(122, level="WARNING")
@dataclass(frozen=True, slots=True)
class UpstreamDrainDetected(Event):
    """The upstream is unhealthy and refuses calls; it gets no more calls."""

    upstream: str
    refusals: int


@register_event(123)
@dataclass(frozen=True, slots=True)
class UpstreamDrainEnded(Event):
    """Calls are sent to the upstream again."""

    upstream: str
    reason: str


class DrainDetector:
    """Drains and resumes the gateway of one upstream.

    Parameters
    ----------
    upstream : str
        Address of the upstream, used in events.
    drain, resume : callable
        Stop and restart sending to the upstream.
    is_last_member : callable
        Returns whether no other member of the service accepts calls. A drained upstream
        is then resumed, so that false reports cannot leave a service without upstreams.
    """

    def __init__(
        self,
        upstream: str,
        *,
        drain: Callable[[], None],
        resume: Callable[[], None],
        is_last_member: Callable[[], bool],
    ):
        self.is_drained = False
        self._upstream = upstream
        self._drain = drain
        self._resume = resume
        self._is_last_member = is_last_member
        self._refusals = 0

    def record_run(self) -> None:
        """Record that the upstream ran a request."""
        self._refusals = 0

    def record_refusal(self) -> None:
        """Record that the upstream refused a request without running it."""
        self._refusals += 1

    def record_health(self, is_healthy: bool) -> None:
        """Record the result of a health probe, and drain or resume if it says so."""
        if self.is_drained:
            self._resume_if_recovered(is_healthy)
            return
        if is_healthy or self._refusals < REFUSALS_TO_DRAIN:
            return
        self.is_drained = True
        emit(UpstreamDrainDetected(self._upstream, self._refusals))
        self._drain()

    def _resume_if_recovered(self, is_healthy: bool) -> None:
        if not is_healthy and not self._is_last_member():
            return
        self.is_drained = False
        self._refusals = 0
        reason = "healthy" if is_healthy else "no other member takes calls"
        emit(UpstreamDrainEnded(self._upstream, reason))
        self._resume()
