"""Processor time of a request over two node processes, the entry and the gateway."""

import subprocess
import sys
from argparse import ArgumentParser, Namespace
from contextlib import ExitStack
from pathlib import Path

import eventlet

from bench.memory import SETTLE_S, wait_until_ready
from bench.platform_nodes import run_platform_node
from bench.registry import register_benchmark
from standins.platform_store import StandinPlatformStore
from standins.platform_upstream import StandinPlatformUpstream
from tests.call_support import free_port
from tests.mesh_cluster import limits, route, service

REPORT_INTERVAL_S = 0.5
SLOTS = 64
CALLERS = Path(__file__).with_name("requests_worker.py")


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench requests``."""
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--callers", type=int, default=4)


@register_benchmark("requests", configure=configure)
def measure_requests(options: Namespace) -> dict:
    """Processor time of a request at the entry and at the gateway, in microseconds."""
    store = StandinPlatformStore()
    resources = [
        route("r", "/x/", service="s", timeout_ms=5000),
        service("s"),
        service("a"),
        limits(),
    ]
    store.put("config", "main", {"version": 1, "resources": resources})
    with ExitStack() as stack:
        store_address = f"127.0.0.1:{free_port()}"
        _serve(stack, store, store_address)
        nodes = []
        for name in ("a", "s"):
            upstream = StandinPlatformUpstream(f"i-{name}", name, slots=SLOTS)
            address = f"127.0.0.1:{free_port()}"
            _serve(stack, upstream, address)
            node = stack.enter_context(
                run_platform_node(
                    f"node-{name}",
                    store_address=store_address,
                    service=name,
                    upstream_address=address,
                )
            )
            nodes.append(node)
            wait_until_ready(node)
            reporter = eventlet.spawn(_report, upstream, node, address)
            stack.callback(reporter.kill)
        eventlet.sleep(2 * SETTLE_S)
        before = [node.cpu_s() for node in nodes]
        count = options.requests // options.callers
        callers = subprocess.Popen(
            [sys.executable, CALLERS, nodes[0].addresses["call"]]
            + [str(options.callers), str(count)]
        )
        while callers.poll() is None:
            eventlet.sleep(0.02)
        if callers.returncode:
            raise RuntimeError("a request failed")
        used = [node.cpu_s() - b for node, b in zip(nodes, before, strict=True)]
    entry_us, gateway_us = (round(s / (count * options.callers) * 1e6) for s in used)
    return {
        "requests": count * options.callers,
        "entry_us": entry_us,
        "gateway_us": gateway_us,
        "both_us": entry_us + gateway_us,
    }


def _serve(stack: ExitStack, application, address: str) -> None:
    host, _, port = address.rpartition(":")
    listener = eventlet.listen((host, int(port)))
    stack.callback(eventlet.spawn(application.serve, listener).kill)


def _report(upstream: StandinPlatformUpstream, node, address: str) -> None:
    while True:
        upstream.report(node.addresses["report"], address)
        eventlet.sleep(REPORT_INTERVAL_S)
