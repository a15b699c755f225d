"""Benchmark of the call path: added latency, saturation and overload."""

import json
import os
import socket
import subprocess
import sys
import time
from argparse import ArgumentParser, Namespace
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from itertools import count
from multiprocessing import get_context
from random import Random
from urllib.request import urlopen

import eventlet
import psutil
from eventlet.green import socket as green_socket
from hdrh.histogram import HdrHistogram

from bench.call_client import encode_request, exchange
from bench.registry import register_benchmark

SERVICE = "archivo"
CLIENT_PROCESSES = 3
MAX_LATENCY_US = 60_000_000

# Overload: four upstreams with 4 slots and a service time of 20 ms have a capacity of
# 800 calls/s.
OVERLOAD_SLOTS = 4
OVERLOAD_SERVICE_MS = 20
OVERLOAD_TIMEOUT_MS = 250
OVERLOAD_NODES = (
    ("n0", "dc1", "north"),
    ("n1", "dc1", "north"),
    ("n2", "dc2", "north"),
    ("n3", "dc3", "south"),
)
OVERLOAD_CAPACITY = len(OVERLOAD_NODES) * OVERLOAD_SLOTS * 1000 / OVERLOAD_SERVICE_MS
KEYED_SHARE = 0.2
MAX_CALLS_IN_FLIGHT = 3000


@dataclass
class NodeProcess:
    """A running `bench.call_node` process."""

    node_id: str
    call_address: str
    admin_address: str
    upstream_address: str
    process: subprocess.Popen

    def cpu_s(self) -> float:
        """Return the CPU time used so far."""
        times = psutil.Process(self.process.pid).cpu_times()
        return times.user + times.system

    def metrics(self) -> dict[str, float]:
        """Return the metric totals of the node."""
        return json.loads(fetch(self.admin_address, "/"))


_next_host = count(1).__next__


def new_addresses(number: int) -> list[str]:
    """Return unused loopback addresses with ports outside the ephemeral range."""
    host = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.{_next_host()}"
    return [f"{host}:{8001 + index}" for index in range(number)]


def fetch(address: str, target: str) -> bytes:
    """Return the response body of a GET request."""
    with urlopen(f"http://{address}{target}", timeout=30) as response:
        return response.read()


@contextmanager
def running(*arguments: str) -> Iterator[subprocess.Popen]:
    """Run a module of this repository until the block ends."""
    process = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        if not process.stdout.readline():
            raise RuntimeError(f"{arguments[0]} did not start")
        yield process
    finally:
        process.terminate()
        process.wait(timeout=30)


def start_upstream(
    stack: ExitStack, *, slots: int, service_ms: float, refusal_cpu_ms: float = 0.0
) -> str:
    """Start a stand-in upstream and return its address."""
    (address,) = new_addresses(1)
    stack.enter_context(
        running(
            "standins.upstream",
            *("--address", address, "--service", SERVICE),
            *("--slots", str(slots), "--connections", "4000"),
            *("--service-time-ms", str(service_ms)),
            *("--refusal-cpu-ms", str(refusal_cpu_ms)),
        )
    )
    return address


@dataclass
class NodePlan:
    """Configuration of a node process."""

    node_id: str
    upstream_address: str
    data_centre: str = "dc1"
    region: str = "north"
    slots: int = 12
    state: str = "active"
    addresses: list[str] = field(default_factory=lambda: new_addresses(3))

    def member_fields(self) -> list:
        """Return the fields of the `Member`, as `bench.call_node` reads them."""
        return [
            *(self.node_id, 1, SERVICE, self.data_centre, self.region),
            *(self.addresses[1], self.slots, self.state),
        ]


def start_nodes(
    stack: ExitStack, plans: list[NodePlan], *, seed: int, extra: tuple[str, ...] = ()
) -> list[NodeProcess]:
    """Start a node process for each plan."""
    members = json.dumps([plan.member_fields() for plan in plans])
    nodes = []
    for plan in plans:
        call_address, _, admin_address = plan.addresses
        process = stack.enter_context(
            running(
                "bench.call_node",
                *("--node", plan.node_id, "--members", members),
                *("--call-address", call_address, "--admin-address", admin_address),
                *("--upstream", plan.upstream_address, "--seed", str(seed)),
                *extra,
            )
        )
        nodes.append(
            NodeProcess(
                plan.node_id,
                call_address,
                admin_address,
                plan.upstream_address,
                process,
            )
        )
    return nodes


def start_entry_and_gateway(
    stack, upstream_address, *, seed, extra=()
) -> list[NodeProcess]:
    """Start two nodes; the entry of the first sends all calls to the second.

    The first node is marked as draining, so that its own gateway gets no calls.
    """
    plans = [
        NodePlan("a", upstream_address, state="draining"),
        NodePlan("b", upstream_address),
    ]
    return start_nodes(stack, plans, seed=seed, extra=extra)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def percentile_ms(values: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return round(values.get_value_at_percentile(percentile) / 1000, 3)


def connect(address: str, socket_module=socket):
    """Return a connected socket without Nagle's algorithm."""
    host, _, port = address.rpartition(":")
    sock = socket_module.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


# Added latency


def measure_latency(
    addresses_by_path: dict[str, str], *, rate: float, duration_s: float, seed: int
) -> dict[str, HdrHistogram]:
    """Call all paths in random order, each at `rate` calls/s; return latencies.

    Each client is a process. Threads of one process would wait for each other and add
    that time to the measured latencies.
    """
    interval_s = CLIENT_PROCESSES / (rate * len(addresses_by_path))
    histograms_by_path = {path: new_histogram() for path in addresses_by_path}
    with ProcessPoolExecutor(
        CLIENT_PROCESSES, mp_context=get_context("spawn")
    ) as executor:
        parts = [
            executor.submit(
                call_paths,
                addresses_by_path,
                interval_s,
                duration_s,
                seed * 1000 + number,
            )
            for number in range(CLIENT_PROCESSES)
        ]
        for part in parts:
            for path, elapsed_us in part.result():
                histograms_by_path[path].record_value(elapsed_us)
    return histograms_by_path


def call_paths(
    addresses_by_path: dict[str, str], interval_s: float, duration_s: float, seed: int
) -> list[tuple[str, int]]:
    """Call random paths at a fixed rate; return the path and latency of each call."""
    random = Random(seed)
    paths = sorted(addresses_by_path)
    sockets = {path: connect(addresses_by_path[path]) for path in paths}
    request = encode_request("GET", "/reads/7")
    for path in paths * 20:
        exchange(sockets[path], request)
    latencies = []
    next_at = time.perf_counter() + interval_s * random.random()
    end_at = next_at + duration_s
    while next_at < end_at:
        time.sleep(max(next_at - time.perf_counter(), 0))
        next_at += interval_s
        path = random.choice(paths)
        started_at = time.perf_counter()
        response = exchange(sockets[path], request)
        elapsed_us = int((time.perf_counter() - started_at) * 1e6)
        if response.status != 200:
            raise RuntimeError(f"{path} answered {response.status}")
        latencies.append((path, elapsed_us))
    return latencies


def bench_latency(options: Namespace) -> dict:
    """Compare latencies of direct calls, of one and two nodes, and of the baseline."""
    with ExitStack() as stack:
        upstream = start_upstream(stack, slots=1000, service_ms=0)
        entry, gateway = start_entry_and_gateway(stack, upstream, seed=options.seed)
        baseline, _ = start_entry_and_gateway(
            stack, upstream, seed=options.seed, extra=("--baseline",)
        )
        latencies = measure_latency(
            {
                "direct": upstream,
                "mesh": entry.call_address,
                "local": gateway.call_address,
                "baseline": baseline.call_address,
            },
            rate=options.rate,
            duration_s=options.duration,
            seed=options.seed,
        )
    results = {
        f"{path}_{name}_ms": percentile_ms(values, percentile)
        for path, values in latencies.items()
        for name, percentile in (("p50", 50), ("p99", 99), ("p999", 99.9))
    }
    for prefix, path in (("", "mesh"), ("local_", "local"), ("baseline_", "baseline")):
        for name in ("p50", "p99"):
            added = results[f"{path}_{name}_ms"] - results[f"direct_{name}_ms"]
            results[f"{prefix}added_{name}_ms"] = round(added, 3)
    results["latency_calls"] = latencies["mesh"].total_count
    return results


# Saturation


def run_closed_loop(
    address: str, *, connections: int, duration_s: float
) -> HdrHistogram:
    """Keep `connections` calls in flight and return their latencies."""
    values = new_histogram()
    request = encode_request("GET", "/reads/7")
    end_at = time.perf_counter() + duration_s

    def run():
        sock = connect(address, green_socket)
        while (started_at := time.perf_counter()) < end_at:
            exchange(sock, request)
            values.record_value(int((time.perf_counter() - started_at) * 1e6))
        sock.close()

    threads = [eventlet.spawn(run) for _ in range(connections)]
    for thread in threads:
        thread.wait()
    return values


def sweep(options: Namespace, extra: tuple[str, ...]) -> list[dict]:
    """Measure throughput, latency and CPU for growing numbers of calls in flight."""
    steps = []
    with ExitStack() as stack:
        upstream = start_upstream(stack, slots=1000, service_ms=0)
        nodes = start_entry_and_gateway(stack, upstream, seed=options.seed, extra=extra)
        run_closed_loop(nodes[0].call_address, connections=4, duration_s=0.5)
        for connections in (1, 2, 4, 8, 12):
            cpu_s = sum(node.cpu_s() for node in nodes)
            values = run_closed_loop(
                nodes[0].call_address,
                connections=connections,
                duration_s=options.step_duration,
            )
            cpu_s = sum(node.cpu_s() for node in nodes) - cpu_s
            steps.append(
                {
                    "in_flight": connections,
                    "calls_per_s": round(values.total_count / options.step_duration),
                    "p50_ms": percentile_ms(values, 50),
                    "p99_ms": percentile_ms(values, 99),
                    "calls_per_core_s": round(values.total_count / cpu_s),
                }
            )
    return steps


# Overload


@dataclass
class LoadResult:
    """Results of an open-loop load, as observed by its callers."""

    outcomes: Counter = field(default_factory=Counter)
    codes: Counter = field(default_factory=Counter)
    in_time: int = 0
    not_run_ids: set[str] = field(default_factory=set)
    keyed_ids: set[str] = field(default_factory=set)


def run_open_loop(
    addresses: list[str], *, rate: float, duration_s: float, seed: int, name: str
) -> LoadResult:
    """Send `rate` calls/s regardless of the responses, without retries."""
    random = Random(seed)
    result = LoadResult()
    idle_sockets_by_address: dict[str, list] = {address: [] for address in addresses}
    pool = eventlet.GreenPool(MAX_CALLS_IN_FLIGHT)

    def run(address: str, request_id: str, is_keyed: bool, due_at: float) -> None:
        headers = {
            "Request-Id": request_id,
            "Request-Timeout": str(OVERLOAD_TIMEOUT_MS),
        }
        body = b""
        if is_keyed:
            result.keyed_ids.add(request_id)
            headers["Idempotency-Key"] = request_id
            headers["Attempt"] = "1"
            body = b"x" * 200
        method = "POST" if is_keyed else "GET"
        request = encode_request(method, f"/{request_id}", body=body, headers=headers)
        sock = (
            idle_sockets_by_address[address].pop()
            if idle_sockets_by_address[address]
            else None
        )
        try:
            sock = sock or connect(address, green_socket)
            response = exchange(sock, request)
        except OSError:
            result.outcomes["lost"] += 1
            return
        idle_sockets_by_address[address].append(sock)
        result.outcomes[response.outcome] += 1
        if response.code:
            result.codes[response.code] += 1
        if response.outcome == "not-run":
            result.not_run_ids.add(request_id)
        elapsed_ms = (time.perf_counter() - due_at) * 1000
        if response.status == 200 and elapsed_ms <= OVERLOAD_TIMEOUT_MS:
            result.in_time += 1

    started_at = time.perf_counter()
    for number in range(int(rate * duration_s)):
        due_at = started_at + number / rate
        wait_s = due_at - time.perf_counter()
        if wait_s > 0:
            eventlet.sleep(wait_s)
        pool.spawn_n(
            run,
            addresses[number % len(addresses)],
            f"{name}-{number}",
            random.random() < KEYED_SHARE,
            due_at,
        )
    pool.waitall()
    return result


def bench_overload(options: Namespace, extra: tuple[str, ...]) -> dict:
    """Measure goodput at 1 and 2 times the capacity, retries and repeated runs."""
    with ExitStack() as stack:
        upstreams = [
            start_upstream(
                stack,
                slots=OVERLOAD_SLOTS,
                service_ms=OVERLOAD_SERVICE_MS,
                refusal_cpu_ms=options.refusal_cpu_ms,
            )
            for _ in OVERLOAD_NODES
        ]
        plans = [
            NodePlan(node_id, address, data_centre, region, OVERLOAD_SLOTS)
            for (node_id, data_centre, region), address in zip(
                OVERLOAD_NODES, upstreams, strict=True
            )
        ]
        nodes = start_nodes(stack, plans, seed=options.seed, extra=extra)
        load_options = {"duration_s": options.overload_duration, "seed": options.seed}
        first_centre_addresses = [node.call_address for node in nodes[:2]]
        ordinary = run_open_loop(
            first_centre_addresses,
            rate=OVERLOAD_CAPACITY * 0.3,
            name="ordinary",
            **load_options,
        )
        before = total_metrics(nodes)
        all_addresses = [node.call_address for node in nodes]
        full = run_open_loop(
            all_addresses, rate=OVERLOAD_CAPACITY, name="full", **load_options
        )
        middle = total_metrics(nodes)
        double = run_open_loop(
            all_addresses, rate=2 * OVERLOAD_CAPACITY, name="double", **load_options
        )
        after = total_metrics(nodes)
        shed = sum(
            json.loads(fetch(address, "/standin/counters"))["shed"]
            for address in upstreams
        )
        runs = Counter(
            request_id
            for address in upstreams
            for request_id, state in json.loads(fetch(address, "/standin/runs"))
            if state == "started"
        )
    loads = (ordinary, full, double)
    keyed = set().union(*(load.keyed_ids for load in loads))
    not_run = set().union(*(load.not_run_ids for load in loads))
    calls = after["entry.calls"] - middle["entry.calls"]
    attempts = after["calls.attempts"] - middle["calls.attempts"]
    goodput = double.in_time / options.overload_duration
    peak = max(load.in_time for load in (full, double)) / options.overload_duration
    return {
        "goodput_share_of_peak_at_2x": round(goodput / peak, 3),
        "goodput_ratio_at_2x": round(goodput / OVERLOAD_CAPACITY, 3),
        "goodput_ratio_at_1x": round(
            full.in_time / options.overload_duration / OVERLOAD_CAPACITY, 3
        ),
        "retry_amplification": round(attempts / calls, 3),
        "run_twice": sum(runs[request_id] > 1 for request_id in keyed),
        "false_not_run": sum(runs[request_id] > 0 for request_id in not_run),
        "cross_region_bytes": before.get("calls.cross_region_bytes", 0),
        "ordinary_outcomes": dict(ordinary.outcomes),
        "full_outcomes": dict(full.outcomes),
        "double_outcomes": dict(double.outcomes),
        "double_codes": dict(double.codes),
        "upstream_runs": runs.total(),
        "upstream_refusals": shed,
    }


def total_metrics(nodes: list[NodeProcess]) -> Counter:
    """Return the sums of the metric totals of all nodes."""
    totals: Counter = Counter()
    for node in nodes:
        totals.update(node.metrics())
    return totals


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench calls``."""
    parser.add_argument("--rate", type=float, default=177, help="calls/s per path")
    parser.add_argument(
        "--duration",
        type=float,
        default=20,
        help="duration of the latency part in seconds",
    )
    parser.add_argument(
        "--step-duration", type=float, default=2, help="seconds per step"
    )
    parser.add_argument(
        "--overload-duration", type=float, default=4, help="seconds per load"
    )
    parser.add_argument(
        "--refusal-cpu-ms",
        type=float,
        default=1.0,
        help="processor time that an upstream uses to refuse a call (overload)",
    )
    parser.add_argument(
        "--only", choices=("latency", "sweep", "overload"), help="run only this part"
    )


@register_benchmark("calls", configure=configure)
def bench_calls(options: Namespace) -> dict:
    """Calls through entry and gateway compared with direct calls to the upstream."""
    parts = [options.only] if options.only else ["latency", "sweep", "overload"]
    Random(options.seed).shuffle(parts)
    results: dict = {}
    for part in parts:
        print(f"{part} ...", flush=True)
        if part == "latency":
            results.update(bench_latency(options))
            continue
        for prefix, extra in (("", ()), ("baseline_", ("--baseline",))):
            if part == "sweep":
                steps = sweep(options, extra)
                best = max(steps, key=lambda step: step["calls_per_s"])
                part_results = {
                    "sweep": steps,
                    "calls_per_core_s": best["calls_per_core_s"],
                    "saturation_calls_per_s": best["calls_per_s"],
                }
            else:
                part_results = bench_overload(options, extra)
            results |= {
                f"{prefix}{name}": value for name, value in part_results.items()
            }
    return results
