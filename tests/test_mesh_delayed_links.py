"""Tests of calls on links between nodes that hold their data back."""

import eventlet
from testtools import TestCase

from standins.proxied_store import ProxiedStore
from tests.call_support import free_port, wait_until
from tests.mesh_cluster import MeshCluster, route, service
from tests.silent_proxy import SilentProxy

DELAY_S = 1.0
# One-way delay between two regions.
REGION_DELAY_S = 0.008


class DelayedLinkTest(TestCase):
    """An entry whose link to the only gateway of a service passes through a proxy."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster(store=ProxiedStore())
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-a", "/archive/", service="archive", kind="unsafe"),
            service("archive"),
            service("booking"),
        )
        address = f"127.0.0.1:{free_port()}"
        self.proxy = SilentProxy(address)
        self.addCleanup(self.proxy.close)
        self.cluster.store.proxy_by_address[address] = self.proxy.address
        self.gateway = self.cluster.add_node("archive", peer_address=address)
        self.entry = self.cluster.add_node("booking")
        self.cluster.wait_ready()
        links = self.entry.server.node.links
        wait_until(lambda: links.dialled_links())

    def test_first_call_of_a_link_does_not_run_after_its_caller_gave_up(self):
        """Guards against adding the delay of the first call to its deadline."""
        self.proxy.delay_s = DELAY_S
        answer = self.cluster.call(
            self.entry,
            "/archive/1",
            method="POST",
            Attempt_Id="late",
            Deadline_Remaining="500",
        )
        self.assertEqual(504, answer.status)
        # Beacons before the call are delayed one after the other.
        eventlet.sleep(3 * DELAY_S)
        self.assertEqual(0, self.gateway.upstream.runs_by_request["late"])

    def test_refusal_of_a_queued_call_reaches_the_entry_before_its_deadline(self):
        """Guards against 504 for calls that have not run and may be sent again."""
        self.gateway.upstream.slots = 1
        gateway = self.gateway.server.node.gateway
        wait_until(lambda: gateway.load("r-a").slots == 1)
        self.proxy.delay_s = REGION_DELAY_S
        # Measures the offset between the clocks of the two nodes.
        self.assertEqual(200, self.call("first", 1000))
        self.gateway.upstream.service_time_s = 1.5
        running = eventlet.spawn(self.call, "running", 2000)
        wait_until(lambda: gateway.load("r-a").running)
        waits_ms = [400, 450, 500, 550, 600]
        queued = [eventlet.spawn(self.call, f"w{ms}", ms) for ms in waits_ms]
        statuses = [thread.wait() for thread in queued]
        self.assertEqual([503] * len(waits_ms), statuses)
        self.assertEqual(200, running.wait())
        runs = self.gateway.upstream.runs_by_request
        self.assertEqual({"first": 1, "running": 1}, dict(runs))

    def call(self, request_id, deadline_ms):
        return self.cluster.call(
            self.entry,
            "/archive/1",
            method="POST",
            Attempt_Id=request_id,
            Deadline_Remaining=str(deadline_ms),
        ).status
