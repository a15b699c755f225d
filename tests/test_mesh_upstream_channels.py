"""Tests of upstream answers that are late, duplicate, truncated or malformed."""

import gc
import tracemalloc
from contextlib import contextmanager, suppress
from functools import partial
from unittest import mock

import eventlet
from eventlet.green import socket
from greenlet import GreenletExit
from testtools import TestCase

from tests.address_observer import FakeAddressObserver
from tests.call_support import INVALID_STATUSES, wait_until
from verbenawick.errors import (
    BadCallError,
    BadResponseError,
    CallError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamUnreachableError,
)
from verbenawick.mesh._health_probe import HealthProbe
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._model import MeshConfiguration, ServiceSpec
from verbenawick.mesh._upstream_channels import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    MAX_SKIPPED_ANSWERS,
    AnswerKind,
    UpstreamChannels,
)
from verbenawick.mesh._upstream_prober import UpstreamProber
from verbenawick.platform._calls import PlatformUpstreamProtocol
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

# More than the kernel buffers on a connection that nobody reads.
UNBUFFERED_BYTES = 16 * 1024 * 1024


def answer(request_id: str, body: bytes, *headers: str, status=200) -> bytes:
    """Return an answer with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} S", f"Attempt-Id: {request_id}", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def refusal(*headers: str, status=503) -> bytes:
    """Return an answer that states that its request did not run."""
    lines = [f"HTTP/1.1 {status} S", "Not-Executed: 1", "Content-Length: 0", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@contextmanager
def slow_connections(delay_s: float):
    """Delay each connection that is opened in the context."""
    connect = socket.create_connection

    def connect_slowly(*arguments, **options):
        eventlet.sleep(delay_s)
        return connect(*arguments, **options)

    with mock.patch.object(socket, "create_connection", connect_slowly):
        yield


def classify_for(request_id: str):
    """Return the platform's classifier of answers to `request_id`."""
    return partial(PlatformUpstreamProtocol().classify, request_id=request_id)


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
            id_header="attempt-id",
            clock=self.clock,
            metrics=MetricSet(),
        )

    def script(self, *channels):
        """Serve connections one after the other, each by a list of steps.

        A step is ``"request"`` (read one), bytes to send, a pause in seconds,
        ``"reset"`` (close with a TCP reset), or further steps by a part of the request,
        which is read first.
        """

        def serve():
            for steps in channels:
                sock, _ = self.listener.accept()
                # The node may close a channel before the last step.
                with suppress(BrokenPipeError, ConnectionResetError):
                    self.take_steps(sock, steps)
                sock.close()

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)

    def take_steps(self, sock, steps):
        for step in steps:
            if step == "request":
                self.requests.append(sock.recv(65536))
            elif isinstance(step, float):
                eventlet.sleep(step)
            elif isinstance(step, dict):
                request = sock.recv(65536)
                self.take_steps(sock, next(step[i] for i in step if i in request))
            elif step == "reset":
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            else:
                sock.sendall(step)

    def exchange(self, request_id="q1", **changes):
        return self.exchange_kind(request_id, **changes)[1]

    def exchange_kind(self, request_id="q1", *, timeout_s=2.0, **changes):
        options = {
            "request_id": request_id,
            "method": "GET",
            "target": "/x",
            "headers": (("Host", "h"),),
            "body": b"",
            "deadline": self.clock.now() + timeout_s,
            "classify": classify_for(request_id),
        }
        return self.channels.exchange(**{**options, **changes})

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

    def test_answer_with_an_invalid_status_is_none_and_hides_no_other(self):
        """Guards against an answer that is taken for another, or waited for in vain."""
        heads = [b"HTTP/1.1 %s X" % s for s in INVALID_STATUSES]
        heads += [
            b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked",
            b"HTTP/1.1 100 X\r\nContent-Length: 5",
        ]
        steps = []
        for head in heads:
            for end in (b"\r\n\r\n", b"\r\nAttempt-Id: q1\r\n\r\n"):
                steps += [
                    (head + end, "request"),
                    (head + end + answer("q1", b"a"), "request"),
                ]
                # The rest of the head comes later.
                steps.append((head[:11], 0.01, head[11:] + end + answer("q1", b"a")))
        self.script(*[["request", *row] for row in steps])
        for row in steps:
            with eventlet.Timeout(1.0):
                error = self.assertRaises(BadResponseError, self.exchange)
            self.assertEqual("unknown", error.outcome)
            self.assertEqual(0, self.channels.open_count, row)

    def test_reason_of_an_invalid_status_names_its_bytes(self):
        """Operators need them to tell a broken upstream from a broken node."""
        self.script(["request", b"HTTP/1.1 099 X\r\n\r\n", "request"])
        error = self.assertRaises(BadResponseError, self.exchange)
        self.assertIn("HTTP/1.1 099", error.message)

    def test_interim_answers_are_skipped(self):
        """An upstream may send them although the node asked for none."""
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: 1\r\n\r\n"
        self.script(["request", interim + answer("q1", b"a"), 1.0])
        self.assertEqual(b"a", self.exchange().body)
        self.assertEqual(1, self.channels.open_count)

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
            ["request", answer("q3", b"c", 'Keep-Alive: Timeout = "0"'), 0.2],
            ["request", answer("q4", b"d", "Connection: x", "Connection: Close"), 0.2],
            [
                "request",
                answer("q5", b"e", "Keep-Alive: max=9", "Keep-Alive: timeout=0"),
                0.2,
            ],
            ["request", answer("q6", b"f"), 1.0],
        )
        request_ids = [f"q{number}" for number in range(1, 7)]
        for request_id in request_ids:
            self.exchange(request_id)
        self.assertEqual(6, len(self.requests))

    def test_answer_before_the_request_was_read_is_not_lost(self):
        """Guards against an unknown outcome although the upstream refused the call."""
        self.script(
            ["request", refusal("Attempt-Id: q1"), 0.05],
            ["request", refusal("Attempt-Id: q1", "Connection: close"), 0.05, "reset"],
            ["request", answer("q1", b"a"), 0.2],
            ["request", answer("q2", b"b")],
        )
        long = {"method": "POST", "body": b"x" * UNBUFFERED_BYTES, "timeout_s": 0.5}
        for _ in range(2):
            kind, _ = self.exchange_kind(**long)
            self.assertIs(AnswerKind.NOT_RUN, kind)
        self.assertEqual(b"a", self.exchange(**long).body)
        # The rest of the body is due on the channel.
        self.assertEqual(0, self.channels.open_count)
        self.assertEqual(b"b", self.exchange("q2").body)

    def test_answer_of_an_upstream_that_does_not_read_on_arrives_in_time(self):
        """Guards against waiting until a request is sent that nobody reads."""
        self.script(["request", answer("q1", b"a"), 2.0])
        long = {"method": "POST", "body": b"x" * UNBUFFERED_BYTES, "timeout_s": 0.5}
        self.assertEqual(b"a", self.exchange(**long).body)

    def test_answer_without_a_length_is_not_whole_if_the_request_was_reset(self):
        """Guards against a truncated answer whose reset was reported to the sender."""
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n"
        self.script(["request", head + b"ab", 0.05, "reset"])
        long = {"method": "POST", "body": b"x" * UNBUFFERED_BYTES}
        self.assertRaises(UpstreamLostError, self.exchange, **long)

    def test_long_request_arrives_whole_at_an_upstream_that_reads_late(self):
        """Guards against bytes that are lost or repeated when the channel is full."""
        body = b"".join(b"%07d\n" % number for number in range(UNBUFFERED_BYTES // 8))
        received = bytearray()

        def serve():
            sock, _ = self.listener.accept()
            eventlet.sleep(0.1)
            while not received.endswith(body[-8:]):
                received.extend(sock.recv(65536))
            sock.sendall(answer("q1", b"a"))
            sock.recv(65536)
            sock.sendall(answer("q2", b"b"))
            sock.close()

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)
        self.assertEqual(b"a", self.exchange(method="POST", body=body).body)
        self.assertEqual(body, received.partition(b"\r\n\r\n")[2])
        self.assertEqual(b"b", self.exchange("q2").body)

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

    def test_nothing_is_sent_if_the_deadline_passes_while_a_channel_opens(self):
        """Guards against a run after the deadline, reported as unknown."""
        self.script(["request", answer("q1", b"a")])
        with slow_connections(0.1):
            self.assertRaises(DeadlineUnreachableError, self.exchange, timeout_s=0.05)
        wait_until(lambda: self.requests == [b""])
        self.assertEqual(0, self.channels.open_count)

    def test_nothing_is_sent_on_an_open_channel_after_the_deadline(self):
        """A call that was delayed in transit must not run after its deadline."""
        self.script(["request", answer("q1", b"a"), "request", answer("q2", b"b"), 1.0])
        self.exchange("q1")
        self.assertRaises(
            DeadlineUnreachableError, self.exchange, "q2", timeout_s=-0.01
        )
        eventlet.sleep(0.05)
        self.assertEqual(1, len(self.requests))

    def test_channel_that_does_not_open_is_given_up_before_the_deadline(self):
        """Guards against 504 for requests that were never sent."""
        full = eventlet.listen(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full.close)
        address = full.getsockname()
        # Takes the only place for a connection that is not accepted.
        self.addCleanup(socket.create_connection(address).close)
        self.channels = self.channels_to(f"127.0.0.1:{address[1]}")
        deadline = self.clock.now() + 0.4
        self.assertRaises(UpstreamUnreachableError, self.exchange, deadline=deadline)
        self.assertLess(self.clock.now(), deadline)
        self.assertEqual(0, self.channels.open_count)

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

    def test_channel_that_opens_during_a_change_of_address_is_not_reused(self):
        """Guards against requests that reach the upstream at the previous address."""
        self.script(["request", answer("q1", b"a"), 1.0])
        with slow_connections(0.1):
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

    def test_refusal_that_is_repeated_while_the_next_request_runs(self):
        """Guards against telling a caller that a running request did not run."""
        cases = {
            "without an id": refusal(),
            "with an id": refusal("Attempt-Id: q1"),
            "misdirected, without an id": refusal(status=421),
            "misdirected, with an id": refusal("Attempt-Id: q1", status=421),
        }
        for name, refused in cases.items():
            self.channels = self.channels_to(self.address)
            kept = ["request", refused, "request", refused, 0.05, answer("q2", b"ran")]
            self.script(kept, ["request", answer("q2", b"ran"), 1.0])
            kind, _ = self.exchange_kind("q1")
            self.assertIn(kind, (AnswerKind.NOT_RUN, AnswerKind.OTHER_UPSTREAM), name)
            kind, raw = self.exchange_kind("q2")
            self.assertEqual((AnswerKind.MATCHING, b"ran"), (kind, raw.body), name)

    def test_refusal_that_is_repeated_while_the_same_request_runs(self):
        """Guards against two runs of a request that was refused at first."""
        refused = refusal("Attempt-Id: q1")
        self.script(
            ["request", refused, "request", refused, 0.05, answer("q1", b"ran")],
            ["request", answer("q1", b"ran"), 1.0],
        )
        self.assertEqual(AnswerKind.NOT_RUN, self.exchange_kind("q1")[0])
        self.assertEqual(AnswerKind.MATCHING, self.exchange_kind("q1")[0])

    def test_channel_is_reused_after_a_refusal_with_the_id_of_its_request(self):
        """Each new channel costs an upstream that refuses requests more work."""
        self.script(
            ["request", refusal("Attempt-Id: q1"), "request", answer("q2", b"")]
        )
        self.exchange("q1")
        self.exchange("q2")
        self.assertEqual(2, len(self.requests))

    def test_health_probe_uses_no_answer_to_another_request(self):
        """Guards against a repeated answer that tells an outdated state."""
        healthy = b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
        failing = healthy.replace(b"200 OK", b"503 Not Ready")
        self.script(
            ["request", answer("q1", b""), "request", answer("q1", b"") + failing],
            ["request", failing, "request", failing],
            ["request", healthy, 0.1],
        )
        upstream = LocalUpstream(
            observer=FakeAddressObserver(),
            address=self.address,
            service="s",
            on_change=lambda: None,
        )
        configuration = MeshConfiguration(1, 1, (), {"s": ServiceSpec("s")})
        probe = HealthProbe(
            channels=self.channels,
            protocol=PlatformUpstreamProtocol(),
            clock=self.clock,
            configuration=lambda: configuration,
        )
        prober = UpstreamProber(upstream, probe)
        self.exchange("q1")
        for expected in ("", "", "i-1"):
            prober.probe()
            self.assertEqual(expected, upstream.upstream_id)
            self.assertEqual(0, self.channels.open_count)

    def endless(self, head: bytes, part: bytes):
        """Serve one connection with an answer that does not end."""

        def serve():
            sock, _ = self.listener.accept()
            sock.recv(65536)
            try:
                sock.sendall(head)
                while True:
                    sock.sendall(part)
                    self.sent_bytes += len(part)
            except OSError:
                sock.close()

        self.sent_bytes = 0
        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)

    def endless_answers(self):
        """Return head, repeated part and limit of answers that do not end, by name."""
        ok = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n"
        chunked = ok + b"Transfer-Encoding: chunked\r\n\r\n"
        line = b"x" * 16_384
        interim = b"HTTP/1.1 100 Continue\r\nX: " + line + b"\r\n\r\n"
        other = answer("q0", b"x" * 16_384)
        return {
            "header line": (ok + b"X: ", line, MAX_HEAD_BYTES),
            "header lines": (ok, b"X: " + line + b"\r\n", MAX_HEAD_BYTES),
            "header fields": (ok, b"a:b\r\n" * 1000, MAX_HEADER_FIELDS * 5000),
            "status line": (b"HTTP/1.1 200 ", line, MAX_HEAD_BYTES),
            "interim responses": (b"", interim, MAX_HEAD_BYTES),
            "chunk extension": (chunked + b"1;", line, MAX_HEAD_BYTES),
            "trailers": (chunked + b"0\r\n", b"X: " + line + b"\r\n", MAX_HEAD_BYTES),
            "chunks": (chunked, b"4000\r\n" + line + b"\r\n", MAX_BODY_BYTES),
            "body without length": (ok + b"\r\n", line, MAX_BODY_BYTES),
            "body": (ok + b"Content-Length: 99999999999\r\n\r\n", line, MAX_BODY_BYTES),
            "answers to others": (b"", other, MAX_SKIPPED_ANSWERS * len(other)),
        }

    def test_answers_without_end_are_rejected_early(self):
        """Guards against an upstream that fills the memory of its node."""
        # Bytes that may arrive before the limit is noticed: the buffers of the sockets.
        slack = 8 * 1024 * 1024
        for name, (head, part, limit) in self.endless_answers().items():
            self.endless(head, part)
            error = self.assertRaises(BadResponseError, self.exchange, timeout_s=20)
            self.assertRegex(error.message, "exceed|more than", name)
            self.assertLess(self.sent_bytes, limit + slack, name)
            self.assertEqual(0, self.channels.open_count, name)

    def test_many_answers_without_end_fit_into_the_memory(self):
        """Guards against an upstream that fills the memory on all channels at once."""
        count = 32
        self.channels = self.channels_to(self.address, max_channels=count)
        for name, (head, part, _) in self.endless_answers().items():
            self.serve_endless(head, part, count)
            tracemalloc.start()
            threads = [eventlet.spawn(self.outcome_of_exchange) for _ in range(count)]
            outcomes = {thread.wait() for thread in threads}
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertEqual({"BadResponseError"}, outcomes, name)
            self.assertLess(peak_bytes, 2 * MAX_BUFFERED_BYTES, name)
            self.assertEqual(0, self.channels.open_count, name)

    def serve_endless(self, head: bytes, part: bytes, count: int):
        """Serve `count` connections at the same time with answers that do not end."""

        def answer_without_end(sock):
            sock.recv(65536)
            with suppress(OSError):
                sock.sendall(head)
                while True:
                    sock.sendall(part)
            sock.close()

        def serve():
            socks = [self.listener.accept()[0] for _ in range(count)]
            for sock in socks:
                eventlet.spawn(answer_without_end, sock)

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)

    def test_incomplete_answers_are_freed_at_once(self):
        """Guards against bodies that fill the memory until a garbage collection."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
        # Small pieces, since `sendall` copies the rest of what it sends.
        half = [b"x" * 16_384] * (MAX_BODY_BYTES // 2 // 16_384)
        steps_by_outcome = {
            "BadResponseError": [head, *half, *half, *half],
            "UpstreamLostError": [head, *half],
            "CallTimeoutError": [head, *half, 20.0],
            "cancelled": [head, *half, 20.0],
        }
        self.serve_at_once(
            [{name.encode(): steps for name, steps in steps_by_outcome.items()}]
        )
        gc.disable()
        self.addCleanup(gc.enable)
        for name in steps_by_outcome:
            exchange = partial(self.outcome_of_exchange, name, timeout_s=0.3)
            tracemalloc.start()
            for _ in range(4):
                thread = eventlet.spawn(exchange)
                if name == "cancelled":
                    eventlet.sleep(0.1)
                    thread.kill()
                    self.assertRaises(GreenletExit, thread.wait)
                else:
                    self.assertEqual(name, thread.wait())
            del thread
            held_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(held_bytes, MAX_BODY_BYTES // 4, name)

    def test_sound_answers_arrive_beside_answers_without_end(self):
        """Guards against sound answers rejected for the size of faulty ones."""
        count = MAX_BUFFERED_BYTES // MAX_BODY_BYTES + 1
        self.channels = self.channels_to(self.address, max_channels=count + 1)
        steps_by_id = {
            b"large": [answer("large", b"x" * (MAX_BODY_BYTES - 1))[:-1], 20.0],
            b"small": [answer("small", b"x" * 1000)],
        }
        self.serve_at_once([steps_by_id])
        outcomes = [
            eventlet.spawn(self.outcome_of_exchange, "large") for _ in range(count)
        ]
        wait_until(lambda: sum(outcome.dead for outcome in outcomes) == 1, 10)
        others_bytes = (count - 1) * (MAX_BODY_BYTES - 2)
        wait_until(lambda: self.channels._buffered.total == others_bytes, 10)
        headers = (("Attempt-Id", "small"),)
        self.assertEqual(1000, len(self.exchange("small", headers=headers).body))

    def test_bodies_on_all_channels_together_are_limited(self):
        """Guards against filling the memory with one large answer for each slot."""
        count = MAX_BUFFERED_BYTES // MAX_BODY_BYTES + 1
        self.channels = self.channels_to(self.address, max_channels=count)
        body = b"x" * (MAX_BODY_BYTES - 1)
        steps = ["request", answer("q1", body)[:-1], 1.0, b"x", 1.0]
        self.serve_at_once(steps)
        threads = [eventlet.spawn(self.outcome_of_exchange) for _ in range(count)]
        outcomes = sorted(thread.wait() for thread in threads)
        self.assertEqual(["BadResponseError"] + ["complete"] * (count - 1), outcomes)
        self.assertEqual(b"x", self.exchange("q1", timeout_s=20).body[-1:])

    def serve_at_once(self, steps):
        """Serve all connections by the same steps at the same time."""

        def take_and_close(sock):
            with suppress(BrokenPipeError, ConnectionResetError):
                self.take_steps(sock, steps)
            sock.close()

        def serve():
            while True:
                sock, _ = self.listener.accept()
                eventlet.spawn(take_and_close, sock)

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)

    def outcome_of_exchange(self, request_id="q1", *, timeout_s=20):
        headers = (("Attempt-Id", request_id),)
        try:
            self.exchange(request_id, headers=headers, timeout_s=timeout_s)
        except CallError as error:
            return type(error).__name__
        return "complete"

    def test_trailers_are_not_taken_for_headers(self):
        """Guards against a status of the request that its head does not contain."""
        head = b"HTTP/1.1 503 S\r\nAttempt-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
        trailer = b"0\r\nNot-Executed: 1\r\n\r\n"
        self.script(["request", head + b"1\r\na\r\n" + trailer, 1.0])
        self.assertEqual(AnswerKind.MATCHING, self.exchange_kind("q1")[0])

    def test_answers_that_end_at_any_byte_are_not_whole(self):
        """Guards against an incomplete answer that is forwarded as a whole one."""
        ok = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n"
        answers = {
            "length": ok + b"Content-Length: 10\r\n\r\n0123456789",
            "no body": ok + b"Content-Length: 0\r\nX: y\r\n\r\n",
            "chunked": ok + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "refusal": refusal("X: y"),
            "no content": b"HTTP/1.1 204 No Content\r\nAttempt-Id: q1\r\n\r\n",
        }
        for name, whole in answers.items():
            for end in range(len(whole)):
                self.script(["request", whole[:end]])
                self.assertRaises(UpstreamLostError, self.exchange, "q1")
            self.script(["request", whole])
            self.assertTrue(self.exchange("q1").is_complete, name)

    def test_head_that_ends_at_any_byte_is_not_an_answer_without_length(self):
        """The end of the channel completes a body without a length, but no head."""
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nX: y\r\n\r\n"
        for end in range(len(head)):
            self.script(["request", head[:end]])
            self.assertRaises(UpstreamLostError, self.exchange, "q1")
