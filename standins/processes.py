"""Start and stop the processes of a deployment on loopback addresses.

Each data centre gets its own loopback network ``127.<region>.<data centre>.0``, so
that the store stand-in and the links can add one-way network delays by IP prefix.
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
# Above the networks of the two example plans and below those of `bench.mesh`.
NETWORK_RANGE = range(30, 60)


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Services of a deployment and the data centres that they are spread over.

    Attributes
    ----------
    regions : tuple of str
        The store runs in the first one.
    data_centres_per_region : int
        Data centres are named ``<region>-1``, ``<region>-2``, and so on.
    upstreams_per_service : int
        Spread round-robin over the data centres.
    first_network : int
        Second octet of the loopback addresses of the first region; the other regions
        follow. Deployments with distinct networks can run at the same time.
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
    networks: range = NETWORK_RANGE,
    host: str = "1.1",
    port: int = PEER_PORT,
) -> int:
    """Return the first of `count` loopback networks on which nothing listens.

    Keeps concurrent runs on separate networks.

    Parameters
    ----------
    host, port : str, int
        Address probed in each network; `host` is its last two octets.
    """
    start = os.getpid() % len(networks)
    for first in (*networks[start:], *networks[:start]):
        if all(_is_unused(f"127.{first + n}.{host}", port) for n in range(count)):
            return first
    raise RuntimeError("no loopback network is free")


def _is_unused(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


@dataclass(frozen=True, slots=True)
class VirtualMachine:
    """VM with an upstream and the node beside it."""

    node_id: str
    service: str
    region: str
    data_centre: str
    ip: str

    @property
    def call_address(self) -> str:
        """Address of the node for callers."""
        return f"{self.ip}:{CALL_PORT}"

    @property
    def admin_address(self) -> str:
        """Address of the node for operators."""
        return f"{self.ip}:{ADMIN_PORT}"

    @property
    def upstream_address(self) -> str:
        """Address of the upstream."""
        return f"{self.ip}:{UPSTREAM_PORT}"


def planned_vms(plan: DeploymentPlan) -> tuple[VirtualMachine, ...]:
    """Return the VMs of a plan, spread evenly over its data centres."""
    data_centres = [
        (region_index, number)
        for number in range(1, plan.data_centres_per_region + 1)
        for region_index in range(len(plan.regions))
    ]
    vms = []
    position = 0
    for service in plan.services:
        for instance in range(1, plan.upstreams_per_service + 1):
            region_index, number = data_centres[position % len(data_centres)]
            region = plan.regions[region_index]
            host = position // len(data_centres) + 1
            vms.append(
                VirtualMachine(
                    node_id=f"{service}-{instance}",
                    service=service,
                    region=region,
                    data_centre=f"{region}-{number}",
                    ip=f"127.{plan.first_network + region_index}.{number}.{host}",
                )
            )
            position += 1
        # Otherwise each service would start in the same data centre.
        position += 1 if plan.upstreams_per_service % len(data_centres) == 0 else 0
    return tuple(vms)


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


def node_settings(plan: DeploymentPlan, vm: VirtualMachine, vms) -> dict:
    """Return the content of the settings file of the node on `vm`."""
    neighbours = [
        f"{other.ip}:{PEER_PORT}"
        for other in vms
        if other.data_centre == vm.data_centre and other != vm
    ]
    return {
        "node_id": vm.node_id,
        "data_centre": vm.data_centre,
        "region": vm.region,
        "call_address": vm.call_address,
        "peer_address": f"{vm.ip}:{PEER_PORT}",
        "admin_address": vm.admin_address,
        "store": {"address": store_address(plan)},
        "upstream": {
            "address": vm.upstream_address,
            "service": vm.service,
            "slots": plan.slots,
        },
        "neighbours": neighbours[:32],
        "timing": plan.timing,
        "log": {"level": plan.log_level},
        "traces": {"sample_share": plan.trace_share},
        "link_delays_ms": _delays_of(plan, vm.region, vm.data_centre),
    }


def store_address(plan: DeploymentPlan) -> str:
    """Return the address of the store stand-in."""
    return f"127.{plan.first_network}.0.1:{STORE_PORT}"


class Deployment:
    """Processes of one plan; created by `run_deployment`."""

    def __init__(self, plan: DeploymentPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.vms = planned_vms(plan)
        self.vms_by_id = {vm.node_id: vm for vm in self.vms}
        self._processes_by_name: dict[str, subprocess.Popen] = {}

    def process(self, name: str) -> subprocess.Popen:
        """Return a running process, for example ``"node:archivo-1"``."""
        return self._processes_by_name[name]

    def process_count(self) -> int:
        """Return the number of running processes."""
        return sum(p.poll() is None for p in self._processes_by_name.values())

    def start(self, name: str, *arguments: str) -> None:
        """Run a Python module as a process that logs to a file in the folder."""
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
        """Start the store stand-in."""
        delays = []
        if self.plan.with_delays:
            for index in range(1, len(self.plan.regions)):
                prefix = f"127.{self.plan.first_network + index}."
                delays += ["--delay", f"{prefix}={REGION_DELAY_MS}"]
        self.start(
            "store", "standins.store", "--address", store_address(self.plan), *delays
        )

    def start_upstream(self, vm: VirtualMachine) -> None:
        """Start the upstream stand-in on `vm`."""
        self.start(
            f"upstream:{vm.node_id}",
            "standins.upstream",
            "--address",
            vm.upstream_address,
            "--service",
            vm.service,
            "--slots",
            str(self.plan.slots),
            "--connections",
            "120",
        )

    def start_node(self, vm: VirtualMachine) -> None:
        """Write the settings of the node on `vm` and start it."""
        path = self.folder / f"{vm.node_id}.json5"
        settings = node_settings(self.plan, vm, self.vms)
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.start(f"node:{vm.node_id}", "verbenawick", "node", "--settings", str(path))

    def start_all(self) -> None:
        """Start the store, upstreams and nodes, which work in any start order."""
        self.start_store()
        for vm in self.vms:
            self.start_upstream(vm)
        for vm in self.vms:
            self.start_node(vm)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this deployment."""
        self.process(name).send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for a process to exit and return its exit code."""
        return self.process(name).wait(timeout_s)

    def stop_all(self) -> dict[str, int]:
        """Stop all running processes; return their exit codes by name."""
        running = {
            name: process
            for name, process in self._processes_by_name.items()
            if process.poll() is None
        }
        # Nodes stop first: they drain while their upstreams still run.
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
    """Yield a deployment without processes; stop those it started on exit."""
    with TemporaryDirectory(prefix="verbenawick-") as folder:
        deployment = Deployment(plan, Path(folder))
        try:
            yield deployment
        finally:
            deployment.stop_all()
