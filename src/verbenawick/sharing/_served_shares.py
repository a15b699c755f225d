"""Least share of the calls of a route or a priority that is served.

Load: urgent calls fill an upstream for so long that less urgent ones would get nothing.
A route or priority whose calls are served much less often than all is short, and goes
first until it has caught up. Calls that are repeated after each refusal also look like
calls of a short group, so only a part of the room is given out in this way; workspaces
of one priority share it fairly. Does no I/O and reads no clock.
"""

from dataclasses import dataclass

# A group is short below this fraction of the share that is served of all calls. Callers
# of every group are to be served at least a quarter as often as all.
SHORT_RATIO = 0.3
# Largest fraction of the granted slots that go to calls because their group is short.
MAX_SHORT_GRANTS = 0.25
# Time in which the weight of a decided call halves, seconds. Long enough to hold a few
# calls of a rare kind.
HALF_LIFE_S = 5.0
# Decided calls from which the share of a group is known.
MIN_DECIDED = 4.0
MAX_GROUPS = 1024

# The name of a route, or a priority.
Group = str | int


@dataclass(slots=True)
class _Share:
    decided: float = 0.0
    served: float = 0.0
    at: float = 0.0

    def add(self, *, is_served: bool, now: float) -> None:
        factor = 0.5 ** (max(now - self.at, 0.0) / HALF_LIFE_S)
        self.decided = self.decided * factor + 1
        self.served = self.served * factor + is_served
        self.at = now


class ServedShares:
    """Served share of the calls that competed for slots, by group and of all."""

    def __init__(self):
        self._overall = _Share()
        # Of the granted slots, those given to a call because its group was short.
        self._short_grants = _Share()
        self._share_by_group: dict[Group, _Share] = {}

    def add(self, groups: tuple[Group, ...], *, is_served: bool, now: float) -> None:
        """Add a call that was granted a slot after a wait, or refused."""
        if is_served:
            self._short_grants.add(is_served=self.is_short(groups), now=now)
        self._overall.add(is_served=is_served, now=now)
        for group in groups:
            share = self._share_by_group.get(group)
            if share is None:
                if len(self._share_by_group) >= MAX_GROUPS:
                    self._share_by_group.clear()
                share = self._share_by_group[group] = _Share(at=now)
            share.add(is_served=is_served, now=now)

    def is_short(self, groups: tuple[Group, ...]) -> bool:
        """Return whether one of `groups` is served much less often than all calls."""
        overall, grants = self._overall, self._short_grants
        if grants.served > MAX_SHORT_GRANTS * grants.decided:
            return False
        return any(
            share is not None
            and share.decided >= MIN_DECIDED
            and share.served * overall.decided
            < SHORT_RATIO * overall.served * share.decided
            for share in map(self._share_by_group.get, groups)
        )
