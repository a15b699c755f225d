"""Health probe of the local upstream."""

from collections.abc import Callable

from verbenawick.errors import CallError
from verbenawick.mesh._gateway import UpstreamProtocol
from verbenawick.mesh._model import MeshConfiguration
from verbenawick.mesh._node_events import UpstreamProbeFailed
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer, UpstreamChannels
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import emit


class HealthProbe:
    """Asks the process at an address for its id.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, which contains the health paths.
    """

    def __init__(
        self,
        *,
        channels: UpstreamChannels,
        protocol: UpstreamProtocol,
        clock: Clock,
        configuration: Callable[[], MeshConfiguration | None],
    ):
        self._channels = channels
        self._protocol = protocol
        self._clock = clock
        self._configuration = configuration

    def ask(self, service_name: str, *, timeout_s: float) -> tuple[str, int]:
        """Return the id and the slots of a healthy upstream, else an empty id.

        The id is empty, too, if no configuration contains the service.
        """
        configuration = self._configuration()
        services = configuration.services_by_name if configuration else {}
        service = services.get(service_name)
        if service is None:
            return "", 0
        try:
            _, answer = self._channels.exchange(
                request_id="",
                method="GET",
                target=service.health_path,
                headers=self._protocol.health_headers(self._channels.address),
                body=b"",
                deadline=self._clock.now() + timeout_s,
                classify=self._classify,
            )
        except CallError as error:
            emit(UpstreamProbeFailed(str(error)))
            return "", 0
        upstream_id, slots = self._protocol.read_health(answer)
        if not upstream_id:
            emit(UpstreamProbeFailed(f"answered {answer.status}"))
        return upstream_id, slots

    def _classify(self, answer: RawAnswer) -> AnswerKind:
        # A health probe has no id, so an answer with one belongs to an earlier request.
        has_id = answer.header(self._protocol.id_header) is not None
        return AnswerKind.MISMATCHED if has_id else AnswerKind.MATCHING
