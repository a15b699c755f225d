"""Delegations of this node's shares, and the owners that it asks.

Load: owners are lost, cut off, frozen or restarted while callers send. A share is
delegated to one owner at a time, so a lost owner keeps it until the delegation ends,
while asks go to the next owner at once. Does no I/O and reads no clock.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from verbenawick.allowances._model import DELEGATION_S, GROUPS
from verbenawick.membership._rendezvous import score_of

# A delegation without messages in between is renewed after this time, seconds.
RENEWAL_S = 0.7
# An owner that did not answer is probed after this time, seconds, and then after twice
# the time before, up to the maximum. It is not asked for calls until it answers.
AVOIDANCE_S = 0.25
MAX_AVOIDANCE_S = 8.0
# A stopping owner is not asked for this long, seconds: about the time of a restart.
RELEASED_AVOIDANCE_S = 3.0
# A lower number of nodes counts after this time, seconds: nodes that others still know
# have delegated shares by the higher number.
NODE_COUNT_FALL_S = 5.0
# Allows for the difference in speed between two clocks over a delegation, seconds.
CLOCK_MARGIN_S = 0.02


@dataclass(frozen=True, slots=True)
class Delegation:
    """What an ask says about the sender's shares; without an epoch, nothing."""

    epoch: int = 0
    node_count: int = 0
    until: float = 0.0


@dataclass(slots=True)
class _Held:
    """The owner that has this node's shares of a group, until `ends_at` here."""

    owner_id: str
    epoch: int
    ends_at: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class _OwnerClock:
    """Time at a process of an owner, which showed `clock` no later than `at` here."""

    epoch: int
    learned_at: float
    clock: float
    at: float


class NodeCount:
    """Number of nodes that share the allowances; a fall counts after some seconds."""

    def __init__(self):
        self._count = 0
        # Earlier, higher counts and when they were last seen, highest first.
        self._falls: deque[tuple[int, float]] = deque()

    def put(self, count: int, now: float) -> None:
        """Set the number of known nodes."""
        if count < self._count:
            self._falls.append((self._count, now))
        while self._falls and self._falls[-1][0] <= count:
            self._falls.pop()
        self._count = count

    def value(self, now: float) -> int:
        """Return the highest number of the last `NODE_COUNT_FALL_S`."""
        while self._falls and now >= self._falls[0][1] + NODE_COUNT_FALL_S:
            self._falls.popleft()
        return max(self._falls[0][0] if self._falls else 0, self._count)


class Delegations:
    """Chooses the owners of the groups and delegates this node's shares to them.

    Parameters
    ----------
    starts_at : float
        Nothing is delegated earlier, since an owner may have a delegation of an earlier
        process of this node.
    """

    def __init__(self, *, starts_at: float):
        self._starts_at = starts_at
        self._node_count = NodeCount()
        self._node_ids: frozenset[str] = frozenset()
        self._ranking_by_group: dict[int, list[str]] = {}
        self._held_by_group: dict[int, _Held] = {}
        self._clocks_by_owner_id: dict[str, _OwnerClock] = {}
        self._avoided_until_by_owner_id: dict[str, float] = {}
        # Time between the probes of the owners that did not answer.
        self._probe_interval_s_by_owner_id: dict[str, float] = {}

    def put_nodes(self, node_ids: frozenset[str], now: float) -> None:
        """Set the known nodes, this one included."""
        if self._node_ids == node_ids:
            return
        self._node_ids = node_ids
        self._node_count.put(len(node_ids), now)
        self._ranking_by_group = {
            group: sorted(
                node_ids,
                key=lambda node_id, key=f"allowances/{group}": score_of(key, node_id),
                reverse=True,
            )
            for group in range(GROUPS)
        }
        for by_owner_id in (
            self._clocks_by_owner_id,
            self._avoided_until_by_owner_id,
            self._probe_interval_s_by_owner_id,
        ):
            for node_id in set(by_owner_id) - self._node_ids:
                del by_owner_id[node_id]

    def owners_to_ask(
        self, group: int, now: float, is_reachable: Callable[[str], bool]
    ) -> Iterator[str]:
        """Yield the reachable owners in the order in which they are asked.

        The first is the one that has this node's share, since it has those of most
        other nodes too.
        """
        holder = self.holder(group, now)
        if holder and self._is_usable(holder, now, is_reachable):
            yield holder
        for node_id in self._ranking_by_group.get(group, ()):
            if node_id != holder and self._is_usable(node_id, now, is_reachable):
                yield node_id

    def _is_usable(
        self, node_id: str, now: float, is_reachable: Callable[[str], bool]
    ) -> bool:
        avoided_until = self._avoided_until_by_owner_id.get(node_id, now)
        return (
            avoided_until <= now
            and node_id not in self._probe_interval_s_by_owner_id
            and is_reachable(node_id)
        )

    def _first(
        self, group: int, now: float, is_reachable: Callable[[str], bool]
    ) -> str | None:
        for node_id in self._ranking_by_group.get(group, ()):
            if self._is_usable(node_id, now, is_reachable):
                return node_id
        return None

    def delegate(
        self,
        group: int,
        owner_id: str,
        now: float,
        is_reachable: Callable[[str], bool],
    ) -> Delegation:
        """Return the delegation for an ask that is sent to an owner now."""
        clock = self._clocks_by_owner_id.get(owner_id)
        held = self._held_by_group.get(group)
        if (
            clock is None
            or now < self._starts_at
            or self._first(group, now, is_reachable) != owner_id
            or (
                held is not None
                and now < held.ends_at
                and (held.owner_id, held.epoch) != (owner_id, clock.epoch)
            )
        ):
            return Delegation()
        ends_at = now + DELEGATION_S + CLOCK_MARGIN_S
        self._held_by_group[group] = _Held(owner_id, clock.epoch, ends_at, now)
        # The clock of the owner reaches this time no later than `DELEGATION_S` from now
        # here, however long the message takes.
        until = clock.clock + (now - clock.at) + DELEGATION_S
        return Delegation(clock.epoch, self._node_count.value(now), until)

    def is_due(self, group: int, now: float) -> bool:
        """Return whether the shares of a group have to be delegated by a message."""
        held = self._held_by_group.get(group)
        return held is None or now >= min(held.sent_at + RENEWAL_S, held.ends_at)

    def holder(self, group: int, now: float) -> str:
        """Return the owner that has this node's share, empty without one."""
        held = self._held_by_group.get(group)
        return held.owner_id if held is not None and now < held.ends_at else ""

    def on_answer(
        self, owner_id: str, epoch: int, clock: float, *, sent_at: float, now: float
    ) -> None:
        """Learn the clock of an owner from the answer to an ask sent at `sent_at`."""
        if not epoch:
            self._avoided_until_by_owner_id[owner_id] = now + RELEASED_AVOIDANCE_S
            return
        self._probe_interval_s_by_owner_id.pop(owner_id, None)
        known = self._clocks_by_owner_id.get(owner_id)
        learned_at = now
        if known is not None:
            if known.epoch == epoch:
                learned_at = known.learned_at
            elif sent_at < known.learned_at:
                # From a process that has ended since.
                return
            else:
                self._end_delegations(owner_id, known.epoch, now)
        self._clocks_by_owner_id[owner_id] = _OwnerClock(epoch, learned_at, clock, now)

    def on_failure(self, owner_id: str, now: float) -> None:
        """Avoid an owner that did not answer until it answers a probe."""
        earlier_s = self._probe_interval_s_by_owner_id.get(owner_id, AVOIDANCE_S / 2)
        interval_s = min(2 * earlier_s, MAX_AVOIDANCE_S)
        self._probe_interval_s_by_owner_id[owner_id] = interval_s
        self._avoided_until_by_owner_id[owner_id] = now + interval_s

    def owners_to_probe(self, now: float) -> list[str]:
        """Return the owners to probe now; each is returned once an interval."""
        due_ids = [
            owner_id
            for owner_id in self._probe_interval_s_by_owner_id
            if self._avoided_until_by_owner_id[owner_id] <= now
        ]
        for owner_id in due_ids:
            interval_s = self._probe_interval_s_by_owner_id[owner_id]
            self._avoided_until_by_owner_id[owner_id] = now + interval_s
        return due_ids

    def on_release(self, owner_id: str, epoch: int, now: float) -> None:
        """End the delegations to a process that grants nothing more."""
        self._end_delegations(owner_id, epoch, now)
        self._avoided_until_by_owner_id[owner_id] = now + RELEASED_AVOIDANCE_S

    def _end_delegations(self, owner_id: str, epoch: int, now: float) -> None:
        for held in self._held_by_group.values():
            if (held.owner_id, held.epoch) == (owner_id, epoch):
                held.ends_at = min(held.ends_at, now)
