"""Tests of the forecast of free slots."""

from testtools import TestCase

from verbenawick.sharing._slot_forecast import SlotForecast


class SlotForecastTest(TestCase):
    """An upstream with four slots."""

    def waits(self, *, running, service_s, calls_s):
        forecast = SlotForecast(slots=4, running=running, service_s=service_s)
        waits = []
        for call_s in calls_s:
            waits.append(round(forecast.wait_s(), 6))
            forecast.add(call_s)
        return waits

    def test_calls_take_the_free_slots_without_a_wait(self):
        """Calls would be refused while slots are free."""
        waits = self.waits(running=2, service_s=1.0, calls_s=[1.0, 1.0, 1.0])
        self.assertEqual([0.0, 0.0, 0.25], waits)

    def test_equal_calls_wait_for_one_end_each(self):
        """Full slots of equal calls free one slot in each fourth of their time."""
        waits = self.waits(running=4, service_s=1.0, calls_s=[1.0] * 5)
        self.assertEqual([0.25, 0.5, 0.75, 1.0, 1.25], waits)

    def test_short_calls_do_not_wait_for_a_long_call_each(self):
        """Steps behind long calls were refused though they had time enough."""
        waits = self.waits(running=4, service_s=1.0, calls_s=[0.05] * 4)
        self.assertEqual([0.25, 0.3, 0.35, 0.4], waits)
