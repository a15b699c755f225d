"""Parsing of well-formed and malformed request heads."""

import eventlet
from eventlet import wsgi
from eventlet.green import socket
from testtools import TestCase

from verbenawick.calls._caller_protocol import CallerProtocol

GOOD = (
    b"GET /a//b?x=%20 HTTP/1.1\r\nHost: h.example\r\nX-Mixed: v \r\nx-mixed: w\r\n\r\n"
)
AMBIGUOUS_HEADS = {
    "length and chunks": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n",
    "signed length": b"Content-Length: +3\r\n",
    "space before colon": b"Host : h.example\r\n",
    "no colon": b"Host\r\n",
    "control byte in a name": b"Ho\x01st: h.example\r\n",
}


class CallerProtocolTest(TestCase):
    """Request heads sent to the server over a real socket."""

    def setUp(self):
        super().setUp()
        self.seen = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        thread = eventlet.spawn(
            wsgi.server,
            listener,
            self.application,
            protocol=CallerProtocol,
            log_output=False,
            debug=False,
            capitalize_response_headers=False,
        )
        self.addCleanup(listener.close)
        self.addCleanup(thread.kill)

    def application(self, environ, start_response):
        body = environ["wsgi.input"].read() if "CONTENT_LENGTH" in environ else b""
        self.seen.append((environ, body))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def connect(self):
        sock = socket.create_connection(self.address, 5)
        self.addCleanup(sock.close)
        return sock

    def status_of(self, data: bytes) -> bytes:
        """Return the status line of the response, empty if there is none."""
        sock = self.connect()
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
        return received.partition(b"\r\n")[0]

    def test_head_is_passed_on_as_it_was_sent(self):
        """Guards against changed paths, queries and header names at the upstream."""
        self.assertEqual(b"HTTP/1.1 200 OK", self.status_of(GOOD))
        environ, _ = self.seen[0]
        self.assertEqual("/a//b", environ["RAW_PATH_INFO"])
        self.assertEqual("x=%20", environ["QUERY_STRING"])
        self.assertEqual("h.example", environ["HTTP_HOST"])
        self.assertEqual(
            (("Host", "h.example"), ("X-Mixed", "v"), ("x-mixed", "w")),
            environ["headers_raw"],
        )

    def test_connection_serves_several_requests_in_pieces(self):
        """A head may arrive byte by byte, and the connection is reused after it."""
        sock = self.connect()
        for byte in GOOD:
            sock.sendall(bytes([byte]))
        self.assertTrue(sock.recv(65_536).startswith(b"HTTP/1.1 200"))
        sock.sendall(b"PUT /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
        self.assertTrue(sock.recv(65_536).startswith(b"HTTP/1.1 200"))
        self.assertEqual(b"abc", self.seen[1][1])

    def test_connection_ends_when_the_caller_asks_for_it(self):
        """Guards against a caller that waits for the end of the connection in vain."""
        head = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.assertEqual(b"HTTP/1.1 200 OK", self.status_of(head))

    def test_ambiguous_heads_reach_no_application(self):
        """Guards against request smuggling by heads that parsers read differently."""
        for name, header in AMBIGUOUS_HEADS.items():
            status = self.status_of(b"POST / HTTP/1.1\r\n" + header + b"\r\nabc")
            self.assertEqual(b"HTTP/1.1 400 Bad Request", status, name)
        self.assertEqual([], self.seen)

    def test_oversized_heads_are_refused(self):
        """Guards against a caller that uses up the memory with an endless head."""
        line = b"X-Long: " + b"a" * 8000 + b"\r\n"
        status = self.status_of(b"GET / HTTP/1.1\r\n" + line * 32 + b"\r\n")
        self.assertIn(b" 400 ", status)
        self.assertEqual([], self.seen)

    def test_head_that_ends_early_reaches_no_application(self):
        """Guards against serving a request whose caller left before completing it."""
        for length in range(1, len(GOOD)):
            self.status_of(GOOD[:length])
        self.assertEqual([], self.seen)

    def test_body_is_sent_after_a_continue(self):
        """Callers that send Expect wait for the interim response."""
        sock = self.connect()
        sock.sendall(
            b"PUT /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertTrue(sock.recv(65_536).startswith(b"HTTP/1.1 100"))
        sock.sendall(b"abc")
        received = sock.recv(65_536)
        self.assertIn(b"HTTP/1.1 200", received)
        self.assertEqual(b"abc", self.seen[0][1])
