"""Mesh of control tasks in a few worker processes, with the stand-in store."""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from standins.processes import free_network
from verbenawick.settings._settings import NodeSettings

ROOT = Path(__file__).resolve().parent.parent
PEER_PORT = 7000
STORE_PORT = 7001
MESH_NETWORKS = range(70, 240)
STOP_TIMEOUT_S = 15.0
POLL_S = 0.25


def _free_mesh_network() -> int:
    return free_network(networks=MESH_NETWORKS, host="255.1", port=STORE_PORT)


class WorkerProcess:
    """One `bench.mesh_worker` process.

    Parameters
    ----------
    nodes : list of dict
        Settings of its nodes.
    mode : str
        Kind of its nodes, ``"tree"`` or ``"baseline"`` in `bench.mesh_worker`.
    module : str
        Module that the process runs.
    """

    def __init__(
        self,
        nodes: list[dict],
        *,
        mode: str,
        seed: int,
        module: str = "bench.mesh_worker",
    ):
        self.node_ids = [node["node_id"] for node in nodes]
        self._process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", module],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.send({"nodes": nodes, "mode": mode, "seed": seed})

    def send(self, command: dict) -> None:
        """Send a command; `receive` returns its answer."""
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        self._process.stdin.flush()

    def receive(self) -> dict:
        """Return the answer to the oldest unanswered command."""
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("worker process ended without an answer")
        return json.loads(line)

    def ask(self, **command) -> dict:
        """Send a command and return its answer."""
        self.send(command)
        return self.receive()

    def close(self) -> None:
        """Stop the process; kill it if it does not end in time."""
        self._process.stdin.close()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


@dataclass
class MeshPlan:
    """Layout of nodes over data centres and regions.

    Attributes
    ----------
    network : int
        Second octet of the loopback addresses, 127.``network``.x.y.
    """

    data_centres: int
    nodes_per_centre: int
    centres_per_region: int = 3
    services: int = 82
    network: int = field(default_factory=_free_mesh_network)
    seeds_per_node: int = 3
    timing: dict = field(default_factory=dict)

    @property
    def store_address(self) -> str:
        """Address of the stand-in store."""
        return f"127.{self.network}.255.1:{STORE_PORT}"

    def address(self, centre: int, index: int) -> str:
        """Return the peer address of a node."""
        return f"127.{self.network}.{centre}.{index + 1}:{PEER_PORT}"

    def settings(self, centre: int, index: int) -> dict:
        """Return the settings of one node."""
        ip = self.address(centre, index).partition(":")[0]
        node_count = self.nodes_per_centre
        seeds = {
            (index + k * (node_count // 4 or 1) + 1) % node_count for k in range(4)
        } - {index}
        number = centre * node_count + index
        settings = {
            "node_id": f"dc{centre:02}-n{index:03}",
            "data_centre": f"dc{centre:02}",
            "region": f"r{centre // self.centres_per_region}",
            "call_address": f"{ip}:7100",
            "peer_address": f"{ip}:{PEER_PORT}",
            "admin_address": f"{ip}:7200",
            "store": {"address": self.store_address},
            "upstream": {
                "address": f"{ip}:7300",
                "service": f"svc{number % self.services:02}",
                "slots": 12,
            },
            "neighbours": [self.address(centre, s) for s in sorted(seeds)],
            "timing": self.timing,
        }
        NodeSettings.model_validate(settings)
        return settings

    def centre(self, centre: int) -> list[dict]:
        """Return the settings of all nodes of a data centre."""
        return [self.settings(centre, i) for i in range(self.nodes_per_centre)]


class Mesh:
    """Worker processes of a plan."""

    def __init__(self, plan: MeshPlan):
        self.plan = plan
        self.workers: list[WorkerProcess] = []
        self._http = urllib3.PoolManager()

    def add_worker(self, nodes: list[dict], **options) -> WorkerProcess:
        """Start a worker process; the command ``start`` starts its nodes.

        The options are those of `WorkerProcess`.
        """
        worker = WorkerProcess(nodes, **options)
        self.workers.append(worker)
        return worker

    def ask_all(self, workers: list[WorkerProcess] | None = None, **command):
        """Send a command to all workers or to `workers`, then return the answers."""
        targets = self.workers if workers is None else workers
        for worker in targets:
            worker.send(command)
        return [worker.receive() for worker in targets]

    def describe(self, *, members: bool = False) -> list[dict]:
        """Return descriptions of all running nodes, with member lists if `members`."""
        answers = self.ask_all(do="describe", members=members)
        return [node for answer in answers for node in answer["nodes"]]

    def store_counters(self) -> dict:
        """Return the counters of the stand-in store."""
        url = f"http://{self.plan.store_address}/standin/counters"
        return self._http.request("GET", url).json()

    def set_store_faults(self, **faults) -> None:
        """Inject faults into the stand-in store."""
        url = f"http://{self.plan.store_address}/standin/faults"
        self._http.request("POST", url, body=json.dumps(faults))

    def is_agreed(self) -> bool:
        """Return whether the tables of running nodes list exactly the running nodes."""
        nodes = self.describe(members=True)
        running = sorted(f"{n['node']}/{n['incarnation']}" for n in nodes)
        return all(node["members"] == running for node in nodes)

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Poll until `condition()` is true; return the elapsed seconds."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > timeout_s:
                raise TimeoutError(f"condition was not met within {timeout_s} s")
            time.sleep(POLL_S)
        return time.monotonic() - started_at


@contextmanager
def running_mesh(plan: MeshPlan, store_options: tuple[str, ...] = ()) -> Iterator[Mesh]:
    """Run the stand-in store; stop it and all workers at the end."""
    store = subprocess.Popen(
        [
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "standins.store",
            "--address",
            plan.store_address,
            *store_options,
        ],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    mesh = Mesh(plan)
    try:
        mesh.wait_until(lambda: _is_store_running(mesh), 10.0)
        yield mesh
    finally:
        for worker in mesh.workers:
            worker.close()
        store.terminate()
        store.wait()


def _is_store_running(mesh: Mesh) -> bool:
    try:
        mesh.store_counters()
    except urllib3.exceptions.HTTPError:
        return False
    return True
