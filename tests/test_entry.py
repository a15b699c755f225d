"""Entry and gateway from the caller's side, over real sockets."""

import time
from dataclasses import replace
from functools import partial
from http.client import HTTPException, parse_headers

import eventlet
from eventlet import patcher
from eventlet.event import Event
from eventlet.green import socket
from testtools import TestCase

from tests.call_support import (
    SERVICE,
    Caller,
    CallMesh,
    responses_until_close,
    wait_until,
)
from verbenawick.calls._entry import CALLS_ABANDONED
from verbenawick.calls._gateway import ClaimDecision, ClaimVerdict
from verbenawick.calls._table import Criticality, Route, ServicePolicy
from verbenawick.links._call_messages import CallAnswer, CallRequest, Outcome
from verbenawick.runtime._polling import is_readable

# Time during which a stopping entry accepts connections.
GRACE_S = 0.05


class EntryTest(TestCase):
    """Headers, outcomes, retries, cancellation and graceful stop of the entry."""

    def start(self, **options):
        self.mesh = CallMesh(**options)
        self.addCleanup(self.mesh.close)
        self.node = self.mesh.nodes[0]
        self.caller = self.new_caller()

    def new_caller(self):
        caller = Caller(self.node.call_address)
        self.addCleanup(caller.close)
        return caller

    def change_table(self, **changes):
        self.mesh.table = replace(self.mesh.table, **changes)
        self.node.entry._table = lambda: self.mesh.table

    def test_calls_reach_all_upstreams_and_get_complete_responses(self):
        """Local and remote gateways return the same responses."""
        self.start()
        for number in range(60):
            response = self.caller.call(
                "PUT",
                "/a?x=%20",
                body=b"%d" % number,
                headers={"Idempotency-Key": str(number)},
            )
            self.assertEqual(b"%d" % number, response.body)
            self.assertEqual(("complete", ""), (response.outcome, response.code))
        for _ in range(30):
            self.assertEqual(200, self.caller.call("GET", "/a?chunked=1").status)
        started = [upstream.counters()["started"] for upstream in self.mesh.upstreams]
        self.assertTrue(all(started), started)

    def test_concurrent_callers_get_their_own_responses(self):
        """Guards against mixed-up responses when answers arrive out of order."""
        self.start(slots=30)

        def run(number):
            caller = self.new_caller()
            for turn in range(10):
                body = f"{number}-{turn}".encode()
                target = f"/a?delay_ms={(number * 7 + turn * 3) % 5}"
                headers = {"Idempotency-Key": f"{number}-{turn}"}
                response = caller.call("POST", target, body=body, headers=headers)
                self.assertEqual(body, response.body)

        for thread in [eventlet.spawn(run, number) for number in range(20)]:
            thread.wait()

    def test_invalid_requests_are_refused_with_their_code(self):
        """Each refusal has its code and is proven not to have run."""
        self.start()
        self.change_table(criticality_floor=Criticality.NORMAL)
        for method, headers, status, code in (
            ("GET", {"Request-Timeout": "soon"}, 400, "call.bad-request"),
            ("GET", {"Request-Timeout": "0"}, 400, "call.bad-request"),
            ("GET", {"Attempt": "-1"}, 400, "call.bad-request"),
            ("GET", {"Criticality": "urgent"}, 400, "call.bad-request"),
            ("GET", {"Criticality": "low"}, 503, "call.below-floor"),
            ("POST", {}, 428, "call.key-required"),
            (
                "GET",
                {"Idempotency-Key": "k" * 300, "Attempt": "1"},
                400,
                "call.bad-request",
            ),
        ):
            response = self.caller.call(method, "/a", headers=headers)
            self.assertEqual((status, code), (response.status, response.code))
            self.assertEqual("not-run", response.outcome)
        self.change_table(routes=(Route("r", "/only", SERVICE),))
        self.assertEqual(404, self.caller.call("GET", "/a").status)
        self.change_table(policies_by_service_id={})
        self.assertEqual(404, self.caller.call("GET", "/only").status)
        self.assertEqual([], self.mesh.runs())

    def test_a_retry_with_a_key_is_never_reported_as_not_run(self):
        """An earlier attempt may have run, even if this one is refused."""
        self.start()
        headers = {"Idempotency-Key": "k", "Attempt": "2", "Criticality": "urgent"}
        self.assertEqual(
            "unknown", self.caller.call("POST", "/a", headers=headers).outcome
        )
        self.mesh.nodes[1].close()
        self.node.links.close()
        for headers in (
            {"Idempotency-Key": "k", "Attempt": "2"},
            {"Idempotency-Key": "k"},
        ):
            response = self.caller.call("POST", "/a", headers=headers)
            self.assertEqual("unknown", response.outcome)
        headers = {"Idempotency-Key": "k", "Attempt": "2"}
        response = self.caller.call("POST", "/a", headers=headers)
        self.assertEqual(
            ("unknown", "call.peer-unreachable"), (response.outcome, response.code)
        )
        headers = {"Idempotency-Key": "k2", "Attempt": "1"}
        response = self.caller.call("POST", "/a", headers=headers)
        self.assertEqual("not-run", response.outcome)

    def test_responses_without_a_body_keep_their_headers(self):
        """HEAD, 204 and 304 responses are complete and keep the connection usable."""
        self.start(nodes=1)

        def serve(listener):
            while True:
                sock, _ = listener.accept()
                head = sock.recv(65536)
                status = b"204 No Content" if b"/204" in head else b"304 Not Modified"
                if head.startswith(b"HEAD"):
                    status = b"200 OK\r\nContent-Length: 77"
                sock.sendall(
                    b"HTTP/1.1 " + status + b"\r\nSet-Cookie: a\r\nSet-Cookie: b"
                    b"\r\nConnection: close\r\n\r\n"
                )
                sock.close()

        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(serve, listener)
        self.addCleanup(thread.kill)
        self.node.upstream._port = listener.getsockname()[1]
        for method, path, status, length in (
            ("HEAD", "/a", 200, "77"),
            ("GET", "/204", 204, None),
            ("GET", "/304", 304, None),
        ):
            self.caller.send(method, path)
            response = self.caller.connection.getresponse()
            self.assertEqual((status, b""), (response.status, response.read()))
            self.assertEqual(length, response.getheader("Content-Length"))
            cookies = response.headers.get_all("Set-Cookie")
            self.assertEqual(["a", "b"], cookies)

    def test_a_body_over_the_limit_is_refused(self):
        """Guards against unbounded memory, with and without a Content-Length."""
        self.start(policy=ServicePolicy("p", max_body_bytes=1000))
        headers = {"Idempotency-Key": "k"}
        response = self.caller.call("POST", "/a", body=b"x" * 1001, headers=headers)
        self.assertEqual("call.request-too-large", response.code)
        chunks = iter([b"x" * 600, b"x" * 600])
        response = self.new_caller().call("POST", "/a", body=chunks, headers=headers)
        self.assertEqual("call.request-too-large", response.code)

    def test_rest_of_a_refused_body_is_received_after_the_refusal(self):
        """Guards against a close with unread bytes, whose reset discards an answer."""
        self.start(policy=ServicePolicy("p", max_body_bytes=1000))
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
        request = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        chunk = b"258\r\n" + b"x" * 600 + b"\r\n"
        for framing, body, refused_after in (
            (b"Content-Length: 1001", b"x" * 1001, 0),
            # The second chunk has the byte that exceeds the limit.
            (b"Transfer-Encoding: chunked", 2 * chunk + b"0\r\n\r\n", 1013),
        ):
            for sent in (refused_after, len(body) - 7, len(body) - 1):
                sock = self.new_caller().connection.sock
                sock.sendall(head + framing + b"\r\n\r\n" + body[:sent])
                wait_until(lambda sock=sock: is_readable(sock.fileno()))
                sock.sendall(body[sent:] + request)
                with eventlet.Timeout(5), sock.makefile("rb") as received:
                    refusal, answer = received.read().split(b"HTTP/1.1 ")[1:]
                self.assertTrue(refusal.startswith(b"413 "), refusal)
                self.assertIn(b"call.request-too-large", refusal)
                self.assertTrue(answer.startswith(b"200 "), answer)

    def test_a_request_that_ends_early_does_not_run(self):
        """Guards against forwarding a truncated body as a complete one."""
        self.start()
        host, _, port = self.node.call_address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(
            b"POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
            b"Content-Length: 10\r\n\r\nhalf"
        )
        sock.shutdown(socket.SHUT_WR)
        self.assertIn(b" 400 ", sock.recv(65536))
        self.assertEqual([], self.mesh.runs())

    def test_context_headers_reach_the_upstream(self):
        """Depth, attempt, deadline and trace context are passed to the next layer."""
        self.start(nodes=1)
        seen = []
        upstream = self.mesh.upstreams[0]
        respond = upstream._respond
        upstream._respond = lambda environ, *rest: (
            seen.append(environ),
            respond(environ, *rest),
        )[1]
        trace = "00-" + "a" * 32 + "-" + "b" * 16 + "-00"
        self.caller.call(
            "GET",
            "/a",
            headers={
                "Call-Depth": "3",
                "Attempt": "2",
                "Request-Timeout": "900",
                "Criticality": "high",
                "traceparent": trace,
                "Connection": "X-Own",
                "X-Own": "1",
                "X-Other": "2",
            },
        )
        environ = seen[0]
        self.assertEqual("4", environ["HTTP_CALL_DEPTH"])
        self.assertEqual("2", environ["HTTP_ATTEMPT"])
        self.assertEqual("high", environ["HTTP_CRITICALITY"])
        self.assertIn("a" * 32, environ["HTTP_TRACEPARENT"])
        self.assertLessEqual(int(environ["HTTP_REQUEST_TIMEOUT"]), 900)
        self.assertNotIn("HTTP_X_OWN", environ)
        self.assertEqual("2", environ["HTTP_X_OTHER"])

    def test_a_read_is_retried_on_another_upstream(self):
        """A refused call is retried elsewhere; a lost write without key is not."""
        self.start(policy=ServicePolicy("p", key_required=False))
        upstream = self.mesh.upstreams[0]
        upstream.faults.draining = True
        for _ in range(20):
            self.assertEqual("complete", self.caller.call("GET", "/a").outcome)
            self.assertEqual("complete", self.caller.call("POST", "/a").outcome)
        upstream.faults.draining = False
        before = len(self.mesh.runs())
        response = self.caller.call("POST", "/a?fault=reset")
        self.assertEqual("unknown", response.outcome)
        self.assertEqual(before + 2, len(self.mesh.runs()))

    def test_calls_pass_a_node_that_has_no_configuration_yet(self):
        """Guards against refused calls while a restarted node catches up."""
        self.start()
        other = self.mesh.nodes[1].gateway
        table, other._table = other._table, lambda: None
        outcomes = [self.caller.call("GET", "/a").outcome for _ in range(12)]
        self.assertEqual({"complete"}, set(outcomes))
        # The owner of the key is that node; the call waits until it is ready.
        eventlet.spawn_after(0.3, setattr, other, "_table", table)
        response = self.caller.call(
            "POST", "/a", body=b"x", headers={"Idempotency-Key": "k", "Attempt": "1"}
        )
        self.assertEqual("complete", response.outcome)

    def test_a_paused_node_does_not_use_up_the_whole_deadline(self):
        """Guards against a hanging node that keeps its links open and delays reads."""
        self.start()
        hanging = self.mesh.nodes[1].links
        hanging.register_handler(CallRequest, lambda *request: eventlet.sleep(60))
        headers = {"Request-Timeout": "600"}
        responses = [self.caller.call("GET", "/a", headers=headers) for _ in range(12)]
        self.assertEqual({"complete"}, {response.outcome for response in responses})
        wait_until(lambda: not hanging.running_count)

    def test_a_slow_read_without_another_upstream_gets_its_whole_deadline(self):
        """Guards against cancelling a run when no other upstream could replace it."""
        self.start(nodes=1)
        headers = {"Request-Timeout": "1200"}
        response = self.caller.call("GET", "/a?delay_ms=800", headers=headers)
        self.assertEqual((200, "complete"), (response.status, response.outcome))
        self.assertEqual(0, self.mesh.upstreams[0].cancelled)

    def test_a_call_ends_after_the_longest_duration_that_a_stop_waits_for(self):
        """Guards against connections that end with the process, without an answer."""
        self.start(nodes=1, policy=ServicePolicy("p", timeout_s=3.0))
        self.node.entry._longest_call_s = 0.3
        for headers in ({}, {"Request-Timeout": "3000"}):
            # An upstream that answers at the deadline would be as early as the node.
            target = "/a?delay_ms=800&deadline=ignored"
            response = self.caller.call("GET", target, headers=headers)
            self.assertEqual((504, "unknown"), (response.status, response.outcome))

    def test_a_slow_read_without_retry_budget_gets_its_whole_deadline(self):
        """Guards against cancelling a run that no retry replaces."""
        self.start(policy=ServicePolicy("p", retry_budget=0.0))
        rules = self.node.dispatcher._retry_rules
        while rules._budget(SERVICE).try_consume():
            pass
        headers = {"Request-Timeout": "1200"}
        response = self.caller.call("GET", "/a?delay_ms=800", headers=headers)
        self.assertEqual((200, "complete"), (response.status, response.outcome))

    def test_a_slow_read_is_answered_by_the_first_run_that_ends(self):
        """Guards against a run that is cancelled although its retry takes as long."""
        self.start()
        headers = {"Request-Timeout": "1200"}
        response = self.caller.call("GET", "/a?delay_ms=800", headers=headers)
        self.assertEqual((200, "complete"), (response.status, response.outcome))
        # The other run is cancelled once the answer has arrived.
        wait_until(lambda: not any(u.running for u in self.mesh.upstreams))
        wait_until(lambda: not any(n.admission.in_use for n in self.mesh.nodes))
        self.assertEqual(1, sum(u.cancelled for u in self.mesh.upstreams))

    def test_an_unknown_code_of_another_version_is_passed_on(self):
        """Guards against an internal error while versions are mixed in a rollout."""
        self.start()
        for outcome, status in ((Outcome.NOT_RUN, 503), (Outcome.UNKNOWN, 502)):
            answer = CallAnswer(1, outcome, "call.later", 0, (), b"", "")
            self.node.dispatcher.dispatch = lambda call, answer=answer: answer
            response = self.caller.call("GET", "/a")
            self.assertEqual(
                (status, "call.later", outcome.value),
                (response.status, response.code, response.outcome),
            )

    def test_a_request_without_host_gets_one(self):
        """HTTP/1.0 requests without Host reach upstreams that speak HTTP/1.1."""
        self.start(nodes=1)
        host, _, port = self.node.call_address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(b"GET /a HTTP/1.0\r\n\r\n")
        self.assertIn(b" 200 ", sock.recv(65536))

    def test_the_outcome_covers_all_attempts(self):
        """A lost attempt followed by a refusal is unknown, not "not run"."""
        self.start()
        self.mesh.upstreams[1].faults.draining = True
        outcomes = {self.caller.call("GET", "/a?fault=cut").outcome for _ in range(4)}
        self.assertEqual({"unknown"}, outcomes)

    def test_a_caller_that_disconnects_frees_the_slot(self):
        """Cancellation reaches local and remote upstreams."""
        self.start()
        for number in range(8):
            caller = self.new_caller()
            caller.send("GET", "/a?delay_ms=60000", headers={"Request-Timeout": "9000"})
            wait_until(lambda: any(u.running for u in self.mesh.upstreams))
            caller.close()
            wait_until(lambda: not any(u.running for u in self.mesh.upstreams))
            wait_until(lambda: not any(n.admission.in_use for n in self.mesh.nodes))
            # Counted after the attempts were cancelled, which yields to this test.
            wait_until(lambda number=number: self.abandoned() == number + 1)
        self.assertEqual(8, self.abandoned())

    def abandoned(self):
        return self.node.metrics.totals()[CALLS_ABANDONED]

    def test_a_keyed_call_continues_without_its_caller(self):
        """The retry gets the recorded response; guards against a second run."""
        self.start()
        for owner in self.mesh.members.members:
            self.mesh.claims.owner = lambda owner=owner: owner
            caller = self.new_caller()
            key = {"Idempotency-Key": owner.node_id}
            caller.send("POST", "/a?delay_ms=100", body=b"x", headers=key)
            wait_until(lambda: any(u.running for u in self.mesh.upstreams))
            caller.close()
            done = self.mesh.claims.answers_by_key
            wait_until(lambda node_id=owner.node_id, done=done: node_id in done)
            headers = {**key, "Attempt": "2"}
            response = self.new_caller().call("POST", "/a", body=b"x", headers=headers)
            self.assertEqual((200, b"x"), (response.status, response.body))
        self.assertEqual(2, sum(state == "started" for _, state in self.mesh.runs()))

    def refuse_claims(self, code, *, until):
        begin = self.mesh.claims.begin

        def begin_or_refuse(key, *, fingerprint, attempt, deadline):
            if self.node.clock.now() >= until:
                options = {"fingerprint": fingerprint, "attempt": attempt}
                return begin(key, **options, deadline=deadline)
            verdict = ClaimVerdict.REFUSED if attempt <= 1 else ClaimVerdict.UNKNOWN
            return ClaimDecision(verdict, code=code)

        self.mesh.claims.begin = begin_or_refuse

    def test_a_keyed_call_waits_for_an_owner_that_may_not_claim_yet(self):
        """Guards against refused calls while nodes join, stop or change an owner."""
        self.start()
        for number, code in enumerate(
            (
                "claim.authority-ended",
                "claim.earlier-owner-lost",
                "claim.not-owner",
                "claim.stopping",
            )
        ):
            for attempt in ("1", "2"):
                self.refuse_claims(code, until=self.node.clock.now() + 0.4)
                response = self.caller.call(
                    "POST",
                    "/a",
                    body=b"x",
                    headers={
                        "Idempotency-Key": f"{number}-{attempt}",
                        "Attempt": attempt,
                    },
                )
                self.assertEqual(("complete", b"x"), (response.outcome, response.body))
        self.assertEqual(8, sum(state == "started" for _, state in self.mesh.runs()))

    def test_a_keyed_call_does_not_wait_beyond_half_of_its_time(self):
        """Guards against holding a call of which the owner is cut off for long."""
        self.start()
        self.refuse_claims("claim.authority-ended", until=float("inf"))
        headers = {"Idempotency-Key": "k", "Attempt": "1", "Request-Timeout": "600"}
        started_at = self.node.clock.now()
        response = self.caller.call("POST", "/a", body=b"x", headers=headers)
        self.assertEqual(
            ("not-run", "claim.authority-ended"), (response.outcome, response.code)
        )
        self.assertLess(self.node.clock.now() - started_at, 0.5)
        self.assertEqual([], self.mesh.runs())

    def test_a_request_that_arrives_at_the_close_is_answered_if_it_runs(self):
        """Guards against running a request whose connection is already shut down."""
        self.start(nodes=1)
        for connection in ("kept", "new"):
            caller = self.new_caller()
            if connection == "kept":
                caller.call("GET", "/a")
            before = len(self.mesh.runs())
            server = self.node.entry_server
            stop = eventlet.spawn(server.stop, grace_s=0.05, timeout_s=5)
            eventlet.spawn_after(0.04, caller.send, "GET", "/a")
            eventlet.sleep(0)
            # Both timers are due now, and the request is not read between them.
            time.sleep(0.1)
            stop.wait()
            try:
                status = caller.receive().status
            except (HTTPException, OSError):
                status = None
            has_run = len(self.mesh.runs()) > before
            self.assertEqual(200 if has_run else None, status)
            if connection == "kept":
                self.assertEqual(200, status)
            server.listen(self.node.call_address)
            server.start()

    def test_requests_read_before_the_announced_close_are_answered_in_a_stop(self):
        """Guards against requests that run for callers that were told to leave."""
        self.start(nodes=1)
        stop = self.start_stop()
        sock = self.caller.connection.sock
        sock.sendall(b"GET /a?delay_ms=50 HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
        responses = responses_until_close(sock)
        self.caller.close()
        self.assertEqual([200] * 3, [response.status for response in responses])
        stop.wait()
        self.assertEqual(3, sum(state == "started" for _, state in self.mesh.runs()))

    def test_stop_ends_although_a_caller_always_has_a_further_request(self):
        """Guards against a stop that lasts until its timeout."""
        self.start(nodes=1)
        stop = self.start_stop()
        sock = self.caller.connection.sock
        received = sock.makefile("rb")
        request = b"GET /a?delay_ms=50 HTTP/1.1\r\nHost: a\r\n\r\n"
        sock.sendall(request)
        connection, statuses = None, []
        with eventlet.Timeout(5):
            while connection != "close":
                sock.sendall(request)
                statuses.append(int(received.readline().split()[1]))
                headers = parse_headers(received)
                received.read(int(headers["Content-Length"]))
                connection = headers["Connection"]
                if len(statuses) == 12:
                    self.node.entry.stop_by(last_call_at=self.node.clock.now())
            sock.close()
            self.assertTrue(stop.wait())
        self.assertEqual({200, 503}, set(statuses))
        runs = sum(state == "started" for _, state in self.mesh.runs())
        self.assertEqual(statuses.count(200), runs)

    def test_a_request_after_the_last_pass_before_the_close_is_answered(self):
        """Guards against closing a kept connection whose request was not read yet."""
        self.start(nodes=1)
        self.caller.call("GET", "/a")
        server = self.node.entry_server
        serve_last_requests = server._serve_last_requests

        def serve_and_send(timeout_s):
            serve_last_requests(timeout_s)
            self.caller.send("GET", "/a")

        server._serve_last_requests = serve_and_send
        server.stop(grace_s=GRACE_S, timeout_s=5)
        response = self.caller.receive()
        self.assertEqual(
            (200, "close"), (response.status, response.headers["Connection"])
        )

    def test_a_connection_that_waits_at_the_close_is_served(self):
        """Guards against resetting connections that the kernel has accepted."""
        self.start(nodes=1)
        host, _, port = self.node.call_address.rpartition(":")
        native_socket = patcher.original("socket")
        socks = []

        def connect_and_send():
            sock = native_socket.create_connection((host, int(port)), 5)
            sock.sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            socks.append(sock)

        server = self.node.entry_server
        stop = eventlet.spawn(server.stop, grace_s=0.05, timeout_s=5)
        eventlet.spawn_after(0.04, connect_and_send)
        eventlet.sleep(0)
        # Both timers are due now, and no connection is accepted between them.
        time.sleep(0.1)
        stop.wait()
        with socks[0]:
            self.assertIn(b" 200 ", socks[0].recv(65536))

    def connect_natively(self):
        """Return a native connection to the entry, or None if it is refused."""
        host, _, port = self.node.call_address.rpartition(":")
        try:
            sock = patcher.original("socket").create_connection((host, int(port)), 5)
        except ConnectionRefusedError:
            return None
        self.addCleanup(sock.close)
        return sock

    def start_stop(self):
        server = self.node.entry_server
        stop = eventlet.spawn(server.stop, grace_s=GRACE_S, timeout_s=5)
        eventlet.sleep(0.8 * GRACE_S)
        return stop

    def test_every_connection_before_the_close_of_the_listener_is_served(self):
        """Guards against resets of connections made in any pass around the close."""
        self.start(nodes=1, slots=400)
        stop = self.start_stop()
        socks = []
        while sock := self.connect_natively():
            sock.sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            socks.append(sock)
            eventlet.sleep(0)
        stop.wait()
        lost = []
        for number, sock in enumerate(socks):
            try:
                answer = sock.recv(65536)
            except OSError as error:
                answer = repr(error).encode()
            if not answer.startswith(b"HTTP/1.1 "):
                lost.append((number - len(socks), answer))
        self.assertEqual([], lost)
        self.assertNotEqual([], socks)

    def test_a_request_sent_shortly_after_a_late_connection_is_served(self):
        """Guards against closing a new connection before its first request arrives."""
        self.start(nodes=1, slots=400)
        stop = self.start_stop()
        socks = []
        while sock := self.connect_natively():
            socks.append(sock)
            eventlet.sleep(0)
        eventlet.sleep(0.05)
        socks[-1].sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        for sock in socks[:-1]:
            sock.close()
        stop.wait()
        answer = socks[-1].recv(65536)
        self.assertIn(b" 200 ", answer)
        self.assertIn(b"Connection: close", answer)

    def test_every_request_before_the_close_of_its_kept_connection_is_served(self):
        """Guards against dropping a request sent in any pass before the close."""
        self.start(nodes=1, slots=400)
        request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
        kept = [self.connect_natively() for _ in range(200)]
        for sock in kept:
            sock.sendall(request)
            wait_until(lambda sock=sock: is_readable(sock.fileno()))
            self.assertIn(b" 200 ", sock.recv(65536))
        stop = self.start_stop()
        sent = []
        while kept and not is_readable(kept[-1].fileno()):
            sock = kept.pop(0)
            sock.sendall(request)
            sent.append(sock)
            eventlet.sleep(0.004)
        self.assertNotEqual([], kept, "not sent until the close")
        stop.wait()
        for sock in sent:
            self.assertIn(b"HTTP/1.1 ", sock.recv(65536))

    def test_a_stop_with_an_incomplete_request_ends_within_its_time(self):
        """Guards against a wait for the connections after the wait for the calls."""
        self.start(nodes=1)
        host, _, port = self.node.call_address.rpartition(":")
        incomplete = socket.create_connection((host, int(port)))
        self.addCleanup(incomplete.close)
        incomplete.sendall(b"GET /a HTTP/1.1\r\nHost: a")
        self.caller.send("GET", "/a?delay_ms=600")
        wait_until(lambda: any(u.running for u in self.mesh.upstreams))
        started_at = self.node.clock.now()
        self.node.entry_server.stop(grace_s=0.05, timeout_s=1.0)
        self.assertLess(self.node.clock.now() - started_at, 1.3)
        self.assertEqual(200, self.caller.receive().status)

    def test_a_stop_interrupts_no_call(self):
        """Calls in flight finish, and new ones are served in the grace period only."""
        self.start()
        late_answered = Event()

        def respond_last(respond, environ, *rest):
            if environ["PATH_INFO"] == "/last":
                late_answered.wait()
            return respond(environ, *rest)

        for upstream in self.mesh.upstreams:
            upstream._respond = partial(respond_last, upstream._respond)
        self.caller.send("GET", "/last")
        wait_until(lambda: any(u.running for u in self.mesh.upstreams))
        idle = self.new_caller()
        idle.call("GET", "/a")
        stop = eventlet.spawn(self.node.entry_server.stop, grace_s=0.05, timeout_s=5)
        eventlet.sleep(0)
        late = self.new_caller().call("GET", "/a")
        self.assertEqual((200, "close"), (late.status, late.headers["Connection"]))
        self.assertFalse(stop.dead)
        late_answered.send()
        response = self.caller.receive()
        self.assertEqual((200, 200), (response.status, len(response.body)))
        self.assertEqual("close", response.headers["Connection"])
        self.assertTrue(stop.wait())
        self.assertRaises(OSError, Caller, self.node.call_address)
