"""Which upstreams of a service a call may go to while a release is in progress.

Load: calls of a service at many entries, of which a share may go to a version. Each
entry keeps the share of its own calls. The share goes to as many upstreams of the
version as it would keep as busy as the others, so that the version is also judged under
load while its share is small.
"""

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from verbenawick.releases._model import ReleaseState, ReleaseView

# With a single upstream, its own faults could not be told from those of the version.
MIN_UPSTREAMS = 2
# Time after the last beacon of a release for which a node follows it, seconds. Covers
# the change of the leader. Versions are started again after the end of a release, for
# example with a replaced VM, and get calls then.
VIEW_VALID_S = 10.0
# Time after its last beacon for which a roll-back binds the leaders of its order,
# seconds. The store may be away when the leader that decided it is lost.
ROLL_BACK_VALID_S = 600.0
# The sum of ten shares of 0.1 is below 1 by a rounding error.
ROUNDING = 1e-9


class Versioned(Protocol):
    """A gateway whose upstream has a version."""

    node_id: str
    version: str


_T = TypeVar("_T", bound=Versioned)


class VersionShares:
    """The releases that a node knows, by service."""

    def __init__(self):
        self._by_service: dict[str, ReleaseView] = {}
        self._valid_until_by_service: dict[str, float] = {}
        self._credit_by_service: dict[str, float] = {}
        # The last roll-back of a service, and until when it binds.
        self._roll_back_by_service: dict[str, tuple[ReleaseView, float]] = {}

    def put(self, view: ReleaseView, now: float) -> bool:
        """Apply a view unless the known one precedes; return whether it is new."""
        known = self._current(view.service, now)
        if known is not None and view.precedence < known.precedence:
            return False
        if self.roll_back_against(view, now) is not None:
            return False
        if view.state is ReleaseState.ROLLED_BACK:
            until = now + ROLL_BACK_VALID_S
            self._roll_back_by_service[view.service] = (view, until)
        self._by_service[view.service] = view
        self._valid_until_by_service[view.service] = now + VIEW_VALID_S
        return view != known

    def roll_back_against(self, view: ReleaseView, now: float) -> ReleaseView | None:
        """Return the roll-back of the order that a view says is in progress, if any."""
        if view.state is not ReleaseState.ACTIVE or not view.ordered_at:
            return None
        return self.roll_back_of(
            view.service, view.target_version, view.ordered_at, now
        )

    def roll_back_of(
        self, service: str, target_version: str, ordered_at: int, now: float
    ) -> ReleaseView | None:
        """Return the roll-back of the order that was written at a revision, if any."""
        known, until = self._roll_back_by_service.get(service, (None, 0.0))
        if known is None or now > until:
            return None
        is_same = (known.target_version, known.ordered_at) == (
            target_version,
            ordered_at,
        )
        return known if is_same else None

    def active(self, service: str, now: float) -> ReleaseView | None:
        """Return the release of a service that is in progress, if there is one."""
        view = self._current(service, now)
        if view is None or view.state is not ReleaseState.ACTIVE:
            return None
        return view

    def is_retired(self, service: str, version: str, now: float) -> bool:
        """Return whether upstreams of a version get no further calls."""
        view = self._current(service, now)
        if view is None or not version:
            return False
        is_target = version == view.target_version
        if view.state is ReleaseState.ROLLED_BACK:
            return is_target
        return view.is_final and not is_target

    def select(self, service: str, gateways: Sequence[_T], now: float) -> Sequence[_T]:
        """Return the gateways that the next call of a service may go to."""
        view = self._current(service, now)
        if view is None:
            return gateways
        targets = [g for g in gateways if g.version == view.target_version]
        others = [g for g in gateways if g.version != view.target_version]
        if view.state is ReleaseState.ROLLED_BACK:
            return others
        if view.state is ReleaseState.COMPLETED or view.share >= 1:
            return targets or others
        if not others:
            return targets
        if not targets or not self._takes_target(service, view.share):
            return others
        count = max(math.ceil(view.share * len(others)), MIN_UPSTREAMS)
        return sorted(targets, key=lambda g: g.node_id)[:count]

    def _current(self, service: str, now: float) -> ReleaseView | None:
        view = self._by_service.get(service)
        if view is None or now <= self._valid_until_by_service[service]:
            return view
        del self._by_service[service]
        del self._valid_until_by_service[service]
        return None

    def _takes_target(self, service: str, share: float) -> bool:
        credit = self._credit_by_service.get(service, 0.0) + share
        is_taken = credit >= 1 - ROUNDING
        self._credit_by_service[service] = credit - is_taken
        return is_taken
