"""Tests of node processes: start in any order, serving, and stop without errors."""

import json
import signal
import time
from dataclasses import replace

from testtools import TestCase
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from standins.processes import ANDINA, free_network, run_deployment, store_address
from verbenawick.configuration._acceptance import Acceptor
from verbenawick.configuration._document import parse_document
from verbenawick.store._store import StoreClient

PLAN = replace(
    ANDINA,
    regions=("andina",),
    services=("archivo",),
    data_centres_per_region=1,
    upstreams_per_service=2,
    first_network=free_network(),
    with_delays=False,
)
DOCUMENT = {
    "services_by_id": {"archivo": {"policy": "reads"}},
    "policies_by_id": {"reads": {}},
    "routes_by_id": {
        "reads": {"match": {"path_prefix": "/archivo"}, "service": "archivo"}
    },
    "presets_by_id": {"ordinary": {}, "peak": {}, "maintenance": {}},
    "preset_in_force": "ordinary",
}
START_TIMEOUT_S = 30.0
POLL_S = 0.05


class NodeProcessTest(TestCase):
    """Calls through nodes that run as processes on loopback addresses."""

    def setUp(self):
        super().setUp()
        self.http = PoolManager(timeout=Timeout(5.0), retries=False)

    def wait_until(self, condition):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "condition did not hold")
            time.sleep(POLL_S)

    def is_serving(self, vm):
        try:
            response = self.http.request("GET", f"http://{vm.admin_address}/status")
        except HTTPError:
            return False
        return json.loads(response.data)["state"] == "serving"

    def post(self, url, key):
        """Return the response body, or None if the request was not run."""
        headers = {"Idempotency-Key": key, "Attempt": "1"}
        response = self.http.request("POST", url, body=b"abc", headers=headers)
        if response.status == 200:
            return response.data
        # Until the claim coordinators are connected, keyed requests may be rejected.
        # The same attempt may be sent again only if it was not run.
        self.assertEqual("not-run", response.headers["Verbenawick-Outcome"])
        return None

    def is_store_up(self):
        try:
            self.http.request("GET", f"http://{store_address(PLAN)}/standin/counters")
        except HTTPError:
            return False
        return True

    def test_nodes_start_before_the_store_and_stop_cleanly(self):
        """Nodes wait for the store, serve, and exit with status 0 without a traceback.

        Guards against nodes that depend on the start order, and against code that
        fails with eventlet monkey patching, which other tests do not detect.
        """
        with run_deployment(PLAN) as deployment:
            for vm in deployment.vms:
                deployment.start_node(vm)
                deployment.start_upstream(vm)
            deployment.start_store()
            self.wait_until(self.is_store_up)
            client = StoreClient(store_address(PLAN))
            Acceptor(client, author="test").apply(
                parse_document(DOCUMENT), summary="first"
            )
            for vm in deployment.vms:
                self.wait_until(lambda vm=vm: self.is_serving(vm))
            for vm in deployment.vms:
                url = f"http://{vm.call_address}/archivo/x"
                self.wait_until(
                    lambda url=url: self.http.request("GET", url).status == 200
                )
                self.wait_until(
                    lambda url=url, key=vm.node_id: self.post(url, key) == b"abc"
                )
            for vm in deployment.vms:
                deployment.signal(f"node:{vm.node_id}", signal.SIGTERM)
            for vm in deployment.vms:
                self.assertEqual(0, deployment.wait(f"node:{vm.node_id}"))
                log = (deployment.folder / f"node-{vm.node_id}.log").read_text()
                self.assertNotIn("Traceback", log)
                self.assertNotIn(" ERROR ", log)

    def is_up(self, vm):
        try:
            self.http.request("GET", f"http://{vm.admin_address}/status")
        except HTTPError:
            return False
        return True

    def test_hangup_stops_a_node_cleanly(self):
        """Guards against calls that are cut off when a terminal is closed."""
        # The node would inherit that the test process ignores hangups, as with nohup.
        earlier = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, earlier)
        with run_deployment(PLAN) as deployment:
            vm = deployment.vms[0]
            deployment.start_node(vm)
            self.wait_until(lambda: self.is_up(vm))
            deployment.signal(f"node:{vm.node_id}", signal.SIGHUP)
            self.assertEqual(0, deployment.wait(f"node:{vm.node_id}"))

    def test_node_started_with_nohup_ignores_a_hangup(self):
        """Guards against nodes that end with the terminal that started them."""
        earlier = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.addCleanup(signal.signal, signal.SIGHUP, earlier)
        with run_deployment(PLAN) as deployment:
            vm = deployment.vms[0]
            deployment.start_node(vm)
            self.wait_until(lambda: self.is_up(vm))
            deployment.signal(f"node:{vm.node_id}", signal.SIGHUP)
            time.sleep(1)
            self.assertTrue(self.is_up(vm))
