"""Cost of membership per node by number of members, over real sockets.

Nodes are control tasks with leases, links and membership, with many nodes per process.
Only three nodes are measured, each in its own process: a plain node, a data centre
relay and a region relay. In the baseline, each node writes its own object to the store
and reads the objects of all nodes every 5 s.
"""

import os
import time
from argparse import ArgumentParser, Namespace
from statistics import linear_regression

from bench.mesh import Mesh, MeshPlan, WorkerProcess, running_mesh
from bench.registry import register_benchmark

DESIGN_NODES_PER_CENTRE = 65
SIZE_SHARES = (0.25, 0.5, 1.0)
AGREEMENT_TIMEOUT_S = 120.0
# Covers the second full batch, which relays send 14 s after they took over.
SETTLE_S = 20.0
ROLE_TIMEOUT_S = 30.0
BASELINE_SETTLE_S = 12.0


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench membership``."""
    parser.add_argument("--nodes", type=int, default=390)
    parser.add_argument("--seconds", type=float, default=20.0, help="per measurement")


@register_benchmark("membership", configure=configure)
def run(options: Namespace) -> dict:
    """Cost of membership per node by number of members."""
    centres = max(4, round(options.nodes / DESIGN_NODES_PER_CENTRE))
    nodes_per_centre = max(4, options.nodes // centres)
    tree, baseline = [], []
    for share in SIZE_SHARES:
        plan = MeshPlan(
            data_centres=max(1, round(centres * share)),
            nodes_per_centre=nodes_per_centre,
        )
        tree.append(measure_tree(plan, options.seconds, options.seed))
        baseline.append(measure_baseline(plan, options.seconds, options.seed))
    return {
        "what": "control tasks with membership only; many nodes to a process, "
        "the measured ones alone in theirs; bytes without TCP and IP headers, "
        "sent plus received; a fifth of the loads jumps each second",
        "cores": os.cpu_count(),
        "load_average": os.getloadavg(),
        "tree": tree,
        "baseline": baseline,
        **summary(tree, "plain", ""),
        **summary(tree, "centre_relay", "centre_relay_"),
        **summary(tree, "region_relay", "region_relay_"),
        **summary(complete(baseline), "plain", "baseline_"),
        "baseline_members": max((p["members"] for p in complete(baseline)), default=0),
        "store_calls_s": tree[-1]["store_calls_s"],
        "baseline_store_calls_s": baseline[-1]["store_calls_s"],
    }


def complete(points: list[dict]) -> list[dict]:
    """Return the points at which each node knew all members.

    Beyond the capacity of the stand-in store, results of the baseline are meaningless.
    """
    return [p for p in points if p["members_seen"] == p["members"]]


def summary(points: list[dict], probe: str, prefix: str) -> dict:
    """Return the results at the largest size and their slopes per member."""
    results = {}
    if len(points) < 2:
        return results
    members = [point["members"] for point in points]
    for name in ("cpu_share", "rss_mb", "bytes_per_node_s"):
        values = [point[probe][name] for point in points]
        results[prefix + name] = values[-1]
        slope = linear_regression(members, values).slope
        results[f"{prefix}{name}_slope"] = float(f"{slope:.4g}")
    return results


def measure_tree(plan: MeshPlan, seconds: float, seed: int) -> dict:
    """Return the cost of the three measured nodes in a mesh of this size."""
    with running_mesh(plan) as mesh:
        # These nodes start first and alone, so that the first becomes the relay of its
        # region and the second the relay of its data centre.
        relay_positions = {"region_relay": (0, 0)}
        if plan.data_centres > 1:
            relay_positions["centre_relay"] = (1, 0)
        workers = {}
        for name, position in relay_positions.items():
            workers[name] = start_worker(mesh, [plan.settings(*position)], "tree", seed)
            workers[name].ask(do="start")
            mesh.wait_until(lambda w=workers[name]: is_relay(w), ROLE_TIMEOUT_S)
        workers["plain"] = start_worker(mesh, [plan.settings(0, 1)], "tree", seed)
        measured_positions = {*relay_positions.values(), (0, 1)}
        for centre in range(plan.data_centres):
            positions = [(centre, i) for i in range(plan.nodes_per_centre)]
            other_nodes = [
                plan.settings(*p) for p in positions if p not in measured_positions
            ]
            start_worker(mesh, other_nodes, "tree", seed)
        mesh.ask_all(do="start")
        agreed_s = mesh.wait_until(mesh.is_agreed, AGREEMENT_TIMEOUT_S)
        time.sleep(SETTLE_S)
        results = measure(mesh, workers, seconds)
        roles = {name: describe_single_node(w) for name, w in workers.items()}
    results.setdefault("centre_relay", results["region_relay"])
    return {
        "members": plan.data_centres * plan.nodes_per_centre,
        "nodes_per_centre": plan.nodes_per_centre,
        "data_centres": plan.data_centres,
        "processes": len(mesh.workers),
        "agreed_s": round(agreed_s, 2),
        "roles": {
            name: {key: node[key] for key in ("is_data_centre_relay", "links")}
            for name, node in roles.items()
        },
        **results,
    }


def measure_baseline(plan: MeshPlan, seconds: float, seed: int) -> dict:
    """Return the cost of one node when each node reads and writes the store."""
    with running_mesh(plan) as mesh:
        plain = start_worker(mesh, [plan.settings(0, 1)], "baseline", seed)
        for centre in range(plan.data_centres):
            positions = [(centre, i) for i in range(plan.nodes_per_centre)]
            other_nodes = [plan.settings(*p) for p in positions if p != (0, 1)]
            start_worker(mesh, other_nodes, "baseline", seed)
        mesh.ask_all(do="start")
        time.sleep(BASELINE_SETTLE_S)
        results = measure(mesh, {"plain": plain}, seconds)
        nodes = mesh.describe()
    return {
        "members": plan.data_centres * plan.nodes_per_centre,
        "members_seen": min(node["member_count"] for node in nodes),
        "failures": sum(node["failures"] for node in nodes),
        **results,
    }


def start_worker(mesh: Mesh, nodes: list[dict], mode: str, seed: int) -> WorkerProcess:
    """Start a worker process and wait until it is ready."""
    worker = mesh.add_worker(nodes, mode=mode, seed=seed)
    worker.receive()
    return worker


def is_relay(worker: WorkerProcess) -> bool:
    """Return whether the only node of a worker is the relay of its data centre."""
    return describe_single_node(worker)["is_data_centre_relay"]


def describe_single_node(worker: WorkerProcess) -> dict:
    """Return the description of the only node of a worker."""
    return worker.ask(do="describe")["nodes"][0]


def measure(mesh: Mesh, workers: dict[str, WorkerProcess], seconds: float) -> dict:
    """Return CPU, memory and bytes of single-node workers, and store calls/s."""
    calls_before = store_calls(mesh)
    before = {name: worker.ask(do="describe") for name, worker in workers.items()}
    time.sleep(seconds)
    after = {name: worker.ask(do="describe") for name, worker in workers.items()}
    calls = store_calls(mesh) - calls_before
    results: dict = {"store_calls_s": round(calls / seconds, 1)}
    for name in workers:
        first, last = before[name], after[name]
        elapsed_s = last["at"] - first["at"]
        cpu_s = last["cpu_s"] - first["cpu_s"]
        transferred_bytes = byte_count(last) - byte_count(first)
        results[name] = {
            "cpu_share": round(cpu_s / elapsed_s, 5),
            "rss_mb": round(last["rss_mb"], 1),
            "bytes_per_node_s": round(transferred_bytes / elapsed_s, 1),
        }
    return results


def byte_count(answer: dict) -> int:
    """Return the control bytes of the only node in the answer of a worker."""
    (node,) = answer["nodes"]
    return node["link_bytes"] + node["store_bytes"]


def store_calls(mesh: Mesh) -> int:
    """Return the number of calls that the stand-in store has counted."""
    counters = mesh.store_counters()
    return sum(counters[kind] for kind in ("get", "put", "delete", "list", "watch"))
