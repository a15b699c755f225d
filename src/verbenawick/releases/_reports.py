"""Reports of the gateways of one service during a release.

Load: a version may turn bad after many good calls. Its recent calls are therefore
judged besides all of them; the sum alone would show it only after as many bad ones.
"""

from collections import deque
from dataclasses import dataclass, field

from verbenawick.releases._judgement import UpstreamTally, Verdict, judge

# Time after which a report says nothing about the calls in progress, seconds.
REPORT_VALID_S = 2.5
# Time that the recent calls cover, seconds.
RECENT_S = 4.0


@dataclass(slots=True)
class _Reported:
    """Tallies of one gateway since the beginning of the recent time."""

    tallies: deque[tuple[float, UpstreamTally]] = field(default_factory=deque)

    def add(self, tally: UpstreamTally, now: float) -> None:
        self.tallies.append((now, tally))
        while len(self.tallies) > 2 and self.tallies[1][0] <= now - RECENT_S:
            self.tallies.popleft()

    @property
    def latest(self) -> tuple[float, UpstreamTally]:
        return self.tallies[-1]

    @property
    def recent(self) -> UpstreamTally:
        return self.tallies[-1][1].since(self.tallies[0][1])


class ReleaseReports:
    """What the gateways of a service have reported, by node."""

    def __init__(self):
        self._reported_by_node_id: dict[str, _Reported] = {}

    def put(self, tally: UpstreamTally, now: float) -> None:
        """Keep a report."""
        reported = self._reported_by_node_id.setdefault(tally.node_id, _Reported())
        reported.add(tally, now)

    def verdict(self, target_ids: set[str], target_version: str) -> Verdict:
        """Return the worse of the verdicts on the recent calls and on all."""
        verdicts = set()
        for is_recent in (False, True):
            tallies = [
                reported.recent if is_recent else reported.latest[1]
                for reported in self._reported_by_node_id.values()
            ]
            targets = [tally for tally in tallies if tally.node_id in target_ids]
            others = [t for t in tallies if t.version != target_version]
            verdicts.add(judge(targets, others, ready_targets=len(target_ids)))
        order = (Verdict.BAD, Verdict.SUSPECT, Verdict.SOUND)
        return next((v for v in order if v in verdicts), Verdict.UNPROVEN)

    def are_idle(self, node_ids: set[str], now: float) -> bool:
        """Return whether all of these gateways were told to end and have no calls."""
        for node_id in node_ids:
            reported = self._reported_by_node_id.get(node_id)
            if reported is None:
                return False
            at, tally = reported.latest
            if now > at + REPORT_VALID_S or tally.in_progress or not tally.is_final:
                return False
        return True
