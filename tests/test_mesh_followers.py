"""Tests of the tasks that watch the store, during outages."""

from random import Random
from unittest import mock

from greenlet import GreenletExit
from testtools import TestCase

from verbenawick.errors import StoreUnavailableError
from verbenawick.mesh._followers import FollowerFailed, StoreFollower

OUTAGE_S = 8.0
# A node has to be up to date 3 s after the store is back.
MAX_DELAY_S = 3.0


class FailingFollower(StoreFollower):
    """Follower whose store is unavailable."""

    subject = "records"

    def __init__(self, *, is_relay, is_read, random, error=None):
        super().__init__(None, random=random, is_relay=lambda: is_relay)
        self._revision = int(is_read)
        self._error = error or StoreUnavailableError("down", step="store.watch")
        self.calls = 0

    def _poll(self):
        self.calls += 1
        raise self._error


class OutageTest(TestCase):
    """An outage of the store of 8 s."""

    def delays(self, *, is_relay, is_read, seed, error=None):
        follower = FailingFollower(
            is_relay=is_relay, is_read=is_read, random=Random(seed), error=error
        )
        delays = []

        def sleep(seconds):
            delays.append(seconds)
            if sum(delays) >= OUTAGE_S:
                raise GreenletExit

        with mock.patch("verbenawick.mesh._followers.eventlet.sleep", sleep):
            self.assertRaises(GreenletExit, follower.run)
        return delays

    def test_node_that_relies_on_the_relay_calls_rarely(self):
        """Guards against calls that grow with nodes times seconds of an outage."""
        calls = [
            len(self.delays(is_relay=False, is_read=True, seed=seed))
            for seed in range(20)
        ]
        self.assertLess(sum(calls) / len(calls), 6)

    def test_relay_and_starting_node_notice_the_return_soon(self):
        """Guards against a mesh that is out of date, and a start that takes seconds."""
        for is_relay, is_read in ((True, True), (False, False)):
            delays = self.delays(is_relay=is_relay, is_read=is_read, seed=1)
            self.assertLessEqual(max(delays), 1.0)

    def test_each_node_notices_the_return_in_time(self):
        """Guards against a node that stays out of date when no beacon reaches it."""
        for seed in range(20):
            delays = self.delays(is_relay=False, is_read=True, seed=seed)
            self.assertLess(max(delays), MAX_DELAY_S)

    def test_first_failure_is_followed_by_a_quick_retry(self):
        """Guards against seconds without the store after one broken connection."""
        for seed in range(20):
            delays = self.delays(is_relay=False, is_read=True, seed=seed)
            self.assertLessEqual(delays[0], 0.2)

    def test_unexpected_error_does_not_end_the_task(self):
        """Guards against a node that follows nothing after one odd response."""
        error = RecursionError("nested")
        with mock.patch("verbenawick.mesh._followers.emit") as emit:
            delays = self.delays(is_relay=True, is_read=True, seed=1, error=error)
        self.assertGreater(len(delays), 3)
        logged = [call.args[0] for call in emit.call_args_list]
        self.assertIn(FollowerFailed("records", 1, repr(error)), logged)
