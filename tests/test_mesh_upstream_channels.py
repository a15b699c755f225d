"""Tests of upstream answers that are late, duplicate, truncated or malformed."""

import eventlet
from eventlet.green import socket
from testtools import TestCase

from verbenawick.errors import (
    BadCallError,
    BadResponseError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamUnreachableError,
)
from verbenawick.mesh._upstream_channels import AnswerKind, UpstreamChannels
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet


def answer(request_id: str, body: bytes, *headers: str, status=200) -> bytes:
    """Return an answer with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} S", f"Attempt-Id: {request_id}", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def classify_for(request_id: str):
    """Return a classifier that compares the id in the answer with `request_id`."""

    def classify(raw):
        is_match = raw.header("attempt-id") == request_id
        return AnswerKind.MATCHING if is_match else AnswerKind.MISMATCHED

    return classify


class UpstreamChannelsTest(TestCase):
    """Exchanges with an upstream that follows a script."""

    def setUp(self):
        super().setUp()
        self.clock = MonotonicClock()
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.channels = self.channels_to(self.address)
        self.requests = []

    def channels_to(self, address, max_channels=4):
        return UpstreamChannels(
            address,
            max_channels=max_channels,
            clock=self.clock,
            metrics=MetricSet(),
        )

    def script(self, *channels):
        """Serve connections one after the other, each by a list of steps.

        A step is ``"request"`` (read one), bytes to send, a pause in seconds, or
        ``"reset"`` (close with a TCP reset).
        """

        def serve():
            for steps in channels:
                sock, _ = self.listener.accept()
                for step in steps:
                    if step == "request":
                        self.requests.append(sock.recv(65536))
                    elif isinstance(step, float):
                        eventlet.sleep(step)
                    elif step == "reset":
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                        )
                    else:
                        sock.sendall(step)
                sock.close()

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)

    def exchange(self, request_id="q1", *, timeout_s=2.0, **changes):
        options = {
            "method": "GET",
            "target": "/x",
            "headers": (("Host", "h"),),
            "body": b"",
            "deadline": self.clock.now() + timeout_s,
            "classify": classify_for(request_id),
        }
        return self.channels.exchange(**{**options, **changes})[1]

    def test_channel_is_reused_after_a_complete_answer(self):
        """A new connection per request would occupy slots at the upstream."""
        self.script(["request", answer("q1", b"a"), "request", answer("q2", b"b"), 1.0])
        self.assertEqual(b"a", self.exchange("q1").body)
        self.assertEqual(b"b", self.exchange("q2").body)
        self.assertEqual(1, self.channels.open_count)

    def test_answer_received_byte_by_byte(self):
        """TCP may deliver an answer in pieces of any size."""
        steps = ["request"]
        for byte in answer("q1", b"abc"):
            steps += [bytes([byte]), 0.0]
        self.script([*steps, 1.0])
        self.assertEqual(b"abc", self.exchange().body)

    def test_chunked_answer(self):
        """A chunked body is complete only after its last chunk."""
        head = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.script(["request", head + b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n", 1.0])
        self.assertEqual(b"abcde", self.exchange().body)

    def test_answer_without_a_length_ends_when_the_channel_closes(self):
        """It is complete if the connection is closed, but not if it is reset."""
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n"
        self.script(["request", head + b"ab", 0.01, b"c"], ["request", head, "reset"])
        self.assertEqual(b"abc", self.exchange().body)
        self.assertEqual(0, self.channels.open_count)
        self.assertRaises(UpstreamLostError, self.exchange)

    def test_truncated_and_malformed_answers(self):
        """None of these may count as complete or leave the channel open."""
        whole = answer("q1", b"abcdef")
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"
        rows = (
            ([b""], UpstreamLostError),
            ([whole[:10]], UpstreamLostError),
            ([whole[:-3]], UpstreamLostError),
            ([whole[:-1], "reset"], UpstreamLostError),
            ([chunked], UpstreamLostError),
            ([b"\x00\xff not http at all\r\n\r\n"], BadResponseError),
            ([b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"], BadResponseError),
        )
        self.script(*[["request", *steps] for steps, _ in rows])
        for steps, error in rows:
            self.assertRaises(error, self.exchange)
            self.assertEqual(0, self.channels.open_count, steps)

    def test_duplicate_answer_directly_after_the_first(self):
        """It belongs to no request, so the channel is not reused."""
        twice = answer("q1", b"a") + answer("q1", b"a")
        self.script(["request", twice, 1.0], ["request", answer("q2", b"b"), 1.0])
        self.assertEqual(b"a", self.exchange("q1").body)
        self.assertEqual(0, self.channels.open_count)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_garbage_after_a_complete_answer(self):
        """The answer is valid; the rest is discarded with the channel."""
        self.script(["request", answer("q1", b"a") + b"\x00\x01garbage", 1.0])
        self.assertEqual(b"a", self.exchange("q1").body)
        self.assertEqual(0, self.channels.open_count)

    def test_late_duplicate_answer_is_not_taken_for_the_next_one(self):
        """It arrives when the answer to the next request is expected."""
        self.script(
            [
                "request",
                answer("q1", b"a"),
                "request",
                answer("q1", b"a") + answer("q2", b"b"),
                1.0,
            ]
        )
        self.exchange("q1")
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_late_duplicate_answer_on_an_idle_channel_closes_it(self):
        """Bytes on an idle channel belong to no request."""
        self.script(
            ["request", answer("q1", b"a"), 0.05, answer("q1", b"a"), 1.0],
            ["request", answer("q2", b"b"), 1.0],
        )
        self.exchange("q1")
        eventlet.sleep(0.1)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_channel_is_not_reused_if_the_upstream_will_close_it(self):
        """A request on a connection that is about to close would be lost."""
        self.script(
            ["request", answer("q1", b"a", "Connection: close"), 1.0],
            ["request", answer("q2", b"b", "Keep-Alive: timeout=0"), 1.0],
            ["request", answer("q3", b"c"), 1.0],
        )
        for request_id in ("q1", "q2", "q3"):
            self.exchange(request_id)
        self.assertEqual(3, len(self.requests))

    def test_channel_is_closed_after_a_timeout(self):
        """The late answer must not be taken for the answer to the next request."""
        self.script(["request", 0.3, answer("q1", b"a")])
        self.assertRaises(CallTimeoutError, self.exchange, timeout_s=0.05)
        self.assertEqual(0, self.channels.open_count)

    def test_channel_is_closed_after_a_cancellation(self):
        """The upstream can stop the work, and its answer is discarded."""
        self.script(["request", 5.0])
        thread = eventlet.spawn(self.exchange)
        eventlet.sleep(0.05)
        thread.kill()
        self.assertEqual(0, self.channels.open_count)

    def test_error_before_sending_leaves_the_request_unsent(self):
        """With each of these errors, the request is certain not to have run."""
        sent = []
        closed = eventlet.listen(("127.0.0.1", 0))
        port = closed.getsockname()[1]
        closed.close()
        self.channels = self.channels_to(f"127.0.0.1:{port}")
        note = {"before_send": lambda: sent.append(1)}
        self.assertRaises(UpstreamUnreachableError, self.exchange, **note)
        self.assertRaises(
            DeadlineUnreachableError, self.exchange, timeout_s=-1.0, **note
        )
        self.assertRaises(
            BadCallError, self.exchange, headers=(("X", "a\r\nY: b"),), **note
        )
        self.channels = self.channels_to(self.address, max_channels=0)
        self.assertRaises(UpstreamUnreachableError, self.exchange, **note)
        self.assertEqual([], sent)

    def test_nothing_is_sent_on_an_open_channel_after_the_deadline(self):
        """A call that was delayed in transit must not run after its deadline."""
        self.script(["request", answer("q1", b"a"), "request", answer("q2", b"b"), 1.0])
        self.exchange("q1")
        self.assertRaises(
            DeadlineUnreachableError, self.exchange, "q2", timeout_s=-0.01
        )
        eventlet.sleep(0.05)
        self.assertEqual(1, len(self.requests))

    def test_changed_address_closes_idle_channels(self):
        """A channel to the previous address would reach a different upstream."""
        self.script(["request", answer("q1", b"a"), "request", 1.0])
        self.exchange("q1")
        first, self.listener = self.listener, eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(first.close)
        self.script(["request", answer("q2", b"b"), 1.0])
        self.channels.change_address(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.assertEqual(0, self.channels.open_count)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_exchange_in_progress_completes_at_the_previous_address(self):
        """Its answer is valid, but its channel must not be reused."""
        self.script(["request", 0.1, answer("q1", b"a"), 1.0])
        thread = eventlet.spawn(self.exchange, "q1")
        eventlet.sleep(0.05)
        self.channels.change_address("127.0.0.1:1")
        self.assertEqual(b"a", thread.wait().body)
        self.assertEqual(0, self.channels.open_count)

    def test_request_is_sent_unchanged(self):
        """Method, target, headers and body reach the upstream as given."""
        self.script(["request", answer("q1", b""), 1.0])
        self.exchange(method="POST", target="/x%20y?z=1", body=b"abc")
        self.assertEqual(
            b"POST /x%20y?z=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
            self.requests[0],
        )
