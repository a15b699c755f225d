"""In-process test mesh: nodes and upstreams on a stand-in platform store."""

from dataclasses import dataclass, field
from http.client import HTTPConnection
from itertools import count

import eventlet
from eventlet.green import socket

from standins.platform_store import StandinPlatformStore
from standins.platform_upstream import StandinPlatformUpstream
from tests.call_support import free_port, wait_until
from verbenawick.mesh._settings import (
    LocalUpstreamSettings,
    MeshSettings,
    ReleaseSettings,
    RetryBudgetSettings,
)
from verbenawick.platform._node_server import NodeServer

CONFIG_KIND = "config"
RECORD_KIND = "verbenawick-upstreams"
REPORT_INTERVAL_S = 0.2

_request_numbers = count(1)


def route(name: str, prefix: str, **spec) -> dict:
    """Return a route resource of the platform's configuration."""
    defaults = {
        "host": "mesh.example",
        "path_prefix": prefix,
        "kind": "safe",
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
    }
    return {
        "resource_type": "routes",
        "metadata": {"name": name},
        "spec": {**defaults, **spec},
    }


def service(name: str) -> dict:
    """Return a service resource of the platform's configuration."""
    spec = {"health_path": "/health", "max_connections": 120, "protocol": "h1"}
    return {"resource_type": "services", "metadata": {"name": name}, "spec": spec}


def limits(**spec) -> dict:
    """Return the limits resource of the platform's configuration."""
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        **spec,
    }
    return {"resource_type": "limits", "metadata": {}, "spec": spec}


@dataclass
class CallerResponse:
    """A response as a caller sees it."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class ClusterNode:
    """A node with its upstream.

    Attributes
    ----------
    is_reporting : bool
        Whether the upstream sends status reports.
    """

    server: NodeServer
    upstream: StandinPlatformUpstream
    upstream_address: str
    upstream_thread: object
    is_reporting: bool = True
    state: str = "ready"
    reporter: object = None
    listener: object = None

    @property
    def node_id(self) -> str:
        """Return the id of the node."""
        return self.server.settings.node_id

    @property
    def call_address(self) -> str:
        """Return the address for callers."""
        return self.server.settings.call_address

    @property
    def report_address(self) -> str:
        """Return the address for status reports of the upstream."""
        return self.server.settings.report_address


@dataclass
class MeshCluster:
    """Stand-in platform with nodes; must be closed at the end of the test."""

    store: StandinPlatformStore = field(default_factory=StandinPlatformStore)
    nodes: list[ClusterNode] = field(default_factory=list)
    resources: list[dict] = field(default_factory=list)
    limits_spec: dict = field(default_factory=dict)
    version: int = 0
    releases: ReleaseSettings | None = None
    _threads: list = field(default_factory=list)

    def __post_init__(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.store_address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._threads.append(eventlet.spawn(self.store.serve, listener))

    def configure(self, *resources: dict) -> int:
        """Store a configuration of these resources and return its version."""
        self.version += 1
        content = {
            "version": self.version,
            "resources": [*resources, limits(**self.limits_spec)],
        }
        self.store.put(CONFIG_KIND, "main", content)
        return self.version

    def add_node(
        self,
        service_name: str,
        *,
        data_centre="dc1",
        region="north",
        peer_address="",
        **upstream,
    ) -> ClusterNode:
        """Start an upstream and its node."""
        number = len(self.nodes) + 1
        standin = StandinPlatformUpstream(f"i-{number}", service_name, **upstream)
        listener = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        thread = eventlet.spawn(standin.serve, listener)
        settings = MeshSettings(
            node_id=f"node-{number}",
            data_centre=data_centre,
            region=region,
            call_address=f"127.0.0.1:{free_port()}",
            peer_address=peer_address or f"127.0.0.1:{free_port()}",
            readiness_address=f"127.0.0.1:{free_port()}",
            report_address=f"127.0.0.1:{free_port()}",
            metrics_address=f"127.0.0.1:{free_port()}",
            store_address=self.store_address,
            upstream=LocalUpstreamSettings(service=service_name, address=address),
            retry_budget=RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
            releases=self.releases,
        )
        node = ClusterNode(
            NodeServer(settings, shutdown_delay_s=0.2), standin, address, thread
        )
        node.listener = listener
        node.server.start()
        node.reporter = eventlet.spawn(self._report, node)
        self.nodes.append(node)
        return node

    def node(self, node_id: str) -> ClusterNode:
        """Return a node by its id."""
        return next(node for node in self.nodes if node.node_id == node_id)

    def restart_node(self, node: ClusterNode, *, is_planned: bool = False) -> None:
        """Kill the node, or stop it gracefully, and start it; the upstream runs on."""
        if is_planned:
            node.server.stop()
        else:
            node.server.kill()
        eventlet.sleep(0.05)
        node.server = NodeServer(node.server.settings, shutdown_delay_s=0.2)
        node.server.start()

    def crash_upstream(self, node: ClusterNode) -> None:
        """Simulate a crash of the upstream: stop its listener and its reports."""
        node.is_reporting = False
        node.upstream_thread.kill()
        node.listener.close()

    def revive_upstream(self, node: ClusterNode, *, keeps_id: bool = False) -> None:
        """Start a crashed upstream at its address, as a new process."""
        host, _, port = node.upstream_address.rpartition(":")
        upstream = node.upstream
        if not keeps_id:
            upstream.upstream_id += "-next"
        upstream.born_ms += 1
        upstream.sequence = 0
        node.listener = eventlet.listen((host, int(port)))
        node.upstream_thread = eventlet.spawn(upstream.serve, node.listener)
        node.is_reporting = True

    def wait_ready(self) -> None:
        """Wait until all nodes know the ready upstreams and have standing links."""
        expected = sum(node.state == "ready" for node in self.nodes)
        wait_until(lambda: all(self._is_ready(n, expected) for n in self.nodes), 10)

    def _is_ready(self, node: ClusterNode, expected: int) -> bool:
        mesh = node.server.node
        ready = [e for e in mesh.endpoints.all() if e.state == "ready"]
        linked = [
            e
            for e in ready
            if e.node_id == node.node_id
            or mesh.links.is_connected(e.member)
            or not mesh.standing_links.is_standing(e)
        ]
        return mesh.is_ready and len(linked) == expected

    def _report(self, node: ClusterNode) -> None:
        while True:
            if node.is_reporting:
                try:
                    node.upstream.report(
                        node.report_address, node.upstream_address, state=node.state
                    )
                except OSError:
                    pass  # the node is down; the next report retries
            eventlet.sleep(REPORT_INTERVAL_S)

    def call(
        self, node: ClusterNode, path: str, *, method="GET", body=None, **headers
    ) -> CallerResponse:
        """Send one request to a node over a new connection."""
        host, _, port = node.call_address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=10)
        connection.sock = socket.create_connection((host, int(port)), 10)
        sent = {
            "Host": "mesh.example",
            "Attempt-Id": f"a-{next(_request_numbers)}",
            "Deadline-Remaining": "2000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            return CallerResponse(
                response.status, dict(response.headers), response.read()
            )
        finally:
            connection.close()

    def get(self, address: str, path: str) -> str:
        """Return the body of a GET request."""
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=5)
        connection.sock = socket.create_connection((host, int(port)), 5)
        connection.request("GET", path)
        text = connection.getresponse().read().decode()
        connection.close()
        return text

    def close(self) -> None:
        """Stop all nodes, upstreams and the store."""
        for node in self.nodes:
            node.reporter.kill()
            node.server.kill()
            node.upstream_thread.kill()
            node.listener.close()
        for thread in self._threads:
            thread.kill()
