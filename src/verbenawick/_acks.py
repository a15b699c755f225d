"""Acknowledgements of staged versions, counted by a data centre relay."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from verbenawick._config_messages import ProcessStart
from verbenawick._config_state import VersionRef

MAX_NODES = 1024


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
    """

    def __init__(self):
        self.round_number = 1
        self._nodes: OrderedDict[str, _NodeAcks] = OrderedDict()

    def begin_round(self) -> int:
        """Begin a round of announcements and return its number."""
        self.round_number += 1
        return self.round_number

    def record(
        self, start: ProcessStart, *, round_number: int, ref: VersionRef
    ) -> None:
        """Count an acknowledgement; one of an earlier process is ignored."""
        node = self._node(start.node_id)
        if start.incarnation in node.earlier_starts:
            return
        if start.incarnation != node.incarnation:
            if node.incarnation:
                node.earlier_starts.add(node.incarnation)
            node.incarnation, node.round_number = start.incarnation, 0
            node.ref = ref
        node.round_number = max(node.round_number, round_number)
        if ref.version >= node.ref.version:
            node.ref = ref
        # The node answered a round that began after these reports, so its process
        # is the later one.
        node.earlier_starts |= {
            incarnation
            for incarnation, reported in node.rounds_by_reported_start.items()
            if incarnation != start.incarnation and reported < node.round_number
        }

    def report_starts(self, starts: Iterable[ProcessStart]) -> None:
        """Note process starts that a member answered."""
        for start in starts:
            node = self._node(start.node_id)
            rounds = node.rounds_by_reported_start
            rounds.setdefault(start.incarnation, self.round_number)

    def holds(self, node_id: str, version: int) -> bool:
        """Return whether the node's acknowledgement of `version` counts."""
        node = self._nodes.get(node_id)
        return node is not None and node.is_valid() and node.ref.version >= version

    def highest_of_majority(self, member_ids: Collection[str]) -> VersionRef:
        """Return the highest version that a majority holds, version 0 for none.

        A higher version counts for each lower one, since a version is made from the
        one before.
        """
        nodes = [self._nodes[i] for i in member_ids if i in self._nodes]
        refs = [node.ref for node in nodes if node.is_valid()]
        refs.sort(key=lambda ref: ref.version, reverse=True)
        majority = len(member_ids) // 2 + 1
        return refs[majority - 1] if len(refs) >= majority else VersionRef()

    def _node(self, node_id: str) -> _NodeAcks:
        node = self._nodes.setdefault(node_id, _NodeAcks())
        self._nodes.move_to_end(node_id)
        while len(self._nodes) > MAX_NODES:
            self._nodes.popitem(last=False)
        return node
