"""Node processes with a stand-in store, stand-in upstreams, and callers."""

import json
import math
import signal
import subprocess
import sys
from contextlib import ExitStack, contextmanager, suppress
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path
from random import Random, randrange
from time import monotonic

import eventlet
from eventlet import wsgi
from eventlet.green import socket

from soak._callers import SERVICES, Caller
from soak._links import LinkProxy
from soak._promises import History, Run
from soak._proxy import FaultyProxy
from standins.platform_upstream import StandinPlatformUpstream
from standins.proxied_store import ProxiedStore

REPORT_INTERVAL_S = 0.3
RESTART_DELAY_S = 0.4
# Between the starts of two upstream processes, if no clock steps.
BIRTH_INTERVAL_MS = 1000
# Service times of upstreams. Requests behind a slow one wait longer than the slack of
# `sent_requests_are_answered`.
FAST_S = (0.005, 0.08)
SLOW_S = (0.25, 0.6)
SLOW_RATIO = 0.1
# Below the ports that the kernel gives to outgoing connections.
PORT_RANGE = (20_000, 30_000)
LISTENERS = ("call", "peer", "readiness", "report", "metrics")


class SoakUpstream(StandinPlatformUpstream):
    """Upstream that records when it begins to run a request."""

    def __init__(self, upstream_id: str, service: str, history: History, random):
        super().__init__(upstream_id, service)
        self._history = history
        self._random = random

    @property
    def process(self) -> str:
        """Return what tells this process from others, also from those with its id."""
        return f"{self.upstream_id}/{self.born_ms}"

    def _run(self, environ, start_response, request_id):
        run = Run(request_id, self.process, monotonic())
        self._history.runs.append(run)
        is_slow = self._random.random() < SLOW_RATIO
        self.service_time_s = self._random.uniform(*(SLOW_S if is_slow else FAST_S))
        return super()._run(environ, start_response, request_id)


class SoakNode:
    """A node process, its upstream, and proxies to the upstream, store and node."""

    def __init__(self, number: int, world: "World"):
        self.node_id = f"node-{number}"
        self.service = SERVICES[number % len(SERVICES)]
        self.world = world
        self.boots = count(1)
        self.process: subprocess.Popen | None = None
        self.is_down = False
        self.state = "ready"
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.upstream_proxy = FaultyProxy(
            f"127.0.0.1:{self._listener.getsockname()[1]}"
        )
        self.store_proxy = FaultyProxy(world.store_address)
        self.addresses = {
            name: f"127.0.{1 + number // 200}.{1 + number % 200}:{world.port + i}"
            for i, name in enumerate(LISTENERS)
        }
        self.link_proxy = LinkProxy(
            self.addresses["peer"],
            proxy_by_address=world.store.proxy_by_address,
            seed=world.seed,
        )
        self._settings_path = world.folder / f"{self.node_id}.json5"
        self.write_settings()
        self.replace_upstream()

    def write_settings(self) -> None:
        """Write the settings file of the node."""
        settings = {f"{name}_address": a for name, a in self.addresses.items()}
        settings |= {
            "node_id": self.node_id,
            "data_centre": f"dc{int(self.node_id[5:]) % 3}",
            "region": f"region{int(self.node_id[5:]) % 2}",
            "store_address": self.store_proxy.address,
            "upstream": {
                "service": self.service,
                "address": self.upstream_proxy.address,
            },
            "retry_budget": {"ratio": 0.2, "slack": 60, "window_s": 10},
            "stop_grace_s": 6.0,
        }
        self._settings_path.write_text(json.dumps(settings))

    def replace_upstream(self, *, keeps_id: bool = False, step_ms: int = 0) -> None:
        """Start a new upstream process in place of the last one.

        Parameters
        ----------
        step_ms : int
            How far the clock from which it takes its start is ahead.
        """
        self.upstream_proxy.reset_connections()
        world = self.world
        upstream_id = (
            self.upstream.upstream_id
            if keeps_id
            else f"i-{self.node_id}-{next(self.boots)}"
        )
        self.upstream = SoakUpstream(
            upstream_id, self.service, world.history, world.random
        )
        self.upstream.born_ms = BIRTH_INTERVAL_MS * next(world.births) + step_ms
        self.state = "ready"

    def serve_upstream(self) -> None:
        """Serve the current upstream until the green thread is killed."""
        wsgi.server(
            self._listener,
            lambda *request: self.upstream(*request),
            log_output=False,
            debug=False,
        )

    def report(self) -> None:
        """Send status reports until the green thread is killed."""
        while True:
            upstream, state = self.upstream, self.state
            if state == "leaving":
                eventlet.sleep(REPORT_INTERVAL_S)
                continue
            try:
                status = upstream.report(
                    self.addresses["report"], self.upstream_proxy.address, state=state
                )
            except (OSError, HTTPException):
                status = 0  # the node is down; the next report retries
            if status == 200 and state == "draining":
                self._note_acknowledgement(upstream)
            eventlet.sleep(REPORT_INTERVAL_S)

    def leave(self) -> None:
        """Tell the node that the upstream leaves, which goes on serving."""
        self.state = "leaving"
        upstream = self.upstream
        upstream.is_healthy = False
        with suppress(OSError, HTTPException):
            if upstream.leave(self.addresses["report"]) == 200:
                self._note_acknowledgement(upstream)

    def report_late(self, sequence: int) -> None:
        """Deliver an earlier report, according to which the upstream is ready."""
        with suppress(OSError, HTTPException):
            self.upstream.report(
                self.addresses["report"],
                self.upstream_proxy.address,
                sequence=sequence,
            )

    def _note_acknowledgement(self, upstream: SoakUpstream) -> None:
        self.world.history.drained_at.setdefault(upstream.process, monotonic())

    def start(self) -> None:
        """Start the node process, with its output in a file of its own."""
        self._log = self.world.folder / f"{self.node_id}.{monotonic():.3f}.log"
        with self._log.open("w") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", "verbenawick.platform"]
                + ["--settings", str(self._settings_path)],
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.is_down = False

    def signal(self, number: int) -> None:
        """Send a signal to the node process."""
        self.process.send_signal(number)

    def end(self, number: int, *, repeat_after_s: float = math.inf) -> None:
        """Send a signal that ends the process, wait for that and start a new one.

        The signal is sent again each `repeat_after_s` while the process runs.
        """
        self.is_down = True
        process = self.process
        # A signal ends a process that does not handle signals yet.
        is_starting = "MeshNodeStarted" not in self._log.read_text()
        self.signal(number)
        repeat_at = monotonic() + repeat_after_s
        while process.poll() is None:
            if monotonic() >= repeat_at:
                process.send_signal(number)
                repeat_at += repeat_after_s
            eventlet.sleep(0.05)
        if process.returncode not in (0, -signal.SIGKILL) and not is_starting:
            self.world.history.own_exits.append(
                f"{self.node_id} code {process.returncode}"
            )
        eventlet.sleep(RESTART_DELAY_S)
        self.start()

    def read_logs(self, history: History) -> None:
        """Add the versions that each process of this node put in force."""
        for log in sorted(self.world.folder.glob(f"{self.node_id}.*.log")):
            versions = history.versions_by_process.setdefault(log.stem, [])
            for line in log.read_text().splitlines():
                if '"ConfigurationInForce"' in line:
                    versions.append(json.loads(line)["version"])

    def memory_mb(self) -> float:
        """Return the peak memory of the process."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next((i for i in status.splitlines() if i.startswith("VmHWM")), "0 0")
        return int(line.split()[1]) / 1024


def _connect(address: str) -> HTTPConnection:
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port))
    connection.sock = socket.create_connection((host, int(port)))
    return connection


class World:
    """All nodes of a run, the store and the history."""

    def __init__(self, *, seed: int, nodes: int, folder: Path):
        self.seed = seed
        self.port = _free_ports(len(LISTENERS))
        self.folder = folder
        self.random = Random(f"{seed} upstreams")
        self.births = count(1)
        self.history = History()
        self.is_calling = True
        self.store = ProxiedStore()
        self._version = 0
        listener = eventlet.listen(("127.0.0.1", 0))
        self.store_address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._threads = [eventlet.spawn(self.store.serve, listener)]
        self._caller_threads = []
        self.configure()
        self.nodes = [SoakNode(number, self) for number in range(nodes)]

    def configure(self) -> None:
        """Store the next version of the configuration."""
        self._version += 1 + self.random.randrange(5)
        routes = [
            _route(service, f"/{service}/", kind)
            for service, kind in zip(SERVICES, ("safe", "unsafe"), strict=True)
        ]
        routes.append(_route(SERVICES[0], f"/v{self._version}/", "safe"))
        spec = {"health_path": "/health", "max_connections": 64, "protocol": "h1"}
        services = [
            {"resource_type": "services", "metadata": {"name": name}, "spec": spec}
            for name in SERVICES
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        resources = [*routes, *services]
        resources.append({"resource_type": "limits", "metadata": {}, "spec": limits})
        content = {"version": self._version, "resources": resources}
        self.store.put("config", "main", content)

    def spawn(self, task, *arguments) -> None:
        """Run a task until the end of the run."""
        self._threads.append(eventlet.spawn(task, *arguments))

    def is_serving(self, node: SoakNode) -> bool:
        """Return whether a node says that it is ready."""
        try:
            with eventlet.Timeout(1.0, OSError("no answer in time")):
                connection = _connect(node.addresses["readiness"])
                connection.request("GET", "/readiness")
                return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False

    def wait_until_serving(self, *, timeout_s: float) -> None:
        """Wait until all nodes are ready; record those that are not in time."""
        deadline = monotonic() + timeout_s
        waiting = list(self.nodes)
        while waiting and monotonic() < deadline:
            waiting = [node for node in waiting if not self.is_serving(node)]
            eventlet.sleep(0.1)
        self.history.unready += [node.node_id for node in waiting]

    @contextmanager
    def running(self, *, callers: int):
        """Run all nodes and callers; end the processes that were started."""
        try:
            for node in self.nodes:
                self.spawn(node.serve_upstream)
                node.start()
                self.spawn(node.report)
            self.wait_until_serving(timeout_s=30.0)
            for node in self.nodes:
                for number in range(callers):
                    caller = Caller(f"{node.node_id}-c{number}", node, self)
                    self._caller_threads.append(eventlet.spawn(caller.run))
            yield self
        finally:
            for thread in self._caller_threads + self._threads:
                thread.kill()
            for node in self.nodes:
                if node.process is not None and node.process.poll() is None:
                    node.signal(signal.SIGCONT)
                    node.process.kill()
                    node.process.wait()
                node.upstream_proxy.close()
                node.store_proxy.close()
                node.link_proxy.close()

    def finish_calls(self) -> None:
        """Let the callers send nothing more, and wait for their last answers."""
        self.is_calling = False
        for thread in self._caller_threads:
            thread.wait()

    def complete_history(self) -> History:
        """Return the history with what the processes logged and used."""
        for node in self.nodes:
            if node.process.poll() is not None:
                self.history.own_exits.append(node.node_id)
                continue
            name = f"{node.node_id} {node.process.pid}"
            self.history.peak_mb_by_process[name] = node.memory_mb()
            node.read_logs(self.history)
        return self.history


def _free_ports(number: int) -> int:
    """Return the first of `number` ports that are free on all loopback addresses."""
    while True:
        first = randrange(*PORT_RANGE)
        with ExitStack() as sockets:
            try:
                for port in range(first, first + number):
                    sock = sockets.enter_context(socket.socket())
                    sock.bind(("0.0.0.0", port))
            except OSError:
                continue
        return first


def _route(service: str, prefix: str, kind: str) -> dict:
    spec = {
        "host": "mesh.example",
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
    }
    name = f"r-{prefix.strip('/')}"
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
