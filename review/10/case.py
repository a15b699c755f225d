"""A late report makes a backend ready again after its leave was acknowledged."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin2.backend import Backend  # noqa: E402
from standin2.requester import send_once  # noqa: E402
from standin2.world import World, is_troubled, run_case  # noqa: E402

SERVICE = "despacho"
# One of seven backends crashes and leaves.
SERVICES = [*[SERVICE] * 7, "archivo"]
PATH = "/despacho/visits/"
TIME_LEFT_MS = 1200
WORK_S = 0.078
DRAIN_S = 2.0
# From the crash of the backend to its next start.
DOWN_S = 1.0
# How late its first status report arrives, and when it leaves, from that start on.
LATE_S = 3.0
LEAVES_AFTER_S = 1.2
# The backend serves on for `drain_ms` and some seconds after the acknowledgement.
SERVES_S = DRAIN_S + 4.0
# Each node gets requests from the requesters beside it.
INTERVAL_S = 0.05


def unix_ms() -> int:
    """Return the time of day."""
    return int(time.time() * 1000)


async def send_requests(address, record, sent_at: dict[str, float]) -> None:
    """Send requests until the task is cancelled."""
    tasks = set()

    async def send() -> None:
        at = record.now()
        outcome = await send_once(
            address, record, "POST", PATH, time_left_ms=TIME_LEFT_MS, wait_s=2.0
        )
        sent_at[outcome.attempt] = at

    while True:
        task = asyncio.create_task(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_S)


async def main(folder, record) -> int:
    """Run the case; return its exit code."""
    world = World(folder, record)

    def make_backend(backend_id, service):
        backend = Backend(
            backend_id, service, record=record, work_s=lambda request: WORK_S, slots=12
        )
        backend.born_ms = unix_ms()
        return backend

    try:
        await world.start(SERVICES, make_backend)
        route = {
            "path_prefix": "/despacho/",
            "service": SERVICE,
            "kind": "unsafe",
            "timeout_ms": TIME_LEFT_MS,
            "target_latency_ms": 300,
            "priority": 1,
        }
        await world.configure([route], SERVICES)
        await world.run_nodes()
        machine = world.machines[0]
        port = int(machine.backend.address.rpartition(":")[2])
        sent_at: dict[str, float] = {}
        record("crash", backend="i-0")
        machine.reports = False
        machine.backend.close()
        await asyncio.sleep(DOWN_S)
        machine.backend = make_backend("i-0", SERVICE)
        await machine.backend.start(port)
        record("start", backend="i-0", born=machine.backend.born_ms)
        world.spawn(report_ready(machine, LATE_S if is_troubled() else 0.0))
        for sender in world.machines:
            world.spawn(send_requests(sender.addresses["call"], record, sent_at))

        await asyncio.sleep(LEAVES_AFTER_S)
        # Its health probe fails from now on.
        machine.backend.state = "leaving"
        status = await machine.backend.leave(machine.addresses["report"])
        acked_at = record.now()
        record("leave sent", backend="i-0", status=status)
        await asyncio.sleep(SERVES_S)
        record("ends", backend="i-0")
        machine.backend.close()
        await asyncio.sleep(1.5)
        return judge(record, status, acked_at, sent_at)
    finally:
        await world.close()


async def report_ready(machine, late_s: float) -> None:
    """Deliver the status report that the backend sends as it starts."""
    machine.world.record("ready reported", backend="i-0", late_s=late_s)
    content = machine.backend.next_report()
    await asyncio.sleep(late_s)
    status = await machine.backend.deliver(machine.addresses["report"], content)
    machine.world.record("ready report arrived", backend="i-0", status=status)


def judge(record, status: int, acked_at: float, sent_at: dict[str, float]) -> int:
    """Return 1 if requests reached the backend whose leave was acknowledged."""
    late = [
        event
        for event in record.events
        if event["event"] == "run"
        and event["backend"] == "i-0"
        and event["at"] > acked_at + DRAIN_S
        and sent_at.get(event["attempt"], 0.0) > acked_at + DRAIN_S
    ]
    is_broken = status == 200 and bool(late)
    result = {
        "status_of_the_leave": status,
        "requests_sent_and_run_later_than_drain_ms": len(late),
        "DRAIN": "broken" if is_broken else "held",
    }
    record("result", **result)
    print(result)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
