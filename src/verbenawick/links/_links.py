"""Websocket links between nodes.

A link owns its socket. Its reader green thread decodes messages and passes them to a
handler; `Link.post` sends without blocking. The links use the sans-I/O layer of
`websockets`, which takes 25 microseconds per round trip under eventlet; its threaded
client takes 90.
"""

import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, fields
from typing import Protocol

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.extensions.permessage_deflate import (
    ClientPerMessageDeflateFactory,
    ServerPerMessageDeflateFactory,
)
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from verbenawick.errors import LinkClosedError, LinkOverflowError, ProtocolError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._messages import (
    MAX_MESSAGE_BYTES,
    Message,
    decode_message,
    encode_message,
)
from verbenawick.runtime._clock import Clock, MonotonicClock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._read_waiter import ReadWaiter
from verbenawick.runtime._sockets import accept, listen, unacknowledged_bytes

CONTROL_CHANNEL = "/control"
CALL_CHANNEL = "/calls"

IDENTITY_HEADER = "Verbenawick-Identity"
# Time on the clock of the dialling node at which it sends the handshake, in seconds.
CLOCK_HEADER = "Verbenawick-Clock"

# The allocator returns larger buffers to the operating system after each read.
RECEIVE_BUFFER_BYTES = 32_768
MAX_QUEUED_BYTES = 32 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 5.0
PING_INTERVAL_S = 2.0
# A peer that sends nothing for this many ping intervals is frozen or unreachable.
PING_TIMEOUT_INTERVALS = 3
# Compression window in bits. Messages repeat header, service and route names of the
# last message, which fits into a window of 1 KiB. With these settings each
# direction of a link uses about 18 KB of memory instead of 300 KB with the defaults.
COMPRESSION_WINDOW_BITS = 10
COMPRESSION_SETTINGS = {"memLevel": 3, "level": 3}


@register_event(101, level="WARNING")
@dataclass(frozen=True, slots=True)
class LinkRefused(Event):
    """A peer sent invalid data; its connection was closed."""

    peer: str
    reason: str


@register_event(102, level="DEBUG")
@dataclass(frozen=True, slots=True)
class LinkOpened(Event):
    """A link to a peer was opened."""

    peer: str
    channel: str


@register_event(103, level="DEBUG")
@dataclass(frozen=True, slots=True)
class LinkClosed(Event):
    """A link to a peer was closed."""

    peer: str
    channel: str
    reason: str


class LinkHandler(Protocol):
    """Callbacks for link events, called from the green threads of the links."""

    def on_open(self, link: "Link") -> None:
        """Handle a new link; called after its handshake."""
        ...

    def on_message(self, link: "Link", message: Message) -> None:
        """Handle a decoded message."""
        ...

    def on_close(self, link: "Link") -> None:
        """Handle the end of a link; called exactly once per link."""
        ...


_IDENTITY_FIELDS = tuple(field.name for field in fields(NodeIdentity))


def format_identity(identity: NodeIdentity) -> str:
    """Return the value of the identity header in the handshake."""
    # `astuple` would copy each value deeply.
    return ";".join(str(getattr(identity, name)) for name in _IDENTITY_FIELDS)


def parse_identity(value: str) -> NodeIdentity:
    """Parse the value of an identity header.

    Raises
    ------
    ProtocolError
        The value does not have the six fields of an identity.
    """
    parts = value.split(";")
    if len(parts) != 6 or not parts[0] or not parts[1].isdigit():
        raise ProtocolError("peer sent no valid identity header", step="link.identity")
    return NodeIdentity(parts[0], int(parts[1]), *parts[2:])


class Link:
    """An open websocket connection to one peer.

    Attributes
    ----------
    peer : NodeIdentity
        The node at the other end.
    channel : str
        `CONTROL_CHANNEL` or `CALL_CHANNEL`.
    is_dialled : bool
        Whether this node opened the connection.
    is_silent : bool
        Whether the peer has sent nothing for several ping intervals.
    is_in_use : callable
        Set by the handler; a silent link stays open for as long as it returns True,
        since a paused peer may resume.
    round_trip_s : float
        Last measured round-trip time, 0 before the first measurement.
    bytes_sent, bytes_received : int
        Bytes sent and received on the socket, including websocket framing.
    clock_offset_s : float or None
        Clock of the peer minus the local one, less the transit time of the handshake;
        None on a dialled link and if the peer did not tell its clock.
    """

    def __init__(
        self,
        sock,
        protocol,
        *,
        peer,
        channel,
        is_dialled,
        handler,
        delay_s,
        ping_interval_s=PING_INTERVAL_S,
        clock=None,
        events=(),
    ):
        self._early_events = events
        self._ping_interval_s = ping_interval_s
        self.peer: NodeIdentity = peer
        self.channel: str = channel
        self.is_dialled: bool = is_dialled
        self.round_trip_s = 0.0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.is_open = True
        self.is_silent = False
        self.clock_offset_s: float | None = None
        self.is_in_use: Callable[[], bool] = lambda: False
        self._sock = sock
        self._waiter = ReadWaiter(sock.fileno())
        self._protocol = protocol
        self._handler = handler
        self._delay_s = delay_s
        self._clock: Clock = clock or MonotonicClock()
        self._send_queue: deque[tuple[float, bytes]] = deque()
        self._send_queue_bytes = 0
        self._is_writing = False
        self._is_finishing = False
        self._close_reason = ""
        self._ping_sent_at = 0.0
        self._pings_sent = 0
        self._pongs_received = 0
        self._last_received_at = self._clock.now()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def post(self, message: Message) -> None:
        """Send `message` without blocking.

        Raises
        ------
        LinkClosedError
            The link is closed; the message was not sent.
        LinkOverflowError
            The peer reads too slowly; the send queue is full and the link was closed.
        """
        if not self.is_open or self._is_finishing:
            raise LinkClosedError(
                "link is closed", step="link.post", peer=self.peer.node_id
            )
        self._protocol.send_binary(encode_message(message))
        self._flush()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were posted and that the peer has not acknowledged yet."""
        if not self.is_open:
            return 0
        return self._send_queue_bytes + unacknowledged_bytes(self._sock)

    @property
    def acknowledged_bytes(self) -> int:
        """Bytes that were sent and that the peer has acknowledged."""
        if not self.is_open:
            return self.bytes_sent
        return self.bytes_sent - unacknowledged_bytes(self._sock)

    @property
    def last_received_at(self) -> float:
        """Time on the monotonic clock at which data was last received."""
        return self._last_received_at

    def ping(self) -> int:
        """Send a websocket ping, which the peer answers as long as it runs.

        Returns
        -------
        int
            Number of the ping, for `is_answered`.

        Raises
        ------
        LinkClosedError, LinkOverflowError
            The link is closed, or the peer reads too slowly.
        """
        if self.is_open and self._protocol.state is State.OPEN:
            self._ping_sent_at = self._clock.now()
            self._pings_sent += 1
            self._protocol.send_ping(b"")
            self._flush()
        return self._pings_sent

    def is_answered(self, ping: int) -> bool:
        """Return whether a ping has its pong; see `has_unanswered_ping`."""
        return 0 < ping <= self._pongs_received

    @property
    def has_unanswered_ping(self) -> bool:
        """Whether a ping has no pong yet; pings are answered in order.

        A pong shows that the peer has handled everything sent before the ping.
        """
        return self._pongs_received < self._pings_sent

    def finish(self) -> None:
        """Send what is queued, then close; the peer closes once it has read all.

        Closing at once would discard queued messages, and those that the peer has not
        received yet if it sends anything meanwhile.
        """
        if self._is_finishing or not self.is_open:
            return
        self._is_finishing = True
        self._close_reason = self._close_reason or "closed by this node"
        if not self._is_writing:
            self._end_sending()

    def _on_send_error(self, error: OSError) -> None:
        """Send nothing more, and close once what the peer has sent is received.

        A peer that has closed its end may have sent answers before.
        """
        self._is_finishing = True
        self._close_reason = self._close_reason or str(error)
        self._send_queue.clear()
        self._send_queue_bytes = 0
        # Also lets the peer close if its end is still open.
        self._end_sending()

    def _end_sending(self) -> None:
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, reason: str = "closed by this node") -> None:
        """Close the connection; the reader then calls `LinkHandler.on_close`."""
        if not self.is_open:
            return
        self.is_open = False
        self._close_reason = self._close_reason or reason
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def run(self) -> None:
        """Receive messages until the connection ends; runs in its own green thread."""
        emit(LinkOpened(self.peer.node_id, self.channel))
        pinger = eventlet.spawn(self._ping_periodically)
        try:
            self._handler.on_open(self)
            events, self._early_events = self._early_events, ()
            self._dispatch(events)
            while self.is_open:
                self._read_once()
        except ProtocolError as error:
            emit(LinkRefused(self.peer.node_id, str(error)))
            self._close_reason = str(error)
        except (OSError, LinkClosedError, LinkOverflowError) as error:
            # Links often end with a failed send to a peer that has already closed.
            self._close_reason = self._close_reason or str(error)
        finally:
            pinger.kill()
            self.close()
            self._waiter.close()
            self._sock.close()
            emit(LinkClosed(self.peer.node_id, self.channel, self._close_reason))
            self._handler.on_close(self)

    def _read_once(self) -> None:
        self._waiter.wait()
        try:
            data = self._sock.fd.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.close("peer closed the connection")
            return
        self.bytes_received += len(data)
        self._last_received_at = self._clock.now()
        self._protocol.receive_data(data)
        self._dispatch(self._protocol.events_received())
        with suppress(LinkClosedError):
            self._flush()
        if self._protocol.state is not State.OPEN:
            if self._protocol.parser_exc is not None:
                raise ProtocolError(
                    f"invalid websocket data: {self._protocol.parser_exc}",
                    step="link.frame",
                    peer=self.peer.node_id,
                )
            self.close("peer closed the connection")

    def _dispatch(self, events) -> None:
        for event in events:
            if isinstance(event, Frame):
                self._dispatch_frame(event)

    def _dispatch_frame(self, frame: Frame) -> None:
        if frame.opcode is Opcode.PONG:
            self.round_trip_s = self._clock.now() - self._ping_sent_at
            self._pongs_received += 1
            return
        if frame.opcode in (Opcode.PING, Opcode.CLOSE):
            return
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            raise ProtocolError(
                "only whole binary frames are accepted",
                step="link.frame",
                peer=self.peer.node_id,
            )
        message = decode_message(bytes(frame.data), peer=self.peer.node_id)
        self._handler.on_message(self, message)

    def _ping_periodically(self) -> None:
        with suppress(LinkClosedError, LinkOverflowError):
            self._ping_until_closed()

    def _ping_until_closed(self) -> None:
        # Intervals are counted instead of time: when this process resumes after a
        # pause, data that the peer sent meanwhile is still unread.
        silent_intervals = 0
        while self.is_open:
            received_at = self._last_received_at
            eventlet.sleep(self._ping_interval_s)
            if self._last_received_at > received_at:
                silent_intervals = 0
            else:
                silent_intervals += 1
            self.is_silent = silent_intervals >= PING_TIMEOUT_INTERVALS
            if self.is_silent and not self.is_in_use():
                self.close("peer did not respond to pings")
                return
            if self.channel == CONTROL_CHANNEL and self._received_recently():
                # Heartbeats already show that the peer is alive; additional pings would
                # double the number of messages that a relay handles.
                continue
            self.ping()

    def _received_recently(self) -> bool:
        return self._clock.now() - self._last_received_at < self._ping_interval_s

    def _flush(self) -> None:
        data = b"".join(self._protocol.data_to_send())
        if not data or not self.is_open or self._is_finishing:
            return
        if not self._send_queue and not self._delay_s and not self._is_writing:
            # Common case: the kernel accepts the data without queueing it or switching
            # green threads.
            data = data[self._send_now(data) :]
            if not data:
                return
        self._enqueue(data)

    def _send_now(self, data: bytes) -> int:
        try:
            sent = self._sock.fd.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._on_send_error(error)
            raise LinkClosedError(
                str(error), step="link.post", peer=self.peer.node_id
            ) from error
        self.bytes_sent += sent
        return sent

    def _enqueue(self, data: bytes) -> None:
        self._send_queue_bytes += len(data)
        if self._send_queue_bytes > MAX_QUEUED_BYTES:
            self.close("send queue is full")
            raise LinkOverflowError(
                "peer reads too slowly", step="link.post", peer=self.peer.node_id
            )
        self._send_queue.append((self._clock.now() + self._delay_s, data))
        if not self._is_writing:
            self._is_writing = True
            eventlet.spawn_n(self._write_send_queue)

    def _write_send_queue(self) -> None:
        try:
            while self._send_queue and self.is_open:
                send_at, data = self._send_queue.popleft()
                wait_s = send_at - self._clock.now()
                if wait_s > 0:
                    eventlet.sleep(wait_s)
                self._send_all(memoryview(data))
            if self._is_finishing:
                self._end_sending()
        except OSError as error:
            self._on_send_error(error)
        finally:
            self._is_writing = False

    def _send_all(self, data: memoryview) -> None:
        while data:
            sent = self._sock.send(data)
            self.bytes_sent += sent
            self._send_queue_bytes -= sent
            data = data[sent:]


def dial_link(
    address: str,
    *,
    channel: str,
    identity: NodeIdentity,
    handler: LinkHandler,
    delay_s: float = 0.0,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
    ping_interval_s: float = PING_INTERVAL_S,
    clock: Clock | None = None,
    is_compressed: bool = False,
) -> Link:
    """Open a link to the node at `address` and start its reader green thread.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the peer's websocket listener.
    channel : str
        `CONTROL_CHANNEL` or `CALL_CHANNEL`.
    delay_s : float
        Artificial one-way delay, for tests.
    ping_interval_s : float
        Interval of the pings to an idle peer.
    is_compressed : bool
        Whether messages are compressed, which saves bandwidth and costs CPU time.

    Raises
    ------
    LinkClosedError
        The peer is unreachable or rejects the handshake.
    """
    host, _, port = address.rpartition(":")
    source_ip = identity.peer_address.rpartition(":")[0]
    try:
        with eventlet.Timeout(timeout_s, TimeoutError("handshake timed out")):
            sock = socket.create_connection(
                (host, int(port)), source_address=(source_ip, 0)
            )
            try:
                protocol, peer, events = _perform_handshake(
                    sock,
                    address,
                    channel,
                    identity,
                    is_compressed=is_compressed,
                    clock=clock or MonotonicClock(),
                )
            except BaseException:
                sock.close()
                raise
    except (OSError, InvalidHandshake, ProtocolError) as error:
        raise LinkClosedError(str(error), step="link.dial", peer=address) from error
    link = Link(
        sock,
        protocol,
        peer=peer,
        channel=channel,
        is_dialled=True,
        handler=handler,
        delay_s=delay_s,
        ping_interval_s=ping_interval_s,
        clock=clock,
        events=events,
    )
    eventlet.spawn_n(link.run)
    return link


def _perform_handshake(sock, address, channel, identity, *, is_compressed, clock):
    protocol = ClientProtocol(
        parse_uri(f"ws://{address}{channel}"),
        extensions=[_client_compression()] if is_compressed else None,
        max_size=MAX_MESSAGE_BYTES,
    )
    request = protocol.connect()
    request.headers[IDENTITY_HEADER] = format_identity(identity)
    request.headers[CLOCK_HEADER] = f"{clock.now():.3f}"
    protocol.send_request(request)
    sock.sendall(b"".join(protocol.data_to_send()))
    while protocol.state is State.CONNECTING:
        data = sock.recv(RECEIVE_BUFFER_BYTES)
        if not data:
            protocol.receive_eof()
            break
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc
    if protocol.handshake_exc is not None:
        raise protocol.handshake_exc
    # Frames that were received with the response follow it.
    response, *events = protocol.events_received() or [None]
    if not isinstance(response, Response):
        raise ProtocolError("no handshake response", step="link.dial", peer=address)
    peer = parse_identity(response.headers.get(IDENTITY_HEADER, ""))
    return protocol, peer, events


def _client_compression() -> ClientPerMessageDeflateFactory:
    return ClientPerMessageDeflateFactory(
        server_max_window_bits=COMPRESSION_WINDOW_BITS,
        client_max_window_bits=COMPRESSION_WINDOW_BITS,
        compress_settings=COMPRESSION_SETTINGS,
    )


def _server_compression() -> ServerPerMessageDeflateFactory:
    return ServerPerMessageDeflateFactory(
        server_max_window_bits=COMPRESSION_WINDOW_BITS,
        client_max_window_bits=COMPRESSION_WINDOW_BITS,
        compress_settings=COMPRESSION_SETTINGS,
    )


class LinkServer:
    """Listener for links from other nodes.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node, which listens on its `peer_address`.
    handlers_by_channel : dict of str to LinkHandler
        Handler of each channel; other request paths are refused.
    delay_for : callable
        Returns the artificial one-way delay in seconds for a remote IP address; for
        tests.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        handlers_by_channel: dict[str, LinkHandler],
        *,
        delay_for: Callable[[str], float] = lambda ip: 0.0,
        max_links: int = 4096,
        ping_interval_s: float = PING_INTERVAL_S,
        clock: Clock | None = None,
    ):
        self._link_clock = clock or MonotonicClock()
        self._ping_interval_s = ping_interval_s
        self._identity = identity
        self._handlers_by_channel = handlers_by_channel
        self._delay_for = delay_for
        self._listener = None
        self._connection_limit = Semaphore(max_links)

    def listen(self) -> None:
        """Bind the listening socket."""
        self._listener = listen(self._identity.peer_address)

    def run(self) -> None:
        """Accept links until `stop` is called."""
        while self._listener is not None:
            try:
                sock, address = accept(self._listener)
            except OSError:
                return
            if not self._connection_limit.acquire(blocking=False):
                # The link limit is reached; the peer retries after a backoff.
                sock.close()
                continue
            eventlet.spawn_n(self._serve, sock, address)

    def stop(self) -> None:
        """Close the listening socket; established links stay open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _serve(self, sock, address) -> None:
        try:
            link = self._accept(sock, address)
            if link is not None:
                link.run()
        finally:
            self._connection_limit.release()

    def _accept(self, sock, address) -> Link | None:
        # Compression is used only if the peer offers it.
        protocol = ServerProtocol(
            extensions=[_server_compression()], max_size=MAX_MESSAGE_BYTES
        )
        try:
            with eventlet.Timeout(
                HANDSHAKE_TIMEOUT_S, TimeoutError("handshake timed out")
            ):
                request = self._receive_request(sock, protocol)
                peer = parse_identity(request.headers.get(IDENTITY_HEADER, ""))
                clock_offset_s = self._read_clock_offset(request)
                handler = self._handlers_by_channel.get(request.path)
                if handler is None:
                    raise ProtocolError(
                        f"unknown channel {request.path!r}", step="link.accept"
                    )
                response = protocol.accept(request)
                response.headers[IDENTITY_HEADER] = format_identity(self._identity)
                protocol.send_response(response)
                sock.sendall(b"".join(protocol.data_to_send()))
                if protocol.handshake_exc is not None:
                    raise ProtocolError(str(protocol.handshake_exc), step="link.accept")
        except (OSError, ProtocolError) as error:
            emit(LinkRefused(f"{address[0]}:{address[1]}", str(error)))
            sock.close()
            return None
        link = Link(
            sock,
            protocol,
            peer=peer,
            channel=request.path,
            is_dialled=False,
            handler=handler,
            delay_s=self._delay_for(address[0]),
            ping_interval_s=self._ping_interval_s,
            clock=self._link_clock,
        )
        link.clock_offset_s = clock_offset_s
        return link

    def _read_clock_offset(self, request: Request) -> float | None:
        value = request.headers.get(CLOCK_HEADER)
        if value is None:
            return None
        try:
            peer_time = float(value)
        except ValueError:
            peer_time = math.nan
        if not math.isfinite(peer_time):
            raise ProtocolError("peer sent an invalid clock header", step="link.accept")
        return peer_time - self._link_clock.now()

    @staticmethod
    def _receive_request(sock, protocol) -> Request:
        while True:
            data = sock.recv(RECEIVE_BUFFER_BYTES)
            if not data:
                raise ProtocolError(
                    "connection closed during the handshake", step="link.accept"
                )
            protocol.receive_data(data)
            if protocol.handshake_exc is not None:
                sock.sendall(b"".join(protocol.data_to_send()))
                raise ProtocolError(str(protocol.handshake_exc), step="link.accept")
            for event in protocol.events_received():
                return event
