"""Pool of persistent HTTP connections ("channels") to the local upstream.

A channel is reused only after a complete answer was read and no bytes followed it.
Unsolicited bytes, such as a duplicate answer, are detected by the parser or by the
request id in the answer, and are never forwarded.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from eventlet import Timeout
from eventlet.green import socket
from httptools import HttpParserError, HttpResponseParser

from verbenawick.errors import (
    BadCallError,
    BadResponseError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamUnreachableError,
)
from verbenawick.mesh._model import Headers
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.runtime._polling import is_readable
from verbenawick.runtime._read_waiter import ReadWaiter

# Larger receive buffers are returned to the operating system after each read.
RECEIVE_BUFFER_BYTES = 32_768
# Connecting takes about 1 ms, since the upstream is on the same VM.
CONNECT_TIMEOUT_S = 1.0
# Idle time after which a channel is not reused, unless the upstream announces a shorter
# keep-alive timeout. Common servers close idle connections after 5 s or more.
MAX_IDLE_S = 4.0
# Subtracted from the announced keep-alive timeout, to allow for the transit time of the
# request.
IDLE_MARGIN_S = 0.5
MAX_ANSWER_BYTES = 64 * 1024 * 1024

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


class _AnswerReader:
    """Parses the answers received on one channel; implements the parser callbacks."""

    def __init__(self):
        self.complete: deque[RawAnswer] = deque()
        self.current: RawAnswer | None = None
        self._parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

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
        self.current.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        answer = self.current
        answer.status = self._parser.get_status_code()
        answer.keeps_channel = self._parser.should_keep_alive()
        names = {name.lower() for name, _ in answer.headers}
        answer.has_length = (
            "content-length" in names
            or "transfer-encoding" in names
            or answer.status in (204, 304)
            or answer.status < 200
        )

    def on_body(self, data: bytes) -> None:
        self.current.body += data
        if len(self.current.body) > MAX_ANSWER_BYTES:
            raise ValueError("answer body exceeds the size limit")

    def on_message_complete(self) -> None:
        answer, self.current = self.current, None
        if answer.status >= 200:
            answer.is_complete = True
            self.complete.append(answer)


class _Channel:
    def __init__(self, sock, generation: int):
        self.sock = sock
        self.generation = generation
        self.waiter = ReadWaiter(sock.fileno())
        self.reader = _AnswerReader()
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


class UpstreamChannels:
    """Channels to one upstream, at most `max_channels` of them open.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the upstream.
    """

    def __init__(
        self, address: str, *, max_channels: int, clock: Clock, metrics: MetricSet
    ):
        self._set_target(address)
        self.max_channels = max_channels
        self._clock = clock
        self._metrics = metrics
        self._idle: deque[_Channel] = deque()
        self._open_count = 0
        # Incremented on each change of address; channels of older generations are not
        # reused.
        self._generation = 0

    @property
    def open_count(self) -> int:
        """Return the number of open channels."""
        return self._open_count

    def exchange(
        self,
        *,
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
        channel = self._acquire(deadline)
        is_reusable = False
        try:
            before_send()
            with Timeout(max(deadline - self._clock.now(), 0.0), _DeadlinePassed()):
                channel.sock.sendall(data)
                kind, answer = self._read_matching(channel, classify)
            is_reusable = answer.keeps_channel and not _has_unread_data(channel.reader)
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
                str(error) or type(error).__name__,
                step="upstream.exchange",
                peer=self._address,
            ) from error
        finally:
            # Also reached on cancellation (GreenletExit): a channel with an unread
            # answer must not be reused.
            self._release(channel, answer if is_reusable else None)
        return kind, answer

    def is_reachable(self) -> bool:
        """Return whether the upstream accepts a new connection now."""
        try:
            socket.create_connection(self._target, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

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
        self, channel: _Channel, classify
    ) -> tuple[AnswerKind, RawAnswer]:
        reader = channel.reader
        while True:
            while reader.complete:
                answer = reader.complete.popleft()
                kind = classify(answer)
                if kind is not AnswerKind.MISMATCHED:
                    return kind, answer
                self._metrics.count(ANSWERS_SKIPPED)
            data = channel.receive()
            if not data:
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

    def _acquire(self, deadline: float) -> _Channel:
        now = self._clock.now()
        if deadline <= now:
            raise DeadlineUnreachableError(
                "deadline passed before the request was sent",
                step="upstream.connect",
                peer=self._address,
            )
        while self._idle:
            channel = self._idle.pop()
            # Readable while idle: closed by the upstream, or unsolicited bytes.
            if now < channel.idle_until and not is_readable(channel.sock.fileno()):
                return channel
            self._discard(channel)
        if self._open_count >= self.max_channels:
            raise UpstreamUnreachableError(
                f"all {self.max_channels} channels are in use",
                step="upstream.connect",
                peer=self._address,
            )
        return self._open()

    def _open(self) -> _Channel:
        self._open_count += 1
        try:
            sock = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
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
        return _Channel(sock, self._generation)

    def _release(self, channel: _Channel, answer: RawAnswer | None) -> None:
        if answer is None or channel.generation != self._generation:
            self._discard(channel)
            return
        channel.idle_until = self._clock.now() + _idle_time_s(answer)
        self._idle.append(channel)

    def _discard(self, channel: _Channel) -> None:
        self._open_count -= 1
        channel.close()


class _DeadlinePassed(Exception):
    """Raised by the timer of an exchange."""


def _has_unread_data(reader: _AnswerReader) -> bool:
    return bool(reader.complete) or reader.current is not None


def _idle_time_s(answer: RawAnswer) -> float:
    """Return how long a channel may stay idle after `answer` and still be reused."""
    for part in (answer.header("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(int(value) - IDLE_MARGIN_S, MAX_IDLE_S)
    return MAX_IDLE_S


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
