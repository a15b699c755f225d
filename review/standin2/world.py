"""A small deployment: node processes, a store, backends, and the platform's part."""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, suppress
from pathlib import Path

from standin2.backend import Backend
from standin2.http import exchange
from standin2.store import Store

ROOT = Path(__file__).resolve().parents[2]
LISTENERS = ("call", "peer", "readiness", "report", "metrics")
PORT_RANGE = (20_000, 30_000)
REPORT_INTERVAL_S = 0.5
RESTART_DELAY_S = 0.4
# Descriptors of a process on the smallest machines of the sites.
MAX_DESCRIPTORS = 4100
# With these, the cases can open all their channels.
MIN_DESCRIPTORS = 2000
# A case that takes longer could not run.
MAX_LENGTH_S = 116.0


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_at = time.monotonic()
        self.events: list[dict] = []

    def __call__(self, event: str, **fields) -> None:
        """Write an event with its time since the start."""
        at = round(time.monotonic() - self._began_at, 4)
        entry = {"at": at, "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")

    def now(self) -> float:
        """Return the time since the start, seconds."""
        return time.monotonic() - self._began_at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_ports(number: int) -> int:
    """Return the first of `number` ports that are free on all loopback addresses."""
    while True:
        first = random.randrange(*PORT_RANGE)
        with ExitStack() as stack:
            try:
                for port in range(first, first + number):
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("0.0.0.0", port))
            except OSError:
                continue
        return first


class Machine:
    """A machine with a node process and a backend."""

    def __init__(self, number: int, world: "World", service: str, zone: int):
        self.world = world
        self.node_id = f"side-{number}"
        self.service = service
        self.zone = zone
        self.addresses = {
            name: f"127.0.0.{10 + number}:{world.port + index}"
            for index, name in enumerate(LISTENERS)
        }
        self.backend: Backend | None = None
        self.process: subprocess.Popen | None = None
        self.reports = True
        self._path = world.folder / f"{self.node_id}.json5"
        self._boots = 0

    def write_settings(self) -> None:
        """Write what the template of the deploy file would give."""
        settings = {f"{name}_address": a for name, a in self.addresses.items()}
        settings |= {
            "node_id": self.node_id,
            "data_centre": f"zone-{self.zone}",
            "region": f"region-{self.zone % self.world.regions}",
            "store_address": self.world.store.address,
            "upstream": {"service": self.service, "address": self.backend.address},
            "retry_budget": {"ratio": 0.2, "slack": 60, "window_s": 10},
            "stop_grace_s": 6.0,
            **self.world.settings,
        }
        self._path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the node process with the command of the deploy file."""
        self._boots += 1
        self.log = self.world.folder / f"{self.node_id}.{self._boots}.log"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.world.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "EVENTLET_NO_GREENDNS": "yes",
            "VERBENAWICK_SETTINGS": str(self._path),
        }
        with self.log.open("w") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "verbenawick.platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """End the process as the loss of power would."""
        self.process.kill()
        self.process.wait()

    async def restart(self) -> None:
        """Kill the process and start it again after a short delay."""
        self.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    async def is_ready(self) -> bool:
        """Return whether the node answers the readiness question with 200."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            address = self.addresses["readiness"]
            response = await exchange(
                address, "GET /readiness HTTP/1.1", {"Host": address}, timeout_s=1.0
            )
            return response.first_line[1] == "200"
        return False

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        with suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def report(self) -> None:
        """Send the status reports of the backend."""
        while True:
            if self.reports:
                backend = self.backend
                status = await backend.report(self.addresses["report"])
                if backend.state == "draining" and status == 200:
                    self.world.record("leave_acked", backend=backend.backend_id)
            await asyncio.sleep(REPORT_INTERVAL_S)


class World:
    """All machines, the store, and the record of what happened."""

    def __init__(self, folder: Path, record: Record, *, regions: int = 1, settings=()):
        self.folder = folder
        self.record = record
        self.regions = regions
        self.settings = dict(settings)
        self.port = free_ports(len(LISTENERS))
        self.store = Store()
        self.machines: list[Machine] = []
        self.tasks: list[asyncio.Task] = []
        self.version = 0

    async def start(self, services, make_backend, *, zones: int = 2) -> None:
        """Start the store, and a machine with a backend for each of `services`."""
        await self.store.start()
        for number, service in enumerate(services):
            machine = Machine(number, self, service, number % zones)
            machine.backend = make_backend(f"i-{number}", service)
            await machine.backend.start()
            machine.write_settings()
            self.machines.append(machine)

    async def run_nodes(self, *, timeout_s: float = 20.0) -> None:
        """Start all nodes and their backends' reports; wait until they are ready."""
        for machine in self.machines:
            machine.start()
            self.spawn(machine.report())
        deadline = time.monotonic() + timeout_s
        waiting = list(self.machines)
        while waiting:
            if time.monotonic() > deadline:
                raise TimeoutError(f"not ready: {[m.node_id for m in waiting]}")
            await asyncio.sleep(0.1)
            waiting = [m for m in waiting if not await m.is_ready()]
        # Nodes learn each other's records and open their links.
        await asyncio.sleep(2.0)

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a task until the end of the world."""
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def configure(self, routes: list[dict], services, **limits) -> None:
        """Write the next version of the configuration as the operator."""
        self.version += 3
        resources = [
            {
                "resource_type": "routes",
                "metadata": {"name": f"r-{index}"},
                "spec": {"host": "mesh.example", "max_attempts": 2, **route},
            }
            for index, route in enumerate(routes)
        ]
        spec = {"health_path": "/health", "max_connections": 120, "protocol": "h1"}
        resources += [
            {"resource_type": "services", "metadata": {"name": name}, "spec": spec}
            for name in sorted(set(services))
        ]
        limit_spec = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        }
        resources.append(
            {"resource_type": "limits", "metadata": {}, "spec": limit_spec}
        )
        document = {"version": self.version, "resources": resources}
        await self.store.put("config", "main", document)

    async def close(self) -> None:
        """End all tasks, processes and servers."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.kill()
            machine.backend.close()
        self.store.close()


def raise_descriptor_limit() -> None:
    """Give this process and its nodes the descriptors of a machine of the sites.

    Raises
    ------
    OSError
        The hard limit is too low for the cases.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    soft = MAX_DESCRIPTORS
    if hard != resource.RLIM_INFINITY:
        soft = min(soft, hard)
    if soft < MIN_DESCRIPTORS:
        raise OSError(f"only {soft} descriptors are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def is_troubled() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def _end(number, frame) -> None:
    """End as the case would, so that its processes are ended."""
    sys.exit(2)


def run_case(main, folder: Path) -> int:
    """Run the coroutine `main(folder, record)`; return the exit code of the case."""
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            signal.signal(signal.SIGTERM, _end)
            raise_descriptor_limit()
            code = asyncio.run(
                asyncio.wait_for(main(Path(temporary), record), MAX_LENGTH_S)
            )
        except Exception as error:
            record("could not run", error=repr(error))
            print(f"could not run: {error!r}")
            code = 2
        finally:
            record.close()
    return code
