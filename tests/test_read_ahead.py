"""Requests that callers send before the earlier ones are answered."""

from collections import defaultdict

import eventlet
from eventlet.event import Event
from eventlet.green import socket
from greenlet import GreenletExit
from testtools import TestCase

from tests.call_support import free_port, responses_until_close, wait_until
from verbenawick.calls._caller_protocol import CALLER_LEFT_STATUS
from verbenawick.calls._entry_server import EntryServer
from verbenawick.calls._read_ahead import (
    MAX_REQUESTS_AHEAD,
    READ_AHEAD_INTERVAL_S,
    split_head,
)
from verbenawick.runtime._caller_watcher import CallerWatcher
from verbenawick.runtime._calls_in_flight import CallsInFlight
from verbenawick.runtime._metrics import MetricSet

# Time in which requests that are read ahead have been started.
STARTED_S = 4 * READ_AHEAD_INTERVAL_S


def request(path: str, *headers: str, method="GET", body="") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class _Application:
    """Application whose calls end when the test says so; the body is the path."""

    def __init__(self):
        self.begun = []
        self.left = []
        self.events_by_path = defaultdict(Event)
        self._calls = CallsInFlight()
        self._watcher = CallerWatcher(interval_s=0.01)
        self.stop_accepting = self._calls.stop
        self.wait_idle = self._calls.wait_idle

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        self.begun.append(path)
        body = environ["wsgi.input"].read() or path.encode()
        try:
            sock = environ["eventlet.input"].get_socket()
            with self._calls.enter(), self._watcher.watch(sock):
                self.events_by_path[path].wait()
        except GreenletExit:
            self.left.append(path)
            start_response(CALLER_LEFT_STATUS, [("Content-Length", "0")])
            return [b""]
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def end(self, *paths: str) -> None:
        for path in paths:
            self.events_by_path[path].send()


class ReadAheadTest(TestCase):
    """One connection on which several requests are sent."""

    def setUp(self):
        super().setUp()
        self.application = _Application()
        self.server = EntryServer(self.application, metrics=MetricSet())
        address = ("127.0.0.1", free_port())
        self.server.listen("{}:{}".format(*address))
        self.server.start()
        self.addCleanup(self.server.close)
        self.sock = socket.create_connection(address, 5)
        self.addCleanup(self.sock.close)

    def receive(self, *paths: str) -> None:
        """Receive the responses to these requests, in this order."""
        received = b""
        with eventlet.Timeout(2):
            while received.count(b"HTTP/1.1 200") < len(paths) or not (
                received.endswith(paths[-1].encode())
            ):
                received += self.sock.recv(65_536)
        bodies = [part.partition(b"\r\n\r\n")[2] for part in received.split(b"HTTP")]
        self.assertEqual([path.encode() for path in paths], bodies[1:])

    def assert_begun(self, *paths: str) -> None:
        """Assert that exactly these requests begin, without any end."""
        wait_until(lambda: len(self.application.begun) >= len(paths), 2)
        eventlet.sleep(STARTED_S)
        self.assertEqual([*paths], self.application.begun)

    def test_safe_requests_run_side_by_side_and_are_answered_in_order(self):
        """Guards against a request that waits for all before it on its connection."""
        self.sock.sendall(request("/1") + request("/2"))
        self.assert_begun("/1", "/2")
        self.sock.sendall(request("/3") + request("/4"))
        self.assert_begun("/1", "/2", "/3", "/4")
        self.application.end("/4", "/2", "/3")
        self.sock.settimeout(0.1)
        self.assertRaises(TimeoutError, self.sock.recv, 1)
        self.sock.settimeout(5)
        self.application.end("/1")
        self.receive("/1", "/2", "/3", "/4")
        self.sock.sendall(request("/5"))
        self.application.end("/5")
        self.receive("/5")

    def test_unsafe_requests_wait_for_their_turn(self):
        """Guards against a change that overtakes an earlier request."""
        self.sock.sendall(
            request("/1")
            + request("/2", method="POST", body="/b")
            + request("/3")
            + request("/4")
        )
        self.assert_begun("/1")
        self.application.end("/1")
        self.receive("/1")
        self.assert_begun("/1", "/2")
        self.application.end("/2")
        self.receive("/b")
        self.assert_begun("/1", "/2", "/3", "/4")

    def test_requests_with_special_framing_wait_for_their_turn(self):
        """Guards against bytes of a body, or of half a head, taken for a request."""
        for number, second in enumerate(
            (
                request("/x", body="GET /y HTTP/1.1\r\n\r\n"),
                request("/x", "Expect: 100-continue", "Content-Length: 4"),
                request("/x", "Transfer-Encoding: chunked"),
                request("/x", "Connection: close"),
                request("/x").replace(b"1.1", b"1.0"),
                request("/x").replace(b"\r\n", b"\n"),
                b"\r\n" + request("/x"),
                request("/x")[:-2],
                b"\x00\x01\r\n\r\n",
            )
        ):
            sock = socket.create_connection(self.sock.getpeername(), 5)
            self.addCleanup(sock.close)
            sock.sendall(request(f"/{number}") + second)
            eventlet.sleep(STARTED_S)
            self.assertNotIn("/x", self.application.begun, second)
            self.assertIn(f"/{number}", self.application.begun)

    def test_no_request_runs_behind_one_that_asks_for_the_end(self):
        """The caller sends such requests again on another connection."""
        self.sock.sendall(
            request("/1") + request("/2", "Connection: close") + request("/3")
        )
        self.application.end("/1", "/2")
        responses = responses_until_close(self.sock)
        self.assertEqual([b"/1", b"/2"], [response.body for response in responses])
        self.assertEqual(["/1", "/2"], self.application.begun)

    def test_all_requests_of_a_caller_that_leaves_are_cancelled(self):
        """Guards against work for nobody."""
        self.sock.sendall(b"".join(map(request, ("/1", "/2", "/3"))))
        self.assert_begun("/1", "/2", "/3")
        self.sock.close()
        wait_until(lambda: len(self.application.left) == 3, 2)

    def test_requests_behind_a_failed_one_are_cancelled(self):
        """Guards against work whose answers nobody can get."""
        self.sock.sendall(b"".join(map(request, ("/1", "/2", "/3"))))
        self.assert_begun("/1", "/2", "/3")
        self.application.events_by_path["/1"].send_exception(RuntimeError("broken"))
        self.assertIn(b" 500 ", self.sock.recv(65_536))
        wait_until(lambda: sorted(self.application.left) == ["/2", "/3"], 2)

    def test_number_of_requests_ahead_is_limited(self):
        """Guards against one caller that takes all room of a node."""
        paths = [f"/{number}" for number in range(MAX_REQUESTS_AHEAD + 3)]
        self.sock.sendall(b"".join(map(request, paths)))
        self.assert_begun(*paths[: MAX_REQUESTS_AHEAD + 1])
        self.application.end(*paths)
        self.receive(*paths)

    def test_requests_ahead_are_answered_in_a_stop(self):
        """Guards against cutting requests whose work has begun."""
        self.sock.sendall(b"".join(map(request, ("/1", "/2"))))
        self.assert_begun("/1", "/2")
        stop = eventlet.spawn(self.server.stop, grace_s=0.1, timeout_s=5)
        eventlet.sleep(0.05)
        self.sock.sendall(request("/3"))
        self.application.end("/3", "/2", "/1")
        responses = responses_until_close(self.sock)
        bodies = [response.body for response in responses]
        self.assertEqual([b"/1", b"/2", b"/3"], bodies)
        self.assertTrue(stop.wait())


class SplitHeadTest(TestCase):
    """Heads at the start of received bytes."""

    def test_only_whole_regular_heads_are_split(self):
        """Guards against two requests that are parsed as one."""
        head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        lines = [b"GET / HTTP/1.1\r\n", b"Host: a\r\n", b"\r\n"]
        self.assertEqual((lines, head), split_head(head))
        self.assertEqual((lines, head), split_head(head + b"GET"))
        for data in (
            b"",
            head[:-1],
            b"\r\n\r\n" + head,
            b"\r\n" + head,
            b"GET / HTTP/1.1\n\n" + head,
            b"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n",
        ):
            self.assertEqual(([], b""), split_head(data), data)
