"""Tests of who is served by one upstream under loads that ask for more than fits."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from testtools import TestCase

from verbenawick.mesh._slot_queue import SlotQueue, SlotRequest, Verdict
from verbenawick.sharing._steps import STEP_PRIORITY

SLOTS = 5
WORK_S = 0.2
# Calls a second that the upstream serves.
CAPACITY = SLOTS / WORK_S


class Load:
    """Calls of several callers at one upstream, and how many of each were served."""

    def __init__(self, *, seed):
        self.random = Random(seed)
        self.asked = Counter()
        self.on_time = Counter()
        self.served = Counter()
        self._queue = SlotQueue(slots=SLOTS)
        self._queue.service_times.add("r", WORK_S)
        self._events = []
        self._numbers = count()
        self._now = 0.0

    def add(self, caller, *, rate, start=0.0, end=30.0, retries=0, **options):
        """Add calls at `rate` a second that come back `retries` times at once."""
        at = start
        while (at := at + self.random.expovariate(rate)) < end:
            self._push(at, self._enter, caller, at, retries, options)

    def play(self):
        """Play all calls and return the fraction that was served, by caller."""
        while self._events:
            self._now, _, action, arguments = heappop(self._events)
            action(*arguments)
        return {caller: self.served[caller] / n for caller, n in self.asked.items()}

    def _push(self, at, action, *arguments):
        heappush(self._events, (at, next(self._numbers), action, arguments))

    def _enter(self, caller, first_at, retries, options):
        if first_at == self._now:
            self.asked[caller] += 1

        def decide(verdict, retry_after_s):
            if verdict is Verdict.GRANTED:
                work_s = WORK_S * self.random.uniform(0.5, 1.5)
                self._push(self._now + work_s, self._leave, caller, request, work_s)
            elif retries:
                arguments = caller, first_at, retries - 1, options
                self._push(self._now + 0.001, self._enter, *arguments)

        request = SlotRequest(
            options.get("route", "r"),
            options.get("priority", 1),
            first_at + options.get("objective", 1.0),
            first_at + options.get("deadline", 2.0),
            decide,
            options.get("workspace", ""),
        )
        self._queue.enter(request, self._now)

    def _leave(self, caller, request, work_s):
        self._queue.leave(request, self._now, service_s=work_s)
        self.served[caller] += 1
        self.on_time[caller] += self._now <= request.objective_at


class CompetingWorkspacesTest(TestCase):
    """Workspaces that share an upstream."""

    def play(self, *, seed, hot_retries=0, hot_route="r"):
        load = Load(seed=seed)
        for name in ("a", "b", "c", "d"):
            load.add(name, rate=CAPACITY / 8, workspace=name)
        load.add(
            "hot", rate=CAPACITY, workspace="hot", retries=hot_retries, route=hot_route
        )
        return load.play()

    def test_hot_workspace_takes_no_room_from_the_others(self):
        """A workspace that sends six times its usual got most of the slots."""
        for seed in range(3):
            served = self.play(seed=seed)
            hot = served.pop("hot")
            self.assertGreater(min(served.values()), 0.95)
            self.assertGreater(hot, 0.2)

    def test_callers_that_repeat_at_once_gain_no_room(self):
        """Ten attempts of each call would push out the single ones of others."""
        for seed in range(3):
            served = self.play(seed=seed, hot_retries=10)
            served.pop("hot")
            self.assertGreater(min(served.values()), 0.95)

    def test_callers_that_repeat_gain_no_room_on_a_route_of_their_own(self):
        """Their refused attempts look like those of a route that gets nothing."""
        for seed in range(3):
            served = self.play(seed=seed, hot_retries=10, hot_route="hot")
            served.pop("hot")
            self.assertGreater(min(served.values()), 0.95)

    def test_idle_room_is_given_to_whoever_asks(self):
        """A share kept for absent workspaces would refuse calls without need."""
        load = Load(seed=1)
        load.add("only", rate=0.7 * CAPACITY, workspace="only")
        self.assertEqual(1.0, load.play()["only"])


class UrgencyTest(TestCase):
    """Calls of different urgency that share an upstream."""

    def test_burst_of_the_least_urgent_calls_does_not_touch_urgent_ones(self):
        """Long waiting calls of low priority would fill the queue."""
        for seed in range(3):
            load = Load(seed=seed)
            load.add("urgent", rate=0.7 * CAPACITY, priority=0)
            load.add(
                "burst",
                rate=3 * CAPACITY,
                start=10,
                end=20,
                route="long",
                priority=2,
                objective=4.0,
                deadline=6.0,
            )
            served = load.play()
            self.assertGreater(served["urgent"], 0.98)

    def test_least_urgent_calls_are_not_starved(self):
        """Urgent calls alone filled the upstream, and a route got nothing."""
        for seed in range(3):
            load = Load(seed=seed)
            load.add("urgent", rate=1.3 * CAPACITY, priority=0)
            load.add("minor", rate=0.3 * CAPACITY, route="minor", priority=2)
            served = load.play()
            overall = sum(load.served.values()) / sum(load.asked.values())
            self.assertGreater(served["minor"], 0.25 * overall)
            self.assertGreater(served["urgent"], served["minor"])

    def test_urgent_call_takes_the_place_of_a_minor_one_in_a_full_queue(self):
        """A queue full of minor calls refused whoever came next."""
        queue = SlotQueue(slots=1)
        queue.service_times.add("r", 0.001)
        verdicts = {}

        def enter(name, priority):
            def decide(verdict, retry_after_s):
                verdicts[name] = verdict

            queue.enter(SlotRequest("r", priority, 50.0, 100.0, decide), 0.0)

        for index in range(7):
            enter(index, 2)
        enter("urgent", 0)
        self.assertNotIn("urgent", verdicts)
        self.assertEqual(Verdict.REFUSED, verdicts[6])


class StepTest(TestCase):
    """Steps of running calls at an upstream that new calls fill."""

    def test_steps_are_served_while_new_calls_are_refused(self):
        """A refused step wasted the run of the call that waited for it."""
        for seed in range(3):
            load = Load(seed=seed)
            load.add("new", rate=1.5 * CAPACITY, objective=4.0, deadline=6.0)
            step = {"route": "step", "priority": STEP_PRIORITY}
            load.add("step", rate=0.2 * CAPACITY, objective=0.4, deadline=0.8, **step)
            served = load.play()
            self.assertGreater(served["step"], 0.97)
            self.assertLess(served["new"], 0.7)

    def test_long_running_calls_do_not_make_the_upstream_look_slow(self):
        """Steps were refused because long calls of another route were running."""
        queue = SlotQueue(slots=SLOTS)
        for _ in range(50):
            queue.service_times.add("step", 0.05)
        queue.service_times.add("long", 1.0)
        for _ in range(SLOTS):
            queue.enter(SlotRequest("long", 2, 4.0, 6.0, lambda *verdict: None), 0.0)
        verdicts = []
        for _ in range(6):
            request = SlotRequest(
                "step", STEP_PRIORITY, 0.8, 1.3, lambda *verdict: verdicts.append(1)
            )
            queue.enter(request, 0.5)
        self.assertEqual([], verdicts)
