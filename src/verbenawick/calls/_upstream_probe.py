"""Health probe of the local upstream, which also shows the end of a drain.

The health that an upstream reports can be stale or wrong, so the probe only decides
whether the node offers the upstream to other nodes. Each call still determines its own
outcome.
"""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from verbenawick.runtime._events import Event, emit, register_event

HEALTH_PATH = "/health"
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
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

    def __init__(self, address: str, *, on_result: Callable[[bool], None]):
        host, _, port = address.rpartition(":")
        self._address = address
        self._pool = HTTPConnectionPool(
            host, int(port), maxsize=1, timeout=Timeout(PROBE_TIMEOUT_S), retries=False
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
        self._pool.close()

    def _run(self) -> None:
        while True:
            reason = self.probe()
            self._emit_on_change(reason)
            self._on_result(not reason)
            eventlet.sleep(PROBE_INTERVAL_S)

    def probe(self) -> str:
        """Return the reason why the upstream is unhealthy; empty if it is healthy."""
        try:
            status = self._pool.urlopen("GET", HEALTH_PATH).status
        except HTTPError as error:
            return type(error).__name__
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
