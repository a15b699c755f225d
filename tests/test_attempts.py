"""Concurrent attempts of one call, without sockets."""

import eventlet
from testtools import TestCase

from tests.call_support import member
from verbenawick.calls._attempts import Attempts


class AttemptsTest(TestCase):
    """Order of answers, errors and cancellation."""

    def setUp(self):
        super().setUp()
        self.cancelled = []

    def start(self, *delays_s):
        attempts = Attempts(lambda attempt, number: self.run_for(delays_s[number]))
        for number in range(len(delays_s)):
            attempts.start(member(f"node-{number}"))
        return attempts

    def run_for(self, delay_s):
        try:
            eventlet.sleep(delay_s)
        except BaseException:
            self.cancelled.append(delay_s)
            raise
        return delay_s

    def test_answers_that_arrive_together_are_all_read(self):
        """Guards against a complete answer that is dropped behind a failed one."""
        attempts = self.start(0, 0)
        eventlet.sleep(0.01)
        self.assertEqual(0, attempts.next_answer(timeout_s=None))
        self.assertTrue(attempts.has_unread)
        self.assertEqual(0, attempts.next_answer(timeout_s=None))
        self.assertFalse(attempts.has_unread)

    def test_a_timeout_leaves_the_attempt_running(self):
        """Guards against losing the answer of an attempt that takes long."""
        attempts = self.start(0.02)
        self.assertIsNone(attempts.next_answer(timeout_s=0.001))
        attempts.mark_overdue()
        self.assertEqual(0.02, attempts.next_answer(timeout_s=None))

    def test_cancel_ends_the_attempts_that_run(self):
        """Guards against runs that go on for a call that has its answer."""
        attempts = self.start(0, 60)
        self.assertEqual(0, attempts.next_answer(timeout_s=None))
        attempts.cancel()
        self.assertEqual([60], self.cancelled)

    def test_an_unexpected_error_reaches_the_caller(self):
        """Guards against a call that waits forever for an attempt that failed."""
        attempts = self.start("not a number")
        self.assertRaises(TypeError, attempts.next_answer, timeout_s=1.0)
