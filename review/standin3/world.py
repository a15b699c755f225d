"""Stand-ins for the platform, upstreams and callers, and node processes beside them.

Everything but the nodes runs in the process of the test, on loopback addresses. A node
is started with the command of the deploy file and with settings rendered from its
template.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import ExitStack, suppress
from pathlib import Path
from random import randrange
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "stability_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 60,
}
HEARTBEAT_S = 1.5
HOST = "mesh.example"
PORTS = ("outbound", "inbound", "ready", "control", "app", "metrics")


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def __call__(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Message:
    """A request or an answer as it was read."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Return the value of a header, None without it."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split()[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split()[1]


async def read_message(reader, *, is_request: bool) -> Message | None:
    """Return the next message of a channel, None if the channel has ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [
        (name.strip(), value.strip())
        for name, _, value in (line.partition(":") for line in lines)
    ]
    message = Message(start, headers, b"")
    coding = (message.header("transfer-encoding") or "").lower()
    length = message.header("content-length")
    if coding.endswith("chunked"):
        message.body = await _read_chunks(reader)
    elif length is not None:
        message.body = await reader.readexactly(int(length))
    elif not is_request and message.status >= 200 and message.status not in (204, 304):
        message.body = await reader.read()
    return message


async def _read_chunks(reader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            continue
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body


def encode_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Accepts channels on an address and serves them with `serve`."""

    def __init__(self):
        self._server = None
        self.writers: set = set()

    async def listen(self, address: str) -> None:
        """Accept channels from now on."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), limit=2**24
        )

    async def _accept(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            # The peer has closed the channel, or the case has ended.
            pass
        finally:
            self.writers.discard(writer)
            with suppress(Exception):
                writer.close()

    async def serve(self, reader, writer) -> None:
        """Serve one channel."""
        raise NotImplementedError

    def stop(self, *, resets: bool = False) -> None:
        """Stop listening and close the channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            if resets:
                writer.transport.abort()
            else:
                writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, record: Record):
        super().__init__()
        self._record = record
        self.revision = 1
        self.oldest = 0
        self.era = 0
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        # Returns an HTTP status with which a call is refused, 0 to serve it, or None to
        # leave it without an answer.
        self.fault = lambda peer, method, path: 0

    async def serve(self, reader, writer) -> None:
        """Serve the calls of one channel."""
        peer = writer.get_extra_info("peername")[0]
        while (request := await read_message(reader, is_request=True)) is not None:
            refusal = self.fault(peer, request.method, request.target)
            if refusal is None:
                await asyncio.sleep(600)
            if refusal:
                status, content = refusal, {"error": "unavailable"}
            else:
                status, content = await self._answer(request)
            headers = [("Content-Type", "application/json")]
            if self.era:
                headers.append(("Store-Era", str(self.era)))
            writer.write(encode_answer(status, headers, json.dumps(content).encode()))
            await writer.drain()

    async def _answer(self, request: Message):
        url = urlsplit(request.target)
        parts = [unquote(part) for part in url.path.split("/") if part][1:]
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if request.method == "GET":
            if len(parts) > 1:
                item = self.objects.get((parts[0], parts[1]))
                return (200, item) if item else (404, {"error": "absent"})
            if "watch" in query:
                return await self._watch(parts[0], query)
            after = query.get("after", "")
            items = [
                item
                for (kind, name), item in sorted(self.objects.items())
                if kind == parts[0] and name > after
            ]
            return 200, {"items": items, "more": False, "current_rev": self.revision}
        body = json.loads(request.body) if request.body else {}
        return self._write(request.method, parts, query, body)

    async def _watch(self, kind: str, query: dict):
        since = int(query["watch"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            if not self.oldest <= since <= self.revision:
                return 410, {"error": "gone"}
            events = [
                {"object": item, "deleted": is_deleted}
                for at, of_kind, item, is_deleted in self.history
                if at > since and of_kind == kind
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self._changed
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def put(self, kind: str, name: str, spec, *, status=None, keeps_status=True):
        """Write an object; return it."""
        current = self.objects.get((kind, name))
        self.revision += 1
        created = current["metadata"]["created_rev"] if current else self.revision
        if keeps_status and current:
            status = current["status"]
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self._note(kind, item, is_deleted=False)
        return item

    def _note(self, kind: str, item: dict, *, is_deleted: bool) -> None:
        self.history.append((self.revision, kind, item, is_deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _write(self, method: str, parts: list[str], query: dict, body: dict):
        kind = parts[0]
        metadata = body.get("metadata") or {}
        name = parts[1] if len(parts) > 1 else metadata["name"]
        current = self.objects.get((kind, name))
        if method == "POST":
            if current:
                return 409, current
            return 201, self.put(kind, name, body.get("spec"))
        if current is None:
            return 404, {"error": "absent"}
        expected = int(query.get("revision", metadata.get("revision") or 0))
        if expected and expected != current["metadata"]["revision"]:
            return 409, current
        if parts[2:] == ["status"]:
            status = body.get("status")
            return 200, self.put(
                kind, name, current["spec"], status=status, keeps_status=False
            )
        if method == "DELETE":
            del self.objects[kind, name]
            self.revision += 1
            self._note(kind, current, is_deleted=True)
            return 200, current
        if current["spec"] != body.get("spec"):
            return 200, self.put(kind, name, body.get("spec"))
        return 200, current


class Backend(Server):
    """An application backend: slots, a queue, health, status reports."""

    def __init__(self, record: Record, service: str, *, slots: int = 12):
        super().__init__()
        self._record = record
        self.service = service
        self.slots = slots
        self.queue = 4 * slots
        self.backend_id = f"i-{randrange(16**8):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_healthy = True
        self.work_s = 0.05
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        # Runs by request id: method, target, headers and body as they arrived.
        self.runs: dict[str, list[Message]] = {}
        self.run_times: dict[str, list[float]] = {}
        self.extra_headers: list[tuple[str, str]] = []
        self.control = ""
        self.address = ""
        self._reporter = None

    def start_reports(self) -> None:
        """Send status reports until `stop_reports`."""
        self._reporter = asyncio.ensure_future(self._report_periodically())

    def stop_reports(self) -> None:
        """Send no more status reports."""
        if self._reporter is not None:
            self._reporter.cancel()

    async def _report_periodically(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self) -> int:
        """Send a status report; return the status of its answer, 0 without one."""
        self.sequence += 1
        content = {
            "service": self.service,
            "address": self.address,
            "zone": "andina-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return await self._tell("PUT", json.dumps(content).encode())

    async def leave(self) -> int:
        """Say that this backend leaves; return the status of the answer."""
        return await self._tell("DELETE", b"")

    async def _tell(self, method: str, body: bytes) -> int:
        try:
            answer = await asyncio.wait_for(
                ask(
                    self.control,
                    method,
                    f"/instances/{self.backend_id}",
                    [("Content-Type", "application/json")],
                    body,
                ),
                1.0,
            )
        except (TimeoutError, OSError):
            return 0
        return answer.status if answer else 0

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one channel."""
        while (request := await read_message(reader, is_request=True)) is not None:
            answer = await self.handle(request, writer)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    @property
    def load(self) -> tuple[str, str]:
        """Return the header that tells the load."""
        return "Server-Load", f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, request: Message, writer) -> bytes | None:
        """Return the answer to a request, None to close the channel."""
        request_id = request.header("attempt-id")
        if request.target == "/health":
            status = 200 if self.is_healthy and self.state == "ready" else 503
            headers = [("Instance-Id", self.backend_id), self.load]
            return encode_answer(status, headers, b"")
        if request_id is None:
            return encode_answer(400, [("Not-Executed", "1")], b"")
        echo = ("Attempt-Id", request_id)
        expected = request.header("target-instance")
        if expected not in (None, self.backend_id):
            headers = [echo, ("Not-Executed", "1"), ("Instance-Id", self.backend_id)]
            return encode_answer(421, headers, b"")
        if self.waiting >= self.queue:
            return encode_answer(503, [("Not-Executed", "1"), self.load], b"")
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.setdefault(request_id, []).append(request)
            self.run_times.setdefault(request_id, []).append(self._record.now())
            return await self.run(request, request_id, writer)
        finally:
            self.running -= 1
            self._free.release()

    async def run(self, request: Message, request_id: str, writer) -> bytes | None:
        """Run a request and return its answer."""
        await asyncio.sleep(self.work_s)
        return self.success(request, request_id)

    def success(self, request: Message, request_id: str) -> bytes:
        """Return the answer of a run to a good end."""
        headers = [
            ("Attempt-Id", request_id),
            ("Response-Seal", f"seal-{request_id}"),
            self.load,
            *self.extra_headers,
        ]
        return encode_answer(200, headers, f"done {request_id}".encode())


async def ask(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
) -> Message | None:
    """Send a request on a new channel and return its answer, None without one."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
    try:
        writer.write(encode_request(method, target, headers, body))
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader) -> Message | None:
    """Return the final answer on a channel."""
    while True:
        answer = await read_message(reader, is_request=False)
        if answer is None or answer.status >= 200:
            return answer


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return a request, with a length if it has a body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Node:
    """A node process and the backend beside it."""

    def __init__(self, world: "World", number: int, zone: str, region: str, service):
        self.world = world
        self.node_id = f"sidecar-{zone}-{number + 1}"
        self.zone, self.region, self.service = zone, region, service
        self.ip = f"127.{world.network}.1.{number + 1}"
        self.address = {
            name: f"{self.ip}:{world.port + i}" for i, name in enumerate(PORTS)
        }
        self.app_address = self.address["app"]
        self.store_address = world.store_address
        self.backend = Backend(world.record, service, slots=world.slots)
        self.process: subprocess.Popen | None = None
        self._folder = world.folder
        self.exits: list[int] = []
        self._starts = 0

    def fields(self) -> dict:
        """Return the settings that the platform fills into the template."""
        limits = {"cpu_share": 0.86, "cores": 1, "memory_mb": 300, "max_fds": 4100}
        return {
            "node_name": self.node_id,
            "ip": self.ip,
            "zone": self.zone,
            "region": self.region,
            "listen": {
                name: self.address[name]
                for name in ("inbound", "outbound", "ready", "control")
            },
            "internal_ports": [int(self.address["metrics"].rpartition(":")[2])],
            "limits": limits,
            "bounds": self.world.bounds,
            "app_addr": self.app_address,
            "service": self.service,
            "platform": {"address": self.store_address},
        }

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = (ROOT / deploy["roles"]["node"]["template"]).read_text()
        path = self._folder / f"{self.node_id}.settings"
        path.write_text(render(template, self.fields()))
        return path

    def start(self) -> None:
        """Start the node process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        command = [sys.executable, *role["run"].split()[1:]]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "VERBENAWICK_SETTINGS": str(self.write_settings()),
            **role.get("env", {}),
        }
        self._starts += 1
        log = self._folder / f"{self.node_id}.{self._starts}.log"
        with log.open("w") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.world.record(f"platform starts {self.node_id}")

    def logs(self) -> str:
        """Return what the processes of this node have logged."""
        paths = sorted(self._folder.glob(f"{self.node_id}.*.log"))
        return "".join(path.read_text() for path in paths)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.world.record(f"{signal.Signals(number).name} to {self.node_id}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            answer = await asyncio.wait_for(
                ask(self.address["ready"], "GET", "/readiness", [("Host", "ready")]), 1
            )
        except (TimeoutError, OSError):
            return False
        return answer is not None and answer.status == 200

    def memory_mb(self, key: str = "VmRSS") -> float:
        """Return the memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(rf"{key}:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0


class World:
    """A small deployment: a store, nodes with backends, and callers."""

    def __init__(self, record: Record, places, *, slots: int = 12, bounds=None):
        self.record = record
        self.slots = slots
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.network = randrange(20, 240)
        self.port = free_ports(len(PORTS))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.store_address = f"127.{self.network}.0.1:{self.port}"
        self.nodes = [Node(self, number, *place) for number, place in enumerate(places)]
        self.version = 0
        self._ids = 0

    async def __aenter__(self) -> "World":
        # All processes are ended, too, if the case is.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        await self.store.listen(self.store_address)
        for node in self.nodes:
            node.backend.address = node.app_address
            node.backend.control = node.address["control"]
            await node.backend.listen(node.address["app"])
        return self

    async def __aexit__(self, *error) -> None:
        for node in self.nodes:
            node.backend.stop_reports()
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            node.backend.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes: list[dict], *, services=None, tenants=(), **limits):
        """Write the next version of the configuration as the operator."""
        self.version += randrange(1, 5)
        resources = [_resource("routes", r.pop("name"), r) for r in map(dict, routes)]
        names = services or sorted({node.service for node in self.nodes})
        spec = {"health_path": "/health", "max_connections": 120, "protocol": "h1"}
        resources += [_resource("services", name, spec) for name in names]
        resources += [
            _resource("tenants", t.pop("name"), t) for t in map(dict, tenants)
        ]
        bounds = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        }
        resources.append({"resource_type": "limits", "metadata": {}, "spec": bounds})
        content = {"version": self.version, "resources": resources}
        self.store.put("config", "main", content)
        self.record(f"operator's version {self.version} is acknowledged")

    async def start(self) -> None:
        """Start all nodes and wait until they are ready and linked."""
        for node in self.nodes:
            node.start()
            node.backend.start_reports()
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("nodes did not become ready")
        await asyncio.sleep(3.0)

    def next_id(self) -> str:
        """Return an id for a request."""
        self._ids += 1
        return f"{randrange(16**8):08x}{self._ids:08x}"


def free_ports(count: int) -> int:
    """Return the first of `count` ports that are free on all addresses.

    They are below those that the kernel gives to outgoing connections.
    """
    while True:
        first = randrange(20_000, 30_000)
        with ExitStack() as sockets, suppress(OSError):
            for port in range(first, first + count):
                sock = sockets.enter_context(socket.socket())
                sock.bind(("0.0.0.0", port))
            return first


def _resource(resource_type: str, name: str, spec: dict) -> dict:
    return {"resource_type": resource_type, "metadata": {"name": name}, "spec": spec}


def route(service: str, kind: str, **fields) -> dict:
    """Return a route to a service, under a prefix with its name."""
    return {
        "name": f"r-{service}-{kind}",
        "host": HOST,
        "path_prefix": f"/{service}/{kind}/",
        "service": service,
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def render(template: str, fields: dict) -> str:
    """Fill a template of settings as the platform does."""

    def value_of(name: str):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match) -> str:
        return match[2] if value_of(match[1]) not in (None, False) else ""

    def placeholder(match) -> str:
        name, _, form = match[1].partition("|")
        value = value_of(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, template)
