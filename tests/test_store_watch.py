"""Tests of the store watch of a region relay."""

from random import Random

import eventlet
from testtools import TestCase

from verbenawick.errors import StoreUnavailableError
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet
from verbenawick.store._store import DEFAULT_TIMEOUT_S
from verbenawick.store._store_workers import StoreWatch

# Bound of the own interface from acceptance to force on all nodes, and the part of it
# that distribution takes after the region relay has the change.
APPLY_BOUND_S = 14.0
DISTRIBUTION_S = 2.0
TICK_S = 0.1


class SilentStore:
    """Store whose connection carries nothing; a call ends with its time-out."""

    def __init__(self, clock):
        self._clock = clock
        self.started_at = []

    def watch(self, prefixes, *, after, wait_s):
        self.started_at.append(self._clock.now())
        self._clock.advance(wait_s + DEFAULT_TIMEOUT_S)
        raise StoreUnavailableError("no response", step="store.watch")


class SilentStoreTest(TestCase):
    """A connection to the store that stops carrying data without a reset."""

    def test_next_watch_begins_in_time_for_a_change(self):
        """Guards against a region without changes until one long watch ends."""
        for seed in range(20):
            clock = ManualClock()
            store = SilentStore(clock)
            watch = StoreWatch(
                store,
                should_run=lambda: True,
                deliver=lambda obj: None,
                clock=clock,
                random=Random(seed),
                metrics=MetricSet(),
            )
            while len(store.started_at) < 2:
                watch.on_tick()
                eventlet.sleep(0)
                clock.advance(TICK_S)
            first, second = store.started_at
            self.assertLess(second - first, APPLY_BOUND_S - DISTRIBUTION_S)
