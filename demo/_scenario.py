"""Scenario that the demonstration runs and checks on one deployment."""

import json
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from demo._callers import Callers
from standins.processes import (
    Deployment,
    DeploymentPlan,
    VirtualMachine,
    run_deployment,
    store_address,
)

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
READ_PATHS_BY_PLAN = {"andina": "/archivo/", "guild": "/status-desk/lots/"}
START_TIMEOUT_S = 20.0
# Target for a change to be in force everywhere at the size of the example deployments;
# it is the same at the design size.
IN_FORCE_TIMEOUT_S = 14
DRAIN_LIMIT_S = 5.0
POLL_S = 0.1
CALLER_THREADS = 4
LOG_LINES_SHOWN = 5
MUST_BE_ZERO = (
    "wrong_answers",
    "run_twice",
    "false_not_run",
    "cut_in_flight",
    "failed_when_planned",
)


class CheckFailedError(Exception):
    """A check of the demonstration failed."""


@dataclass
class Report:
    """Figures of one deployment."""

    processes: int = 0
    regions: int = 0
    calls: int = 0
    wrong_answers: int = 0
    run_twice: int = 0
    false_not_run: int = 0
    cut_in_flight: int = 0
    unknown: int = 0
    failed_when_planned: int = 0
    cross_region_bytes: int = 0
    in_force_everywhere: bool = False
    failures: list[str] = field(default_factory=list)


class Scenario:
    """Runs one deployment through configuration changes, drains and failures."""

    def __init__(
        self, plan: DeploymentPlan, *, seed: int, print_line: Callable[[str], None]
    ):
        self.report = Report(regions=len(plan.regions))
        self._plan = plan
        self._seed = seed
        self._print_line = lambda text: print_line(f"[{plan.name}] {text}")
        self._http = PoolManager(timeout=Timeout(3.0), retries=False)

    def run(self) -> Report:
        """Run all steps and return the report, with the failed checks."""
        with run_deployment(self._plan) as deployment:
            try:
                self._run_steps(deployment)
            except (CheckFailedError, HTTPError) as error:
                self.report.failures.append(str(error))
                self._print_line(f"failed: {error}")
                self._show_logs(deployment)
        return self.report

    def _show_logs(self, deployment: Deployment) -> None:
        for vm in deployment.vms:
            path = deployment.folder / f"node-{vm.node_id}.log"
            if path.exists():
                lines = path.read_text().splitlines()[-LOG_LINES_SHOWN:]
                self._print_line(
                    f"last log lines of {vm.node_id}:\n  " + "\n  ".join(lines)
                )

    def _run_steps(self, deployment: Deployment) -> None:
        deployment.start_all()
        self.apply_example(deployment)
        self.report.processes = deployment.process_count()
        callers = Callers(
            deployment.vms,
            read_path=READ_PATHS_BY_PLAN[self._plan.name],
            write_paths=tuple(f"/{name}/" for name in self._plan.services[1:]),
            thread_count=CALLER_THREADS,
            seed=self._seed,
        )
        callers.start()
        try:
            self._change_under_load(deployment, callers)
        finally:
            callers.stop()
        self._collect_report(deployment, callers)

    def _change_under_load(self, deployment: Deployment, callers: Callers) -> None:
        time.sleep(1.0)
        self._ctl("preset", "switch", "peak", "--wait", str(IN_FORCE_TIMEOUT_S))
        self._drain_upstream(deployment, deployment.vms[0])
        self._restart_gracefully(deployment, deployment.vms[1])
        self._kill_and_restart(deployment, callers, deployment.vms[-1])
        self._ctl("preset", "switch", "ordinary", "--wait", str(IN_FORCE_TIMEOUT_S))
        self._check_status()

    def _check_status(self) -> None:
        self._wait_until(
            lambda: self._run_ctl("status").returncode == 0,
            IN_FORCE_TIMEOUT_S,
            "not in force everywhere",
        )
        self._print_line("status:\n" + self._ctl("status"))
        self.report.in_force_everywhere = True

    def apply_example(self, deployment: Deployment) -> None:
        """Apply the example configuration and wait until all nodes serve it."""
        self._wait_for_store()
        document = EXAMPLES / f"{self._plan.name}.json5"
        self._ctl("apply", str(document))
        self._wait_until(
            lambda: all(self._is_serving(vm) for vm in deployment.vms),
            START_TIMEOUT_S,
            "not all nodes serve after the start",
        )
        self._ctl("status")
        self._print_line(f"{len(deployment.vms)} nodes serve version 1")

    def _drain_upstream(self, deployment: Deployment, vm: VirtualMachine) -> None:
        self._print_line(f"draining the upstream of {vm.node_id}")
        self._set_draining(vm, True)
        time.sleep(DRAIN_LIMIT_S)
        before = self._started_runs(vm)
        shed_before = self._counters(vm)["shed"]
        time.sleep(1.0)
        self._check(
            self._started_runs(vm) == before
            and self._counters(vm)["shed"] == shed_before,
            f"the draining upstream of {vm.node_id} still gets requests",
        )
        self._set_draining(vm, False)

    def _restart_gracefully(self, deployment: Deployment, vm: VirtualMachine) -> None:
        self._print_line(f"restarting {vm.node_id} gracefully")
        name = f"node:{vm.node_id}"
        deployment.signal(name, signal.SIGTERM)
        code = deployment.wait(name)
        self._check(code == 0, f"{vm.node_id} exited with {code}")
        deployment.start_node(vm)
        self._wait_until(
            lambda: self._is_serving(vm),
            START_TIMEOUT_S,
            f"{vm.node_id} does not serve after its restart",
        )

    def _kill_and_restart(
        self, deployment, callers: Callers, vm: VirtualMachine
    ) -> None:
        version = self._version_of(vm)
        self._print_line(f"killing {vm.node_id} at version {version}")
        callers.allows_failures = True
        deployment.signal(f"node:{vm.node_id}", signal.SIGKILL)
        deployment.wait(f"node:{vm.node_id}")
        time.sleep(1.0)
        deployment.start_node(vm)
        self._wait_until(
            lambda: self._is_serving(vm),
            START_TIMEOUT_S,
            f"{vm.node_id} does not serve after it was killed",
        )
        # Keys that the killed node owned are refused until the longest call has passed.
        restarted_version = self._version_of(vm)
        self._check(
            restarted_version >= version,
            f"{vm.node_id} went back to version {restarted_version}",
        )

    def _collect_report(self, deployment: Deployment, callers: Callers) -> None:
        log, report = callers.log, self.report
        runs_by_id: Counter[str] = Counter()
        for vm in deployment.vms:
            runs = self._get_json(f"http://{vm.upstream_address}/standin/runs")
            runs_by_id.update(name for name, state in runs if state == "started")
            metrics = self._get_json(f"http://{vm.admin_address}/metrics")
            report.cross_region_bytes += metrics.get("calls.cross_region_bytes", 0)
        report.calls = log.calls
        report.wrong_answers = log.wrong_answers
        report.cut_in_flight = log.cut_in_flight
        report.unknown = len(log.unknown_ids)
        report.failed_when_planned = log.failed_when_planned
        report.run_twice = sum(runs_by_id[name] > 1 for name in log.keyed_ids)
        report.false_not_run = sum(name in runs_by_id for name in log.not_run_ids)
        for name in MUST_BE_ZERO:
            if getattr(report, name):
                report.failures.append(f"{name} is {getattr(report, name)}")
        self._check(report.cross_region_bytes > 0, "no call crossed a region")
        self._print_line(
            f"incomplete responses by outcome and code: {dict(log.counts_by_code)}"
        )
        if report.failures:
            self._print_line("last failures:\n  " + "\n  ".join(log.recent_failures))
        if report.failed_when_planned or report.cut_in_flight:
            self._print_line(
                "failures of the planned phase:\n  " + "\n  ".join(log.planned_failures)
            )
            # Runs of all attempts, on the connection that was cut or another one.
            runs = {name: runs_by_id[name] for name in log.cut_ids}
            self._print_line(f"runs of the calls whose connection was cut: {runs}")

    def _run_ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "verbenawick", "ctl"]
        command += ["--store", store_address(self._plan), "--author", "demo"]
        return subprocess.run(command + list(arguments), capture_output=True, text=True)

    def _ctl(self, *arguments: str) -> str:
        """Run an operator command; return its standard output."""
        done = self._run_ctl(*arguments)
        self._check(
            done.returncode == 0 or arguments[0] == "status",
            f"ctl {' '.join(arguments)} exited with {done.returncode}: "
            f"{done.stdout}{done.stderr}",
        )
        return done.stdout

    def _wait_for_store(self) -> None:
        url = f"http://{store_address(self._plan)}/standin/counters"
        self._wait_until(
            lambda: self._is_reachable(url),
            START_TIMEOUT_S,
            "the store does not respond",
        )

    def _is_reachable(self, url: str) -> bool:
        try:
            return self._http.request("GET", url).status == 200
        except HTTPError:
            return False

    def _is_serving(self, vm: VirtualMachine) -> bool:
        try:
            return self.status_of(vm)["state"] == "serving"
        except HTTPError:
            return False

    def _version_of(self, vm: VirtualMachine) -> int:
        return self.status_of(vm)["version_in_force"]

    def status_of(self, vm: VirtualMachine) -> dict:
        """Return the status page of a node."""
        return self._get_json(f"http://{vm.admin_address}/status")

    def _counters(self, vm: VirtualMachine) -> dict:
        return self._get_json(f"http://{vm.upstream_address}/standin/counters")

    def _started_runs(self, vm: VirtualMachine) -> int:
        return self._counters(vm)["started"]

    def _set_draining(self, vm: VirtualMachine, is_draining: bool) -> None:
        url = f"http://{vm.upstream_address}/standin/faults"
        self._http.request("POST", url, body=json.dumps({"draining": is_draining}))

    def _get_json(self, url: str):
        return json.loads(self._http.request("GET", url).data)

    def _wait_until(self, condition, timeout_s: float, failure: str) -> None:
        deadline = time.monotonic() + timeout_s
        while not condition():
            self._check(time.monotonic() < deadline, failure)
            time.sleep(POLL_S)

    @staticmethod
    def _check(holds: bool, failure: str) -> None:
        if not holds:
            raise CheckFailedError(failure)
