"""Tests of calls in progress while the settings of a node change."""

import eventlet
import msgspec
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service

SERVICE_TIME_S = 0.6


class ReloadTest(TestCase):
    """An entry, and the gateway of the only upstream of a service."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-b", "/booking/", service="booking", kind="unsafe"),
            service("archive"),
            service("booking"),
        )
        self.entry = self.cluster.add_node("archive")
        self.gateway = self.cluster.add_node("booking", service_time_s=SERVICE_TIME_S)
        self.cluster.wait_ready()

    def change_upstream(self, node, service_name):
        """Reload settings that name another upstream."""
        settings = node.server.settings
        upstream = msgspec.structs.replace(
            settings.upstream, service=service_name, address="127.0.0.1:9"
        )
        changed = msgspec.structs.replace(settings, upstream=upstream)
        node.server.node.reload(changed, cause="signal")

    def start_call(self, node):
        """Return a call to a node that the upstream has begun to run."""
        call = eventlet.spawn(
            self.cluster.call, node, "/booking/1", method="POST", body=b"x"
        )
        wait_until(lambda: self.gateway.upstream.running == 1)
        return call

    def test_call_is_answered_when_the_upstream_of_its_entry_changes(self):
        """Guards against calls that a reload cuts at their entry."""
        call = self.start_call(self.entry)
        self.change_upstream(self.entry, "dispatch")
        self.assertEqual(200, call.wait().status)

    def test_call_over_a_link_is_answered_when_its_upstream_changes(self):
        """Guards against calls that a reload cuts on their link or channel."""
        call = self.start_call(self.entry)
        self.change_upstream(self.gateway, "dispatch")
        self.assertEqual(200, call.wait().status)

    def test_call_is_answered_when_the_upstream_of_its_own_node_changes(self):
        """Guards against calls that a reload cuts where entry and gateway are one."""
        call = self.start_call(self.gateway)
        self.change_upstream(self.gateway, "dispatch")
        self.assertEqual(200, call.wait().status)
