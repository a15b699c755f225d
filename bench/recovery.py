"""Recovery when a third of the nodes, a region's store access or all nodes fail.

Two parts. `mesh`: many control tasks over real sockets, against the plain way, where
each node writes its own object and reads all of them every 5 s. A lost call is a
member picked from a node's table that does not run. `nodes`: the node daemons of one
deployment with upstreams and callers. A lost call is one without a complete response
after all attempts of its caller.
"""

import os
import signal
import subprocess
import sys
import threading
import time
from argparse import ArgumentParser, Namespace
from dataclasses import replace
from pathlib import Path
from random import Random

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from bench.mesh import Mesh, MeshPlan, WorkerProcess, running_mesh
from bench.registry import register_benchmark
from demo._callers import Callers
from standins.processes import ANDINA, Deployment, run_deployment, store_address

NODES_PER_CENTRE = 13
CENTRES = 6
CENTRES_PER_REGION = 2
SETTLE_S = 18.0
CUT_DURATION_S = 20.0
SAMPLE_S = 0.5
TIMEOUT_S = 90.0
CALLS_PER_NODE_S = 177.0
STEPS = ("start", "kill_third", "return_third", "cut_region", "restart_all")
EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "andina.json5"


class StoreCallSampler:
    """Samples the total of store calls, to find the peak rate."""

    def __init__(self, read_total):
        self._read_total = read_total
        self._samples: list[tuple[float, int]] = []
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._is_stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            self._samples.append((time.monotonic(), self._read_total()))
            self._is_stopped.wait(0.1)

    def peak_calls_per_s(self) -> int:
        """Return the largest number of store calls within one second."""
        peak, first = 0, 0
        for at, total in self._samples:
            while at - self._samples[first][0] > 1.0:
                first += 1
            peak = max(peak, total - self._samples[first][1])
        return peak


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench recovery``."""
    parser.add_argument("--no-nodes", action="store_true", help="skip the daemons")
    parser.add_argument("--centres", type=int, default=CENTRES)
    parser.add_argument("--nodes-per-centre", type=int, default=NODES_PER_CENTRE)
    parser.add_argument("--steps", nargs="+", choices=STEPS, default=STEPS)
    parser.add_argument(
        "--sample-s", type=float, default=SAMPLE_S, help="seconds between two polls"
    )


@register_benchmark("recovery", configure=configure)
def run(options: Namespace) -> dict:
    """Recovery from large failures."""
    plan = MeshPlan(
        data_centres=options.centres,
        nodes_per_centre=options.nodes_per_centre,
        centres_per_region=CENTRES_PER_REGION,
    )
    tree = run_mesh(plan, "tree", options)
    baseline = run_mesh(plan, "baseline", options)
    nodes = {} if options.no_nodes else run_nodes(options.seed)
    return {
        "what": __doc__.partition("\n\n")[2].replace("\n", " "),
        "cores": os.cpu_count(),
        "members": options.centres * options.nodes_per_centre,
        "data_centres": options.centres,
        "load_average": os.getloadavg(),
        "mesh": tree,
        "baseline": baseline,
        "nodes": nodes,
        **summary(tree, ""),
        **summary(baseline, "baseline_"),
        **({"nodes_" + k: v for k, v in summary(nodes, "").items()} if nodes else {}),
    }


def summary(steps: dict[str, dict], prefix: str) -> dict:
    """Return the maximum times and rates and the total lost calls of all steps."""
    return {
        f"{prefix}time_to_serve_s": max(s["time_to_serve_s"] for s in steps.values()),
        f"{prefix}calls_lost": sum(s["calls_lost"] for s in steps.values()),
        f"{prefix}store_calls_peak_s": max(
            s["store_calls_peak_s"] for s in steps.values()
        ),
    }


class MeshRecovery:
    """Recovery steps on control tasks or on baseline nodes."""

    def __init__(self, mesh: Mesh, mode: str, seed: int, sample_s: float):
        self._mesh = mesh
        self._sample_s = sample_s
        self._random = Random(seed)
        self._is_tree = mode == "tree"
        self._workers: list[WorkerProcess] = []
        for centre in range(mesh.plan.data_centres):
            nodes = mesh.plan.centre(centre)
            self._workers.append(mesh.add_worker(nodes, mode=mode, seed=seed))
        for worker in self._workers:
            worker.receive()
        self._ids = [i for worker in self._workers for i in worker.node_ids]
        self._expected = set(self._ids)

    def kill_third(self) -> dict:
        """Kill a third of all nodes; recovered when no table lists them."""
        killed = set(self._random.sample(self._ids, len(self._ids) // 3))
        self._expected -= killed
        return self._measure_recovery(lambda: self._command("stop", killed))

    def return_third(self) -> dict:
        """Restart the killed nodes."""
        missing = set(self._ids) - self._expected
        self._expected = set(self._ids)
        return self._measure_recovery(lambda: self._command("start", missing))

    def restart_all(self) -> dict:
        """Kill and restart all nodes."""

        def restart():
            self._command("stop", set(self._ids))
            self._command("start", set(self._ids))

        return self._measure_recovery(restart)

    def cut_region(self) -> dict:
        """Disconnect a region from the store, kill a node in it, and reconnect it."""
        ids = [i for w in self._workers[-CENTRES_PER_REGION:] for i in w.node_ids]
        killed = {self._random.choice(ids)}
        self._set_cut(ids, True)
        self._command("stop", killed)
        self._expected -= killed
        region_workers = self._workers[-CENTRES_PER_REGION:]
        inside_s = self._wait(region_workers) if self._is_tree else None
        time.sleep(CUT_DURATION_S)
        result = self._measure_recovery(lambda: self._set_cut(ids, False))
        result["inside_s"] = inside_s
        self._command("start", killed)
        self._expected |= killed
        self._wait(self._workers)
        return result

    def settle(self) -> None:
        """Wait until all tables are correct and grace periods are over."""
        self._wait(self._workers)
        time.sleep(SETTLE_S)

    def start(self) -> dict:
        """Start all nodes for the first time."""
        return self._measure_recovery(lambda: self._command("start", set(self._ids)))

    def _measure_recovery(self, action) -> dict:
        lost_share_s = 0.0
        with StoreCallSampler(lambda: store_calls(self._mesh)) as sampler:
            action()
            started_at = last_at = time.monotonic()
            while True:
                lost_share, running = self._lost_share(self._workers)
                now = time.monotonic()
                lost_share_s += lost_share * (now - last_at)
                last_at = now
                if not self._outdated_nodes:
                    break
                if now - started_at > TIMEOUT_S:
                    break
                time.sleep(self._sample_s)
        return {
            "time_to_serve_s": round(now - started_at, 2),
            "is_served": not self._outdated_nodes,
            "calls_lost": round(lost_share_s * running * CALLS_PER_NODE_S),
            "store_calls_peak_s": sampler.peak_calls_per_s(),
        }

    def _lost_share(self, workers) -> tuple[float, int]:
        """Return the share of calls that are lost, and the number of running nodes.

        A call is lost if the node selects a dead member or has an empty table.
        """
        answers = self._mesh.ask_all(workers, do="describe", members=True)
        nodes = [node for answer in answers for node in answer["nodes"]]
        self._outdated_nodes = [
            n for n in nodes if self._listed_ids(n) != self._expected
        ]
        lost_share = 0.0
        for node in nodes:
            listed_ids = self._listed_ids(node)
            dead_count = len(listed_ids - self._expected)
            lost_share += dead_count / len(listed_ids) if listed_ids else 1.0
        return lost_share / max(len(nodes), 1), len(nodes)

    def _listed_ids(self, node: dict) -> set[str]:
        if self._is_tree:
            return {name.partition("/")[0] for name in node["members"]}
        return {name.removeprefix("baseline/") for name in node["members"]}

    def _wait(self, workers) -> float:
        started_at = time.monotonic()
        self._lost_share(workers)
        while self._outdated_nodes and time.monotonic() - started_at < TIMEOUT_S:
            time.sleep(self._sample_s)
            self._lost_share(workers)
        return round(time.monotonic() - started_at, 2)

    def _command(self, do: str, ids: set[str], **values) -> None:
        for worker in self._workers:
            chosen = [i for i in worker.node_ids if i in ids]
            if chosen:
                worker.ask(do=do, ids=chosen, **values)

    def _set_cut(self, ids: list[str], is_cut: bool) -> None:
        self._command("cut_store", set(ids), is_cut=is_cut)


def run_mesh(plan: MeshPlan, mode: str, options: Namespace) -> dict[str, dict]:
    """Return the results of the steps on control tasks or on baseline nodes."""
    results = {}
    with running_mesh(plan) as mesh:
        recovery = MeshRecovery(mesh, mode, options.seed, options.sample_s)
        for step in options.steps:
            results[step] = getattr(recovery, step)()
            recovery.settle()
    return results


def store_calls(mesh: Mesh) -> int:
    """Return the number of calls that the stand-in store has counted."""
    counters = mesh.store_counters()
    return sum(counters[kind] for kind in ("get", "put", "delete", "list", "watch"))


# Node daemons


class DaemonRecovery:
    """Recovery steps on the node daemons of one deployment, under load."""

    def __init__(self, deployment: Deployment, seed: int):
        self._deployment = deployment
        self._random = Random(seed)
        self._http = PoolManager(timeout=Timeout(2.0), retries=False)
        self._seed = seed

    def prepare(self) -> None:
        """Start all processes and apply a configuration document."""
        deployment = self._deployment
        deployment.start_all()
        self._wait(lambda: self._store_calls() >= 0)
        command = [sys.executable, "-W", "ignore", "-m", "verbenawick", "ctl"]
        command += ["--store", store_address(deployment.plan), "--author", "bench"]
        apply = [*command, "apply", str(EXAMPLE)]
        subprocess.run(apply, check=True, capture_output=True)
        self._wait(lambda: self._are_serving(deployment.vms))
        time.sleep(SETTLE_S)

    def step(self, action, vms) -> dict:
        """Run `action` under load; wait until `vms` serve, then 5 s more."""
        plan = self._deployment.plan
        callers = Callers(
            self._deployment.vms,
            reading_service=plan.services[0],
            writing_services=plan.services[1:],
            thread_count=4,
            seed=self._seed,
        )
        callers.allows_failures = True
        callers.start()
        with StoreCallSampler(self._store_calls) as sampler:
            time.sleep(2.0)
            started_at = time.monotonic()
            action()
            self._wait(lambda: self._are_serving(vms))
            serving_after_s = time.monotonic() - started_at
            time.sleep(5.0)
            callers.stop()
        log = callers.log
        return {
            "time_to_serve_s": round(serving_after_s, 2),
            "is_served": self._are_serving(vms),
            "calls": log.calls,
            "calls_lost": len(log.not_run_ids) + len(log.unknown_ids),
            "calls_not_run": len(log.not_run_ids),
            "calls_unknown": len(log.unknown_ids),
            "wrong_answers": log.wrong_answers,
            "store_calls_peak_s": sampler.peak_calls_per_s(),
        }

    def kill_third(self) -> dict:
        """Kill a third of the nodes; the others must keep serving."""
        vms = list(self._deployment.vms)
        self._killed = self._random.sample(vms, len(vms) // 3)
        other_vms = [vm for vm in vms if vm not in self._killed]
        return self.step(lambda: self._kill(self._killed), other_vms)

    def return_third(self) -> dict:
        """Restart the killed nodes."""
        return self.step(lambda: self._start(self._killed), self._deployment.vms)

    def restart_all(self) -> dict:
        """Kill and restart all nodes."""

        def restart():
            self._kill(self._deployment.vms)
            self._start(self._deployment.vms)

        return self.step(restart, self._deployment.vms)

    def _kill(self, vms) -> None:
        for vm in vms:
            self._deployment.signal(f"node:{vm.node_id}", signal.SIGKILL)
        for vm in vms:
            self._deployment.wait(f"node:{vm.node_id}")

    def _start(self, vms) -> None:
        for vm in vms:
            self._deployment.start_node(vm)

    def _are_serving(self, vms) -> bool:
        return all(self._is_serving(vm) for vm in vms)

    def _is_serving(self, vm) -> bool:
        try:
            url = f"http://{vm.admin_address}/status"
            return self._http.request("GET", url).json()["state"] == "serving"
        except HTTPError:
            return False

    def _store_calls(self) -> int:
        """Return the number of store calls; -1 while the store does not respond."""
        url = f"http://{store_address(self._deployment.plan)}/standin/counters"
        try:
            counters = self._http.request("GET", url).json()
        except HTTPError:
            return -1
        kinds = ("get", "put", "delete", "list", "watch")
        return sum(counters[kind] for kind in kinds)

    def _wait(self, condition) -> None:
        started_at = time.monotonic()
        while not condition() and time.monotonic() - started_at < TIMEOUT_S:
            time.sleep(0.1)


def run_nodes(seed: int) -> dict[str, dict]:
    """Return the results of the steps on node daemons."""
    plan = replace(
        ANDINA, upstreams_per_service=6, first_network=64, log_level="WARNING"
    )
    with run_deployment(plan) as deployment:
        recovery = DaemonRecovery(deployment, seed)
        recovery.prepare()
        steps = {"kill_third": recovery.kill_third()}
        time.sleep(SETTLE_S)
        steps["return_third"] = recovery.return_third()
        time.sleep(SETTLE_S)
        steps["restart_all"] = recovery.restart_all()
    return steps
