"""Exchange of crashes, and of the completions that clear them, between the nodes.

Load: an upstream that crashes ran a dozen requests, and any node may then complete an
equal one thousands of times. A node tells the others what is new to it, and each node
forwards what was new to it to the nodes to which the sender may have no link, so that a
change costs a message a link. Completions are told after a random delay, in which the
notice of another node makes the own one unnecessary.

Notices may be lost, and a node that starts knows nothing. So nodes that know of crashes
also send a hash of all of them, when a link opens and from time to time. A node with
another hash asks for the facts. These are merged, never counted, so that no message
has to arrive once or in order.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import eventlet

from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import Link
from verbenawick.links._messages import Message, register_message
from verbenawick.mesh._crash_guard import CrashFact, CrashGuard, CrashKey
from verbenawick.runtime._clock import Clock

CHECK_INTERVAL_S = 2.0
# Longest delay of a notice about a completion.
MAX_CLEAR_DELAY_S = 0.2
# All links of a starting node open at about the same time, and one answer is enough.
QUERY_INTERVAL_S = 0.25
# About 20 kB. With more, each answer has a random part of them.
MAX_FACTS_PER_ANSWER = 400


@register_message(103)
@dataclass(frozen=True, slots=True)
class CrashNotice(Message):
    """Crashes, and cleared ones, that were new to the sender.

    Attributes
    ----------
    crashes : tuple
        Process, whether the crash is cleared, seconds until it expires, and the
        fingerprints of the requests that are in this state.
    is_answer : bool
        Whether the receiver has asked for all facts of the sender.
    """

    crashes: tuple[tuple[str, bool, float, tuple[bytes, ...]], ...]
    is_answer: bool = False


@register_message(104)
@dataclass(frozen=True, slots=True)
class CrashDigest(Message):
    """Hash of all crashes that the sender knows."""

    digest: bytes


@register_message(105)
@dataclass(frozen=True, slots=True)
class CrashQuery(Message):
    """Asks for all crashes that the receiver knows."""


class Links(Protocol):
    """What the exchange uses of the links."""

    def open_links(self) -> list[Link]:
        """Return one open link to each node."""

    def notify(self, link: Link, message: Message) -> None:
        """Send a notice on one link."""

    def notify_peer(self, peer: NodeIdentity, message: Message) -> None:
        """Send a notice to a node; it is dropped without an open link."""


class CrashExchange:
    """Tells the other nodes what the guard of this node learns, and merges theirs.

    Parameters
    ----------
    call_later : callable
        Calls a function after a number of seconds.
    """

    def __init__(
        self,
        guard: CrashGuard,
        links: Links,
        *,
        region: str,
        clock: Clock,
        random: Random,
        call_later: Callable = eventlet.spawn_after,
    ):
        self._guard = guard
        self._links = links
        self._region = region
        self._clock = clock
        self._random = random
        self._call_later = call_later
        self._untold: set[CrashKey] = set()
        self._next_query_at = float("-inf")
        guard.on_cleared = self._on_cleared

    def run(self) -> None:
        """Compare the crashes with other nodes until the green thread is killed."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S * (0.75 + 0.5 * self._random.random()))
            self.check()

    def check(self) -> None:
        """Remove expired crashes; send the hash of the others to another node."""
        self._guard.expire(self._clock.now())
        links = self._links.open_links()
        if links:
            self.on_link_open(self._random.choice(links))

    def on_link_open(self, link: Link) -> None:
        """Send the hash of the known crashes, if there are any."""
        if len(self._guard):
            self._links.notify(link, CrashDigest(self._guard.digest))

    def on_crash(self, process_id: str, fingerprints: tuple[bytes, ...]) -> None:
        """Record and tell a crash of the own upstream."""
        now = self._clock.now()
        facts = self._guard.record_crash(process_id, fingerprints, now)
        self._send(facts, self._links.open_links())
        self._untold -= {fact.key for fact in facts}

    def on_notice(self, peer: NodeIdentity, notice: CrashNotice) -> None:
        """Merge what another node knows, and forward what was new."""
        facts = _facts_of(notice)
        changed = self._guard.merge(facts, self._clock.now())
        self._untold -= {fact.key for fact in facts if fact.is_cleared}
        if notice.is_answer:
            return
        is_from_own_region = peer.region == self._region
        links = [
            link
            for link in self._links.open_links()
            if (link.peer.region == self._region) != is_from_own_region
        ]
        self._send(changed, links)

    def on_digest(self, peer: NodeIdentity, notice: CrashDigest) -> None:
        """Ask another node for its crashes if it knows others than this one."""
        now = self._clock.now()
        if notice.digest != self._guard.digest and now >= self._next_query_at:
            self._next_query_at = now + QUERY_INTERVAL_S
            self._links.notify_peer(peer, CrashQuery())

    def on_query(self, peer: NodeIdentity, query: CrashQuery) -> None:
        """Send all known crashes to a node that asks for them."""
        facts = self._guard.facts(self._clock.now())
        if len(facts) > MAX_FACTS_PER_ANSWER:
            facts = self._random.sample(facts, MAX_FACTS_PER_ANSWER)
        self._links.notify_peer(peer, _notice(facts, is_answer=True))

    def _on_cleared(self, keys: set[CrashKey]) -> None:
        if not self._untold:
            delay_s = MAX_CLEAR_DELAY_S * self._random.random()
            self._call_later(delay_s, self._tell_cleared)
        self._untold |= keys

    def _tell_cleared(self) -> None:
        untold, self._untold = self._untold, set()
        known = self._guard.facts(self._clock.now(), {key[0] for key in untold})
        facts = [fact for fact in known if fact.key in untold]
        self._send(facts, self._links.open_links())

    def _send(self, facts: Iterable[CrashFact], links: list[Link]) -> None:
        if facts:
            notice = _notice(facts)
            for link in links:
                self._links.notify(link, notice)


def _notice(facts: Iterable[CrashFact], *, is_answer: bool = False) -> CrashNotice:
    """Return a message that names each process once for all of its requests."""
    fingerprints_by_state = defaultdict(list)
    for fact in facts:
        state = fact.process_id, fact.is_cleared, round(fact.left_s, 1)
        fingerprints_by_state[state].append(fact.fingerprint)
    crashes = [(*state, tuple(f)) for state, f in fingerprints_by_state.items()]
    return CrashNotice(tuple(crashes), is_answer)


def _facts_of(notice: CrashNotice) -> list[CrashFact]:
    return [
        CrashFact(fingerprint, process_id, is_cleared, left_s)
        for process_id, is_cleared, left_s, fingerprints in notice.crashes
        for fingerprint in fingerprints
    ]
