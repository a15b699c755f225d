"""Resource usage of idle node daemons by role, at the size of current deployments."""

import time
from argparse import ArgumentParser, Namespace
from dataclasses import replace
from statistics import fmean

import psutil

from bench.registry import register_benchmark
from demo._scenario import Scenario
from standins.processes import ANDINA, Deployment, free_network, run_deployment

SETTLE_S = 5.0
BYTES_PER_MB = 1_000_000


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench daemons``."""
    parser.add_argument("--upstreams-per-service", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30.0)


@register_benchmark("daemons", configure=configure)
def measure_daemons(options: Namespace) -> dict:
    """CPU, memory and control bytes of idle node daemons, by role."""
    plan = replace(
        ANDINA,
        first_network=free_network(len(ANDINA.regions)),
        upstreams_per_service=options.upstreams_per_service,
        log_level="WARNING",
    )
    scenario = Scenario(plan, seed=options.seed, print_line=lambda text: None)
    with run_deployment(plan) as deployment:
        deployment.start_all()
        scenario.apply_example(deployment)
        time.sleep(SETTLE_S)
        before = _read_usage(deployment, scenario)
        started_at = time.monotonic()
        time.sleep(options.seconds)
        elapsed_s = time.monotonic() - started_at
        after = _read_usage(deployment, scenario)
    rows_by_role: dict[str, list[dict]] = {}
    for node_id, usage in after.items():
        rates = {
            name: (usage[name] - before[node_id][name]) / elapsed_s
            for name in ("cpu_s", "control_bytes", "store_bytes")
        }
        rows_by_role.setdefault(usage["role"], []).append(
            {**rates, "rss": usage["rss"]}
        )
    return {
        "nodes": len(after),
        "seconds": round(elapsed_s, 1),
        "roles": {
            role: _mean_usage(rows) for role, rows in sorted(rows_by_role.items())
        },
    }


def _read_usage(deployment: Deployment, scenario: Scenario) -> dict[str, dict]:
    rows = {}
    for vm in deployment.vms:
        process = psutil.Process(deployment.process(f"node:{vm.node_id}").pid)
        times = process.cpu_times()
        status = scenario.status_of(vm)
        role = "subscriber"
        if status["is_data_centre_relay"]:
            role = "data centre relay"
        if status["is_region_relay"]:
            role = "region relay"
        rows[vm.node_id] = {
            "role": role,
            "cpu_s": times.user + times.system,
            "control_bytes": status["control_bytes"],
            "store_bytes": status["store_bytes"],
            "rss": process.memory_info().rss,
        }
    return rows


def _mean_usage(rows: list[dict]) -> dict[str, float]:
    return {
        "nodes": len(rows),
        "cpu_share": round(fmean(usage["cpu_s"] for usage in rows), 4),
        "rss_mb": round(fmean(usage["rss"] for usage in rows) / BYTES_PER_MB, 1),
        "control_bytes_s": round(fmean(usage["control_bytes"] for usage in rows)),
        "store_bytes_s": round(fmean(usage["store_bytes"] for usage in rows)),
    }
