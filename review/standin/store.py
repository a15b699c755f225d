"""Stand-in for the platform's store: objects, lists and watches."""

import asyncio
import json
from dataclasses import dataclass
from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

from standin.http import HttpServer, Message, Reply, json_reply

# How long the store keeps its history, seconds.
HISTORY_S = 20.0


@dataclass
class _Event:
    at: float
    revision: int
    kind: str
    name: str
    item: dict
    encoded: str
    is_deleted: bool


class Store:
    """Keeps objects by kind and name.

    Attributes
    ----------
    stale_s : float
        How far behind the lists are that may be stale, seconds. All other answers are
        linearizable.
    """

    def __init__(self, address: str):
        self._server = HttpServer(address, self._handle)
        self.stale_s = 0.0
        self.revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[_Event] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    def crash(self) -> None:
        """Close all sockets."""
        self._server.crash()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object unconditionally, as the operator does."""
        current = self._objects.get((kind, name))
        self.revision += 1
        created = current["metadata"]["created_rev"] if current else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = item
        self._add_event(kind, item, is_deleted=False)
        return item

    def remove(self, kind: str, name: str) -> dict:
        """Remove an object."""
        item = self._objects.pop((kind, name))
        self.revision += 1
        self._add_event(kind, item, is_deleted=True)
        return item

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, None if there is none."""
        return self._objects.get((kind, name))

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(n for k, n in self._objects if k == kind)

    def kinds(self) -> set[str]:
        """Return the kinds of all objects."""
        return {kind for kind, _ in self._objects}

    def _add_event(self, kind: str, item: dict, *, is_deleted: bool) -> None:
        self._history.append(
            _Event(
                monotonic(),
                self.revision,
                kind,
                item["metadata"]["name"],
                item,
                json.dumps(item),
                is_deleted,
            )
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, message: Message) -> Reply:
        parts = urlsplit(message.target)
        path = [unquote(part) for part in parts.path.split("/") if part][1:]
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        if message.method == "GET":
            if len(path) == 2:
                item = self._objects.get((path[0], path[1]))
                return json_reply(200, item) if item else json_reply(404, {})
            if "watch" in query:
                return await self._watch(path[0], query)
            return self._list(path[0], query)
        return self._write(message, path, query)

    def _list(self, kind: str, query: dict) -> Reply:
        objects, revision = self._objects, self.revision
        if "allow_stale" in query and self.stale_s:
            objects, revision = self._objects_at(monotonic() - self.stale_s)
        items = [
            item
            for (item_kind, name), item in sorted(objects.items())
            if item_kind == kind and name > query.get("after", "")
        ]
        listing = {"items": items, "more": False, "current_rev": revision}
        return json_reply(200, listing)

    def _objects_at(self, time: float) -> tuple[dict, int]:
        """Return the objects and the revision at an earlier time."""
        objects: dict[tuple[str, str], dict] = {}
        revision = 1
        for event in self._history:
            if event.at > time:
                break
            revision = event.revision
            key = event.kind, event.name
            if event.is_deleted:
                objects.pop(key, None)
            else:
                objects[key] = event.item
        return objects, revision

    async def _watch(self, kind: str, query: dict) -> Reply:
        revision = int(query["watch"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["wait_ms"]) / 1000
        while not self._events(kind, revision) and loop.time() < deadline:
            try:
                await asyncio.wait_for(self._changed.wait(), deadline - loop.time())
            except TimeoutError:
                break
        kept_from = monotonic() - HISTORY_S
        if any(e.revision > revision and e.at < kept_from for e in self._history):
            return json_reply(410, {})
        events = ",".join(
            f'{{"object":{e.encoded},"deleted":{json.dumps(e.is_deleted)}}}'
            for e in self._events(kind, revision)
        )
        body = f'{{"events":[{events}],"current_rev":{self.revision}}}'.encode()
        return Reply(200, {"Content-Type": "application/json"}, body)

    def _events(self, kind: str, revision: int) -> list[_Event]:
        return [e for e in self._history if e.revision > revision and e.kind == kind]

    def _write(self, message: Message, path: list[str], query: dict) -> Reply:
        body = json.loads(message.body) if message.body else {}
        metadata = body.get("metadata", {})
        kind = path[0]
        name = path[1] if len(path) > 1 else metadata["name"]
        current = self._objects.get((kind, name))
        if message.method == "POST":
            if current:
                return json_reply(409, current)
            return json_reply(201, self.put(kind, name, body.get("spec")))
        if current is None:
            return json_reply(404, {})
        expected = int(query.get("revision", metadata.get("revision", 0)))
        if expected and expected != current["metadata"]["revision"]:
            return json_reply(409, current)
        if message.method == "DELETE":
            return json_reply(200, self.remove(kind, name))
        if current["spec"] != body.get("spec"):
            current = self.put(kind, name, body.get("spec"))
        return json_reply(200, current)
