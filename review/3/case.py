"""A backend leaves, its node is restarted as planned, and a status report is late."""

import asyncio
import signal
from pathlib import Path

from standin.case import run_case
from standin.deployment import RESTART_DELAY_S, Deployment, Record, route
from standin.http import Channel

HOST = "hulo84.example"
STABILITY_S = 3.0
DRAIN_S = 2.0
# How long the backend goes on serving after its leave was acknowledged. The site's day
# `scale-2` has `scale_in` with `how = "stay"` and `for_s = 15`.
STAY_S = 14.0
REQUESTS_PER_S = 8.0


async def request_periodically(deployment: Deployment, machine) -> None:
    """Send reads on a kept channel."""
    channel = Channel(machine.address("outbound"))
    while True:
        await deployment.attempt(
            machine, channel, "GET", "/leny950/2f", host=HOST, budget_ms=1000
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def deliver_late(backend, body: bytes) -> None:
    """Deliver a delayed report as soon as a node takes it."""
    while await backend.send("PUT", body) != 200:
        await asyncio.sleep(0.05)


async def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Return whether a request reached the backend after its leave."""
    services = ["archivo", "despacho"] * 3
    deployment = Deployment(record, folder, services)
    deployment.configure([route("history", HOST, "/leny950/", "archivo", "safe")])
    async with deployment.running():
        for machine in deployment.machines:
            deployment.spawn(request_periodically(deployment, machine))
        await asyncio.sleep(5.0)
        machine = deployment.machines[0]
        backend = machine.backend
        backend.reports = False
        late_report = backend.status("ready")
        report_at = record.now()
        if not has_trouble:
            await deliver_late(backend, late_report)
        backend.is_leaving = True
        if await backend.send("DELETE") != 200:
            raise RuntimeError("the leave was not acknowledged")
        left_at = record.now()
        record.say("leave of", backend.id, f"acknowledged at {left_at:.3f}")
        await asyncio.sleep(0.3)
        await machine.stop(signal.SIGTERM)
        await asyncio.sleep(RESTART_DELAY_S)
        machine.start()
        if has_trouble:
            await deliver_late(backend, late_report)
            record.say(f"report delivered {record.now() - report_at:.1f} s late")
        await asyncio.sleep(max(left_at + STAY_S - record.now(), 0))
        backend.crash()
        in_touch_at = max(left_at + DRAIN_S, machine.started_at + STABILITY_S)
        runs = [at for at, _ in backend.runs if at > left_at + DRAIN_S]
        counted = [at for at in runs if at > in_touch_at]
        record.say(
            f"{len(runs)} requests reached {backend.id} later than {DRAIN_S:.0f} s "
            f"after the acknowledgement, {len(counted)} of them sent by a machine in "
            f"touch, the last {max(counted, default=left_at) - left_at:.1f} s after it"
        )
        return bool(counted)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
