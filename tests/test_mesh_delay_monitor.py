"""Tests for the report of times during which a node did not run."""

from testtools import TestCase

from verbenawick.mesh import _delay_monitor
from verbenawick.mesh._delay_monitor import DelayMonitor, ProcessDelayed
from verbenawick.runtime._clock import ManualClock


class DelayMonitorTest(TestCase):
    """A monitor on a manual clock."""

    def setUp(self):
        super().setUp()
        self.events = []
        self.patch(_delay_monitor, "emit", self.events.append)
        self.clock = ManualClock()
        self.processor_s = 3.0
        self.monitor = DelayMonitor(self.clock, processor_time=lambda: self.processor_s)

    def run_check(self, *, after_s, processor_s):
        """Check once, `after_s` after a check was expected in 0.15 s."""
        self.monitor.expect(0.15)
        self.clock.advance(after_s)
        self.processor_s += processor_s
        self.monitor.check()
        return self.events

    def test_delay_is_reported_with_the_processor_time_used(self):
        """Without it, a busy node looks the same as one without a processor."""
        events = self.run_check(after_s=0.45, processor_s=0.02)
        self.assertEqual([ProcessDelayed(0.3, 0.02)], events)

    def test_timers_that_are_nearly_on_time_are_not_reported(self):
        """A node under load is often some milliseconds late."""
        self.assertEqual([], self.run_check(after_s=0.3, processor_s=0.1))
