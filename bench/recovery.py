"""Recovery from large failures: a third killed, a region cut off, all restarted.

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
CUT_S = 20.0
SAMPLE_S = 0.5
TIMEOUT_S = 90.0
PICKS_PER_NODE_S = 177.0
STEPS = ("start", "kill_third", "return_third", "cut_region", "restart_all")
EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "andina.json5"


class StoreRate:
    """Largest number of store calls within a second, sampled from the counters."""

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

    def peak_s(self) -> int:
        """Return the largest number of calls in any second."""
        peak, first = 0, 0
        for at, total in self._samples:
            while at - self._samples[first][0] > 1.0:
                first += 1
            peak = max(peak, total - self._samples[first][1])
        return peak


def configure(parser: ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("--no-nodes", action="store_true", help="skip the daemons")
    parser.add_argument("--centres", type=int, default=CENTRES)
    parser.add_argument("--nodes-per-centre", type=int, default=NODES_PER_CENTRE)
    parser.add_argument("--steps", nargs="+", choices=STEPS, default=STEPS)
    parser.add_argument(
        "--sample-s", type=float, default=SAMPLE_S, help="pause between two polls"
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
    """Return the worst figures of all steps."""
    return {
        f"{prefix}time_to_serve_s": max(s["time_to_serve_s"] for s in steps.values()),
        f"{prefix}calls_lost": sum(s["calls_lost"] for s in steps.values()),
        f"{prefix}store_calls_peak_s": max(
            s["store_calls_peak_s"] for s in steps.values()
        ),
    }


class MeshRecovery:
    """The steps on control tasks or on nodes of the plain way."""

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
        """Kill a third of all nodes; serve again when no table lists them."""
        killed = set(self._random.sample(self._ids, len(self._ids) // 3))
        self._expected -= killed
        return self._timed(lambda: self._command("stop", killed))

    def return_third(self) -> dict:
        """Start the killed nodes again."""
        missing = set(self._ids) - self._expected
        self._expected = set(self._ids)
        return self._timed(lambda: self._command("start", missing))

    def restart_all(self) -> dict:
        """Kill and start all nodes."""

        def restart():
            self._command("stop", set(self._ids))
            self._command("start", set(self._ids))

        return self._timed(restart)

    def cut_region(self) -> dict:
        """Cut a region off from the store, kill a node in it, and end the cut."""
        ids = [i for w in self._workers[-CENTRES_PER_REGION:] for i in w.node_ids]
        killed = {self._random.choice(ids)}
        self._set_cut(ids, True)
        self._command("stop", killed)
        self._expected -= killed
        inside = self._workers[-CENTRES_PER_REGION:]
        inside_s = self._wait(inside) if self._is_tree else None
        time.sleep(CUT_S)
        result = self._timed(lambda: self._set_cut(ids, False))
        result["inside_s"] = inside_s
        self._command("start", killed)
        self._expected |= killed
        self._wait(self._workers)
        return result

    def settle(self) -> None:
        """Wait until all tables are right and grace periods are over."""
        self._wait(self._workers)
        time.sleep(SETTLE_S)

    def start(self) -> dict:
        """Start all nodes for the first time."""
        return self._timed(lambda: self._command("start", set(self._ids)))

    def _timed(self, act) -> dict:
        lost_share_s = 0.0
        with StoreRate(lambda: total_calls(self._mesh)) as rate:
            act()
            started_at = last_at = time.monotonic()
            while True:
                wrong, running = self._wrong_share(self._workers)
                now = time.monotonic()
                lost_share_s += wrong * (now - last_at)
                last_at = now
                if not self._lagging:
                    break
                if now - started_at > TIMEOUT_S:
                    break
                time.sleep(self._sample_s)
        return {
            "time_to_serve_s": round(now - started_at, 2),
            "is_served": not self._lagging,
            "calls_lost": round(lost_share_s * running * PICKS_PER_NODE_S),
            "store_calls_peak_s": rate.peak_s(),
        }

    def _wrong_share(self, workers) -> tuple[float, int]:
        """Return the share of picks that meet a dead member, or an empty table."""
        answers = self._mesh.ask_all(workers, do="describe", members=True)
        nodes = [node for answer in answers for node in answer["nodes"]]
        self._lagging = [n for n in nodes if self._seen(n) != self._expected]
        wrong = 0.0
        for node in nodes:
            seen = self._seen(node)
            dead = len(seen - self._expected)
            wrong += dead / len(seen) if seen else 1.0
        return wrong / max(len(nodes), 1), len(nodes)

    def _seen(self, node: dict) -> set[str]:
        if self._is_tree:
            return {name.partition("/")[0] for name in node["members"]}
        return {name.removeprefix("baseline/") for name in node["members"]}

    def _wait(self, workers) -> float:
        started_at = time.monotonic()
        self._wrong_share(workers)
        while self._lagging and time.monotonic() - started_at < TIMEOUT_S:
            time.sleep(self._sample_s)
            self._wrong_share(workers)
        return round(time.monotonic() - started_at, 2)

    def _command(self, do: str, ids: set[str], **values) -> None:
        for worker in self._workers:
            chosen = [i for i in worker.node_ids if i in ids]
            if chosen:
                worker.ask(do=do, ids=chosen, **values)

    def _set_cut(self, ids: list[str], is_cut: bool) -> None:
        self._command("cut_store", set(ids), is_cut=is_cut)


def run_mesh(plan: MeshPlan, mode: str, options: Namespace) -> dict[str, dict]:
    """Return the figures of the steps on control tasks or on the plain way."""
    figures = {}
    with running_mesh(plan) as mesh:
        recovery = MeshRecovery(mesh, mode, options.seed, options.sample_s)
        for step in options.steps:
            figures[step] = getattr(recovery, step)()
            recovery.settle()
    return figures


def total_calls(mesh: Mesh) -> int:
    """Return the calls that the stand-in has counted."""
    counters = mesh.store_counters()
    return sum(counters[kind] for kind in ("get", "put", "delete", "list", "watch"))


# Node daemons


class NodesRecovery:
    """The steps on the node daemons of one deployment, under calls."""

    def __init__(self, deployment: Deployment, seed: int):
        self._deployment = deployment
        self._random = Random(seed)
        self._http = PoolManager(timeout=Timeout(2.0), retries=False)
        self._seed = seed

    def prepare(self) -> None:
        """Start everything and apply a document."""
        deployment = self._deployment
        deployment.start_all()
        self._wait(lambda: self._total_calls() >= 0)
        command = [sys.executable, "-W", "ignore", "-m", "verbenawick", "ctl"]
        command += ["--store", store_address(deployment.plan), "--author", "bench"]
        apply = [*command, "apply", str(EXAMPLE)]
        subprocess.run(apply, check=True, capture_output=True)
        self._wait(lambda: self._serving(deployment.vms))
        time.sleep(SETTLE_S)

    def step(self, act, places) -> dict:
        """Act under calls; wait until `places` serve and calls succeed."""
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
        with StoreRate(self._total_calls) as rate:
            time.sleep(2.0)
            started_at = time.monotonic()
            act()
            self._wait(lambda: self._serving(places))
            served_s = time.monotonic() - started_at
            time.sleep(5.0)
            callers.stop()
        log = callers.log
        return {
            "time_to_serve_s": round(served_s, 2),
            "is_served": self._serving(places),
            "calls": log.calls,
            "calls_lost": len(log.not_run_ids) + len(log.unknown_ids),
            "calls_not_run": len(log.not_run_ids),
            "calls_unknown": len(log.unknown_ids),
            "wrong_answers": log.wrong_answers,
            "store_calls_peak_s": rate.peak_s(),
        }

    def kill_third(self) -> dict:
        """Kill a third of the nodes; the others go on serving."""
        places = list(self._deployment.vms)
        self._killed = self._random.sample(places, len(places) // 3)
        rest = [p for p in places if p not in self._killed]
        return self.step(lambda: self._kill(self._killed), rest)

    def return_third(self) -> dict:
        """Start the killed nodes again."""
        return self.step(lambda: self._start(self._killed), self._deployment.vms)

    def restart_all(self) -> dict:
        """Kill and start all nodes."""

        def restart():
            self._kill(self._deployment.vms)
            self._start(self._deployment.vms)

        return self.step(restart, self._deployment.vms)

    def _kill(self, places) -> None:
        for place in places:
            self._deployment.signal(f"node:{place.node_id}", signal.SIGKILL)
        for place in places:
            self._deployment.wait(f"node:{place.node_id}")

    def _start(self, places) -> None:
        for place in places:
            self._deployment.start_node(place)

    def _serving(self, places) -> bool:
        return all(self._is_serving(place) for place in places)

    def _is_serving(self, place) -> bool:
        try:
            url = f"http://{place.admin_address}/status"
            return self._http.request("GET", url).json()["state"] == "serving"
        except HTTPError:
            return False

    def _total_calls(self) -> int:
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
    """Return the figures of the steps on node daemons."""
    plan = replace(
        ANDINA, upstreams_per_service=6, first_network=64, log_level="WARNING"
    )
    with run_deployment(plan) as deployment:
        recovery = NodesRecovery(deployment, seed)
        recovery.prepare()
        steps = {"kill_third": recovery.kill_third()}
        time.sleep(SETTLE_S)
        steps["return_third"] = recovery.return_third()
        time.sleep(SETTLE_S)
        steps["restart_all"] = recovery.restart_all()
    return steps
