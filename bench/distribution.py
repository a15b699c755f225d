"""Benchmark of configuration distribution: convergence time and control bytes.

Convergence is the time from the acceptance of a change until it is in force everywhere.

The nodes consist of control task, membership, distribution and status over real
sockets, without the call path. Each runs in its own process up to `MAX_NODE_PROCESSES`
nodes; more nodes share processes. In the baseline, measured in the same run, each node
watches the store.
"""

import time
from argparse import ArgumentParser, Namespace
from collections import Counter
from dataclasses import dataclass
from random import Random

from hdrh.histogram import HdrHistogram

from bench.mesh import Mesh, MeshPlan, running_mesh
from bench.registry import register_benchmark
from verbenawick.configuration._acceptance import Acceptor
from verbenawick.configuration._document import parse_document
from verbenawick.store._store import StoreClient

MAX_NODE_PROCESSES = 48
SHARED_PROCESS_COUNT = 8
CENTRES_PER_REGION = 2
CENTRE_DELAY_MS = 1.0
REGION_DELAY_MS = 8.0
CHANGE_INTERVAL_S = 1.0
IDLE_WINDOW_S = 10.0
START_TIMEOUT_S = 90.0
CONVERGENCE_TIMEOUT_S = 30.0
MAX_SERVICES = 82
WORKER_MODULE = "bench.distribution_worker"


@dataclass
class DelayedMeshPlan(MeshPlan):
    """Plan with the one-way delays of docs/design.md, section 1.1."""

    def delay_ms(self, centre: int, other: int) -> float:
        """Return the one-way delay between two data centres."""
        if centre == other:
            return 0.0
        is_same_region = (
            centre // self.centres_per_region == other // self.centres_per_region
        )
        return CENTRE_DELAY_MS if is_same_region else REGION_DELAY_MS

    def prefix(self, centre: int) -> str:
        """Return the common prefix of the addresses of a data centre."""
        return f"127.{self.network}.{centre}."

    def settings(self, centre: int, index: int) -> dict:
        """Return the settings of one node."""
        delays = {
            self.prefix(other): self.delay_ms(centre, other)
            for other in range(self.data_centres)
            if other != centre
        }
        return {**super().settings(centre, index), "link_delays_ms": delays}

    def store_options(self) -> tuple[str, ...]:
        """Return the delay options of the store, which is in the first data centre."""
        return tuple(
            option
            for centre in range(1, self.data_centres)
            for option in (
                "--delay",
                f"{self.prefix(centre)}={self.delay_ms(0, centre)}",
            )
        )


class CountingClient:
    """Store client that counts the calls of the operator."""

    def __init__(self, client: StoreClient):
        self._client = client
        self.calls = 0

    def __getattr__(self, name: str):
        value = getattr(self._client, name)
        if callable(value):
            self.calls += 1
        return value


class Operator:
    """Applies configuration changes through an `Acceptor`.

    Attributes
    ----------
    accepted_at_by_version : dict of int to float
        Time just before the conditional update of the head was sent.
    """

    def __init__(self, plan: MeshPlan, *, random: Random):
        ip = f"127.{plan.network}.0.250"
        self.client = CountingClient(StoreClient(plan.store_address, source_ip=ip))
        self.accepted_at_by_version: dict[int, float] = {}
        self._services = [f"svc{i:02}" for i in range(plan.services)]
        self._random = random
        self._timeouts = [5.0] * plan.services
        self._head_update_at = 0.0
        self._acceptor = Acceptor(
            self.client, author="bench", on_step=self._record_step
        )

    def change(self) -> int:
        """Change the policy of one service and return the new version."""
        index = self._random.randrange(len(self._services))
        self._timeouts[index] = round(self._random.uniform(1.0, 25.0), 3)
        acceptance = self._acceptor.apply(parse_document(self._document_content()))
        self.accepted_at_by_version[acceptance.version] = self._head_update_at
        return acceptance.version

    def _record_step(self, step: str) -> None:
        if step == "write-snapshot":
            self._head_update_at = time.monotonic()

    def _document_content(self) -> dict:
        services = list(zip(self._services, self._timeouts, strict=True))
        return {
            "services_by_id": {name: {"policy": name} for name, _ in services},
            "policies_by_id": {name: {"timeout_s": value} for name, value in services},
            "routes_by_id": {
                name: {"match": {"path_prefix": f"/{name}"}, "service": name}
                for name in self._services
            },
            "presets_by_id": {"ordinary": {}, "peak": {}, "maintenance": {}},
            "preset_in_force": "ordinary",
        }


@dataclass
class Sample:
    """Counters of all nodes and of the store at one point in time."""

    at: float
    control_bytes: int
    cross_region_bytes: int
    cross_region_bytes_by_part: Counter[str]
    store_calls: int


class Measurement:
    """Measurement of a mesh of one kind of nodes."""

    def __init__(self, mesh: Mesh, operator: Operator, *, mode: str, seed: int):
        self._mesh = mesh
        self._operator = operator
        plan = mesh.plan
        nodes = [node for c in range(plan.data_centres) for node in plan.centre(c)]
        is_shared = len(nodes) > MAX_NODE_PROCESSES
        self._process_count = SHARED_PROCESS_COUNT if is_shared else len(nodes)
        for number in range(self._process_count):
            share = nodes[number :: self._process_count]
            mesh.add_worker(share, mode=mode, seed=seed, module=WORKER_MODULE)
        self._node_count = len(nodes)

    def run(self, changes: int) -> dict:
        """Measure an idle window, then `changes` changes; return the results."""
        mesh = self._mesh
        mesh.ask_all(do="start")
        # `ask_all` read the answer to the plan; this reads the answer to the command.
        for worker in mesh.workers:
            worker.receive()
        version = self._operator.change()
        start_s = mesh.wait_until(lambda: self._is_in_force(version), START_TIMEOUT_S)
        time.sleep(IDLE_WINDOW_S / 2)
        idle = [self._sample()]
        time.sleep(IDLE_WINDOW_S)
        idle.append(self._sample())
        busy = [self._sample()]
        versions = [self._change_once() for _ in range(changes)]
        mesh.wait_until(lambda: self._is_in_force(versions[-1]), CONVERGENCE_TIMEOUT_S)
        busy.append(self._sample())
        return {
            "processes": self._process_count,
            "start_s": round(start_s, 2),
            **self._convergence(versions),
            **self._costs(idle, busy, changes),
        }

    def close(self) -> None:
        """Stop the worker processes."""
        for worker in self._mesh.workers:
            worker.close()
        self._mesh.workers.clear()

    def _change_once(self) -> int:
        next_at = time.monotonic() + CHANGE_INTERVAL_S
        version = self._operator.change()
        time.sleep(max(0.0, next_at - time.monotonic()))
        return version

    def _is_in_force(self, version: int) -> bool:
        return all(node["version"] >= version for node in self._mesh.describe())

    def _convergence(self, versions: list[int]) -> dict:
        nodes = self._mesh.describe()
        histogram = HdrHistogram(1, 60_000_000, 3)
        for version in versions:
            # A node may skip a version if the next one arrives early.
            in_force_at = max(
                min(at for v, at in node["in_force_at"].items() if int(v) >= version)
                for node in nodes
            )
            accepted_at = self._operator.accepted_at_by_version[version]
            histogram.record_value(int((in_force_at - accepted_at) * 1e6))
        return {
            f"convergence_p{p}_s": histogram.get_value_at_percentile(p) / 1e6
            for p in (50, 99)
        }

    def _sample(self) -> Sample:
        nodes = self._mesh.describe()
        counters = self._mesh.store_counters()
        # Links between nodes stay within a region; only store traffic crosses regions.
        remote = [node for node in nodes if node["region"] != "r0"]
        by_part: Counter[str] = Counter()
        for node in remote:
            by_part.update(node["store_bytes_by_part"])
        kinds = ("get", "put", "delete", "list", "watch")
        return Sample(
            at=time.monotonic(),
            control_bytes=sum(n["link_bytes"] + n["store_bytes"] for n in nodes),
            cross_region_bytes=sum(node["store_bytes"] for node in remote),
            cross_region_bytes_by_part=by_part,
            store_calls=sum(counters[kind] for kind in kinds)
            - self._operator.client.calls,
        )

    def _costs(self, idle: list[Sample], busy: list[Sample], changes: int) -> dict:
        idle_s = idle[1].at - idle[0].at
        busy_s = busy[1].at - busy[0].at

        def per_change(name: str) -> float:
            """Return the increase per change over the rate of the idle window."""
            before, after = (getattr(sample, name) for sample in idle)
            first, last = (getattr(sample, name) for sample in busy)
            rate = (after - before) / idle_s
            return round((last - first - rate * busy_s) / changes, 1)

        total = busy[1].control_bytes - busy[0].control_bytes
        idle_cross_region_bytes = (
            idle[1].cross_region_bytes - idle[0].cross_region_bytes
        )
        calls = idle[1].store_calls - idle[0].store_calls
        by_part = [sample.cross_region_bytes_by_part for sample in idle]
        return {
            "control_bytes_per_node_s": round(total / busy_s / self._node_count, 1),
            "cross_region_bytes_per_change": per_change("cross_region_bytes"),
            "store_calls_per_change": per_change("store_calls"),
            "idle_cross_region_bytes_s": round(idle_cross_region_bytes / idle_s, 1),
            "idle_cross_region_bytes_s_by_part": {
                part: round((total - by_part[0][part]) / idle_s, 1)
                for part, total in sorted(by_part[1].items())
            },
            "idle_store_calls_s": round(calls / idle_s, 2),
        }


def _configure(parser: ArgumentParser) -> None:
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--regions", type=int, default=3)
    parser.add_argument("--changes", type=int, default=20)


@register_benchmark("distribution", configure=_configure)
def run(options: Namespace) -> dict:
    """Convergence and control bytes compared with one store watch per node."""
    centres = options.regions * CENTRES_PER_REGION
    per_centre, remainder = divmod(options.nodes, centres)
    if remainder or not per_centre:
        raise SystemExit(f"--nodes must be a multiple of {centres} (2 per region)")
    plan = DelayedMeshPlan(
        data_centres=centres,
        nodes_per_centre=per_centre,
        centres_per_region=CENTRES_PER_REGION,
        services=min(MAX_SERVICES, options.nodes),
        network=70,
    )
    results = {"nodes": options.nodes, "regions": options.regions}
    with running_mesh(plan, plan.store_options()) as mesh:
        operator = Operator(plan, random=Random(options.seed))
        for prefix, mode in (("", "distribution"), ("baseline_", "watching")):
            measurement = Measurement(mesh, operator, mode=mode, seed=options.seed)
            try:
                result = measurement.run(options.changes)
            finally:
                measurement.close()
            results |= {f"{prefix}{name}": value for name, value in result.items()}
    return results
