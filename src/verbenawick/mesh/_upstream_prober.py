"""Task that probes the local upstream until its id and state are known."""

from collections.abc import Callable

import eventlet

from verbenawick.errors import CallError
from verbenawick.mesh._gateway import UpstreamProtocol
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._model import MeshConfiguration, ServiceSpec, UpstreamState
from verbenawick.mesh._node_events import UpstreamProbeFailed
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer, UpstreamChannels
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import emit

# The upstream answers a health probe within a millisecond unless its slots are in use.
PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.3


class UpstreamProber:
    """Sends health probes to an upstream that has not reported its status yet.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, which contains the health path.
    """

    def __init__(
        self,
        upstream: LocalUpstream,
        *,
        channels: UpstreamChannels,
        protocol: UpstreamProtocol,
        clock: Clock,
        configuration: Callable[[], MeshConfiguration | None],
    ):
        self._upstream = upstream
        self._channels = channels
        self._protocol = protocol
        self._clock = clock
        self._configuration = configuration
        self._thread = None

    def start_if_unknown(self) -> None:
        """Start probing unless the upstream is known or already being probed."""
        if self._upstream.state is UpstreamState.UNKNOWN and not self._thread:
            self._thread = eventlet.spawn(self._probe_until_known)

    def close(self) -> None:
        """Stop probing."""
        if self._thread:
            self._thread.kill()

    def _probe_until_known(self) -> None:
        try:
            while self._upstream.state is UpstreamState.UNKNOWN:
                configuration = self._configuration()
                services = configuration.services_by_name if configuration else {}
                service = services.get(self._upstream.service)
                if service is not None:
                    self._probe(service)
                eventlet.sleep(PROBE_INTERVAL_S)
        finally:
            self._thread = None

    def _probe(self, service: ServiceSpec) -> None:
        try:
            _, answer = self._channels.exchange(
                request_id="",
                method="GET",
                target=service.health_path,
                headers=self._protocol.health_headers(self._upstream.address),
                body=b"",
                deadline=self._clock.now() + PROBE_TIMEOUT_S,
                classify=self._classify,
            )
        except CallError as error:
            emit(UpstreamProbeFailed(str(error)))
            return
        upstream_id, slots = self._protocol.read_health(answer)
        if upstream_id:
            self._upstream.on_probe(upstream_id, slots)
        else:
            emit(UpstreamProbeFailed(f"answered {answer.status}"))

    def _classify(self, answer: RawAnswer) -> AnswerKind:
        # A health probe has no id, so an answer with one belongs to an earlier request.
        has_id = answer.header(self._protocol.id_header) is not None
        return AnswerKind.MISMATCHED if has_id else AnswerKind.MATCHING
