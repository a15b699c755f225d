"""Tests of the cancellation of calls whose caller closed its connection."""

from contextlib import suppress

import eventlet
from eventlet.green import socket
from greenlet import GreenletExit
from testtools import TestCase

from tests.call_support import wait_until
from verbenawick.runtime._caller_watcher import CallerWatcher


class CallerWatcherTest(TestCase):
    """Calls on real sockets, some of whose callers disconnect."""

    def setUp(self):
        super().setUp()
        self.watcher = CallerWatcher(interval_s=0.01)
        self.ended = []
        self.socks = []

    def connect(self):
        """Return both ends of a new connection."""
        pair = socket.socketpair()
        self.socks += pair
        return pair

    def accept_on(self, fileno):
        """Return the end of a new connection that has a free descriptor."""
        while True:
            for sock in self.connect():
                if sock.fileno() == fileno:
                    return sock

    def call(self, name, sock, on_cancel=lambda: None, duration_s=10):
        try:
            with self.watcher.watch(sock):
                eventlet.sleep(duration_s)
            self.ended.append(f"{name} answered")
        except GreenletExit:
            self.ended.append(f"{name} cancelled")
            on_cancel()

    def test_a_call_on_a_reused_descriptor_is_not_cancelled(self):
        """Guards against cancelling a call because an earlier caller disconnected."""
        callers, socks = zip(*[self.connect() for _ in range(5)], strict=True)

        def replace_last():
            fileno = socks[-1].fileno()
            threads[-1].kill()
            socks[-1].close()
            sock = self.accept_on(fileno)
            eventlet.spawn(self.call, "patient", sock, duration_s=0.1)

        threads = [eventlet.spawn(self.call, "a", socks[0], replace_last)]
        threads += [
            eventlet.spawn(self.call, name, sock)
            for name, sock in zip("bcde", socks[1:], strict=True)
        ]
        eventlet.sleep(0)
        for caller in callers:
            caller.shutdown(socket.SHUT_RDWR)
        wait_until(lambda: len(self.ended) == len(threads) + 1)
        ended = [f"{name} cancelled" for name in "abcde"]
        self.assertEqual([*ended, "patient answered"], sorted(self.ended))

    def test_a_call_whose_caller_has_left_does_not_begin(self):
        """Guards against runs for callers that gave up while their request waited."""
        caller, sock = self.connect()
        caller.sendall(b"request")
        caller.close()
        begun = []

        def call():
            with suppress(GreenletExit), self.watcher.watch(sock):
                begun.append("call")

        eventlet.spawn(call).wait()
        self.assertEqual([], begun)
