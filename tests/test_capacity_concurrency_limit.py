"""Tests of the learned concurrency limit, under load and without a network."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from testtools import TestCase

from verbenawick.capacity._concurrency_limit import ConcurrencyLimit

SLOTS = 12


def knee(strength: float) -> Callable[[float], float]:
    """Return the service time by the share of used slots, rising from 60 %."""
    return lambda used: 1 + strength * max(used - 0.6, 0) / 0.4


class Upstream:
    """Upstream whose calls take 0.1 s with variation, some five times as long."""

    def __init__(self, *, is_limited: bool = True):
        self.now = 0.0
        self.limit = ConcurrencyLimit(SLOTS)
        self._is_limited = is_limited
        self._random = Random(1)
        self._running: list[tuple[float, float, int]] = []

    def overload(self, slowdown, *, until, pace=lambda now: 1.0) -> int:
        """Keep calls waiting; return the number of calls that completed."""
        done = 0
        while self.now < until:
            while len(self._running) < self.limit.value:
                count = len(self._running) + 1
                work_s = 0.1 * max(self._random.gauss(1, 0.5), 0.2)
                work_s *= 5 if self._random.random() < 0.03 else 1
                work_s *= slowdown(count / SLOTS) * pace(self.now)
                heappush(self._running, (self.now + work_s, self.now, count))
            self.now, started_at, _ = heappop(self._running)
            if self._is_limited:
                service_s = self.now - started_at
                self.limit.add("r", service_s, started_at, self.now, is_busy=True)
            done += 1
        return done


class ConcurrencyLimitTest(TestCase):
    """Twelve slots, and always some calls waiting."""

    def setUp(self):
        super().setUp()
        self.upstream = Upstream()

    def test_limit_falls_to_the_knee_of_an_upstream_that_gets_slow(self):
        """Guards against full slots that serve fewer calls than some of them would."""
        self.upstream.overload(knee(2.0), until=12.0)
        self.assertLessEqual(self.upstream.limit.learned, 9)
        served = self.upstream.overload(knee(2.0), until=32.0) / 20
        at_all_slots = SLOTS / (0.1 * knee(2.0)(1.0))
        self.assertGreater(served, 1.2 * at_all_slots)

    def test_upstream_without_a_knee_keeps_its_slots(self):
        """Guards against room that is kept back because of noise or long calls."""
        served = self.upstream.overload(knee(0.0), until=30.0) / 30
        self.assertEqual(SLOTS, self.upstream.limit.learned)
        unlimited = Upstream(is_limited=False)
        self.assertGreater(
            served, 0.95 * unlimited.overload(knee(0.0), until=30.0) / 30
        )

    def test_slow_spells_are_no_knee(self):
        """Guards against a limit that falls when the whole upstream is slower."""
        for pace in (
            lambda now: 4.0 if 5 < now < 11 else 1.0,
            lambda now: 2.5 if now % 0.6 < 0.1 else 1.0,
        ):
            upstream = Upstream()
            upstream.overload(knee(0.0), until=25.0, pace=pace)
            self.assertGreaterEqual(upstream.limit.learned, SLOTS - 1)

    def test_limit_rises_again_when_the_knee_is_gone(self):
        """Guards against an upstream that stays limited after it has recovered."""
        self.upstream.overload(knee(2.0), until=15.0)
        self.assertLessEqual(self.upstream.limit.learned, 9)
        self.upstream.overload(knee(0.0), until=40.0)
        self.assertGreaterEqual(self.upstream.limit.learned, SLOTS - 1)

    def test_short_queue_starts_no_probe(self):
        """Guards against room kept back from a load that the slots can take."""
        for step in range(2000):
            now = step / 100
            self.upstream.limit.add(
                "r", 0.1, 1 + step % SLOTS, now, is_busy=step % 50 < 40
            )
            self.assertEqual(SLOTS, self.upstream.limit.value)

    def test_successor_starts_with_all_slots(self):
        """Guards against the limit of an upstream that has been replaced."""
        self.upstream.overload(knee(2.0), until=15.0)
        self.upstream.limit.reset(5)
        self.assertEqual(
            (5, 5),
            (self.upstream.limit.learned, self.upstream.limit.value),
        )
