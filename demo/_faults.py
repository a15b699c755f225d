"""Scenario with failures of the system's own processes and of the store."""

import json
import signal
import time

from demo._callers import Callers
from demo._scenario import Scenario
from standins.processes import Deployment, Place, store_address

# Design limit for a change to be in force everywhere, also around a failed relay.
CHANGE_LIMIT_S = 14
RETURN_TIMEOUT_S = 30.0
OUTAGE_S = 6.0
PAUSE_S = 8.0
EXIT_CODE_STORE_DOWN = 7


class FaultScenario(Scenario):
    """Pauses and kills relays, stops the store, and restarts all nodes at once.

    Versions seen at each node are checked after each step: none may go back.
    """

    def _change_under_load(self, deployment: Deployment, callers: Callers) -> None:
        callers.expects_cuts = True
        self._versions_by_id: dict[str, int] = {}
        self._change_with_paused_region_relay(deployment)
        self._change_with_killed_relay(deployment)
        self._restart_while_the_store_is_down(deployment)
        self._restart_everything(deployment)
        self._check_status()

    def _change_with_paused_region_relay(self, deployment: Deployment) -> None:
        relay = self._find(deployment, "is_region_relay")
        self._say(f"pausing the region relay {relay.node_id}")
        name = f"node:{relay.node_id}"
        deployment.signal(name, signal.SIGSTOP)
        self._ctl("preset", "switch", "peak")
        time.sleep(PAUSE_S)
        deployment.signal(name, signal.SIGCONT)
        self._wait_for_version(deployment, 2)

    def _change_with_killed_relay(self, deployment: Deployment) -> None:
        relay = self._find(deployment, "is_data_centre_relay")
        self._say(f"killing the relay {relay.node_id}")
        self._kill(deployment, relay)
        self._ctl("preset", "switch", "ordinary", "--wait", str(CHANGE_LIMIT_S))
        deployment.start_node(relay)
        self._wait_for_version(deployment, 3)

    def _restart_while_the_store_is_down(self, deployment: Deployment) -> None:
        self._say("stopping the store")
        self._set_outage(True)
        refused = self._run_ctl("preset", "switch", "peak")
        self._check(
            refused.returncode == EXIT_CODE_STORE_DOWN,
            f"a change during the outage exited with {refused.returncode}",
        )
        place = deployment.places[-1]
        self._kill(deployment, place)
        deployment.start_node(place)
        self._wait_for_version(deployment, 3)
        time.sleep(OUTAGE_S)
        self._set_outage(False)
        self._ctl("preset", "switch", "peak", "--wait", str(CHANGE_LIMIT_S))
        self._wait_for_version(deployment, 4)

    def _restart_everything(self, deployment: Deployment) -> None:
        self._say("killing all nodes at once")
        for place in deployment.places:
            deployment.signal(f"node:{place.node_id}", signal.SIGKILL)
        for place in deployment.places:
            deployment.wait(f"node:{place.node_id}")
            deployment.start_node(place)
        started_at = time.monotonic()
        self._wait_for_version(deployment, 4)
        self._say(f"all nodes serve again after {time.monotonic() - started_at:.1f} s")

    def _find(self, deployment: Deployment, role: str) -> Place:
        holders = [place for place in deployment.places if self.status_of(place)[role]]
        self._check(bool(holders), f"no node {role.replace('_', ' ')}")
        # The last one stands in another region than the store.
        return holders[-1]

    def _kill(self, deployment: Deployment, place: Place) -> None:
        deployment.signal(f"node:{place.node_id}", signal.SIGKILL)
        deployment.wait(f"node:{place.node_id}")

    def _set_outage(self, is_down: bool) -> None:
        url = f"http://{store_address(self._plan)}/standin/faults"
        self._http.request("POST", url, body=json.dumps({"outage": is_down}))

    def _wait_for_version(self, deployment: Deployment, version: int) -> None:
        for place in deployment.places:
            self._wait_until(
                lambda place=place: (
                    self._is_serving(place) and self._version_of(place) >= version
                ),
                RETURN_TIMEOUT_S,
                f"{place.node_id} does not serve version {version}",
            )
            served = self._version_of(place)
            known = self._versions_by_id.get(place.node_id, 0)
            self._check(served >= known, f"{place.node_id} went back to {served}")
            self._versions_by_id[place.node_id] = served
