"""Tests of the age of the knowledge that a configuration is the latest."""

from unittest import mock

from testtools import TestCase

from verbenawick.mesh import _confirmation
from verbenawick.mesh._confirmation import (
    UNCONFIRMED_AFTER_S,
    UNCONFIRMED_S,
    ConfigurationConfirmed,
    ConfigurationUnconfirmed,
    Confirmation,
)
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet


class ConfirmationTest(TestCase):
    """A node whose sources of configurations fall silent."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.metrics = MetricSet()
        self.confirmation = Confirmation(clock=self.clock, metrics=self.metrics)
        patch = mock.patch.object(_confirmation, "emit")
        self.emit = patch.start()
        self.addCleanup(patch.stop)

    def check_after(self, seconds: float) -> list:
        """Check after a time and return the events that were logged."""
        self.clock.advance(seconds)
        self.emit.reset_mock()
        self.confirmation.check(version=4, source="store", relay="")
        return [call.args[0] for call in self.emit.call_args_list]

    def test_node_that_cannot_know_later_versions_says_so_once(self):
        """Guards against a node that serves an old version without a trace in logs."""
        self.assertEqual([], self.check_after(UNCONFIRMED_AFTER_S - 0.1))
        self.assertEqual(
            [ConfigurationUnconfirmed(4, 1.7, "store", "")], self.check_after(0.3)
        )
        self.assertEqual([], self.check_after(5.0))
        self.assertEqual(6.7, self.metrics.totals()[UNCONFIRMED_S])

    def test_confirmed_node_logs_how_long_it_could_not_know(self):
        """Guards against an age that has to be computed from two log lines."""
        self.check_after(UNCONFIRMED_AFTER_S + 1.0)
        self.clock.advance(0.5)
        self.confirmation.confirm()
        self.assertEqual(
            [ConfigurationConfirmed(4, 3.0, "store", "")], self.check_after(0.2)
        )
        self.assertEqual([], self.check_after(0.2))
