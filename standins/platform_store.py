"""Stand-in for the store of the platform: objects, lists and watches over HTTP."""

import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

import eventlet
from eventlet import wsgi
from eventlet.event import Event

HISTORY_LENGTH = 1000


@dataclass(slots=True)
class StoreFaults:
    """Faults that stay in force until the test resets them.

    Attributes
    ----------
    status : int
        HTTP status returned to every call; 0 disables the fault.
    delay_s : float
        Time that passes before a call takes effect.
    is_unresponsive : bool
        Calls get no response while it is set.
    withholds_write_responses : bool
        Writes take effect, but get no response while it is set.
    stale_revision : int
        Revision as of which lists that may be stale are answered; 0 for the current
        one.
    """

    status: int = 0
    delay_s: float = 0.0
    is_unresponsive: bool = False
    withholds_write_responses: bool = False
    stale_revision: int = 0


@dataclass(slots=True)
class StandinPlatformStore:
    """WSGI application that keeps objects in memory, by kind and name.

    Attributes
    ----------
    era : int
        Named in all answers; rises each time the store comes back from an older copy.
        Not named if 0.
    """

    revision: int = 1
    era: int = 0
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: list[tuple[str, str]] = field(default_factory=list)
    queries: list[dict[str, str]] = field(default_factory=list)
    oldest_revision: int = 0
    _objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    _history: list[tuple[int, str, dict, bool]] = field(default_factory=list)
    _change_event: Event = field(default_factory=Event)

    def serve(self, listener) -> None:
        """Serve on a listening socket until the green thread is killed."""
        wsgi.server(listener, self, log_output=False, debug=False)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object unconditionally, as an operator does; return its revision."""
        current = self._objects.get((kind, name))
        created_revision = (
            current["metadata"]["created_rev"] if current else self.revision + 1
        )
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": created_revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = item
        self._record_change(kind, item, is_deleted=False)
        return self.revision

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, or None if there is none."""
        return self._objects.get((kind, name))

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self._objects.pop((kind, name))
        self.revision += 1
        self._record_change(kind, item, is_deleted=True)

    def compact_history(self) -> None:
        """Discard the history; watches from earlier revisions get 410."""
        self._history.clear()
        self.revision += 1
        self.oldest_revision = self.revision
        self._wake_watches()

    def take_copy(self) -> tuple[int, dict[tuple[str, str], dict]]:
        """Return a copy of the store, with which it may come back."""
        return self.revision, dict(self._objects)

    def come_back(self, copy: tuple[int, dict[tuple[str, str], dict]]) -> None:
        """Lose everything that was written after `copy`."""
        self.revision, self._objects = copy[0], dict(copy[1])
        self._history = [row for row in self._history if row[0] <= self.revision]
        self.era += 1
        self._wake_watches()

    def __call__(self, environ, start_response):
        """Serve one call."""
        method = environ["REQUEST_METHOD"]
        parts = [unquote(p) for p in environ["PATH_INFO"].split("/") if p]
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        self.calls.append((method, environ["PATH_INFO"]))
        self.queries.append(query)
        while self.faults.is_unresponsive:
            eventlet.sleep(0.05)
        eventlet.sleep(self.faults.delay_s)
        if self.faults.status:
            return self._make_response(
                start_response, self.faults.status, {"error": "fault"}
            )
        if method == "GET":
            status, content = self._read(parts[1:], query)
        else:
            data = environ["wsgi.input"].read()
            body = json.loads(data) if data else {}
            status, content = self._write(method, parts[1:], query, body)
            while self.faults.withholds_write_responses:
                eventlet.sleep(0.05)
        return self._make_response(start_response, status, content)

    def _read(self, parts, query):
        kind = parts[0]
        if len(parts) == 2:
            item = self._objects.get((kind, parts[1]))
            return (200, item) if item else (404, {"error": "absent"})
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        after = query.get("after", "")
        items = [
            item
            for (item_kind, name), item in sorted(self._objects.items())
            if item_kind == kind and name > after
        ]
        revision = self.revision
        if "allow_stale" in query and self.faults.stale_revision:
            revision = self.faults.stale_revision
            items = [i for i in items if i["metadata"]["revision"] <= revision]
        return 200, {"items": items, "more": False, "current_rev": revision}

    def _watch(self, kind: str, revision: int, wait_s: float):
        with eventlet.Timeout(wait_s, False):
            while self._has_history(revision):
                if self._events_since(kind, revision):
                    break
                self._change_event.wait()
        if not self._has_history(revision):
            return 410, {"error": "gone"}
        # A change can coincide with the timeout. A response with its revision but
        # without its event would hide the change from the follower for good.
        events = self._events_since(kind, revision)
        return 200, {"events": events, "current_rev": self.revision}

    def _has_history(self, revision: int) -> bool:
        return self.oldest_revision <= revision <= self.revision

    def _events_since(self, kind: str, revision: int) -> list[dict]:
        return [
            {"object": item, "deleted": is_deleted}
            for at, item_kind, item, is_deleted in self._history
            if at > revision and item_kind == kind
        ]

    def _write(self, method, parts, query, body):
        kind = parts[0]
        metadata = body.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["name"]
        current = self._objects.get((kind, name))
        if method == "POST":
            if current:
                return 409, current
            self.put(kind, name, body.get("spec"))
            return 201, self._objects[kind, name]
        if current is None:
            return 404, {"error": "absent"}
        expected = int(query.get("revision", metadata.get("revision", 0)))
        if expected and expected != current["metadata"]["revision"]:
            return 409, current
        if parts[2:] == ["status"]:
            self._put_status(current, body.get("status"))
            return 200, self._objects[kind, name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, current
        if current["spec"] != body.get("spec"):
            self.put(kind, name, body.get("spec"))
        return 200, self._objects[kind, name]

    def _put_status(self, current: dict, status: object) -> None:
        kind = next(k for k, item in self._objects.items() if item is current)
        self.revision += 1
        metadata = {**current["metadata"], "revision": self.revision}
        item = {**current, "metadata": metadata, "status": status}
        self._objects[kind] = item
        self._record_change(kind[0], item, is_deleted=False)

    def _record_change(self, kind: str, item: dict, *, is_deleted: bool) -> None:
        self._history.append((self.revision, kind, item, is_deleted))
        del self._history[:-HISTORY_LENGTH]
        self._wake_watches()

    def _wake_watches(self) -> None:
        event, self._change_event = self._change_event, Event()
        event.send(True)

    def _make_response(self, start_response, status: int, content: object):
        body = json.dumps(content).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if self.era:
            headers.append(("Store-Era", str(self.era)))
        start_response(f"{status} Status", headers)
        return [body]
