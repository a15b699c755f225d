"""Large uploads in a burst: memory of the node beside the upstream."""

import asyncio
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standin3"))

from world import HOST, Record, World, ask, route  # noqa: E402

MEMORY_MB = 300
BODY = b"\0" * 6_000_000
WORK_S = 2.0
USUAL_PER_S = 8.0
BURST_X = 2.5
BURST_S = 7.0
BURSTS_AT_S = (6.0, 20.0, 34.0)
TRAFFIC_S = 45.0
RESTART_DELAY_S = 0.5
MEMORY_CHECK_S = 0.02
# The rule: a tenth of the machines, two at least, end three times.
MIN_MACHINES = 2
MIN_ENDS = 3
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"

GATEWAYS = [("andina-a", "andina", "archivo"), ("andina-b", "andina", "archivo")]
ENTRIES = [(zone, "andina", "despacho") for zone in ("andina-a", "andina-b")] * 5


async def watch_memory(world, ends: Counter, peaks: dict) -> None:
    """Kill and restart a process that exceeds its memory, as the platform does."""
    while True:
        for node in world.nodes:
            used_mb = node.memory_mb()
            peaks[node.node_id] = max(peaks.get(node.node_id, 0), used_mb)
            if used_mb > MEMORY_MB:
                world.record(f"{node.node_id} uses {used_mb:.0f} MB of {MEMORY_MB}")
                node.signal(signal.SIGKILL)
                node.process.wait()
                ends[node.node_id] += 1
                loop = asyncio.get_running_loop()
                loop.call_later(RESTART_DELAY_S, node.start)
        await asyncio.sleep(MEMORY_CHECK_S)


async def upload(world, node, answers: Counter) -> None:
    """Send one upload and count its answer."""
    request_id = world.next_id()
    headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Remaining", "6000"),
    ]
    target = "/archivo/unsafe/papers"
    world.record(f"caller sends {request_id} to {node.node_id}")
    try:
        answer = await asyncio.wait_for(
            ask(node.address["outbound"], "POST", target, headers, BODY), 7.0
        )
        status = answer.status if answer else "closed"
    except (TimeoutError, OSError) as error:
        status = type(error).__name__
    answers[status] += 1
    world.record(f"caller of {request_id} gets {status}")


async def send_traffic(world, answers: Counter) -> None:
    """Send uploads at an even rate, and more of them in the bursts."""
    entries = world.nodes[len(GATEWAYS) :]
    tasks = []
    started_at = time.monotonic()
    due = 0.0
    while due < TRAFFIC_S:
        await asyncio.sleep(max(started_at + due - time.monotonic(), 0))
        node = entries[len(tasks) % len(entries)]
        tasks.append(asyncio.ensure_future(upload(world, node, answers)))
        is_burst = any(at <= due < at + BURST_S for at in BURSTS_AT_S)
        rate = USUAL_PER_S * (BURST_X if is_burst and HAS_TROUBLE else 1)
        due += 1 / rate
    await asyncio.gather(*tasks)


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    ends, answers, peaks = Counter(), Counter(), {}
    async with World(record, GATEWAYS + ENTRIES) as world:
        target = route("archivo", "unsafe", timeout_ms=6000, target_latency_ms=3000)
        world.configure([target])
        for node in world.nodes:
            node.backend.work_s = WORK_S
        await world.start()
        watch = asyncio.ensure_future(watch_memory(world, ends, peaks))
        await send_traffic(world, answers)
        watch.cancel()
    for node_id, peak_mb in sorted(peaks.items()):
        record(f"peak of {node_id}: {peak_mb:.0f} MB, killed {ends[node_id]} times")
    record(f"answers: {dict(answers)}")
    machines = [node_id for node_id, count in ends.items() if count >= MIN_ENDS]
    print(f"ends {dict(ends)}, answers {dict(answers)}")
    is_broken = len(machines) >= max(MIN_MACHINES, len(GATEWAYS + ENTRIES) / 10)
    record("rule broken" if is_broken else "rule held")
    return int(is_broken)


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
