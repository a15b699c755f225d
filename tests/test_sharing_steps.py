"""Tests of the recognition of steps of running calls."""

from contextlib import ExitStack

from testtools import TestCase

from verbenawick.sharing._steps import StepRecognition


class StepRecognitionTest(TestCase):
    """Calls without a key at a VM whose upstream is running calls."""

    def test_callers_without_a_key_pass_no_more_calls_as_steps_than_run(self):
        """A burst at an anonymous route would take the slots of all others."""
        steps = StepRecognition()
        with ExitStack() as stack:
            seen = [
                stack.enter_context(steps.handle(running_calls=3)) for _ in range(10)
            ]
        self.assertEqual([True] * 3 + [False] * 7, seen)

    def test_call_is_no_step_while_nothing_runs(self):
        """A caller of an anonymous route would go before calls with a key."""
        with StepRecognition().handle(running_calls=0) as is_step:
            self.assertFalse(is_step)

    def test_step_that_failed_makes_room_for_the_next(self):
        """Steps would no longer be recognized after some have failed."""
        steps = StepRecognition()
        for _ in range(2):
            with self.assertRaises(ValueError):
                with steps.handle(running_calls=1) as is_step:
                    self.assertTrue(is_step)
                    raise ValueError
