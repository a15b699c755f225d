"""Counting of calls in flight, and the wait for the last one."""

import eventlet
from testtools import TestCase

from verbenawick.runtime._calls_in_flight import CallsInFlight


class CallsInFlightTest(TestCase):
    """A stop must not cut the last call, nor wait when there is none."""

    def test_stop_waits_for_the_last_call(self):
        """A process that ends earlier cuts its callers off."""
        calls = CallsInFlight()
        ended = []

        def serve():
            with calls.enter():
                eventlet.sleep(0.05)
                ended.append(True)

        threads = [eventlet.spawn(serve) for _ in range(3)]
        eventlet.sleep(0)
        self.assertEqual(3, calls.count)
        calls.stop()
        self.assertTrue(calls.wait_idle(timeout_s=2.0))
        self.assertEqual([True] * 3, ended)
        for thread in threads:
            thread.wait()

    def test_wait_ends_at_its_timeout(self):
        """A call that never ends must not hold up the stop beyond the grace."""
        calls = CallsInFlight()
        with calls.enter():
            calls.stop()
            self.assertFalse(calls.wait_idle(timeout_s=0.05))

    def test_wait_before_the_stop_ends_with_the_stop(self):
        """The count alone says nothing while new calls are accepted."""
        calls = CallsInFlight()
        waiting = eventlet.spawn(calls.wait_idle, timeout_s=2.0)
        eventlet.sleep(0.02)
        self.assertFalse(waiting.dead)
        calls.stop()
        self.assertTrue(waiting.wait())

    def test_call_that_fails_is_counted_out(self):
        """An error in one call must not make every later stop time out."""
        calls = CallsInFlight()
        with self.assertRaises(ValueError), calls.enter():
            raise ValueError
        calls.stop()
        self.assertTrue(calls.wait_idle(timeout_s=0.0))
