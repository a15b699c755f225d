"""End-to-end tests of workspaces and their keys on the stand-in platform."""

import eventlet
from eventlet.green import socket
from loguru import logger
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service

KEY = "k-secret"
OTHER_KEY = "k-other-secret"
# Longer than the check of a call, shorter than any timeout.
PROMPT_S = 1.0


def workspace(name: str, *keys: str, **spec) -> dict:
    """Return a workspace resource of the platform's configuration."""
    spec = {"api_keys": list(keys), **spec}
    return {"resource_type": "tenants", "metadata": {"name": name}, "spec": spec}


def bearer(key: str) -> dict[str, str]:
    """Return the header with a key."""
    return {"Authorization": f"Bearer {key}"}


class MeshWorkspacesTest(TestCase):
    """Two nodes with one workspace."""

    def setUp(self):
        super().setUp()
        self.logged = []
        sink = logger.add(self.logged.append, level="DEBUG", serialize=True)
        self.addCleanup(logger.remove, sink)
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.configure(workspace("w", KEY))
        self.a = self.cluster.add_node("archive")
        self.b = self.cluster.add_node("booking", data_centre="dc2")
        self.cluster.wait_ready()

    def configure(self, *workspaces) -> int:
        return self.cluster.configure(
            route("r-a", "/archive/", service="archive", allow_anonymous=False),
            route("r-b", "/booking/", service="booking", kind="unsafe"),
            route("r-o", "/open/", service="booking", allow_anonymous=True),
            service("archive"),
            service("booking"),
            *workspaces,
        )

    def connect(self, node):
        host, _, port = node.call_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), 5)
        self.addCleanup(sock.close)
        return sock

    def headers_at_upstream(self, node, path: str, **headers) -> dict[str, str]:
        """Return the headers with which a call reached an upstream."""
        answer = self.cluster.call(node, path, Attempt_Id="q", **headers)
        self.assertEqual(200, answer.status)
        for runner in (self.a, self.b):
            if "q" in runner.upstream.headers_by_request:
                return runner.upstream.headers_by_request.pop("q")
        return {}

    @property
    def runs(self) -> int:
        return sum(sum(n.upstream.runs_by_request.values()) for n in self.cluster.nodes)

    def test_upstream_gets_the_workspace_and_no_key(self):
        """Guards against a forged workspace, and a key that leaves the border."""
        for path in ("/archive/1", "/booking/1", "/open/1"):
            for node in (self.a, self.b):
                sent = self.headers_at_upstream(
                    node, path, **bearer(KEY), Tenant_Id="forged"
                )
                self.assertEqual("w", sent["HTTP_TENANT_ID"])
                self.assertNotIn("HTTP_AUTHORIZATION", sent)
        sent = self.headers_at_upstream(self.a, "/open/1", Tenant_Id="forged")
        self.assertNotIn("HTTP_TENANT_ID", sent)
        self.assertNotIn(KEY, "".join(self.logged))

    def test_calls_without_a_known_key_do_not_run(self):
        """A key that no configuration holds, and none, are answered 401."""
        for headers in (bearer(OTHER_KEY), {}, {"Authorization": KEY}):
            for path in ("/archive/1", "/booking/1"):
                answer = self.cluster.call(self.a, path, **headers)
                self.assertEqual(401, answer.status)
                self.assertEqual("Bearer", answer.headers["WWW-Authenticate"])
        self.assertEqual(0, self.runs)
        self.assertEqual(404, self.cluster.call(self.a, "/x/").status)
        self.assertNotIn(OTHER_KEY, "".join(self.logged))

    def test_unknown_key_is_refused_before_the_body_is_read(self):
        """The body that follows must not be taken for the next request."""
        sock = self.connect(self.a)
        head = (
            b"POST /booking/1 HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: q1\r\n"
            b"Authorization: Bearer x\r\n"
        )
        body = b"GET /open/1 HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: q3\r\n\r\n"
        for framing, sent in (
            (b"Content-Length: %d\r\n\r\n" % len(body), body),
            (
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
            ),
        ):
            sock.sendall(head + framing)
            with eventlet.Timeout(PROMPT_S):
                self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 401 "))
            sock.sendall(sent)
        sock.sendall(body.replace(b"q3", b"q4"))
        with eventlet.Timeout(PROMPT_S):
            self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))
        self.assertEqual({"q4": 1}, dict(self.b.upstream.runs_by_request))

    def test_refused_caller_that_waits_to_send_its_body_sends_none(self):
        """Guards against a request that is read where the body was expected."""
        sock = self.connect(self.a)
        sock.sendall(
            b"POST /booking/1 HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: q1\r\n"
            b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n"
        )
        received = b""
        with eventlet.Timeout(PROMPT_S * 2):
            while data := sock.recv(65536):
                received += data
        self.assertTrue(received.startswith(b"HTTP/1.1 401 "), received)
        self.assertIn(b"\r\nConnection: close\r\n", received)
        self.assertEqual(1, received.count(b"HTTP/1.1"))

    def test_keys_come_and_go_on_an_open_connection(self):
        """Guards against a key that is looked up once for each connection."""
        sock = self.connect(self.b)

        def status_of(key: str) -> int:
            sock.sendall(
                b"GET /archive/1 HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: q\r\n"
                b"Authorization: Bearer %s\r\n\r\n" % key.encode()
            )
            return int(sock.recv(65536).split(b" ")[1])

        self.assertEqual([200, 401], [status_of(KEY), status_of(OTHER_KEY)])
        self.configure(workspace("w", OTHER_KEY))
        wait_until(lambda: status_of(OTHER_KEY) == 200, 2)
        self.assertEqual(401, status_of(KEY))
        self.configure(workspace("w"), workspace("v", KEY))
        wait_until(lambda: status_of(KEY) == 200, 2)
        self.assertEqual(401, status_of(OTHER_KEY))

    def test_removed_key_is_refused_after_a_restart_without_the_store(self):
        """A node that starts gets the configuration in force from another node."""
        version = self.configure(workspace("w", OTHER_KEY))
        nodes = [node.server.node for node in (self.a, self.b)]
        wait_until(
            lambda: all(n.entry.configuration.version == version for n in nodes), 2
        )
        self.cluster.store.faults.status = 503
        self.cluster.restart_node(self.b)
        self.assertIn(self.status(self.b, KEY), (401, 503))
        wait_until(lambda: self.status(self.b, OTHER_KEY) == 200, 5)
        self.assertEqual(401, self.status(self.b, KEY))

    def test_key_removed_in_an_outage_is_refused_once_the_store_answers(self):
        """A node that nobody can tell of a version serves the one it has."""
        self.cluster.store.faults.status = 503
        self.configure(workspace("w", OTHER_KEY))
        for _ in range(5):
            self.assertEqual(
                [200, 401], [self.status(self.a, KEY), self.status(self.a, OTHER_KEY)]
            )
            eventlet.sleep(0.1)
        self.cluster.store.faults.status = 0
        wait_until(lambda: self.status(self.a, OTHER_KEY) == 200, 3)
        self.assertEqual(401, self.status(self.a, KEY))

    def status(self, node, key: str) -> int:
        return self.cluster.call(node, "/archive/1", **bearer(key)).status

    def test_node_without_a_configuration_refuses_no_key(self):
        """401 would tell callers not to come again."""
        self.cluster.store.faults.status = 503
        for node in (self.a, self.b):
            node.server.kill()
        self.cluster.restart_node(self.a)
        for method, body in (("GET", None), ("POST", b"x")):
            for key in (KEY, OTHER_KEY):
                answer = self.cluster.call(
                    self.a, "/archive/1", method=method, body=body, **bearer(key)
                )
                self.assertEqual(503, answer.status)

    def test_step_of_a_running_call_goes_before_waiting_calls(self):
        """The run of the call that waits for the step would be wasted."""
        for node in (self.a, self.b):
            node.upstream.service_time_s = 0.4
        ended = []

        def call(name: str, node, path: str, **headers) -> None:
            self.assertEqual(200, self.cluster.call(node, path, **headers).status)
            ended.append(name)

        running = self.b.upstream.slots
        calls = [
            eventlet.spawn(call, "new", self.b, f"/booking/{index}", **bearer(KEY))
            for index in range(2 * running)
        ]
        calls.append(eventlet.spawn(call, "run", self.a, "/archive/1", **bearer(KEY)))
        wait_until(lambda: self.a.upstream.running == 1, 2)
        wait_until(lambda: self.b.upstream.running == running, 2)
        calls.append(eventlet.spawn(call, "step", self.a, "/open/1"))
        for thread in calls:
            thread.wait()
        self.assertEqual("new", ended[-1])
        page = self.cluster.get(self.a.server.settings.metrics_address, "/metrics")
        self.assertIn("verbenawick_mesh_step_calls_total 1.0", page)

    def test_without_workspaces_calls_are_forwarded_as_before(self):
        """The header with a key then belongs to the upstream."""
        version = self.configure()
        node = self.a.server.node
        wait_until(lambda: node.entry.configuration.version == version, 2)
        sent = self.headers_at_upstream(
            self.a, "/archive/1", **bearer(KEY), Tenant_Id="caller's"
        )
        self.assertEqual("caller's", sent["HTTP_TENANT_ID"])
        self.assertEqual(f"Bearer {KEY}", sent["HTTP_AUTHORIZATION"])
