"""Cost of membership per node against the number of members, over real sockets.

Nodes are control tasks with leases, links and membership, many to a process. A plain
node, a data centre relay and a region relay run alone in processes of their own, and
only these are measured. The baseline is the plain way: each node writes its own
object and reads all of them every 5 s.
"""

import os
import time
from argparse import ArgumentParser, Namespace
from statistics import linear_regression

from bench.mesh import Mesh, MeshPlan, WorkerProcess, running_mesh
from bench.registry import register_benchmark

FULL_CENTRE_NODES = 65
SIZE_SHARES = (0.25, 0.5, 1.0)
AGREE_TIMEOUT_S = 120.0
# Relays send a second full batch 14 s after they took over.
SETTLE_S = 20.0
ROLE_TIMEOUT_S = 30.0
BASELINE_SETTLE_S = 12.0


def configure(parser: ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("--nodes", type=int, default=390)
    parser.add_argument("--seconds", type=float, default=20.0, help="per measurement")


@register_benchmark("membership", configure=configure)
def run(options: Namespace) -> dict:
    """Cost of membership per node against the number of members."""
    centres = max(4, round(options.nodes / FULL_CENTRE_NODES))
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

    Beyond the capacity of the store stand-in, figures of the baseline mean nothing.
    """
    return [p for p in points if p["members_seen"] == p["members"]]


def summary(points: list[dict], probe: str, prefix: str) -> dict:
    """Return the figures at the largest size and their slopes per member."""
    figures = {}
    if len(points) < 2:
        return figures
    members = [point["members"] for point in points]
    for name in ("cpu_share", "rss_mb", "bytes_per_node_s"):
        values = [point[probe][name] for point in points]
        figures[prefix + name] = values[-1]
        slope = linear_regression(members, values).slope
        figures[f"{prefix}{name}_slope"] = float(f"{slope:.4g}")
    return figures


def measure_tree(plan: MeshPlan, seconds: float, seed: int) -> dict:
    """Return what the three measured nodes cost in a mesh of this size."""
    with running_mesh(plan) as mesh:
        # Started first and alone, the probes become the relays of their places.
        probes = {"region_relay": (0, 0)}
        if plan.data_centres > 1:
            probes["centre_relay"] = (1, 0)
        workers = {}
        for name, place in probes.items():
            workers[name] = add(mesh, [plan.settings(*place)], "tree", seed)
            workers[name].ask(do="start")
            mesh.wait_until(lambda w=workers[name]: is_relay(w), ROLE_TIMEOUT_S)
        workers["plain"] = add(mesh, [plan.settings(0, 1)], "tree", seed)
        probed = {*probes.values(), (0, 1)}
        for centre in range(plan.data_centres):
            places = [(centre, i) for i in range(plan.nodes_per_centre)]
            rest = [plan.settings(*p) for p in places if p not in probed]
            add(mesh, rest, "tree", seed)
        mesh.ask_all(do="start")
        agreed_s = mesh.wait_until(mesh.is_agreed, AGREE_TIMEOUT_S)
        time.sleep(SETTLE_S)
        figures = measure(mesh, workers, seconds)
        roles = {name: describe_one(w) for name, w in workers.items()}
    figures.setdefault("centre_relay", figures["region_relay"])
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
        **figures,
    }


def measure_baseline(plan: MeshPlan, seconds: float, seed: int) -> dict:
    """Return what one node costs when each node reads and writes the store."""
    with running_mesh(plan) as mesh:
        plain = add(mesh, [plan.settings(0, 1)], "baseline", seed)
        for centre in range(plan.data_centres):
            places = [(centre, i) for i in range(plan.nodes_per_centre)]
            rest = [plan.settings(*p) for p in places if p != (0, 1)]
            add(mesh, rest, "baseline", seed)
        mesh.ask_all(do="start")
        time.sleep(BASELINE_SETTLE_S)
        figures = measure(mesh, {"plain": plain}, seconds)
        nodes = mesh.describe()
    return {
        "members": plan.data_centres * plan.nodes_per_centre,
        "members_seen": min(node["member_count"] for node in nodes),
        "failures": sum(node["failures"] for node in nodes),
        **figures,
    }


def add(mesh: Mesh, nodes: list[dict], mode: str, seed: int) -> WorkerProcess:
    """Start a worker process and wait until it is ready."""
    worker = mesh.add_worker(nodes, mode=mode, seed=seed)
    worker.receive()
    return worker


def is_relay(worker: WorkerProcess) -> bool:
    """Return whether the only node of a worker is data centre relay."""
    return describe_one(worker)["is_data_centre_relay"]


def describe_one(worker: WorkerProcess) -> dict:
    """Return the only node of a worker."""
    return worker.ask(do="describe")["nodes"][0]


def measure(mesh: Mesh, workers: dict[str, WorkerProcess], seconds: float) -> dict:
    """Return CPU, memory, bytes of single-node workers, and calls at the store."""
    calls_before = store_calls(mesh)
    before = {name: worker.ask(do="describe") for name, worker in workers.items()}
    time.sleep(seconds)
    after = {name: worker.ask(do="describe") for name, worker in workers.items()}
    calls = store_calls(mesh) - calls_before
    figures: dict = {"store_calls_s": round(calls / seconds, 1)}
    for name in workers:
        first, last = before[name], after[name]
        elapsed_s = last["at"] - first["at"]
        cpu_s = last["cpu_s"] - first["cpu_s"]
        sent = byte_count(last) - byte_count(first)
        figures[name] = {
            "cpu_share": round(cpu_s / elapsed_s, 5),
            "rss_mb": round(last["rss_mb"], 1),
            "bytes_per_node_s": round(sent / elapsed_s, 1),
        }
    return figures


def byte_count(answer: dict) -> int:
    """Return the control bytes of the only node in a worker's answer."""
    (node,) = answer["nodes"]
    return node["link_bytes"] + node["store_bytes"]


def store_calls(mesh: Mesh) -> int:
    """Return the calls that the stand-in has counted."""
    counters = mesh.store_counters()
    return sum(counters[kind] for kind in ("get", "put", "delete", "list", "watch"))
