"""Pool of persistent HTTP connections ("channels") to the local upstream.

A channel is reused only after a complete answer that names its request was read and no
bytes followed it. Unsolicited bytes, such as a duplicate answer, are detected by the
parser or by the request id in the answer, and are never forwarded.

A faulty upstream may repeat an earlier answer at any time. A repeated answer with a
request id is recognised, since no channel carries the same request twice. After an
answer without one, such as some refusals, the channel is closed, so that its repetition
cannot be taken for the answer to a later request.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from eventlet import Timeout
from eventlet.green import socket
from httptools import HttpParserError, HttpResponseParser

from verbenawick.calls._http_messages import idle_time_s, is_status
from verbenawick.errors import (
    BadCallError,
    BadResponseError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamUnreachableError,
)
from verbenawick.links._call_messages import MAX_MESSAGE_BODY_BYTES
from verbenawick.mesh._model import Headers
from verbenawick.mesh._slot_queue import REFUSAL_MARGIN_S
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._concurrent_send import ConcurrentSend, sending
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.runtime._polling import is_readable
from verbenawick.runtime._read_waiter import ReadWaiter

# Larger receive buffers are returned to the operating system after each read.
RECEIVE_BUFFER_BYTES = 32_768
# Connecting takes about 1 ms, since the upstream is on the same VM.
CONNECT_TIMEOUT_S = 1.0
# Least timeout, also close to the deadline, since a busy process is late itself.
MIN_CONNECT_TIMEOUT_S = 0.05
# Limits on what one exchange may receive, so that no upstream can fill the memory. A
# body has to fit into a message between nodes.
MAX_BODY_BYTES = MAX_MESSAGE_BODY_BYTES
# Bodies being received on all channels together.
MAX_BUFFERED_BYTES = 4 * MAX_BODY_BYTES
# Received part of a body up to which it is not rejected for the size of the others.
SMALL_BODY_BYTES = 64 * 1024
# Heads, interim responses and trailers.
MAX_HEAD_BYTES = 128 * 1024
MAX_HEADER_FIELDS = 256
# Chunk sizes and extensions, in bytes per byte of body.
MAX_FRAMING_RATIO = 8
# Answers to other requests that are skipped while waiting for the matching one.
MAX_SKIPPED_ANSWERS = 8
# Requests after which a channel is closed, which bounds the ids kept for it.
MAX_REQUESTS_PER_CHANNEL = 1000

CHANNELS_OPENED = register_metric(
    "mesh.upstream_channels_opened",
    MetricKind.COUNTER,
    "channels",
    "Channels opened to the own upstream",
)
ANSWERS_SKIPPED = register_metric(
    "mesh.upstream_answers_skipped",
    MetricKind.COUNTER,
    "answers",
    "Answers of the own upstream that belong to another request",
)


_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class AnswerKind(StrEnum):
    """Relation of an answer from the upstream to the request that was sent."""

    MATCHING = "own"  # the answer to this request
    MISMATCHED = "foreign"  # the answer to another request
    NOT_RUN = "not-run"  # the upstream states that it did not run this request
    OTHER_UPSTREAM = "other-upstream"  # the address has a new upstream; not run


@dataclass(slots=True)
class RawAnswer:
    """An unprocessed answer from the upstream."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    has_length: bool = False
    keeps_channel: bool = False

    def header(self, name: str) -> str | None:
        """Return the value of the header with a given lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclass(slots=True)
class _BufferedBytes:
    """Bytes of the bodies being received on all channels of an upstream."""

    total: int = 0


class _AnswerReader:
    """Parses the answers received on one channel; implements the parser callbacks.

    The parser's callbacks raise `ValueError` beyond a limit.
    """

    def __init__(self, buffered: _BufferedBytes):
        self.complete: deque[RawAnswer] = deque()
        self.current: RawAnswer | None = None
        self._buffered = buffered
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped = 0
        self._parser = HttpResponseParser(self)

    def start_exchange(self) -> None:
        """Reset the counts that are limited for each exchange."""
        self._received_bytes = self._skipped = 0
        self.free_body()

    def free_body(self) -> None:
        """Subtract the bodies of this channel from the bytes of all channels."""
        self._buffered.total -= self._body_bytes
        self._body_bytes = 0

    def close(self) -> None:
        """Free what was received; the reader and its parser refer to each other."""
        self.free_body()
        self.complete.clear()
        self.current = self._parser = None

    def skip(self) -> None:
        """Count an answer that was taken from `complete` and belongs elsewhere."""
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_ANSWERS:
            raise ValueError(
                f"more than {MAX_SKIPPED_ANSWERS} answers to other requests"
            )

    def feed(self, data: bytes) -> None:
        self._received_bytes += len(data)
        self._parser.feed_data(data)
        overhead = self._received_bytes - self._body_bytes
        if overhead > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self._body_bytes:
            raise ValueError(
                f"head, trailers or chunk extensions exceed {MAX_HEAD_BYTES} bytes"
            )

    def end(self) -> None:
        """Handle end of stream, which completes an answer without a declared length."""
        answer = self.current
        if answer is not None and answer.status and not answer.has_length:
            answer.is_complete = True
            answer.keeps_channel = False
            self.complete.append(answer)
            self.current = None

    def on_message_begin(self) -> None:
        self.current = RawAnswer()

    def on_header(self, name: bytes, value: bytes) -> None:
        answer = self.current
        if answer.status:
            # A trailer; its sender may not know the headers it would replace.
            return
        if len(answer.headers) >= MAX_HEADER_FIELDS:
            raise ValueError(f"more than {MAX_HEADER_FIELDS} header fields")
        answer.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        answer = self.current
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in answer.headers}
        if not is_status(status):
            version = self._parser.get_http_version()
            raise ValueError(f"'HTTP/{version} {status:03}' is no status of an answer")
        if status < 200 and not names.isdisjoint(_FRAMING_HEADERS):
            raise ValueError(f"interim answer {status} with the length of a body")
        answer.status = status
        answer.keeps_channel = self._parser.should_keep_alive()
        answer.has_length = (
            not names.isdisjoint(_FRAMING_HEADERS)
            or answer.status in (204, 304)
            or answer.status < 200
        )

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._buffered.total += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise ValueError(f"answer body exceeds {MAX_BODY_BYTES} bytes")
        if (
            self._buffered.total > MAX_BUFFERED_BYTES
            and self._body_bytes > SMALL_BODY_BYTES
        ):
            raise ValueError(
                f"bodies on all channels exceed {MAX_BUFFERED_BYTES} bytes"
            )
        self.current.body += data

    def on_message_complete(self) -> None:
        answer, self.current = self.current, None
        if answer.status >= 200:
            answer.is_complete = True
            self.complete.append(answer)


class _Channel:
    def __init__(self, sock, generation: int, buffered: _BufferedBytes):
        self.sock = sock
        self.generation = generation
        self.waiter = ReadWaiter(sock.fileno())
        self.reader = _AnswerReader(buffered)
        self.request_ids: set[str] = set()
        self.idle_until = 0.0

    def receive(self) -> bytes:
        """Return the next received bytes; empty at end of stream."""
        while True:
            self.waiter.wait()
            try:
                return self.sock.fd.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                continue

    def close(self) -> None:
        self.waiter.close()
        self.sock.close()
        self.reader.close()


class HeldChannel:
    """A channel without a request, taken from those of `UpstreamChannels`."""

    def __init__(self, channel: _Channel, discard: Callable[[_Channel], None]):
        self._channel = channel
        self._discard = discard

    @property
    def is_silent(self) -> bool:
        """Return whether the channel is open and nothing arrived on it."""
        return not is_readable(self._channel.sock.fileno())

    def close(self) -> None:
        """Close the channel; call it once."""
        self._discard(self._channel)


class UpstreamChannels:
    """Channels to one upstream, at most `max_channels` of them open.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the upstream.
    id_header : str
        Lower-case name of the header in which an answer repeats the id of its request.
    """

    def __init__(
        self,
        address: str,
        *,
        max_channels: int,
        id_header: str,
        clock: Clock,
        metrics: MetricSet,
    ):
        self._set_target(address)
        self._id_header = id_header
        self._buffered = _BufferedBytes()
        self.max_channels = max_channels
        self._clock = clock
        self._metrics = metrics
        self._idle: deque[_Channel] = deque()
        self._open_count = 0
        # Incremented on each change of address; channels of older generations are not
        # reused.
        self._generation = 0

    @property
    def address(self) -> str:
        """Return the address of the upstream, ``"ip:port"``."""
        return self._address

    @property
    def open_count(self) -> int:
        """Return the number of open channels."""
        return self._open_count

    def exchange(
        self,
        *,
        request_id: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        deadline: float,
        classify: Callable[[RawAnswer], AnswerKind],
        before_send: Callable[[], None] = lambda: None,
    ) -> tuple[AnswerKind, RawAnswer]:
        """Send a request and return its complete answer.

        Parameters
        ----------
        request_id : str
            Id that the upstream repeats in its answer; empty for a request without one,
            whose channel is not reused.
        classify : callable
            Returns the `AnswerKind` of an answer in relation to this request.
        before_send : callable
            Called immediately before the first byte is written. If it raises, nothing
            is sent.

        Raises
        ------
        UpstreamUnreachableError, DeadlineUnreachableError, BadCallError
            Nothing was sent.
        CallTimeoutError, UpstreamLostError, BadResponseError
            The request was sent; it may have run.
        """
        data = _encode_request(method, target, headers, body)
        channel = self._acquire(request_id, deadline)
        is_reusable = False
        try:
            before_send()
            with Timeout(max(deadline - self._clock.now(), 0.0), _DeadlinePassed()):
                with sending(channel.sock, data) as request:
                    kind, answer = self._read_matching(channel, classify, request)
            is_reusable = request.is_complete and self._is_reusable(
                channel, answer, request_id
            )
        except _DeadlinePassed:
            raise CallTimeoutError(
                "deadline passed while the upstream ran the request",
                step="upstream.exchange",
                peer=self._address,
            ) from None
        except OSError as error:
            raise UpstreamLostError(
                f"channel ended before the answer was whole: {error!r}",
                step="upstream.exchange",
                peer=self._address,
            ) from error
        except (HttpParserError, ValueError) as error:
            raise BadResponseError(
                _reason_of(error),
                step="upstream.exchange",
                peer=self._address,
            ) from error
        finally:
            # Also reached on cancellation (GreenletExit): a channel with an unread
            # answer must not be reused.
            self._release(channel, answer if is_reusable else None)
        return kind, answer

    def hold(self, *, timeout_s: float) -> HeldChannel | None:
        """Return a channel that carries no request, None if none can be opened."""
        channel = self._take_idle("")
        if channel is None and self._open_count < self.max_channels:
            try:
                channel = self._open(timeout_s=timeout_s)
            except UpstreamUnreachableError:
                return None
        return channel and HeldChannel(channel, self._discard)

    def is_reachable(self) -> bool:
        """Return whether the upstream accepts a new connection now."""
        try:
            socket.create_connection(self._target, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def refuses_connections(self, *, timeout_s: float) -> bool:
        """Return whether nothing listens at the upstream's address.

        An upstream that does not answer within `timeout_s` may still be running.
        """
        try:
            socket.create_connection(self._target, max(timeout_s, 0.001)).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def change_address(self, address: str) -> None:
        """Connect to `address` from now on; exchanges in progress complete."""
        self._set_target(address)
        self._generation += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close the channels that are not in use."""
        while self._idle:
            self._discard(self._idle.popleft())

    def _set_target(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = address
        self._target = (host, int(port))

    def _read_matching(
        self, channel: _Channel, classify, request: ConcurrentSend
    ) -> tuple[AnswerKind, RawAnswer]:
        reader = channel.reader
        while True:
            while reader.complete:
                answer = reader.complete.popleft()
                kind = classify(answer)
                if kind is not AnswerKind.MISMATCHED:
                    return kind, answer
                self._metrics.count(ANSWERS_SKIPPED)
                reader.skip()
            data = channel.receive()
            if not data:
                if request.error is not None:
                    # The stored error would form a reference cycle with its traceback.
                    raise OSError(*request.error.args)
                reader.end()
                if not reader.complete:
                    raise ConnectionResetError("upstream closed the channel")
                continue
            try:
                reader.feed(data)
            except HttpParserError:
                # Bytes after a complete answer belong to no request and need not parse.
                if not reader.complete:
                    raise
                reader.current = RawAnswer()

    def _is_reusable(
        self, channel: _Channel, answer: RawAnswer, request_id: str
    ) -> bool:
        return (
            answer.keeps_channel
            and not _has_unread_data(channel.reader)
            and bool(request_id)
            and answer.header(self._id_header) == request_id
            and len(channel.request_ids) < MAX_REQUESTS_PER_CHANNEL
        )

    def _acquire(self, request_id: str, deadline: float) -> _Channel:
        self._check_deadline(deadline)
        channel = self._take_idle(request_id)
        if channel is not None:
            return self._start(channel, request_id)
        if self._open_count >= self.max_channels:
            raise UpstreamUnreachableError(
                f"all {self.max_channels} channels are in use",
                step="upstream.connect",
                peer=self._address,
            )
        left_s = deadline - REFUSAL_MARGIN_S - self._clock.now()
        channel = self._open(
            timeout_s=min(max(left_s, MIN_CONNECT_TIMEOUT_S), CONNECT_TIMEOUT_S)
        )
        try:
            # Another green thread can delay this one past the deadline.
            self._check_deadline(deadline)
        except DeadlineUnreachableError:
            self._discard(channel)
            raise
        return self._start(channel, request_id)

    def _take_idle(self, request_id: str) -> _Channel | None:
        """Return an idle channel fit for a request; close those that are not."""
        now = self._clock.now()
        while self._idle:
            channel = self._idle.pop()
            # Readable while idle: closed by the upstream, or unsolicited bytes. A
            # repetition of the answer to an earlier request with the same id could not
            # be told from the answer to this one.
            if (
                now < channel.idle_until
                and request_id not in channel.request_ids
                and not is_readable(channel.sock.fileno())
            ):
                return channel
            self._discard(channel)
        return None

    def _check_deadline(self, deadline: float) -> None:
        if deadline <= self._clock.now():
            raise DeadlineUnreachableError(
                "deadline passed before the request was sent",
                step="upstream.connect",
                peer=self._address,
            )

    def _start(self, channel: _Channel, request_id: str) -> _Channel:
        channel.request_ids.add(request_id)
        channel.reader.start_exchange()
        return channel

    def _open(self, *, timeout_s: float) -> _Channel:
        self._open_count += 1
        # The address may change while the channel is being opened.
        generation = self._generation
        try:
            sock = socket.create_connection(self._target, timeout_s)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException as error:
            self._open_count -= 1
            if isinstance(error, OSError):
                raise UpstreamUnreachableError(
                    f"cannot connect: {error}",
                    step="upstream.connect",
                    peer=self._address,
                ) from error
            raise
        self._metrics.count(CHANNELS_OPENED)
        return _Channel(sock, generation, self._buffered)

    def _release(self, channel: _Channel, answer: RawAnswer | None) -> None:
        channel.reader.free_body()
        if answer is None or channel.generation != self._generation:
            self._discard(channel)
            return
        channel.idle_until = self._clock.now() + idle_time_s(
            value for name, value in answer.headers if name.lower() == "keep-alive"
        )
        self._idle.append(channel)

    def _discard(self, channel: _Channel) -> None:
        self._open_count -= 1
        channel.close()


class _DeadlinePassed(Exception):
    """Raised by the timer of an exchange."""


def _reason_of(error: Exception) -> str:
    """Return why an answer is invalid; the parser wraps the errors of its callbacks.

    A caller that kept the error in a variable would form a reference cycle with its
    traceback, which keeps the answer until the next garbage collection.
    """
    reason = error.__context__ or error
    return str(reason) or type(reason).__name__


def _has_unread_data(reader: _AnswerReader) -> bool:
    return bool(reader.complete) or reader.current is not None


def _encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines)
    # A line break in a value would end the request early and allow request smuggling.
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise BadCallError("a header contains a line break", step="upstream.send")
    return f"{head}\r\n\r\n".encode("latin-1") + body
