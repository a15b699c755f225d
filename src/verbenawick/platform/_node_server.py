"""A node together with its HTTP listeners on the platform."""

import eventlet
from eventlet import wsgi

from verbenawick.calls._entry_server import EntryServer
from verbenawick.mesh._node import SHUTDOWN_DELAY_S, MeshNode
from verbenawick.mesh._settings import MeshSettings
from verbenawick.platform._calls import PlatformUpstreamProtocol
from verbenawick.platform._objects import PlatformStore, read_configuration
from verbenawick.platform._servers import (
    CallApplication,
    metrics_application,
    readiness_application,
    report_application,
)
from verbenawick.runtime._sockets import listen

MAX_PAGE_CONNECTIONS = 64


class NodeServer:
    """Listeners of a node: callers, status reports, readiness.

    Parameters
    ----------
    shutdown_delay_s : float
        Time after a request to stop during which new callers are still served.
    """

    def __init__(
        self, settings: MeshSettings, *, shutdown_delay_s: float = SHUTDOWN_DELAY_S
    ):
        self.settings = settings
        self.shutdown_delay_s = shutdown_delay_s
        self.node = MeshNode(
            settings,
            open_store=lambda: PlatformStore(settings.store_address),
            protocol=PlatformUpstreamProtocol(),
            decode=read_configuration,
        )
        self.application = CallApplication(
            self.node.entry,
            clock=self.node.clock,
            caller_service=lambda: self.node.caller_service,
            observe=self.node.metrics_page.observe_call,
        )
        self._entry_server = EntryServer(self.application)
        self._page_threads = []
        self._page_listeners = []

    def start(self) -> None:
        """Open all listeners and start the node."""
        node = self.node
        self._entry_server.listen(self.settings.call_address)
        self._serve_page(
            self.settings.readiness_address,
            readiness_application(lambda: node.is_ready),
        )
        self._serve_page(
            self.settings.report_address,
            report_application(node.upstream, clock=node.clock),
        )
        self._serve_page(
            self.settings.metrics_address,
            metrics_application(node.metrics_page.render),
        )
        node.start()
        self._entry_server.start()

    def stop(self) -> None:
        """Finish all calls and close everything within the grace of the settings."""
        self.node.stop(
            self._entry_server,
            calls_in_flight=self.application.in_flight,
            shutdown_delay_s=self.shutdown_delay_s,
        )
        self._close_pages()

    def kill(self) -> None:
        """Close all sockets at once, as the end of the process would."""
        self._entry_server.close()
        self.node.close()
        self._close_pages()

    def _serve_page(self, address: str, application) -> None:
        listener = listen(address)
        self._page_listeners.append(listener)
        self._page_threads.append(
            eventlet.spawn(
                wsgi.server,
                listener,
                application,
                log_output=False,
                debug=False,
                max_size=MAX_PAGE_CONNECTIONS,
            )
        )

    def _close_pages(self) -> None:
        for thread in self._page_threads:
            thread.kill()
        for listener in self._page_listeners:
            listener.close()
