"""Stand-in for the platform's object API (docs/design.md, section 2.3).

Run it with ``python -m standins.store --address IP:PORT``. Versions are store-wide
revisions. `POST /standin/faults` takes a JSON object with any of `outage` (bool),
`slowness_ms`, `lost_answers` and `stale_reads`; `GET /standin/counters` returns the
number of calls by kind, the number of waiting watches and the bytes by client.
"""

if __name__ == "__main__":
    import eventlet

    eventlet.monkey_patch()

import argparse
import base64
import json
import threading
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import takewhile
from urllib.parse import parse_qs

import eventlet
import eventlet.event
import eventlet.wsgi
from eventlet.green import socket

from verbenawick.runtime._clock import Clock, MonotonicClock
from verbenawick.runtime._sockets import listen

MAX_VALUE_BYTES = 1_000_000
HISTORY_LENGTH = 4096
# The baseline of the benchmarks keeps a watch open for each of its 1,300 nodes.
MAX_CONNECTIONS = 8192
BACKLOG = 2048
STOP_POLL_S = 0.02
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    410: "410 Gone",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    503: "503 Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """Value of an object at one version; version 0 means that it is absent."""

    value: bytes = b""
    version: int = 0
    written_at: float = 0.0


@dataclass(slots=True)
class Faults:
    """Faults in force.

    Attributes
    ----------
    outage : bool
        Calls are answered with 503.
    slowness_ms : float
        Delay added to each call.
    lost_answers : int
        Number of further writes that take effect, but whose responses are lost.
    stale_reads : int
        Number of further reads and lists that return the previous versions.
    """

    outage: bool = False
    slowness_ms: float = 0.0
    lost_answers: int = 0
    stale_reads: int = 0


@dataclass(slots=True)
class Response:
    """HTTP response; if lost, the connection is closed instead of sending it."""

    status: int = 200
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    is_lost: bool = False


def _json_response(value: object, status: int = 200) -> Response:
    return Response(status, json.dumps(value).encode())


class ObjectStore:
    """Objects with their revisions, and the bounded history that watches read.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of objects.
    history_length : int
        Number of changes that watches can catch up on.
    """

    def __init__(self, clock: Clock, *, history_length: int = HISTORY_LENGTH):
        self.revision = 0
        self._clock = clock
        self._entries_by_key: dict[str, StoreEntry] = {}
        self._previous_entries_by_key: dict[str, StoreEntry] = {}
        self._history: deque[tuple[int, str]] = deque(maxlen=history_length)

    def get(self, key: str, *, is_stale: bool = False) -> StoreEntry:
        """Return the entry of a key, or its previous entry for a stale read."""
        entries = self._previous_entries_by_key if is_stale else self._entries_by_key
        return entries.get(key, StoreEntry())

    def write(self, key: str, value: bytes | None, expected_version: int) -> StoreEntry:
        """Write (None: delete) if the version matches; return the resulting entry.

        The write took effect if and only if it changed the revision of the store.
        """
        current = self.get(key)
        if current.version != expected_version or (
            value is None and not current.version
        ):
            return current
        self.revision += 1
        self._previous_entries_by_key[key] = current
        self._history.append((self.revision, key))
        if value is None:
            self._entries_by_key.pop(key, None)
        else:
            self._entries_by_key[key] = StoreEntry(
                value, self.revision, self._clock.now()
            )
        return self.get(key)

    def describe(self, key: str, entry: StoreEntry) -> dict:
        """Return the JSON form of an entry in `GET /list` and `GET /watch`."""
        if not entry.version:
            return {"key": key, "version": 0, "deleted": True}
        return {
            "key": key,
            "version": entry.version,
            "age_ms": self.age_ms(entry),
            "value": base64.b64encode(entry.value).decode(),
        }

    def age_ms(self, entry: StoreEntry) -> int:
        """Return the milliseconds since the entry was written."""
        return int((self._clock.now() - entry.written_at) * 1000)

    def list_objects(self, prefix: str, *, is_stale: bool = False) -> dict:
        """Return the objects whose keys start with a prefix, and the revision."""
        keys = sorted(key for key in self._entries_by_key if key.startswith(prefix))
        entries = [(key, self.get(key, is_stale=is_stale)) for key in keys]
        objects = [self.describe(key, entry) for key, entry in entries if entry.version]
        return {"revision": self.revision, "objects": objects}

    def covers_changes_after(self, after: int) -> bool:
        """Return whether the history has all changes after a revision."""
        return after <= self.revision <= after + len(self._history)

    def changes(self, prefixes: list[str], after: int) -> dict:
        """Return the current state of the objects changed after a revision."""
        # Newest first, to scan only the changes after the revision: each write wakes
        # every waiting watch.
        recent = takewhile(lambda item: item[0] > after, reversed(self._history))
        keys = {key for _, key in recent if key.startswith(tuple(prefixes))}
        objects = [self.describe(key, self.get(key)) for key in sorted(keys)]
        return {"revision": self.revision, "objects": objects}


class StoreApplication:
    """WSGI application of the stand-in.

    Parameters
    ----------
    delays_ms_by_prefix : dict of str to float
        Added one-way delay in milliseconds by prefix of the client's IP address.
    """

    def __init__(
        self,
        store: ObjectStore,
        *,
        delays_ms_by_prefix: dict[str, float] | None = None,
    ):
        self.store = store
        self.faults = Faults()
        self.calls_by_kind: Counter[str] = Counter()
        self.bytes_by_client: dict[str, list[int]] = {}
        self._delays_ms_by_prefix = delays_ms_by_prefix or {}
        self._waiting: set[eventlet.event.Event] = set()

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path.startswith("/standin/"):
            return self._send(environ, start_response, self._handle_control(path, body))
        client = environ["REMOTE_ADDR"]
        delay_s = self._delay_s(client)
        eventlet.sleep(delay_s + self.faults.slowness_ms / 1000)
        response = self._handle(environ, path, body)
        eventlet.sleep(delay_s)
        byte_counts = self.bytes_by_client.setdefault(client, [0, 0])
        byte_counts[0] += len(body)
        byte_counts[1] += len(response.body)
        return self._send(environ, start_response, response)

    def _delay_s(self, client: str) -> float:
        for prefix, delay_ms in self._delays_ms_by_prefix.items():
            if client.startswith(prefix):
                return delay_ms / 1000
        return 0.0

    def _send(self, environ, start_response, response: Response):
        if response.is_lost:
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
        length = ("Content-Length", str(len(response.body)))
        start_response(STATUS_LINES[response.status], [length, *response.headers])
        return [response.body]

    def _handle_control(self, path: str, body: bytes) -> Response:
        if path == "/standin/counters":
            return _json_response(self.counters())
        if path != "/standin/faults":
            return Response(404)
        for name, value in json.loads(body).items():
            setattr(self.faults, name, value)
        if self.faults.outage:
            self._wake_watches()
        return Response()

    def counters(self) -> dict:
        """Return calls by kind, waiting watches and body bytes (in, out) by client."""
        return {
            **{kind: 0 for kind in ("get", "put", "delete", "list", "watch")},
            **self.calls_by_kind,
            "waiting": len(self._waiting),
            "bytes_by_client": self.bytes_by_client,
        }

    def _handle(self, environ, path: str, body: bytes) -> Response:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        method = environ["REQUEST_METHOD"]
        kind = path[1:] if path in ("/list", "/watch") else method.lower()
        self.calls_by_kind[kind] += 1
        if self.faults.outage:
            return Response(503)
        try:
            if path == "/list":
                return self._list(query)
            if path == "/watch":
                return self._watch(query)
            key = path.removeprefix("/objects/")
            if method == "GET":
                return self._get(key)
            expected = int(environ["HTTP_IF_OBJECT_VERSION"])
        except (KeyError, ValueError) as error:
            return Response(400, f"missing or invalid: {error}".encode())
        if len(body) > MAX_VALUE_BYTES:
            return Response(413)
        return self._write(key, body if method == "PUT" else None, expected)

    def _get(self, key: str) -> Response:
        entry = self.store.get(key, is_stale=self._consume_stale_read())
        if not entry.version:
            return Response(404)
        headers = [
            ("Object-Version", str(entry.version)),
            ("Object-Age-Ms", str(self.store.age_ms(entry))),
        ]
        return Response(200, entry.value, headers)

    def _consume_stale_read(self) -> bool:
        if not self.faults.stale_reads:
            return False
        self.faults.stale_reads -= 1
        return True

    def _write(self, key: str, value: bytes | None, expected: int) -> Response:
        revision = self.store.revision
        entry = self.store.write(key, value, expected)
        headers = [("Object-Version", str(entry.version))]
        if self.store.revision == revision:
            return Response(412, headers=headers)
        self._wake_watches()
        is_lost = self.faults.lost_answers > 0
        self.faults.lost_answers -= is_lost
        return Response(200, headers=headers, is_lost=is_lost)

    def _list(self, query: dict) -> Response:
        is_stale = self._consume_stale_read()
        return _json_response(
            self.store.list_objects(query["prefix"][0], is_stale=is_stale)
        )

    def _watch(self, query: dict) -> Response:
        after = int(query["after"][0])
        wait_s = int(query["wait_ms"][0]) / 1000
        with eventlet.Timeout(wait_s, False):
            while self._should_wait(query["prefix"], after):
                self._wait_for_write()
        if self.faults.outage:
            return Response(503)
        if not self.store.covers_changes_after(after):
            return _json_response({"revision": self.store.revision}, 410)
        return _json_response(self.store.changes(query["prefix"], after))

    def _should_wait(self, prefixes: list[str], after: int) -> bool:
        return (
            not self.faults.outage
            and self.store.covers_changes_after(after)
            and not self.store.changes(prefixes, after)["objects"]
        )

    def _wait_for_write(self) -> None:
        event = eventlet.event.Event()
        self._waiting.add(event)
        try:
            event.wait()
        finally:
            self._waiting.discard(event)

    def _wake_watches(self) -> None:
        waiting, self._waiting = self._waiting, set()
        for event in waiting:
            event.send()


def serve(application: StoreApplication, listener) -> None:
    """Serve on a listening socket until the green thread is killed."""
    eventlet.wsgi.server(
        listener, application, max_size=MAX_CONNECTIONS, log_output=False, debug=False
    )


@contextmanager
def running_store(
    application: StoreApplication, *, address: str = "127.0.0.1:0"
) -> Iterator[str]:
    """Serve in a thread with its own event loop; yield the address.

    The caller may use blocking sockets, whether patched by eventlet or not.
    """
    listener = listen(address, backlog=BACKLOG)
    host, port = listener.getsockname()
    stopping = threading.Event()

    def run():
        server = eventlet.spawn(serve, application, listener)
        while not stopping.is_set():
            eventlet.sleep(STOP_POLL_S)
        server.kill()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield f"{host}:{port}"
    finally:
        stopping.set()
        thread.join()
        listener.close()


def _parse_delay(text: str) -> tuple[str, float]:
    prefix, _, delay_ms = text.partition("=")
    return prefix, float(delay_ms)


def main() -> None:
    """Run the stand-in until its process is terminated."""
    parser = argparse.ArgumentParser(prog="python -m standins.store")
    parser.add_argument("--address", required=True, metavar="IP:PORT")
    parser.add_argument(
        "--delay",
        action="append",
        default=[],
        type=_parse_delay,
        metavar="PREFIX=MS",
        help="one-way delay, added in each direction, for client IPs with PREFIX",
    )
    arguments = parser.parse_args()
    application = StoreApplication(
        ObjectStore(MonotonicClock()), delays_ms_by_prefix=dict(arguments.delay)
    )
    serve(application, listen(arguments.address, backlog=BACKLOG))


if __name__ == "__main__":
    main()
