"""The whole path on the stand-in platform: store, nodes, upstreams, callers."""

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_world import RECORD_KIND, MeshWorld, route, service


class MeshWorldTest(TestCase):
    """Two services of two upstreams each."""

    def setUp(self):
        super().setUp()
        self.world = MeshWorld()
        self.addCleanup(self.world.close)
        self.configure()
        self.a1 = self.world.add_node("archive")
        self.a2 = self.world.add_node("archive", data_centre="dc2")
        self.b1 = self.world.add_node("booking")
        self.world.wait_ready()

    def configure(self, *further, **changes):
        return self.world.configure(
            route("r-a", "/archive/", service="archive", **changes),
            route("r-b", "/booking/", service="booking", kind="unsafe"),
            service("archive"),
            service("booking"),
            *further,
        )

    def test_requests_reach_an_upstream_of_their_service_unchanged(self):
        """A request that is changed or misrouted on the way is a fault."""
        answer = self.world.call(self.b1, "/archive/ducts/7?x=1", Attempt_Id="q1")
        self.assertEqual(200, answer.status)
        self.assertEqual("seal-q1", answer.headers["Response-Seal"])
        self.assertEqual(b"GET /archive/ducts/7 ", answer.body)
        runner = next(n for n in (self.a1, self.a2) if n.upstream.runs_by_request["q1"])
        headers = runner.upstream.headers_by_request["q1"]
        self.assertEqual("booking", headers["HTTP_CALLER_SERVICE"])
        self.assertEqual(runner.upstream.upstream_id, headers["HTTP_TARGET_INSTANCE"])
        self.assertLessEqual(int(headers["HTTP_DEADLINE_REMAINING"]), 2000)

    def test_unknown_paths_are_not_found_and_change_with_the_configuration(self):
        """A route that was added is served, one that was dropped is not."""
        self.assertEqual(404, self.world.call(self.a1, "/new/1").status)
        self.configure(route("r-n", "/new/", service="booking"))
        wait_until(lambda: self.world.call(self.a1, "/new/1").status == 200, 2)
        self.configure()
        wait_until(lambda: self.world.call(self.a1, "/new/1").status == 404, 2)

    def test_draining_upstream_gets_nothing_after_its_ack(self):
        """Work that reaches an upstream after the ack would be cut off."""
        self.b1.is_reporting = False
        status = self.b1.upstream.report(
            self.b1.control_address, self.b1.upstream_address, state="draining"
        )
        self.assertEqual(200, status)
        answer = self.world.call(self.a1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(0, sum(self.b1.upstream.runs_by_request.values()))

    def test_a_leaving_upstream_disappears_from_the_store(self):
        """A record that stays would send calls to nobody."""
        self.assertIsNotNone(self.world.store.get(RECORD_KIND, self.b1.node_id))
        self.b1.is_reporting = False
        self.b1.upstream.leave(self.b1.control_address)
        wait_until(
            lambda: self.world.store.get(RECORD_KIND, self.b1.node_id) is None, 3
        )

    def test_garbage_in_the_store_hides_no_upstream(self):
        """One unreadable record stopped a watch for good in the trial."""
        self.world.store.put(RECORD_KIND, "alien", {"service": 7})
        self.world.store.put(RECORD_KIND, "alien-2", None)
        node = self.world.add_node("booking")
        self.world.wait_ready()
        self.assertEqual(200, self.world.call(node, "/archive/1").status)

    def test_a_restarted_node_serves_its_upstream_again(self):
        """A restarted node knows nothing until it has asked the store."""
        self.world.restart_node(self.b1)
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        self.world.wait_ready()
        answer = self.world.call(self.a1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(200, answer.status)

    def test_idempotent_request_moves_on_from_a_lost_upstream(self):
        """A read must not fail because one of two upstreams crashed."""
        self.world.stop_upstream(self.a1)
        statuses = {self.world.call(self.a1, "/archive/1").status for _ in range(5)}
        self.assertEqual({200}, statuses)

    def test_store_outage_stops_no_call(self):
        """The store is needed for changes only."""
        self.world.store.faults.status = 503
        eventlet.sleep(0.3)
        self.assertEqual(200, self.world.call(self.b1, "/archive/1").status)

    def test_history_that_is_gone_is_read_again(self):
        """A watch that is answered 410 must not lose later changes."""
        self.world.store.forget_history()
        self.configure(route("r-n", "/new/", service="booking"))
        wait_until(lambda: self.world.call(self.a1, "/new/1").status == 200, 4)
