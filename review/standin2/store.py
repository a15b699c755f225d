"""Stand-in for the platform's metadata store, with the calls that nodes make."""

import asyncio
import copy
import json
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from standin2.http import encode, read_message


class Store:
    """Objects by kind and name, with a history for watches."""

    def __init__(self):
        self.revision = 1
        self.era = 0
        self.oldest_revision = 0
        self.is_down = False
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = None
        self.address = ""

    async def start(self) -> None:
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Close all channels and the listener."""
        self._server.close()
        self.drop_channels()

    def drop_channels(self) -> None:
        """Reset all channels."""
        for writer in list(self._writers):
            writer.transport.abort()

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, None if there is none."""
        return self._objects.get((kind, name))

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator does."""
        self._put(kind, name, spec=spec)
        await self._wake()

    def take_copy(self) -> tuple[int, dict]:
        """Return a copy from which the store may come back."""
        return self.revision, copy.deepcopy(self._objects)

    async def come_back(self, saved: tuple[int, dict]) -> None:
        """Lose what was written after a copy; revisions go back."""
        self.revision, self._objects = saved[0], copy.deepcopy(saved[1])
        self._history = [row for row in self._history if row[0] <= self.revision]
        self.era += 1
        await self._wake()

    def _put(self, kind: str, name: str, **fields) -> dict:
        earlier = self._objects.get((kind, name))
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": (
                earlier["metadata"]["created_rev"] if earlier else self.revision
            ),
            "finalizers": [],
            "deleting": False,
        }
        item = {"spec": None, "status": None, **(earlier or {}), **fields}
        item["metadata"] = metadata
        self._objects[kind, name] = item
        self._history.append((self.revision, kind, item, False))
        return item

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while (request := await read_message(reader)) is not None:
                    if self.is_down:
                        writer.transport.abort()
                        return
                    status, content = await self._answer(request)
                    if self.is_down:
                        writer.transport.abort()
                        return
                    headers = {"Content-Type": "application/json"}
                    if self.era:
                        headers["Store-Era"] = str(self.era)
                    body = json.dumps(content).encode()
                    writer.write(encode(f"HTTP/1.1 {status} Status", headers, body))
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request) -> tuple[int, object]:
        method, target, _ = request.first_line
        url = urlsplit(target)
        parts = [unquote(part) for part in url.path.split("/") if part][1:]
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if method == "GET":
            return await self._read(parts, query)
        body = json.loads(request.body) if request.body else {}
        answer = self._write(method, parts, query, body)
        await self._wake()
        return answer

    async def _read(self, parts, query) -> tuple[int, object]:
        kind = parts[0]
        if len(parts) == 2:
            item = self._objects.get((kind, parts[1]))
            return (200, item) if item else (404, {"error": "absent"})
        if "watch" in query:
            wait_s = int(query.get("wait_ms", "0")) / 1000
            return await self._watch(kind, int(query["watch"]), wait_s)
        items = [
            item
            for (item_kind, name), item in sorted(self._objects.items())
            if item_kind == kind and name > query.get("after", "")
        ]
        return 200, {"items": items, "more": False, "current_rev": self.revision}

    async def _watch(self, kind, revision, wait_s) -> tuple[int, object]:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        not self.oldest_revision <= revision <= self.revision
                        or self._events(kind, revision)
                    )
                )
        if not self.oldest_revision <= revision <= self.revision:
            return 410, {"error": "gone"}
        events = self._events(kind, revision)
        return 200, {"events": events, "current_rev": self.revision}

    def _events(self, kind, revision) -> list[dict]:
        return [
            {"object": item, "deleted": is_deleted}
            for at, item_kind, item, is_deleted in self._history
            if at > revision and item_kind == kind
        ]

    def _write(self, method, parts, query, body) -> tuple[int, object]:
        kind = parts[0]
        metadata = body.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["name"]
        current = self._objects.get((kind, name))
        if method == "POST":
            if current is not None:
                return 409, current
            return 201, self._put(kind, name, spec=body.get("spec"))
        if current is None:
            return 404, {"error": "absent"}
        expected = int(query.get("revision", metadata.get("revision", 0)))
        if expected and expected != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            del self._objects[kind, name]
            self.revision += 1
            self._history.append((self.revision, kind, current, True))
            return 200, current
        field = "status" if parts[2:] == ["status"] else "spec"
        if current[field] == body.get(field):
            return 200, current
        return 200, self._put(kind, name, **{field: body.get(field)})
