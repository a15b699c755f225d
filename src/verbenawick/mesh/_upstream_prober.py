"""Task that probes the local upstream until its id and state are known."""

import eventlet

from verbenawick.mesh._health_probe import HealthProbe
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._model import UpstreamState

# The upstream answers a health probe within a millisecond unless its slots are in use.
PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.3


class UpstreamProber:
    """Sends health probes to an upstream that has not reported its status yet."""

    def __init__(self, upstream: LocalUpstream, probe: HealthProbe):
        self._upstream = upstream
        self._probe = probe
        self._thread = None

    def start_if_unknown(self) -> None:
        """Start probing unless the upstream is known or already being probed."""
        if self._upstream.state is UpstreamState.UNKNOWN and not self._thread:
            self._thread = eventlet.spawn(self._probe_until_known)

    def close(self) -> None:
        """Stop probing."""
        if self._thread:
            self._thread.kill()

    def probe(self) -> None:
        """Send one health probe and apply its answer."""
        upstream_id, slots = self._probe.ask(
            self._upstream.service, timeout_s=PROBE_TIMEOUT_S
        )
        if upstream_id:
            self._upstream.on_probe(upstream_id, slots)

    def _probe_until_known(self) -> None:
        try:
            while self._upstream.state is UpstreamState.UNKNOWN:
                self.probe()
                eventlet.sleep(PROBE_INTERVAL_S)
        finally:
            self._thread = None
