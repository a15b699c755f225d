"""Counter of calls in flight, and waiting for the last one."""

import eventlet
from testtools import TestCase

from verbenawick.runtime._calls_in_flight import CallsInFlight


class CallsInFlightTest(TestCase):
    """A stop waits for calls in flight, but not without any."""

    def test_stop_waits_for_the_last_call(self):
        """Guards against a process that exits while calls are running."""
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
        """A call that never ends must not delay the stop beyond the timeout."""
        calls = CallsInFlight()
        with calls.enter():
            calls.stop()
            self.assertFalse(calls.wait_idle(timeout_s=0.05))

    def test_wait_before_the_stop_ends_with_the_stop(self):
        """A count of zero is not final while new calls are accepted."""
        calls = CallsInFlight()
        waiting = eventlet.spawn(calls.wait_idle, timeout_s=2.0)
        eventlet.sleep(0.02)
        self.assertFalse(waiting.dead)
        calls.stop()
        self.assertTrue(waiting.wait())

    def test_failed_call_is_no_longer_counted(self):
        """An exception in a call must not make the stop time out."""
        calls = CallsInFlight()
        with self.assertRaises(ValueError), calls.enter():
            raise ValueError
        calls.stop()
        self.assertTrue(calls.wait_idle(timeout_s=0.0))
