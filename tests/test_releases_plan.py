"""Steps of a release, with one failure at a time."""

from testtools import TestCase

from verbenawick.releases._judgement import Verdict
from verbenawick.releases._model import (
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
)
from verbenawick.releases._plan import Evidence, ReleasePlan

ACTIVE = ReleaseState.ACTIVE
COMPLETED = ReleaseState.COMPLETED
ROLLED_BACK = ReleaseState.ROLLED_BACK
TICK_S = 0.25


def evidence(ready=4, verdict=Verdict.SOUND, others=4, idle=True) -> Evidence:
    """Return what a leader knows of a sound release."""
    return Evidence(ready, verdict, others, idle)


class PlanTest(TestCase):
    """Shares and states over time; a tick is a quarter of a second."""

    def plan(self, status=None, now=0.0) -> ReleasePlan:
        order = ReleaseOrder("o", "s", "v2", 15.0, 1, status)
        return ReleasePlan(order, now, max_exposure=0.1)

    def play(self, plan, seconds, known, begin=0.0) -> list[tuple[float, float]]:
        """Advance a plan with constant evidence; return times and new shares."""
        changes = []
        for tick in range(int(begin / TICK_S), int((begin + seconds) / TICK_S)):
            earlier = (plan.state, plan.share)
            plan.advance(tick * TICK_S, known)
            if earlier != (plan.state, plan.share):
                changes.append((tick * TICK_S, plan.share))
        return changes

    def test_sound_version_is_completed_in_time(self):
        """All calls are moved in steps before the time of the order is over."""
        plan = self.plan()
        changes = self.play(plan, 15, evidence())
        self.assertEqual([0.05, 0.1, 0.25, 0.5, 1.0, 1.0], [s for _, s in changes])
        self.assertEqual(COMPLETED, plan.state)
        self.assertLess(changes[-1][0], 15)

    def test_calls_so_far_stay_within_the_exposure(self):
        """A version that turns bad at any step has got few calls more than allowed."""
        plan = self.plan()
        exposed = 0.0
        for tick in range(int(12 / TICK_S)):
            plan.advance(tick * TICK_S, evidence())
            exposed += plan.share * TICK_S
            if plan.share < 1:
                self.assertLess(exposed, 0.1 * 15)

    def test_bad_version_is_rolled_back_at_once_and_for_good(self):
        """No later evidence brings a bad version back."""
        plan = self.plan()
        self.play(plan, 2, evidence())
        plan.advance(2.0, evidence(verdict=Verdict.BAD))
        self.assertEqual((ROLLED_BACK, 0.0), (plan.state, plan.share))
        self.assertEqual([], self.play(plan, 10, evidence(), begin=2.25))

    def test_suspicion_holds_the_share_for_a_while(self):
        """An upstream with faults of its own delays a release but does not end it."""
        plan = self.plan()
        suspect = evidence(verdict=Verdict.SUSPECT)
        self.assertEqual([], self.play(plan, 2, suspect))
        self.play(plan, 13, suspect, begin=2)
        self.assertEqual(COMPLETED, plan.state)

    def test_upstreams_that_never_come_end_the_release(self):
        """An operator is told that nothing runs the version."""
        plan = self.plan()
        self.assertEqual([], self.play(plan, 15, evidence(ready=0)))
        plan.advance(15.0, evidence(ready=0))
        self.assertEqual(ROLLED_BACK, plan.state)

    def test_upstreams_that_vanish_end_the_release(self):
        """A moment without them does not: their nodes may be restarting."""
        plan = self.plan()
        self.play(plan, 4, evidence())
        share = plan.share
        self.play(plan, 2, evidence(ready=0), begin=4)
        self.assertEqual((ACTIVE, share), (plan.state, plan.share))
        self.play(plan, 1, evidence(), begin=6)
        self.play(plan, 3.5, evidence(ready=0), begin=7)
        self.assertEqual(ROLLED_BACK, plan.state)

    def test_others_complete_their_calls_first(self):
        """Upstreams of other versions are stopped without a drain at the end."""
        plan = self.plan()
        self.play(plan, 14, evidence(idle=False))
        self.assertEqual((ACTIVE, 1.0), (plan.state, plan.share))
        self.assertTrue(plan.is_final(14.0))
        plan.advance(14.0, evidence())
        self.assertEqual(COMPLETED, plan.state)

    def test_nothing_but_a_roll_back_is_decided_before_the_last_step_is_stored(self):
        """A store that was away must not turn several steps into one."""
        plan = self.plan()
        for tick in range(60):
            plan.advance(tick * TICK_S, evidence(), is_stored=tick < 3)
        self.assertEqual((ACTIVE, 0.05), (plan.state, plan.share))
        plan.advance(15.0, evidence(verdict=Verdict.BAD), is_stored=False)
        self.assertEqual(ROLLED_BACK, plan.state)

    def test_share_waits_for_enough_upstreams(self):
        """A few upstreams of the version cannot take all calls of the service."""
        plan = self.plan()
        self.play(plan, 14, evidence(ready=1, others=8))
        self.assertEqual((ACTIVE, 0.25), (plan.state, plan.share))
        self.play(plan, 2, evidence(ready=1, others=8), begin=14)
        self.assertEqual(ROLLED_BACK, plan.state)

    def test_next_leader_continues_in_steps(self):
        """A leader that is lost does not send the share back or to the end."""
        plan = self.plan(ReleaseStatus(ACTIVE, "v2", 0.25, 4.0), now=100.0)
        changes = self.play(plan, 4, evidence(), begin=100)
        self.assertEqual([0.5, 1.0, 1.0], [share for _, share in changes])
        self.assertEqual(COMPLETED, plan.state)

    def test_status_of_an_earlier_order_does_not_count(self):
        """A second order for the service starts from nothing."""
        plan = self.plan(ReleaseStatus(COMPLETED, "v1", 1.0, 0.0))
        self.assertEqual((ACTIVE, 0.0), (plan.state, plan.share))
