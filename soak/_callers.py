"""Callers that use their connections in the ways that HTTP clients do."""

from collections import deque
from collections.abc import Callable
from http.client import HTTPException, parse_headers
from itertools import count, pairwise
from random import Random
from time import monotonic

import eventlet
from eventlet.green import socket

from soak._promises import Attempt

# The service of the routes for safe requests, and that for unsafe ones.
SERVICES = ("archive", "booking")
MAX_PAUSE_S = 0.08
CALL_TIMEOUT_S = 3.0
# A batch of several requests is pipelined.
BATCH_SIZES = (1, 1, 2, 3)
# Without a pause all requests of a batch are written at once, otherwise also while an
# answer is under way.
WRITE_PAUSES_S = (0.0, 0.0, 0.01, 0.05)
BODY_REPEATS = (0, 5, 500)
PIECES = 4

Encoding = Callable[[bytes, bytes, Random], list[bytes]]
encodings_by_name: dict[str, Encoding] = {}


def register_encoding(encoding: Encoding) -> Encoding:
    """Register a function that returns the parts in which a request is written."""
    encodings_by_name[encoding.__name__] = encoding
    return encoding


@register_encoding
def whole(head: bytes, body: bytes, random: Random) -> list[bytes]:
    """Return the request as one part."""
    return [b"%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body)]


@register_encoding
def pieces(head: bytes, body: bytes, random: Random) -> list[bytes]:
    """Return the request cut at any bytes."""
    (message,) = whole(head, body, random)
    cuts = sorted(random.sample(range(1, len(message)), PIECES - 1))
    return [message[i:j] for i, j in pairwise([0, *cuts, len(message)])]


@register_encoding
def chunked(head: bytes, body: bytes, random: Random) -> list[bytes]:
    """Return the request with a chunked body, each chunk as a part."""
    size = 1 + len(body) // PIECES
    chunks = [body[i : i + size] for i in range(0, len(body), size)]
    return [
        head + b"Transfer-Encoding: chunked\r\n\r\n",
        *(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks),
        b"0\r\n\r\n",
    ]


class CallerConnection:
    """Connection of a caller to a node."""

    def __init__(self, number: int, address: str):
        host, _, port = address.rpartition(":")
        self.number = number
        self.positions = count(1)
        self._socket = socket.create_connection((host, int(port)))
        # Small writes are not delayed until earlier ones are acknowledged.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self._socket.makefile("rb")

    def write(self, part: bytes) -> None:
        """Send a part of a request."""
        self._socket.sendall(part)

    def read_answer(self, attempt: Attempt) -> bool:
        """Read the answer to an attempt; return whether it announces the close."""
        status_line = self._file.readline()
        headers = parse_headers(self._file)
        length = int(headers.get("Content-Length", -1))
        body = self._file.read(max(length, 0))
        if len(body) != length:
            raise HTTPException("the connection ended without a whole answer")
        attempt.ended_at = monotonic()
        attempt.status, attempt.body = int(status_line.split()[1]), body
        attempt.seal = headers.get("Response-Seal", "")
        return headers.get("Connection", "").lower() == "close"

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._socket.close()


class Caller:
    """Sends batches of requests to a node, on one connection while that stays open."""

    def __init__(self, name: str, node, world):
        self._name = name
        self._node = node
        self._world = world
        self._random = Random(f"{world.seed} {name}")
        self._request_numbers = count()
        self._connection_numbers = count(1)
        self._connection: CallerConnection | None = None

    def run(self) -> None:
        """Send batches while the world is calling."""
        while self._world.is_calling:
            eventlet.sleep(MAX_PAUSE_S * self._random.random())
            try:
                self._connection = self._connection or self._connect()
            except OSError:
                continue  # the node is down
            self._send_batch(self._connection)

    def _connect(self) -> CallerConnection:
        number, address = next(self._connection_numbers), self._node.addresses["call"]
        with eventlet.Timeout(CALL_TIMEOUT_S, OSError("no connection in time")):
            return CallerConnection(number, address)

    def _send_batch(self, connection: CallerConnection) -> None:
        batch_size = self._random.choice(BATCH_SIZES)
        batch = [self._draw_request(connection) for _ in range(batch_size)]
        unanswered = deque(attempt for attempt, _ in batch)
        pause_s = self._random.choice(WRITE_PAUSES_S)
        writer = eventlet.spawn(self._write, connection, batch, pause_s)
        is_closing = is_given_up = False
        try:
            while unanswered and not is_closing:
                with eventlet.Timeout(CALL_TIMEOUT_S):
                    is_closing = connection.read_answer(unanswered[0])
                unanswered.popleft()
            if not is_closing:
                writer.wait()
                return
        except eventlet.Timeout:
            is_given_up = True
        except (OSError, HTTPException):
            pass  # the requests without an answer are checked with the history
        writer.kill()
        connection.close()
        self._connection = None
        for attempt in unanswered:
            attempt.ended_at = monotonic()
            attempt.is_given_up = is_given_up
            attempt.is_after_close = is_closing

    def _draw_request(self, connection) -> tuple[Attempt, list[bytes]]:
        """Return an attempt that was not sent yet, and the parts of its request."""
        random = self._random
        request_id = f"{self._name}-{next(self._request_numbers)}"
        is_safe = random.random() < 0.6
        method, service = ("GET", SERVICES[0]) if is_safe else ("POST", SERVICES[1])
        head = (
            f"{method} /{service}/{request_id} HTTP/1.1\r\nHost: mesh.example\r\n"
            f"Attempt-Id: {request_id}\r\nDeadline-Remaining: 2000\r\n"
        )
        repeats = 0 if is_safe else random.choice(BODY_REPEATS)
        encoding = encodings_by_name[random.choice(sorted(encodings_by_name))]
        attempt = Attempt(
            request_id,
            self._node.node_id,
            is_safe,
            connection=connection.number,
            position=next(connection.positions),
            payload=request_id.encode() * repeats,
            encoding=encoding.__name__,
        )
        return attempt, encoding(head.encode(), attempt.payload, random)

    def _write(self, connection, batch, pause_s: float) -> None:
        try:
            for attempt, parts in batch:
                attempt.sent_at = monotonic()
                self._world.history.attempts.append(attempt)
                for part in parts:
                    connection.write(part)
                    if part is not parts[-1]:
                        eventlet.sleep(pause_s)
                attempt.last_byte_at = monotonic()
                if pause_s:
                    eventlet.sleep(pause_s)
        except OSError:
            pass  # the reader sees the end of the connection as well
