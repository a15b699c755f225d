"""Evidence about the process that serves at the address of the local upstream."""

from verbenawick.mesh._health_probe import HealthProbe
from verbenawick.mesh._upstream_channels import HeldChannel, UpstreamChannels

# A status report is acknowledged within 1 s, part of which storing a leave may need.
HEALTH_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 0.1


class UpstreamObserver:
    """Tells a process that left from a later one at the same address.

    A process that ends closes its connections. So a connection that is opened when the
    process leaves, and carries no request, proves that it runs for as long as nothing
    arrives on it. The opposite is not true, since upstreams close idle connections.
    """

    def __init__(self, channels: UpstreamChannels, probe: HealthProbe):
        self._channels = channels
        self._probe = probe
        self._held: HeldChannel | None = None

    def is_healthy(self, upstream_id: str, service: str) -> bool:
        """Return whether the process answers a health probe as `upstream_id`."""
        found_id, _ = self._probe.ask(service, timeout_s=HEALTH_TIMEOUT_S)
        return found_id == upstream_id

    def watch_process(self) -> None:
        """Observe the process that serves now."""
        self.stop_watching()
        self._held = self._channels.hold(timeout_s=CONNECT_TIMEOUT_S)

    def is_watched_process_running(self) -> bool:
        """Return whether it is certain that the observed process still runs."""
        return self._held is not None and self._held.is_silent

    def stop_watching(self) -> None:
        """Stop observing the process."""
        held, self._held = self._held, None
        if held is not None:
            held.close()
