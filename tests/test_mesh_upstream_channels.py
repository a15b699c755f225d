"""Answers of upstreams: late, second, broken off, without a length, or not HTTP."""

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
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} S", f"Attempt-Id: {request_id}", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def classify_for(request_id: str):
    """Return a classifier by the id that an answer carries."""

    def classify(raw):
        is_own = raw.header("attempt-id") == request_id
        return AnswerKind.OWN if is_own else AnswerKind.FOREIGN

    return classify


class UpstreamChannelsTest(TestCase):
    """An upstream that follows a script, one list of steps for each channel."""

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
        """Serve one channel after the other; a step is bytes, a pause or an end."""

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

    def test_whole_answers_keep_the_channel(self):
        """A new channel for each request would hold slots at the upstream."""
        self.script(["request", answer("q1", b"a"), "request", answer("q2", b"b"), 1.0])
        self.assertEqual(b"a", self.exchange("q1").body)
        self.assertEqual(b"b", self.exchange("q2").body)
        self.assertEqual(1, self.channels.open_count)

    def test_answer_in_single_bytes(self):
        """Bytes arrive in any pieces."""
        steps = ["request"]
        for byte in answer("q1", b"abc"):
            steps += [bytes([byte]), 0.0]
        self.script([*steps, 1.0])
        self.assertEqual(b"abc", self.exchange().body)

    def test_chunked_answer(self):
        """A body in chunks ends with its last chunk, not before."""
        head = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.script(["request", head + b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n", 1.0])
        self.assertEqual(b"abcde", self.exchange().body)

    def test_answer_without_a_length_ends_with_its_channel(self):
        """It is whole when the channel is closed, not when it is reset."""
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n"
        self.script(["request", head + b"ab", 0.01, b"c"], ["request", head, "reset"])
        self.assertEqual(b"abc", self.exchange().body)
        self.assertEqual(0, self.channels.open_count)
        self.assertRaises(UpstreamLostError, self.exchange)

    def test_broken_answers(self):
        """None of these may look complete, and none may keep its channel."""
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

    def test_second_answer_right_behind_the_first(self):
        """It belongs to no request, so its channel is not used again."""
        twice = answer("q1", b"a") + answer("q1", b"a")
        self.script(["request", twice, 1.0], ["request", answer("q2", b"b"), 1.0])
        self.assertEqual(b"a", self.exchange("q1").body)
        self.assertEqual(0, self.channels.open_count)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_garbage_behind_a_whole_answer(self):
        """The answer counts, the rest is dropped with its channel."""
        self.script(["request", answer("q1", b"a") + b"\x00\x01garbage", 1.0])
        self.assertEqual(b"a", self.exchange("q1").body)
        self.assertEqual(0, self.channels.open_count)

    def test_late_second_answer_is_not_taken_for_the_next_one(self):
        """It arrives where the answer to the next request is expected."""
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

    def test_late_second_answer_while_idle_ends_the_channel(self):
        """Bytes on an idle channel belong to no request."""
        self.script(
            ["request", answer("q1", b"a"), 0.05, answer("q1", b"a"), 1.0],
            ["request", answer("q2", b"b"), 1.0],
        )
        self.exchange("q1")
        eventlet.sleep(0.1)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_leaving_upstream_closes_its_channel(self):
        """A request on a channel that is about to close would be lost."""
        self.script(
            ["request", answer("q1", b"a", "Connection: close"), 1.0],
            ["request", answer("q2", b"b", "Keep-Alive: timeout=0"), 1.0],
            ["request", answer("q3", b"c"), 1.0],
        )
        for request_id in ("q1", "q2", "q3"):
            self.exchange(request_id)
        self.assertEqual(3, len(self.requests))

    def test_deadline_ends_the_request_and_its_channel(self):
        """The late answer must not meet the next request."""
        self.script(["request", 0.3, answer("q1", b"a")])
        self.assertRaises(CallTimeoutError, self.exchange, timeout_s=0.05)
        self.assertEqual(0, self.channels.open_count)

    def test_cancelled_request_ends_its_channel(self):
        """The upstream is freed and its answer dropped."""
        self.script(["request", 5.0])
        thread = eventlet.spawn(self.exchange)
        eventlet.sleep(0.05)
        thread.kill()
        self.assertEqual(0, self.channels.open_count)

    def test_nothing_is_sent_when_it_cannot_be(self):
        """These prove that the request did not run."""
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

    def test_an_open_channel_does_not_outlast_the_deadline(self):
        """A call that was held up on its way must not run after its caller's time."""
        self.script(["request", answer("q1", b"a"), "request", answer("q2", b"b"), 1.0])
        self.exchange("q1")
        self.assertRaises(
            DeadlineUnreachableError, self.exchange, "q2", timeout_s=-0.01
        )
        eventlet.sleep(0.05)
        self.assertEqual(1, len(self.requests))

    def test_channels_follow_a_changed_address(self):
        """A channel to the earlier address would reach another upstream."""
        self.script(["request", answer("q1", b"a"), "request", 1.0])
        self.exchange("q1")
        first, self.listener = self.listener, eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(first.close)
        self.script(["request", answer("q2", b"b"), 1.0])
        self.channels.move_to(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.assertEqual(0, self.channels.open_count)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_a_call_under_way_ends_at_the_earlier_address(self):
        """Its answer is valid, its channel must not be used for the next call."""
        self.script(["request", 0.1, answer("q1", b"a"), 1.0])
        thread = eventlet.spawn(self.exchange, "q1")
        eventlet.sleep(0.05)
        self.channels.move_to("127.0.0.1:1")
        self.assertEqual(b"a", thread.wait().body)
        self.assertEqual(0, self.channels.open_count)

    def test_body_and_head_are_sent_unchanged(self):
        """The upstream gets what the caller sent."""
        self.script(["request", answer("q1", b""), 1.0])
        self.exchange(method="POST", target="/x%20y?z=1", body=b"abc")
        self.assertEqual(
            b"POST /x%20y?z=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
            self.requests[0],
        )
