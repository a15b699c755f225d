"""Acknowledgements of staged versions, counted by a data centre relay."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from verbenawick.configuration._config_messages import ProcessStart
from verbenawick.configuration._config_state import VersionRef
from verbenawick.runtime._clock import Clock

# Less than TimingSettings.member_timeout_s, 4 s, after which a member is dropped.
ACK_LIFETIME_S = 3.0
MAX_NODES = 1024
MAX_ROUNDS = 64
MAX_STARTS = 256


@dataclass(slots=True)
class _NodeAcks:
    """What is known of one node; `starts` has the round in which each was reported."""

    incarnation: int = 0
    round_number: int = 0
    ref: VersionRef = VersionRef()
    rounds_by_reported_start: dict[int, int] = field(default_factory=dict)
    earlier_starts: set[int] = field(default_factory=set)

    def is_valid(self) -> bool:
        """Return whether no unexplained restart was reported for the node."""
        reported = self.rounds_by_reported_start.keys()
        return not (reported - self.earlier_starts - {self.incarnation})


class AckTally:
    """Counts which members hold which version.

    A node that restarts loses what it held, and asks other members for its floor.
    Those report its new start with their own acknowledgements. Until the node has
    answered a round that began after the report, its acknowledgement does not count:
    it may come from the process that ended. Without this rule a version could be
    committed on the word of a node that no longer holds it, and the members that hold
    it would not meet the next floor query.

    An acknowledgement counts for `ACK_LIFETIME_S` from the start of its round, by the
    relay's clock. A relay that was paused therefore asks again: meanwhile members may
    have been dropped, and restarted nodes may have found a lower floor without them.
    """

    def __init__(self, clock: Clock):
        self.round_number = 1
        self._clock = clock
        self._started_at_by_round: OrderedDict[int, float] = OrderedDict()
        self._started_at_by_round[1] = clock.now()
        self._nodes: OrderedDict[str, _NodeAcks] = OrderedDict()

    def begin_round(self) -> int:
        """Begin a round of announcements and return its number."""
        self.round_number += 1
        self._started_at_by_round[self.round_number] = self._clock.now()
        while len(self._started_at_by_round) > MAX_ROUNDS:
            self._started_at_by_round.popitem(last=False)
        return self.round_number

    def record(
        self, start: ProcessStart, *, round_number: int, ref: VersionRef
    ) -> None:
        """Count an acknowledgement; one of an earlier process is ignored."""
        self.report_starts((start,))
        node = self._node(start.node_id)
        if start.incarnation in node.earlier_starts:
            return
        # The node answered a round that began after these reports, so its process
        # is the later one.
        node.earlier_starts |= {
            incarnation
            for incarnation, reported in node.rounds_by_reported_start.items()
            if incarnation != start.incarnation and reported < round_number
        }
        if start.incarnation != node.incarnation:
            node.incarnation, node.round_number = start.incarnation, round_number
            node.ref = ref
        node.round_number = max(node.round_number, round_number)
        if ref.version >= node.ref.version:
            node.ref = ref

    def report_starts(self, starts: Iterable[ProcessStart]) -> None:
        """Note process starts that a member answered or that acknowledged."""
        for start in starts:
            node = self._node(start.node_id)
            rounds = node.rounds_by_reported_start
            rounds.setdefault(start.incarnation, self.round_number)
            if len(rounds) > MAX_STARTS:
                # At the bound the first start is forgotten; if it is reported again,
                # the node is asked once more.
                oldest = next(iter(rounds))
                del rounds[oldest]
                node.earlier_starts.discard(oldest)

    def holds(self, node_id: str, version: int) -> bool:
        """Return whether the node's acknowledgement of `version` counts."""
        node = self._nodes.get(node_id)
        return node is not None and self._counts(node) and node.ref.version >= version

    def highest_of_majority(
        self, member_ids: Collection[str], *, own_ref: VersionRef
    ) -> VersionRef:
        """Return the highest version that a majority holds, version 0 for none.

        `member_ids` includes the relay, which holds `own_ref`.

        A higher version counts for each lower one, since a version is made from the
        one before.
        """
        nodes = [self._nodes[i] for i in member_ids if i in self._nodes]
        refs = [own_ref, *(node.ref for node in nodes if self._counts(node))]
        refs.sort(key=lambda ref: ref.version, reverse=True)
        majority = len(member_ids) // 2 + 1
        return refs[majority - 1] if len(refs) >= majority else VersionRef()

    def _counts(self, node: _NodeAcks) -> bool:
        started_at = self._started_at_by_round.get(node.round_number)
        if started_at is None or self._clock.now() - started_at > ACK_LIFETIME_S:
            return False
        return node.is_valid()

    def _node(self, node_id: str) -> _NodeAcks:
        node = self._nodes.setdefault(node_id, _NodeAcks())
        self._nodes.move_to_end(node_id)
        while len(self._nodes) > MAX_NODES:
            self._nodes.popitem(last=False)
        return node
