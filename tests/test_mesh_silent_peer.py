"""Tests of calls at a gateway that answers no pings while its upstream works."""

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from verbenawick.links._call_links import SILENCE_TIMEOUT_S

SERVICE_TIME_S = SILENCE_TIMEOUT_S + 0.7


class SilentPeerTest(TestCase):
    """A service with two upstreams, one of them behind a silent gateway."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-a", "/archive/", service="archive"),
            route("r-b", "/booking/", service="booking", kind="unsafe"),
            service("archive"),
            service("booking"),
        )
        self.silent = self.cluster.add_node("archive")
        self.entry = self.cluster.add_node("booking")
        self.cluster.wait_ready()
        self.silent.upstream.service_time_s = SERVICE_TIME_S
        address = self.silent.server.settings.peer_address
        links = self.entry.server.node.links.dialled_links()
        link = next(link for link in links if link.peer.peer_address == address)
        link.ping = lambda: None

    def allow_retries(self, number):
        budget = self.entry.server.node.entry._budget
        budget._ratio, budget._slack = 0, 1000 * number

    def add_idle_gateway(self):
        node = self.cluster.add_node("archive")
        self.cluster.wait_ready()
        return node

    def call(self, results, path="/archive/1", **headers):
        answer = self.cluster.call(self.entry, path, **headers)
        results.append((answer.status, answer.body))

    def start_call(self, **headers):
        results = []
        thread = eventlet.spawn(self.call, results, Attempt_Id="q", **headers)
        self.addCleanup(thread.kill)
        wait_until(lambda: self.silent.upstream.runs_by_request["q"])
        return thread, results

    def wait_silent(self):
        address = self.silent.server.settings.peer_address
        wait_until(lambda: self.entry.server.node.links.is_silent(address))

    def test_call_is_not_broken_off_when_its_gateway_is_silent(self):
        """Guards against a 502 in place of the answer that the upstream works on."""
        self.allow_retries(0)
        thread, results = self.start_call()
        self.wait_silent()
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
        self.assertEqual(1, self.silent.upstream.completed_runs["q"])

    def test_call_is_not_broken_off_when_its_stopping_entry_finds_a_silence(self):
        """Guards against answers of its own from an entry that got SIGTERM."""
        self.allow_retries(0)
        thread, results = self.start_call()
        eventlet.spawn(self.entry.server.stop)
        self.wait_silent()
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
