"""Memory of one node process: at the start, with many routes, and after changes."""

import json
import os
import subprocess
import sys
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import eventlet
from eventlet.green.http.client import HTTPConnection

from bench.registry import register_benchmark
from standins.platform_store import StandinPlatformStore
from tests.call_support import free_port
from verbenawick.platform._calls import READINESS_PATH
from verbenawick.platform._servers import METRICS_PATH

READY_TIMEOUT_S = 10.0
# Longer than a node takes to fetch a version and put it in force.
SETTLE_S = 1.5
BYTES_PER_MB = 1_000_000
KB_BYTES = 1024
ROOT = Path(__file__).parent.parent


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench memory``."""
    parser.add_argument("--routes", type=int, default=800)
    parser.add_argument("--added-routes", type=int, default=1400)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--scrape", action="store_true", help="read the metrics page")


@register_benchmark("memory", configure=configure)
def measure_memory(options: Namespace) -> dict:
    """Memory and processor time of one node process, in MB and seconds."""
    port = free_port()
    store = StandinPlatformStore()
    thread = eventlet.spawn(store.serve, eventlet.listen(("127.0.0.1", port)))
    steps = {}
    with _running_node(port) as (node, readiness_port, metrics_port):
        eventlet.sleep(SETTLE_S)
        steps["start"] = _read_usage(node.pid)
        _put(store, 1, options.routes)
        _wait_until_ready(readiness_port)
        eventlet.sleep(SETTLE_S)
        steps["routes"] = _read_usage(node.pid)
        count = options.routes + options.added_routes
        _put(store, 2, count)
        eventlet.sleep(SETTLE_S)
        steps["added_routes"] = _read_usage(node.pid)
        for change in range(options.changes):
            _put(store, 3 + change, count, changed=change)
            eventlet.sleep(0.1)
        eventlet.sleep(SETTLE_S)
        steps["changes"] = _read_usage(node.pid)
        if options.scrape:
            _get(metrics_port, METRICS_PATH)
            steps["scrape"] = _read_usage(node.pid)
    thread.kill()
    return {"routes": options.routes, "added": options.added_routes, "steps": steps}


@contextmanager
def _running_node(store_port: int) -> Iterator[tuple[subprocess.Popen, int, int]]:
    names = ("call", "peer", "readiness", "report", "metrics")
    ports = {name: free_port() for name in names}
    settings = {f"{name}_address": f"127.0.0.1:{ports[name]}" for name in names}
    settings |= {
        "node_id": "n-1",
        "data_centre": "dc1",
        "region": "north",
        "store_address": f"127.0.0.1:{store_port}",
        "upstream": {"service": "service-0", "address": f"127.0.0.1:{free_port()}"},
    }
    with TemporaryDirectory() as directory:
        path = Path(directory) / "node.json5"
        path.write_text(json.dumps(settings), encoding="utf-8")
        variables = {
            "PYTHONPATH": str(ROOT / "src"),
            "VERBENAWICK_SETTINGS": str(path),
            "MALLOC_ARENA_MAX": "1",
        }
        node = subprocess.Popen(
            [sys.executable, "-m", "verbenawick.platform"],
            env={**os.environ, **variables},
            stdout=subprocess.DEVNULL,
        )
        try:
            yield node, ports["readiness"], ports["metrics"]
        finally:
            node.kill()
            node.wait()


def _put(store: StandinPlatformStore, version: int, routes: int, changed: int = -1):
    resources = [_route(i, priority=int(i == changed)) for i in range(routes)]
    resources += [
        {"resource_type": "services", "metadata": {"name": f"service-{i}"}, "spec": {}}
        for i in range(4)
    ]
    store.put("config", "main", {"version": version, "resources": resources})


def _route(index: int, *, priority: int) -> dict:
    spec = {
        "host": f"host-{index % 7}.example",
        "path_prefix": f"/part-{index * 7919 % 10**6}/{index}/",
        "kind": "safe" if index % 3 else "unsafe",
        "timeout_ms": 1500,
        "service": f"service-{index % 4}",
        "target_latency_ms": 400,
        "max_attempts": 2,
        "priority": priority,
    }
    metadata = {"name": f"route-{index}-{index * 104_729 % 10**6}"}
    return {"resource_type": "routes", "metadata": metadata, "spec": spec}


def _wait_until_ready(port: int) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while _get(port, READINESS_PATH) != 200:
        if time.monotonic() > deadline:
            raise TimeoutError("the node does not become ready")
        eventlet.sleep(0.1)


def _get(port: int, path: str) -> int:
    connection = HTTPConnection("127.0.0.1", port, timeout=READY_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        response.read()
        return response.status
    except OSError:
        return 0
    finally:
        connection.close()


def _read_usage(pid: int) -> dict[str, float]:
    """Return resident memory, its peak and its private part, and processor time."""
    values = {}
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM", "RssAnon"):
            values[name] = int(value.split()[0]) * KB_BYTES / BYTES_PER_MB
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").split()
    ticks = int(fields[13]) + int(fields[14])
    return {
        "rss_mb": round(values["VmRSS"], 1),
        "peak_mb": round(values["VmHWM"], 1),
        "private_mb": round(values["RssAnon"], 1),
        "cpu_s": round(ticks / os.sysconf("SC_CLK_TCK"), 2),
    }
