"""Requests on kept connections to an entry that stops, over real sockets."""

import resource
import time
from contextlib import suppress
from typing import ClassVar
from unittest import mock

import eventlet
from eventlet.green import socket
from testtools import TestCase

from tests.call_support import free_port, responses_until_close, wait_until
from verbenawick.calls._caller_protocol import CALLER_LEFT_STATUS, LINGER_S
from verbenawick.calls._connection_ends import ENDS_BY_CAUSE, EndCause
from verbenawick.calls._entry_server import (
    LAST_REQUESTS_S,
    MAX_CONNECTIONS,
    EntryServer,
    connection_limit,
)
from verbenawick.runtime._calls_in_flight import CallsInFlight
from verbenawick.runtime._metrics import MetricSet

CALL_S = 0.1
GRACE_S = 0.5
LARGE_BODY = b"x" * 8_000_000
# Fits into the send buffer of a connection, but not into `RECEIVE_BUFFER_BYTES`.
BUFFERED_BODY = b"x" * 1_000_000
RECEIVE_BUFFER_BYTES = 65_536


def request(path: str, body: bytes | None = None) -> bytes:
    """Return the bytes of a request."""
    if body is None:
        return f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    length = len(body)
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body


class _Application:
    """Application that records the paths of its calls, which take `CALL_S` each."""

    _bodies_by_path: ClassVar = {"/large": LARGE_BODY, "/buffered": BUFFERED_BODY}

    def __init__(self):
        self.paths = []
        self._calls = CallsInFlight()

    def __call__(self, environ, start_response):
        self.paths.append(environ["PATH_INFO"])
        if environ["PATH_INFO"] == "/left":
            start_response(CALLER_LEFT_STATUS, [("Content-Length", "0")])
            return [b""]
        if environ["PATH_INFO"] == "/refused":
            start_response("413 Content Too Large", [("Content-Length", "0")])
            return [b""]
        with self._calls.enter():
            eventlet.sleep(CALL_S)
        path = environ["PATH_INFO"]
        body = self._bodies_by_path.get(path, path.encode())
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    @property
    def in_flight(self):
        return self._calls.count

    def stop_accepting(self):
        self._calls.stop()

    def wait_idle(self, *, timeout_s):
        return self._calls.wait_idle(timeout_s=timeout_s)


class EntryServerStopTest(TestCase):
    """Callers that keep using their connections while the entry stops."""

    def setUp(self):
        super().setUp()
        self.application = _Application()
        self.metrics = MetricSet()
        self.idle_timeout_s = 5.0
        self.server = EntryServer(
            self.application,
            metrics=self.metrics,
            idle_timeout_s=lambda: self.idle_timeout_s,
        )
        self.address = ("127.0.0.1", free_port())
        self.server.listen("{}:{}".format(*self.address))
        self.server.start()
        self.addCleanup(self.server.close)

    def connect(self):
        sock = socket.create_connection(self.address, 5)
        self.addCleanup(sock.close)
        return sock

    def request_buffered(self, request_bytes):
        """Return a connection whose response is sent and not received yet."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(self.address)
        sock.sendall(request_bytes)
        wait_until(lambda: self.application.paths)
        eventlet.sleep(2 * CALL_S)
        return sock

    def assert_buffered_body_follows(self, sock):
        """Assert that the response of `request_buffered` arrives as a whole."""
        received = b""
        with eventlet.Timeout(5):
            while data := sock.recv(65_536):
                received += data
        body = received.partition(b"\r\n\r\n")[2]
        self.assertEqual(len(BUFFERED_BODY), len(body))

    def start_stop(self, *, grace_s=GRACE_S):
        """Return the green thread that stops the server."""
        stop = eventlet.spawn(self.server.stop, grace_s=grace_s, timeout_s=5)
        eventlet.sleep(0)
        return stop

    def receive_until_close(self, sock):
        """Return the bodies received by a caller that honours `Connection: close`."""
        responses = responses_until_close(sock)
        self.assertEqual({200}, {response.status for response in responses})
        return [response.body for response in responses]

    def assert_ends(self, sock):
        with eventlet.Timeout(2):
            self.assertEqual(b"", sock.recv(65_536))

    def test_requests_that_arrive_before_the_announced_close_are_answered(self):
        """Guards against running requests whose caller closes as it was told to."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(b"".join(request(path) for path in ("/1", "/2", "/3")))
        bodies = self.receive_until_close(sock)
        self.assertEqual([b"/1", b"/2", b"/3"], bodies)
        self.assert_ends(sock)

    def test_a_request_that_is_sent_during_an_answer_is_answered(self):
        """Guards against announcing the close to a caller that has sent more."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(request("/1"))
        wait_until(lambda: self.application.paths)
        sock.sendall(request("/2", b"abc")[:-2])
        eventlet.spawn_after(2 * CALL_S, sock.sendall, b"bc")
        self.assertEqual([b"/1", b"/2"], self.receive_until_close(sock))

    def test_a_request_that_has_begun_when_the_accept_loop_ends_is_answered(self):
        """Guards against cutting a request that put off the announced close."""
        sock = self.connect()
        sock.sendall(request("/1"))
        wait_until(lambda: self.application.paths)
        self.start_stop(grace_s=0)
        sock.sendall(request("/2")[:5])
        eventlet.spawn_after(LAST_REQUESTS_S + CALL_S, sock.sendall, request("/2")[5:])
        self.assertEqual([b"/1", b"/2"], self.receive_until_close(sock))

    def test_requests_that_wait_behind_another_at_the_close_are_answered(self):
        """Guards against cutting requests that were read before the listener closed."""
        sock = self.connect()
        sock.sendall(b"".join(request(path) for path in ("/1", "/2", "/3")))
        wait_until(lambda: self.application.paths)
        stop = self.start_stop(grace_s=0)
        self.assertEqual([b"/1", b"/2", b"/3"], self.receive_until_close(sock))
        self.assertTrue(stop.wait())

    def test_requests_that_wait_behind_others_after_the_close_are_answered(self):
        """Guards against cutting requests at the end of the accept loop."""
        paths = [f"/{number}" for number in range(int(LAST_REQUESTS_S / CALL_S) + 3)]
        sock = self.connect()
        sock.sendall(b"".join(request(path) for path in paths))
        wait_until(lambda: self.application.paths)
        stop = self.start_stop(grace_s=0)
        bodies = self.receive_until_close(sock)
        self.assertEqual([path.encode() for path in paths], bodies)
        self.assertTrue(stop.wait())

    def test_no_request_runs_behind_one_that_asks_for_the_end(self):
        """Guards against a stop that keeps connections which are to be closed."""
        sock = self.connect()
        self.start_stop()
        last = request("/1").replace(b"Host: a", b"Host: a\r\nConnection: TE, close")
        sock.sendall(last + request("/2"))
        self.assertEqual([b"/1"], self.receive_until_close(sock))
        self.assert_ends(sock)
        self.assertEqual(["/1"], self.application.paths)

    def test_an_empty_line_does_not_put_off_the_announced_close(self):
        """Guards against callers that are never told of the stop."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(request("/1") + b"\r\n")
        # Fails at the end of the connection if the response did not announce it.
        self.assertEqual([b"/1"], self.receive_until_close(sock))

    def test_no_request_runs_after_the_announced_close(self):
        """Guards against serving a connection whose end the caller knows."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(request("/1"))
        self.assertEqual([b"/1"], self.receive_until_close(sock))
        sock.sendall(request("/2"))
        self.assert_ends(sock)
        eventlet.sleep(CALL_S)
        self.assertEqual(["/1"], self.application.paths)

    def test_a_request_that_arrived_at_the_idle_timeout_is_answered(self):
        """Guards against closing a connection whose request is not read yet."""
        self.idle_timeout_s = 0.2
        sock = self.connect()
        for path in ("/1", "/2"):
            sock.sendall(request(path))
            # The timeout is over before the server polls its connections again.
            time.sleep(2 * self.idle_timeout_s)
            with eventlet.Timeout(2):
                self.assertIn(b" 200 ", sock.recv(65_536))

    def test_no_request_runs_for_a_caller_that_has_left(self):
        """Guards against running the requests behind one that was given up."""
        sock = self.connect()
        sock.sendall(request("/left") + request("/1"))
        self.assertIn(b" 499 ", sock.recv(65_536))
        self.assert_ends(sock)
        self.assertEqual(["/left"], self.application.paths)

    def test_a_request_that_crosses_the_close_does_not_reset_the_answer(self):
        """Guards against a reset that discards the end of an answer."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(request("/large"))
        received = sock.recv(1)
        sock.sendall(request("/2", b"x" * 100_000))
        eventlet.sleep(CALL_S)
        while data := sock.recv(65_536):
            received += data
        body = received.partition(b"\r\n\r\n")[2]
        self.assertEqual(len(LARGE_BODY), len(body))
        self.assertEqual(["/large"], self.application.paths)

    def test_a_request_that_crosses_a_stop_does_not_reset_an_earlier_answer(self):
        """Guards against a reset that discards an answer sent before the stop."""
        sock = self.request_buffered(request("/buffered"))
        stop = self.start_stop(grace_s=0)
        eventlet.sleep(LAST_REQUESTS_S + CALL_S)
        sock.sendall(request("/2"))
        self.assert_buffered_body_follows(sock)
        with eventlet.Timeout(2 * LINGER_S):
            self.assertTrue(stop.wait())
        self.assertEqual(["/buffered"], self.application.paths)

    def test_a_request_that_crosses_an_idle_close_does_not_reset_the_answer(self):
        """Guards against a reset that discards an answer still being received."""
        self.idle_timeout_s = LINGER_S / 10
        sock = self.request_buffered(request("/buffered"))
        # Some timeouts find that the kernel has received bytes, which nobody reads.
        eventlet.sleep(6 * self.idle_timeout_s)
        sock.sendall(request("/2"))
        self.assert_buffered_body_follows(sock)
        self.assertEqual(["/buffered"], self.application.paths)

    def test_an_empty_line_after_the_last_request_does_not_reset_the_answer(self):
        """Guards against a reset by clients that end a body with a line break."""
        asking = request("/buffered").replace(
            b"Host: a", b"Host: a\r\nConnection: close"
        )
        sock = self.request_buffered(asking)
        sock.sendall(b"\r\n")
        self.assert_buffered_body_follows(sock)

    def test_a_caller_that_receives_a_slow_answer_is_not_idle(self):
        """Guards against closing a connection before its answer was received."""
        self.idle_timeout_s = 0.2
        sock = self.request_buffered(request("/buffered"))
        received = b""
        with eventlet.Timeout(10):
            # Takes four times as long as the idle timeout.
            while len(received) < len(BUFFERED_BODY):
                received += sock.recv(len(BUFFERED_BODY) // 20)
                eventlet.sleep(self.idle_timeout_s / 5)
            sock.sendall(request("/2"))
            received += sock.recv(65_536)
        self.assertTrue(received.endswith(b"/2"))

    def test_a_request_that_crosses_the_close_does_not_reset_a_slow_answer(self):
        """Guards against a reset while the caller still receives the last answer."""
        self.start_stop()
        sock = self.request_buffered(request("/buffered"))
        received = 0
        with eventlet.Timeout(10):
            # Takes twice as long as the server waits for the close of the caller.
            while data := sock.recv(len(BUFFERED_BODY) // 20):
                received += len(data)
                eventlet.sleep(LINGER_S / 10)
                with suppress(OSError):
                    sock.sendall(b"\r\n")
        self.assertTrue(received > len(BUFFERED_BODY))

    def test_stop_does_not_wait_for_callers_that_keep_their_connection(self):
        """Guards against stops that last until idle callers close."""
        sock = self.connect()
        stop = self.start_stop()
        sock.sendall(request("/1"))
        self.assertEqual([b"/1"], self.receive_until_close(sock))
        with eventlet.Timeout(GRACE_S + 2):
            self.assertTrue(stop.wait())

    def test_a_request_behind_an_empty_line_is_answered_in_a_stop(self):
        """Guards against announcing the close to a caller whose request has arrived."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(request("/1") + b"\r\n")
        wait_until(lambda: self.application.paths)
        sock.sendall(request("/2"))
        self.assertEqual([b"/1", b"/2"], self.receive_until_close(sock))

    def test_a_request_behind_several_empty_lines_is_answered_in_a_stop(self):
        """Guards against dropping a request that put off the announced close."""
        sock = self.connect()
        self.start_stop()
        sock.sendall(request("/1") + b"\r\n\r\n" + request("/2"))
        self.assertEqual([b"/1", b"/2"], self.receive_until_close(sock))

    def test_a_large_body_that_is_refused_in_a_stop_can_be_sent(self):
        """Guards against a reset that discards the refusal of a body."""
        sock = self.connect()
        self.start_stop(grace_s=2)
        sock.sendall(request("/refused", LARGE_BODY))
        with eventlet.Timeout(2):
            self.assertIn(b" 413 ", sock.recv(65_536))

    def test_a_large_body_that_is_refused_before_the_close_can_be_sent(self):
        """Guards against a reset that discards the refusal of a body."""
        sock = self.connect()
        asking = request("/refused", LARGE_BODY).replace(
            b"Host: a\r\n", b"Host: a\r\nConnection: close\r\n", 1
        )
        sock.sendall(asking)
        with eventlet.Timeout(2):
            self.assertIn(b" 413 ", sock.recv(65_536))

    def test_stop_reports_a_call_that_runs_at_its_end(self):
        """Guards against a stop that says that all calls ended when one is cut."""
        sock = self.connect()

        def send_endlessly():
            with suppress(OSError):
                while True:
                    sock.sendall(request("/1"))
                    eventlet.sleep(CALL_S / 2)

        sender = eventlet.spawn(send_endlessly)
        self.addCleanup(sender.kill)
        wait_until(lambda: self.application.paths)
        ended = self.server.stop(grace_s=0, timeout_s=1)
        self.assertEqual(self.application.in_flight == 0, ended)
        sender.kill()
        sock.close()
        wait_until(lambda: self.metrics.totals().get(ENDS_BY_CAUSE[EndCause.BROKEN]))


class CrowdedEntryServerTest(TestCase):
    """Callers that keep more connections than the server takes."""

    def setUp(self):
        super().setUp()
        self.server = EntryServer(
            _Application(), metrics=MetricSet(), max_connections=8
        )
        self.address = ("127.0.0.1", free_port())
        self.server.listen("{}:{}".format(*self.address))
        self.server.start()
        self.addCleanup(self.server.close)

    def test_new_connections_are_served_beside_kept_ones(self):
        """Guards against a ready node that answers nothing on new connections."""
        kept = []
        for number in range(12):
            sock = socket.create_connection(self.address, 5)
            self.addCleanup(sock.close)
            sock.sendall(request(f"/{number}"))
            with eventlet.Timeout(2):
                answer = sock.recv(65_536)
            self.assertIn(b"200 OK", answer)
            if b"connection: close" in answer.lower():
                sock.close()
            else:
                kept.append(sock)
        self.assertEqual(6, len(kept))

    def test_connections_fit_into_the_descriptors_of_the_process(self):
        """Guards against connections that leave none to links and the store."""
        for descriptors, expected in (
            (resource.RLIM_INFINITY, MAX_CONNECTIONS),
            (4100, 3072),
            (2048, 1536),
            (600, 300),
        ):
            limits = (descriptors, descriptors)
            with mock.patch.object(resource, "getrlimit", return_value=limits):
                self.assertEqual(expected, connection_limit(), descriptors)
