"""HTTP connections to the local upstream.

The connections are urllib3's, but they are pooled here: urllib3's pool takes more than
half of the added latency allowed per call.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException, IncompleteRead

from eventlet import Timeout
from eventlet.green import socket
from urllib3.connection import HTTPConnection

from verbenawick.calls._http_messages import HOP_BY_HOP_HEADERS, idle_time_s
from verbenawick.errors import (
    BadCallError,
    BadResponseError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
)
from verbenawick.links._call_messages import Headers
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._concurrent_send import sending
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.runtime._polling import is_readable
from verbenawick.runtime._strict_response import StrictResponse

NOT_RUN_HEADER = "upstream-not-run"

# Connecting normally takes about 1 ms. An upstream that accepts no connection within
# this time counts as unreachable.
CONNECT_TIMEOUT_S = 1.0
# Least timeout, also close to the deadline, since a busy process is late itself.
MIN_CONNECT_TIMEOUT_S = 0.05
# Time before the deadline at which an attempt to connect ends, so that the entry gets
# the refusal before it gives up.
REFUSAL_MARGIN_S = 0.05

# Limit on the lines of a response: its head, interim responses, chunk sizes and
# trailers. Each byte of the body allows `MAX_FRAMING_RATIO` bytes more.
MAX_HEAD_BYTES = 128 * 1024
MAX_FRAMING_RATIO = 8

CONNECTIONS_OPENED = register_metric(
    "upstream.connections_opened",
    MetricKind.COUNTER,
    "connections",
    "Connections opened to the own upstream",
)
CONNECTIONS_DISCARDED = register_metric(
    "upstream.connections_discarded",
    MetricKind.COUNTER,
    "connections",
    "Connections closed because a response was not read whole",
)


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of the upstream."""

    status: int
    headers: Headers
    body: bytes


class _ResponseStream:
    """Stream of a response, of which each line has to be whole.

    `http.client` takes the end of the stream for the end of a head, of a chunk size or
    of the trailers, and limits none of them as a whole.

    Parameters
    ----------
    stream : file object
        Stream to read from.
    """

    def __init__(self, stream):
        self._stream = stream
        self._line_bytes_left = MAX_HEAD_BYTES

    def readline(self, limit: int) -> bytes:
        """Return the next line, with its line break unless it is longer than `limit`.

        Raises
        ------
        IncompleteRead
            The stream ended before the line did.
        HTTPException
            The lines of the response exceed their limit.
        """
        line = self._stream.readline(limit)
        if not line.endswith(b"\n") and len(line) < limit:
            raise IncompleteRead(line)
        self._line_bytes_left -= len(line)
        if self._line_bytes_left < 0:
            raise HTTPException(
                f"head, trailers or chunk sizes exceed {MAX_HEAD_BYTES} bytes"
            )
        return line

    def read(self, size: int = -1) -> bytes:
        """Return at most `size` bytes of the body."""
        data = self._stream.read(size)
        self._line_bytes_left += MAX_FRAMING_RATIO * len(data)
        return data

    def flush(self) -> None:
        """Do nothing; the response is only read."""

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


class _Connection(HTTPConnection):
    """urllib3 connection on an eventlet socket, without monkey patching."""

    idle_until = 0.0
    connect_timeout_s = CONNECT_TIMEOUT_S
    response: StrictResponse | None = None

    def _new_conn(self):
        sock = socket.create_connection((self.host, self.port), self.connect_timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # No timeout per read: the deadline of the call limits the whole exchange.
        sock.settimeout(None)
        return sock

    def close(self) -> None:
        """Close the socket and the response, which also holds the file descriptor."""
        super().close()
        if self.response is not None:
            self.response.close()


class UpstreamConnections:
    """Pool of connections to one upstream, reused after a completely read response.

    A connection is not reused after a refusal: responses have no request id, so if a
    faulty upstream repeated the refusal, it would be taken for the response to the next
    request.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the upstream.
    max_connections : int
        Maximum number of open connections, including idle ones.
    """

    def __init__(
        self,
        address: str,
        *,
        max_connections: int,
        clock: Clock,
        metrics: MetricSet,
    ):
        host, _, port = address.rpartition(":")
        self._address = address
        self._host = host
        self._port = int(port)
        self._max_connections = max_connections
        self._clock = clock
        self._metrics = metrics
        self._idle: deque[_Connection] = deque()
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return self._open_count

    def exchange(
        self,
        *,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        deadline: float,
        max_body_bytes: int,
        before_send: Callable[[], None] | None = None,
    ) -> UpstreamResponse:
        """Send a request and return the complete response.

        Parameters
        ----------
        before_send : callable
            Called immediately before the request is written. If it raises an exception,
            the exception is propagated and nothing is sent.

        Raises
        ------
        UpstreamUnreachableError, DeadlineUnreachableError
            Nothing was sent.
        UpstreamShedError
            The upstream answered that it did not run the request.
        CallTimeoutError, UpstreamLostError, BadResponseError
            The request was sent; it may have run.
        """
        # Head and body at once, while http.client writes them separately and encodes
        # each header individually.
        data = _encode_head(method, target, headers, body) + body
        connection = self._acquire(deadline)
        is_reusable = False
        try:
            if before_send is not None:
                before_send()
            with Timeout(max(deadline - self._clock.now(), 0.0), _DeadlineExceeded()):
                with sending(connection.sock, data) as request:
                    response = self._read_head(connection, method)
                    upstream_response = self._read_response(response, max_body_bytes)
            is_refusal = _is_refusal(response)
            is_reusable = (
                request.is_complete and _keeps_connection(response) and not is_refusal
            )
        except _DeadlineExceeded:
            raise CallTimeoutError(
                "deadline passed while the upstream ran the request",
                step="upstream.exchange",
                peer=self._address,
            ) from None
        except (OSError, IncompleteRead) as error:
            raise UpstreamLostError(
                f"connection closed before the response was complete: {error!r}",
                step="upstream.exchange",
                peer=self._address,
            ) from error
        except HTTPException as error:
            raise BadResponseError(
                str(error) or type(error).__name__,
                step="upstream.exchange",
                peer=self._address,
            ) from error
        finally:
            # Also reached on cancellation (GreenletExit): an unread response must never
            # be mistaken for the response to a later request.
            self._release(connection, is_reusable=is_reusable)
        if is_refusal:
            raise UpstreamShedError(
                "upstream did not run the request",
                step="upstream.exchange",
                peer=self._address,
            )
        return upstream_response

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.popleft())

    def _read_head(self, connection: _Connection, method: str) -> StrictResponse:
        # http.client's response raises on a short body. urllib3's wrapper would only
        # add content decoding, which a proxy must not do.
        response = StrictResponse(connection.sock, method=method)
        response.fp = _ResponseStream(response.fp)
        connection.response = response
        response.begin()
        if response.status < 200:
            raise HTTPException(f"unexpected interim response {response.status}")
        return response

    def _read_response(
        self, response: StrictResponse, max_body_bytes: int
    ) -> UpstreamResponse:
        if response.length is None and not response.chunked:
            raise HTTPException(
                "response has neither a Content-Length nor a chunked body"
            )
        if (response.length or 0) > max_body_bytes:
            raise HTTPException(f"response body exceeds {max_body_bytes} bytes")
        if response.chunked:
            body = _read_chunks(response, max_body_bytes)
        else:
            body = response.read()
        # The length of a chunked body is that of its chunks, so a Content-Length header
        # beside them is dropped.
        dropped = (
            HOP_BY_HOP_HEADERS | {"content-length"}
            if response.chunked
            else HOP_BY_HOP_HEADERS
        )
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in dropped
        )
        return UpstreamResponse(response.status, headers, body)

    def _acquire(self, deadline: float) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            self._discard(connection)
        self._check_deadline(deadline)
        if self._open_count >= self._max_connections:
            raise UpstreamUnreachableError(
                f"all {self._max_connections} connections are in use",
                step="upstream.connect",
                peer=self._address,
            )
        left_s = deadline - REFUSAL_MARGIN_S - self._clock.now()
        connection = self._open(
            timeout_s=min(max(left_s, MIN_CONNECT_TIMEOUT_S), CONNECT_TIMEOUT_S)
        )
        try:
            # Another green thread can delay this one past the deadline.
            self._check_deadline(deadline)
        except DeadlineUnreachableError:
            self._discard(connection)
            raise
        return connection

    def _check_deadline(self, deadline: float) -> None:
        if deadline <= self._clock.now():
            raise DeadlineUnreachableError(
                "deadline passed before the request was sent",
                step="upstream.connect",
                peer=self._address,
            )

    def _open(self, *, timeout_s: float) -> _Connection:
        connection = _Connection(self._host, self._port)
        connection.connect_timeout_s = timeout_s
        self._open_count += 1
        try:
            connection.connect()
        except BaseException as error:
            self._discard(connection)
            if isinstance(error, OSError):
                raise UpstreamUnreachableError(
                    f"cannot connect: {error}",
                    step="upstream.connect",
                    peer=self._address,
                ) from error
            raise
        self._metrics.count(CONNECTIONS_OPENED)
        return connection

    def _is_usable(self, connection: _Connection) -> bool:
        if self._clock.now() >= connection.idle_until:
            return False
        # An idle connection is readable if the upstream closed it or sent bytes that
        # belong to no request.
        return not is_readable(connection.sock.fileno())

    def _release(self, connection: _Connection, *, is_reusable: bool) -> None:
        if not is_reusable:
            self._metrics.count(CONNECTIONS_DISCARDED)
            self._discard(connection)
            return
        keep_alive = connection.response.headers.get_all("Keep-Alive", ())
        connection.idle_until = self._clock.now() + idle_time_s(keep_alive)
        self._idle.append(connection)

    def _discard(self, connection: _Connection) -> None:
        self._open_count -= 1
        connection.close()


class _DeadlineExceeded(Exception):
    """Raised by the timer of an exchange when the deadline passes."""


def _is_refusal(response: StrictResponse) -> bool:
    return response.status == 503 and response.getheader(NOT_RUN_HEADER) == "1"


def _keeps_connection(response: StrictResponse) -> bool:
    """Return whether the upstream keeps the connection open after `response`.

    `will_close` considers only the first of several ``Connection`` fields, and none in
    HTTP/1.0 beside a ``Keep-Alive`` field.
    """
    fields = response.headers.get_all("Connection", ())
    options = {option.strip().lower() for option in ",".join(fields).split(",")}
    if response.will_close or "close" in options:
        return False
    return response.version > 10 or "keep-alive" in options


def _encode_head(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines)
    # A line break inside a value would end the head early and allow request smuggling.
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise BadCallError("a header contains a line break", step="upstream.send")
    return f"{head}\r\n\r\n".encode("latin-1")


def _read_chunks(response: StrictResponse, max_body_bytes: int) -> bytes:
    parts = []
    size = 0
    # `read` with a size raises IncompleteRead if a chunked body is truncated.
    while data := response.read(65536):
        size += len(data)
        if size > max_body_bytes:
            raise HTTPException(f"response body exceeds {max_body_bytes} bytes")
        parts.append(data)
    return b"".join(parts)
