"""Releases on running nodes with a stand-in store."""

from unittest import mock

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from verbenawick.errors import StoreUnavailableError
from verbenawick.mesh._settings import ReleaseSettings
from verbenawick.releases._model import ReleaseState


class ReleaseTaskTest(TestCase):
    """Two upstreams of one version and two of the next, in two regions."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster(releases=ReleaseSettings(max_exposure=0.1))
        self.addCleanup(self.cluster.close)
        self.cluster.configure(service("desk"), route("r", "/a/", service="desk"))
        for version in ("v1", "v2"):
            for region in ("north", "south"):
                node = self.cluster.add_node("desk", region=region, data_centre=region)
                node.upstream.version = version
        self.cluster.wait_ready()

    def order(self, duration_s: float) -> None:
        spec = {"service": "desk", "target_version": "v2", "duration_s": duration_s}
        self.cluster.store.put("rollouts", "desk", spec)

    def status(self) -> dict:
        return self.cluster.store.get("rollouts", "desk")["status"] or {}

    def call_until(self, state: str, timeout_s: float) -> list[int]:
        """Call all nodes until the order has a state; return the statuses."""
        statuses = []
        with eventlet.Timeout(timeout_s):
            while self.status().get("state") != state:
                for node in self.cluster.nodes:
                    statuses.append(self.cluster.call(node, "/a/x").status)
                eventlet.sleep(0.02)
        return statuses

    def runs(self, version: str) -> int:
        return sum(
            node.upstream.runs_by_request.total()
            for node in self.cluster.nodes
            if node.upstream.version == version
        )

    def test_sound_version_is_brought_in(self):
        """Callers notice nothing, and afterwards only the version is called."""
        self.order(8.0)
        self.assertEqual({200}, set(self.call_until("completed", 12)))
        self.assertEqual(1.0, self.status()["share"])
        self.assertLess(0, self.status()["ordered_at"])
        before = self.runs("v1")
        for node in self.cluster.nodes * 3:
            self.assertEqual(200, self.cluster.call(node, "/a/x").status)
        self.assertEqual(before, self.runs("v1"))

    def test_failing_version_is_rolled_back(self):
        """Callers get few of its failures, and none after the end."""
        for node in self.cluster.nodes:
            if node.upstream.version == "v2":
                node.upstream.status = 500
        self.order(20.0)
        wait_until(lambda: self.status().get("share", 0) > 0, 6)
        self.call_until("rolled_back", 12)
        self.assertIn("worse", self.status()["reason"])
        before = self.runs("v2")
        for node in self.cluster.nodes * 3:
            self.assertEqual(200, self.cluster.call(node, "/a/x").status)
        self.assertEqual(before, self.runs("v2"))

    def test_roll_back_that_its_leader_cannot_store_binds_the_next_one(self):
        """Guards against a bad version that the next leader brings in (review/12)."""
        targets = [n for n in self.cluster.nodes if n.upstream.version == "v2"]
        self.order(8.0)
        wait_until(lambda: self.status().get("share", 0) > 0, 6)
        leader = next(
            node for node in self.cluster.nodes if node.server.node._beacons.is_relay()
        )
        store = leader.server.node._release_task._write_store
        error = StoreUnavailableError("cut off")
        with mock.patch.object(store, "write_order_status", side_effect=error):
            for node in targets:
                node.upstream.status = 500
            with eventlet.Timeout(10):
                while not all(map(self.is_rolled_back, self.cluster.nodes)):
                    for node in self.cluster.nodes:
                        self.cluster.call(node, "/a/x")
                    eventlet.sleep(0.02)
            self.assertEqual("active", self.status()["state"])
            leader.is_reporting = False
            leader.server.kill()
        self.cluster.nodes.remove(leader)
        # Its next calls would not show that the version is bad.
        for node in targets:
            node.upstream.status = 200
        before = self.runs("v2")
        self.call_until("rolled_back", 8)
        self.assertEqual(before, self.runs("v2"))

    def is_rolled_back(self, node) -> bool:
        mesh = node.server.node
        view = mesh.entry._shares._by_service.get("desk")
        return view is not None and view.state is ReleaseState.ROLLED_BACK
