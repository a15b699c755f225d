"""Stand-in for a backend: runs requests in its slots and reports its status."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress

from standin2.http import Message, encode, exchange, read_body, read_head


class Backend:
    """One backend process.

    Parameters
    ----------
    record : callable
        Called with an event and its fields.
    work_s : callable
        Returns how long the work of a request takes, in seconds.
    """

    def __init__(
        self,
        backend_id: str,
        service: str,
        *,
        record: Callable[..., None],
        work_s: Callable[[Message], float],
        slots: int = 5,
        queue: int = 20,
        born_ms: int = 1,
    ):
        self.backend_id = backend_id
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.born_ms = born_ms
        self.said: dict[str, str] = {}
        self.state = "ready"
        self.sequence = 0
        self.running = self.waiting = 0
        self.address = ""
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Serve on a port of the loopback address, a free one by default."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """End as a crash would."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def next_report(self) -> dict:
        """Return the next status report."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def deliver(self, control: str, content: dict) -> int:
        """Send a status report to the node; return the status, 0 without an answer."""
        return await self._call(control, "PUT", json.dumps(content).encode())

    async def report(self, control: str) -> int:
        """Send the next status report to the node."""
        return await self.deliver(control, self.next_report())

    async def leave(self, control: str) -> int:
        """Tell the node that this backend leaves."""
        return await self._call(control, "DELETE", b"")

    async def _call(self, control: str, method: str, body: bytes) -> int:
        try:
            response = await exchange(
                control,
                f"{method} /instances/{self.backend_id} HTTP/1.1",
                {"Host": control, "Content-Type": "application/json"},
                body,
                timeout_s=1.0,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return int(response.first_line[1])

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while (request := await read_head(reader)) is not None:
                    await read_body(reader, request)
                    writer.write(await self._answer(request))
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        load = f"{self.running},{self.waiting},{self.slots}"
        headers = {"Server-Load": load, **self.said}
        if request.first_line[1] == "/health":
            status = "200 OK" if self.state == "ready" else "503 Draining"
            headers["Instance-Id"] = self.backend_id
            return encode(f"HTTP/1.1 {status}", headers)
        attempt = request.get("attempt-id")
        headers["Attempt-Id"] = attempt
        if request.get("target-instance", self.backend_id) != self.backend_id:
            headers |= {"Not-Executed": "1", "Instance-Id": self.backend_id}
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if self._free.locked() and self.waiting >= self.queue:
            headers["Not-Executed"] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", headers)
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.record("run", attempt=attempt, backend=self.backend_id)
        try:
            await asyncio.sleep(self.work_s(request))
        finally:
            self.running -= 1
            self._free.release()
        body = f"{request.first_line[0]} {request.first_line[1]} ".encode()
        body += str(len(request.body)).encode()
        headers["Server-Load"] = f"{self.running},{self.waiting},{self.slots}"
        headers |= self.said
        headers["Response-Seal"] = f"seal-{attempt}"
        return encode("HTTP/1.1 200 OK", headers, body)
