"""Start and stop the processes of a deployment on loopback addresses.

Each data centre gets its own loopback network ``127.<region>.<data centre>.0``, so
that stand-ins and links can add the one-way delay between places by IP prefix.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

CALL_PORT = 8001
PEER_PORT = 8002
ADMIN_PORT = 8003
UPSTREAM_PORT = 8004
STORE_PORT = 9000

DATA_CENTRE_DELAY_MS = 1.0
REGION_DELAY_MS = 8.0
STOP_TIMEOUT_S = 20.0
# Above the networks of the two example plans, below those of bench.mesh.
NETWORKS = range(30, 60)


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Which services stand where.

    Attributes
    ----------
    regions : tuple of str
        The store stands in the first one.
    data_centres_per_region : int
        Data centres are named ``<region>-1``, ``<region>-2``, and so on.
    upstreams_per_service : int
        Spread over the data centres in turn.
    first_network : int
        Second number of the first region's loopback addresses; lets deployments
        run side by side.
    """

    name: str
    regions: tuple[str, ...]
    services: tuple[str, ...]
    slots: int
    data_centres_per_region: int = 2
    upstreams_per_service: int = 3
    first_network: int = 10
    with_delays: bool = True
    timing: dict = field(default_factory=dict)
    trace_share: float = 0.01
    log_level: str = "INFO"


ANDINA = DeploymentPlan(
    name="andina",
    regions=("andina", "pacifico", "caribe"),
    services=("archivo", "despacho", "certifica", "despeje"),
    slots=12,
)
GUILD = DeploymentPlan(
    name="guild",
    regions=("ashanti", "greater-accra", "northern"),
    services=("status-desk", "lodging-office", "treasury", "mark-room"),
    slots=14,
    first_network=20,
)


def free_network(
    count: int = 1,
    *,
    networks: range = NETWORKS,
    host: str = "1.1",
    port: int = PEER_PORT,
) -> int:
    """Return the first of `count` loopback networks on which nothing listens.

    Lets runs at the same time keep apart.

    Parameters
    ----------
    host, port : str, int
        Listener of each network that is probed; `host` is the last two numbers.
    """
    start = os.getpid() % len(networks)
    for first in (*networks[start:], *networks[:start]):
        if all(_is_free(f"127.{first + n}.{host}", port) for n in range(count)):
            return first
    raise RuntimeError("no loopback network is free")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


@dataclass(frozen=True, slots=True)
class Place:
    """One VM: an upstream and the node beside it."""

    node_id: str
    service: str
    region: str
    data_centre: str
    ip: str

    @property
    def call_address(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{CALL_PORT}"

    @property
    def admin_address(self) -> str:
        """Address for operators."""
        return f"{self.ip}:{ADMIN_PORT}"

    @property
    def upstream_address(self) -> str:
        """Address of the upstream."""
        return f"{self.ip}:{UPSTREAM_PORT}"


def places_of(plan: DeploymentPlan) -> tuple[Place, ...]:
    """Return the VMs of a plan, spread evenly over its data centres."""
    data_centres = [
        (region_index, number)
        for number in range(1, plan.data_centres_per_region + 1)
        for region_index in range(len(plan.regions))
    ]
    places = []
    position = 0
    for service in plan.services:
        for copy in range(1, plan.upstreams_per_service + 1):
            region_index, number = data_centres[position % len(data_centres)]
            region = plan.regions[region_index]
            host = position // len(data_centres) + 1
            places.append(
                Place(
                    node_id=f"{service}-{copy}",
                    service=service,
                    region=region,
                    data_centre=f"{region}-{number}",
                    ip=f"127.{plan.first_network + region_index}.{number}.{host}",
                )
            )
            position += 1
        # The next service starts one place further, so that services mix.
        position += 1 if plan.upstreams_per_service % len(data_centres) == 0 else 0
    return tuple(places)


def _delays_of(plan: DeploymentPlan, region: str, data_centre: str) -> dict[str, float]:
    if not plan.with_delays:
        return {}
    delays_by_prefix = {}
    for index, other in enumerate(plan.regions):
        for number in range(1, plan.data_centres_per_region + 1):
            prefix = f"127.{plan.first_network + index}.{number}."
            if other != region:
                delays_by_prefix[prefix] = REGION_DELAY_MS
            elif f"{other}-{number}" != data_centre:
                delays_by_prefix[prefix] = DATA_CENTRE_DELAY_MS
    return delays_by_prefix


def node_settings(plan: DeploymentPlan, place: Place, places) -> dict:
    """Return the settings of the node at `place`, as written to its file."""
    neighbours = [
        f"{other.ip}:{PEER_PORT}"
        for other in places
        if other.data_centre == place.data_centre and other != place
    ]
    return {
        "node_id": place.node_id,
        "data_centre": place.data_centre,
        "region": place.region,
        "call_address": place.call_address,
        "peer_address": f"{place.ip}:{PEER_PORT}",
        "admin_address": place.admin_address,
        "store": {"address": store_address(plan)},
        "upstream": {
            "address": place.upstream_address,
            "service": place.service,
            "slots": plan.slots,
        },
        "neighbours": neighbours[:32],
        "timing": plan.timing,
        "log": {"level": plan.log_level},
        "traces": {"sample_share": plan.trace_share},
        "link_delays_ms": _delays_of(plan, place.region, place.data_centre),
    }


def store_address(plan: DeploymentPlan) -> str:
    """Return the address of the plan's store stand-in."""
    return f"127.{plan.first_network}.0.1:{STORE_PORT}"


class Deployment:
    """Processes of one plan; made by `run_deployment`."""

    def __init__(self, plan: DeploymentPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.places = places_of(plan)
        self.places_by_id = {place.node_id: place for place in self.places}
        self._processes_by_name: dict[str, subprocess.Popen] = {}

    def process(self, name: str) -> subprocess.Popen:
        """Return a running process, for example ``"node:archivo-1"``."""
        return self._processes_by_name[name]

    def process_count(self) -> int:
        """Return how many processes run."""
        return sum(p.poll() is None for p in self._processes_by_name.values())

    def start(self, name: str, *arguments: str) -> None:
        """Start a Python module as a process that logs to the folder."""
        log = (self.folder / f"{name.replace(':', '-')}.log").open("ab")
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self._processes_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=log,
            env=environment,
            cwd=Path(__file__).resolve().parent.parent,
        )
        log.close()

    def start_store(self) -> None:
        """Start the object API stand-in."""
        delays = []
        if self.plan.with_delays:
            for index in range(1, len(self.plan.regions)):
                prefix = f"127.{self.plan.first_network + index}."
                delays += ["--delay", f"{prefix}={REGION_DELAY_MS}"]
        self.start(
            "store", "standins.store", "--address", store_address(self.plan), *delays
        )

    def start_upstream(self, place: Place) -> None:
        """Start the upstream stand-in at `place`."""
        self.start(
            f"upstream:{place.node_id}",
            "standins.upstream",
            "--address",
            place.upstream_address,
            "--service",
            place.service,
            "--slots",
            str(self.plan.slots),
            "--connections",
            "120",
        )

    def start_node(self, place: Place) -> None:
        """Write the settings of the node at `place` and start it."""
        path = self.folder / f"{place.node_id}.json5"
        settings = node_settings(self.plan, place, self.places)
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.start(
            f"node:{place.node_id}", "verbenawick", "node", "--settings", str(path)
        )

    def start_all(self) -> None:
        """Start store, upstreams and nodes; the order does not matter to them."""
        self.start_store()
        for place in self.places:
            self.start_upstream(place)
        for place in self.places:
            self.start_node(place)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this deployment."""
        self.process(name).send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code of a process that was told to stop."""
        return self.process(name).wait(timeout_s)

    def stop_all(self) -> dict[str, int]:
        """Stop all processes; return the exit codes by name."""
        running = {
            name: process
            for name, process in self._processes_by_name.items()
            if process.poll() is None
        }
        # Nodes go first, since they drain against running upstreams.
        for kind in ("node", "upstream", "store"):
            group = {n: p for n, p in running.items() if n.startswith(kind)}
            for process in group.values():
                process.send_signal(signal.SIGCONT)
                process.terminate()
            stop_at = time.monotonic() + STOP_TIMEOUT_S
            for process in group.values():
                try:
                    process.wait(max(0.1, stop_at - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
        return {name: process.returncode for name, process in running.items()}


@contextmanager
def run_deployment(plan: DeploymentPlan) -> Iterator[Deployment]:
    """Yield a deployment without processes; stop all it started at the end."""
    with TemporaryDirectory(prefix="verbenawick-") as folder:
        deployment = Deployment(plan, Path(folder))
        try:
            yield deployment
        finally:
            deployment.stop_all()
