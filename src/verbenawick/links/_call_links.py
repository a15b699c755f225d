"""Call links to other nodes: dialled on demand, requests matched with answers."""

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
    VerbenawickError,
)
from verbenawick.links._call_messages import CallCancel, CallRequest
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, PING_INTERVAL_S, Link, dial_link
from verbenawick.links._members import Member
from verbenawick.links._messages import Message
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

RequestHandler = Callable[[NodeIdentity, Message, float], Message]
NoticeHandler = Callable[[NodeIdentity, Message], None]

# After a failed dial, calls to that node fail at once for this long, so that a dead
# node costs each call nothing instead of a dial.
REDIAL_PAUSE_S = 0.1

DIAL_TIMEOUT_S = 1.0

# A peer that owes answers and sends nothing for this long is asked for a sign of life.
PROBE_SILENCE_S = 0.25
# A peer that owes answers and gives no sign of life is cut off or frozen.
SILENCE_LIMIT_S = 0.7

ANSWERS_DROPPED = register_metric(
    "calls.answers_dropped",
    MetricKind.COUNTER,
    "answers",
    "Late or duplicate answers for calls that no longer wait",
)
LINKS_DIALLED = register_metric(
    "calls.links_dialled", MetricKind.COUNTER, "links", "Call links opened by this node"
)


@dataclass(eq=False, slots=True)
class _Peer:
    link: Link | None = None
    dialling: Semaphore = field(default_factory=Semaphore)
    retry_at: float = 0.0
    # When a link whose peer owes answers was first seen without a sign of life.
    silent_since: float = 0.0
    # When the sign of life was asked for that is still missing.
    probed_at: float = 0.0
    closed: Event = field(default_factory=Event)


@dataclass(eq=False, slots=True)
class _Waiting:
    link: Link
    message: Message
    sent_at: float
    answered: Event = field(default_factory=Event)


def _is_cancellable(message: Message) -> bool:
    # The owner of an idempotency key carries on to the deadline: a response that is
    # recorded answers the retry, a cancelled execution leaves its outcome unknown.
    if not isinstance(message, CallRequest):
        return False
    return not message.idempotency_key or bool(message.claimed_by)


class CallLinks:
    """Pool of call links; implements `RequestPort` and `LinkHandler`.

    Requests travel on the links that a node dialled, their answers come back on the
    same link. A request from another node runs in a green thread of its own, in the
    handler registered for its type. Notices have no answer and travel both ways.

    Parameters
    ----------
    dial_timeout_s : float
        Longest wait for a link to open.
    on_link_open : callable
        Told of each link, dialled or accepted.
    is_compressed_to : callable
        Whether messages to and from a member are compressed.
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
        self._waiting_by_call_id: dict[int, _Waiting] = {}
        self._running: dict[tuple[Link, int], tuple[GreenThread, Message]] = {}

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
            Gets the peer, the request and the estimated instant of the local clock at
            which the peer sent it; returns the answer, with the same `call_id`.
        is_cancellable : callable
            Whether a running request is ended when its sender gives it up.
        """
        self._handlers_by_type[message_type] = handler
        self._cancellable_by_type[message_type] = is_cancellable

    def register_notice(
        self, message_type: type[Message], handler: NoticeHandler
    ) -> None:
        """Set the handler of a message type that has no answer; it must not block."""
        self._notice_handlers_by_type[message_type] = handler

    def connect(self, member: Member) -> None:
        """Open a link to `member` unless there is one.

        Raises
        ------
        LinkClosedError
            The node cannot be reached now.
        """
        self._link_to(member, self._clock.now() + self._dial_timeout_s)

    def is_connected(self, peer_address: str) -> bool:
        """Return whether there is an open link to the node at an address."""
        peer = self._peers_by_address.get(peer_address)
        return peer is not None and peer.link is not None and peer.link.is_open

    def wait_until_closed(self, peer_address: str) -> None:
        """Return once the link to the node at an address has closed."""
        peer = self._peers_by_address.get(peer_address)
        if peer is not None and peer.link is not None and peer.link.is_open:
            peer.closed.wait()

    def is_silent(self, peer_address: str) -> bool:
        """Return whether the node at an address owes answers and gives no sign."""
        peer = self._peers_by_address.get(peer_address)
        return peer is not None and bool(peer.silent_since)

    def now(self) -> float:
        """Return the current instant of the clock that deadlines refer to."""
        return self._clock.now()

    def dialled_links(self) -> list[Link]:
        """Return the open links that this node dialled, one for each peer."""
        return [link for link in self._links if link.is_dialled and link.is_open]

    def notify_all(self, message: Message) -> None:
        """Send a notice on all links; peers without a link do not get it."""
        for link in list(self._links):
            self.notify(link, message)

    def notify(self, link: Link, message: Message) -> None:
        """Send a notice on one link; a closed one loses it."""
        with suppress(LinkClosedError, LinkOverflowError):
            link.post(message)

    def check_silence(
        self, *, may_abandon: Callable[[Message], bool]
    ) -> list[NodeIdentity]:
        """Probe peers that owe answers; return those that give no sign of life.

        Their requests that `may_abandon` selects fail with `AnswerLostError`. The
        others wait on: they cannot be sent again, and the peer may come back. Once
        none waits any more the link is closed, since a new one may work.
        """
        now = self._clock.now()
        silent = []
        for peer, owing_since in self._peers_owing():
            link = peer.link
            # An idle link was silent before it owed anything.
            silence_s = now - max(link.last_heard_at, owing_since)
            if silence_s < PROBE_SILENCE_S:
                peer.silent_since = peer.probed_at = 0.0
                continue
            with suppress(LinkClosedError, LinkOverflowError):
                link.ping()
            if link.last_heard_at >= peer.probed_at:
                # Counted from the first probe: this process may have stood still, and
                # what the peer sent meanwhile is yet to be read.
                peer.probed_at = now
            if now - peer.probed_at < SILENCE_LIMIT_S - PROBE_SILENCE_S:
                continue
            if not peer.silent_since:
                peer.silent_since = now
                silent.append(link.peer)
            self._abandon(link, may_abandon)
            if not any(w.link is link for w in self._waiting_by_call_id.values()):
                link.close("no sign of life")
        return silent

    def _peers_owing(self) -> list[tuple[_Peer, float]]:
        """Return the peers that owe answers, or are silent, and since when."""
        sent_at_by_link: dict[Link, float] = {}
        for waiting in self._waiting_by_call_id.values():
            sent_at_by_link.setdefault(waiting.link, waiting.sent_at)
        owing = []
        for peer in self._peers_by_address.values():
            if peer.link is None or not peer.link.is_open:
                peer.silent_since = peer.probed_at = 0.0
            elif peer.link in sent_at_by_link:
                owing.append((peer, sent_at_by_link[peer.link]))
            elif peer.silent_since:
                owing.append((peer, peer.silent_since - SILENCE_LIMIT_S))
        return owing

    def _abandon(self, link: Link, may_abandon: Callable[[Message], bool]) -> None:
        for waiting in list(self._waiting_by_call_id.values()):
            if waiting.link is not link or waiting.answered.ready():
                continue
            if may_abandon(waiting.message):
                self._cancel(link, waiting.message)
                waiting.answered.send_exception(
                    AnswerLostError(
                        "peer gives no sign of life",
                        step="calls.request",
                        peer=link.peer.node_id,
                    )
                )

    @property
    def running_count(self) -> int:
        """Return the number of requests of other nodes that are running here."""
        return len(self._running)

    def request(self, member: Member, message: Message, *, deadline: float) -> Message:
        """Send `message` to `member` and return its answer; see `RequestPort`."""
        link = self._link_to(member, deadline)
        call_id = message.call_id
        waiting = self._waiting_by_call_id[call_id] = _Waiting(
            link, message, self._clock.now()
        )
        try:
            try:
                link.post(message)
            except LinkOverflowError as error:
                raise LinkClosedError(
                    error.message, step="calls.request", peer=member.node_id
                ) from error
            timeout_s = max(deadline - self._clock.now(), 0.0)
            answer = waiting.answered.wait(timeout=timeout_s)
        except VerbenawickError:
            raise
        except BaseException:
            self._cancel(link, message)
            raise
        finally:
            self._waiting_by_call_id.pop(call_id, None)
        if answer is None:
            self._cancel(link, message)
            raise AnswerLostError(
                "deadline passed before the answer arrived",
                step="calls.request",
                peer=member.node_id,
            )
        return answer

    def close(self) -> None:
        """Close all links, dialled or accepted."""
        for link in list(self._links):
            link.close()

    def on_open(self, link: Link) -> None:
        """Note a link; it is used once a request needs it."""
        self._links.add(link)
        self._on_link_open(link)

    def on_message(self, link: Link, message: Message) -> None:
        """Pass an answer to its waiting request, or run the request of a peer."""
        notice_handler = self._notice_handlers_by_type.get(type(message))
        if notice_handler is not None:
            notice_handler(link.peer, message)
        elif link.is_dialled:
            self._deliver(link, message)
        elif isinstance(message, CallCancel):
            self._kill(link, message.call_id)
        else:
            self._start(link, message)

    def on_close(self, link: Link) -> None:
        """Fail what waits for answers on `link`; cancel what its peer waits for."""
        self._links.discard(link)
        if not link.is_dialled:
            for running_link, call_id in list(self._running):
                if running_link is link:
                    self._kill(link, call_id)
            return
        for peer in self._peers_by_address.values():
            if peer.link is link and not peer.closed.ready():
                peer.closed.send(True)
        for waiting in list(self._waiting_by_call_id.values()):
            if waiting.link is link and not waiting.answered.ready():
                waiting.answered.send_exception(
                    AnswerLostError(
                        "link closed before the answer arrived",
                        step="calls.request",
                        peer=link.peer.node_id,
                    )
                )

    def _deliver(self, link: Link, message: Message) -> None:
        waiting = self._waiting_by_call_id.get(message.call_id)
        if waiting is None or waiting.link is not link or waiting.answered.ready():
            self._metrics.count(ANSWERS_DROPPED)
            return
        waiting.answered.send(message)

    def _start(self, link: Link, message: Message) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            link.close(f"no handler for {type(message).__name__}")
            return
        sent_at = self._clock.now() - link.round_trip_s / 2
        key = (link, message.call_id)
        thread = eventlet.spawn(self._run, handler, link, message, sent_at, key)
        self._running[key] = (thread, message)

    def _run(self, handler, link, message, sent_at, key) -> None:
        try:
            answer = handler(link.peer, message, sent_at)
            if link.is_open:
                link.post(answer)
        except (LinkClosedError, LinkOverflowError):
            # The peer learns of the lost answer from the end of the link.
            return
        finally:
            self._running.pop(key, None)

    def _kill(self, link: Link, call_id: int) -> None:
        thread, message = self._running.get((link, call_id), (None, None))
        if thread is None or not self._cancellable_by_type[type(message)](message):
            return
        self._running.pop((link, call_id))
        thread.kill()

    @staticmethod
    def _cancel(link: Link, message: Message) -> None:
        if not link.is_open:
            return
        try:
            link.post(CallCancel(message.call_id))
        except (LinkClosedError, LinkOverflowError):
            # A closed link cancels the call as well.
            return

    def _link_to(self, member: Member, deadline: float) -> Link:
        peer = self._peers_by_address.get(member.peer_address)
        if peer is not None and peer.link is not None and peer.link.is_open:
            return peer.link
        if peer is None:
            peer = self._peers_by_address[member.peer_address] = _Peer()
        wait_s = max(deadline - self._clock.now(), 0.0)
        if not peer.dialling.acquire(timeout=wait_s):
            raise LinkClosedError(
                "deadline passed while the link was dialled",
                step="calls.dial",
                peer=member.node_id,
            )
        try:
            if peer.link is not None and peer.link.is_open:
                return peer.link
            return self._dial(peer, member, deadline)
        finally:
            peer.dialling.release()

    def _dial(self, peer: _Peer, member: Member, deadline: float) -> Link:
        now = self._clock.now()
        if now < peer.retry_at:
            raise LinkClosedError(
                "node was unreachable a moment ago",
                step="calls.dial",
                peer=member.node_id,
            )
        peer.link = None
        timeout_s = min(self._dial_timeout_s, deadline - now)
        if timeout_s <= 0:
            raise LinkClosedError(
                "deadline passed while the link was dialled",
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
            peer.retry_at = self._clock.now() + REDIAL_PAUSE_S
            raise
        if link.peer.node_id != member.node_id:
            link.close("address belongs to another node")
            peer.retry_at = self._clock.now() + REDIAL_PAUSE_S
            raise LinkClosedError(
                f"{member.peer_address} is {link.peer.node_id}",
                step="calls.dial",
                peer=member.node_id,
            )
        self._links.add(link)
        peer.link = link
        # What an earlier link failed to answer says nothing about this one.
        peer.silent_since = peer.probed_at = 0.0
        peer.closed = Event()
        self._metrics.count(LINKS_DIALLED)
        return link
