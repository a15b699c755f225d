"""Scenario with failures of nodes, relays and the store."""

import json
import signal
import time

from demo._callers import Callers
from demo._scenario import Scenario
from standins.processes import Deployment, VirtualMachine, store_address

# Design limit for a change to be in force everywhere, even if a relay has failed.
IN_FORCE_TIMEOUT_S = 14
RESTART_TIMEOUT_S = 30.0
OUTAGE_S = 6.0
PAUSE_S = 8.0
EXIT_CODE_STORE_DOWN = 7


class FaultScenario(Scenario):
    """Pauses and kills relays, stops the store, and restarts all nodes at once.

    Checks after each step that no node went back to an earlier version.
    """

    def _change_under_load(self, deployment: Deployment, callers: Callers) -> None:
        callers.allows_failures = True
        self._versions_by_id: dict[str, int] = {}
        self._change_with_region_relay_paused(deployment)
        self._change_with_relay_killed(deployment)
        self._restart_while_the_store_is_down(deployment)
        self._restart_all_nodes(deployment)
        self._check_status()

    def _change_with_region_relay_paused(self, deployment: Deployment) -> None:
        relay = self._find_relay(deployment, "is_region_relay")
        self._print_line(f"pausing the region relay {relay.node_id}")
        name = f"node:{relay.node_id}"
        deployment.signal(name, signal.SIGSTOP)
        self._ctl("preset", "switch", "peak")
        time.sleep(PAUSE_S)
        deployment.signal(name, signal.SIGCONT)
        self._wait_for_version(deployment, 2)

    def _change_with_relay_killed(self, deployment: Deployment) -> None:
        relay = self._find_relay(deployment, "is_data_centre_relay")
        self._print_line(f"killing the relay {relay.node_id}")
        self._kill(deployment, relay)
        self._ctl("preset", "switch", "ordinary", "--wait", str(IN_FORCE_TIMEOUT_S))
        deployment.start_node(relay)
        self._wait_for_version(deployment, 3)

    def _restart_while_the_store_is_down(self, deployment: Deployment) -> None:
        self._print_line("stopping the store")
        self._set_outage(True)
        refused = self._run_ctl("preset", "switch", "peak")
        self._check(
            refused.returncode == EXIT_CODE_STORE_DOWN,
            f"a change during the outage exited with {refused.returncode}",
        )
        vm = deployment.vms[-1]
        self._kill(deployment, vm)
        deployment.start_node(vm)
        self._wait_for_version(deployment, 3)
        time.sleep(OUTAGE_S)
        self._set_outage(False)
        self._ctl("preset", "switch", "peak", "--wait", str(IN_FORCE_TIMEOUT_S))
        self._wait_for_version(deployment, 4)

    def _restart_all_nodes(self, deployment: Deployment) -> None:
        self._print_line("killing all nodes at once")
        for vm in deployment.vms:
            deployment.signal(f"node:{vm.node_id}", signal.SIGKILL)
        for vm in deployment.vms:
            deployment.wait(f"node:{vm.node_id}")
            deployment.start_node(vm)
        started_at = time.monotonic()
        self._wait_for_version(deployment, 4)
        self._print_line(
            f"all nodes serve again after {time.monotonic() - started_at:.1f} s"
        )

    def _find_relay(self, deployment: Deployment, role: str) -> VirtualMachine:
        relays = [vm for vm in deployment.vms if self.status_of(vm)[role]]
        self._check(bool(relays), f"no node {role.replace('_', ' ')}")
        # The last one is in another region than the store.
        return relays[-1]

    def _kill(self, deployment: Deployment, vm: VirtualMachine) -> None:
        deployment.signal(f"node:{vm.node_id}", signal.SIGKILL)
        deployment.wait(f"node:{vm.node_id}")

    def _set_outage(self, is_down: bool) -> None:
        url = f"http://{store_address(self._plan)}/standin/faults"
        self._http.request("POST", url, body=json.dumps({"outage": is_down}))

    def _wait_for_version(self, deployment: Deployment, version: int) -> None:
        for vm in deployment.vms:
            self._wait_until(
                lambda vm=vm: self._is_serving(vm) and self._version_of(vm) >= version,
                RESTART_TIMEOUT_S,
                f"{vm.node_id} does not serve version {version}",
            )
            served = self._version_of(vm)
            previous = self._versions_by_id.get(vm.node_id, 0)
            self._check(served >= previous, f"{vm.node_id} went back to {served}")
            self._versions_by_id[vm.node_id] = served
