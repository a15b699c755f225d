"""Comparison of the upstreams of two versions.

Load: a few upstreams of a new version get a small share of the calls of their service,
while upstreams of both versions may also fail for reasons of their own. A version is
bad if most of its upstreams do worse than those of the other versions, in failures or
in time, on any route. A single bad upstream does not show that its version is bad.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum

# Calls of one route from which an upstream is judged.
MIN_CALLS = 6
MIN_FAILURES = 3
# Calls of the other versions from which their time is a measure.
MIN_BASE_CALLS = 10
# Failure rate, beyond that of the other versions, that callers notice.
FAILURE_MARGIN = 0.05
FAILURE_FACTOR = 2.0
# Standard deviations that a rate may exceed its limit by chance.
DEVIATIONS = 1.5
# Servers of one version differ in speed by up to this factor.
SLOW_FACTOR = 2.5


class Verdict(StrEnum):
    """Result of a comparison."""

    UNPROVEN = "unproven"  # too few calls
    SOUND = "sound"
    SUSPECT = "suspect"  # some upstreams do worse, but not most
    BAD = "bad"


@dataclass(slots=True)
class RouteTally:
    """Calls of one route that an upstream has ended, and their total time."""

    calls: int = 0
    failures: int = 0
    busy_s: float = 0.0

    def add(self, other: "RouteTally") -> None:
        """Add the calls of another tally."""
        self.calls += other.calls
        self.failures += other.failures
        self.busy_s += other.busy_s

    def since(self, earlier: "RouteTally | None") -> "RouteTally":
        """Return the calls since an earlier tally; all after counts began anew."""
        if earlier is None or earlier.calls > self.calls:
            return self
        return RouteTally(
            self.calls - earlier.calls,
            self.failures - earlier.failures,
            self.busy_s - earlier.busy_s,
        )

    @property
    def mean_s(self) -> float:
        """Return the mean time of a call in seconds; 0 without calls."""
        return self.busy_s / self.calls if self.calls else 0.0


@dataclass(frozen=True, slots=True)
class UpstreamTally:
    """What one upstream has done since the release began.

    Attributes
    ----------
    in_progress : int
        Calls that run at the upstream or wait for it.
    is_final : bool
        Whether its gateway knew already that it accepts no further calls.
    """

    node_id: str
    version: str
    region: str
    in_progress: int
    by_route: dict[str, RouteTally] = field(default_factory=dict)
    is_final: bool = False

    def since(self, earlier: "UpstreamTally") -> "UpstreamTally":
        """Return what the upstream has done since an earlier tally."""
        by_route = {
            route: tally.since(earlier.by_route.get(route))
            for route, tally in self.by_route.items()
        }
        return replace(self, by_route=by_route)


def judge(
    target: Sequence[UpstreamTally],
    others: Iterable[UpstreamTally],
    *,
    ready_targets: int | None = None,
) -> Verdict:
    """Return how the upstreams of the target version do compared with `others`.

    Parameters
    ----------
    ready_targets : int or None
        Ready upstreams of the version, also those without a tally; by default there are
        no others. A verdict on several rests on two at least.
    """
    base = defaultdict(RouteTally)
    base_by_region = defaultdict(RouteTally)
    for upstream in others:
        for route, tally in upstream.by_route.items():
            base[route].add(tally)
            base_by_region[route, upstream.region].add(tally)
    judged = suspects = 0
    for upstream in target:
        measured = {
            route: tally
            for route, tally in upstream.by_route.items()
            if tally.calls >= MIN_CALLS
        }
        if not measured:
            continue
        judged += 1
        suspects += any(
            _fails_more(tally, base[route])
            or _is_slower(tally, base[route], base_by_region[route, upstream.region])
            for route, tally in measured.items()
        )
    if not judged:
        return Verdict.UNPROVEN
    if not suspects:
        return Verdict.SOUND
    count = len(target) if ready_targets is None else ready_targets
    has_comparison = judged > 1 or count == 1
    if has_comparison and 2 * suspects > judged:
        return Verdict.BAD
    return Verdict.SUSPECT


def _fails_more(tally: RouteTally, base: RouteTally) -> bool:
    if tally.failures < MIN_FAILURES:
        return False
    base_rate = base.failures / base.calls if base.calls else 0.0
    limit = min(max(FAILURE_FACTOR * base_rate, base_rate + FAILURE_MARGIN), 1.0)
    deviation = math.sqrt(limit * (1 - limit) / tally.calls)
    return tally.failures / tally.calls > limit + DEVIATIONS * deviation


def _is_slower(tally: RouteTally, base: RouteTally, near: RouteTally) -> bool:
    # Speeds differ more between regions than within one.
    measure = near if near.calls >= MIN_BASE_CALLS else base
    if measure.calls < MIN_BASE_CALLS:
        return False
    return tally.mean_s > SLOW_FACTOR * measure.mean_s
