"""A mesh node together with its HTTP servers on the platform."""

from functools import partial

import eventlet
from eventlet import wsgi

from verbenawick.calls._caller_protocol import CallerProtocol
from verbenawick.calls._entry_server import EntryServer
from verbenawick.mesh._model import RequestLimits
from verbenawick.mesh._node import SHUTDOWN_DELAY_S, MeshNode
from verbenawick.mesh._settings import MeshSettings
from verbenawick.mesh._store_era import LatestEra
from verbenawick.platform._calls import PlatformUpstreamProtocol
from verbenawick.platform._documents import ConfigurationDecoder
from verbenawick.platform._objects import PlatformStore, decode_stored_configuration
from verbenawick.platform._servers import (
    CallApplication,
    metrics_application,
    readiness_application,
    report_application,
)
from verbenawick.runtime._graceful_listener import GracefulListener
from verbenawick.runtime._metrics import MetricSet
from verbenawick.runtime._sockets import listen

MAX_AUXILIARY_CONNECTIONS = 64


class NodeServer:
    """Runs a node and its HTTP servers: calls, status reports, readiness, metrics.

    Parameters
    ----------
    shutdown_delay_s : float
        Time after a stop request during which new callers are still served.
    process_began_at : float or None
        See `MeshNode`.
    """

    def __init__(
        self,
        settings: MeshSettings,
        *,
        shutdown_delay_s: float = SHUTDOWN_DELAY_S,
        process_began_at: float | None = None,
    ):
        self.settings = settings
        self.shutdown_delay_s = shutdown_delay_s
        # Shared, since a version may come from the store and the next from a node.
        decode = ConfigurationDecoder().decode
        metrics = MetricSet()
        self.node = MeshNode(
            settings,
            process_began_at=process_began_at,
            open_store=partial(
                PlatformStore,
                settings.store_address,
                decode=decode,
                metrics=metrics,
                latest_era=LatestEra(),
            ),
            metrics=metrics,
            protocol=PlatformUpstreamProtocol(),
            decode=partial(decode_stored_configuration, decode=decode),
        )
        self.application = CallApplication(
            self.node.entry,
            clock=self.node.clock,
            caller_service=lambda: self.node.caller_service,
            observe=self.node.metrics_page.observe_call,
        )
        self._entry_server = EntryServer(
            self.application, metrics=metrics, idle_timeout_s=self._idle_timeout_s
        )
        self._auxiliary_threads = []
        self._auxiliary_listeners = []

    def start(self) -> None:
        """Open all listeners, then start the node and the servers."""
        node = self.node
        self._entry_server.listen(self.settings.call_address)
        self._start_auxiliary_server(
            self.settings.readiness_address,
            readiness_application(lambda: node.is_ready),
        )
        self._start_auxiliary_server(
            self.settings.report_address,
            report_application(
                node.upstream, clock=node.clock, keep_leave=node.keep_leave
            ),
        )
        self._start_auxiliary_server(
            self.settings.metrics_address,
            metrics_application(node.metrics_page.render, self._preview),
        )
        node.start()
        self._entry_server.start()

    def stop(self) -> None:
        """Finish calls in flight within the configured grace, then close the rest."""
        self.node.stop(
            self._entry_server,
            calls_in_flight=self.application.in_flight,
            shutdown_delay_s=self.shutdown_delay_s,
        )
        self._close_auxiliary_servers()

    def _preview(self, host: str, path: str, key_digest: bytes | None) -> dict:
        # Imported here because most nodes are never asked.
        from verbenawick.mesh._route_preview import (
            GatewayView,
            PreviewedCall,
            preview_call,
        )

        node = self.node
        view = GatewayView(
            endpoints=node.endpoints,
            links=node.links,
            standing_links=node.standing_links,
            configuration=lambda: node.entry.configuration,
            is_stopping=lambda: node.is_stopping,
        )
        call = PreviewedCall(host, path, key_digest)
        preview = preview_call(call, view, node.clock.now())
        return {"node": self.settings.node_id, **preview}

    def _idle_timeout_s(self) -> float:
        configuration = self.node.entry.configuration
        limits = configuration.limits if configuration else RequestLimits()
        return limits.idle_timeout_s

    def kill(self) -> None:
        """Close all sockets immediately, as a crash of the process would."""
        self._entry_server.close()
        self.node.close()
        self._close_auxiliary_servers()

    def _start_auxiliary_server(self, address: str, application) -> None:
        listener = GracefulListener(listen(address))
        self._auxiliary_listeners.append(listener)
        self._auxiliary_threads.append(
            eventlet.spawn(
                wsgi.server,
                listener,
                application,
                protocol=CallerProtocol,
                log_output=False,
                debug=False,
                max_size=MAX_AUXILIARY_CONNECTIONS,
            )
        )

    def _close_auxiliary_servers(self) -> None:
        for thread in self._auxiliary_threads:
            thread.kill()
        for listener in self._auxiliary_listeners:
            listener.close()
