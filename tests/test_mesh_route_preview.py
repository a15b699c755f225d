"""Previews of where a node would send a call, asked over its interface."""

import json
from urllib.parse import urlencode

import eventlet
from eventlet.green import socket
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from verbenawick.operators._cli_output import format_preview

KEY = "k-secret"


class RoutePreviewTest(TestCase):
    """Three nodes, whose configuration has one workspace."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        split = [
            {"service": "archive", "weight": 3},
            {"service": "booking", "weight": 1},
        ]
        self.cluster.configure(
            route("r-a", "/archive/", service="archive"),
            route("r-o", "/open/", service="booking", allow_anonymous=True),
            route("r-s", "/split/", weighted_split=split, allow_anonymous=True),
            route("r-n", "/none/", service="none", allow_anonymous=True),
            service("archive"),
            service("booking"),
            {
                "resource_type": "tenants",
                "metadata": {"name": "w"},
                "spec": {"api_keys": [KEY], "priority": 0},
            },
        )
        self.a1 = self.cluster.add_node("archive")
        self.a2 = self.cluster.add_node("archive", data_centre="dc2")
        self.b1 = self.cluster.add_node("booking")
        self.cluster.wait_ready()

    def preview(self, node, path: str, *, host="mesh.example", key="") -> dict:
        """Return the preview of a call, after formatting it as text."""
        address = node.server.settings.metrics_address
        sock = socket.create_connection(tuple(address.split(":")), 5)
        self.addCleanup(sock.close)
        query = urlencode({"host": host, "path": path})
        head = f"GET /route?{query} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
        if key:
            head += f"Authorization: Bearer {key}\r\n"
        sock.sendall(f"{head}\r\n".encode())
        received = b""
        while data := sock.recv(65_536):
            received += data
        self.assertNotIn(KEY, received.decode())
        preview = json.loads(received.partition(b"\r\n\r\n")[2])
        self.text = format_preview(preview)
        return preview

    def test_call_with_a_key_goes_to_the_cheapest_gateway(self):
        """The preview and the call itself must agree."""
        preview = self.preview(self.a1, "/archive/1", key=KEY)
        self.assertIsNone(preview["refusal"])
        self.assertEqual(1, preview["configuration"]["version"])
        self.assertEqual("r-a", preview["route"]["name"])
        self.assertEqual(("w", 0), tuple(preview["workspace"].values())[:2])
        first, second = preview["services"][0]["gateways"]
        self.assertEqual(
            (self.a1.node_id, ""), (first["node_id"], first["passed_over"])
        )
        self.assertEqual(self.a2.node_id, second["node_id"])
        self.assertEqual("it costs more", second["passed_over"])
        self.assertLess(first["cost"], second["cost"])
        for part in ("version 1", "route r-a", "workspace w", self.a2.node_id):
            self.assertIn(part, self.text)
        self.assertEqual(
            200,
            self.cluster.call(
                self.a1, "/archive/1", Authorization=f"Bearer {KEY}"
            ).status,
        )
        self.assertEqual(1, sum(self.a1.upstream.runs_by_request.values()))

    def test_split_shows_the_share_of_each_service(self):
        """A call may go to either of them."""
        services = self.preview(self.b1, "/split/")["services"]
        shares = {entry["service"]: entry["share"] for entry in services}
        self.assertEqual({"archive": 0.75, "booking": 0.25}, shares)

    def test_refusals_name_their_reason(self):
        """Guards against an answer that leaves the operator to guess."""
        for path, options, status, code, reason in (
            ("/archive/1", {"host": "x.example"}, 404, "call.no-route", "x.example"),
            ("/archive", {"key": KEY}, 404, "call.no-route", "'/archive'"),
            ("/archive/1", {}, 401, "call.unknown-key", "missing"),
            ("/archive/1", {"key": "k"}, 401, "call.unknown-key", "no workspace"),
            ("/open/1", {"key": "k"}, 401, "call.unknown-key", "no workspace"),
            ("/none/1", {}, 503, "call.no-endpoint", "none"),
        ):
            refusal = self.preview(self.a1, path, **options)["refusal"]
            self.assertEqual((status, code), (refusal["status"], refusal["code"]))
            self.assertIn(reason, refusal["reason"])
            self.assertIn(f"refused with {status}", self.text)

    def test_gateways_without_a_usable_upstream_are_passed_over(self):
        """Also while the store is out, which the node does not need for it."""
        self.cluster.store.faults.status = 503
        self.a1.state = "draining"
        endpoints = self.b1.server.node.endpoints
        wait_until(lambda: endpoints.get(self.a1.node_id).state == "draining", 3)
        gateways = self.preview(self.b1, "/archive/1", key=KEY)["services"][0][
            "gateways"
        ]
        reasons = {entry["node_id"]: entry["passed_over"] for entry in gateways}
        self.assertEqual("", reasons[self.a2.node_id])
        self.assertIn("draining", reasons[self.a1.node_id])

    def test_node_without_a_configuration_says_so(self):
        """A node that starts without the store has nothing to preview."""
        self.cluster.store.faults.status = 503
        for node in (self.a1, self.a2, self.b1):
            node.server.kill()
        self.cluster.restart_node(self.a1)
        eventlet.sleep(0)
        refusal = self.preview(self.a1, "/open/1")["refusal"]
        self.assertEqual((503, "call.not-ready"), (refusal["status"], refusal["code"]))
