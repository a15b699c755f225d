"""Tests of requests and answers between nodes over real sockets."""

from dataclasses import dataclass, replace
from functools import partial
from unittest.mock import patch

import eventlet
from eventlet.green import socket
from testtools import TestCase

from tests.call_support import free_port, member, wait_until
from tests.silent_proxy import SilentProxy
from verbenawick.errors import AnswerLostError, LinkClosedError, PeerSilentError
from verbenawick.links._call_links import (
    ANSWERS_DROPPED,
    PROBE_AFTER_S,
    SILENCE_TIMEOUT_S,
    CallLinks,
)
from verbenawick.links._call_messages import (
    CallAnswer,
    CallCancel,
    CallRequest,
    Outcome,
    next_call_id,
)
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, LinkServer
from verbenawick.links._messages import Message, register_message
from verbenawick.mesh._messages import ForwardedAnswer, ForwardedCall
from verbenawick.mesh._model import CallOutcome
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

SHORT_PING_INTERVAL_S = 0.05
RECEIVED_BYTES = 1000
LINK_BUFFER_BYTES = 65_536


@register_message(9101)
@dataclass(frozen=True, slots=True)
class Question(Message):
    """Test request."""

    call_id: int
    text: str = ""


@register_message(9102)
@dataclass(frozen=True, slots=True)
class Reply(Message):
    """Test answer."""

    call_id: int
    text: str = ""


def call_request(**changes) -> CallRequest:
    """Return a call request with default fields."""
    fields = {
        "call_id": next_call_id(),
        "service_id": "archivo",
        "method": "GET",
        "target": "/a",
        "headers": (),
        "body": b"",
        "remaining_ms": 5000.0,
        "criticality": 1,
        "attempt": 1,
        "depth": 0,
        "idempotency_key": "",
        "claimed_by": "",
        "entry_node_id": "entry",
        "traceparent": "",
        "fingerprint": b"f",
        "version": 1,
    }
    return CallRequest(**{**fields, **changes})


def forwarded_call() -> ForwardedCall:
    """Return a call between the nodes of a mesh."""
    return ForwardedCall(
        *(next_call_id(), "q", "s", "s", "r", "GET", "/", (), b"", True, 0),
        *(0.0, 1.0, 1.0),
    )


def forwarded_answer(outcome: CallOutcome, status: int) -> ForwardedAnswer:
    """Return an answer between the nodes of a mesh."""
    return ForwardedAnswer(
        0, outcome, "", status, (), b"", True, 0.0, 0, 0, 1, 0.1, 0.0
    )


def reply_with(answer, status: int, peer, message, sent_at):
    """Return a copy of `answer` with `status` to the call in `message`."""
    answer = replace(answer, call_id=message.call_id)
    # The constructor rejects statuses that a node of another release may send.
    object.__setattr__(answer, "status", status)
    return answer


class CallLinksTestCase(TestCase):
    """Base class with a client and a server connected by call links."""

    def setUp(self):
        super().setUp()
        self.clock = MonotonicClock()
        self.metrics = MetricSet()
        self.client = self.links("client", 1)
        self.server = self.serve("server")
        self.running = []
        self.ended = []

    def links(self, node_id, port, **options):
        identity = NodeIdentity(node_id, 1, "s", "d", "r", f"127.0.0.1:{port}")
        links = CallLinks(identity, clock=self.clock, metrics=self.metrics, **options)
        self.addCleanup(links.close)
        return links

    def serve(self, node_id):
        self.peer = member(node_id, port=free_port())
        links = self.links(node_id, self.peer.peer_address.rpartition(":")[2])
        server = LinkServer(links._identity, {CALL_CHANNEL: links})
        server.listen()
        eventlet.spawn_n(server.run)
        self.addCleanup(server.stop)
        self.server_listener = server
        return links

    def answer_with(self, handler, message_type=Question):
        self.server.register_handler(message_type, handler)

    def hang(self, peer, message, sent_at):
        self.running.append(message)
        try:
            eventlet.sleep(60)
        finally:
            self.ended.append(message)

    def request(self, message=None, timeout_s=5.0, **options):
        message = message or Question(next_call_id())
        deadline = self.clock.now() + timeout_s
        return self.client.request(self.peer, message, deadline=deadline, **options)


class CallLinksTest(CallLinksTestCase):
    """Matching of answers, lost answers and cancellation."""

    def test_answers_reach_their_requests_in_any_order(self):
        """Guards against passing an answer to the wrong request."""

        def handler(peer, message, sent_at):
            eventlet.sleep(0.02 if message.text == "slow" else 0)
            return Reply(message.call_id, message.text)

        self.answer_with(handler)
        texts = ["slow", "a", "b", "slow", "c"]
        threads = [
            eventlet.spawn(self.request, Question(next_call_id(), text))
            for text in texts
        ]
        self.assertEqual(texts, [thread.wait().text for thread in threads])

    def test_a_request_that_a_peer_sends_twice_runs_once(self):
        """Guards against a second run of a call that must run once."""
        for is_running in (True, False):
            texts = []

            def handler(peer, message, sent_at, texts=texts, is_running=is_running):
                texts.append(message.text)
                eventlet.sleep(0.1 if is_running else 0)
                return Reply(message.call_id, message.text)

            self.answer_with(handler)
            question = Question(next_call_id(), "once")
            thread = eventlet.spawn(self.request, question)
            wait_until(lambda texts=texts: texts)
            if not is_running:
                thread.wait()
            self.client.dialled_links()[0].post(question)
            self.assertEqual("once", thread.wait().text)
            eventlet.sleep(0.15)
            self.assertEqual(["once"], texts)

    def test_late_and_duplicate_answers_are_dropped(self):
        """An answer without a pending request is counted and dropped."""

        def handler(peer, message, sent_at):
            link = next(iter(self.server._running))[0]
            link.post(Reply(message.call_id - 1, "late"))
            link.post(Reply(message.call_id, "first"))
            return Reply(message.call_id, "duplicate")

        self.answer_with(handler)
        self.assertEqual("first", self.request().text)
        wait_until(lambda: self.metrics.totals().get(ANSWERS_DROPPED) == 2)

    def test_unsent_request_and_lost_answer_raise_different_errors(self):
        """Guards against reporting a request that was sent as not run."""
        unreachable = member("other", port=free_port())
        deadline = self.clock.now() + 5
        self.assertRaises(
            LinkClosedError,
            self.client.request,
            unreachable,
            Question(next_call_id()),
            deadline=deadline,
        )
        self.answer_with(self.hang)
        thread = eventlet.spawn(self.request)
        wait_until(lambda: self.running)
        next(iter(self.server._running))[0].close()
        self.assertRaises(AnswerLostError, thread.wait)

    def test_answer_with_an_invalid_status_ends_its_call_and_link(self):
        """Guards against a status that no response can have at the caller."""
        for request, answer in (
            (call_request(), CallAnswer(0, Outcome.COMPLETE, "", 200, (), b"", "n")),
            (forwarded_call(), forwarded_answer(CallOutcome.COMPLETE, 200)),
        ):
            for status in (0, 99, 101, 600, 999, -200):
                self.answer_with(partial(reply_with, answer, status), type(request))
                self.assertRaises(AnswerLostError, self.request, request)

    def test_answer_of_a_call_that_did_not_run_has_no_status(self):
        """Such an answer is no response, whichever way the call failed."""
        answer = forwarded_answer(CallOutcome.NOT_RUN, 0)
        self.answer_with(partial(reply_with, answer, 0), ForwardedCall)
        outcome = self.request(forwarded_call()).outcome
        self.assertEqual(CallOutcome.NOT_RUN, outcome)

    def test_an_address_that_belongs_to_another_node_is_not_used(self):
        """Guards against calls to a node that reuses the address of a departed one."""
        wrong = member("departed", port=self.peer.peer_address.rpartition(":")[2])
        self.assertRaises(
            LinkClosedError,
            self.client.request,
            wrong,
            Question(next_call_id()),
            deadline=self.clock.now() + 5,
        )

    def test_a_request_is_cancelled_when_its_sender_gives_up(self):
        """An expired deadline and a cancelled caller both cancel remote execution."""
        self.answer_with(self.hang, CallRequest)
        self.assertRaises(AnswerLostError, self.request, call_request(), timeout_s=0.05)
        wait_until(lambda: len(self.ended) == 1)
        thread = eventlet.spawn(self.request, call_request())
        wait_until(lambda: len(self.running) == 2)
        thread.kill()
        wait_until(lambda: len(self.ended) == 2)
        self.assertEqual(0, self.server.running_count)

    def test_the_owner_of_a_key_is_not_cancelled(self):
        """A claimed execution continues, so that a retry can get its response."""
        self.answer_with(self.hang, CallRequest)
        keyed = call_request(idempotency_key="k")
        thread = eventlet.spawn(self.request, keyed)
        wait_until(lambda: self.running)
        thread.kill()
        link, call_id = next(iter(self.server._running))
        self.server.on_message(link, CallCancel(call_id))
        self.server.on_close(link)
        self.assertEqual([], self.ended)

    def test_transit_time_counts_against_the_deadline(self):
        """The receiver subtracts half of the measured round-trip time."""
        sent = []

        def handler(peer, message, sent_at):
            sent.append(self.clock.now() - sent_at)
            return Reply(message.call_id)

        self.answer_with(handler)
        self.request()
        running = self.server._running

        def start(peer, message, sent_at):
            next(iter(running))[0].round_trip_s = 0.2
            return Reply(message.call_id)

        self.answer_with(start)
        self.request()
        self.answer_with(handler)
        self.request()
        self.assertLess(sent[0], 0.09)
        self.assertGreaterEqual(sent[1], 0.1)

    def request_read_in_parts(self):
        with patch("verbenawick.links._links.RECEIVE_BUFFER_BYTES", RECEIVED_BYTES):
            return self.request()

    def test_answer_is_delivered_although_a_later_send_to_its_sender_fails(self):
        """Guards against unknown outcomes of requests that a stopping node answered."""

        def handler(peer, message, sent_at):
            link = next(iter(self.server._links))
            link.post(Reply(message.call_id - 1, "x" * RECEIVED_BYTES))
            link.post(Reply(message.call_id, "last"))
            link.close()
            # The first one is answered with a reset, which the second one finds.
            for _ in range(2):
                self.client.notify(self.client.dialled_links()[0], Reply(0))

        self.answer_with(handler)
        self.assertEqual("last", self.request_read_in_parts().text)
        wait_until(lambda: not self.client._links)

    def test_answer_is_delivered_although_a_pong_to_its_sender_fails(self):
        """Guards against unknown outcomes of requests that a stopping node answered."""

        def handler(peer, message, sent_at):
            link = next(iter(self.server._links))
            for _ in range(3):
                link.ping()
                link.post(Reply(message.call_id - 1, "x" * RECEIVED_BYTES))
            link.post(Reply(message.call_id, "last"))
            link.close()

        self.answer_with(handler)
        self.assertEqual("last", self.request_read_in_parts().text)
        wait_until(lambda: not self.client._links)

    def finish_server(self):
        self.server_listener.stop()
        started_at = self.clock.now()
        self.server.finish(timeout_s=2.0)
        return self.clock.now() - started_at

    def test_finish_answers_requests_that_are_still_on_the_way(self):
        """Guards against unknown outcomes of requests sent before a stop was known."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id, "refused"))
        self.request()
        self.client.dialled_links()[0]._delay_s = 0.2
        thread = eventlet.spawn(self.request)
        eventlet.sleep(0.05)
        self.finish_server()
        self.assertEqual("refused", thread.wait().text)

    def test_finish_delivers_the_answers_in_its_queue(self):
        """Guards against losing answers that wait for a full link."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id, "last"))
        self.request()
        next(iter(self.server._links))._delay_s = 0.2
        thread = eventlet.spawn(self.request)
        eventlet.sleep(0.05)
        self.finish_server()
        self.assertEqual("last", thread.wait().text)

    def test_finish_delivers_answers_while_a_slow_link_takes_them(self):
        """Guards against cutting the answers of a stopping node at a fixed time."""
        proxy = SilentProxy(self.peer.peer_address)
        self.addCleanup(proxy.close)
        self.peer = replace(self.peer, peer_address=proxy.address)
        self.answer_with(lambda peer, message, at: Reply(message.call_id, message.text))
        self.request()
        link = next(iter(self.server._links))
        link._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LINK_BUFFER_BYTES)
        for sock in proxy._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_BUFFER_BYTES)
        text = "x" * 30 * LINK_BUFFER_BYTES
        thread = eventlet.spawn(self.request, Question(next_call_id(), text), 10)
        wait_until(lambda: link._send_queue_bytes)
        proxy.delay_s = 0.05
        self.server.finish(timeout_s=8.0, idle_timeout_s=0.5)
        self.assertEqual(text, thread.wait().text)

    def test_finish_ends_early_unless_a_peer_does_not_respond(self):
        """Guards against a stop that always takes its whole timeout."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        self.assertLess(self.finish_server(), 1.0)
        self.assertEqual(set(), self.server._links)
        wait_until(lambda: not self.client.dialled_links())

    def test_finish_opens_no_links(self):
        """Guards against a stop that waits for links that it has opened meanwhile."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        self.client.dialled_links()[0]._delay_s = 0.2
        thread = eventlet.spawn(self.client.finish, timeout_s=5.0)
        eventlet.sleep(0.05)
        self.serve("other")
        self.assertRaises(LinkClosedError, self.client.connect, self.peer)
        with eventlet.Timeout(2):
            thread.wait()

    def test_finish_closes_the_link_to_a_peer_that_does_not_respond(self):
        """Guards against a stop that waits forever for a node that hangs."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        self.client.dialled_links()[0]._is_finishing = True
        self.assertGreaterEqual(self.finish_server(), 2.0)
        wait_until(lambda: not self.server._links)

    def test_finish_waits_no_longer_for_a_peer_that_takes_nothing(self):
        """Guards against a stop that uses its whole grace for a node that hangs."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        self.client.dialled_links()[0]._is_finishing = True
        with eventlet.Timeout(2.0):
            self.server.finish(timeout_s=8.0, idle_timeout_s=0.5)
        wait_until(lambda: not self.server._links)


class UnansweredPingTest(CallLinksTestCase):
    """Links whose peer answers no pings for several intervals, as when it is paused."""

    def answer_slowly(self, peer, message, sent_at):
        try:
            eventlet.sleep(8 * SHORT_PING_INTERVAL_S)
        finally:
            self.ended.append(message)
        return Reply(message.call_id, "late")

    def open_link(self):
        """Open a link whose ends ping each other often and get no pong."""
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        links = [self.client.dialled_links()[0], next(iter(self.server._links))]
        for link in links:
            link.ping = lambda: None
        self.answer_with(self.answer_slowly)
        return links

    def setUp(self):
        super().setUp()
        self.client = self.links("client", 1, ping_interval_s=SHORT_PING_INTERVAL_S)
        self.server_listener._ping_interval_s = SHORT_PING_INTERVAL_S

    def test_pending_request_gets_its_answer(self):
        """Guards against unknown outcomes of calls to a node that was paused."""
        self.open_link()
        self.assertEqual("late", self.request().text)

    def test_running_request_is_not_cancelled(self):
        """Guards against cancelling the runs of a caller's node that was paused."""
        ends = self.open_link()
        self.answer_with(self.answer_slowly, CallRequest)
        thread = eventlet.spawn(self.request, call_request())
        self.assertEqual("late", thread.wait().text)
        self.assertEqual(1, len(self.ended))
        wait_until(lambda: not any(link.is_open for link in ends))

    def test_further_requests_use_another_link(self):
        """Guards against calls that wait on a link which no longer works."""
        first, _ = self.open_link()
        thread = eventlet.spawn(self.request)
        eventlet.sleep(6 * SHORT_PING_INTERVAL_S)
        self.answer_with(lambda peer, message, at: Reply(message.call_id, "new"))
        self.assertEqual("new", self.request().text)
        self.assertTrue(first.is_open)
        self.assertEqual("late", thread.wait().text)
        wait_until(lambda: not first.is_open)

    def test_waiters_for_the_end_of_a_replaced_link_are_woken(self):
        """Guards against a connector that misses the end of the new link."""
        self.open_link()
        address = self.peer.peer_address
        waiter = eventlet.spawn(self.client.wait_until_closed, address)
        thread = eventlet.spawn(self.request)
        eventlet.sleep(6 * SHORT_PING_INTERVAL_S)
        self.client.connect(self.peer)
        with eventlet.Timeout(2):
            waiter.wait()
        self.assertTrue(self.client.is_connected(self.peer))
        thread.wait()


class SilenceTest(CallLinksTestCase):
    """Detection of silent peers, as opposed to idle or busy ones."""

    def check(self):
        return self.client.check_silence()

    def open_link(self):
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        return self.client.dialled_links()[0]

    def freeze(self, link):
        """Make the peer answer neither requests nor pings."""
        self.server.register_handler(
            Question, self.hang, is_cancellable=lambda message: True
        )
        link.ping = lambda: None

    def test_idle_link_is_not_silent_at_its_next_request(self):
        """Guards against treating idle links as dead and retrying their calls."""
        link = self.open_link()
        link._last_received_at -= 10 * SILENCE_TIMEOUT_S
        self.answer_with(self.hang)
        thread = eventlet.spawn(self.request)
        wait_until(lambda: self.running)
        self.assertEqual([], self.check())
        self.assertFalse(self.client.is_silent(self.peer.peer_address))
        thread.kill()

    def wait_until_silent(self):
        silent = []
        end = self.clock.now() + SILENCE_TIMEOUT_S + 0.3
        while not silent and self.clock.now() < end:
            eventlet.sleep(0.05)
            silent = self.check()
        self.assertEqual(["server"], [change.peer.node_id for change in silent])
        self.assertTrue(self.client.is_silent(self.peer.peer_address))
        eventlet.sleep(0)

    def send_and_wait_until_silent(self, *, reports_silence):
        """Return the list to which a green thread adds its answer or error."""
        link = self.open_link()
        self.freeze(link)
        outcomes = []

        def send():
            try:
                outcomes.append(self.request(reports_silence=reports_silence))
            except (AnswerLostError, PeerSilentError) as error:
                outcomes.append(error)

        thread = eventlet.spawn(send)
        self.addCleanup(thread.kill)
        wait_until(lambda: self.running)
        self.wait_until_silent()
        return link, outcomes

    def test_silence_does_not_end_a_request(self):
        """Guards against an error in place of an answer that is only slow."""
        link, outcomes = self.send_and_wait_until_silent(reports_silence=False)
        self.check()
        eventlet.sleep(0)
        self.assertEqual([], outcomes)
        answer = Reply(self.running[0].call_id, "late")
        self.client.on_message(link, answer)
        wait_until(lambda: outcomes)
        self.assertEqual([answer], outcomes)
        self.assertEqual([], self.ended)

    def test_answer_after_a_reported_silence_reaches_the_resumed_request(self):
        """Guards against dropping an answer that arrives between report and resume."""
        link, outcomes = self.send_and_wait_until_silent(reports_silence=True)
        (error,) = outcomes
        self.assertIsInstance(error, PeerSilentError)
        answer = Reply(self.running[0].call_id, "late")
        self.client.on_message(link, answer)
        deadline = self.clock.now() + 1
        self.assertEqual(answer, self.client.resume(error.pending, deadline=deadline))
        self.assertEqual([], self.ended)

    def test_silence_is_reported_once(self):
        """Guards against a second report that ends the wait of a resumed request."""
        _, outcomes = self.send_and_wait_until_silent(reports_silence=True)
        pending = outcomes[0].pending
        deadline = self.clock.now() + 0.3
        thread = eventlet.spawn(self.client.resume, pending, deadline=deadline)
        eventlet.sleep(0.05)
        self.assertEqual([], self.check())
        self.assertRaises(AnswerLostError, thread.wait)
        self.assertGreaterEqual(self.clock.now(), deadline)

    def test_abandoned_request_is_cancelled_at_the_peer(self):
        """Guards against runs that continue after another answer was taken."""
        link, outcomes = self.send_and_wait_until_silent(reports_silence=True)
        pending = outcomes[0].pending
        self.client.abandon(pending)
        self.client.abandon(pending)
        wait_until(lambda: self.ended)
        self.assertEqual({}, self.client._pending_by_call_id)

    def test_silent_link_is_replaced_once_no_request_is_pending(self):
        """A link can become silent permanently while new links to the node work."""
        link = self.open_link()
        self.freeze(link)
        thread = eventlet.spawn(self.request, timeout_s=SILENCE_TIMEOUT_S + 0.2)
        wait_until(lambda: self.running)
        while not self.client.is_silent(self.peer.peer_address):
            eventlet.sleep(0.05)
            self.check()
        self.check()
        self.assertTrue(link.is_open)
        self.assertRaises(AnswerLostError, thread.wait)
        self.check()
        self.assertFalse(link.is_open)
        self.answer_with(lambda peer, message, at: Reply(message.call_id))
        self.request()
        self.assertFalse(self.client.is_silent(self.peer.peer_address))

    def test_silent_link_that_carries_only_notices_is_closed(self):
        """Guards against beacons into a link that has stopped carrying data."""
        link = self.open_link()
        self.freeze(link)
        self.client.check(link)
        self.wait_until_silent()
        self.assertFalse(link.is_open)

    def test_link_that_carries_notices_late_is_closed(self):
        """Guards against beacons that confirm a version which is seconds old."""
        proxy = SilentProxy(self.peer.peer_address)
        self.addCleanup(proxy.close)
        self.peer = member("server", port=proxy.address.rpartition(":")[2])
        link = self.open_link()
        proxy.delay_s = 1.5
        self.client.check(link)
        self.wait_until_silent()
        self.assertFalse(link.is_open)

    def open_proxied_links(self, count):
        """Return proxies to the peer, each of them with an idle link through it."""
        proxies = [SilentProxy(self.peer.peer_address) for _ in range(count)]
        for proxy in proxies:
            self.addCleanup(proxy.close)
            self.peer = member("server", port=proxy.address.rpartition(":")[2])
            self.open_link()
        return proxies

    def links_through(self, proxies):
        peers = self.client._peers_by_address
        return [peers[proxy.address].link for proxy in proxies]

    def test_connections_that_were_lost_together_are_found_on_idle_links(self):
        """Guards against a request that is lost on each of the silent links."""
        proxies = self.open_proxied_links(5)
        for proxy in proxies[1:]:
            proxy.silence()
        eventlet.sleep(PROBE_AFTER_S)
        working, *silent = self.links_through(proxies)
        for link in silent[:2]:
            self.client.check(link)
        end = self.clock.now() + 3 * SILENCE_TIMEOUT_S
        while any(link.is_open for link in silent) and self.clock.now() < end:
            eventlet.sleep(0.05)
            self.check()
        self.assertEqual([False] * 4, [link.is_open for link in silent])
        self.assertTrue(working.is_open)

    def test_idle_links_are_not_pinged_because_of_one_silent_peer(self):
        """Guards against pings between all nodes whenever one of them is paused."""
        proxies = self.open_proxied_links(3)
        proxies[0].silence()
        silent, *idle = self.links_through(proxies)
        pings = []
        for link in idle:
            link.ping = lambda: pings.append(1)
        eventlet.sleep(PROBE_AFTER_S)
        self.client.check(silent)
        end = self.clock.now() + 2 * SILENCE_TIMEOUT_S
        while self.clock.now() < end:
            eventlet.sleep(0.05)
            self.check()
        self.assertFalse(silent.is_open)
        self.assertEqual([], pings)

    def test_checked_link_that_answers_stays_open(self):
        """Guards against closing a link because no request is pending on it."""
        link = self.open_link()
        self.client.check(link)
        end = self.clock.now() + 2 * SILENCE_TIMEOUT_S
        while self.clock.now() < end:
            self.assertEqual([], self.check())
            eventlet.sleep(0.05)
        self.assertTrue(link.is_open)
        self.assertEqual([], self.client._peers_to_check())

    def test_beginning_and_end_of_a_silence_are_reported_with_its_extent(self):
        """Guards against a log that cannot tell a full link from a stalled process."""
        link = self.open_link()
        ping = link.ping
        self.freeze(link)
        thread = eventlet.spawn(self.request)
        wait_until(lambda: self.running)
        changes = []
        with eventlet.Timeout(5):
            while not changes:
                eventlet.sleep(0.05)
                changes += self.check()
            link.ping = ping
            while len(changes) < 2:
                eventlet.sleep(0.05)
                changes += self.check()
        began, ended = changes
        self.assertEqual((True, 1, 0), (began.is_silent, *self.extent(began)))
        self.assertEqual((False, 1, 0), (ended.is_silent, *self.extent(ended)))
        self.assertGreater(ended.silence_s, began.silence_s)
        thread.kill()

    @staticmethod
    def extent(change):
        return change.pending_requests, change.unsent_bytes

    def test_pause_of_this_process_is_not_taken_for_silence_of_the_peer(self):
        """Guards against failing the calls of all links when a suspended VM resumes."""
        link = self.open_link()
        self.answer_with(self.hang)
        thread = eventlet.spawn(self.request)
        wait_until(lambda: self.running)
        pending = next(iter(self.client._pending_by_call_id.values()))
        pending.sent_at -= 10 * SILENCE_TIMEOUT_S
        link._last_received_at = pending.sent_at
        self.assertEqual([], self.check())
        wait_until(lambda: self.clock.now() - link.last_received_at < 1.0)
        self.assertEqual([], self.check())
        thread.kill()

    def test_busy_peer_that_answers_pings_is_not_silent(self):
        """Guards against treating a node as dead because its upstream is slow."""
        self.open_link()
        self.answer_with(self.hang)
        thread = eventlet.spawn(self.request)
        wait_until(lambda: self.running)
        end = self.clock.now() + SILENCE_TIMEOUT_S + 0.3
        while self.clock.now() < end:
            self.assertEqual([], self.check())
            eventlet.sleep(0.05)
        thread.kill()

    def test_wait_until_closed_returns_when_the_link_closes(self):
        """Guards against a connector that misses the end and never dials again."""
        link = self.open_link()
        thread = eventlet.spawn(self.client.wait_until_closed, self.peer.peer_address)
        eventlet.sleep(0)
        link.close()
        with eventlet.Timeout(2):
            thread.wait()
        self.assertFalse(self.client.is_connected(self.peer))

    def test_link_to_another_node_at_the_same_address_is_not_used(self):
        """Guards against calls for a removed node at the successor on its address."""
        self.open_link()
        removed = replace(self.peer, node_id="removed")
        self.assertFalse(self.client.is_connected(removed))
        question = Question(next_call_id())
        self.assertRaises(
            LinkClosedError,
            self.client.request,
            removed,
            question,
            deadline=self.client.now() + 1,
        )
        self.assertTrue(self.client.is_connected(self.peer))
