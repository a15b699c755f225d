"""Comparison of the upstreams of two versions."""

from testtools import TestCase

from verbenawick.releases._judgement import (
    RouteTally,
    UpstreamTally,
    Verdict,
    judge,
)


def tally(node_id, *, calls=40, failures=0, mean_s=0.1, region="north", route="r"):
    """Return what an upstream did on one route."""
    counts = RouteTally(calls, failures, calls * mean_s)
    return UpstreamTally(node_id, "v", region, 0, {route: counts})


class JudgementTest(TestCase):
    """Verdicts on versions, under load and beside failures of other causes."""

    others = [tally(f"old-{n}", failures=1) for n in range(6)]

    def test_equal_upstreams_are_sound(self):
        """Failures that occur on all versions are none of the new one."""
        target = [tally(f"new-{n}", failures=1) for n in range(3)]
        self.assertEqual(Verdict.SOUND, judge(target, self.others))

    def test_few_calls_prove_nothing(self):
        """A verdict from a handful of calls would be chance."""
        target = [tally("new-1", calls=5, failures=5)]
        self.assertEqual(Verdict.UNPROVEN, judge(target, self.others))
        self.assertEqual(Verdict.UNPROVEN, judge([], self.others))

    def test_failing_version_is_bad(self):
        """Also if it fails on a single route, which is a part of its calls."""
        for route in ("r", "rare"):
            target = [
                tally(f"new-{n}", calls=12, failures=6, route=route) for n in range(2)
            ]
            self.assertEqual(Verdict.BAD, judge(target, self.others))

    def test_slow_version_is_bad_but_a_slow_region_is_not(self):
        """Speeds of VMs differ between regions, whatever the version."""
        slow = [tally(f"new-{n}", mean_s=0.4) for n in range(2)]
        self.assertEqual(Verdict.BAD, judge(slow, self.others))
        far = [tally("old-far", mean_s=0.3, region="south")]
        same = [tally(f"new-{n}", mean_s=0.35, region="south") for n in range(2)]
        self.assertEqual(Verdict.SOUND, judge(same, self.others + far))

    def test_one_failing_upstream_of_several_is_no_bad_version(self):
        """An upstream may fail for reasons of its own."""
        target = [tally("new-1", failures=20), tally("new-2"), tally("new-3")]
        self.assertEqual(Verdict.SUSPECT, judge(target, self.others))
        unjudged = [tally("new-1", failures=20), tally("new-2", calls=1)]
        self.assertEqual(Verdict.SUSPECT, judge(unjudged, self.others))
        self.assertEqual(Verdict.BAD, judge(target[:1], self.others))

    def test_version_is_not_blamed_for_failures_of_all(self):
        """With half of all calls failing, a version that fails as often is sound."""
        others = [tally(f"old-{n}", failures=20) for n in range(6)]
        target = [tally(f"new-{n}", failures=22) for n in range(2)]
        self.assertEqual(Verdict.SOUND, judge(target, others))
