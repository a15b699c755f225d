"""A second leader completes a roll-out that the first has rolled back."""

import asyncio
import json
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin3"))

from world import (  # noqa: E402
    HOST,
    Backend,
    Message,
    Record,
    Store,
    World,
    ask,
    encode_answer,
    read_message,
    route,
)

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
EXPOSURE_SHARE = 0.1
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
DURATION_S = 15.0
RATE_PER_S = 300.0
BAD_PART = 0.9
WORK_S = 0.02
LONG_WORK_S = 3.6
LONG_PER_S = 5.0
# The version turns bad once it gets all calls and the leader has stored the time left.
BAD_FROM_SHARE = 1.0
BAD_AFTER_S = 0.05
CUT_AFTER_S = 0.3
CUT_S = 5.0
# Long enough to see requests that are late also if the cut counted as a disturbance of
# the core: then the count of bad answers begins anew once the core has been stable
# again, and the bound is longer by `outer_bound_ms`.
REST_S = 16.0
STABILITY_S = 3.0
OUTER_BOUND_S = 5.0
# At `rolled_back`, the new backends drain some seconds later.
DRAIN_AFTER_S = 3.0
OLD, NEW = "v1", "v2"


class CutStore(Store):
    """A store that some machines cannot reach; calls of these get no answer."""

    def __init__(self, record: Record):
        super().__init__(record)
        self.cut: set[str] = set()

    async def serve(self, reader, writer) -> None:
        """Serve the calls of one channel."""
        address = writer.get_extra_info("sockname")[0]
        while (request := await read_message(reader, is_request=True)) is not None:
            await self._wait_while_cut(address)
            status, content = await self._answer(request)
            await self._wait_while_cut(address)
            if "rollouts" in request.target and request.method == "PUT":
                body = json.loads(request.body).get("status")
                self._record(f"PUT {request.target} {body}: {status}")
            headers = [("Content-Type", "application/json")]
            writer.write(encode_answer(status, headers, json.dumps(content).encode()))
            await writer.drain()

    async def _wait_while_cut(self, address: str) -> None:
        while address in self.cut:
            await asyncio.sleep(0.02)


class VersionedBackend(Backend):
    """A backend of one version, a part of whose answers may be failures."""

    version = OLD
    is_bad = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.bad_answers: list[float] = []

    async def report(self) -> int:
        """Send a status report; return the status of its answer, 0 without one."""
        self.sequence += 1
        content = {
            "service": self.service,
            "address": self.address,
            "zone": "andina-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return await self._tell("PUT", json.dumps(content).encode())

    async def run(self, request: Message, request_id: str, writer) -> bytes:
        """Run a request and return its answer."""
        if "/safe/" in request.target:
            await asyncio.sleep(LONG_WORK_S)
            return self.success(request, request_id)
        await asyncio.sleep(WORK_S)
        if not self.is_bad or random.random() >= BAD_PART:
            return self.success(request, request_id)
        self.bad_answers.append(self._record.now())
        headers = [("Attempt-Id", request_id), ("Response-Seal", "bad"), self.load]
        return encode_answer(500, headers, b"bad")


PLACES = [
    ("andina-a", "andina", "archivo", OLD),
    ("andina-b", "andina", "archivo", NEW),
    ("pacifico-a", "pacifico", "archivo", OLD),
    ("pacifico-b", "pacifico", "archivo", OLD),
    ("andina-a", "andina", "archivo", NEW),
    ("pacifico-a", "pacifico", "archivo", NEW),
    ("andina-b", "andina", "despacho", OLD),
    ("pacifico-b", "pacifico", "despacho", OLD),
]


async def prepare(world: World) -> None:
    """Give each node a path of its own to the store, and each backend its version."""
    store = CutStore(world.record)
    world.store.stop()
    world.store = store
    for number, (node, place) in enumerate(zip(world.nodes, PLACES, strict=True)):
        host = f"127.{world.network}.0.{number + 10}"
        node.store_address = f"{host}:{world.port}"
        await asyncio.start_server(store._accept, host, world.port, limit=2**24)
        node.backend.stop()
        node.backend = VersionedBackend(world.record, node.service)
        node.backend.version = place[3]
        node.backend.address = node.app_address
        node.backend.control = node.address["control"]
        await node.backend.listen(node.app_address)


async def call(world, node, is_long: bool, sent: dict, answers: Counter) -> None:
    """Send one request and count its answer."""
    request_id = world.next_id()
    method, kind = ("GET", "safe") if is_long else ("POST", "unsafe")
    target = f"/archivo/{kind}/{request_id}"
    timeout_ms = 4000 if is_long else 1000
    headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Remaining", str(timeout_ms)),
    ]
    sent[request_id] = world.record.now(), node.node_id
    body = b"" if is_long else b"x"
    try:
        answer = await asyncio.wait_for(
            ask(node.address["outbound"], method, target, headers, body),
            timeout_ms / 1000 + 1,
        )
        answers[answer.status if answer else "closed"] += 1
    except (TimeoutError, OSError) as error:
        answers[type(error).__name__] += 1


async def send_traffic(world, sent: dict, answers: Counter) -> None:
    """Send requests at an even rate until the task is cancelled."""
    started_at = time.monotonic()
    number = 0
    tasks = set()
    while True:
        due = started_at + number / RATE_PER_S
        await asyncio.sleep(max(due - time.monotonic(), 0))
        node = world.nodes[number % len(world.nodes)]
        is_long = number % int(RATE_PER_S / LONG_PER_S) == 0
        task = asyncio.ensure_future(call(world, node, is_long, sent, answers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1


async def end_backends(world, old: list, new: list) -> None:
    """End the backends that the final status leaves without work, as the page says."""
    state = "active"
    while state == "active":
        await asyncio.sleep(0.05)
        state = (world.store.objects["rollouts", "archivo"]["status"] or {}).get(
            "state", "active"
        )
    world.record(f"the status is {state}")
    if state == "completed":
        for node in old:
            node.backend.stop_reports()
            node.backend.stop()
        world.record("the old backends are stopped")
        return
    await asyncio.sleep(DRAIN_AFTER_S)
    for node in new:
        node.backend.state = "draining"
        answer = await node.backend.report()
        world.record(f"{node.backend.backend_id} reports draining: {answer}")


def leader_of(world) -> object:
    """Return the node whose status of the order was stored last, by its log."""
    stored_at = {}
    for node in world.nodes:
        for line in node.logs().splitlines():
            if '"ReleaseStored"' in line:
                stored_at[node.node_id] = (json.loads(line)["time"], node)
    return max(stored_at.values(), key=lambda pair: pair[0])[1]


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    sent, answers = {}, Counter()
    bounds = {"exposure_share": EXPOSURE_SHARE, "rollback_ms": 5000}
    places = [place[:3] for place in PLACES]
    async with World(record, places, bounds=bounds) as world:
        await prepare(world)
        world.configure(
            [
                route("archivo", "unsafe", timeout_ms=1000),
                route("archivo", "safe", timeout_ms=4000, target_latency_ms=4000),
            ]
        )
        await world.start()
        traffic = asyncio.ensure_future(send_traffic(world, sent, answers))
        order = {
            "service": "archivo",
            "target_version": NEW,
            "duration_s": DURATION_S,
        }
        world.store.put("rollouts", "archivo", order)
        record(f"operator orders {order}")
        new = [node for node in world.nodes if node.backend.version == NEW]
        old = [
            node
            for node in world.nodes
            if node.service == "archivo" and node not in new
        ]
        ending = asyncio.ensure_future(end_backends(world, old, new))

        def status() -> dict:
            return world.store.objects["rollouts", "archivo"]["status"] or {}

        while status().get("share", 0) < BAD_FROM_SHARE:
            if record.now() > 60:
                raise RuntimeError("the roll-out does not advance")
            await asyncio.sleep(0.02)
        left_s = status()["remaining_s"]
        while status()["remaining_s"] == left_s:
            await asyncio.sleep(0.02)
        await asyncio.sleep(BAD_AFTER_S)
        if status()["state"] != "active":
            raise RuntimeError("the roll-out ended before the version turned bad")
        leader = leader_of(world)
        for node in new:
            node.backend.is_bad = True
        bad_from = record.now()
        record(f"{NEW} turns bad: {BAD_PART:.0%} of its answers are failures")
        await asyncio.sleep(CUT_AFTER_S)
        if HAS_TROUBLE:
            record(f"{leader.node_id}, the leader, is cut off from the store")
            world.store.cut.add(leader.store_address.partition(":")[0])
        await asyncio.sleep(CUT_S)
        world.store.cut.clear()
        stable_from = record.now() + STABILITY_S
        record("the cut ends")
        await asyncio.sleep(REST_S)
        traffic.cancel()
        ending.cancel()
        await asyncio.sleep(1.5)
        for node in world.nodes:
            for line in node.logs().splitlines():
                if '"ReleaseChanged"' in line and node is world.nodes[-1]:
                    event = json.loads(line)
                    record(
                        f"log of {node.node_id}: {event['time']} {event['state']} "
                        f"share {event['share']} revision {event['revision']}"
                    )
    bad = sorted(at for node in new for at in node.backend.bad_answers)
    # The leader that was cut off is not in touch, as sender or beside a backend.
    runs = [
        sent[request_id]
        for node in new
        if node is not leader
        for request_id in node.backend.runs
    ]
    sent_to_new = sorted(at for at, sender_id in runs if sender_id != leader.node_id)
    is_broken = False
    for counted_from, bound_s, what in (
        (0.0, ROLLBACK_S, "store undisturbed"),
        (stable_from, ROLLBACK_S + OUTER_BOUND_S, "core disturbed by the cut"),
    ):
        counted = [at for at in bad if at >= counted_from]
        late = []
        if len(counted) >= BAD_ANSWERS:
            limit = counted[BAD_ANSWERS - 1] + bound_s
            late = [at for at in sent_to_new if at > limit]
            after_s = counted[BAD_ANSWERS - 1] - bad_from
            record(
                f"{what}: answer {BAD_ANSWERS} that is bad {after_s:.2f} s after the "
                f"first failures; {len(late)} requests sent later than {bound_s} s "
                f"after it reached {NEW}"
            )
        # The second reading excuses more, so that it decides.
        is_broken = bool(late)
    per_second = Counter(int(at - bad_from) for at in sent_to_new if at >= bad_from)
    summary = (
        f"{len(bad)} bad answers, requests to {NEW} by second after it turned bad: "
        f"{dict(sorted(per_second.items()))}, status {status().get('state')}"
    )
    record(summary)
    record(f"answers {dict(answers)}")
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
