"""A request that crashes backends comes again after planned restarts."""

import asyncio
import os
import random
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin3"))

from world import HOST, Backend, Message, Record, World, ask, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
BACK_AFTER_S = 2.0
TARGET = "/archivo/unsafe/poison"
COMES_EACH_S = 7.0
STABILITY_S = 3.0
# The rule: more than three retries later than `STABILITY_S` after the third crash.
MAX_RETRIES = 3
ROLLS_AT_S = (19.0, 46.0, 73.0)
GAP_S = 2.0
GRACE_S = 6.0
RESTART_DELAY_S = 0.3
END_S = 100.0
USUAL_EACH_S = 0.05

PLACES = [
    ("andina-a", "andina", "archivo"),
    ("andina-b", "andina", "archivo"),
    ("pacifico-a", "pacifico", "archivo"),
    ("andina-a", "andina", "despacho"),
    ("andina-b", "andina", "despacho"),
    ("pacifico-a", "pacifico", "despacho"),
]


class FragileBackend(Backend):
    """A backend that the request under `TARGET` crashes; it is back after seconds."""

    crashes: list[tuple[float, str, str]] = []

    async def run(self, request: Message, request_id: str, writer) -> bytes | None:
        """Run a request and return its answer, or crash."""
        if request.target != TARGET:
            return await super().run(request, request_id, writer)
        self.crashes.append((self._record.now(), request_id, self.address))
        self._record(f"{request_id} crashes {self.backend_id}")
        self.stop_reports()
        self.stop(resets=True)
        asyncio.get_running_loop().call_later(
            BACK_AFTER_S, lambda: asyncio.ensure_future(self.start_again())
        )
        return None

    async def start_again(self) -> None:
        """Start as a new boot, which knows nothing of before."""
        self.backend_id = f"i-{random.randrange(16**8):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        await self.listen(self.address)
        self.start_reports()


async def send(world, node, target: str, request_id: str) -> object:
    """Send an unsafe request; return the status of its answer."""
    headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Remaining", "1200"),
    ]
    try:
        answer = await asyncio.wait_for(
            ask(node.address["outbound"], "PUT", target, headers, b"same"), 2.0
        )
        return answer.status if answer else "closed"
    except (OSError, TimeoutError) as error:
        return type(error).__name__


async def send_poison(world, callers: list, sent: dict) -> None:
    """Send the request that crashes backends again and again, at each machine."""
    number = 0
    while world.record.now() < END_S:
        node = callers[number % len(callers)]
        number += 1
        request_id = world.next_id()
        sent[request_id] = world.record.now(), node.node_id
        status = await send(world, node, TARGET, request_id)
        world.record(f"{request_id} at {node.node_id} gets {status}")
        await asyncio.sleep(COMES_EACH_S)


async def send_usual(world, callers: list, statuses: list) -> None:
    """Send other requests, each with a path of its own."""
    number = 0
    while world.record.now() < END_S:
        node = callers[number % len(callers)]
        number += 1
        target = f"/archivo/unsafe/{number}"
        statuses.append(await send(world, node, target, world.next_id()))
        await asyncio.sleep(USUAL_EACH_S)


async def restart(world, node, disturbed: list) -> None:
    """Stop a node as planned and start it again."""
    began_at = world.record.now()
    node.signal(signal.SIGTERM)
    deadline = time.monotonic() + GRACE_S
    while node.process.poll() is None:
        if time.monotonic() > deadline:
            node.signal(signal.SIGKILL)
            node.process.wait()
        await asyncio.sleep(0.05)
    await asyncio.sleep(RESTART_DELAY_S)
    node.start()
    disturbed.append((node.node_id, began_at, world.record.now()))


async def roll(world, disturbed: list) -> None:
    """Stop and start all nodes in turn, at set times."""
    for at in ROLLS_AT_S:
        await asyncio.sleep(max(at - world.record.now(), 0))
        tasks = []
        for node in world.nodes:
            tasks.append(asyncio.ensure_future(restart(world, node, disturbed)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
        world.record("all nodes have been stopped and started")


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    sent, statuses, disturbed = {}, [], []
    async with World(record, PLACES) as world:
        for node in world.nodes:
            node.backend.stop()
            node.backend = FragileBackend(record, node.service)
            node.backend.address = node.app_address
            node.backend.control = node.address["control"]
            await node.backend.listen(node.app_address)
        world.configure([route("archivo", "unsafe")])
        await world.start()
        callers = [node for node in world.nodes if node.service == "despacho"]
        tasks = [
            send_poison(world, callers, sent),
            send_usual(world, callers, statuses),
        ]
        if HAS_TROUBLE:
            tasks.append(roll(world, disturbed))
        await asyncio.gather(*tasks)
        for node in world.nodes:
            with suppress(ProcessLookupError):
                node.backend.stop_reports()
    crashes = sorted(FragileBackend.crashes)
    third_at = crashes[2][0] if len(crashes) > 2 else float("inf")
    node_id_by_address = {node.app_address: node.node_id for node in world.nodes}

    def is_in_touch(node_id: str, at: float) -> bool:
        return not any(
            node_id == disturbed_id and begin <= at <= end + STABILITY_S
            for disturbed_id, begin, end in disturbed
        )

    retries = []
    for crashed_at, request_id, address in crashes[3:]:
        sent_at, caller_id = sent[request_id]
        path = (caller_id, node_id_by_address[address])
        if sent_at > third_at + STABILITY_S and all(
            is_in_touch(node_id, crashed_at) for node_id in path
        ):
            retries.append(sent_at)
    summary = (
        f"{len(crashes)} crashes, {len(retries)} retries by machines in touch later "
        f"than {STABILITY_S} s after the third: {[round(at, 1) for at in retries]}; "
        f"of {len(statuses)} other requests {statuses.count(200)} served"
    )
    is_broken = len(retries) > MAX_RETRIES
    record(f"restarts: {disturbed}")
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
