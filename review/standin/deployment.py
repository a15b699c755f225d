"""A small deployment: node processes of the deploy file, a store, and backends."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, time

from standin.http import Channel, HttpServer, Message, Reply, close_channels
from standin.store import Store

ROOT = Path(__file__).resolve().parents[2]
# Zones as in the small site `dca-malla`.
ZONES = (
    ("andina-a", "andina"),
    ("pacifico-a", "pacifico"),
    ("caribe-a", "caribe"),
    ("andina-b", "andina"),
    ("pacifico-b", "pacifico"),
    ("caribe-b", "caribe"),
)
# Limits of the configuration, as `fleetbench wire` prints them for that site.
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 67_108_864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
# Bounds of that site.
BOUNDS = {
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "budget_slack": 60,
    "budget_window_s": 10,
}
MEMORY_MB = 300
PORTS = ("outbound", "inbound", "ready", "control", "app", "internal")
HEARTBEAT_S = 1.5
SLOTS = 12
QUEUE = 48
RESTART_DELAY_S = 0.5
READY_TIMEOUT_S = 25.0


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return monotonic() - self._started_at

    def write(self, *words: object) -> None:
        """Add a line with the time."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, *words: object) -> None:
        """Add a line and print it."""
        self.write(*words)
        print(*words, flush=True)


class Backend:
    """A backend beside a node, which reports its status to it.

    Attributes
    ----------
    crashes_on : callable
        Whether a request crashes the backend as it begins to run it.
    """

    def __init__(self, machine: "Machine"):
        self._machine = machine
        self._record = machine.deployment.record
        self._random = random.Random(machine.name)
        self._boots = 0
        self.work_s = (0.04, 0.08)
        self.crashes_on = lambda message: False
        self.on_crash = lambda message: None
        self.reports = True
        self.is_leaving = False
        self.runs: list[tuple[float, str]] = []
        self._reporter: asyncio.Task | None = None
        self._server: HttpServer | None = None

    async def start(self) -> None:
        """Start a new boot with a new id."""
        self._boots += 1
        self.id = f"i-{self._machine.name}-{self._boots}"
        self.born = int(time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = HttpServer(self._machine.address("app"), self._handle)
        await self._server.start()
        self._reporter = asyncio.create_task(self._report_periodically())
        self._record.write("backend", self.id, "started")

    def crash(self) -> None:
        """End the process: reset all channels, send nothing more."""
        if self._reporter is not None:
            self._reporter.cancel()
        if self._server is not None:
            self._server.crash()
        self._record.write("backend", self.id, "ended")

    def status(self, state: str) -> bytes:
        """Return the body of the next status report."""
        self.sequence += 1
        content = {
            "service": self._machine.service,
            "address": self._machine.address("app"),
            "zone": self._machine.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(content).encode()

    async def send(self, method: str, body: bytes = b"") -> int:
        """Send a status report or a leave; return the status, 0 without an answer."""
        channel = Channel(self._machine.address("control"))
        headers = {"Host": "control", "Content-Type": "application/json"}
        try:
            answer = await asyncio.wait_for(
                channel.request(method, f"/instances/{self.id}", headers, body), 1.0
            )
        except (OSError, TimeoutError):
            return 0
        finally:
            channel.close()
        return answer.status

    async def _report_periodically(self) -> None:
        while True:
            if self.reports:
                await self.send("PUT", self.status("ready"))
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, message: Message) -> Reply:
        load = f"{self.running},{self.waiting},{SLOTS}"
        said = {"Instance-Id": self.id, "Server-Load": load}
        if self.is_leaving:
            said["Connection"] = "close"
        if message.target == "/health":
            return Reply(503 if self.is_leaving else 200, said)
        request_id = message.headers.get("attempt-id", "")
        if not request_id:
            return Reply(400, {**said, "Not-Executed": "1"})
        said["Attempt-Id"] = request_id
        if message.headers.get("target-instance", self.id) != self.id:
            return Reply(421, said)
        if self.waiting >= QUEUE:
            return Reply(503, {**said, "Not-Executed": "1"})
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(message, request_id, said)
        finally:
            self.running -= 1
            self._slots.release()

    async def _run(self, message: Message, request_id: str, said: dict) -> Reply:
        self.runs.append((self._record.now(), request_id))
        caller = message.headers.get("caller-service", "")
        words = (request_id, message.method, message.target[:60], "for", caller)
        self._record.write("run", "by", self.id, *words)
        if self.crashes_on(message):
            self.on_crash(message)
            self.crash()
        await asyncio.sleep(self._random.uniform(*self.work_s))
        body = f"{message.method} {message.target[:200]} {len(message.body)}".encode()
        return Reply(200, {**said, "Response-Seal": f"seal-{request_id}"}, body)


class Machine:
    """A machine: its node process and its backend."""

    def __init__(self, deployment: "Deployment", number: int, service: str):
        self.deployment = deployment
        self.name = f"sidecar-{number}"
        self.service = service
        self.zone, self.region = ZONES[number % len(ZONES)]
        self.ip = f"127.0.{deployment.net}.{number + 1}"
        self.backend = Backend(self)
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0
        self._settings = deployment.folder / f"{self.name}.json5"
        self._settings.write_text(deployment.render_settings(self))

    def address(self, name: str) -> str:
        """Return the address of one of this machine's listeners."""
        return f"{self.ip}:{self.deployment.port + PORTS.index(name)}"

    def start(self) -> None:
        """Start the node with the command of the deploy file."""
        role = self.deployment.role
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps"), **role["env"]}
        environment["VERBENAWICK_SETTINGS"] = str(self._settings)
        with (self.deployment.folder / f"{self.name}.log").open("a") as output:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.started_at = self.deployment.record.now()
        self.deployment.record.write("node", self.name, "started")

    async def stop(self, number: signal.Signals) -> None:
        """Send a signal and wait for the end, with SIGKILL after the grace."""
        self.deployment.record.write("node", self.name, "gets", number.name)
        self.process.send_signal(number)
        deadline = monotonic() + BOUNDS["grace_s"]
        while self.process.poll() is None:
            if monotonic() > deadline:
                self.process.kill()
            await asyncio.sleep(0.02)
        self.deployment.record.write("node", self.name, "ended")

    async def is_ready(self) -> bool:
        """Return whether the readiness probe answers 200."""
        channel = Channel(self.address("ready"))
        try:
            answer = await asyncio.wait_for(
                channel.request("GET", "/readiness", {"Host": "ready"}), 1.0
            )
        except (OSError, TimeoutError):
            return False
        finally:
            channel.close()
        return answer.status == 200

    def peak_memory_mb(self) -> float:
        """Return the peak memory of the present node process, in MB."""
        with suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0


@dataclass
class Attempt:
    """One requester attempt and how it ended."""

    id: str
    machine: str
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    was_closed: bool = False
    failure: str = ""
    headers: dict = field(default_factory=dict)


class Deployment:
    """All machines, the store and the requesters.

    Parameters
    ----------
    services : list of str
        The service of each machine.
    """

    def __init__(self, record: Record, folder: Path, services: list[str]):
        self.record = record
        self.folder = folder
        self.net = random.randrange(20, 250)
        self.port = _free_ports(len(PORTS) + 1)
        deploy_file = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = next(iter(deploy_file["roles"].values()))
        self.store_address = f"127.0.{self.net}.254:{self.port + len(PORTS)}"
        self.store = Store(self.store_address)
        self.machines = [Machine(self, n, s) for n, s in enumerate(services)]
        self.attempts: list[Attempt] = []
        self._next_attempt = 0
        self._version = 0
        self._tasks: list[asyncio.Task] = []

    def render_settings(self, machine: Machine) -> str:
        """Return the settings of a node from the template of the deploy file."""
        fields = {
            "node_name": machine.name,
            "zone": machine.zone,
            "region": machine.region,
            "ip": machine.ip,
            "listen": {name: machine.address(name) for name in PORTS[:4]},
            "internal_ports": [self.port + PORTS.index("internal")],
            "platform": {"address": self.store_address},
            "service": machine.service,
            "app_addr": machine.address("app"),
            "bounds": BOUNDS,
        }

        def fill(match: re.Match) -> str:
            value: object = fields
            for key in match[1].split("."):
                value = value[int(key)] if isinstance(value, list) else value[key]
            return json.dumps(value) if match[2] else str(value)

        template = (ROOT / self.role["template"]).read_text()
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)

    def configure(self, routes: list[dict]) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        services = sorted({machine.service for machine in self.machines})
        spec = {
            "health_path": "/health",
            "max_connections": 120,
            "protocol": "h1",
            "tls": False,
        }
        resources = [
            {
                "resource_type": "routes",
                "metadata": {"name": r["name"]},
                "spec": r["spec"],
            }
            for r in routes
        ]
        resources += [
            {"resource_type": "services", "metadata": {"name": s}, "spec": spec}
            for s in services
        ]
        resources.append({"resource_type": "limits", "metadata": {}, "spec": LIMITS})
        content = {"version": self._version, "resources": resources}
        self.store.put("config", "main", content)
        self.record.write("configuration", self._version, "acknowledged")

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a task until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run everything; end all processes that were started."""
        try:
            await self.store.start()
            for machine in self.machines:
                await machine.backend.start()
                machine.start()
            await self.wait_until_ready()
            yield
        finally:
            try:
                await self._end_tasks()
            finally:
                self._end_processes()
            close_channels()
            # Lets the transports close before the event loop ends.
            await asyncio.sleep(0.1)

    async def _end_tasks(self) -> None:
        pending = set(self._tasks)
        while pending:
            # Repeated, since `wait_for` of Python 3.11 can swallow a cancellation.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=0.2)

    def _end_processes(self) -> None:
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
            with suppress(AttributeError):
                machine.backend.crash()
        self.store.crash()

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready; raise `RuntimeError` if they are not."""
        deadline = monotonic() + READY_TIMEOUT_S
        for machine in self.machines:
            while not await machine.is_ready():
                if monotonic() > deadline:
                    raise RuntimeError(f"{machine.name} does not become ready")
                await asyncio.sleep(0.1)

    async def attempt(
        self,
        machine: Machine,
        channel: Channel,
        method: str,
        target: str,
        *,
        host: str,
        budget_ms: int,
        headers: dict | None = None,
        body: bytes = b"",
    ) -> Attempt:
        """Send one requester attempt and record its end.

        The requester gives up after `budget_ms`, which it announces, and closes the
        channel.
        """
        self._next_attempt += 1
        attempt = Attempt(f"a{self._next_attempt}", machine.name, self.record.now())
        self.attempts.append(attempt)
        sent = {
            "Host": host,
            "Attempt-Id": attempt.id,
            "Deadline-Remaining": str(budget_ms),
            **(headers or {}),
        }
        words = (attempt.id, "to", machine.name, method, target[:60], len(body))
        self.record.write("sent", *words)
        try:
            request = channel.request(method, target, sent, body)
            answer = await asyncio.wait_for(request, budget_ms / 1000)
            attempt.status, attempt.headers = answer.status, answer.headers
        except TimeoutError:
            attempt.failure = "given up"
        except OSError as error:
            attempt.was_closed = True
            attempt.failure = type(error).__name__
        attempt.ended_at = self.record.now()
        self.record.write(
            "answered" if attempt.status else "ended",
            attempt.id,
            attempt.status or attempt.failure,
            f"after {attempt.ended_at - attempt.sent_at:.3f} s",
        )
        return attempt


def route(name: str, host: str, prefix: str, service: str, kind: str, **spec) -> dict:
    """Return a route with the times of the site's requests."""
    defaults = {
        "host": host,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 250,
        "priority": 1,
        "max_attempts": 2,
    }
    return {"name": name, "spec": defaults | spec}


def _free_ports(number: int) -> int:
    """Return the first of `number` ports that are free on all loopback addresses."""
    while True:
        first = random.randrange(20_000, 30_000)
        sockets = []
        try:
            for port in range(first, first + number):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("0.0.0.0", port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return first
