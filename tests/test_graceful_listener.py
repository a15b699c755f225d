"""Close of the entry's listening socket, over real sockets."""

import os
import resource
from contextlib import contextmanager
from unittest.mock import patch

import eventlet
from eventlet.green import socket
from testtools import TestCase

from tests.call_support import free_port
from verbenawick.calls._entry_server import EntryServer
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import LinkServer
from verbenawick.runtime._metrics import MetricSet

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
CALL_S = 0.1


class _SlowApplication:
    """Application that responds after `CALL_S`."""

    def __init__(self, *, closes=True):
        self._closes = closes

    def __call__(self, environ, start_response):
        eventlet.sleep(CALL_S)
        headers = [("Connection", "close")] if self._closes else []
        start_response("200 OK", [("Content-Length", "0"), *headers])
        return [b""]

    def stop_accepting(self):
        pass

    def wait_idle(self, *, timeout_s):
        return True


class GracefulListenerTest(TestCase):
    """A listener that is closed while the server has reached its connection limit."""

    def start(self, *, max_connections):
        self.server = EntryServer(
            _SlowApplication(), metrics=MetricSet(), max_connections=max_connections
        )
        self.address = ("127.0.0.1", free_port())
        self.server.listen("{}:{}".format(*self.address))
        self.server.start()
        eventlet.sleep(0)

    def allow_standstills(self):
        """Let the stop wait longer for the last requests than this process stands."""
        longer = patch("verbenawick.calls._entry_server.LAST_REQUESTS_S", 10.0)
        longer.start()
        self.addCleanup(longer.stop)

    def connect_and_send(self):
        sock = socket.create_connection(self.address, 5)
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        return sock

    def spawn_receiver(self, sock, *, delay_s=0):
        """Return a green thread that receives a response, and closes after a delay."""
        receiver = eventlet.spawn(self.receive_and_close, sock, delay_s=delay_s)
        # A receiver that still waits when its socket is closed would end with an error
        # in a later test, when eventlet finds its descriptor reused.
        self.addCleanup(receiver.kill)
        return receiver

    def receive_and_close(self, sock, *, delay_s=0):
        data = sock.recv(65536)
        eventlet.sleep(delay_s)
        sock.close()
        return data

    def test_connections_over_the_limit_are_served_after_the_close(self):
        """Guards against resets of connections that the limit keeps waiting."""
        self.allow_standstills()
        self.start(max_connections=1)
        socks = [self.connect_and_send() for _ in range(3)]
        answers = [self.spawn_receiver(sock) for sock in socks]
        eventlet.sleep(CALL_S / 2)
        self.server.stop(grace_s=0, timeout_s=15)
        for answer in answers:
            self.assertIn(b" 200 ", answer.wait())
        self.assertRaises(ConnectionRefusedError, self.connect_and_send)

    def test_connections_that_wait_for_callers_to_close_are_served(self):
        """Guards against a stop that ends while announced closes hold the limit."""
        self.allow_standstills()
        self.start(max_connections=1)
        first, second = self.connect_and_send(), self.connect_and_send()
        answers = [self.spawn_receiver(first, delay_s=2 * CALL_S)]
        answers.append(self.spawn_receiver(second))
        eventlet.sleep(CALL_S / 2)
        self.server.stop(grace_s=0, timeout_s=15)
        for answer in answers:
            self.assertIn(b" 200 ", answer.wait())

    def test_connections_that_the_stop_cannot_serve_are_closed(self):
        """Guards against callers that wait for a server that has ended."""
        self.start(max_connections=1)
        socks = [self.connect_and_send() for _ in range(30)]
        for sock in socks:
            self.spawn_receiver(sock)
        unserved = self.connect_and_send()
        self.server.stop(grace_s=0, timeout_s=0.3)
        with eventlet.Timeout(2):
            try:
                data = unserved.recv(65536)
            except ConnectionResetError:
                data = b""
        self.assertEqual(b"", data)


@contextmanager
def no_free_descriptors():
    """Let this process open no descriptors in the context."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class AcceptErrorTest(TestCase):
    """Listeners of a process that has no descriptors left for a while."""

    def connect(self, sock, address):
        """Connect while the listener cannot accept, and wait until it has tried."""
        with no_free_descriptors():
            sock.connect(address)
            eventlet.sleep(0.1)

    def test_entry_serves_its_connections_when_it_can_accept_no_others(self):
        """Guards against a node that takes no requests until it is restarted."""
        server = EntryServer(_SlowApplication(closes=False), metrics=MetricSet())
        address = ("127.0.0.1", free_port())
        server.listen("{}:{}".format(*address))
        server.start()
        self.addCleanup(server.close)
        kept = socket.create_connection(address, 5)
        waiting = socket.socket()
        waiting.settimeout(5)
        for sock in (kept, waiting):
            self.addCleanup(sock.close)
        kept.sendall(REQUEST)
        self.assertIn(b" 200 ", kept.recv(65536))
        self.connect(waiting, address)
        for sock in (kept, waiting):
            sock.sendall(REQUEST)
            self.assertIn(b" 200 ", sock.recv(65536))

    def test_close_without_descriptors_keeps_the_accepted_connections(self):
        """Guards against a stop that ends the requests in progress."""
        server = EntryServer(_SlowApplication(), metrics=MetricSet())
        address = ("127.0.0.1", free_port())
        server.listen("{}:{}".format(*address))
        server.start()
        running = socket.create_connection(address, 5)
        waiting = socket.socket()
        for sock in (running, waiting):
            self.addCleanup(sock.close)
        running.sendall(REQUEST)
        eventlet.sleep(CALL_S / 2)
        with no_free_descriptors():
            waiting.connect(address)
            self.assertTrue(server.stop(grace_s=0, timeout_s=5))
        self.assertIn(b" 200 ", running.recv(65536))

    def test_link_server_accepts_links_after_an_error(self):
        """Guards against a node that other nodes reach only after its restart."""
        identity = NodeIdentity("n", 1, "s", "d", "r", f"127.0.0.1:{free_port()}")
        server = LinkServer(identity, {})
        server.listen()
        thread = eventlet.spawn(server.run)
        self.addCleanup(server.stop)
        host, _, port = identity.peer_address.rpartition(":")
        sock = socket.socket()
        self.addCleanup(sock.close)
        self.connect(sock, (host, int(port)))
        sock.settimeout(5)
        self.assertFalse(thread.dead)
        # A handshake without an identity is refused.
        sock.sendall(REQUEST)
        self.assertEqual(b"", sock.recv(65536))
