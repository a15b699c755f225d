"""Tests of links between nodes over real sockets."""

import time
from dataclasses import dataclass
from unittest import mock

import cbor2
import eventlet
from eventlet.green import socket
from testtools import TestCase

from tests.call_support import free_port
from verbenawick.errors import LinkClosedError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import (
    CONTROL_CHANNEL,
    PING_TIMEOUT_INTERVALS,
    Link,
    LinkServer,
    dial_link,
)
from verbenawick.links._messages import Message, register_message

PING_INTERVAL_S = 0.05


@register_message(9001)
@dataclass(frozen=True, slots=True)
class Echo(Message):
    """Test message."""

    number: int
    payload: bytes = b""


def identity(name: str, port: int) -> NodeIdentity:
    """Return an identity with a loopback address."""
    return NodeIdentity(name, 1, "svc", "dc", "reg", f"127.0.0.1:{port}")


class RecordingHandler:
    """Handler that records events and optionally echoes messages."""

    def __init__(self, answer=False):
        self.messages = []
        self.opened = []
        self.closed = []
        self._answer = answer

    def on_open(self, link):
        """Record a new link."""
        self.opened.append(link)

    def on_message(self, link, message):
        """Record a message and echo it if configured to."""
        self.messages.append(message)
        if self._answer:
            link.post(message)

    def on_close(self, link):
        """Record the end of a link."""
        self.closed.append(link)


def wait_until(condition, timeout_s=5.0):
    """Yield to other green threads until `condition()` is true."""
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.001)


class LinkTest(TestCase):
    """Message exchange, and rejection of invalid data with a listener that stays up."""

    def setUp(self):
        super().setUp()
        self.server_identity = identity("server", free_port())
        self.server_handler = RecordingHandler(answer=True)
        self.server = LinkServer(
            self.server_identity, {CONTROL_CHANNEL: self.server_handler}
        )
        self.server.listen()
        eventlet.spawn_n(self.server.run)
        self.addCleanup(self.server.stop)

    def dial(self, handler, **options):
        link = dial_link(
            self.server_identity.peer_address,
            channel=CONTROL_CHANNEL,
            identity=identity("client", 1),
            handler=handler,
            **options,
        )
        self.addCleanup(link.close)
        return link

    def test_messages_arrive_whole_and_in_order(self):
        """Guards against truncated or reordered messages of different sizes."""
        handler = RecordingHandler()
        link = self.dial(handler)
        sent = [Echo(i, b"x" * (i * 40_000)) for i in range(40)]
        for message in sent:
            link.post(message)
        wait_until(lambda: len(handler.messages) == len(sent))
        self.assertEqual(sent, handler.messages)
        self.assertEqual("server", link.peer.node_id)
        self.assertEqual("client", self.server_handler.opened[0].peer.node_id)

    def test_messages_sent_directly_after_the_handshake_arrive(self):
        """Guards against losing the state that a node sends when a link opens."""
        sent = [Echo(1), Echo(2, b"x" * 100_000)]
        record_open = self.server_handler.on_open

        def greet(link):
            record_open(link)
            for message in sent:
                link.post(message)

        self.server_handler.on_open = greet
        for is_compressed in (False, True):
            handler = RecordingHandler()
            self.dial(handler, is_compressed=is_compressed)
            wait_until(lambda h=handler: len(h.messages) == len(sent))
            self.assertEqual(sent, handler.messages)

    def test_compressed_links_carry_the_same_messages_in_fewer_bytes(self):
        """Traffic between data centres costs money, and its messages compress well."""
        sent = [Echo(number, b"header-name: value; " * 20) for number in range(20)]
        bytes_by_compression = {}
        for is_compressed in (False, True):
            handler = RecordingHandler()
            link = self.dial(handler, is_compressed=is_compressed)
            for message in sent:
                link.post(message)
            wait_until(lambda h=handler: len(h.messages) == len(sent))
            self.assertEqual(sent, handler.messages)
            bytes_by_compression[is_compressed] = (link.bytes_sent, link.bytes_received)
        for plain, compressed in zip(*bytes_by_compression.values(), strict=True):
            self.assertLess(compressed, plain / 4)

    def test_invalid_messages_close_only_that_link(self):
        """Guards against invalid messages that stop the listener or other links."""
        for data in (
            b"",
            b"\xff",
            cbor2.dumps([99, 9001, 1, b""]),
            cbor2.dumps([1, 424242]),
            cbor2.dumps([1, 9001, "text", b""]),
            cbor2.dumps({"a": 1}),
        ):
            handler = RecordingHandler()
            link = self.dial(handler)
            link._protocol.send_binary(data)
            link._flush()
            wait_until(lambda handler=handler: handler.closed)
        handler = RecordingHandler()
        self.dial(handler).post(Echo(7))
        wait_until(lambda: handler.messages)

    def test_invalid_handshakes_are_refused(self):
        """Guards against invalid handshakes that stop the listener."""
        host, _, port = self.server_identity.peer_address.rpartition(":")
        for data in (b"\x00" * 64, b"GET /nowhere HTTP/1.1\r\n\r\n", b"x" * 100_000):
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                try:
                    while sock.recv(65536):
                        pass
                except ConnectionError:
                    pass
        handler = RecordingHandler()
        self.dial(handler).post(Echo(7))
        wait_until(lambda: handler.messages)

    def test_failed_send_to_a_disconnected_peer_closes_the_link_without_exception(self):
        """Guards against a logged traceback for each link that the peer closes first.

        The handler's answer to the last message fails inside the reader green thread.
        """
        raised = []
        run = Link.run

        def recording_run(link):
            try:
                run(link)
            except Exception as error:
                raised.append(error)

        with mock.patch.object(Link, "run", recording_run):
            link = self.dial(RecordingHandler())
            wait_until(lambda: self.server_handler.opened)
        served = self.server_handler.opened[0]
        served._sock.shutdown(socket.SHUT_WR)
        link.post(Echo(1))
        wait_until(lambda: self.server_handler.closed)
        self.assertEqual([Echo(1)], self.server_handler.messages)
        self.assertEqual([], raised)

    def test_pause_of_this_process_does_not_close_its_links(self):
        """Guards against losing the pending calls of all links when a VM resumes."""
        self.server._ping_interval_s = PING_INTERVAL_S
        link = self.dial(RecordingHandler(), ping_interval_s=PING_INTERVAL_S)
        wait_until(lambda: self.server_handler.opened)
        for _ in range(3):
            eventlet.sleep(0.7 * PING_INTERVAL_S)
            time.sleep(2 * PING_TIMEOUT_INTERVALS * PING_INTERVAL_S)
        eventlet.sleep(PING_INTERVAL_S)
        self.assertTrue(link.is_open)
        self.assertEqual([], self.server_handler.closed)

    def test_link_to_a_peer_that_does_not_answer_pings_is_closed(self):
        """Guards against links that stay open to a VM that is powered off."""
        link = self.dial(RecordingHandler(), ping_interval_s=PING_INTERVAL_S)
        wait_until(lambda: self.server_handler.opened)
        link.ping = lambda: None
        started_at = time.monotonic()
        wait_until(lambda: not link.is_open)
        elapsed_s = time.monotonic() - started_at
        self.assertGreaterEqual(elapsed_s, 2 * PING_INTERVAL_S)

    def test_dialling_a_closed_port_raises_link_closed_error(self):
        """Guards against a plain `OSError` for a refused connection."""
        self.assertRaises(
            LinkClosedError,
            dial_link,
            f"127.0.0.1:{free_port()}",
            channel=CONTROL_CHANNEL,
            identity=identity("client", 1),
            handler=RecordingHandler(),
        )
