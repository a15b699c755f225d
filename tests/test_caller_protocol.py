"""Parsing of well-formed and malformed request heads."""

import tracemalloc
from io import BytesIO

import eventlet
from eventlet import wsgi
from eventlet.green import socket
from testtools import TestCase

from verbenawick.calls._caller_protocol import (
    MAX_DISCARDED_BYTES,
    MAX_HEAD_BYTES,
    CallerProtocol,
)
from verbenawick.calls._http_messages import read_body
from verbenawick.errors import CallError

MAX_BODY_BYTES = 100_000
CHUNKED = b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

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

# Values of the fields Transfer-Encoding of one request.
OTHER_CODINGS = (
    (b"gzip, chunked",),
    (b", chunked",),
    (b"chunked,",),
    (b"chunked, chunked",),
    (b"gzip", b"chunked"),
    (b"chunked", b"chunked"),
    (b"identity",),
    (b"gzip",),
    (b"",),
    (b"x-chunked",),
    (b"chunked;q=1",),
)


class CallerProtocolTest(TestCase):
    """Request heads sent to the server over a real socket."""

    def setUp(self):
        super().setUp()
        self.seen = []
        self.refusals = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        thread = eventlet.spawn(
            wsgi.server,
            listener,
            self.application,
            protocol=CallerProtocol,
            url_length_limit=MAX_HEAD_BYTES,
            log_output=False,
            debug=False,
            capitalize_response_headers=False,
        )
        self.addCleanup(listener.close)
        self.addCleanup(thread.kill)

    def application(self, environ, start_response):
        try:
            body = read_body(environ, MAX_BODY_BYTES)
        except CallError as error:
            start_response("413 Refused", [("Content-Length", "0")])
            self.refusals.append(error.message)
            return [b""]
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

    def test_empty_line_before_a_request_is_ignored(self):
        """Guards against dropping requests of callers that end a body with a line."""
        put = b"PUT /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        sock = self.connect()
        sock.sendall(b"\r\n" + put + b"\r\n" + GOOD)
        received = b""
        with eventlet.Timeout(1, False):
            while received.count(b"HTTP/1.1 200 OK") < 2:
                received += sock.recv(65_536) or self.fail("connection was closed")
        self.assertEqual([b"abc", b""], [body for _, body in self.seen])

    def test_connection_ends_when_the_caller_asks_for_it(self):
        """Guards against a caller that waits for the end of the connection in vain."""
        for option in (b"close", b"Close", b"TE, close", b"close, TE"):
            sock = self.connect()
            head = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: " + option
            sock.sendall(head + b"\r\n\r\n")
            received = b""
            with eventlet.Timeout(1, False):
                while chunk := sock.recv(65_536):
                    received += chunk
                received += b"end"
            self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), option)
            self.assertTrue(received.endswith(b"okend"), option)

    def test_ambiguous_heads_reach_no_application(self):
        """Guards against request smuggling by heads that parsers read differently."""
        for name, header in AMBIGUOUS_HEADS.items():
            status = self.status_of(b"POST / HTTP/1.1\r\n" + header + b"\r\nabc")
            self.assertEqual(b"HTTP/1.1 400 Bad Request", status, name)
        self.assertEqual([], self.seen)

    def test_other_transfer_codings_reach_no_application(self):
        """Guards against bodies that are dropped, and served as a further request."""
        smuggled = b"PUT /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        chunks = b"3\r\nabc\r\n0\r\n\r\n"
        for codings in OTHER_CODINGS:
            fields = b"".join(b"Transfer-Encoding: %b\r\n" % c for c in codings)
            head = b"PUT /c HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\n"
            for body in (chunks, smuggled):
                self.assertIn(
                    self.status_of(head + body),
                    (b"HTTP/1.1 501 Not Implemented", b"HTTP/1.1 400 Bad Request"),
                    codings,
                )
        self.assertEqual([], self.seen)
        for name in (b"chunked", b"Chunked", b"  chunked"):
            head = b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:%b\r\n\r\n" % name
            self.assertEqual(b"HTTP/1.1 200 OK", self.status_of(head + chunks), name)
            self.assertEqual(b"abc", self.seen.pop()[1])

    def test_small_chunks_take_little_more_memory_than_their_bytes(self):
        """Guards against bodies whose chunks are kept as an object each."""
        count = 500_000
        stream = BytesIO(b"2\r\nab\r\n" * count + b"0\r\n\r\n")
        environ = {
            "HTTP_TRANSFER_ENCODING": "chunked",
            "wsgi.input": wsgi.Input(stream, None, None, chunked_input=True),
        }
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        body = read_body(environ, 2 * count)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(b"ab" * count, body)
        self.assertLess(peak_bytes, 4 * len(body) + 4_000_000)

    def test_long_targets_and_fields_are_accepted(self):
        """Guards against requests refused though the configuration allows them."""
        long = b"a" * 16_000
        for head in (
            b"GET /" + long + b" HTTP/1.1\r\nHost: h\r\n",
            b"GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + long + b"\r\n",
        ):
            self.assertEqual(b"HTTP/1.1 200 OK", self.status_of(head + b"\r\n"))

    def test_oversized_heads_are_refused(self):
        """Guards against a caller that uses up the memory with an endless head."""
        line = b"X-Long: " + b"a" * 8000 + b"\r\n"
        status = self.status_of(b"GET / HTTP/1.1\r\n" + line * 32 + b"\r\n")
        self.assertIn(b" 400 ", status)
        status = self.status_of(b"GET / HTTP/1.1\r\nX: " + b"a" * 100_000)
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

    def test_chunked_body_that_ends_early_reaches_no_application(self):
        """Guards against running a request with a truncated body as a whole one."""
        whole = CHUNKED + b"3\r\nabc\r\n0a\r\n0123456789\r\n0\r\nX: y\r\n\r\n"
        for length in range(len(CHUNKED), len(whole)):
            self.status_of(whole[:length])
            self.assertEqual([], self.seen, whole[:length])
        self.status_of(whole)
        self.assertEqual(b"abc0123456789", self.seen[0][1])

    def test_framing_without_end_is_refused_early(self):
        """Guards against a caller that uses up the memory with one endless line."""
        line = b"x" * 16_384
        for start in (CHUNKED + b"1;", CHUNKED + b"0\r\n", CHUNKED + b"0\r\nX: "):
            sent = self.send_without_end(start, line)
            self.assertLess(sent, 8 * 1024 * 1024)
        self.assertEqual([], self.seen)
        self.assertEqual(3, len(self.refusals))

    def send_without_end(self, start: bytes, part: bytes) -> int:
        """Return the bytes sent until the server has closed the connection."""
        sock = self.connect()
        sent = 0
        try:
            sock.sendall(start)
            while True:
                sock.sendall(part)
                sent += len(part)
        except OSError:
            return sent

    def test_caller_of_an_oversized_body_reads_the_refusal(self):
        """The reset of a connection with unread data discards the response."""
        sock = self.connect()
        size = 3 * MAX_DISCARDED_BYTES
        head = f"PUT /c HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
        sock.sendall(head.encode() + b"x" * size)
        self.assertIn(b" 413 ", sock.recv(65_536))
        self.assertEqual(b"", sock.recv(65_536))

    def test_unread_rest_of_a_short_body_keeps_the_connection(self):
        """Guards against a new connection for each refused body."""
        sock = self.connect()
        size = MAX_BODY_BYTES + 1000
        sock.sendall(CHUNKED + b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n")
        self.assertIn(b" 413 ", sock.recv(65_536))
        sock.sendall(GOOD)
        self.assertIn(b" 200 ", sock.recv(65_536))
