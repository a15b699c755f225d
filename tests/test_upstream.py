"""Connections to the local upstream, with the stand-in on a real socket."""

from time import thread_time
from unittest import mock

import eventlet
from eventlet.green import socket
from testtools import TestCase

from standins.upstream import StandinUpstream
from tests.call_support import INVALID_STATUSES, free_port, wait_until
from verbenawick.calls._upstream import CONNECTIONS_OPENED, UpstreamConnections
from verbenawick.calls._upstream_probe import UpstreamProbe
from verbenawick.errors import (
    BadCallError,
    BadResponseError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
)
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

# More than the kernel buffers on a connection that nobody reads.
UNBUFFERED_BYTES = 16 * 1024 * 1024


class UpstreamConnectionsTest(TestCase):
    """Only connections whose response was read completely are reused."""

    def setUp(self):
        super().setUp()
        self.standin = StandinUpstream("archivo", slots=4)
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(self.standin.serve, listener)
        self.addCleanup(thread.kill)
        self.connect(f"127.0.0.1:{listener.getsockname()[1]}")

    def connect(self, address, max_connections=4):
        self.clock = MonotonicClock()
        self.metrics = MetricSet()
        self.upstream = UpstreamConnections(
            address,
            max_connections=max_connections,
            clock=self.clock,
            metrics=self.metrics,
        )

    def exchange(self, target="/a", *, body=b"", timeout_s=5.0, **options):
        return self.upstream.exchange(
            method="POST" if body else "GET",
            target=target,
            headers=(("Host", "archivo"),),
            body=body,
            deadline=self.clock.now() + timeout_s,
            max_body_bytes=100_000,
            **options,
        )

    def opened(self):
        return self.metrics.totals().get(CONNECTIONS_OPENED, 0)

    def serve_once(self, response: bytes, *, is_endless=False, closes=True):
        """Serve `response` to one request, then close the connection.

        An endless response goes on with its last line until the node closes. Unless the
        upstream `closes` at once, it does so at the next request.
        """
        listener = eventlet.listen(("127.0.0.1", 0))
        last_line = response.rpartition(b"\n")[2]

        def serve():
            sock, _ = listener.accept()
            sock.recv(65536)
            try:
                sock.sendall(response)
                while is_endless:
                    sock.sendall(last_line)
                    self.sent_bytes += len(last_line)
            except OSError:
                self.assertTrue(is_endless)
            listener.close()
            if not closes:
                # A request that goes on is not read.
                eventlet.sleep(0.05)
                sock.recv(65536)
            sock.close()

        self.sent_bytes = 0
        eventlet.spawn_n(serve)
        self.connect(f"127.0.0.1:{listener.getsockname()[1]}")

    def test_a_complete_response_keeps_the_connection_open(self):
        """Bodies arrive completely, and the connection is reused."""
        self.assertEqual(b"hello", self.exchange(body=b"hello").body)
        self.assertEqual(3000, len(self.exchange("/a?chunked=1&bytes=3000").body))
        self.assertEqual((1, 1), (self.opened(), self.upstream.open_count))

    def test_a_truncated_body_is_not_a_response(self):
        """Guards against forwarding a truncated response as complete."""
        self.assertRaises(UpstreamLostError, self.exchange, "/a?fault=cut")
        self.assertRaises(UpstreamLostError, self.exchange, "/a?fault=reset")
        self.assertEqual(0, self.upstream.open_count)

    def test_a_truncated_chunked_body_is_not_a_response(self):
        """Guards against taking a body that ends after a chunk for a complete one."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.serve_once(head + b"5\r\nhello\r\n")
        self.assertRaises(UpstreamLostError, self.exchange)

    def test_a_body_without_a_verifiable_end_is_refused(self):
        """Guards against a truncated body that ends by closing the connection."""
        self.serve_once(b"HTTP/1.1 200 OK\r\n\r\nhello")
        self.assertRaises(BadResponseError, self.exchange)

    def test_a_chunked_body_needs_no_length(self):
        """A wrong Content-Length beside chunks is dropped, not forwarded."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        self.serve_once(head + b"Content-Length: 99\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
        response = self.exchange()
        self.assertEqual((b"hello", ()), (response.body, response.headers))

    def test_a_body_over_the_limit_is_refused(self):
        """Guards against unbounded memory, with and without a Content-Length."""
        self.assertRaises(BadResponseError, self.exchange, "/a?bytes=100001")
        target = "/a?bytes=100001&chunked=1"
        self.assertRaises(BadResponseError, self.exchange, target)

    def test_a_connection_is_not_reused_after_a_timeout(self):
        """Guards against mistaking a late response for that of the next request."""
        slow_target = "/a?delay_ms=500"
        self.assertRaises(CallTimeoutError, self.exchange, slow_target, timeout_s=0.05)
        self.assertEqual(0, self.upstream.open_count)
        self.assertEqual(b"second", self.exchange(body=b"second").body)
        self.assertEqual(2, self.opened())

    def test_a_connection_is_closed_when_the_call_is_cancelled(self):
        """The upstream notices that the connection was closed and stops the request."""
        thread = eventlet.spawn(self.exchange, "/a?delay_ms=60000", timeout_s=60)
        wait_until(lambda: self.standin.running)
        thread.kill()
        wait_until(lambda: self.standin.cancelled)
        self.assertEqual((0, 0), (self.upstream.open_count, self.standin.running))

    def test_an_idle_connection_that_the_upstream_closed_is_not_used(self):
        """Guards against writing a request to a connection that is closing."""
        self.serve_once(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.assertEqual(b"ok", self.exchange().body)
        wait_until(lambda: not self.upstream._is_usable(self.upstream._idle[0]))
        self.assertRaises(UpstreamUnreachableError, self.exchange)

    def test_a_connection_is_not_reused_after_its_announced_end(self):
        """Guards against losing a request because the upstream closes on schedule."""
        for version, *fields in (
            ("1.1", "Connection: x, Close"),
            ("1.1", "Connection: x", "Connection: close"),
            ("1.1", "Keep-Alive: timeout=0"),
            ("1.1", "Keep-Alive: max=9", 'Keep-Alive: Timeout = "0"'),
            ("1.0", "X: y"),
            ("1.0", "Connection: close", "Keep-Alive: timeout=5"),
        ):
            lines = [f"HTTP/{version} 200 OK", *fields, "Content-Length: 2"]
            head = "\r\n".join(lines).encode()
            self.serve_once(head + b"\r\n\r\nok", closes=False)
            self.assertEqual(b"ok", self.exchange().body)
            self.assertRaises(UpstreamUnreachableError, self.exchange)

    def test_a_connection_is_reused_within_its_announced_idle_time(self):
        """Guards against a new connection for each request."""
        self.serve_once(
            b"HTTP/1.0 200 OK\r\nConnection: x\r\nConnection: Keep-Alive\r\n"
            b"Keep-Alive: timeout=5, max=9\r\nContent-Length: 2\r\n\r\nok",
            closes=False,
        )
        self.exchange()
        self.assertTrue(self.upstream._is_usable(self.upstream._idle[0]))

    def test_a_response_before_the_request_was_read_is_not_lost(self):
        """Guards against an unknown outcome although the upstream refused the call."""
        refusal = (
            b"HTTP/1.1 503 Busy\r\nupstream-not-run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        for closes in (True, False):
            self.serve_once(refusal, closes=closes)
            body = b"x" * UNBUFFERED_BYTES
            self.assertRaises(UpstreamShedError, self.exchange, body=body)
            self.assertEqual(0, self.upstream.open_count)

    def test_the_connection_limit_is_never_exceeded(self):
        """Requests beyond the limit are refused before anything is sent."""
        self.connect(self.upstream._address, max_connections=1)
        thread = eventlet.spawn(self.exchange, "/a?delay_ms=60000", timeout_s=60)
        self.addCleanup(thread.kill)
        wait_until(lambda: self.standin.running)
        self.assertRaises(UpstreamUnreachableError, self.exchange)

    def test_refusals_are_distinguished_from_responses(self):
        """Only 503 with the header proves that the request did not run."""
        self.standin.faults.draining = True
        self.assertRaises(UpstreamShedError, self.exchange)
        self.standin.faults.draining = False
        self.assertEqual(503, self.exchange("/a?status=503").status)
        self.connect(f"127.0.0.1:{free_port()}")
        self.assertRaises(UpstreamUnreachableError, self.exchange)

    def test_a_line_break_in_a_header_is_refused(self):
        """Guards against request smuggling through a line break."""
        self.assertRaises(
            BadCallError, self.exchange, "/a HTTP/1.1\r\nX: 1\r\n\r\nGET /b"
        )
        self.assertEqual(0, self.standin.counters()["started"])

    def test_connection_that_does_not_open_is_given_up_before_the_deadline(self):
        """Guards against an unknown outcome of requests that were never sent."""
        full = eventlet.listen(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full.close)
        address = full.getsockname()
        # Takes the only place for a connection that is not accepted.
        self.addCleanup(socket.create_connection(address).close)
        self.connect(f"127.0.0.1:{address[1]}")
        deadline = self.clock.now() + 0.4
        self.assertRaises(UpstreamUnreachableError, self.exchange, timeout_s=0.4)
        self.assertLess(self.clock.now(), deadline)

    def test_nothing_is_sent_if_the_deadline_passes_while_a_connection_opens(self):
        """Guards against a run after the deadline, reported as unknown."""
        connect = socket.create_connection

        def connect_slowly(*arguments):
            eventlet.sleep(0.1)
            return connect(*arguments)

        with mock.patch.object(socket, "create_connection", connect_slowly):
            self.assertRaises(DeadlineUnreachableError, self.exchange, timeout_s=0.05)
        eventlet.sleep(0.05)
        self.assertEqual(0, self.standin.counters()["started"])
        self.assertEqual(0, self.upstream.open_count)

    def test_nothing_is_sent_when_the_check_before_sending_fails(self):
        """Guards against an owner that sends after its authority has ended."""

        def refuse():
            raise UpstreamShedError("no")

        self.assertRaises(UpstreamShedError, self.exchange, before_send=refuse)
        self.exchange()
        self.assertEqual(1, self.standin.counters()["started"])

    def test_a_refusal_by_the_stand_in_costs_processor_time(self):
        """Guards against overload figures from a stand-in that refuses for free."""
        self.standin = StandinUpstream("archivo", slots=0, refusal_cpu_s=0.02)
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(self.standin.serve, listener)
        self.addCleanup(thread.kill)
        self.connect(f"127.0.0.1:{listener.getsockname()[1]}")
        began_at = thread_time()
        self.assertRaises(UpstreamShedError, self.exchange)
        self.assertGreaterEqual(thread_time() - began_at, 0.02)

    def test_a_repeated_refusal_is_not_taken_for_the_next_response(self):
        """Guards against telling a caller that a running request did not run."""
        refusal = (
            b"HTTP/1.1 503 Busy\r\nupstream-not-run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        ran = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            for first in (refusal, ran):
                sock, _ = listener.accept()
                sock.recv(65536)
                sock.sendall(first)
                if sock.recv(65536):
                    sock.sendall(refusal)

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)
        self.connect(f"127.0.0.1:{listener.getsockname()[1]}")
        self.assertRaises(UpstreamShedError, self.exchange)
        self.assertEqual(b"ran", self.exchange().body)

    def test_a_response_that_ends_at_any_byte_is_not_whole(self):
        """Guards against an incomplete response that is forwarded as a whole one."""
        ok = b"HTTP/1.1 200 OK\r\n"
        responses = {
            "length": ok + b"Content-Length: 12\r\n\r\n0123456789ab",
            "no body": ok + b"Content-Length: 0\r\nX: y\r\n\r\n",
            "chunked": ok
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0a\r\n0123456789\r\n"
            + b"0\r\nX: y\r\n\r\n",
            "no content": b"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
            "refusal": b"HTTP/1.1 503 S\r\nupstream-not-run: 1\r\nContent-Length: 0\r\n"
            b"X: y\r\n\r\n",
        }
        for name, whole in responses.items():
            accepted = []
            for end in range(len(whole)):
                self.serve_once(whole[:end])
                try:
                    self.exchange()
                except (UpstreamLostError, BadResponseError):
                    continue
                except UpstreamShedError:
                    pass
                accepted.append(whole[:end])
            self.assertEqual([], accepted, name)

    def test_a_health_probe_that_ends_at_any_byte_is_not_healthy(self):
        """Guards against offering an upstream that stops in the middle of a head."""
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n"
        for end in range(len(whole) + 1):
            self.serve_once(whole[:end])
            probe = UpstreamProbe(self.upstream._address, on_result=lambda is_ok: None)
            self.assertEqual(end == len(whole), not probe.probe(), whole[:end])

    def test_a_response_with_an_invalid_status_is_none_and_hides_no_other(self):
        """Guards against a response that is taken for another one."""
        for status in INVALID_STATUSES:
            head = b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % status
            for rest in (b"", head.replace(status, b"200", 1)):
                self.serve_once(head + rest, closes=False)
                error = self.assertRaises(BadResponseError, self.exchange)
                self.assertEqual("unknown", error.outcome)
                self.assertIn(status.decode(), error.message)
                self.assertEqual(0, self.upstream.open_count, head)

    def test_responses_without_end_are_rejected_early(self):
        """Guards against an upstream that fills the memory of its node."""
        ok = b"HTTP/1.1 200 OK\r\n"
        chunked = ok + b"Transfer-Encoding: chunked\r\n\r\n"
        long = b"x" * 16_384
        cases = {
            "header line": ok + b"X: y\r\n" + long,
            "header fields": ok + b"A: b\r\n" * 200 + b"\r\nC: ",
            "interim responses": b"HTTP/1.1 100 Continue\r\n\r\n" * 6000 + long,
            "chunk size": chunked + b"1\r\na\r\n" + long,
            "trailers": chunked + b"0\r\n" + b"X: yyyyyyyyy\r\n" * 10_000 + long,
            "another interim response": b"HTTP/1.1 103 Hints\r\n\r\n",
        }
        for name, response in cases.items():
            self.serve_once(response, is_endless=response.endswith(long))
            self.assertRaises(BadResponseError, self.exchange)
            self.assertLess(self.sent_bytes, 8 * 1024 * 1024, name)
            self.assertEqual(0, self.upstream.open_count, name)
