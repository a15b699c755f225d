"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from weakref import WeakSet

STREAM_LIMIT = 1024 * 1024


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])

    @property
    def keeps_channel(self) -> bool:
        """Return whether the channel stays open after this message."""
        return self.headers.get("connection", "").lower() != "close"


@dataclass
class Reply:
    """What a server's handler answers."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def json_reply(status: int, content: object) -> Reply:
    """Return a reply with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return Reply(status, headers, json.dumps(content).encode())


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    parts = lines[0].split(" ", 2)
    start = (parts[0], parts[1], parts[2] if len(parts) > 2 else "")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a reply."""
    lines = [f"HTTP/1.1 {reply.status} Status"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    lines.append(f"Content-Length: {len(reply.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + reply.body


def encode_request(method: str, target: str, headers: dict, body: bytes) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves kept channels, one request at a time on each.

    Parameters
    ----------
    handle : callable
        Coroutine function that returns the `Reply` to a `Message`.
    """

    def __init__(self, address: str, handle: Callable[[Message], Awaitable[Reply]]):
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Begin to accept channels."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=STREAM_LIMIT, backlog=1024
        )

    def crash(self) -> None:
        """Stop listening and reset all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    reply = await self._handle(message)
                    writer.write(encode_reply(reply))
                    await writer.drain()
                    if reply.headers.get("Connection") == "close":
                        break
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


_channels: "WeakSet[Channel]" = WeakSet()


def close_channels() -> None:
    """Close all channels of requesters."""
    for channel in _channels:
        channel.close()


class Channel:
    """A requester's channel, which is opened when needed and kept while it is open."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        _channels.add(self)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the channel is open as far as this end knows."""
        return self._reader is not None and not self._reader.at_eof()

    async def request(
        self, method: str, target: str, headers: dict, body: bytes = b""
    ) -> Message:
        """Send a request and return the response; `OSError` if the channel ends."""
        if not self.is_open:
            self.close()
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port, limit=STREAM_LIMIT
            )
        try:
            self._writer.write(encode_request(method, target, headers, body))
            await self._writer.drain()
            response = await read_message(self._reader)
        except asyncio.IncompleteReadError as error:
            self.close()
            raise ConnectionResetError("channel ended without an answer") from error
        except BaseException:
            self.close()
            raise
        if not response.keeps_channel:
            self.close()
        return response

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
