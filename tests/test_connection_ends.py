"""Counters and log events that tell why the connections of callers end."""

import eventlet
from eventlet.green import socket
from loguru import logger
from testtools import TestCase

from tests.call_support import free_port, wait_until
from verbenawick.calls._connection_ends import (
    ENDS_BY_CAUSE,
    UNANSWERED,
    CallerConnectionEnded,
    CallerUnanswered,
    EndCause,
)
from verbenawick.calls._entry_server import EntryServer
from verbenawick.runtime._events import number_of
from verbenawick.runtime._metrics import MetricSet

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
SLOW = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
IDLE_TIMEOUT_S = 0.2
SLOW_S = 0.2
LARGE = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE_BODY = b"x" * 8_000_000
NUMBERS = (number_of(CallerUnanswered), number_of(CallerConnectionEnded))


class _Application:
    """Application that is asked for slow responses and for callers that left."""

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/slow":
            eventlet.sleep(SLOW_S)
        status = "499 Caller Closed" if path == "/left" else "200 OK"
        body = LARGE_BODY if path == "/large" else b""
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    def stop_accepting(self):
        pass

    def wait_idle(self, *, timeout_s):
        return True


class ConnectionEndsTest(TestCase):
    """Ends of connections to a server over real sockets."""

    def setUp(self):
        super().setUp()
        self.metrics = MetricSet()
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.server = EntryServer(
            _Application(),
            metrics=self.metrics,
            idle_timeout_s=lambda: self.idle_timeout_s,
        )
        self.address = ("127.0.0.1", free_port())
        # Connections of earlier tests may still end and be logged.
        self.ends = []
        record = self.server._ends.record
        self.server._ends.record = lambda end: (record(end), self.ends.append(end))
        self.server.listen("{}:{}".format(*self.address))
        self.server.start()
        self.addCleanup(self.server.close)
        self.fields = []
        sink = logger.add(self.keep, level="DEBUG")
        self.addCleanup(logger.remove, sink)

    def keep(self, message):
        extra = message.record["extra"]
        if extra.get("event") in NUMBERS:
            self.fields.append(extra)

    def connect(self, data):
        sock = socket.create_connection(self.address, 5)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def assert_ended(self, cause, *, requests, unanswered=0):
        wait_until(lambda: self.ends)
        self.assertEqual((cause, requests), (self.ends[0].cause, self.ends[0].requests))
        self.assertEqual(1, self.metrics.totals()[ENDS_BY_CAUSE[cause]])
        self.assertEqual(unanswered, self.metrics.totals().get(UNANSWERED, 0))
        event_type = CallerUnanswered if unanswered else CallerConnectionEnded
        logged = [(fields["event"], fields["cause"]) for fields in self.fields]
        self.assertIn((number_of(event_type), cause), logged)

    def test_end_by_the_caller(self):
        """Guards against taking a caller that is done for one that was cut."""
        sock = self.connect(GET)
        self.assertIn(b" 200 ", sock.recv(65_536))
        sock.close()
        self.assert_ended(EndCause.CALLER_CLOSED, requests=1)

    def test_end_that_the_caller_asked_for(self):
        """Guards against taking the option of a request for an announced end."""
        sock = self.connect(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        self.assertIn(b" 200 ", sock.recv(65_536))
        self.assert_ended(EndCause.CALLER_ASKED, requests=1)

    def test_end_of_an_idle_connection(self):
        """Guards against taking the idle timeout for the end of a stop."""
        sock = self.connect(GET)
        self.assertIn(b" 200 ", sock.recv(65_536))
        self.assert_ended(EndCause.IDLE, requests=1)

    def test_end_by_a_caller_with_a_request_in_progress(self):
        """Guards against taking a request that was given up for a lost one."""
        sock = self.connect(GET.replace(b"/a", b"/left"))
        self.assertIn(b" 499 ", sock.recv(65_536))
        sock.close()
        self.assert_ended(EndCause.CALLER_LEFT, requests=1)

    def test_end_after_an_invalid_request(self):
        """Guards against taking a refused request for a lost one."""
        sock = self.connect(GET + b"GET / HTTP/1.1\r\nHost : a\r\n\r\n")
        self.assertIn(b" 200 ", sock.recv(65_536))
        self.assert_ended(EndCause.INVALID, requests=1)

    def test_end_of_an_idle_connection_at_a_stop(self):
        """Guards against a stop that cannot be told from an idle timeout."""
        self.idle_timeout_s = 60.0
        sock = self.connect(GET)
        self.assertIn(b" 200 ", sock.recv(65_536))
        self.server.stop(grace_s=0, timeout_s=0.1)
        self.assert_ended(EndCause.STOPPED, requests=1)

    def test_end_with_a_response_that_cannot_be_sent(self):
        """Guards against a lost response that no log or counter shows."""
        sock = self.connect(SLOW)
        eventlet.sleep(SLOW_S / 4)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        self.assert_ended(EndCause.BROKEN, requests=1, unanswered=1)

    def test_end_during_a_large_response(self):
        """Guards against counting a response that was cut as a whole one."""
        sock = self.connect(LARGE)
        self.assertIn(b" 200 ", sock.recv(1_000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        self.assert_ended(EndCause.BROKEN, requests=1, unanswered=1)

    def test_end_by_a_caller_with_a_request_in_progress_at_a_stop(self):
        """Guards against logging a request that was given up as cut by the stop."""
        stop = eventlet.spawn(self.server.stop, grace_s=1, timeout_s=1)
        eventlet.sleep(0)
        sock = self.connect(GET.replace(b"/a", b"/left"))
        self.assertIn(b" 499 ", sock.recv(65_536))
        sock.close()
        self.assert_ended(EndCause.CALLER_LEFT, requests=1)
        stop.wait()

    def test_end_that_a_response_announced(self):
        """Guards against taking an announced end for one that the stop forced."""
        stop = eventlet.spawn(self.server.stop, grace_s=1, timeout_s=1)
        eventlet.sleep(0)
        sock = self.connect(GET)
        self.assertIn(b"Connection: close", sock.recv(65_536))
        self.assert_ended(EndCause.ANNOUNCED, requests=1)
        self.assertTrue(self.ends[0].was_announced)
        self.assertFalse(self.ends[0].has_unread)
        stop.wait()

    def test_end_with_a_further_request(self):
        """Guards against requests that were dropped without a sign in the log."""
        sock = self.connect(
            GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + GET
        )
        self.assertIn(b" 200 ", sock.recv(65_536))
        self.assert_ended(EndCause.CALLER_ASKED, requests=1)
        self.assertFalse(self.ends[0].was_announced)
        self.assertTrue(self.ends[0].has_unread)
