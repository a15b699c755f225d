"""Randomised upstreams that repeat, truncate and split what they send.

A number of cases other than the default can be given in `UPSTREAM_FUZZ_CASES`.
"""

import os
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import eventlet
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from testtools import TestCase

from verbenawick.calls._upstream import NOT_RUN_HEADER, UpstreamConnections
from verbenawick.errors import (
    BadResponseError,
    CallTimeoutError,
    DeadlineUnreachableError,
    UpstreamLostError,
    UpstreamShedError,
)
from verbenawick.mesh._upstream_channels import AnswerKind, UpstreamChannels
from verbenawick.platform._calls import PlatformUpstreamProtocol
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

CASES = int(os.environ.get("UPSTREAM_FUZZ_CASES", "150"))
TIMEOUT_S = 0.1
UNKNOWN_ERRORS = (CallTimeoutError, UpstreamLostError, BadResponseError)

run_cases = partial(
    settings,
    max_examples=CASES,
    deadline=None,
    derandomize=CASES == 150,
    suppress_health_check=list(HealthCheck),
)


@dataclass(frozen=True)
class Turn:
    """What the upstream does with one request.

    Attributes
    ----------
    runs : bool
        Whether it runs the request, instead of refusing it.
    repeats_before, repeats_after : list of int
        Earlier answers on the channel, by index, that it writes again.
    ends_at : float or None
        Share of the answer after which it closes the channel.
    splits : list of float
        Shares of the bytes at which they are divided.
    """

    runs: bool
    has_id: bool
    framing: str
    body: bytes
    repeats_before: list[int]
    repeats_after: list[int]
    ends_at: float | None
    splits: list[float]
    is_same_request: bool

    def answer(self, request_id: str) -> bytes:
        """Return the whole answer."""
        lines = ["HTTP/1.1 200 OK" if self.runs else "HTTP/1.1 503 Busy"]
        if not self.runs:
            lines += ["Not-Executed: 1", f"{NOT_RUN_HEADER}: 1"]
        if self.has_id:
            lines.append(f"Attempt-Id: {request_id}")
        if self.framing == "length":
            lines.append(f"Content-Length: {len(self.body)}")
            body = self.body
        else:
            lines.append("Transfer-Encoding: chunked")
            chunk = b"%x\r\n%s\r\n" % (len(self.body), self.body)
            body = (chunk if self.body else b"") + b"0\r\n\r\n"
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


shares = st.floats(0, 1, exclude_max=True)
indices = st.lists(st.integers(0, 3), max_size=2)
turns = st.builds(
    Turn,
    runs=st.booleans(),
    has_id=st.booleans(),
    framing=st.sampled_from(["length", "chunked"]),
    body=st.binary(max_size=40),
    repeats_before=indices,
    repeats_after=indices,
    ends_at=st.none() | shares,
    splits=st.lists(shares, max_size=3),
    is_same_request=st.booleans(),
)


@dataclass
class FaultyUpstream:
    """Server that answers each request by the next turn."""

    turns: list[Turn]
    taken: list[Turn] = field(default_factory=list)

    def __post_init__(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.threads = [eventlet.spawn(self._accept)]

    def close(self) -> None:
        """Stop the server."""
        for thread in self.threads:
            thread.kill()
        self.listener.close()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.threads.append(eventlet.spawn(self._serve, sock))

    def _serve(self, sock):
        history = []
        with suppress(OSError):
            while head := sock.recv(65536).decode("latin-1"):
                turn = self.turns[len(self.taken)]
                self.taken.append(turn)
                request_id = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
                if not self._take_turn(sock, turn, turn.answer(request_id), history):
                    break
        sock.close()

    def _take_turn(self, sock, turn, answer, history) -> bool:
        before = self._repeat(history, turn.repeats_before)
        history.append(answer)
        after = self._repeat(history, turn.repeats_after)
        is_cut = turn.ends_at is not None
        data = before + (
            answer[: int(turn.ends_at * len(answer))] if is_cut else answer
        )
        data += b"" if is_cut else after
        start = 0
        for end in [*sorted(int(s * len(data)) for s in turn.splits), len(data)]:
            sock.sendall(data[start:end])
            start = end
            eventlet.sleep(0)
        return not is_cut

    @staticmethod
    def _repeat(history, numbers) -> bytes:
        return b"".join(history[n] for n in numbers if n < len(history))


class UpstreamFuzzTest(TestCase):
    """What a node concludes from any sequence of bytes is true."""

    @seed(1)
    @run_cases()
    @given(st.lists(turns, min_size=1, max_size=4))
    def test_platform_channels_conclude_only_what_happened(self, turns):
        """Guards against REFUSED, TWICE and MIXED through an upstream that lies."""
        upstream = FaultyUpstream(turns)
        clock = MonotonicClock()
        channels = UpstreamChannels(
            upstream.address,
            max_channels=2,
            id_header="attempt-id",
            clock=clock,
            metrics=MetricSet(),
        )
        classify = PlatformUpstreamProtocol().classify
        try:
            request_id = ""
            for number, turn in enumerate(turns):
                if not (turn.is_same_request and request_id):
                    request_id = f"q{number}"
                try:
                    kind, raw = self.exchange(
                        upstream,
                        channels,
                        request_id=request_id,
                        method="GET",
                        target="/x",
                        headers=(("Attempt-Id", request_id),),
                        body=b"",
                        classify=partial(classify, request_id=request_id),
                    )
                except UNKNOWN_ERRORS:
                    continue
                self.check(turn, kind is AnswerKind.NOT_RUN, bytes(raw.body))
            channels.close_idle()
            self.assertEqual(0, channels.open_count)
        finally:
            upstream.close()

    @seed(1)
    @run_cases()
    @given(st.lists(turns, min_size=1, max_size=4))
    def test_own_connections_conclude_only_what_happened(self, turns):
        """Guards against the same on the own interface, whose answers have no id.

        There, an answer that is repeated behind the next request cannot be recognised,
        unless it is a refusal.
        """
        turns = [
            turn for turn in turns if not (turn.repeats_before or turn.repeats_after)
        ]
        upstream = FaultyUpstream(turns)
        clock = MonotonicClock()
        connections = UpstreamConnections(
            upstream.address, max_connections=2, clock=clock, metrics=MetricSet()
        )
        try:
            for turn in turns:
                try:
                    response = self.exchange(
                        upstream,
                        connections,
                        method="GET",
                        target="/x",
                        headers=(("Host", "h"),),
                        body=b"",
                        max_body_bytes=1000,
                    )
                except UpstreamShedError:
                    self.check(turn, True, b"")
                except UNKNOWN_ERRORS:
                    continue
                else:
                    self.check(turn, False, response.body)
            connections.close_idle()
            self.assertEqual(0, connections.open_count)
        finally:
            upstream.close()

    def exchange(self, upstream, channels, **options):
        """Exchange a request; repeat it if the process was paused until its deadline.

        A request that is said to be unsent must not have reached the upstream, and its
        deadline must have passed.
        """
        clock = MonotonicClock()
        while True:
            taken = len(upstream.taken)
            deadline = clock.now() + TIMEOUT_S
            try:
                return channels.exchange(deadline=deadline, **options)
            except DeadlineUnreachableError:
                self.assertGreaterEqual(clock.now(), deadline)
                eventlet.sleep(0)
                self.assertEqual(taken, len(upstream.taken))

    def check(self, turn: Turn, is_not_run: bool, body: bytes) -> None:
        """Check a conclusion about a request against what the upstream did with it."""
        self.assertEqual(not turn.runs, is_not_run)
        self.assertIsNone(turn.ends_at)
        if not is_not_run:
            self.assertEqual(turn.body, body)
