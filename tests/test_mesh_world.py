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

    def test_record_of_a_lost_vm_is_removed_and_of_a_living_one_written_again(self):
        """Nothing in the store expires, and a guess from outside may be wrong."""
        self.world.stop_upstream(self.b1)
        self.b1.server.kill()
        self.a1.server.node._record_remover.remove(self.b1.node_id)
        self.assertIsNone(self.world.store.get(RECORD_KIND, self.b1.node_id))
        self.a1.server.node._record_remover.remove(self.a2.node_id)
        wait_until(
            lambda: self.world.store.get(RECORD_KIND, self.a2.node_id) is not None, 3
        )

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

    def test_metrics_are_served_as_text(self):
        """On-call engineers have only logs and metrics."""
        self.world.call(self.a1, "/archive/1")
        page = self.world.get(self.a1.server.settings.metrics_address, "/metrics")
        self.assertIn("verbenawick_mesh_calls_total 1.0", page)
        self.assertIn('verbenawick_call_seconds_count{outcome="complete"} 1.0', page)

    def test_planned_restart_cuts_no_call(self):
        """Callers and other nodes have calls under way when a node is told to stop."""
        self.b1.upstream.work_s = 0.3
        answers = []

        def call(node, path, method):
            answers.append(self.world.call(node, path, method=method).status)

        threads = [
            eventlet.spawn(call, node, "/booking/1", "POST")
            for node in (self.a1, self.b1)
            for _ in range(3)
        ]
        eventlet.sleep(0.1)
        self.b1.server.stop()
        for thread in threads:
            thread.wait()
        self.assertEqual([200] * 6, answers)

    def test_stopping_node_is_not_ready_and_asks_callers_to_leave(self):
        """Callers that stay on their channels would be cut at its end."""
        # Long enough for a call on a busy machine; the listener closes after it.
        self.b1.server.leaving_s = 2.0
        stopping = eventlet.spawn(self.b1.server.stop)
        wait_until(lambda: not self.b1.server.node.is_ready)
        self.assertFalse(self.b1.server.node.is_ready)
        answer = self.world.call(self.b1, "/archive/1")
        self.assertEqual((200, "close"), (answer.status, answer.headers["Connection"]))
        stopping.wait()

    def test_caller_that_leaves_frees_the_upstream(self):
        """An upstream that works for nobody has one slot less for the others."""
        self.a1.upstream.work_s = self.a2.upstream.work_s = 1.5
        thread = eventlet.spawn(
            self.world.call, self.a1, "/archive/1", Attempt_Id="left"
        )
        eventlet.sleep(0.2)
        gateways = [n.server.node.gateway for n in (self.a1, self.a2)]
        self.assertEqual(1, sum(g.in_flight for g in gateways))
        thread.kill()
        wait_until(lambda: not sum(g.in_flight for g in gateways), 0.5)

    def test_unsafe_request_at_its_upstream_outlives_its_caller(self):
        """A booking that has begun is wanted, whether or not its caller waits."""
        self.b1.upstream.work_s = 0.4
        for entry in (self.a1, self.b1):
            name = f"booked-{entry.node_id}"
            thread = eventlet.spawn(
                self.world.call, entry, "/booking/1", method="POST", Attempt_Id=name
            )
            eventlet.sleep(0.2)
            thread.kill()
            ended = self.b1.upstream.ended_runs
            wait_until(lambda name=name, ended=ended: ended[name] == 1, 1.0)

    def test_unsafe_request_runs_once_when_its_answer_is_lost(self):
        """A repeated booking sends two crews."""
        second = self.world.add_node("booking")
        self.world.wait_ready()
        for node in (self.b1, second):
            node.upstream.work_s = 0.2
        results = []
        thread = eventlet.spawn(
            lambda: results.append(
                self.world.call(self.a1, "/booking/1", method="POST", Attempt_Id="once")
            )
        )
        eventlet.sleep(0.1)
        runner = next(
            n for n in (self.b1, second) if n.upstream.runs_by_request["once"]
        )
        runner.is_reporting = False
        runner.server.kill()
        thread.wait()
        self.assertIn(results[0].status, (502, 504))
        runs = [n.upstream.runs_by_request["once"] for n in (self.b1, second)]
        self.assertEqual(1, sum(runs))

    def test_slots_of_an_upstream_are_never_exceeded(self):
        """Many entries send at once; the gateway alone knows the slots."""
        self.b1.upstream.work_s = 0.05
        pool = eventlet.GreenPool()
        statuses = list(
            pool.imap(
                lambda number: (
                    self.world.call(
                        (self.a1, self.a2, self.b1)[number % 3],
                        "/booking/1",
                        method="POST",
                    ).status
                ),
                range(40),
            )
        )
        self.assertEqual({200}, set(statuses))
        self.assertLessEqual(self.b1.upstream.most_running, self.b1.upstream.slots)

    def test_shed_requests_move_on_and_are_counted(self):
        """An upstream that refuses while it has room must not fail its callers."""
        self.a1.upstream.sheds = True
        statuses = [self.world.call(self.a1, "/archive/1").status for _ in range(6)]
        self.assertEqual([200] * 6, statuses)

    def test_expired_budget_ends_with_a_final_answer(self):
        """Every request has its answer when its time is over."""
        self.b1.upstream.work_s = 1.0
        answer = self.world.call(
            self.a1, "/booking/1", method="POST", Deadline_Remaining="200"
        )
        self.assertEqual(504, answer.status)

    def test_failures_of_all_upstreams_are_not_run_again(self):
        """The cause is behind them; each further run repeats the calls it makes."""
        # The budget alone must not be what stops the further runs.
        self.a1.server.node.entry._budget._slack = 10_000
        for node in (self.a1, self.a2):
            node.upstream.status = 500
        for _ in range(30):
            self.world.call(self.a1, "/archive/1")
        ids = [f"failing-{number}" for number in range(10)]
        for request_id in ids:
            self.world.call(self.a1, "/archive/1", Attempt_Id=request_id)
        runs = sum(
            node.upstream.runs_by_request[request_id]
            for node in (self.a1, self.a2)
            for request_id in ids
        )
        self.assertLessEqual(runs, 12)

    def test_failure_of_one_upstream_is_run_again_at_a_sound_one(self):
        """An upstream that fails alone must not fail its callers."""
        self.a1.upstream.status = 500
        statuses = [self.world.call(self.a1, "/archive/1").status for _ in range(8)]
        self.assertEqual([200] * 8, statuses)
