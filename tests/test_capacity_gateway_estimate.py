"""Tests of what an entry expects of a gateway that it rarely hears of."""

from testtools import TestCase

from verbenawick.capacity._gateway_estimate import GatewayEstimate, UsualTimes


class GatewayEstimateTest(TestCase):
    """A gateway of eight slots; calls usually take 0.1 s."""

    def estimate(self, *, calls=0, service_s=0.1, answers=1, now=0.0):
        estimate = GatewayEstimate()
        for _ in range(answers):
            estimate.record(
                calls=calls, slots=8, service_s=service_s, usual_service_s=0.1, now=now
            )
        return estimate

    def test_report_counts_in_full_at_first(self):
        """Guards against a full queue that looks like a usual one."""
        estimate = self.estimate(calls=30, service_s=0.5)
        self.assertEqual(30, estimate.expected_calls(0.5, 0.0))
        self.assertAlmostEqual(5.0, estimate.expected_slowdown(0.0))

    def test_old_queue_is_expected_to_have_changed(self):
        """Guards against a gateway that an entry avoids or prefers for ever."""
        for calls in (30, 0):
            expected = self.estimate(calls=calls).expected_calls(0.5, 10.0)
            self.assertAlmostEqual(4.0, expected, delta=0.1)

    def test_upstream_that_was_slow_for_a_moment_is_tried_again(self):
        """Guards against a recovered upstream that gets no work."""
        estimate = self.estimate(answers=20)
        estimate.record(calls=0, slots=8, service_s=0.5, usual_service_s=0.1, now=1.0)
        self.assertGreater(estimate.expected_slowdown(1.2), 3.0)
        self.assertLess(estimate.expected_slowdown(7.0), 1.5)

    def test_upstream_that_is_always_slow_stays_the_slower_one(self):
        """Guards against equal shares for upstreams of different speed."""
        slow = self.estimate(service_s=0.16, answers=20)
        fast = self.estimate(service_s=0.06, answers=20)
        for age_s in (1.0, 4.0):
            self.assertGreater(
                slow.expected_slowdown(age_s), 1.5 * fast.expected_slowdown(age_s)
            )

    def test_failure_without_a_time_keeps_the_known_speed(self):
        """Guards against a slow upstream that a refusal makes look usual."""
        estimate = self.estimate(service_s=0.3, answers=5)
        estimate.record(calls=2, slots=8, service_s=0.0, usual_service_s=None, now=0.0)
        self.assertAlmostEqual(3.0, estimate.expected_slowdown(0.0))

    def test_usual_times_are_kept_by_route_and_use_by_data_centre(self):
        """Guards against calls refused in a wave while another region has room."""
        usual = UsualTimes()
        usual.add(("s", "a"), "short", service_s=0.01, use=2.0, now=0.0)
        usual.add(("s", "b"), "long", service_s=1.0, use=0.5, now=0.0)
        self.assertEqual(0.01, usual.service_s("short"))
        self.assertIsNone(usual.service_s("new"))
        groups = (("s", "a"), ("s", "b"), ("s", "c"), ("t", "a"))
        self.assertEqual([2.0, 0.5, 0.0, 0.0], [usual.use(g, 0.0) for g in groups])
        self.assertLess(usual.use(("s", "a"), 10.0), 0.5)
