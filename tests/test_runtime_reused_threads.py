"""Green threads that run one function after another."""

import weakref

import eventlet
from testtools import TestCase

from verbenawick.runtime._reused_threads import ReusedThreads


class Request:
    """An argument that a weak reference may refer to."""


class ReusedThreadsTest(TestCase):
    """Functions that end, wait or are killed."""

    def setUp(self):
        super().setUp()
        self.threads = ReusedThreads(max_idle=1)
        self.results = []

    def run_one(self, result):
        thread = self.threads.spawn(self.results.append, result)
        eventlet.sleep(0)
        return thread

    def test_thread_runs_the_next_function(self):
        self.assertIs(self.run_one(1), self.run_one(2))
        self.assertEqual([1, 2], self.results)

    def test_running_and_killed_threads_are_not_reused(self):
        """Guards against a call that ends with another one's cancellation."""
        waiting = self.threads.spawn(eventlet.sleep, 60)
        eventlet.sleep(0)
        self.assertIsNot(waiting, self.run_one(1))
        waiting.kill()
        idle = self.run_one(2)
        reused = self.threads.spawn(self.results.append, 3)
        reused.kill()
        eventlet.sleep(0)
        self.assertIs(idle, reused)
        self.assertIsNot(reused, self.run_one(4))
        self.assertEqual([1, 2, 4], self.results)

    def test_idle_threads_keep_no_arguments(self):
        """Guards against up to 16 requests with their bodies that stay in memory."""
        for _ in range(3):
            request = Request()
            kept = weakref.ref(request)
            self.run_one(request)
            self.results.clear()
            del request
            self.assertIsNone(kept())

    def test_idle_threads_over_the_limit_end(self):
        """Guards against memory that a wave of calls leaves behind."""
        threads = [self.threads.spawn(self.results.append, n) for n in range(5)]
        eventlet.sleep(0)
        self.assertEqual(4, sum(thread.dead for thread in threads))
