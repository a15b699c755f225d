"""Stand-ins for requesters: on a kept channel, or on a new one for each request."""

import asyncio
import time
import uuid
from dataclasses import dataclass

from standin2.http import encode, read_message, split_address


@dataclass(slots=True)
class Outcome:
    """What a requester saw of one request.

    Attributes
    ----------
    status : int
        0 if the channel ended, or nothing arrived, before a complete answer.
    elapsed_s : float
        Time from the request to the answer, or to the end of the wait.
    """

    attempt: str
    status: int
    elapsed_s: float
    retry_after_s: float = 0.0
    body: bytes = b""


class Channel:
    """A channel to the `outbound` address of a node."""

    def __init__(self, address: str, record):
        self._address = address
        self._record = record
        self._reader = self._writer = None

    async def open(self) -> None:
        """Open the channel."""
        self._reader, self._writer = await asyncio.open_connection(
            *split_address(self._address)
        )

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()

    async def send(
        self, method: str, path: str, *, time_left_ms: int, wait_s: float, body=b""
    ) -> Outcome:
        """Send a request and wait for its answer for `wait_s` at most."""
        attempt = uuid.uuid4().hex[:16]
        head = {
            "Host": "mesh.example",
            "Attempt-Id": attempt,
            "Deadline-Remaining": str(time_left_ms),
        }
        began_at = time.monotonic()
        outcome = Outcome(attempt, 0, 0.0)
        self._record("sent", attempt=attempt, node=self._address, bytes=len(body))
        try:
            async with asyncio.timeout(wait_s):
                if self._writer is None:
                    await self.open()
                self._writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
                await self._writer.drain()
                response = await read_message(self._reader)
                if response is not None:
                    outcome.status = int(response.first_line[1])
                    outcome.body = response.body
                    retry_after = response.get("retry-after", "0")
                    outcome.retry_after_s = float(retry_after)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        outcome.elapsed_s = round(time.monotonic() - began_at, 3)
        self._record(
            "answered" if outcome.status else "no answer",
            attempt=attempt,
            status=outcome.status,
            elapsed_s=outcome.elapsed_s,
        )
        return outcome


async def send_once(address: str, record, method: str, path: str, **options) -> Outcome:
    """Send one request on a channel of its own."""
    channel = Channel(address, record)
    try:
        return await channel.send(method, path, **options)
    finally:
        channel.close()
