"""Slots are exact and the queue is bounded and ordered."""

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from verbenawick._admission import Admission
from verbenawick._clock import ManualClock
from verbenawick._metrics import MetricSet
from verbenawick._table import Criticality, ServicePolicy
from verbenawick.errors import (
    CallError,
    DeadlineUnreachableError,
    DrainingError,
    QueueFullError,
)


class AdmissionTest(TestCase):
    """Slots, order of the queue, its bound, and calls that are too late."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.admission = Admission(slots=1, clock=self.clock, metrics=MetricSet())
        self.policy = ServicePolicy("p", max_queue_length=2, max_queue_s=5.0)
        self.events = []

    def enter(self, criticality=Criticality.NORMAL, deadline_s=60.0):
        self.admission.enter(
            criticality=criticality,
            deadline=self.clock.now() + deadline_s,
            policy=self.policy,
        )

    def start(self, name, criticality=Criticality.NORMAL, deadline_s=60.0):
        def run():
            try:
                self.enter(criticality, deadline_s)
                self.events.append(name)
            except CallError as error:
                self.events.append((name, error.code))

        thread = eventlet.spawn(run)
        eventlet.sleep(0)
        return thread

    def test_a_call_waits_until_a_slot_is_free(self):
        """The slot count is never exceeded; guards against overrunning the upstream."""
        self.enter()
        self.start("second")
        self.assertEqual((1, 1), (self.admission.in_use, self.admission.queue_length))
        self.admission.leave()
        wait_until(lambda: self.events)
        self.assertEqual((1, 0), (self.admission.in_use, self.admission.queue_length))

    def test_critical_calls_leave_the_queue_first(self):
        """Order by criticality, then arrival; guards against a plain FIFO."""
        self.policy = ServicePolicy("p", max_queue_length=9, max_queue_s=5.0)
        self.enter()
        for name, criticality in (
            ("low", Criticality.LOW),
            ("first", Criticality.HIGH),
            ("normal", Criticality.NORMAL),
            ("second", Criticality.HIGH),
        ):
            self.start(name, criticality)
        for count in range(1, 5):
            self.admission.leave()
            wait_until(lambda count=count: len(self.events) == count)
        self.assertEqual(["first", "second", "normal", "low"], self.events)

    def test_a_full_queue_refuses_or_gives_way(self):
        """The bound holds; a more critical call replaces the least critical one."""
        self.enter()
        self.start("a", Criticality.LOW)
        self.start("b", Criticality.NORMAL)
        self.assertRaises(QueueFullError, self.enter, Criticality.LOW)
        self.start("c", Criticality.HIGH)
        wait_until(lambda: self.events)
        self.assertEqual([("a", "call.queue-full")], self.events)
        self.assertEqual(2, self.admission.queue_length)

    def test_a_call_that_cannot_complete_in_time_is_refused(self):
        """Guards against running calls whose caller has given up by then."""
        self.enter()
        self.admission.leave(service_s=1.0)
        self.assertRaises(DeadlineUnreachableError, self.enter, deadline_s=0.4)
        self.enter(deadline_s=2.0)
        self.assertRaises(DeadlineUnreachableError, self.enter, deadline_s=1.4)

    def test_a_waiting_call_is_dropped_when_its_turn_comes_too_late(self):
        """The slot goes to the next call instead of one that is late already."""
        self.enter()
        self.start("late", deadline_s=1.0)
        self.start("in time", deadline_s=60.0)
        self.clock.advance(2.0)
        self.admission.leave()
        wait_until(lambda: len(self.events) == 2)
        self.assertIn(("late", "call.deadline-unreachable"), self.events)
        self.assertIn("in time", self.events)

    def test_a_wait_ends_at_the_queue_time(self):
        """Guards against calls that wait without end and against leaked places."""
        self.policy = ServicePolicy("p", max_queue_s=0.01)
        self.enter()
        self.assertRaises(QueueFullError, self.enter)
        self.assertEqual((1, 0), (self.admission.in_use, self.admission.queue_length))

    def test_a_cancelled_wait_leaves_no_slot_behind(self):
        """Cancellation in the queue, or just after the grant, frees the slot."""
        self.enter()
        waiting = self.start("waiting")
        waiting.kill()
        granted = self.start("granted")
        self.admission.leave()
        granted.kill()
        self.assertEqual((0, 0), (self.admission.in_use, self.admission.queue_length))

    def test_draining_refuses_waiting_and_new_calls(self):
        """New work stops at once; the running call keeps its slot."""
        self.enter()
        self.start("waiting")
        self.admission.drain()
        wait_until(lambda: self.events)
        self.assertEqual([("waiting", "call.draining")], self.events)
        self.assertRaises(DrainingError, self.enter)
        self.assertEqual(1, self.admission.in_use)
