"""Owner of groups of workspaces: one bucket for each workspace.

Load: callers of a workspace send at any nodes, at times many times what it may send.
The bucket has the sum of the shares that nodes have delegated to this owner, so that
several owners together never have more than the whole. Does no I/O and reads no clock.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from verbenawick.allowances._messages import AllowanceAnswer, AllowanceAsk
from verbenawick.allowances._model import AHEAD_S, Tolerance, group_of
from verbenawick.workspaces._model import Workspace, Workspaces

# A bucket takes whole requests. An owner with at least this part of a small burst may
# still hold one; fewer than ten owners can have it at once.
MIN_WHOLE_FRACTION = 0.1
# Part of a bucket that is kept for requests that wait; the rest may be granted ahead.
KEPT_FRACTION = 0.5
# Longest retry-after time, seconds.
MAX_RETRY_AFTER_S = 2.0
# Retry-after time while no node has delegated a share to this owner, seconds. Shares
# that an earlier owner had follow within `DELEGATION_S`.
TAKEOVER_RETRY_AFTER_S = 0.6
# Absorbs rounding, so that a request passes when its time has come.
EPSILON = 1e-9


@dataclass(slots=True)
class Bucket:
    """Requests that a workspace may send now, of the shares delegated to this owner.

    Attributes
    ----------
    fraction : float
        Sum of the shares, at most 1.
    content : float
        Requests that may be granted.
    ahead : float
        Grants ahead that may still be used. They take the place of content, so that
        they and the content together are never more than the depth.
    retry_at : float
        Time at which a request that is refused next would pass.
    granted, refused : int
        Requests since the last `take_counts`.
    """

    workspace: Workspace
    updated_at: float
    fraction: float = 0.0
    content: float = 0.0
    ahead: float = 0.0
    ahead_ends: deque[tuple[float, int]] = field(default_factory=deque)
    retry_at: float = 0.0
    granted: int = 0
    refused: int = 0
    tolerance: Tolerance = Tolerance()

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second of the delegated shares."""
        extra_per_s = self.tolerance.extra_rate_per_s(self.workspace)
        return (self.workspace.rate_per_s + extra_per_s) * self.fraction

    @property
    def depth(self) -> float:
        """Return the largest content."""
        depth = self.workspace.burst * self.fraction
        return max(depth, 1.0) if self.fraction >= MIN_WHOLE_FRACTION else depth

    def accrue(self, now: float) -> None:
        """Add what has accrued until `now`."""
        while self.ahead_ends and self.ahead_ends[0][0] <= now:
            ends_at, count = self.ahead_ends.popleft()
            self._accrue_with_ahead(ends_at)
            self.ahead -= count
        self._accrue_with_ahead(now)

    def _accrue_with_ahead(self, now: float) -> None:
        if now > self.updated_at:
            self.content += (now - self.updated_at) * self.rate_per_s
            self.updated_at = now
        self._cut()

    def _cut(self) -> None:
        self.content = max(min(self.content, self.depth - self.ahead), 0.0)

    def set_fraction(self, fraction: float, now: float) -> None:
        """Change the shares; more shares add no content."""
        self.accrue(now)
        self.fraction = fraction
        self._cut()

    def set_workspace(self, workspace: Workspace, now: float) -> None:
        """Change the limit."""
        self.accrue(now)
        self.workspace = workspace
        self._cut()

    def grant(self, waiting: int, now: float) -> int:
        """Take grants for requests that wait."""
        self.accrue(now)
        granted = min(waiting, int(self.content + EPSILON))
        self.content -= granted
        self.granted += granted
        return granted

    def grant_ahead(self, expected: int, now: float) -> int:
        """Take grants for requests to come, while enough is left for others."""
        self.accrue(now)
        spare = self.content - self.depth * KEPT_FRACTION
        granted = max(min(expected, int(spare)), 0)
        if granted:
            self.content -= granted
            self.ahead += granted
            self.ahead_ends.append((now + AHEAD_S, granted))
            self.granted += granted
        return granted

    def refuse(self, count: int, nodes: int, now: float) -> tuple[float, float]:
        """Return the retry-after time of the first of `count` requests, and a spacing.

        Refused requests get different times, at the rate of the bucket.
        """
        self.refused += count
        if not self.rate_per_s:
            return TAKEOVER_RETRY_AFTER_S, 0.0
        missing = max(1.0 - self.content, 0.0)
        first_at = max(self.retry_at, now + missing / self.rate_per_s)
        first_at = min(first_at, now + MAX_RETRY_AFTER_S)
        self.retry_at = first_at + count / self.rate_per_s
        return first_at - now, nodes / self.rate_per_s

    def take_counts(self) -> tuple[int, int]:
        """Return and reset the granted and refused requests."""
        counts = self.granted, self.refused
        self.granted = self.refused = 0
        return counts


@dataclass(frozen=True, slots=True)
class _Delegation:
    fraction: float
    ends_at: float


@dataclass(slots=True)
class _Group:
    """Delegations and buckets of a group; dropped when no delegation is left."""

    buckets_by_name: dict[str, Bucket]
    delegations_by_node_id: dict[str, _Delegation] = field(default_factory=dict)
    # No delegation ends earlier.
    next_end_at: float = math.inf
    fraction: float = 0.0

    def put(self, node_id: str, delegation: _Delegation, now: float) -> None:
        earlier = self.delegations_by_node_id.get(node_id)
        if earlier is not None and earlier.ends_at >= delegation.ends_at:
            return
        self.delegations_by_node_id[node_id] = delegation
        self.next_end_at = min(self.next_end_at, delegation.ends_at)
        if earlier is None or earlier.fraction != delegation.fraction:
            self.update_fraction(now)

    def expire(self, now: float) -> None:
        """Remove the delegations that have ended, each at its time."""
        if now < self.next_end_at:
            return
        ended = sorted(
            (delegation.ends_at, node_id)
            for node_id, delegation in self.delegations_by_node_id.items()
            if delegation.ends_at <= now
        )
        for ends_at, node_id in ended:
            del self.delegations_by_node_id[node_id]
            self.update_fraction(ends_at)
        self.next_end_at = min(
            (d.ends_at for d in self.delegations_by_node_id.values()), default=math.inf
        )

    def update_fraction(self, now: float) -> None:
        """Give all buckets the sum of the shares."""
        shares = (d.fraction for d in self.delegations_by_node_id.values())
        self.fraction = min(math.fsum(shares), 1.0)
        for bucket in self.buckets_by_name.values():
            bucket.set_fraction(self.fraction, now)


class AllowanceOwner:
    """Grants requests from the shares that nodes have delegated to this process.

    Parameters
    ----------
    epoch : int
        Number of this process, not 0.
    """

    def __init__(self, *, epoch: int, tolerance: Tolerance | None = None):
        self._epoch = epoch
        self._tolerance = tolerance or Tolerance()
        # False until a version is in force, and once the node stops.
        self._is_granting = False
        self._is_released = False
        self._limited_by_group: dict[int, dict[str, Workspace]] = {}
        self._groups: dict[int, _Group] = {}

    def put_in_force(self, workspaces: Workspaces | None, now: float) -> None:
        """Follow a version; a lower limit also cuts what a bucket holds."""
        self._is_granting = not self._is_released
        self._limited_by_group = {}
        for workspace in workspaces.by_name.values() if workspaces else ():
            if workspace.rate_per_s > 0:
                by_name = self._limited_by_group.setdefault(
                    group_of(workspace.name), {}
                )
                by_name[workspace.name] = workspace
        for number, group in self._groups.items():
            group.expire(now)
            self._replace_buckets(number, group, now)

    def _replace_buckets(self, number: int, group: _Group, now: float) -> None:
        earlier_by_name = group.buckets_by_name
        group.buckets_by_name = {}
        for name, workspace in self._limited_by_group.get(number, {}).items():
            bucket = earlier_by_name.get(name)
            if bucket is None:
                bucket = Bucket(workspace, now, tolerance=self._tolerance)
            else:
                bucket.set_workspace(workspace, now)
            group.buckets_by_name[name] = bucket
        group.update_fraction(now)

    def release(self) -> None:
        """Grant nothing more; the delegations have ended."""
        self._is_released = True
        self._is_granting = False
        self._groups.clear()

    def answer(self, node_id: str, ask: AllowanceAsk, now: float) -> AllowanceAnswer:
        """Return the grants and refusals for the ask of a node."""
        if not self._is_granting:
            return AllowanceAnswer(ask.call_id)
        group = self._group_for(node_id, ask, now)
        granted_by_name, ahead_by_name, refusals_by_name = {}, {}, {}
        for name in {**ask.waiting_by_name, **ask.expected_by_name}:
            waiting = max(ask.waiting_by_name.get(name, 0), 0)
            expected = max(ask.expected_by_name.get(name, 0), 0)
            bucket = group.buckets_by_name.get(name) if group else None
            if bucket is None:
                # Unlimited here: a version is not yet in force on both nodes.
                is_limited = name in self._limited_by_group.get(ask.group, {})
                granted = 0 if is_limited else waiting
                refusal = (TAKEOVER_RETRY_AFTER_S, 0.0)
            else:
                granted = bucket.grant(waiting, now)
                if granted < waiting:
                    nodes = len(group.delegations_by_node_id)
                    refusal = bucket.refuse(waiting - granted, nodes, now)
                elif ahead := bucket.grant_ahead(expected, now):
                    ahead_by_name[name] = ahead
            if granted:
                granted_by_name[name] = granted
            if granted < waiting:
                refusals_by_name[name] = refusal
        return AllowanceAnswer(
            ask.call_id,
            self._epoch,
            now,
            group.fraction if group else 0.0,
            granted_by_name,
            ahead_by_name,
            refusals_by_name,
        )

    def _group_for(self, node_id: str, ask: AllowanceAsk, now: float) -> _Group | None:
        """Return the group after the delegation in `ask`, None without delegations."""
        group = self._groups.get(ask.group)
        if group is not None:
            group.expire(now)
        is_delegating = (
            ask.epoch == self._epoch
            and ask.node_count > 0
            and ask.delegated_until > now
            and ask.group in self._limited_by_group
        )
        if is_delegating:
            if group is None:
                buckets_by_name = {
                    name: Bucket(workspace, now, tolerance=self._tolerance)
                    for name, workspace in self._limited_by_group[ask.group].items()
                }
                group = self._groups[ask.group] = _Group(buckets_by_name)
            delegation = _Delegation(1 / ask.node_count, ask.delegated_until)
            group.put(node_id, delegation, now)
        if group is not None and not group.delegations_by_node_id:
            # Without a share the depth is 0, so nothing is lost.
            del self._groups[ask.group]
            return None
        return group

    def owned(self, now: float) -> Iterable[tuple[Bucket, int]]:
        """Return the buckets, each with the number of nodes that delegated a share."""
        for group in self._groups.values():
            group.expire(now)
            for bucket in group.buckets_by_name.values():
                yield bucket, len(group.delegations_by_node_id)
