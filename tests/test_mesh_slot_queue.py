"""Tests of the order and the admission control of the slot queue."""

from random import Random

from testtools import TestCase

from verbenawick.mesh._slot_queue import SlotQueue, SlotRequest, Verdict


class Caller:
    """A call and the verdict of the queue on it."""

    def __init__(self, *, priority=1, objective=0.3, deadline=1.0, route="r", now=0.0):
        self.verdict = None
        self.retry_after_s = None
        self.request = SlotRequest(
            route, priority, now + objective, now + deadline, self._decide
        )

    def _decide(self, verdict, retry_after_s):
        if self.verdict is not None:
            raise AssertionError("decided twice")
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class SlotQueueTest(TestCase):
    """One upstream with two slots and a service time of 0.1 s."""

    def setUp(self):
        super().setUp()
        self.queue = SlotQueue(slots=2)
        self.queue.service_times.add("r", 0.1)

    def enter(self, now=0.0, **options):
        caller = Caller(now=now, **options)
        self.queue.enter(caller.request, now)
        return caller

    def test_slots_are_never_exceeded(self):
        """Beyond its slots, the upstream queues or sheds calls ignoring priorities."""
        callers = [self.enter() for _ in range(4)]
        granted = [c for c in callers if c.verdict is Verdict.GRANTED]
        self.assertEqual(2, len(granted))
        self.assertEqual(2, self.queue.running_count)
        self.queue.leave(granted[0].request, 0.1, service_s=0.1)
        self.assertEqual(2, self.queue.running_count)

    def test_urgent_call_is_served_before_earlier_ones(self):
        """A lower priority must not be served more often than a higher one."""
        first = [self.enter() for _ in range(2)]
        low = self.enter(priority=2)
        urgent = self.enter(priority=0)
        self.queue.leave(first[0].request, 0.1, service_s=0.1)
        self.assertIsNone(low.verdict)
        self.assertEqual(Verdict.GRANTED, urgent.verdict)

    def test_call_that_can_meet_its_objective_is_served_before_a_late_one(self):
        """Serving the late call first would make the next one late as well."""
        first = [self.enter() for _ in range(2)]
        late = self.enter(objective=0.05)
        on_time = self.enter(objective=0.5, priority=1)
        self.queue.leave(first[0].request, 0.1, service_s=0.1)
        self.assertIsNone(late.verdict)
        self.assertEqual(Verdict.GRANTED, on_time.verdict)

    def test_call_that_cannot_meet_its_deadline_is_refused_immediately(self):
        """A wait until the deadline would leave the caller no time for a retry."""
        for _ in range(8):
            self.enter()
        infeasible = self.enter(deadline=0.12, objective=0.12)
        self.assertEqual(Verdict.REFUSED, infeasible.verdict)
        self.assertGreater(infeasible.retry_after_s, 0)

    def test_slow_upstream_is_detected_before_its_first_call_ends(self):
        """The ages of running calls must count, or a queue builds up for a hung one."""
        for _ in range(2):
            self.enter()
        waiting = self.enter(now=0.9, deadline=1.0)
        self.assertEqual(Verdict.REFUSED, waiting.verdict)

    def test_withdrawn_call_frees_its_slot_or_place(self):
        """A disconnected caller must not occupy a slot or a place in the queue."""
        running = [self.enter() for _ in range(2)]
        waiting = self.enter()
        self.queue.leave(waiting.request, 0.0)
        self.assertEqual(0, self.queue.waiting_count)
        self.queue.leave(running[0].request, 0.05)
        self.assertEqual(1, self.queue.running_count)

    def test_refuse_waiting_refuses_all_queued_calls(self):
        """Nothing may be sent to an upstream after its drain was acknowledged."""
        for _ in range(2):
            self.enter()
        waiting = [self.enter() for _ in range(2)]
        self.queue.refuse_waiting(0.0)
        self.assertEqual({Verdict.REFUSED}, {c.verdict for c in waiting})


def simulate(*, use_queue: bool, load: float, seed: int) -> dict[int, float]:
    """Simulate 60 s of a service with 12 slots.

    Parameters
    ----------
    use_queue : bool
        Whether to use `SlotQueue`; otherwise calls run in FIFO order, without refusals.
    load : float
        Offered work as a fraction of the capacity.

    Returns
    -------
    dict of int to float
        Fraction of calls that met their objective, by priority.
    """
    random = Random(seed)
    slots, work_s = 12, 0.08
    queue = SlotQueue(slots=slots)
    rate = load * slots / work_s
    events: list[tuple[float, int, object]] = []
    order = 0
    now = 0.0
    while now < 60:
        now += random.expovariate(rate)
        events.append((now, order, Caller(priority=random.randrange(3), now=now)))
        order += 1
    events.sort()
    offered = {0: 0, 1: 0, 2: 0}
    on_time = {0: 0, 1: 0, 2: 0}
    running: list[tuple[float, object]] = []
    plain: list[Caller] = []
    started: set[int] = set()
    callers = [caller for _, _, caller in events]
    index = 0

    def start_granted(at: float) -> None:
        for caller in callers[max(0, index - 400) : index]:
            if caller.verdict is Verdict.GRANTED and id(caller) not in started:
                started.add(id(caller))
                running.append((at + random.uniform(0.5, 1.5) * work_s, caller))

    while index < len(events) or running:
        next_end = min((end for end, _ in running), default=float("inf"))
        if index < len(events) and events[index][0] <= next_end:
            at, _, caller = events[index]
            index += 1
            offered[caller.request.priority] += 1
            if use_queue:
                queue.enter(caller.request, at)
                start_granted(at)
            else:
                plain.append(caller)
        else:
            item = min(running, key=lambda entry: entry[0])
            running.remove(item)
            at, caller = item
            if at <= caller.request.objective_at:
                on_time[caller.request.priority] += 1
            if use_queue:
                queue.leave(
                    caller.request, at, service_s=at - caller.request.started_at
                )
                start_granted(at)
        while not use_queue and plain and len(running) < slots:
            caller = plain.pop(0)
            if at < caller.request.deadline:
                running.append((at + random.uniform(0.5, 1.5) * work_s, caller))
    return {p: on_time[p] / max(offered[p], 1) for p in offered}


class LateCallTest(TestCase):
    """Queued calls that can no longer meet their objective."""

    def test_overtaken_call_is_refused_well_before_its_deadline(self):
        """A caller that is refused after 0.85 s of its 1 s has no time for a retry."""
        queue = SlotQueue(slots=2)
        queue.service_times.add("r", 0.1)
        for _ in range(2):
            queue.enter(Caller(objective=0.25).request, 0.0)
        low = Caller(priority=2, objective=0.25, deadline=1.0)
        queue.enter(low.request, 0.0)
        now = 0.0
        while low.verdict is None:
            now += 0.02
            queue.enter(Caller(priority=0, objective=0.3, now=now).request, now)
        self.assertEqual(Verdict.REFUSED, low.verdict)
        self.assertLess(now, 0.5)


class OverloadTest(TestCase):
    """Fraction of calls that meet their objective, compared with a FIFO queue."""

    def test_overload_serves_high_priority_and_more_calls_in_total(self):
        """In FIFO order, every call is late at one and a half times the capacity."""
        for seed in range(3):
            ordered = simulate(use_queue=True, load=1.5, seed=seed)
            plain = simulate(use_queue=False, load=1.5, seed=seed)
            self.assertGreater(ordered[0], 0.95)
            self.assertGreaterEqual(ordered[0], ordered[1])
            self.assertGreaterEqual(ordered[1], ordered[2])
            self.assertGreater(sum(ordered.values()), sum(plain.values()) + 0.5)

    def test_light_load_causes_no_refusals(self):
        """Refusing a call while a slot is free is never useful."""
        served = simulate(use_queue=True, load=0.6, seed=1)
        self.assertGreater(min(served.values()), 0.995)
