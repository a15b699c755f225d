"""HTTP/1.1 messages over asyncio streams, for the stand-ins."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Message:
    """A request or a response."""

    first_line: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header, given its lower-case name."""
        return self.headers.get(name, default)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message; None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = data.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the head announces."""
    if message.get("transfer-encoding").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        message.body = b"".join(parts)
    elif length := int(message.get("content-length", "0")):
        message.body = await reader.readexactly(length)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at the end of the stream."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def exchange(
    address: str,
    first_line: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 2.0,
) -> Message:
    """Send a request on a new channel and return the response.

    Raises
    ------
    OSError, TimeoutError, asyncio.IncompleteReadError
        There is no complete response.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            writer.write(encode(first_line, headers, body))
            await writer.drain()
            response = await read_message(reader)
        finally:
            writer.close()
    if response is None:
        raise ConnectionResetError("the channel ended without a response")
    return response
