"""Crashes of upstreams that run equal requests: all nodes hang."""

import asyncio
import os
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin3"))

from world import HOST, Record, World, ask, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
TARGET = "/archivo/safe/duct"
RATE_PER_S = 400.0
WORK_S = 0.06
TRAFFIC_S = 30.0
# The nodes are watched this much longer, without any request.
REST_S = 10.0
# Each time one of the six backends of the service crashes.
CRASHES_AT_S = (5.0, 12.0, 19.0)
DOWN_S = 3.8
TIMEOUT_S = 1.0
# The rule: no final answer half a second after the timeout of the route.
ANSWERED_WITHIN_S = TIMEOUT_S + 0.5
PATIENCE_S = 3.0
MIN_UNANSWERED = 8
MIN_SHARE = 0.25
PLACES = [
    ("andina-a", "andina", "archivo"),
    ("andina-b", "andina", "archivo"),
    ("andina-c", "andina", "archivo"),
    ("pacifico-a", "pacifico", "archivo"),
    ("pacifico-b", "pacifico", "archivo"),
    ("pacifico-c", "pacifico", "archivo"),
    ("andina-a", "andina", "despacho"),
    ("pacifico-a", "pacifico", "despacho"),
]


async def call(world, node, waits: list) -> None:
    """Send one of the equal requests and note how long it is unanswered."""
    request_id = world.next_id()
    headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Remaining", str(int(PATIENCE_S * 1000))),
    ]
    started_at = time.monotonic()
    try:
        answer = await asyncio.wait_for(
            ask(node.address["outbound"], "GET", TARGET, headers), PATIENCE_S
        )
        status = answer.status if answer else "closed"
    except (TimeoutError, OSError) as error:
        status = type(error).__name__
    waited_s = time.monotonic() - started_at
    waits.append((world.record.now() - waited_s, waited_s, status))
    if waited_s > TIMEOUT_S or status != 200:
        world.record(
            f"request {request_id} to {node.node_id}: {status} after {waited_s:.2f} s"
        )


async def send_traffic(world, waits: list) -> None:
    """Send equal requests at an even rate from the callers of one service."""
    started_at = time.monotonic()
    callers = [node for node in world.nodes if node.service == "despacho"]
    tasks = set()
    for number in range(int(RATE_PER_S * TRAFFIC_S)):
        due = started_at + number / RATE_PER_S
        await asyncio.sleep(max(due - time.monotonic(), 0))
        node = callers[number % len(callers)]
        task = asyncio.ensure_future(call(world, node, waits))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def crash(world, node) -> None:
    """Let a backend crash; it is back as a new process some seconds later."""
    backend = node.backend
    running = backend.running
    backend.stop_reports()
    backend.stop(resets=True)
    world.record(f"backend {backend.backend_id} crashes, {running} requests run there")
    await asyncio.sleep(DOWN_S)
    backend.born = int(time.time() * 1000)
    backend.sequence = 0
    await backend.listen(node.address["app"])
    backend.start_reports()
    world.record(f"backend {backend.backend_id} is back as a new process")


async def crash_in_turn(world) -> None:
    """Let one backend crash at each of the times."""
    started_at = time.monotonic()
    for at, number in zip(CRASHES_AT_S, (0, 3, 1), strict=True):
        await asyncio.sleep(started_at + at - time.monotonic())
        await crash(world, world.nodes[number])


def cpu_s(node) -> float:
    """Return the processor time of a process so far."""
    try:
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2]
    except OSError:
        return 0.0
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def watch_processes(world, misses: list) -> None:
    """Ask each second whether the nodes are ready, and note their processor time."""
    before = [cpu_s(node) for node in world.nodes]
    while True:
        await asyncio.sleep(1.0)
        answers = await asyncio.gather(*(node.is_ready() for node in world.nodes))
        now = [cpu_s(node) for node in world.nodes]
        used = [round(b - a, 2) for a, b in zip(before, now, strict=True)]
        before = now
        missed = answers.count(False)
        misses.append(missed)
        world.record(f"{missed} of 8 nodes not ready, processor time {used}")


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    waits, misses = [], []
    async with World(record, PLACES) as world:
        for node in world.nodes:
            node.backend.work_s = WORK_S
        world.configure([route("archivo", "safe", timeout_ms=int(TIMEOUT_S * 1000))])
        await world.start()
        tasks = [asyncio.ensure_future(watch_processes(world, misses))]
        if HAS_TROUBLE:
            tasks.append(asyncio.ensure_future(crash_in_turn(world)))
        await send_traffic(world, waits)
        record("the requests end")
        await asyncio.sleep(REST_S)
        for task in tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
    runs = [
        int(at)
        for node in world.nodes
        for times in node.backend.run_times.values()
        for at in times
    ]
    sent = Counter(int(at) for at, *_ in waits)
    served = Counter(int(at) for at, _, status in waits if status == 200)
    run = Counter(runs)
    for second in sorted(sent | run):
        record(
            f"second {second}: {sent[second]} requests sent, {served[second]} of these "
            f"answered with 200, {run[second]} run"
        )
    late = [waited for _, waited, _ in waits if waited > TIMEOUT_S]
    unanswered = [waited for waited in late if waited > ANSWERED_WITHIN_S]
    is_broken = len(unanswered) >= MIN_UNANSWERED and len(unanswered) > MIN_SHARE * len(
        late
    )
    answered = sum(status == 200 for *_, status in waits)
    summary = (
        f"{len(waits)} requests, {answered} answered with 200, {len(late)} longer than "
        f"{TIMEOUT_S} s, {len(unanswered)} of these without an answer at "
        f"{ANSWERED_WITHIN_S} s, {sum(misses)} questions for readiness missed"
    )
    record(summary)
    record("rule broken" if is_broken else "rule held")
    print(summary)
    return int(is_broken)


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
