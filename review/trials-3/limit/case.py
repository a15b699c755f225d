"""A backend that names its limit, and planned restarts of the node beside it."""

import asyncio
import os
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standin3"))

from world import HOST, Record, World, ask, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
LIMIT_PER_S = 1.0
WINDOW_S = 4.0
STABILITY_S = 3.0
PASSED_ON_S = 0.5
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLERS = 8
RESTARTS_AT_S = (12.0, 26.0, 40.0)
RESTART_DELAY_S = 0.3
END_S = 54.0
WORK_S = 0.3

PLACES = [
    ("andina-a", "andina", "archivo"),
    ("andina-b", "andina", "despacho"),
    ("pacifico-a", "pacifico", "despacho"),
    ("pacifico-b", "pacifico", "despacho"),
]


async def call(world, node, sent: dict, passed_on: dict, answers: Counter) -> None:
    """Send requests one after the other, and come back when told to."""
    while world.record.now() < END_S:
        request_id = world.next_id()
        headers = [
            ("Host", HOST),
            ("Attempt-Id", request_id),
            ("Deadline-Remaining", "1200"),
        ]
        sent[request_id] = node.node_id
        pause_s = 0.3
        try:
            answer = await asyncio.wait_for(
                ask(node.address["outbound"], "POST", "/archivo/unsafe/x", headers), 2.0
            )
        except (OSError, TimeoutError) as error:
            answers[type(error).__name__] += 1
        else:
            answers[answer.status if answer else "closed"] += 1
            if answer is not None and answer.header("Server-Limit"):
                passed_on.setdefault(node.node_id, world.record.now())
            if answer is not None and answer.header("Retry-After"):
                pause_s = min(float(answer.header("Retry-After")), 0.4)
        await asyncio.sleep(pause_s)


async def restart(world, node) -> None:
    """Stop the node as planned and start it again, at set times."""
    for at in RESTARTS_AT_S:
        await asyncio.sleep(max(at - world.record.now(), 0))
        node.signal(signal.SIGTERM)
        while node.process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    sent, passed_on, answers = {}, {}, Counter()
    async with World(record, PLACES) as world:
        world.configure([route("archivo", "unsafe")])
        limited = world.nodes[0]
        limited.backend.work_s = WORK_S
        await world.start()
        limited.backend.extra_headers.append(("Server-Limit", str(LIMIT_PER_S)))
        limit_from = record.now()
        record(f"{limited.backend.backend_id} names its limit, {LIMIT_PER_S} a second")
        tasks = [
            call(world, node, sent, passed_on, answers)
            for node in world.nodes[1:]
            for _ in range(CALLERS)
        ]
        if HAS_TROUBLE:
            tasks.append(restart(world, limited))
        await asyncio.gather(*tasks)
    runs = sorted(
        (at, request_id)
        for request_id, times in limited.backend.run_times.items()
        for at in times
    )
    counted = [
        at
        for at, request_id in runs
        if at > limit_from + STABILITY_S
        and at > passed_on.get(sent[request_id], END_S) + PASSED_ON_S
    ]
    for at in counted:
        record(f"a request arrives at {at:.3f}")
    most = max(
        (sum(begin <= at < begin + WINDOW_S for at in counted), begin)
        for begin in counted
    )
    summary = (
        f"{len(runs)} runs; at most {most[0]} in {WINDOW_S} s, from {most[1]:.1f} s, "
        f"of {ALLOWED} allowed; answers {dict(answers)}"
    )
    is_broken = most[0] > ALLOWED
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
