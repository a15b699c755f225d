"""Memory of one node process: at the start, with many routes, and after changes."""

import time
from argparse import ArgumentParser, Namespace

import eventlet

from bench.platform_nodes import PlatformNode, run_platform_node
from bench.registry import register_benchmark
from standins.platform_store import StandinPlatformStore
from tests.call_support import free_port
from tests.mesh_cluster import route, service
from verbenawick.platform._calls import READINESS_PATH
from verbenawick.platform._servers import METRICS_PATH

READY_TIMEOUT_S = 10.0
# Longer than a node takes to fetch a version and put it in force.
SETTLE_S = 1.5
CHANGE_INTERVAL_S = 0.1
SERVICES = [service(f"service-{i}") for i in range(4)]


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench memory``."""
    parser.add_argument("--routes", type=int, default=800)
    parser.add_argument("--added-routes", type=int, default=1400)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--scrape", action="store_true", help="read the metrics page")


@register_benchmark("memory", configure=configure)
def measure_memory(options: Namespace) -> dict:
    """Memory and processor time of one node process, in MB and seconds."""
    store_address = f"127.0.0.1:{free_port()}"
    host, _, port = store_address.rpartition(":")
    store = StandinPlatformStore()
    thread = eventlet.spawn(store.serve, eventlet.listen((host, int(port))))
    steps = {}
    with run_platform_node(
        "n-1",
        store_address=store_address,
        service="service-0",
        upstream_address=f"127.0.0.1:{free_port()}",
    ) as node:
        eventlet.sleep(SETTLE_S)
        steps["start"] = _usage_of(node)
        _put(store, 1, options.routes)
        wait_until_ready(node)
        eventlet.sleep(SETTLE_S)
        steps["routes"] = _usage_of(node)
        count = options.routes + options.added_routes
        _put(store, 2, count)
        eventlet.sleep(SETTLE_S)
        steps["added_routes"] = _usage_of(node)
        for change in range(options.changes):
            _put(store, 3 + change, count, changed=change)
            eventlet.sleep(CHANGE_INTERVAL_S)
        eventlet.sleep(SETTLE_S)
        steps["changes"] = _usage_of(node)
        if options.scrape:
            node.get("metrics", METRICS_PATH)
            steps["scrape"] = _usage_of(node)
    thread.kill()
    return {"routes": options.routes, "added": options.added_routes, "steps": steps}


def wait_until_ready(node: PlatformNode) -> None:
    """Wait until a node says that it is ready."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while node.get("readiness", READINESS_PATH) != 200:
        if time.monotonic() > deadline:
            raise TimeoutError("the node does not become ready")
        eventlet.sleep(0.1)


def _usage_of(node: PlatformNode) -> dict[str, float]:
    return {**node.memory_mb(), "cpu_s": round(node.cpu_s(), 2)}


def _put(
    store: StandinPlatformStore, version: int, routes: int, *, changed: int = -1
) -> None:
    resources = [
        route(
            f"route-{i}-{i * 104_729 % 10**6}",
            f"/part-{i * 7919 % 10**6}/{i}/",
            service=f"service-{i % 4}",
            host=f"host-{i % 7}.example",
            priority=2 if i == changed else 1,
        )
        for i in range(routes)
    ]
    content = {"version": version, "resources": [*resources, *SERVICES]}
    store.put("config", "main", content)
