"""HEAD requests on kept channels: bytes that belong to no answer follow."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standin3"))

from world import (  # noqa: E402
    HOST,
    Backend,
    Message,
    Record,
    World,
    encode_request,
    route,
)

METHOD = "HEAD" if os.environ.get("TROUBLE") != "0" else "GET"
PAIRS = 8
WAIT_S = 2.0


class SoundBackend(Backend):
    """A backend that answers HEAD with the head of the answer to GET alone."""

    def success(self, request: Message, request_id: str) -> bytes:
        """Return the answer of a run to a good end."""
        answer = super().success(request, request_id)
        if request.method == "HEAD":
            return answer[: answer.index(b"\r\n\r\n") + 4]
        return answer


async def read_head(reader) -> tuple[str, dict[str, str]]:
    """Return the status line and the headers of an answer."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.lower(): value.strip() for name, _, value in pairs}


async def ask_pair(world, node, first_target: str) -> bool:
    """Send a request and a GET behind its answer; return whether the rule is broken."""
    host, _, port = node.address["outbound"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    is_broken = False
    try:
        for method, target in ((METHOD, first_target), ("GET", "/archivo/safe/b")):
            request_id = world.next_id()
            headers = [
                ("Host", HOST),
                ("Attempt-Id", request_id),
                ("Deadline-Remaining", "1000"),
            ]
            world.record(f"caller sends {method} {target} {request_id}")
            writer.write(encode_request(method, target, headers))
            start, fields = await read_head(reader)
            world.record(f"caller of {request_id} gets {start!r}")
            if not start.startswith("HTTP/1.1 ") or (
                fields.get("attempt-id", request_id) != request_id
            ):
                is_broken = True
            if method != "HEAD":
                length = int(fields.get("content-length", "0"))
                body = await asyncio.wait_for(reader.readexactly(length), WAIT_S)
                world.record(f"  with {body!r}")
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        world.record(f"channel ends: {error!r}")
    writer.close()
    return is_broken


async def main() -> int:
    """Play the case and return its exit code."""
    record = Record(FOLDER / "record.txt")
    places = [
        ("andina-a", "andina", "archivo"),
        ("andina-b", "andina", "despacho"),
    ]
    async with World(record, places) as world:
        for node in world.nodes:
            node.backend.stop()
            node.backend = SoundBackend(record, node.service, slots=world.slots)
            node.backend.address = node.app_address
            node.backend.control = node.address["control"]
            await node.backend.listen(node.app_address)
        world.configure([route("archivo", "safe", timeout_ms=1000)])
        await world.start()
        node = world.nodes[0]
        # Half of them to a route that exists, half to one that was never there.
        targets = ["/archivo/safe/a", "/archivo/never/a"] * (PAIRS // 2)
        broken = [await ask_pair(world, node, target) for target in targets]
    summary = (
        f"after {sum(broken)} of {PAIRS} answers to {METHOD}, bytes that are no "
        "answer came where the next answer was due"
    )
    record(summary)
    record("rule broken" if any(broken) else "rule held")
    print(summary)
    return int(any(broken))


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
