"""Tracking of staged-version acknowledgements on a data centre relay."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from verbenawick.configuration._config_messages import ProcessStart
from verbenawick.configuration._config_state import VersionRef
from verbenawick.runtime._clock import Clock

# Must be shorter than TimingSettings.member_timeout_s (4 s), after which a silent
# member is dropped.
ACK_LIFETIME_S = 3.0
MAX_NODES = 1024
MAX_ROUNDS = 64
MAX_REPORTED_STARTS = 256


@dataclass(slots=True)
class _NodeAcks:
    """Acknowledgement state of one node.

    Attributes
    ----------
    incarnation : int
        Process that sent the last acknowledgement.
    round_number : int
        Latest round acknowledged by that process.
    ref : VersionRef
        Highest version acknowledged by that process.
    rounds_by_reported_incarnation : dict of int to int
        Round in which each incarnation of the node was first reported.
    superseded_incarnations : set of int
        Reported incarnations that are known to have been replaced.
    """

    incarnation: int = 0
    round_number: int = 0
    ref: VersionRef = VersionRef()
    rounds_by_reported_incarnation: dict[int, int] = field(default_factory=dict)
    superseded_incarnations: set[int] = field(default_factory=set)

    def is_valid(self) -> bool:
        """Return whether all reported incarnations are current or superseded."""
        reported = self.rounds_by_reported_incarnation.keys()
        return not (reported - self.superseded_incarnations - {self.incarnation})


class AckTracker:
    """Tracks which members hold which version.

    A restarted node loses its versions and queries other members for its floor; these
    members report the restart along with their own acknowledgements. From then on, the
    node's acknowledgement is ignored until the node answers a round that began after
    the report, since it may come from the terminated process. Otherwise a version
    could be committed based on a node that no longer holds it, and a later floor
    query might not reach any member that does.

    An acknowledgement expires `ACK_LIFETIME_S` after the start of its round, by the
    relay's clock. A relay that was paused therefore has to ask again: during the pause
    members may have been dropped, and restarted nodes may have determined a lower
    floor without them.
    """

    def __init__(self, clock: Clock):
        self.round_number = 1
        self._clock = clock
        self._started_at_by_round: OrderedDict[int, float] = OrderedDict()
        self._started_at_by_round[1] = clock.now()
        self._acks_by_node_id: OrderedDict[str, _NodeAcks] = OrderedDict()

    def begin_round(self) -> int:
        """Start a new announcement round and return its number."""
        self.round_number += 1
        self._started_at_by_round[self.round_number] = self._clock.now()
        while len(self._started_at_by_round) > MAX_ROUNDS:
            self._started_at_by_round.popitem(last=False)
        return self.round_number

    def record_ack(
        self, start: ProcessStart, *, round_number: int, ref: VersionRef
    ) -> None:
        """Record an acknowledgement; ignore it if it is from a superseded process."""
        self.record_starts((start,))
        node = self._acks_of(start.node_id)
        if start.incarnation in node.superseded_incarnations:
            return
        # This process answered a round that began after the other incarnations were
        # reported, so it superseded them.
        node.superseded_incarnations |= {
            incarnation
            for incarnation, reported in node.rounds_by_reported_incarnation.items()
            if incarnation != start.incarnation and reported < round_number
        }
        if start.incarnation != node.incarnation:
            node.incarnation, node.round_number = start.incarnation, round_number
            node.ref = ref
        node.round_number = max(node.round_number, round_number)
        if ref.version >= node.ref.version:
            node.ref = ref

    def record_starts(self, starts: Iterable[ProcessStart]) -> None:
        """Record process starts reported by members or seen in acknowledgements."""
        for start in starts:
            node = self._acks_of(start.node_id)
            rounds = node.rounds_by_reported_incarnation
            rounds.setdefault(start.incarnation, self.round_number)
            if len(rounds) > MAX_REPORTED_STARTS:
                # Evict the oldest start. If it is reported again, the node has to
                # acknowledge once more.
                oldest = next(iter(rounds))
                del rounds[oldest]
                node.superseded_incarnations.discard(oldest)

    def has_acknowledged(self, node_id: str, version: int) -> bool:
        """Return whether the node has a valid acknowledgement of `version`."""
        node = self._acks_by_node_id.get(node_id)
        return (
            node is not None and self._is_counted(node) and node.ref.version >= version
        )

    def highest_majority_ref(
        self, member_ids: Collection[str], *, own_ref: VersionRef
    ) -> VersionRef:
        """Return the highest version held by a majority, or version 0 if there is none.

        `member_ids` includes the relay, which holds `own_ref`. A node that holds a
        version counts for all lower versions too, since each version is built on the
        previous one.
        """
        nodes = [
            self._acks_by_node_id[i] for i in member_ids if i in self._acks_by_node_id
        ]
        refs = [own_ref, *(node.ref for node in nodes if self._is_counted(node))]
        refs.sort(key=lambda ref: ref.version, reverse=True)
        majority = len(member_ids) // 2 + 1
        return refs[majority - 1] if len(refs) >= majority else VersionRef()

    def _is_counted(self, node: _NodeAcks) -> bool:
        started_at = self._started_at_by_round.get(node.round_number)
        if started_at is None or self._clock.now() - started_at > ACK_LIFETIME_S:
            return False
        return node.is_valid()

    def _acks_of(self, node_id: str) -> _NodeAcks:
        node = self._acks_by_node_id.setdefault(node_id, _NodeAcks())
        self._acks_by_node_id.move_to_end(node_id)
        while len(self._acks_by_node_id) > MAX_NODES:
            self._acks_by_node_id.popitem(last=False)
        return node
