"""Tests of the offers of one call."""

import time
from functools import partial

import eventlet
from testtools import TestCase

from verbenawick.mesh._model import CallOutcome, CallResult
from verbenawick.mesh._offer_race import OfferEvent, OfferRace


def ended(node_id: str, *, was_silent: bool = False) -> OfferEvent:
    """Return the event of an offer that was completed."""
    return OfferEvent(node_id, CallResult(CallOutcome.COMPLETE, ""), was_silent)


class OfferRaceTest(TestCase):
    """One offer at a time, more while gateways are silent."""

    def setUp(self):
        super().setUp()
        self.race = OfferRace()
        self.addCleanup(self.race.cancel)
        self.abandoned = []
        self.ended = []

    def become_silent(self, node_id, after_s):
        def wait():
            try:
                eventlet.sleep(after_s)
                return ended(node_id, was_silent=True)
            finally:
                self.ended.append(node_id)

        self.race.continue_silent(wait, abandon=partial(self.abandoned.append, node_id))
        return OfferEvent(node_id, None)

    def offer(self, node_id, after_s):
        eventlet.sleep(after_s)
        return ended(node_id)

    def start_silent(self, node_id, after_s):
        self.race.start(lambda: self.become_silent(node_id, after_s))
        self.assertEqual(OfferEvent(node_id, None), self.race.next_event())

    def test_single_offer_runs_in_the_green_thread_of_the_caller(self):
        """Guards against the cost of a green thread for each call."""
        threads = []

        def offer():
            threads.append(eventlet.getcurrent())
            return ended("a")

        self.race.start(offer)
        self.assertEqual(ended("a"), self.race.next_event())
        self.assertEqual([eventlet.getcurrent()], threads)
        self.assertFalse(self.race.has_silent)

    def test_events_arrive_in_the_order_in_which_offers_end(self):
        """Guards against missing the answer of a gateway that recovers."""
        self.start_silent("a", 0.05)
        self.race.start(lambda: self.offer("b", 0.01))
        self.assertEqual(ended("b"), self.race.next_event())
        self.assertTrue(self.race.has_silent)
        self.race.start(lambda: self.offer("c", 0.2))
        self.assertEqual(ended("a", was_silent=True), self.race.next_event())
        self.assertFalse(self.race.has_silent)
        self.assertEqual(ended("c"), self.race.next_event())

    def test_second_gateway_may_become_silent_too(self):
        """Guards against losing an offer that becomes silent in the background."""
        self.start_silent("a", 0.05)
        self.race.start(lambda: self.become_silent("b", 0.01))
        self.assertEqual(OfferEvent("b", None), self.race.next_event())
        self.assertEqual(ended("b", was_silent=True), self.race.next_event())
        self.assertEqual(ended("a", was_silent=True), self.race.next_event())
        self.assertFalse(self.race.has_silent)

    def test_cancel_ends_offers_that_run(self):
        """Guards against runs that continue after their call has ended."""
        self.start_silent("a", 60)
        eventlet.sleep(0)
        self.race.cancel()
        self.assertEqual(["a"], self.ended)
        self.assertEqual(["a"], self.abandoned)

    def test_cancel_abandons_an_offer_whose_green_thread_has_not_started(self):
        """Guards against requests that stay pending after their call has ended."""
        self.become_silent("a", 60)
        self.race.cancel()
        self.assertEqual([], self.ended)
        self.assertEqual(["a"], self.abandoned)

    def test_error_of_a_background_offer_reaches_the_caller(self):
        """Guards against a caller that waits forever for an offer that failed."""
        self.start_silent("a", 60)

        def fail():
            raise ValueError("unexpected")

        self.race.start(fail)
        with eventlet.Timeout(1):
            self.assertRaises(ValueError, self.race.next_event)

    def test_caller_that_leaves_during_the_cancellation_leaves_no_offer(self):
        """Guards against runs that outlive a caller which left as its call ended."""

        def call():
            self.start_silent("a", 5)
            self.start_silent("b", 5)
            eventlet.sleep(0.04)
            self.race.cancel()

        caller = eventlet.spawn(call)
        eventlet.spawn_after(0.06, caller.kill)
        eventlet.sleep(0.02)
        # Both timers are due in one pass of the loop.
        time.sleep(0.08)
        eventlet.sleep(0.05)
        self.assertEqual(["a", "b"], self.abandoned)
        self.assertEqual(["a", "b"], self.ended)

    def test_cancellation_starts_no_further_offer(self):
        """Guards against arrivals after the call has its answer."""
        self.start_silent("a", 5)
        started = []
        self.race.start(lambda: started.append("b"))
        self.race.cancel()
        eventlet.sleep(0.01)
        self.assertEqual([], started)

    def test_gateway_that_becomes_silent_during_the_cancellation_is_abandoned(self):
        """Guards against a request that stays pending after its call has ended."""
        self.start_silent("a", 5)
        self.race.cancel()
        self.become_silent("b", 5)
        eventlet.sleep(0.01)
        self.assertEqual(["a", "b"], self.abandoned)
