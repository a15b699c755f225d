"""Registry of faults, and the seeded schedule that draws from it."""

import math
import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

import eventlet

from soak._proxy import Mode
from soak._world import World

STORM_CHANGES = 8
STORM_INTERVAL_S = 0.2
DRAIN_S = 3.0
CLOCK_STEPS_MS = (-2400, 0, 0, 2400)
RUNNING_POLL_S = 0.1
# Nodes need this long to find the silence of a link.
MIN_SILENCE_S = 1.0
# A second node gets its signal while the first one stops.
NEXT_STOP_DELAY_S = 0.2

Fault = Callable[[World, Random, float], None]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A fault; a planned one must not fail any request."""

    run: Fault
    is_planned: bool


faults_by_name: dict[str, FaultKind] = {}


def register_fault(*, is_planned: bool = False) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault, called with its duration."""

    def decorate(fault: Fault) -> Fault:
        faults_by_name[fault.__name__] = FaultKind(fault, is_planned)
        return fault

    return decorate


@dataclass(frozen=True, slots=True)
class Event:
    """A fault of a schedule; `seed` draws its details."""

    at_s: float
    name: str
    duration_s: float
    seed: int


def draw_schedule(
    seed: int, *, seconds: float, planned_only: bool = False
) -> list[Event]:
    """Return the faults of a run, which may overlap."""
    random = Random(f"{seed} schedule")
    names = sorted(
        name
        for name, kind in faults_by_name.items()
        if kind.is_planned or not planned_only
    )
    at_s, events = 0.0, []
    while (at_s := at_s + random.expovariate(0.6)) < seconds:
        duration_s = random.choice((0.3, 1.0, 2.5))
        name = random.choice(names)
        events.append(Event(at_s, name, duration_s, random.getrandbits(32)))
    return events


def play(world: World, events: list[Event]) -> None:
    """Run the faults of a schedule at their times and wait for their end."""
    started_at = monotonic()
    threads = []
    for event in events:
        eventlet.sleep(max(started_at + event.at_s - monotonic(), 0.0))
        threads.append(eventlet.spawn(_run, world, event))
    for thread in threads:
        thread.wait()


def _run(world: World, event: Event) -> None:
    kind = faults_by_name[event.name]
    began_at = monotonic()
    interval = [began_at, float("inf")]
    if not kind.is_planned:
        world.history.disturbed.append(interval)
    kind.run(world, Random(event.seed), event.duration_s)
    interval[1] = monotonic()


def choose_node(world: World, random: Random):
    """Return a node whose process runs, as soon as there is one."""
    while not (running := [node for node in world.nodes if not node.is_down]):
        eventlet.sleep(RUNNING_POLL_S)
    return random.choice(running)


@register_fault(is_planned=True)
def stop_and_restart(world, random, duration_s):
    """Stop a node as planned and start it again."""
    _stop(world, choose_node(world, random))


@register_fault(is_planned=True)
def stop_several(world, random, duration_s):
    """Stop two nodes at overlapping times, each with several signals."""
    first = eventlet.spawn(
        _stop, world, choose_node(world, random), repeat_after_s=duration_s
    )
    eventlet.sleep(NEXT_STOP_DELAY_S)
    _stop(world, choose_node(world, random), repeat_after_s=duration_s)
    first.wait()


@register_fault(is_planned=True)
def reload(world, random, duration_s):
    """Write the settings again and send SIGHUP."""
    node = choose_node(world, random)
    node.write_settings()
    node.signal(signal.SIGHUP)


@register_fault(is_planned=True)
def configuration_storm(world, random, duration_s):
    """Store versions in quick succession."""
    for _ in range(STORM_CHANGES):
        world.configure()
        eventlet.sleep(STORM_INTERVAL_S)


@register_fault()
def drain_and_replace(world, random, duration_s):
    """Drain an upstream and replace it by a new process."""
    node = choose_node(world, random)
    if node.state == "ready":
        node.upstream.is_healthy = False
        node.state = "draining"
        eventlet.sleep(DRAIN_S)
        node.replace_upstream()


@register_fault()
def leave_before_late_report(world, random, duration_s):
    """Let an upstream crash, start again under its id and leave at once.

    The report of its start arrives after its leave. The clock may step at each start.
    """
    node = choose_node(world, random)
    if node.state != "ready":
        return
    node.replace_upstream(keeps_id=True, step_ms=random.choice(CLOCK_STEPS_MS))
    upstream = node.upstream
    upstream.sequence += 1
    late_sequence = upstream.sequence
    node.leave()
    eventlet.sleep(duration_s)
    node.report_late(late_sequence)
    eventlet.sleep(DRAIN_S)
    node.replace_upstream(
        keeps_id=random.random() < 0.5, step_ms=random.choice(CLOCK_STEPS_MS)
    )


@register_fault()
def kill(world, random, duration_s):
    """Kill a node process."""
    choose_node(world, random).end(signal.SIGKILL)


@register_fault()
def pause(world, random, duration_s):
    """Pause a node process."""
    node = choose_node(world, random)
    process = node.process
    process.send_signal(signal.SIGSTOP)
    eventlet.sleep(duration_s)
    process.send_signal(signal.SIGCONT)


@register_fault()
def store_down(world, random, duration_s):
    """Let the store refuse all calls."""
    world.store.faults.status = 503
    eventlet.sleep(duration_s)
    world.store.faults.status = 0


@register_fault()
def store_slow(world, random, duration_s):
    """Delay all calls to the store."""
    world.store.faults.delay_s = 0.4
    eventlet.sleep(duration_s)
    world.store.faults.delay_s = 0.0


@register_fault()
def store_forgets(world, random, duration_s):
    """Discard the history of the store."""
    world.store.compact_history()


@register_fault()
def store_comes_back(world, random, duration_s):
    """Lose what was written to the store in a while; the operator writes it again."""
    copy = world.store.take_copy()
    eventlet.sleep(duration_s)
    content = world.store.get("config", "main")["spec"]
    world.store.come_back(copy)
    eventlet.sleep(random.random())
    if world.store.get("config", "main")["spec"]["version"] < content["version"]:
        world.store.put("config", "main", content)


@register_fault()
def store_connection(world, random, duration_s):
    """Disturb the connections of some nodes to the store."""
    mode = random.choice([mode for mode in Mode if mode is not Mode.PASS])
    nodes = random.sample(world.nodes, len(world.nodes) // 2)
    _disturb([node.store_proxy for node in nodes], mode, duration_s)


@register_fault()
def upstream_connection(world, random, duration_s):
    """Disturb the connections of a node to its upstream."""
    mode = random.choice([mode for mode in Mode if mode is not Mode.PASS])
    _disturb([choose_node(world, random).upstream_proxy], mode, duration_s)


@register_fault()
def node_links(world, random, duration_s):
    """Disturb the links that other nodes have opened to a node."""
    mode = random.choice([mode for mode in Mode if mode is not Mode.PASS])
    _disturb([random.choice(world.nodes).link_proxy], mode, duration_s)


@register_fault()
def silent_links(world, random, duration_s):
    """Let the open links to a node go silent for good; new ones work."""
    proxy = random.choice(world.nodes).link_proxy
    proxy.silence_open_links()
    eventlet.sleep(max(duration_s, MIN_SILENCE_S))
    proxy.reset_silent_links()


def _stop(world: World, node, *, repeat_after_s: float = math.inf) -> None:
    world.history.stops.append((node.node_id, monotonic()))
    node.end(signal.SIGTERM, repeat_after_s=repeat_after_s)


def _disturb(proxies, mode: Mode, duration_s: float) -> None:
    for proxy in proxies:
        proxy.set_mode(mode)
    eventlet.sleep(duration_s)
    for proxy in proxies:
        proxy.set_mode(Mode.PASS)
