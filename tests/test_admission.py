"""Admission control: slot limit, queue bound and queue order."""

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from verbenawick.calls._admission import Admission
from verbenawick.calls._table import Criticality, ServicePolicy
from verbenawick.errors import (
    CallError,
    DeadlineUnreachableError,
    DrainingError,
    QueueFullError,
)
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet


class AdmissionTest(TestCase):
    """Slot limit, queue order and bound, and deadlines that cannot be met."""

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
        """Guards against more concurrent calls than the upstream has slots."""
        self.enter()
        self.start("second")
        self.assertEqual((1, 1), (self.admission.in_use, self.admission.queue_length))
        self.admission.leave()
        wait_until(lambda: self.events)
        self.assertEqual((1, 0), (self.admission.in_use, self.admission.queue_length))

    def test_critical_calls_leave_the_queue_first(self):
        """Guards against queueing by arrival alone instead of by criticality first."""
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

    def test_a_full_queue_refuses_or_evicts_a_less_critical_call(self):
        """Guards against exceeding the bound and refusing the more critical call."""
        self.enter()
        self.start("a", Criticality.LOW)
        self.start("b", Criticality.NORMAL)
        self.assertRaises(QueueFullError, self.enter, Criticality.LOW)
        self.start("c", Criticality.HIGH)
        wait_until(lambda: self.events)
        self.assertEqual([("a", "call.queue-full")], self.events)
        self.assertEqual(2, self.admission.queue_length)

    def test_a_call_that_cannot_complete_in_time_is_refused(self):
        """Guards against running calls that end after their deadline."""
        self.enter()
        self.admission.leave(service_s=1.0)
        self.assertRaises(DeadlineUnreachableError, self.enter, deadline_s=0.4)
        self.enter(deadline_s=2.0)
        self.assertRaises(DeadlineUnreachableError, self.enter, deadline_s=1.4)

    def test_a_waiting_call_is_dropped_when_its_turn_comes_too_late(self):
        """Guards against granting the slot to a call that is already too late."""
        self.enter()
        self.start("late", deadline_s=1.0)
        self.start("in time", deadline_s=60.0)
        self.clock.advance(2.0)
        self.admission.leave()
        wait_until(lambda: len(self.events) == 2)
        self.assertIn(("late", "call.deadline-unreachable"), self.events)
        self.assertIn("in time", self.events)

    def test_a_wait_ends_at_the_queue_time(self):
        """Guards against unlimited waits and leaked queue entries."""
        self.policy = ServicePolicy("p", max_queue_s=0.01)
        self.enter()
        self.assertRaises(QueueFullError, self.enter)
        self.assertEqual((1, 0), (self.admission.in_use, self.admission.queue_length))

    def test_a_cancelled_wait_leaves_no_slot_behind(self):
        """Guards against leaking a slot when a queued or granted call is cancelled."""
        self.enter()
        waiting = self.start("waiting")
        waiting.kill()
        granted = self.start("granted")
        self.admission.leave()
        granted.kill()
        self.assertEqual((0, 0), (self.admission.in_use, self.admission.queue_length))

    def test_draining_refuses_waiting_and_new_calls(self):
        """Queued and new calls are refused; the running call keeps its slot."""
        self.enter()
        self.start("waiting")
        self.admission.drain()
        wait_until(lambda: self.events)
        self.assertEqual([("waiting", "call.draining")], self.events)
        self.assertRaises(DrainingError, self.enter)
        self.assertEqual(1, self.admission.in_use)

    def test_a_call_with_too_little_time_for_a_busy_upstream_is_refused(self):
        """Guards against sending calls that time out with an unknown outcome."""
        self.admission = Admission(slots=2, clock=self.clock, metrics=MetricSet())
        self.enter()
        self.admission.leave(service_s=1.0)
        self.enter()
        self.assertRaises(DeadlineUnreachableError, self.enter, deadline_s=0.9)
        self.assertEqual(1, self.admission.in_use)

    def test_a_call_that_wakes_too_late_is_not_sent(self):
        """Guards against sending a call that woke up late after it got its slot."""
        self.enter()
        self.start("late", deadline_s=10.0)
        self.start("in time", deadline_s=60.0)
        self.admission.leave(service_s=1.0)
        self.clock.advance(9.5)
        wait_until(lambda: len(self.events) == 2)
        self.assertEqual(
            [("late", "call.deadline-unreachable"), "in time"], self.events
        )
        self.assertEqual(1, self.admission.in_use)

    def test_calls_that_ran_out_of_time_raise_the_expected_service_time(self):
        """Guards against a service time average that ignores calls that timed out."""
        self.enter()
        self.admission.leave(service_s=1.0)
        for _ in range(100):
            self.enter()
            self.admission.leave(service_s=3.0, is_complete=False)
        self.assertRaises(DeadlineUnreachableError, self.enter, deadline_s=1.4)

    def test_a_wait_ends_while_its_refusal_can_be_in_time(self):
        """Guards against a refusal at the deadline, whose outcome would be unknown."""
        slots = 1000
        self.admission = Admission(slots=slots, clock=self.clock, metrics=MetricSet())
        self.enter()
        self.admission.leave(service_s=100.0)
        for _ in range(slots):
            self.enter(deadline_s=1000.0)
        with eventlet.Timeout(3.0):
            self.assertRaises(QueueFullError, self.enter, deadline_s=100.2)
        self.assertEqual(0, self.admission.queue_length)

    def test_an_idle_upstream_gets_calls_again_after_it_was_slow(self):
        """Guards against an average so high that all calls are refused for ever."""
        self.enter()
        self.admission.leave(service_s=1.0)
        refusals = 0
        while not self.admission.in_use and refusals < 100:
            try:
                self.enter(deadline_s=0.1)
            except DeadlineUnreachableError:
                refusals += 1
        self.assertEqual(32, refusals)
