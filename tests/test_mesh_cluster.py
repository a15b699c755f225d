"""End-to-end tests of the mesh on the stand-in platform."""

import gc
import time
import tracemalloc
from http.client import HTTPException, parse_headers
from itertools import count, pairwise
from time import monotonic
from unittest.mock import patch

import eventlet
from eventlet.event import Event
from eventlet.green import socket
from loguru import logger
from msgspec.structs import replace
from testtools import TestCase

from tests.call_support import responses_until_close, wait_until
from tests.mesh_cluster import RECORD_KIND, MeshCluster, route, service
from verbenawick.links._call_links import SILENCE_TIMEOUT_S
from verbenawick.links._call_messages import MAX_MESSAGE_BODY_BYTES
from verbenawick.mesh._crash_guard import CRASH_THRESHOLD
from verbenawick.mesh._entry import RETRIES
from verbenawick.mesh._messages import ForwardedCall
from verbenawick.mesh._model import UpstreamState
from verbenawick.mesh._node import SILENCE_CHECK_INTERVAL_S, STALL_LOGGED_S
from verbenawick.mesh._node_events import ProcessStalled
from verbenawick.mesh._request_rate import BURST_S
from verbenawick.mesh._upstream_prober import PROBE_INTERVAL_S
from verbenawick.runtime._events import number_of


def count_calls() -> int:
    """Return the number of forwarded calls in memory, with their bodies."""
    return sum(type(item) is ForwardedCall for item in gc.get_objects())


class MeshClusterTest(TestCase):
    """A service with two upstreams and a service with one."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.configure()
        self.a1 = self.cluster.add_node("archive")
        self.a2 = self.cluster.add_node("archive", data_centre="dc2")
        self.b1 = self.cluster.add_node("booking")
        self.cluster.wait_ready()

    def configure(self, *further, **changes):
        return self.cluster.configure(
            route("r-a", "/archive/", service="archive", **changes),
            route("r-b", "/booking/", service="booking", kind="unsafe"),
            service("archive"),
            service("booking"),
            *further,
        )

    def test_requests_reach_an_upstream_of_their_service_unchanged(self):
        """A request must not be altered or misrouted."""
        answer = self.cluster.call(self.b1, "/archive/ducts/7?x=1", Attempt_Id="q1")
        self.assertEqual(200, answer.status)
        self.assertEqual("seal-q1", answer.headers["Response-Seal"])
        self.assertEqual(b"GET /archive/ducts/7 ", answer.body)
        runner = next(n for n in (self.a1, self.a2) if n.upstream.runs_by_request["q1"])
        headers = runner.upstream.headers_by_request["q1"]
        self.assertEqual("booking", headers["HTTP_CALLER_SERVICE"])
        self.assertEqual(runner.upstream.upstream_id, headers["HTTP_TARGET_INSTANCE"])
        self.assertLessEqual(int(headers["HTTP_DEADLINE_REMAINING"]), 2000)

    def test_unknown_paths_are_not_found_and_change_with_the_configuration(self):
        """Added routes are served; removed routes are not."""
        self.assertEqual(404, self.cluster.call(self.a1, "/new/1").status)
        self.configure(route("r-n", "/new/", service="booking"))
        wait_until(lambda: self.cluster.call(self.a1, "/new/1").status == 200, 2)
        self.configure()
        wait_until(lambda: self.cluster.call(self.a1, "/new/1").status == 404, 2)

    def test_upstream_gets_no_more_requests_than_its_limit(self):
        """Guards against several times the rate that an upstream names in answers."""
        upstream = self.b1.upstream
        upstream.said_headers = [("Server-Limit", "10.0")]
        answer = self.cluster.call(self.a1, "/booking/0", method="POST", body=b"x")
        self.assertEqual("10.0", answer.headers["Server-Limit"])
        statuses = []
        end = monotonic() + 2.0
        while monotonic() < end:
            node = self.a1 if len(statuses) % 2 else self.a2
            answer = self.cluster.call(node, "/booking/1", method="POST", body=b"x")
            statuses.append(answer.status)
        runs = sum(upstream.runs_by_request.values()) - 1
        self.assertLessEqual(runs, 10 * (2.0 + BURST_S) + 1)
        self.assertGreaterEqual(runs, 10)
        upstream.said_headers = []
        # The next answer tells that there is no limit any more.
        wait_until(
            lambda: (
                self.cluster.call(
                    self.a1, "/booking/1", method="POST", body=b"x"
                ).status
                == 200
            )
        )
        self.assertIsNone(self.b1.server.node.gateway._queue.rate.limit)

    def test_limit_of_an_upstream_holds_after_a_restart_of_its_node(self):
        """Guards against requests for all slots before the first answer names it."""
        upstream = self.b1.upstream
        upstream.said_headers = [("Server-Limit", "2.0")]
        upstream.service_time_s = 0.3
        self.cluster.call(self.a1, "/booking/0", method="POST", body=b"x")
        for is_planned in (False, True):
            self.cluster.restart_node(self.b1, is_planned=is_planned)
            self.cluster.wait_ready()
            before = sum(upstream.runs_by_request.values())
            for number in range(12):
                eventlet.spawn_n(
                    self.cluster.call,
                    (self.a1, self.a2)[number % 2],
                    "/booking/1",
                    method="POST",
                    body=b"x",
                )
            eventlet.sleep(1.0)
            runs = sum(upstream.runs_by_request.values()) - before
            self.assertLessEqual(runs, 2 * (1.0 + BURST_S) + 1)
            self.assertGreaterEqual(runs, 1)

    def test_draining_upstream_gets_nothing_after_its_ack(self):
        """A request sent to an upstream after the drain ack would be cut off."""
        self.b1.is_reporting = False
        status = self.b1.upstream.report(
            self.b1.report_address, self.b1.upstream_address, state="draining"
        )
        self.assertEqual(200, status)
        answer = self.cluster.call(self.a1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(0, sum(self.b1.upstream.runs_by_request.values()))

    def test_upstream_that_says_it_leaves_gets_nothing_more(self):
        """Guards against requests to an upstream that leaves without a report."""
        upstream = self.b1.upstream
        upstream.said_headers = [("Server-Leaving", "1")]
        answer = self.cluster.call(self.a1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(200, answer.status)
        answer = self.cluster.call(self.a1, "/booking/2", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual(1, sum(upstream.runs_by_request.values()))
        # Reports of the same process that it is ready are late ones.
        wait_until(lambda: self.stored_state(self.b1) == "draining")
        answer = self.cluster.call(self.b1, "/booking/3", method="POST", body=b"x")
        self.assertEqual(503, answer.status)

    def stored_state(self, node):
        record = self.cluster.store.get(RECORD_KIND, node.node_id)
        return record and record["spec"]["state"]

    def test_record_of_a_deregistered_upstream_attracts_no_calls(self):
        """A remaining record would attract calls that no upstream can run."""
        self.assertEqual("ready", self.stored_state(self.b1))
        self.b1.is_reporting = False
        self.b1.upstream.leave(self.b1.report_address)
        self.assertEqual("draining", self.stored_state(self.b1))
        answer = self.cluster.call(self.a1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.cluster.crash_upstream(self.b1)
        self.b1.server.stop()
        self.assertIsNone(self.stored_state(self.b1))

    def acknowledge_leave(self, announce):
        self.b1.is_reporting = False
        self.assertEqual(200, announce())

    def assert_nothing_is_sent_after_a_restart(self, *, is_planned=False):
        self.cluster.restart_node(self.b1, is_planned=is_planned)
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        late_report = self.b1.upstream.report(
            self.b1.report_address, self.b1.upstream_address, sequence=1
        )
        self.assertEqual(200, late_report)
        eventlet.sleep(3 * PROBE_INTERVAL_S)
        answer = self.cluster.call(self.b1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual(0, sum(self.b1.upstream.runs_by_request.values()))

    def test_restarted_node_keeps_the_acknowledged_leave_of_a_healthy_upstream(self):
        """Guards against calls after a leave that only the previous process knew."""
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.assert_nothing_is_sent_after_a_restart()

    def test_node_restarted_as_planned_keeps_the_acknowledged_leave(self):
        """Guards against a stop that deletes the record of a leave still needed."""
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.assert_nothing_is_sent_after_a_restart(is_planned=True)

    def test_leave_acknowledged_by_a_stopping_node_is_stored(self):
        """Guards against a leave between SIGTERM and the end that is lost."""
        self.b1.is_reporting = False
        node = self.b1.server.node
        node.is_stopping = True
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.assertEqual("draining", self.stored_state(self.b1))

    def test_leave_before_the_first_report_forbids_late_reports(self):
        """Guards against calls after a leave that a restarted node got too early."""
        self.b1.is_reporting = False
        self.cluster.restart_node(self.b1)
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        self.assert_late_report_is_ignored()

    def assert_late_report_is_ignored(self):
        late_report = self.b1.upstream.report(
            self.b1.report_address, self.b1.upstream_address
        )
        self.assertEqual(200, late_report)
        answer = self.cluster.call(self.b1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual(0, sum(self.b1.upstream.runs_by_request.values()))

    def start_again_without_a_report(self, *, born_ms: int):
        """Crash the upstream; its next process has the same id."""
        self.cluster.crash_upstream(self.b1)
        self.cluster.revive_upstream(self.b1, keeps_id=True)
        self.b1.is_reporting = False
        self.b1.upstream.born_ms = born_ms

    def leave_and_report_late(self, *, restarts_node: bool):
        """Let the upstream leave before its first report arrives."""
        self.b1.upstream.is_healthy = False
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        if restarts_node:
            self.cluster.restart_node(self.b1)
            wait_until(lambda: self.b1.server.node.is_ready, 3)
        self.assert_late_report_is_ignored()

    def test_late_report_of_a_later_process_than_the_known_one_is_ignored(self):
        """Guards against calls after a leave whose process the node took for another.

        The leave names an id only, and the node knows an earlier process with it.
        """
        for restarts_node in (False, True):
            self.start_again_without_a_report(born_ms=self.b1.upstream.born_ms + 5)
            self.leave_and_report_late(restarts_node=restarts_node)

    def test_process_that_starts_after_a_leave_is_used_at_once(self):
        """Guards against a window for late reports that bars a new process."""
        self.b1.upstream.is_healthy = False
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        # The clock of the VM has gone back since.
        self.start_again_without_a_report(born_ms=self.b1.upstream.born_ms - 1)
        self.b1.upstream.is_healthy = True
        self.b1.is_reporting = True
        wait_until(lambda: self.b1.server.node.upstream.accepts_work, 1)
        answer = self.cluster.call(self.b1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(200, answer.status)

    def test_drain_after_the_clock_went_back_is_not_ignored(self):
        """Guards against an acknowledged drain of a seemingly earlier process."""
        self.start_again_without_a_report(born_ms=self.b1.upstream.born_ms - 1)
        upstream = self.b1.upstream
        upstream.is_healthy = False
        self.acknowledge_leave(
            lambda: upstream.report(
                self.b1.report_address, self.b1.upstream_address, state="draining"
            )
        )
        answer = self.cluster.call(self.b1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual(0, sum(upstream.runs_by_request.values()))

    def test_leave_acknowledged_in_an_outage_survives_a_restart_in_it(self):
        """Guards against a leave that only the previous process knew."""
        self.cluster.store.faults.status = 503
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.cluster.restart_node(self.b1)
        self.b1.upstream.report(self.b1.report_address, self.b1.upstream_address)
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        eventlet.sleep(3 * PROBE_INTERVAL_S)
        answer = self.cluster.call(self.b1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual(0, sum(self.b1.upstream.runs_by_request.values()))

    def test_stored_leave_applies_once_the_store_answers(self):
        """Guards against a leave that a node started in an outage never learns."""
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.cluster.store.faults.status = 503
        # Peers that lost power as well do not remember the leave.
        for peer in (self.a1, self.a2):
            peer.server.node._leaves.forget(self.b1.node_id)
        self.cluster.restart_node(self.b1)
        self.b1.upstream.report(self.b1.report_address, self.b1.upstream_address)
        wait_until(lambda: self.b1.server.node.upstream.state == "ready", 3)
        store = self.cluster.store
        revision = store.get(RECORD_KIND, self.b1.node_id)["metadata"]["revision"]
        store.faults.status = 0
        wait_until(lambda: self.b1.server.node.upstream.state == "draining", 3)
        eventlet.sleep(0.1)
        self.assertEqual("draining", self.stored_state(self.b1))
        # Otherwise a node that is killed between two writes would lose the leave.
        changes = store._events_since(RECORD_KIND, revision)
        states = {change["object"]["spec"]["state"] for change in changes}
        self.assertNotIn("ready", states)

    def test_restarted_node_keeps_the_acknowledged_drain_of_a_healthy_upstream(self):
        """Guards against calls after a drain that only the previous process knew."""
        self.acknowledge_leave(
            lambda: self.b1.upstream.report(
                self.b1.report_address, self.b1.upstream_address, state="draining"
            )
        )
        self.assert_nothing_is_sent_after_a_restart()

    def test_leave_is_stored_before_its_acknowledgement(self):
        """Guards against a leave that is lost when the node is killed after it."""
        self.cluster.store.faults.delay_s = 0.2
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.assertEqual("draining", self.stored_state(self.b1))

    def test_leave_is_acknowledged_in_time_while_the_store_is_down(self):
        """An upstream that gets no acknowledgement within 1 s asks another node."""
        self.cluster.store.faults.status = 503
        started_at = monotonic()
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.assertLess(monotonic() - started_at, 1.0)

    def test_leave_that_only_its_node_knows_is_not_acknowledged(self):
        """Guards against a leave that a restart of the node forgets."""
        self.cluster.store.faults.status = 503
        for peer in (self.a1, self.a2):
            peer.server.kill()
        self.b1.is_reporting = False
        links = self.b1.server.node.links
        wait_until(lambda: not links.dialled_links() and not links.accepted_peers())
        started_at = monotonic()
        self.assertEqual(503, self.b1.upstream.leave(self.b1.report_address))
        self.assertLess(monotonic() - started_at, 1.0)
        self.assertEqual("gone", self.b1.server.node.upstream.state)
        self.cluster.store.faults.status = 0
        wait_until(lambda: self.stored_state(self.b1) == "draining", 5)
        self.assertEqual(200, self.b1.upstream.leave(self.b1.report_address))

    def test_restarted_node_serves_a_new_process_with_the_id_of_a_departed_one(self):
        """Guards against an upstream that stays unused because its id had left."""
        self.acknowledge_leave(lambda: self.b1.upstream.leave(self.b1.report_address))
        self.cluster.restart_node(self.b1)
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        self.b1.upstream.born_ms += 1
        self.b1.is_reporting = True
        wait_until(
            lambda: (
                self.cluster.call(self.a1, "/booking/1", method="POST").status == 200
            ),
            3,
        )

    def test_invalid_records_do_not_hide_valid_ones(self):
        """In a trial, one invalid record stopped the watch permanently."""
        self.cluster.store.put(RECORD_KIND, "alien", {"service": 7})
        self.cluster.store.put(RECORD_KIND, "alien-2", None)
        node = self.cluster.add_node("booking")
        self.cluster.wait_ready()
        self.assertEqual(200, self.cluster.call(node, "/archive/1").status)

    def test_a_restarted_node_serves_its_upstream_again(self):
        """A restarted node has no state until it has read the store."""
        self.cluster.restart_node(self.b1)
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        self.cluster.wait_ready()
        answer = self.cluster.call(self.a1, "/booking/1", method="POST", body=b"x")
        self.assertEqual(200, answer.status)

    def test_idempotent_request_is_retried_at_another_upstream(self):
        """A read must not fail if only one of two upstreams has crashed."""
        self.cluster.crash_upstream(self.a1)
        statuses = {self.cluster.call(self.a1, "/archive/1").status for _ in range(5)}
        self.assertEqual({200}, statuses)

    def test_removed_record_is_written_again_only_by_a_live_node(self):
        """Records do not expire, and another node may remove one by mistake."""
        self.cluster.crash_upstream(self.b1)
        self.b1.server.kill()
        self.a1.server.node._record_remover.remove(self.b1.node_id)
        self.assertIsNone(self.cluster.store.get(RECORD_KIND, self.b1.node_id))
        self.a1.server.node._record_remover.remove(self.a2.node_id)
        wait_until(
            lambda: self.cluster.store.get(RECORD_KIND, self.a2.node_id) is not None, 3
        )

    def test_calls_succeed_during_a_store_outage(self):
        """The store is needed only for changes, not for calls."""
        self.cluster.store.faults.status = 503
        eventlet.sleep(0.3)
        self.assertEqual(200, self.cluster.call(self.b1, "/archive/1").status)

    def test_expired_watch_revision_causes_a_full_read(self):
        """A watch that is answered with 410 must not miss later changes."""
        self.cluster.store.compact_history()
        self.configure(route("r-n", "/new/", service="booking"))
        wait_until(lambda: self.cluster.call(self.a1, "/new/1").status == 200, 4)

    def test_records_are_read_once_after_their_history_was_discarded(self):
        """A stale read is older than the kept history, so its watch fails at once."""
        store = self.cluster.store
        store.faults.stale_revision = store.revision
        before = len(store.calls)
        store.compact_history()
        eventlet.sleep(2.0)
        reads = [
            query
            for (method, path), query in zip(
                store.calls[before:], store.queries[before:], strict=True
            )
            if path == f"/objects/{RECORD_KIND}" and "watch" not in query
        ]
        self.assertEqual([{}] * len(self.cluster.nodes), reads)
        self.assertEqual(200, self.cluster.call(self.b1, "/archive/1").status)

    def test_metrics_are_served_as_text(self):
        """On-call engineers rely on logs and metrics alone."""
        self.cluster.call(self.a1, "/archive/1")
        page = self.cluster.get(self.a1.server.settings.metrics_address, "/metrics")
        self.assertIn("verbenawick_mesh_calls_total 1.0", page)
        self.assertIn('verbenawick_call_seconds_count{outcome="complete"} 1.0', page)

    def test_stall_of_the_process_is_logged(self):
        """Guards against taking a node without processor time for a lost link."""
        lines = []
        sink = logger.add(lambda line: lines.append(line.record))
        self.addCleanup(logger.remove, sink)
        eventlet.sleep(2 * SILENCE_CHECK_INTERVAL_S)
        end = monotonic() + 2 * STALL_LOGGED_S + SILENCE_CHECK_INTERVAL_S
        while monotonic() < end:
            pass
        eventlet.sleep(2 * SILENCE_CHECK_INTERVAL_S)
        stalls = [
            line["extra"]
            for line in lines
            if line["extra"].get("event") == number_of(ProcessStalled)
        ]
        # All nodes of the cluster run in the process of this test.
        self.assertGreaterEqual(len(stalls), len(self.cluster.nodes))
        for stall in stalls:
            self.assertGreaterEqual(stall["stalled_s"], STALL_LOGGED_S)
            self.assertGreater(stall["cpu_s"], 0)

    def test_graceful_stop_completes_calls_in_flight(self):
        """Calls of callers and other nodes are in progress when the node is stopped."""
        self.b1.upstream.service_time_s = 0.3
        answers = []

        def call(node, path, method):
            answers.append(self.cluster.call(node, path, method=method).status)

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

    def test_requests_read_before_the_announced_close_are_answered_in_a_stop(self):
        """Guards against requests that run for callers that were told to leave."""
        self.b1.upstream.service_time_s = 0.1
        host, _, port = self.a1.call_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), 10)
        self.addCleanup(sock.close)
        stop = eventlet.spawn(self.a1.server.stop)
        eventlet.sleep(0)
        for number in range(3):
            sock.sendall(
                b"POST /booking/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                b"Attempt-Id: p%d\r\nContent-Length: 0\r\n\r\n" % number
            )
        responses = responses_until_close(sock)
        sock.close()
        stop.wait()
        ids = [response.headers["Attempt-Id"] for response in responses]
        self.assertEqual(["p0", "p1", "p2"], ids)
        self.assertEqual({200}, {response.status for response in responses})
        self.assertEqual(3, sum(self.b1.upstream.runs_by_request.values()))

    def test_requests_behind_others_late_in_a_stop_are_not_broken_off(self):
        """Guards against own answers to requests whose upstream is still at work."""
        node, upstream = self.a1, self.b1.upstream
        mesh = node.server.node
        mesh.settings = replace(mesh.settings, stop_grace_s=3.0)
        upstream.service_time_s = 0.05
        host, _, port = node.call_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), 10)
        self.addCleanup(sock.close)
        received = sock.makefile("rb")
        numbers = count()

        def send():
            sock.sendall(
                b"POST /booking/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                b"Attempt-Id: p%d\r\nContent-Length: 0\r\n\r\n" % next(numbers)
            )

        statuses = []
        with patch("verbenawick.mesh._node.LAST_CALL_S", 0.6):
            stop = eventlet.spawn(node.server.stop)
            eventlet.spawn_after(0.8, setattr, upstream, "service_time_s", 1.9)
            send()
            while statuses[-1:] in ([], [200]):
                send()
                statuses.append(int(received.readline().split()[1]))
                headers = parse_headers(received)
                received.read(int(headers["Content-Length"]))
        sock.close()
        stop.wait()
        self.assertEqual({200, 503}, set(statuses))

    def delay_links(self, node, delay_s):
        """Delay all messages that `node` sends on its open links, as a full link."""
        for link in node.server.node.links._links:
            link._delay_s = delay_s

    def test_stop_sends_the_last_answers_before_it_closes_the_links(self):
        """Guards against bookings with unknown outcome when a link is full."""
        self.b1.upstream.service_time_s = 0.5
        self.delay_links(self.b1, 0.3)
        answers = []
        thread = eventlet.spawn(
            lambda: answers.append(
                self.cluster.call(self.a1, "/booking/1", method="POST").status
            )
        )
        wait_until(lambda: self.b1.upstream.running)
        self.b1.server.stop()
        thread.wait()
        self.assertEqual([200], answers)

    def test_node_that_starts_knows_that_another_is_stopping(self):
        """Guards against calls to a gateway that refuses them or has closed its end."""
        self.b1.upstream.service_time_s = 1.0
        call = eventlet.spawn(self.cluster.call, self.b1, "/booking/1", method="POST")
        wait_until(lambda: self.b1.upstream.running)
        stop = eventlet.spawn(self.b1.server.stop)
        wait_until(lambda: self.b1.server.node.is_gateway_draining)
        self.cluster.restart_node(self.a1)
        mesh = self.a1.server.node
        wait_until(lambda: mesh.endpoints.get(self.b1.node_id))
        endpoint = mesh.endpoints.get(self.b1.node_id)
        wait_until(lambda: mesh.links.is_connected(endpoint.member))
        eventlet.sleep(0.1)
        self.assertEqual(UpstreamState.DRAINING, endpoint.state)
        stop.wait()
        self.assertEqual(200, call.wait().status)

    def test_stop_answers_calls_sent_before_the_drain_was_known(self):
        """Guards against bookings with unknown outcome at a node that is stopping."""
        self.delay_links(self.b1, 0.3)
        answers = []

        def call_until_refused():
            while not answers or answers[-1] == 200:
                answers.append(
                    self.cluster.call(self.a1, "/booking/1", method="POST").status
                )

        thread = eventlet.spawn(call_until_refused)
        eventlet.sleep(0.1)
        self.b1.server.stop()
        thread.wait()
        # 503 states that the booking did not run.
        self.assertEqual(503, answers[-1])

    def test_stop_in_calm_cuts_no_call_that_arrives_during_the_grace(self):
        """Guards against calls that are passed on and end without an answer."""
        node = self.b1
        mesh = node.server.node
        mesh.settings = replace(mesh.settings, stop_grace_s=3.0)
        node.server.shutdown_delay_s = 2.2
        for upstream in (self.a1.upstream, self.a2.upstream, node.upstream):
            upstream.service_time_s = 0.7
        for path, method in (("/archive/1", "GET"), ("/booking/1", "POST")):
            self.assertEqual(200, self.cluster.call(node, path, method=method).status)
        outcomes = []

        def keep_calling(path, method, request_id):
            number = 0
            while True:
                number += 1
                name = f"{request_id}-{number}"
                try:
                    status = self.cluster.call(
                        node, path, method=method, Attempt_Id=name
                    ).status
                except ConnectionRefusedError:
                    return
                except (OSError, HTTPException):
                    status = 0
                outcomes.append((name, status))
                eventlet.sleep(0.02)

        threads = [
            eventlet.spawn(keep_calling, path, method, f"{method}-{number}")
            for path, method in (("/archive/1", "GET"), ("/booking/1", "POST"))
            for number in range(6)
        ]
        eventlet.sleep(0.1)
        started_at = monotonic()
        node.server.stop()
        self.assertLess(monotonic() - started_at, 3.0)
        for thread in threads:
            thread.wait()
        runs = [n.upstream.runs_by_request for n in (self.a1, self.a2, node)]
        cut = [
            name
            for name, status in outcomes
            if status == 0 and any(run[name] for run in runs)
        ]
        self.assertEqual([], cut)
        # 0 is a connection that closed before its request was passed on.
        statuses = {status for _, status in outcomes}
        self.assertEqual({200, 503}, statuses - {0})

    def test_long_calls_are_not_broken_off_by_a_gateway_that_stops_before_the_entry(
        self,
    ):
        """Guards against own answers to bookings that are running at their upstream."""
        self.configure(
            route("r-l", "/long/", service="booking", kind="unsafe", timeout_ms=6000),
        )
        first, second = self.b1, self.cluster.add_node("booking")
        self.cluster.wait_ready()
        version = self.cluster.version
        entry = self.a1.server.node.entry
        wait_until(lambda: entry.configuration.version == version)
        first.server.shutdown_delay_s = 1.0
        for node in (first, self.a1):
            mesh = node.server.node
            mesh.settings = replace(mesh.settings, stop_grace_s=3.0)
        stops = [eventlet.spawn(first.server.stop)]
        wait_until(lambda: first.server.node.is_stopping)
        statuses = []

        def call(number):
            answer = self.cluster.call(
                self.a1, "/long/1", method="POST", Deadline_Remaining="6000"
            )
            statuses.append(answer.status)

        for upstream in (first.upstream, second.upstream):
            upstream.service_time_s = 2.6
        calls = [eventlet.spawn(call, number) for number in range(8)]
        eventlet.sleep(0.8)
        stops.append(eventlet.spawn(self.a1.server.stop))
        for thread in (*calls, *stops):
            thread.wait()
        self.assertEqual([200] * 8, statuses)

    def test_stopping_node_is_not_ready_and_closes_caller_connections(self):
        """Callers on persistent connections would be cut off when the node exits."""
        # The listener closes after this delay, which leaves time for a call on a busy
        # machine.
        self.b1.server.shutdown_delay_s = 2.0
        stopping = eventlet.spawn(self.b1.server.stop)
        wait_until(lambda: not self.b1.server.node.is_ready)
        self.assertFalse(self.b1.server.node.is_ready)
        answer = self.cluster.call(self.b1, "/archive/1")
        self.assertEqual((200, "close"), (answer.status, answer.headers["Connection"]))
        stopping.wait()

    def test_body_that_no_message_takes_is_refused_before_it_is_read(self):
        """Guards against an allowed body that ends the process of its node."""
        self.cluster.limits_spec = {"max_body_bytes": 64 * 1024 * 1024}
        version = self.configure()
        wait_until(lambda: self.lowest_version() == version, 3)
        body = b"x" * (MAX_MESSAGE_BODY_BYTES + 1)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for sent in (body, iter([body])):
            tracemalloc.reset_peak()
            held_bytes, _ = tracemalloc.get_traced_memory()
            answer = self.cluster.call(self.a1, "/booking/1", method="POST", body=sent)
            _, peak_bytes = tracemalloc.get_traced_memory()
            self.assertEqual(503, answer.status)
            self.assertEqual(b"call.body-not-carried\n", answer.body)
            self.assertLess(peak_bytes - held_bytes, 3 * len(body))
        self.assertEqual(0, sum(self.b1.upstream.runs_by_request.values()))
        self.cluster.call(self.a1, "/booking/1", method="POST", body=body[:-1])
        self.assertEqual(1, sum(self.b1.upstream.runs_by_request.values()))

    def test_idle_connections_are_closed_after_the_configured_time(self):
        """Guards against idle callers that take all connections of a node."""
        self.cluster.limits_spec = {"idle_timeout_ms": 400}
        version = self.configure()
        wait_until(lambda: self.lowest_version() == version, 3)
        host, _, port = self.a1.call_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), 5)
        self.addCleanup(sock.close)
        for number in range(2):
            sock.sendall(
                b"GET /archive/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                b"Attempt-Id: idle-%d\r\nConnection: keep-alive\r\n\r\n" % number
            )
            answer = sock.recv(65536)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            answered_at = monotonic()
            eventlet.sleep(0.2)
        self.assertEqual(b"", sock.recv(65536))
        self.assertGreater(monotonic() - answered_at, 0.35)

    def test_caller_disconnect_frees_the_upstream_slot(self):
        """A request without a caller would occupy a slot that others need."""
        self.a1.upstream.service_time_s = self.a2.upstream.service_time_s = 1.5
        thread = eventlet.spawn(
            self.cluster.call, self.a1, "/archive/1", Attempt_Id="left"
        )
        eventlet.sleep(0.2)
        gateways = [n.server.node.gateway for n in (self.a1, self.a2)]
        self.assertEqual(1, sum(g.in_flight for g in gateways))
        thread.kill()
        wait_until(lambda: not sum(g.in_flight for g in gateways), 0.5)

    def test_calls_whose_callers_left_are_freed_at_once(self):
        """Guards against bodies that stay until the next full garbage collection."""
        self.addCleanup(gc.enable)
        gc.disable()
        self.a1.upstream.service_time_s = self.a2.upstream.service_time_s = 3.0
        before = count_calls()
        self.leave_calls(12)
        wait_until(lambda: count_calls() == before, 2.0)

    def leave_calls(self, count):
        """Let callers with large bodies leave, in turn at each node."""
        nodes = (self.a1, self.a2, self.b1)
        gateways = [node.server.node.gateway for node in nodes]
        for number in range(count):
            entry = nodes[number % len(nodes)]
            thread = eventlet.spawn(
                self.cluster.call,
                entry,
                "/archive/1",
                method="PUT",
                body=bytes(200_000),
            )
            wait_until(lambda: sum(g.in_flight for g in gateways), 2.0)
            thread.kill()
            wait_until(lambda: not sum(g.in_flight for g in gateways), 2.0)

    def test_running_unsafe_request_is_not_cancelled_by_caller_disconnect(self):
        """A booking that has started must complete even if its caller disconnects."""
        self.b1.upstream.service_time_s = 0.4
        for entry in (self.a1, self.b1):
            name = f"booked-{entry.node_id}"
            thread = eventlet.spawn(
                self.cluster.call, entry, "/booking/1", method="POST", Attempt_Id=name
            )
            started = self.b1.upstream.runs_by_request
            wait_until(lambda name=name, started=started: started[name] == 1, 5.0)
            thread.kill()
            ended = self.b1.upstream.completed_runs
            wait_until(lambda name=name, ended=ended: ended[name] == 1, 1.0)

    def test_unsafe_request_runs_once_when_its_answer_is_lost(self):
        """A booking that runs twice dispatches two crews."""
        second = self.cluster.add_node("booking")
        self.cluster.wait_ready()
        nodes = (self.b1, second)
        killed = Event()
        for node in nodes:
            # The run goes on only after the kill, however long that takes.
            node.upstream.crashes_on = lambda environ: killed.wait()
        results = []
        thread = eventlet.spawn(
            lambda: results.append(
                self.cluster.call(
                    self.a1, "/booking/1", method="POST", Attempt_Id="once"
                )
            )
        )
        wait_until(lambda: any(n.upstream.runs_by_request["once"] for n in nodes))
        runner = next(n for n in nodes if n.upstream.runs_by_request["once"])
        runner.is_reporting = False
        runner.server.kill()
        killed.send(False)
        thread.wait()
        self.assertIn(results[0].status, (502, 504))
        wait_until(lambda: runner.upstream.completed_runs["once"])
        runs = [n.upstream.runs_by_request["once"] for n in nodes]
        self.assertEqual(1, sum(runs))

    def test_slots_of_an_upstream_are_never_exceeded(self):
        """Several entries send calls concurrently; only the gateway knows the slots."""
        # A long deadline: if the test process stalls, its upstreams look slow, and
        # calls that would miss their deadline are rightly refused.
        self.cluster.configure(
            route(
                "r-b", "/booking/", service="booking", kind="unsafe", timeout_ms=20_000
            ),
            service("booking"),
        )
        entries = [node.server.node.entry for node in (self.a1, self.a2, self.b1)]
        wait_until(lambda: all(e.configuration.version == 2 for e in entries))
        self.b1.upstream.service_time_s = 0.05
        pool = eventlet.GreenPool()
        statuses = list(
            pool.imap(
                lambda number: (
                    self.cluster.call(
                        (self.a1, self.a2, self.b1)[number % 3],
                        "/booking/1",
                        method="POST",
                        Deadline_Remaining="20000",
                    ).status
                ),
                range(40),
            )
        )
        self.assertEqual({200}, set(statuses))
        self.assertLessEqual(self.b1.upstream.peak_running, self.b1.upstream.slots)

    def test_shed_requests_move_on_and_are_counted(self):
        """A request shed by one upstream must succeed at another one."""
        self.allow_long_calls()
        self.a1.upstream.sheds = True
        started_at = time.monotonic()
        ended_at = []
        for _ in range(6):
            self.assertEqual([200], self.read_archive(1))
            ended_at.append(time.monotonic())
        durations_s = [b - a for a, b in pairwise([started_at, *ended_at])]
        # The process may stand still in one of them.
        self.assertLess(sorted(durations_s)[-2], 2.0)
        self.assertEqual(6, sum(self.a2.upstream.runs_by_request.values()))
        self.assertLess(0, self.a1.server.node.metrics.totals()[RETRIES])

    def test_shed_requests_move_on_although_the_process_stands_still(self):
        """Guards against giving up a sound link that was not read for a while."""
        self.allow_long_calls()
        self.a1.upstream.sheds = True
        run = self.a2.upstream.crashes_on

        def stand_still(environ):
            self.a2.upstream.crashes_on = run
            time.sleep(SILENCE_TIMEOUT_S + 0.5)
            return False

        for number in range(3):
            self.a2.upstream.crashes_on = stand_still
            self.assertEqual([200] * 2, self.read_archive(2), f"standstill {number}")

    def allow_long_calls(self):
        # A busy machine can hold the test process up for longer than usual deadlines.
        version = self.configure(timeout_ms=20_000)
        wait_until(lambda: self.lowest_version() == version, 3)

    def read_archive(self, count):
        return [
            self.cluster.call(self.a1, "/archive/1", Deadline_Remaining="20000").status
            for _ in range(count)
        ]

    def test_crashing_request_is_told_from_equal_requests_of_other_callers(self):
        """Guards against a crashing request that passes, and reads that are refused."""
        archive = [self.a1, self.a2, self.cluster.add_node("archive")]
        version = self.configure(max_attempts=1)
        self.cluster.wait_ready()
        wait_until(lambda: self.lowest_version() == version, 3)
        crashed = []
        for node in archive:
            node.upstream.crashes_on = lambda environ: (
                environ["HTTP_CALLER_SERVICE"] == "archive"
            )

            def on_crash(node=node):
                crashed.append(node)
                self.cluster.crash_upstream(node)

            node.upstream.on_crash = on_crash
        for attempt in range(2 * CRASH_THRESHOLD):
            sender = archive[attempt % len(archive)]
            status = self.cluster.call(sender, "/archive/ducts/7").status
            if attempt < CRASH_THRESHOLD:
                self.assertEqual(502, status)
                self.cluster.revive_upstream(crashed[-1])
                self.cluster.wait_ready()
                upstream_id = crashed[-1].upstream.upstream_id
                wait_until(lambda id=upstream_id: self.is_known(id), 3)
            else:
                self.assertEqual(503, status)
            for _ in range(3):
                answer = self.cluster.call(self.b1, "/archive/ducts/7")
                self.assertEqual(200, answer.status, f"after {len(crashed)} crashes")
        self.assertEqual(CRASH_THRESHOLD, len(crashed))

    def test_crashes_of_an_upstream_that_keeps_its_id_are_counted(self):
        """Guards against a request that crashes one upstream over and over."""
        upstream = self.b1.upstream
        crashes = []

        def on_crash():
            crashes.append(upstream.born_ms)
            self.cluster.crash_upstream(self.b1)

        upstream.crashes_on = lambda environ: True
        upstream.on_crash = on_crash
        for attempt in range(CRASH_THRESHOLD + 1):
            answer = self.cluster.call(self.a1, "/booking/1", method="POST", body=b"x")
            if attempt < CRASH_THRESHOLD:
                self.assertEqual(502, answer.status)
                self.cluster.revive_upstream(self.b1, keeps_id=True)
                born_ms, mesh = upstream.born_ms, self.b1.server.node
                wait_until(lambda b=born_ms, m=mesh: m.upstream.born_ms == b, 3)
        self.assertEqual(503, answer.status)
        self.assertEqual(CRASH_THRESHOLD, len(crashes))

    def lowest_version(self):
        entries = [node.server.node.entry for node in self.cluster.nodes]
        return min(entry.configuration.version for entry in entries)

    def is_known(self, upstream_id):
        return all(
            any(e.upstream_id == upstream_id for e in node.server.node.endpoints.all())
            for node in self.cluster.nodes
        )

    def test_request_past_its_deadline_is_answered_504(self):
        """Every request is answered by its deadline."""
        self.b1.upstream.service_time_s = 1.0
        answer = self.cluster.call(
            self.a1, "/booking/1", method="POST", Deadline_Remaining="200"
        )
        self.assertEqual(504, answer.status)

    def test_requests_are_not_retried_while_all_upstreams_fail(self):
        """A shared dependency is the cause, and each retry repeats the calls to it."""
        # Rules out that only the retry budget prevents the retries.
        self.a1.server.node.entry._budget._slack = 10_000
        for node in (self.a1, self.a2):
            node.upstream.status = 500
        for _ in range(30):
            self.cluster.call(self.a1, "/archive/1")
        ids = [f"failing-{number}" for number in range(10)]
        for request_id in ids:
            self.cluster.call(self.a1, "/archive/1", Attempt_Id=request_id)
        runs = sum(
            node.upstream.runs_by_request[request_id]
            for node in (self.a1, self.a2)
            for request_id in ids
        )
        self.assertLessEqual(runs, 12)

    def test_failed_request_is_retried_at_a_healthy_upstream(self):
        """Callers must not see the failures of a single upstream."""
        self.a1.upstream.status = 500
        statuses = [self.cluster.call(self.a1, "/archive/1").status for _ in range(8)]
        self.assertEqual([200] * 8, statuses)

    def test_calls_avoid_a_node_that_took_over_the_address_of_a_lost_one(self):
        """Guards against calls that are refused as the wrong service for minutes."""
        lost = self.a2
        lost.is_reporting = False
        lost.server.kill()
        lost.upstream_thread.kill()
        successor = self.cluster.add_node(
            "booking", peer_address=lost.server.settings.peer_address
        )
        entry = self.b1.server.node
        wait_until(lambda: entry.endpoints.get(successor.node_id) is not None, 3)
        wait_until(lambda: entry.endpoints.get(lost.node_id) is None, 3)
        wait_until(
            lambda: entry.links.is_connected(
                entry.endpoints.get(successor.node_id).member
            ),
            3,
        )
        remover = self.a1.server.node._record_remover
        wait_until(lambda: remover._superseded() == [lost.node_id], 3)
        self.assertTrue(self.a1.server.node._beacons.is_leader())
        remover.remove(lost.node_id)
        self.assertIsNone(self.cluster.store.get(RECORD_KIND, lost.node_id))

    def test_restart_costs_only_cheap_reads_and_one_read_of_its_record(self):
        """Guards against calls of all nodes at full price when a mesh is restarted."""
        store = self.cluster.store
        before = len(store.calls)
        self.cluster.restart_node(self.b1)
        wait_until(lambda: self.b1.server.node.upstream.accepts_work, 3)
        calls = list(zip(store.calls, store.queries, strict=True))[before:]
        self.assertEqual([], [path for (method, path), _ in calls if method != "GET"])
        reads = [
            path
            for (_, path), query in calls
            if "watch" not in query and "allow_stale" not in query
        ]
        self.assertEqual([f"/objects/{RECORD_KIND}/{self.b1.node_id}"], reads)

    def test_node_that_read_an_old_configuration_catches_up(self):
        """Guards against a restarted node that keeps a stale version."""
        old = self.cluster.store.revision
        self.configure(route("r-n", "/new/", service="booking"))
        self.cluster.store.faults.stale_revision = old
        self.cluster.restart_node(self.b1)
        wait_until(lambda: self.b1.server.node.is_ready, 3)
        wait_until(lambda: self.cluster.call(self.b1, "/new/1").status == 200, 2)

    def test_metrics_count_the_calls_to_the_store_by_purpose(self):
        """Guards against calls that grow with the mesh and that nobody sees."""
        self.cluster.restart_node(self.b1)
        wait_until(lambda: self.b1.server.node.upstream.accepts_work, 3)
        page = self.cluster.get(self.b1.server.settings.metrics_address, "/metrics")
        values = dict(
            line.rsplit(" ", 1)
            for line in page.splitlines()
            if line.startswith("verbenawick_mesh_store")
        )
        self.assertEqual("1.0", values["verbenawick_mesh_store_reads_total"])
        self.assertEqual("0.0", values["verbenawick_mesh_store_writes_total"])
        self.assertGreaterEqual(
            float(values["verbenawick_mesh_store_stale_reads_total"]), 2
        )
