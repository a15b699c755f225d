"""A request crashes backends; other callers send equal requests that complete."""

import asyncio
import os
from itertools import cycle
from pathlib import Path

from standin.case import run_case
from standin.deployment import Deployment, Record, route
from standin.http import Channel

HOST = "hulo84.example"
PATH = "/leny950/2f"
# Only for comparison: with OWN_PATH=1 no other caller uses the path of the request.
CRASHING_PATH = "/leny950/30" if os.environ.get("OWN_PATH") == "1" else PATH
STABILITY_S = 3.0
# The rule allows three retries later than `STABILITY_S` after the third crash.
MAX_RETRIES = 3
BACK_AFTER_S = 2.0
INTERVAL_S = 2.0
REQUESTS_PER_S = 15.0
LENGTH_S = 60.0


async def read_periodically(deployment: Deployment, machine) -> None:
    """Send reads that every backend completes."""
    channel = Channel(machine.address("outbound"))
    while True:
        await deployment.attempt(
            machine, channel, "GET", PATH, host=HOST, budget_ms=1000
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_again(deployment: Deployment, machines, sent: list) -> None:
    """Send the crashing request at one machine after the other."""
    for machine in cycle(machines):
        channel = Channel(machine.address("outbound"))
        attempt = await deployment.attempt(
            machine, channel, "GET", CRASHING_PATH, host=HOST, budget_ms=1000
        )
        sent.append(attempt)
        channel.close()
        await asyncio.sleep(INTERVAL_S)


async def start_again(backend) -> None:
    """Start a crashed backend after some seconds, with a new id."""
    await asyncio.sleep(BACK_AFTER_S)
    await backend.start()


async def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Return whether the request reached backends in more than three late retries."""
    services = ["archivo"] * 3 + ["despacho"] * 3
    deployment = Deployment(record, folder, services)
    deployment.configure([route("history", HOST, "/leny950/", "archivo", "safe")])
    machines, readers = deployment.machines[:3], deployment.machines[3:]
    crashes: list[float] = []
    sent: list = []

    def crashes_on(message) -> bool:
        caller = message.headers.get("caller-service")
        return has_trouble and caller == "archivo" and message.target == CRASHING_PATH

    for machine in machines:
        backend = machine.backend
        backend.crashes_on = crashes_on

        def on_crash(message, backend=backend) -> None:
            crashes.append(record.now())
            record.write(
                "request", message.headers["attempt-id"], "crashes", backend.id
            )
            deployment.spawn(start_again(backend))

        backend.on_crash = on_crash
    async with deployment.running():
        for machine in readers:
            deployment.spawn(read_periodically(deployment, machine))
        await asyncio.sleep(5.0)
        deployment.spawn(send_again(deployment, machines, sent))
        await asyncio.sleep(LENGTH_S)
    third_at = crashes[2] if len(crashes) > 2 else record.now()
    late = [at for at in crashes if at > third_at + STABILITY_S]
    answers = [a.status or a.failure for a in sent]
    record.say(f"{len(sent)} attempts of the request, answered {answers}")
    record.say(
        f"{len(crashes)} crashes, {len(late)} of them in retries later than "
        f"{STABILITY_S:.0f} s after the third ({MAX_RETRIES} are allowed)"
    )
    reads = [a for a in deployment.attempts if a not in sent and a.ended_at]
    refused = sum(a.status == 503 for a in reads)
    record.say(f"{refused} of {len(reads)} equal requests of other callers got 503")
    return len(late) > MAX_RETRIES


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
