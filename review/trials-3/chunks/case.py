"""A body in very small chunks: other callers of the node wait until it is read."""

import asyncio
import os
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standin3"))

from world import (  # noqa: E402
    HOST,
    Record,
    World,
    encode_request,
    read_answer,
    route,
)

BODY_BYTES = 4_000_000
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
CHUNK_BYTES = 1 if HAS_TROUBLE else 16_384
CALLERS = 24
TIMEOUT_S = 1.0
# The rule: no final answer half a second after the timeout of the route.
ANSWERED_WITHIN_S = TIMEOUT_S + 0.5
PATIENCE_S = 3.0
TRAFFIC_S = 25.0
UPLOAD_AT_S = 4.0
MIN_UNANSWERED = 8
MIN_SHARE = 0.25


async def upload(world, node) -> None:
    """Send one unsafe request whose body comes in chunks."""
    await asyncio.sleep(UPLOAD_AT_S)
    host, _, port = node.address["outbound"].rpartition(":")
    request_id = world.next_id()
    headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Remaining", "20000"),
        ("Transfer-Encoding", "chunked"),
    ]
    chunk = b"%x\r\n" % CHUNK_BYTES + b"a" * CHUNK_BYTES + b"\r\n"
    piece = chunk * max(65_536 // len(chunk), 1)
    left = BODY_BYTES // CHUNK_BYTES
    per_piece = len(piece) // len(chunk)
    reader, writer = await asyncio.open_connection(host, int(port))
    world.record(f"caller sends {request_id}, {BODY_BYTES} bytes by {CHUNK_BYTES}")

    async def send() -> None:
        nonlocal left
        writer.write(encode_request("POST", "/despacho/unsafe/x", headers))
        while left:
            count = min(left, per_piece)
            writer.write(chunk * count)
            await writer.drain()
            left -= count
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    sending = asyncio.ensure_future(send())
    answer = await read_answer(reader)
    sending.cancel()
    with suppress(asyncio.CancelledError, OSError):
        await sending
    writer.close()
    world.record(f"caller of {request_id} gets {answer and answer.status}")


async def call(world, node, number: int, ends_at: float, waits: list) -> None:
    """Send safe requests on kept channels, and note how long each is unanswered."""
    host, _, port = node.address["outbound"].rpartition(":")
    channel = None
    while time.monotonic() < ends_at:
        request_id = world.next_id()
        headers = [
            ("Host", HOST),
            ("Attempt-Id", request_id),
            ("Deadline-Remaining", str(int(PATIENCE_S * 1000))),
        ]
        started_at = time.monotonic()
        try:
            if channel is None:
                channel = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1.0
                )
            target = f"/archivo/safe/{number}"
            channel[1].write(encode_request("GET", target, headers))
            answer = await asyncio.wait_for(read_answer(channel[0]), PATIENCE_S)
            status = answer.status if answer else "closed"
        except (TimeoutError, OSError) as error:
            status, answer = type(error).__name__, None
        if answer is None and channel is not None:
            channel[1].close()
            channel = None
        waited_s = time.monotonic() - started_at
        waits.append((waited_s, status))
        if waited_s > TIMEOUT_S or status != 200:
            world.record(f"caller of {request_id} gets {status} after {waited_s:.2f} s")
        await asyncio.sleep(0.15)


async def ask_readiness(world, node, misses: list) -> None:
    """Ask each second whether the node is ready, as the platform does."""
    while True:
        if not await node.is_ready():
            misses.append(world.record.now())
            world.record(f"{node.node_id} misses the question for readiness")
        await asyncio.sleep(1.0)


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    places = [
        ("andina-a", "andina", "archivo"),
        ("andina-b", "andina", "despacho"),
        ("andina-b", "andina", "archivo"),
    ]
    waits, misses = [], []
    async with World(record, places) as world:
        world.configure(
            [
                route("archivo", "safe", timeout_ms=int(TIMEOUT_S * 1000)),
                route("despacho", "unsafe", timeout_ms=20_000),
            ]
        )
        await world.start()
        node = world.nodes[0]
        ends_at = time.monotonic() + TRAFFIC_S
        readiness = asyncio.ensure_future(ask_readiness(world, node, misses))
        calls = [call(world, node, n, ends_at, waits) for n in range(CALLERS)]
        await asyncio.gather(upload(world, node), *calls)
        readiness.cancel()
    late = [waited for waited, _ in waits if waited > TIMEOUT_S]
    unanswered = [waited for waited in late if waited > ANSWERED_WITHIN_S]
    summary = (
        f"{len(waits)} requests, {len(late)} longer than {TIMEOUT_S} s, "
        f"{len(unanswered)} of these without an answer at {ANSWERED_WITHIN_S} s, "
        f"longest {max(waited for waited, _ in waits):.2f} s, "
        f"{len(misses)} questions for readiness missed"
    )
    is_broken = len(unanswered) >= MIN_UNANSWERED and len(unanswered) > MIN_SHARE * len(
        late
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
