"""Steps of one release.

Load: a version that may be bad at once, later, on one route or only under load gets a
share of the calls of a service that is in full use. The share rises in steps. All calls
before the last step together stay within the exposure that the operator accepts, so
that a version that turns bad late has had few calls.
"""

import math
from dataclasses import dataclass

from verbenawick.releases._judgement import Verdict
from verbenawick.releases._model import (
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
)

# Time at the end of a release in which the other versions complete their calls.
FINISH_S = 2.5
# Part of the time before that, and the share from then on, as a multiple of the
# accepted exposure.
EXPOSED_STEPS = ((0.0, 0.5), (0.5, 1.0))
# The same beyond that exposure, as a share of all calls.
LAST_STEPS = ((0.75, 0.25), (0.8, 0.5), (0.85, 1.0))
MIN_STEP_S = 0.5
# Digits of a share after the decimal point, also in the store.
SHARE_DIGITS = 4
# Upstreams of the version needed for a share of the calls, relative to those of the
# others for all of them.
MIN_CAPACITY = 0.5
# Time for which suspicion against a part of the upstreams keeps the share from rising.
SUSPICION_S = 2.0
# Time without any upstream of the version after which it is given up.
ABSENCE_S = 3.0
# Time after the last step in which all nodes get to know it.
SETTLE_S = 1.0
# Time before the end at which the release completes with calls still in progress.
LAST_MOMENT_S = 0.3


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the leader knows of the upstreams of both versions.

    Attributes
    ----------
    ready_targets : int
        Ready upstreams of the target version.
    ready_others : int
        Ready upstreams of other versions.
    are_others_idle : bool
        Whether each of these has reported, after it was told to accept no further
        calls, that none is in progress.
    """

    ready_targets: int
    verdict: Verdict
    ready_others: int = 0
    are_others_idle: bool = True


class ReleasePlan:
    """Decides the share of the target version; does no I/O and reads no clock.

    Parameters
    ----------
    max_exposure : float
        Share of a service's calls that a bad version may get, 0 to 1.
    """

    def __init__(self, order: ReleaseOrder, now: float, *, max_exposure: float):
        self.order = order
        progress = order.progress
        self.state = progress.state if progress else ReleaseState.ACTIVE
        self.share = progress.share if progress else 0.0
        self.reason = progress.reason if progress else ""
        self.ordered_at = order.ordered_at
        left_s = progress.remaining_s if progress else order.duration_s
        self._ends_at = now + left_s
        # When the end was stored; an end that an earlier leader stored is long known.
        is_ended = self.state is not ReleaseState.ACTIVE
        self.ended_at = -math.inf if is_ended else None
        self._steps = (
            *(
                (part, round(max_exposure * factor, SHARE_DIGITS))
                for part, factor in EXPOSED_STEPS
            ),
            *((part, share) for part, share in LAST_STEPS if share > max_exposure),
        )
        self._started_at: float | None = None
        self._stepped_at = now
        self._absent_since: float | None = None
        self._suspect_since: float | None = None

    def is_same_order(self, order: ReleaseOrder) -> bool:
        """Return whether `order` is the one of this plan, with any progress."""
        known = (self.order.target_version, self.order.duration_s)
        return known == (order.target_version, order.duration_s)

    def is_behind(self, progress: ReleaseStatus | None) -> bool:
        """Return whether another leader has ended the release or brought it further."""
        if progress is None:
            return False
        if progress.state is not ReleaseState.ACTIVE:
            return progress.state is not self.state
        return self.state is ReleaseState.ACTIVE and progress.share > self.share

    def is_earlier_than(self, progress: ReleaseStatus | None) -> bool:
        """Return whether the progress is that of an order that was written later."""
        return progress is not None and progress.ordered_at > self.ordered_at

    def note_stored(self, now: float) -> None:
        """Note that the present state and share were stored for the first time."""
        self._stepped_at = now
        if self.state is not ReleaseState.ACTIVE:
            self.ended_at = now

    def status(self, now: float) -> ReleaseStatus:
        """Return the status to be stored."""
        return ReleaseStatus(
            self.state,
            self.order.target_version,
            self.share,
            max(self._ends_at - now, 0.0),
            self.reason,
            self.ordered_at,
        )

    def roll_back(self, reason: str) -> None:
        """End the release without the version."""
        self.state = ReleaseState.ROLLED_BACK
        self.share = 0.0
        self.reason = reason

    def is_final(self, now: float) -> bool:
        """Return whether the other versions have to complete their calls."""
        if self.state is ReleaseState.COMPLETED:
            return True
        is_settled = now >= self._stepped_at + SETTLE_S / 2
        return self.state is ReleaseState.ACTIVE and self.share >= 1 and is_settled

    def advance(
        self, now: float, evidence: Evidence, *, is_stored: bool = True
    ) -> None:
        """Decide the next state and share.

        Parameters
        ----------
        is_stored : bool
            Whether the present ones are stored. Otherwise only a roll-back is decided.
        """
        if self.state is not ReleaseState.ACTIVE:
            return
        if evidence.verdict is Verdict.BAD:
            self.roll_back("the version does worse than the others")
        elif not evidence.ready_targets:
            self._wait_for_upstreams(now)
        else:
            self._absent_since = None
            if self._started_at is None:
                self._started_at = now
            if is_stored:
                self._proceed(now, evidence)

    def _proceed(self, now: float, evidence: Evidence) -> None:
        if self.share >= 1:
            self._complete(now, evidence)
            return
        is_held = self._is_held(now, evidence.verdict)
        if not is_held and now >= self._stepped_at + MIN_STEP_S:
            self._step(now, evidence)

    def _wait_for_upstreams(self, now: float) -> None:
        if self._started_at is None and not self.share:
            if now >= self._ends_at:
                self.roll_back("no upstream of the version became ready")
            return
        if self._absent_since is None:
            self._absent_since = now
        if now >= self._absent_since + ABSENCE_S:
            self.roll_back("all upstreams of the version are gone")

    def _is_held(self, now: float, verdict: Verdict) -> bool:
        if verdict is not Verdict.SUSPECT:
            self._suspect_since = None
            return False
        if self._suspect_since is None:
            self._suspect_since = now
        return now < self._suspect_since + SUSPICION_S

    def _step(self, now: float, evidence: Evidence) -> None:
        span_s = max(self._ends_at - FINISH_S - self._started_at, MIN_STEP_S)
        part = (now - self._started_at) / span_s
        due = [share for begins_at, share in self._steps if part >= begins_at]
        # One step at a time, also after a change of the leader or a suspicion.
        higher = [share for share in due if share > self.share]
        if not higher:
            return
        needed = MIN_CAPACITY * higher[0] * evidence.ready_others
        if evidence.ready_targets >= needed:
            self.share = higher[0]
            self._stepped_at = now
        elif now >= self._ends_at:
            self.roll_back("too few upstreams of the version are ready")

    def _complete(self, now: float, evidence: Evidence) -> None:
        if now < self._stepped_at + SETTLE_S:
            return
        if evidence.are_others_idle or now >= self._ends_at - LAST_MOMENT_S:
            self.state = ReleaseState.COMPLETED
            self.reason = "all calls go to the version"
