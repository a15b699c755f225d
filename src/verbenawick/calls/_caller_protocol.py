"""HTTP protocol of the connections of callers, for eventlet's WSGI server.

`http.server` parses headers with the standard library's email parser, which takes three
times as long as httptools. httptools also parses the responses of upstreams. It rejects
ambiguous heads that allow request smuggling, such as a Content-Length beside a chunked
body.

Safe requests that arrive while a safe request runs are started beside it, see
`verbenawick.calls._read_ahead`, and answered in order. All others wait for their turn.

The connection ends with a response that announces it, and nothing is served after that.
eventlet would keep it, or drop requests that have arrived, when the server stops.
"""

import math
import socket
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import nullcontext, suppress
from http.client import HTTPMessage

from eventlet import Timeout, sleep, spawn, wsgi
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from verbenawick.calls._connection_ends import ConnectionEnd, EndCause
from verbenawick.calls._read_ahead import (
    MAX_REQUESTS_AHEAD,
    SAFE_METHODS,
    ReadAhead,
    RequestAhead,
    run_ahead,
    split_head,
)
from verbenawick.runtime._polling import is_readable
from verbenawick.runtime._sockets import unacknowledged_bytes

# Limit on a request line and header fields together. Platforms allow 16 KiB of header
# fields, of which one may take all.
MAX_HEAD_BYTES = 64 * 1024
# Limit on the chunk sizes and trailers of a request. Each byte of the body allows
# `MAX_FRAMING_RATIO` bytes more.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_RATIO = 8
# Unread rest of a refused body up to which its connection is kept open.
MAX_DISCARDED_BYTES = 1024 * 1024
# Receive buffers of empty lines that are skipped in search of a further request.
MAX_SKIPPED_READS = 4
# How long bytes are received after the last response, so that the caller can read it
# before the connection is closed.
LINGER_S = 1.0
# Ends at which the caller may still be sending.
LINGERING_CAUSES = frozenset({EndCause.ANNOUNCED, EndCause.INVALID})
# Ends at which the caller may still receive the last response.
RECEIVING_CAUSES = frozenset({EndCause.CALLER_ASKED, EndCause.IDLE, EndCause.STOPPED})

# Status that an application gives to a request whose caller has closed the connection.
CALLER_LEFT_STATUS = "499 Caller Closed"

# Headers of requests that are not read ahead.
_BODY_HEADERS = ("content-length", "transfer-encoding", "expect", "upgrade")
# Attributes that describe the request which is served now.
_REQUEST_ATTRIBUTES = ("command", "path", "request_version", "headers")

_EMPTY_LINES = (b"\r\n", b"\n")
_HEAD_TERMINATORS = (*_EMPTY_LINES, b"")


class _RequestHead:
    """Target and headers of one request, filled by the parser's callbacks."""

    def __init__(self):
        self.method = ""
        self.target = b""
        self.version = ""
        self.headers = HTTPMessage()
        self.keeps_connection = False
        self._parser: HttpRequestParser | None = None

    def parse(self, data: bytes) -> None:
        """Parse the head of a request.

        Raises
        ------
        HttpParserError
            The head is invalid.
        """
        self._parser = parser = HttpRequestParser(self)
        try:
            parser.feed_data(data)
        except HttpParserUpgrade:
            # Protocol upgrades are not supported; serve the request without one.
            pass
        finally:
            # The parser refers to this object, and garbage collections are rare.
            self._parser = None
        self.method = parser.get_method().decode("latin-1")
        self.version = parser.get_http_version()

    @property
    def has_unsupported_coding(self) -> bool:
        """Return whether the body has another transfer coding than chunks.

        httptools takes each list that ends in chunked as chunks, eventlet any but the
        single word as a body of no length, which makes the body a further request.
        """
        codings = self.headers.get_all("Transfer-Encoding")
        return codings is not None and [c.lower() for c in codings] != ["chunked"]

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        text = value.decode("latin-1").strip(" \t")
        self.headers[name.decode("latin-1")] = text

    def on_headers_complete(self) -> None:
        # At the end of the message, the parser no longer knows the connection options.
        self.keeps_connection = self._parser.should_keep_alive()


class _BodyStream:
    """Stream of a request body, of which each line has to be whole.

    eventlet takes the end of the stream for the end of a chunk size or of the trailers,
    and limits neither.
    """

    def __init__(self, stream):
        self._stream = stream
        self._line_bytes_left = MAX_FRAMING_BYTES

    def read(self, size: int) -> bytes:
        data = self._stream.read(size)
        self._line_bytes_left += MAX_FRAMING_RATIO * len(data)
        return data

    def readline(self) -> bytes:
        line = self._stream.readline(self._line_bytes_left + 1)
        self._line_bytes_left -= len(line)
        if self._line_bytes_left < 0:
            raise wsgi.ChunkReadError(
                f"chunk sizes or trailers exceed {MAX_FRAMING_BYTES} bytes"
            )
        if not line.endswith(b"\n"):
            raise wsgi.ChunkReadError("body ends in a chunk size or trailer")
        return line


class _RequestBody(wsgi.Input):
    """Body of a request, with limits on its framing and on a rest that is discarded."""

    @property
    def is_read(self) -> bool:
        """Return whether the whole body was read."""
        if self.chunked_input:
            return self.chunk_length == 0
        return self.position >= (self.content_length or 0)

    def discard(self, buffer_size: int = 16_384) -> None:
        """Receive the unread rest of the body.

        Raises
        ------
        OSError
            The rest is too long; the connection has to be closed.
        """
        left = MAX_DISCARDED_BYTES
        while data := self.read(min(buffer_size, left)):
            left -= len(data)
            if left <= 0:
                _linger(self._sock)
                raise OSError(f"unread body exceeds {MAX_DISCARDED_BYTES} bytes")


class _ResponseStream:
    """Buffered stream of responses that remembers whether a write failed.

    eventlet catches the errors of a response, and the stream keeps no bytes of a large
    one that a later flush could fail on.
    """

    def __init__(self, stream):
        self._stream = stream
        self.has_failed = False

    def __getattr__(self, name: str):
        return getattr(self._stream, name)

    def writelines(self, lines: list[bytes]) -> None:
        try:
            self._stream.writelines(lines)
        except OSError:
            self.has_failed = True
            raise

    def flush(self) -> None:
        try:
            self._stream.flush()
        except OSError:
            self.has_failed = True
            raise


def _linger(sock, *, max_bytes: float = math.inf) -> None:
    """Send the end of the connection, and receive until the caller closes it too.

    Stops after `max_bytes`, or after `LINGER_S` in which the caller has received all
    that was sent or nothing of it.

    The kernel resets a connection that is closed with unread bytes, and the reset
    discards what the caller has not received yet.
    """
    sock.shutdown(socket.SHUT_WR)
    for period_s in _lingering_periods(sock):
        with Timeout(period_s, False):
            while max_bytes > 0 and (data := sock.recv(65_536)):
                max_bytes -= len(data)
            return


def _lingering_periods(sock) -> Iterator[float]:
    """Yield the durations to wait, in seconds, while the caller receives what was sent.

    Raises
    ------
    OSError
        The connection is closed.
    """
    left_bytes = unacknowledged_bytes(sock)
    while True:
        yield LINGER_S
        earlier_bytes, left_bytes = left_bytes, unacknowledged_bytes(sock)
        if not 0 < left_bytes < earlier_bytes:
            return


class CallerProtocol(wsgi.HttpProtocol):
    """HTTP protocol of one connection of a caller.

    Parameters
    ----------
    connections : set of CallerProtocol
        Open connections of the server, to which this one adds itself.
    idle_timeout_s : callable
        Returns the time after which the connection is closed if it is idle, in seconds.
        By default the time set for the server applies.
    is_stopping : callable
        Returns whether the server is stopping.
    is_crowded : callable
        Returns whether the server has so many connections that each has to be closed
        after its response, to leave places for others.
    on_end : callable
        Called with the `ConnectionEnd` when the connection has ended.
    read_ahead : ReadAhead or None
        Finds requests that run beside the one that is answered next; None to run all
        of them one after the other.
    """

    def __init__(
        self,
        conn_state,
        server,
        *,
        connections: set["CallerProtocol"] | None = None,
        idle_timeout_s: Callable[[], float] | None = None,
        is_stopping: Callable[[], bool] = lambda: False,
        is_crowded: Callable[[], bool] = lambda: False,
        on_end: Callable[[ConnectionEnd], None] = lambda end: None,
        read_ahead: ReadAhead | None = None,
    ):
        self._read_ahead = read_ahead
        self._requests_ahead: deque[RequestAhead] = deque()
        # The request that is served now, if it was started ahead.
        self._current_ahead: RequestAhead | None = None
        self._connections = set() if connections is None else connections
        self._idle_timeout_s = idle_timeout_s
        self._is_stopping = is_stopping
        self._is_crowded = is_crowded
        self._on_end = on_end
        # Whether eventlet has left the connection open at the end of its accept loop,
        # at which it shuts down the idle ones.
        self._outlives_server = False
        self._requests = 0
        self._responses = 0
        self._was_announced = False
        # Whether the last response did not announce the end, since a further request
        # had begun to arrive.
        self._has_begun_request = False
        # Whether the last response came before the body of its request was read.
        self._is_body_refused = False
        self._end_cause = EndCause.BROKEN
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Open the streams of the connection."""
        super().setup()
        self.wfile = _ResponseStream(self.wfile)
        # eventlet asks for the address, which stays the same, with each request.
        address = self.connection.getsockname()
        self.connection.getsockname = lambda: address

    def handle(self) -> None:
        """Serve the requests of the connection until it is closed."""
        self._connections.add(self)
        try:
            self._serve_until_end()
            # An error means that the caller has closed the connection.
            with suppress(OSError):
                max_bytes = self._max_lingering_bytes()
                if max_bytes:
                    self.wfile.flush()
                    _linger(self.connection, max_bytes=max_bytes)
        finally:
            self._connections.discard(self)
            self._cancel_requests_ahead()

    def _cancel_requests_ahead(self) -> None:
        """Cancel the requests that will not be answered."""
        left = [self._current_ahead, *self._requests_ahead]
        self._current_ahead = None
        self._requests_ahead.clear()
        for request in left:
            if request is not None:
                request.thread.kill()

    def _max_lingering_bytes(self) -> float:
        if self._is_body_refused:
            # The caller may read the response only after it has sent the body.
            return math.inf
        lingers = self._end_cause in LINGERING_CAUSES or (
            self._end_cause in RECEIVING_CAUSES
            and unacknowledged_bytes(self.connection) > 0
        )
        return MAX_DISCARDED_BYTES if lingers else 0

    def _serve_until_end(self) -> None:
        try:
            self._serve_requests()
        finally:
            self._on_end(
                ConnectionEnd(
                    self._end_cause,
                    self._requests,
                    self._responses,
                    self._was_announced,
                    bool(self._requests_ahead or self._unread_bytes()),
                )
            )

    def _serve_requests(self) -> None:
        self.close_connection = True
        while True:
            self.handle_one_request()
            if self.close_connection:
                return
            if self.conn_state[2] != wsgi.STATE_CLOSE:
                self.conn_state[2] = wsgi.STATE_IDLE
            elif self._has_next_request():
                # The response before did not announce the close.
                self._outlives_server = True
            else:
                self._end_cause = EndCause.STOPPED
                return

    def handle_one_request(self) -> None:
        """Serve one request."""
        self._end_cause = EndCause.BROKEN
        super().handle_one_request()

    def handle_one_response(self) -> None:
        """Call the application and write its response.

        While the server stops or is crowded, the response announces the close of the
        connection unless a further request has arrived, which is served first.
        """
        self._requests += 1
        self._has_begun_request = False
        self._end_cause = EndCause.BROKEN
        application = self.application
        body = self.environ["wsgi.input"]
        asked_for_end = bool(self.close_connection)
        status = ""

        def serve(environ, start_response):
            def start(status_line, headers, exc_info=None):
                nonlocal status
                status = status_line
                return start_response(status_line, headers, exc_info)

            with self._reading_ahead(is_last=asked_for_end):
                chunks = self._run(application, environ, start)
            if (self._is_stopping() or self._is_crowded()) and not asked_for_end:
                has_next = body.is_read and self._has_next_request()
                self.close_connection = not has_next
                self._has_begun_request = has_next
                has_left = status == CALLER_LEFT_STATUS
                self._was_announced = not has_next and not has_left
            return chunks

        self.application = serve
        super().handle_one_response()
        if status == CALLER_LEFT_STATUS:
            self._end_cause = EndCause.CALLER_LEFT
            # Further requests of the caller would run for nobody.
            self.close_connection = True
            return
        if self.wfile.has_failed:
            return
        self._responses += 1
        # Otherwise eventlet has received the body, or found it invalid.
        has_decided_end = asked_for_end or self._was_announced
        self._is_body_refused = has_decided_end and not body.is_read
        if asked_for_end:
            self._end_cause = EndCause.CALLER_ASKED
        else:
            announced = EndCause.ANNOUNCED
            self._end_cause = announced if self._was_announced else EndCause.INVALID

    def _run(self, application, environ, start_response):
        request = self._current_ahead
        if request is None:
            return application(environ, start_response)
        answer = request.thread.wait()
        self._current_ahead = None
        start_response(answer.status, answer.headers)
        return answer.chunks

    def _reading_ahead(self, *, is_last: bool):
        """Return a context in which further requests are started beside this one."""
        if self._read_ahead is None or is_last or not self._is_safe():
            return nullcontext()
        # Requests in the buffer do not make the connection readable.
        self._start_ahead()
        return self._read_ahead.watch(self.connection.fileno(), self._start_ahead)

    def _is_safe(self) -> bool:
        return (
            self.command in SAFE_METHODS
            and self.request_version == "HTTP/1.1"
            and not any(name in self.headers for name in _BODY_HEADERS)
        )

    def _start_ahead(self) -> bool:
        """Start the safe requests that have arrived, without waiting for more.

        Returns
        -------
        bool
            Whether further requests may be started beside the one that is served.
        """
        is_started = False
        while not self._is_stopping():
            if len(self._requests_ahead) >= MAX_REQUESTS_AHEAD:
                return False
            data = self._unread_bytes()
            if not data:
                # Without any bytes, the caller has closed the connection.
                return is_started
            lines, head = split_head(data)
            environ = self._environ_ahead(head) if lines else None
            if environ is None:
                return False
            # These bytes are in the buffer, so the read does not wait.
            self.rfile.read(len(head))
            thread = spawn(run_ahead, self.server.app, environ)
            self._requests_ahead.append(RequestAhead(lines, thread))
            is_started = True
        return False

    def _environ_ahead(self, head: bytes) -> dict | None:
        """Return the environment of a request if it may run before its turn."""
        request = _RequestHead()
        try:
            request.parse(head)
        except HttpParserError:
            # Answered with an error at its turn.
            return None
        served = {name: getattr(self, name) for name in _REQUEST_ATTRIBUTES}
        try:
            self._take(request)
            is_ahead = request.keeps_connection and self._is_safe()
            return self.get_environ() if is_ahead else None
        finally:
            vars(self).update(served)

    def _take(self, request: _RequestHead) -> None:
        self.command = request.method
        self.path = request.target.decode("latin-1")
        self.request_version = f"HTTP/{request.version}"
        self.headers = request.headers

    def prepare_stop(self) -> None:
        """Keep the connection open if a request or a response is on its way.

        Called immediately before the server stops, which shuts down all connections
        that it takes for idle.
        """
        if self.conn_state[2] != wsgi.STATE_IDLE:
            return
        if self._has_begun_request or is_readable(self.connection.fileno()):
            self._outlives_server = True
            self.conn_state[2] = wsgi.STATE_REQUEST
        elif unacknowledged_bytes(self.connection):
            # After a shutdown of both directions, the next request would reset the
            # connection, which discards the rest of the response.
            self.conn_state[2] = wsgi.STATE_REQUEST
            spawn(self._end_after_response)

    def _end_after_response(self) -> None:
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
            for period_s in _lingering_periods(self.connection):
                sleep(period_s)
            self.connection.shutdown(socket.SHUT_RDWR)

    def _has_next_request(self) -> bool:
        """Return whether bytes of a further request have arrived.

        Skips empty lines before the request.
        """
        if self._requests_ahead:
            return True
        for _ in range(MAX_SKIPPED_READS):
            data = self._unread_bytes()
            request = data.lstrip(b"\r\n")
            # These bytes are in the buffer, so the read does not wait.
            self.rfile.read(len(data) - len(request))
            if request or not data:
                return bool(request)
        return False

    def _unread_bytes(self) -> bytes:
        """Return bytes that have arrived and were not read, without reading them."""
        try:
            self.connection.settimeout(0)
            try:
                return self.rfile.peek(1)
            finally:
                self.connection.settimeout(self.server.socket_timeout)
        except (OSError, ValueError):
            # The connection is closed.
            return b""

    def _read_request_line(self):
        if self._idle_timeout_s is not None:
            # Also the time that responses announce in `Keep-Alive`.
            self.server.keepalive = self._idle_timeout_s()
        if self._requests_ahead:
            self._current_ahead = self._requests_ahead.popleft()
            return self._current_ahead.lines[0]
        try:
            line = self._read_line_before_timeout()
            if line in _EMPTY_LINES:
                # Some clients end a body with a line break that is not part of it.
                line = self._read_line_before_timeout()
        except TimeoutError:
            self._end_cause = EndCause.IDLE
            return b""
        if self.conn_state[2] == wsgi.STATE_CLOSE and not self._outlives_server:
            # The connection has been shut down, so the response would be lost.
            self._end_cause = EndCause.STOPPED
            return b""
        self._end_cause = EndCause.INVALID if line else EndCause.CALLER_CLOSED
        return line

    def _read_line_before_timeout(self):
        unreceived_bytes = math.inf
        while True:
            try:
                return super()._read_request_line()
            except TimeoutError:
                left_bytes = unacknowledged_bytes(self.connection)
                # The caller is not idle while it receives the last response, nor in
                # the period in which it received the rest. After a standstill of the
                # process, the hub fires its timers before it looks for bytes that
                # have arrived.
                is_receiving = left_bytes > 0 or unreceived_bytes < math.inf
                is_idle = not (
                    is_receiving and left_bytes < unreceived_bytes
                ) and not is_readable(self.connection.fileno())
                if is_idle or self._unread_bytes():
                    raise
            unreceived_bytes = left_bytes
            # The stream refuses to be read after a timeout.
            self.rfile = self.connection.makefile("rb", self.rbufsize)

    def parse_request(self) -> bool:
        """Parse the request head that begins with ``raw_requestline``.

        Returns
        -------
        bool
            False if the head is invalid or incomplete; an invalid head has been
            answered with an error.
        """
        self.command = ""
        self.request_version = "HTTP/1.1"
        self.requestline = self.raw_requestline.decode("latin-1").rstrip("\r\n")
        # Close the connection after answering an invalid head.
        self.close_connection = True
        lines = self._read_lines()
        head = _RequestHead()
        try:
            head.parse(b"".join(lines))
        except HttpParserError:
            self.send_error(400, "Bad Request")
            return False
        if lines[-1] == b"" or not head.target:
            # The connection was closed before the head was complete.
            return False
        if head.has_unsupported_coding:
            self.send_error(501, "Not Implemented")
            return False
        self._take(head)
        self.close_connection = not head.keeps_connection
        if (
            self.request_version == "HTTP/1.1"
            and head.headers.get("Expect", "").lower() == "100-continue"
        ):
            return self.handle_expect_100()
        return True

    def get_environ(self):
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        body = environ["wsgi.input"]
        environ["wsgi.input"] = environ["eventlet.input"] = _RequestBody(
            _BodyStream(self.rfile) if body.chunked_input else self.rfile,
            body.content_length,
            self.connection,
            wfile=body.wfile,
            wfile_line=body.wfile_line,
            chunked_input=body.chunked_input,
        )
        return environ

    def _read_lines(self) -> list[bytes]:
        """Return the lines of the head.

        Unlike eventlet's limit of 8 KiB for a line, only that of the head applies.
        """
        if self._current_ahead is not None:
            return self._current_ahead.lines
        lines = [self.raw_requestline]
        left = MAX_HEAD_BYTES - len(self.raw_requestline)
        while lines[-1] not in _HEAD_TERMINATORS:
            lines.append(self.rfile.fp.readline(left + 1))
            left -= len(lines[-1])
            if left < 0:
                raise wsgi.HeadersTooLarge
        return lines
