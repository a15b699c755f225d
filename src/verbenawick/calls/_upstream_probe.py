"""Health probe of the local upstream, which also shows the end of a drain.

The health that an upstream reports can be stale or wrong, so the probe only decides
whether the node offers the upstream to other nodes. Each call still determines its own
outcome.
"""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from verbenawick.calls._upstream import UpstreamConnections
from verbenawick.errors import CallError
from verbenawick.runtime._clock import Clock, MonotonicClock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricSet

HEALTH_PATH = "/health"
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 65_536
HTTP_OK = 200


@register_event(120, level="WARNING")
@dataclass(frozen=True, slots=True)
class UpstreamUnhealthy(Event):
    """The health probe of the upstream failed."""

    upstream: str
    reason: str


@register_event(121)
@dataclass(frozen=True, slots=True)
class UpstreamHealthy(Event):
    """The health probe of the upstream succeeds again, or for the first time."""

    upstream: str


class UpstreamProbe:
    """Probes the health of one upstream at a fixed interval.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the upstream.
    on_result : callable
        Called after each probe with whether the upstream is healthy.
    """

    def __init__(
        self,
        address: str,
        *,
        on_result: Callable[[bool], None],
        clock: Clock | None = None,
    ):
        self._address = address
        self._clock = clock or MonotonicClock()
        self._connections = UpstreamConnections(
            address, max_connections=1, clock=self._clock, metrics=MetricSet()
        )
        self._on_result = on_result
        self._was_healthy: bool | None = None
        self._thread = None

    def start(self) -> None:
        """Start probing in a green thread."""
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop probing."""
        if self._thread is not None:
            self._thread.kill()
        self._connections.close_idle()

    def _run(self) -> None:
        while True:
            reason = self.probe()
            self._emit_on_change(reason)
            self._on_result(not reason)
            eventlet.sleep(PROBE_INTERVAL_S)

    def probe(self) -> str:
        """Return the reason why the upstream is unhealthy; empty if it is healthy."""
        try:
            status = self._connections.exchange(
                method="GET",
                target=HEALTH_PATH,
                headers=(("Host", self._address),),
                body=b"",
                deadline=self._clock.now() + PROBE_TIMEOUT_S,
                max_body_bytes=MAX_BODY_BYTES,
            ).status
        except CallError as error:
            return error.message
        finally:
            # A repeated response to this probe must not be taken for the next one's.
            self._connections.close_idle()
        return "" if status == HTTP_OK else f"status {status}"

    def _emit_on_change(self, reason: str) -> None:
        is_healthy = not reason
        if is_healthy == self._was_healthy:
            return
        self._was_healthy = is_healthy
        if is_healthy:
            emit(UpstreamHealthy(self._address))
        else:
            emit(UpstreamUnhealthy(self._address, reason))
