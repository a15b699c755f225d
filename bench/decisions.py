"""Simulation of placement and queueing under load, without a network.

Simulates one service with an upstream and an entry in each of six data centres. Entries
use `Endpoints` and `choose`, gateways use `SlotQueue`, as nodes on the platform do;
other policies replace them for comparison. Callers retry once after a refusal.
"""

import math
from argparse import ArgumentParser, Namespace
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from tabulate import tabulate

from bench.registry import register_benchmark
from verbenawick.mesh._endpoints import Endpoint, Endpoints
from verbenawick.mesh._model import (
    CallOutcome,
    CallResult,
    GatewayLoad,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._placement import (
    MAX_FURTHER_OFFER_COST,
    ROUND_TRIP_S,
    Distance,
    choose,
    late_cost_of,
)
from verbenawick.mesh._slot_queue import SlotQueue, SlotRequest, Verdict

SERVICE = "service"
DATA_CENTRES = ("n-a", "n-b", "s-a", "s-b", "w-a", "w-b")
SLOTS = 12
MAX_OFFERS = 4
# A caller retries a refused call only if the retry delay is at most this share of the
# time left until its deadline.
MAX_RETRY_DELAY_SHARE = 0.33
# Price of a kilobyte in units of call value, as set at the users' sites.
PRICE_BY_DISTANCE = {Distance.REGION: 0.07, Distance.REMOTE: 0.2}
# Size of an offer that is refused: only the request and a short response.
OFFER_KILOBYTES = 0.6
# Workspaces with equal allowances that share the service; "" stands for none.
WORKSPACES = ("a", "b", "c", "d", "hot")
# Lower bound of random service times, as a share of the mean.
MIN_SERVICE_TIME_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class CallKind:
    """A kind of call, with its share of all calls and its mean service time."""

    name: str
    share: float
    service_time_s: float
    objective_s: float
    deadline_s: float
    priority: int
    value: float
    kilobytes: float


CALL_KINDS = (
    CallKind("read", 0.5, 0.068, 0.25, 1.0, 2, 1.0, 1.0),
    CallKind("write", 0.2, 0.089, 0.3, 1.2, 1, 2.0, 1.3),
    CallKind("large", 0.1, 0.055, 0.2, 0.8, 2, 1.0, 5.6),
    CallKind("step", 0.2, 0.017, 0.06, 0.2, 1, 0.1, 1.5),
)
LATE_VALUE_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Scenario:
    """Offered load as a share of all slots, and the number of slow upstreams.

    The upstreams are slow, and the hot workspace sends its multiple of the usual,
    during the second third of the simulated time. Without a hot workspace, calls have
    none at all.
    """

    name: str
    load: float
    slow_count: int = 0
    slow_factor: float = 5.0
    hot_factor: float = 0.0


SCENARIOS = (
    Scenario("calm", 0.4),
    Scenario("busy", 0.9),
    Scenario("overload", 1.4),
    Scenario("slow upstreams", 0.6, slow_count=2),
    Scenario("hot workspace", 0.7, hot_factor=6.0),
)


@dataclass(eq=False, slots=True)
class Call:
    """A call with the state of all its attempts."""

    kind: CallKind
    data_centre: str
    created_at: float
    workspace: str = ""
    arrived_at: float = 0.0
    offers: int = 0
    tried_ids: set[str] = field(default_factory=set)
    has_retried: bool = False
    retry_after_s: float = 0.0


class FifoQueue:
    """First-in, first-out queue that refuses calls only when it is full."""

    max_waiting = 6 * SLOTS

    def __init__(self, *, slots: int):
        self.slots = slots
        self._running: set[SlotRequest] = set()
        self._waiting: list[SlotRequest] = []

    @property
    def running_count(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    def expected_service_s(self, route: str, now: float) -> float:
        """Return 0, since service times are not recorded."""
        return 0.0

    def enter(self, request: SlotRequest, now: float) -> None:
        """Grant a slot, queue the call, or refuse it when the queue is full."""
        if len(self._running) < self.slots:
            self._running.add(request)
            request.on_verdict(Verdict.GRANTED, 0.0)
        elif len(self._waiting) < self.max_waiting:
            self._waiting.append(request)
        else:
            request.on_verdict(Verdict.REFUSED, 0.1)

    def leave(self, request: SlotRequest, now: float, *, service_s=None) -> None:
        """Free a slot and grant it to the call that has waited longest."""
        self._running.discard(request)
        while self._waiting and len(self._running) < self.slots:
            next_request = self._waiting.pop(0)
            self._running.add(next_request)
            next_request.on_verdict(Verdict.GRANTED, 0.0)


class NoQueue(FifoQueue):
    """Refuses calls while no slot is free."""

    max_waiting = 0


class UnsharedQueue(SlotQueue):
    """Slot queue that does not know the workspaces of calls."""

    def enter(self, request: SlotRequest, now: float) -> None:
        """Grant a slot to a call, queue it, or refuse it."""
        request.workspace = ""
        super().enter(request, now)


QUEUE_TYPES = {
    "slot queue": SlotQueue,
    "without workspaces": UnsharedQueue,
    "first in first out": FifoQueue,
    "none": NoQueue,
}

Placement = Callable[["Entry", Call, list[Endpoint], float], Endpoint | None]
# "expected loss" in these names is the expected cost in `choose`; results are recorded
# under these names.
placements_by_name: dict[str, Placement] = {}


def register_placement(name: str) -> Callable[[Placement], Placement]:
    """Return a decorator that registers a placement policy."""

    def decorate(placement: Placement) -> Placement:
        placements_by_name[name] = placement
        return placement

    return decorate


@register_placement("expected loss")
def place_by_expected_cost(entry, call, endpoints, now):
    """Choose the endpoint of lowest expected cost, as nodes do."""
    return entry.choose(
        call,
        endpoints,
        now,
        kilobytes=call.kind.kilobytes,
        late_cost=late_cost_of(call.kind.objective_s),
        max_cost=MAX_FURTHER_OFFER_COST if call.offers else math.inf,
    )


@register_placement("expected loss, always moves on")
def place_without_max_cost(entry, call, endpoints, now):
    """Choose without a maximum cost of further offers, as earlier nodes did."""
    return entry.choose(
        call,
        endpoints,
        now,
        kilobytes=call.kind.kilobytes,
        late_cost=late_cost_of(call.kind.objective_s),
    )


@register_placement("expected loss, sizes ignored")
def place_without_size(entry, call, endpoints, now):
    """Choose without regard to the size of the call, as earlier nodes did."""
    return entry.choose(call, endpoints, now)


@register_placement("nearest")
def place_nearest(entry, call, endpoints, now):
    """Choose the nearest untried endpoint, at random among equals."""
    return min(endpoints, key=lambda e: (e.distance, entry.random.random()))


@register_placement("least outstanding")
def place_least_outstanding(entry, call, endpoints, now):
    """Choose the endpoint with the fewest calls in flight from this entry."""
    return min(endpoints, key=lambda e: (len(e.starts_by_call), entry.random.random()))


@register_placement("round robin")
def place_round_robin(entry, call, endpoints, now):
    """Choose the endpoints in rotation."""
    return endpoints[next(entry.round_robin_indexes) % len(endpoints)]


class Entry:
    """Entry of one data centre, with its own statistics of the endpoints."""

    def __init__(self, data_centre: str, random: Random):
        self.random = random
        self.round_robin_indexes = count()
        self.endpoints = Endpoints(
            node_id=f"entry-{data_centre}",
            data_centre=data_centre,
            region=data_centre[0],
        )
        for other in DATA_CENTRES:
            record = UpstreamRecord(
                other, SERVICE, other, other[0], "", other, UpstreamState.READY, SLOTS
            )
            self.endpoints.put_record(record)

    def choose(self, call, endpoints, now, **options):
        """Return the endpoint of lowest expected cost, or None if it is too high."""
        kind = call.kind
        chosen = choose(
            [self.endpoints.candidate(e, kind.name, now) for e in endpoints],
            objective_s=max(call.created_at + kind.objective_s - now, 0.001),
            left_s=max(call.created_at + kind.deadline_s - now, 0.001),
            random=self.random,
            **options,
        )
        return self.endpoints.get(chosen.node_id) if chosen else None


class Simulation:
    """Discrete-event simulation of one scenario, placement and queue type."""

    def __init__(self, scenario, placement, queue_type, *, seed, seconds):
        self._scenario = scenario
        self._place = placement
        self._seconds = seconds
        self._random = Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._call_ids = count()
        self._service_time_factors = {
            d: self._random.uniform(0.8, 1.5) for d in DATA_CENTRES
        }
        self._entries = {d: Entry(d, Random(seed + 1)) for d in DATA_CENTRES}
        self._queues = {d: queue_type(slots=SLOTS) for d in DATA_CENTRES}
        self.counts: Counter[str] = Counter()
        self._asked: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self.value_totals: dict[str, float] = defaultdict(float)

    def run(self) -> dict[str, float]:
        """Run the scenario and return its results."""
        mean_service_time_s = sum(k.share * k.service_time_s for k in CALL_KINDS)
        mean_service_time_s *= sum(self._service_time_factors.values()) / len(
            self._service_time_factors
        )
        rate = self._scenario.load * SLOTS * len(DATA_CENTRES) / mean_service_time_s
        at = 0.0
        while (at := at + self._random.expovariate(rate * self._hot_load(at))) < (
            self._seconds
        ):
            kind = self._random.choices(CALL_KINDS, [k.share for k in CALL_KINDS])[0]
            workspace = self._choose_workspace(at)
            call = Call(kind, self._random.choice(DATA_CENTRES), at, workspace)
            self._schedule(at, lambda call=call: self._arrive(call))
        while self._events:
            self._now, _, action = heappop(self._events)
            action()
        total_value = self.value_totals["owed"]
        return {
            "worth": (self.value_totals["credit"] - self.value_totals["price"])
            / total_value,
            "credit": self.value_totals["credit"] / total_value,
            "price": self.value_totals["price"] / total_value,
            "worst workspace": min(
                (self._served[w] / n for w, n in self._asked.items() if w != "hot"),
                default=0.0,
            ),
            **{name: n / self.counts["calls"] for name, n in self.counts.items()},
        }

    def _is_second_third(self, at: float) -> bool:
        return self._seconds / 3 <= at < 2 * self._seconds / 3

    def _hot_load(self, at: float) -> float:
        """Return the offered load at a time as a multiple of the usual."""
        if not self._scenario.hot_factor or not self._is_second_third(at):
            return 1.0
        return (len(WORKSPACES) - 1 + self._scenario.hot_factor) / len(WORKSPACES)

    def _choose_workspace(self, at: float) -> str:
        if not self._scenario.hot_factor:
            return ""
        weights = [1.0] * len(WORKSPACES)
        if self._is_second_third(at):
            weights[-1] = self._scenario.hot_factor
        return self._random.choices(WORKSPACES, weights)[0]

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heappush(self._events, (when, next(self._event_numbers), action))

    def _arrive(self, call: Call) -> None:
        if not call.has_retried:
            self.counts["calls"] += 1
            self._asked[call.workspace] += 1
            self.value_totals["owed"] += call.kind.value
        call.arrived_at = self._now
        self._offer(call)

    def _offer(self, call: Call) -> None:
        entry = self._entries[call.data_centre]
        endpoints = [
            e
            for e in entry.endpoints.of_service(SERVICE)
            if e.node_id not in call.tried_ids
        ]
        if not endpoints or call.offers >= MAX_OFFERS:
            self._refuse(call)
            return
        endpoint = self._place(entry, call, endpoints, self._now)
        if endpoint is None:
            self._refuse(call)
            return
        call.tried_ids.add(endpoint.node_id)
        call.offers += 1
        call_id = next(self._call_ids)
        entry.endpoints.record_start(
            endpoint.node_id, call_id, call.kind.name, self._now
        )
        self._add_price(endpoint.distance, OFFER_KILOBYTES)
        one_way_s = ROUND_TRIP_S[endpoint.distance] / 2
        self._schedule(
            self._now + one_way_s,
            lambda: self._enter(call, endpoint.node_id, call_id, one_way_s),
        )

    def _enter(self, call: Call, node_id: str, call_id: int, one_way_s: float) -> None:
        kind, queue = call.kind, self._queues[node_id]

        def decide(verdict: Verdict, retry_after_s: float) -> None:
            if verdict is Verdict.GRANTED:
                self._start(call, node_id, call_id, one_way_s, request)
            else:
                call.retry_after_s = max(call.retry_after_s, retry_after_s)
                result = CallResult(CallOutcome.NOT_RUN, load=self._load(node_id, kind))
                self._return_result(call, node_id, call_id, one_way_s, result)

        request = SlotRequest(
            kind.name,
            kind.priority,
            call.created_at + kind.objective_s,
            call.created_at + kind.deadline_s,
            decide,
            call.workspace,
        )
        queue.enter(request, self._now)

    def _start(self, call, node_id, call_id, one_way_s, request) -> None:
        started_at = self._now
        required_s = (
            call.kind.service_time_s
            * self._service_time_factors[node_id]
            * self._slowdown(node_id)
        )
        required_s *= max(self._random.gauss(1.0, 0.35), MIN_SERVICE_TIME_SHARE)
        left_s = max(request.deadline - self._now, 0.0)

        def end() -> None:
            is_served = required_s <= left_s
            service_s = self._now - started_at
            self._queues[node_id].leave(request, self._now, service_s=service_s)
            result = CallResult(
                CallOutcome.COMPLETE,
                status=200 if is_served else 504,
                load=self._load(node_id, call.kind),
            )
            self._return_result(call, node_id, call_id, one_way_s, result)

        self._schedule(self._now + min(required_s, left_s), end)

    def _slowdown(self, node_id: str) -> float:
        slow_ids = DATA_CENTRES[: self._scenario.slow_count]
        is_slow = self._is_second_third(self._now) and node_id in slow_ids
        return self._scenario.slow_factor if is_slow else 1.0

    def _load(self, node_id: str, kind: CallKind) -> GatewayLoad:
        queue = self._queues[node_id]
        return GatewayLoad(
            queue.running_count,
            queue.waiting_count,
            SLOTS,
            queue.expected_service_s(kind.name, self._now),
        )

    def _return_result(self, call, node_id, call_id, one_way_s, result) -> None:
        def arrive() -> None:
            entry = self._entries[call.data_centre]
            entry.endpoints.record_result(
                node_id, call_id, call.kind.name, result, self._now
            )
            if result.outcome is CallOutcome.NOT_RUN:
                self._offer(call)
            else:
                distance = entry.endpoints.get(node_id).distance
                self._add_price(
                    distance, max(call.kind.kilobytes - OFFER_KILOBYTES, 0.0)
                )
                self._finish(call, is_served=result.status == 200)

        self._schedule(self._now + one_way_s, arrive)

    def _add_price(self, distance: Distance, kilobytes: float) -> None:
        self.value_totals["price"] += PRICE_BY_DISTANCE.get(distance, 0.0) * kilobytes

    def _refuse(self, call: Call) -> None:
        left_s = call.created_at + call.kind.deadline_s - self._now
        if call.has_retried or call.retry_after_s > MAX_RETRY_DELAY_SHARE * left_s:
            self.counts["refused"] += 1
            return
        call.has_retried = True
        call.tried_ids, call.offers = set(), 0
        self._schedule(self._now + call.retry_after_s, lambda: self._arrive(call))

    def _finish(self, call: Call, *, is_served: bool) -> None:
        kind, elapsed_s = call.kind, self._now - call.created_at
        if not is_served or elapsed_s > kind.deadline_s:
            self.counts["failed"] += 1
        elif elapsed_s > kind.objective_s:
            self._served[call.workspace] += 1
            self.counts["late"] += 1
            self.value_totals["credit"] += LATE_VALUE_SHARE * kind.value
        else:
            self._served[call.workspace] += 1
            self.counts["in time"] += 1
            self.value_totals["credit"] += kind.value


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench decisions``."""
    parser.add_argument("--seeds", type=int, default=5, help="simulations per policy")
    parser.add_argument("--scenario", choices=[s.name for s in SCENARIOS])
    parser.add_argument("--seconds", type=float, default=20.0, help="simulated seconds")


@register_benchmark("decisions", configure=configure)
def run(options: Namespace) -> dict:
    """Placement and queueing compared with baselines, in simulated time."""
    pairs = [(name, "slot queue") for name in placements_by_name]
    pairs += [("expected loss", name) for name in QUEUE_TYPES if name != "slot queue"]
    rows = []
    for scenario in SCENARIOS:
        if options.scenario not in (None, scenario.name):
            continue
        for placement, queue in pairs:
            simulation_results = [
                Simulation(
                    scenario,
                    placements_by_name[placement],
                    QUEUE_TYPES[queue],
                    seed=seed,
                    seconds=options.seconds,
                ).run()
                for seed in range(options.seed, options.seed + options.seeds)
            ]
            rows.append(
                {
                    "scenario": scenario.name,
                    "placement": placement,
                    "queue": queue,
                    **_mean_results(simulation_results),
                }
            )
    print(tabulate(rows, headers="keys", floatfmt=".3f"))
    return {"rows": rows}


def _mean_results(simulation_results: list[dict[str, float]]) -> dict[str, float]:
    names = ("worth", "credit", "price", "in time", "late", "refused", "failed")
    names += ("worst workspace",)
    return {
        n: sum(p.get(n, 0.0) for p in simulation_results) / len(simulation_results)
        for n in names
    }
