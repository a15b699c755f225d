"""Pool of call links to other nodes, which matches answers with requests."""

import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from eventlet.greenthread import GreenThread
from eventlet.semaphore import Semaphore

from verbenawick.errors import (
    AnswerLostError,
    LinkClosedError,
    LinkOverflowError,
    PeerSilentError,
    VerbenawickError,
)
from verbenawick.links._call_messages import CallCancel, CallRequest
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, PING_INTERVAL_S, Link, dial_link
from verbenawick.links._members import Member
from verbenawick.links._messages import Message
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._killable import returns_when_killed
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.runtime._reused_threads import ReusedThreads

RequestHandler = Callable[[NodeIdentity, Message, float], Message]
NoticeHandler = Callable[[NodeIdentity, Message], None]

# After a failed dial, requests to that node fail immediately for this long, so that
# they do not each wait for a dial to a node that is down.
REDIAL_DELAY_S = 0.1

DIAL_TIMEOUT_S = 1.0

LINK_POLL_INTERVAL_S = 0.01
# Interval at which a stopping node asks the kernel what its peers have acknowledged.
DELIVERY_CHECK_INTERVAL_S = 0.1

# A peer with pending requests that sends nothing for this long is pinged.
PROBE_AFTER_S = 0.25
# A peer with pending requests that sends nothing for this long, not even a pong, is
# unreachable or frozen.
SILENCE_TIMEOUT_S = 0.7
# If two peers become silent within this time, the links to all peers are checked: their
# connections may have been lost together, which idle links do not show.
COMMON_LOSS_WINDOW_S = 2.0
# Last requests of a link that are compared with a new one.
MAX_RECENT_REQUESTS = 64

ANSWERS_DROPPED = register_metric(
    "calls.answers_dropped",
    MetricKind.COUNTER,
    "answers",
    "Late or duplicate answers for calls that no longer wait",
)
LINKS_DIALLED = register_metric(
    "calls.links_dialled", MetricKind.COUNTER, "links", "Call links opened by this node"
)


@register_event(104, level="WARNING")
@dataclass(frozen=True, slots=True)
class RequestRepeated(LogEvent):
    """A peer sent a request a second time; it was ignored."""

    peer: str
    call_id: int


@dataclass(eq=False, slots=True)
class _Peer:
    link: Link | None = None
    dial_lock: Semaphore = field(default_factory=Semaphore)
    next_dial_at: float = 0.0
    # When the peer was found to be silent, 0 if it is not.
    silent_since: float = 0.0
    # When the first ping after the last received data was sent, 0 without one.
    probed_at: float = 0.0
    closed: Event = field(default_factory=Event)


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that was sent and has no answer yet.

    Attributes
    ----------
    reports_silence : bool
        Whether the wait for the answer ends when the peer becomes silent.
    """

    link: Link
    message: Message
    sent_at: float
    reports_silence: bool
    answered: Event = field(default_factory=Event)


@dataclass(frozen=True, slots=True)
class PeerSilence:
    """A peer that became silent, or that responds again.

    Attributes
    ----------
    silence_s : float
        How long the peer has been silent, or was silent, in seconds.
    pending_requests : int
        Requests that wait for an answer of the peer.
    unsent_bytes : int
        Bytes sent to the peer that it has not acknowledged.
    """

    peer: NodeIdentity
    is_silent: bool
    silence_s: float
    pending_requests: int
    unsent_bytes: int


class _Delivery:
    """Delivery of the last messages on the links of a stopping node."""

    def __init__(
        self, links: set[Link], clock: Clock, timeout_s: float, idle_timeout_s: float
    ):
        self._links = links
        self._clock = clock
        self._deadline = clock.now() + timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._idle_since = clock.now()
        self._next_check_at = clock.now() + DELIVERY_CHECK_INTERVAL_S
        # Acknowledged bytes of the links with unacknowledged ones.
        self._acknowledged_by_link: dict[Link, int] = {}

    def continues(self) -> bool:
        """Return whether to wait longer for the peers."""
        now = self._clock.now()
        if now >= self._next_check_at:
            self._next_check_at = now + DELIVERY_CHECK_INTERVAL_S
            self._check(now)
        return now < min(self._deadline, self._idle_since + self._idle_timeout_s)

    def _check(self, now: float) -> None:
        if any(
            link.acknowledged_bytes > earlier
            for link, earlier in self._acknowledged_by_link.items()
        ):
            self._idle_since = now
        self._acknowledged_by_link = {
            link: link.acknowledged_bytes for link in self._links if link.unsent_bytes
        }


def _is_cancellable(message: Message) -> bool:
    # The owner of an idempotency key continues until the deadline: a recorded response
    # can answer a retry, while a cancelled execution has an unknown outcome.
    if not isinstance(message, CallRequest):
        return False
    return not message.idempotency_key or bool(message.claimed_by)


def _link_of(link: Link, member: Member) -> Link:
    """Return `link`; raise `LinkClosedError` if it leads to another node."""
    if link.peer.node_id != member.node_id:
        raise LinkClosedError(
            f"{member.peer_address} belongs to node {link.peer.node_id}",
            step="calls.dial",
            peer=member.node_id,
        )
    return link


def _is_usable(link: Link | None) -> bool:
    return link is not None and link.is_open and not link.is_silent


class CallLinks:
    """Pool of call links; implements `RequestPort` and `LinkHandler`.

    A node sends requests only on links that it dialled and receives the answers on the
    same link. The handler registered for the type of a request from another node runs
    in a separate green thread. Notices have no answer and are sent in both directions.

    Parameters
    ----------
    dial_timeout_s : float
        Timeout for opening a link.
    on_link_open : callable
        Called with each new link, dialled or accepted.
    is_compressed_to : callable
        Returns whether messages to and from a member are compressed.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        *,
        clock: Clock,
        metrics: MetricSet,
        delay_for: Callable[[str], float] = lambda ip: 0.0,
        dial_timeout_s: float = DIAL_TIMEOUT_S,
        ping_interval_s: float = PING_INTERVAL_S,
        on_link_open: Callable[[Link], None] = lambda link: None,
        is_compressed_to: Callable[[Member], bool] = lambda member: False,
    ):
        self._dial_timeout_s = dial_timeout_s
        self._ping_interval_s = ping_interval_s
        self._on_link_open = on_link_open
        self._is_compressed_to = is_compressed_to
        self._identity = identity
        self._clock = clock
        self._metrics = metrics
        self._delay_for = delay_for
        self._handlers_by_type: dict[type[Message], RequestHandler] = {}
        self._cancellable_by_type: dict[type[Message], Callable[[Message], bool]] = {}
        self._notice_handlers_by_type: dict[type[Message], NoticeHandler] = {}
        self._peers_by_address: dict[str, _Peer] = {}
        self._links: set[Link] = set()
        self._pending_by_call_id: dict[int, PendingRequest] = {}
        self._running: dict[tuple[Link, int], tuple[GreenThread, Message]] = {}
        self._threads = ReusedThreads()
        self._recent_ids_by_link: dict[Link, deque[int]] = {}
        # Links without pending requests that have to answer a ping, and since when.
        self._checked_since_by_link: dict[Link, float] = {}
        # Peer that became silent last, and when.
        self._last_silent_peer: _Peer | None = None
        self._last_silence_at = -math.inf
        self._is_finishing = False

    def register_handler(
        self,
        message_type: type[Message],
        handler: RequestHandler,
        *,
        is_cancellable: Callable[[Message], bool] = _is_cancellable,
    ) -> None:
        """Set the handler of a request type.

        Parameters
        ----------
        handler : callable
            Called with the peer, the request and the estimated time on the local clock
            at which the peer sent it. Returns the answer, with the same `call_id`.
        is_cancellable : callable
            Returns whether a running request is cancelled when its sender no longer
            waits for the answer.
        """
        self._handlers_by_type[message_type] = handler
        self._cancellable_by_type[message_type] = is_cancellable

    def register_notice(
        self, message_type: type[Message], handler: NoticeHandler
    ) -> None:
        """Set the handler of a message type without answer; it must not block."""
        self._notice_handlers_by_type[message_type] = handler

    def connect(self, member: Member) -> None:
        """Open a link to `member` unless one is open.

        Raises
        ------
        LinkClosedError
            The node is currently unreachable.
        """
        self._link_to(member, self._clock.now() + self._dial_timeout_s)

    def is_connected(self, member: Member) -> bool:
        """Return whether a dialled link to `member` is open.

        A link to another node at the same address does not count.
        """
        peer = self._peers_by_address.get(member.peer_address)
        return (
            peer is not None
            and peer.link is not None
            and peer.link.is_open
            and peer.link.peer.node_id == member.node_id
        )

    def wait_until_closed(self, peer_address: str) -> None:
        """Block until the dialled link to the node at an address has closed."""
        peer = self._peers_by_address.get(peer_address)
        if peer is not None and peer.link is not None and peer.link.is_open:
            peer.closed.wait()

    def is_silent(self, peer_address: str) -> bool:
        """Return whether `check_silence` found the node at an address to be silent."""
        peer = self._peers_by_address.get(peer_address)
        return peer is not None and bool(peer.silent_since)

    def now(self) -> float:
        """Return the current time of the clock that deadlines refer to."""
        return self._clock.now()

    def dialled_links(self) -> list[Link]:
        """Return the open links that this node dialled, one per peer."""
        return [link for link in self._links if link.is_dialled and link.is_open]

    def open_links(self) -> list[Link]:
        """Return one open link to each peer, the dialled one if there are two."""
        links = sorted(self._links, key=lambda link: link.is_dialled)
        return list({link.peer: link for link in links if link.is_open}.values())

    def accepted_peers(self) -> list[NodeIdentity]:
        """Return the nodes that have dialled this one."""
        return [link.peer for link in self._links if not link.is_dialled]

    def notify_all(self, message: Message) -> None:
        """Send a notice on all open links."""
        for link in list(self._links):
            self.notify(link, message)

    def notify(self, link: Link, message: Message) -> None:
        """Send a notice on one link; it is dropped if the link is closed."""
        with suppress(LinkClosedError, LinkOverflowError):
            link.post(message)

    def notify_peer(self, peer: NodeIdentity, message: Message) -> None:
        """Send a notice to a peer; it is dropped without an open link."""
        for link in self.open_links():
            if link.peer == peer:
                self.notify(link, message)

    def await_any_receipt(self, *, timeout_s: float) -> bool:
        """Return whether a peer handles what was sent to it, within `timeout_s`."""
        pings = []
        for link in [link for link in self._links if link.is_open]:
            with suppress(LinkClosedError, LinkOverflowError):
                pings.append((link, link.ping()))
        deadline = self._clock.now() + timeout_s
        while not any(link.is_answered(ping) for link, ping in pings):
            if self._clock.now() >= deadline:
                return False
            eventlet.sleep(LINK_POLL_INTERVAL_S)
        return True

    def check(self, link: Link) -> None:
        """Have `check_silence` check a link although no request is pending on it.

        Notices have no answer, so nothing else shows that a link which carries only
        notices has gone silent.
        """
        self._checked_since_by_link.setdefault(link, self._clock.now())

    def check_silence(self) -> list[PeerSilence]:
        """Ping peers with pending requests; return those whose silence began or ended.

        Silence does not end a request, since a slow process or a full link causes it
        too. `PeerSilentError` tells the senders that asked for it. The link is closed
        as soon as no request is pending on it, since a new link to the same node may
        work.
        """
        now = self._clock.now()
        changes = []
        for peer, pending_since in self._peers_to_check():
            link = peer.link
            # Silence on an idle link before the oldest pending request does not count.
            silence_s = now - max(link.last_received_at, pending_since)
            if silence_s < PROBE_AFTER_S:
                if peer.silent_since:
                    changes.append(self._peer_silence(peer, now, is_silent=False))
                peer.silent_since = peer.probed_at = 0.0
                continue
            with suppress(LinkClosedError, LinkOverflowError):
                link.ping()
            if link.last_received_at >= peer.probed_at:
                # Silence is measured from the first unanswered ping: this process may
                # have been paused, and data that the peer sent meanwhile is still
                # unread.
                peer.probed_at = now
            if now - peer.probed_at < SILENCE_TIMEOUT_S - PROBE_AFTER_S:
                continue
            if not peer.silent_since:
                peer.silent_since = peer.probed_at
                changes.append(self._peer_silence(peer, now, is_silent=True))
                self._on_silence(peer, now)
            self._report_silence(link)
            if not any(
                pending.link is link for pending in self._pending_by_call_id.values()
            ):
                link.close("peer did not respond to pings")
        return changes

    def _on_silence(self, peer: _Peer, now: float) -> None:
        """Check all dialled links if another peer became silent a short time ago."""
        earlier, silent_at = self._last_silent_peer, self._last_silence_at
        self._last_silent_peer, self._last_silence_at = peer, now
        if earlier is peer or now - silent_at > COMMON_LOSS_WINDOW_S:
            return
        for link in self.dialled_links():
            # Pinged in the next check unless it has received something just now.
            self._checked_since_by_link.setdefault(link, now - PROBE_AFTER_S)

    def _peer_silence(self, peer: _Peer, now: float, *, is_silent: bool) -> PeerSilence:
        link = peer.link
        return PeerSilence(
            link.peer,
            is_silent,
            now - peer.silent_since,
            sum(p.link is link for p in self._pending_by_call_id.values()),
            link.unsent_bytes,
        )

    def _peers_to_check(self) -> list[tuple[_Peer, float]]:
        """Return peers that are silent or owe an answer, and since when."""
        self._checked_since_by_link = {
            link: since
            for link, since in self._checked_since_by_link.items()
            if link.is_open and link.last_received_at <= since
        }
        sent_at_by_link = dict(self._checked_since_by_link)
        for pending in self._pending_by_call_id.values():
            sent_at_by_link.setdefault(pending.link, pending.sent_at)
        peers = []
        for peer in self._peers_by_address.values():
            if peer.link is None or not peer.link.is_open:
                peer.silent_since = peer.probed_at = 0.0
            elif peer.link in sent_at_by_link:
                peers.append((peer, sent_at_by_link[peer.link]))
            elif peer.silent_since:
                peers.append((peer, peer.silent_since))
        return peers

    def _report_silence(self, link: Link) -> None:
        for pending in self._pending_by_call_id.values():
            if pending.link is not link or not pending.reports_silence:
                continue
            if pending.answered.ready():
                continue
            # An answer from now on is for `resume`.
            waiter, pending.answered = pending.answered, Event()
            pending.reports_silence = False
            waiter.send_exception(
                PeerSilentError(
                    "peer did not respond to pings",
                    pending=pending,
                    step="calls.request",
                    peer=link.peer.node_id,
                )
            )

    @property
    def running_count(self) -> int:
        """Number of requests from other nodes that this node is running."""
        return len(self._running)

    def request(
        self,
        member: Member,
        message: Message,
        *,
        deadline: float,
        reports_silence: bool = False,
    ) -> Message:
        """Send `message` to `member` and return its answer; see `RequestPort`.

        Parameters
        ----------
        reports_silence : bool
            Whether to raise `PeerSilentError` when `check_silence` finds the peer to be
            silent. The request is then still pending.
        """
        link = self._link_to(member, deadline)
        pending = PendingRequest(link, message, self._clock.now(), reports_silence)
        self._pending_by_call_id[message.call_id] = pending
        try:
            link.post(message)
        except LinkOverflowError as error:
            self._pending_by_call_id.pop(message.call_id, None)
            raise LinkClosedError(
                error.message, step="calls.request", peer=member.node_id
            ) from error
        except BaseException:
            self._pending_by_call_id.pop(message.call_id, None)
            raise
        return self.resume(pending, deadline=deadline)

    def resume(self, pending: PendingRequest, *, deadline: float) -> Message:
        """Wait for the answer to a pending request and return it; see `request`."""
        call_id = pending.message.call_id
        try:
            timeout_s = max(deadline - self._clock.now(), 0.0)
            answer = pending.answered.wait(timeout=timeout_s)
        except PeerSilentError:
            raise
        except VerbenawickError:
            self._pending_by_call_id.pop(call_id, None)
            raise
        except BaseException:
            self.abandon(pending)
            raise
        if answer is None:
            self.abandon(pending)
            raise AnswerLostError(
                "deadline passed before the answer arrived",
                step="calls.request",
                peer=pending.link.peer.node_id,
            )
        self._pending_by_call_id.pop(call_id, None)
        return answer

    def abandon(self, pending: PendingRequest) -> None:
        """Cancel a request if it is still pending."""
        if self._pending_by_call_id.pop(pending.message.call_id, None) is not None:
            self._send_cancel(pending.link, pending.message)

    def finish(self, *, timeout_s: float, idle_timeout_s: float = math.inf) -> None:
        """Close all links once the messages of both directions have been handled.

        No more links are dialled from then on, since the close would wait for them too.
        Call it when this node has told the others that it accepts no more requests.
        The pong to a ping follows all requests that a peer sent before it read that,
        so they are still answered.

        Parameters
        ----------
        timeout_s : float
            Longest wait.
        idle_timeout_s : float
            Longest wait in which the peers acknowledge nothing of what is sent to them.
        """
        self._is_finishing = True
        delivery = _Delivery(self._links, self._clock, timeout_s, idle_timeout_s)
        for link in list(self._links):
            with suppress(LinkClosedError, LinkOverflowError):
                link.ping()
        self._wait_until(
            lambda: (
                not self._running
                and not any(link.has_unanswered_ping for link in self._links)
            ),
            delivery,
        )
        for link in list(self._links):
            link.finish()
        self._wait_until(lambda: not self._links, delivery)
        self.close()

    @staticmethod
    def _wait_until(condition: Callable[[], bool], delivery: _Delivery) -> None:
        while not condition() and delivery.continues():
            eventlet.sleep(LINK_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close all links, dialled or accepted."""
        for link in list(self._links):
            link.close()

    def on_open(self, link: Link) -> None:
        """Register a link and report it to `on_link_open`."""
        link.is_in_use = lambda: self._is_in_use(link)
        self._links.add(link)
        self._on_link_open(link)

    def on_message(self, link: Link, message: Message) -> None:
        """Dispatch a notice, an answer, or a request or cancellation from a peer."""
        notice_handler = self._notice_handlers_by_type.get(type(message))
        if notice_handler is not None:
            notice_handler(link.peer, message)
        elif link.is_dialled:
            self._deliver_answer(link, message)
        elif isinstance(message, CallCancel):
            self._cancel_running(link, message.call_id)
        else:
            self._start_handler(link, message)

    def on_close(self, link: Link) -> None:
        """Fail pending requests on a dialled link; cancel those of an accepted one."""
        self._links.discard(link)
        self._recent_ids_by_link.pop(link, None)
        if not link.is_dialled:
            for running_link, call_id in list(self._running):
                if running_link is link:
                    self._cancel_running(link, call_id)
            return
        for peer in self._peers_by_address.values():
            if peer.link is link and not peer.closed.ready():
                peer.closed.send(True)
        for pending in list(self._pending_by_call_id.values()):
            if pending.link is link and not pending.answered.ready():
                pending.answered.send_exception(
                    AnswerLostError(
                        "link closed before the answer arrived",
                        step="calls.request",
                        peer=link.peer.node_id,
                    )
                )

    def _is_in_use(self, link: Link) -> bool:
        """Return whether a request of either end waits for its answer on `link`."""
        return any(
            pending.link is link for pending in self._pending_by_call_id.values()
        ) or any(running_link is link for running_link, _ in self._running)

    def _deliver_answer(self, link: Link, message: Message) -> None:
        pending = self._pending_by_call_id.get(message.call_id)
        if pending is None or pending.link is not link or pending.answered.ready():
            self._metrics.count(ANSWERS_DROPPED)
            return
        pending.answered.send(message)

    def _start_handler(self, link: Link, message: Message) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            link.close(f"no handler for {type(message).__name__}")
            return
        recent_ids = self._recent_ids_by_link.get(link)
        if recent_ids is None:
            recent_ids = deque(maxlen=MAX_RECENT_REQUESTS)
            self._recent_ids_by_link[link] = recent_ids
        if message.call_id in recent_ids:
            emit(RequestRepeated(link.peer.node_id, message.call_id))
            return
        recent_ids.append(message.call_id)
        sent_at = self._clock.now() - link.round_trip_s / 2
        key = (link, message.call_id)
        thread = self._threads.spawn(
            self._run_handler, handler, link, message, sent_at, key
        )
        self._running[key] = (thread, message)

    @returns_when_killed
    def _run_handler(self, handler, link, message, sent_at, key) -> None:
        try:
            answer = handler(link.peer, message, sent_at)
            if link.is_open:
                link.post(answer)
        except (LinkClosedError, LinkOverflowError):
            # The peer notices the lost answer when the link closes.
            return
        finally:
            self._running.pop(key, None)

    def _cancel_running(self, link: Link, call_id: int) -> None:
        thread, message = self._running.get((link, call_id), (None, None))
        if thread is None or not self._cancellable_by_type[type(message)](message):
            return
        self._running.pop((link, call_id))
        thread.kill()

    @staticmethod
    def _send_cancel(link: Link, message: Message) -> None:
        if not link.is_open:
            return
        try:
            link.post(CallCancel(message.call_id))
        except (LinkClosedError, LinkOverflowError):
            # The peer cancels the requests of a closed link anyway.
            return

    def _link_to(self, member: Member, deadline: float) -> Link:
        peer = self._peers_by_address.get(member.peer_address)
        if peer is not None and _is_usable(peer.link):
            return _link_of(peer.link, member)
        if peer is None:
            peer = self._peers_by_address[member.peer_address] = _Peer()
        wait_s = max(deadline - self._clock.now(), 0.0)
        if not peer.dial_lock.acquire(timeout=wait_s):
            raise LinkClosedError(
                "deadline passed while the link was being opened",
                step="calls.dial",
                peer=member.node_id,
            )
        try:
            if _is_usable(peer.link):
                return _link_of(peer.link, member)
            return self._dial(peer, member, deadline)
        finally:
            peer.dial_lock.release()

    def _dial(self, peer: _Peer, member: Member, deadline: float) -> Link:
        if self._is_finishing:
            raise LinkClosedError(
                "this node closes its links", step="calls.dial", peer=member.node_id
            )
        now = self._clock.now()
        if now < peer.next_dial_at:
            raise LinkClosedError(
                "a recent dial to the node failed",
                step="calls.dial",
                peer=member.node_id,
            )
        if peer.link is not None and not peer.closed.ready():
            # A silent link may stay open for its pending requests; to everyone else it
            # has ended.
            peer.closed.send(True)
        peer.link = None
        timeout_s = min(self._dial_timeout_s, deadline - now)
        if timeout_s <= 0:
            raise LinkClosedError(
                "deadline passed while the link was being opened",
                step="calls.dial",
                peer=member.node_id,
            )
        host = member.peer_address.rpartition(":")[0]
        try:
            link = dial_link(
                member.peer_address,
                channel=CALL_CHANNEL,
                identity=self._identity,
                handler=self,
                delay_s=self._delay_for(host),
                timeout_s=timeout_s,
                ping_interval_s=self._ping_interval_s,
                clock=self._clock,
                is_compressed=self._is_compressed_to(member),
            )
        except LinkClosedError:
            peer.next_dial_at = self._clock.now() + REDIAL_DELAY_S
            raise
        try:
            _link_of(link, member)
        except LinkClosedError:
            link.close("peer address belongs to another node")
            peer.next_dial_at = self._clock.now() + REDIAL_DELAY_S
            raise
        self._links.add(link)
        peer.link = link
        # Silence on an earlier link does not apply to the new one.
        peer.silent_since = peer.probed_at = 0.0
        peer.closed = Event()
        self._metrics.count(LINKS_DIALLED)
        return link
