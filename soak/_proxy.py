"""Loopback TCP proxy that disturbs the connections through it."""

import struct
from dataclasses import dataclass, field
from enum import StrEnum

import eventlet
from eventlet.green import socket

BUFFER_BYTES = 65_536
POLL_S = 0.02
# Closes a socket with a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(StrEnum):
    """How the proxy treats its connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"  # nothing is forwarded in either direction
    ONE_WAY = "one way"  # requests arrive, answers do not
    RESET = "reset"
    TRUNCATE = "truncate"  # each answer ends after a few bytes


class FaultyProxy:
    """Forwards connections to `target`; `mode` applies to open connections as well."""

    def __init__(self, target: str, *, delay_s: float = 0.2, kept_bytes: int = 40):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = Mode.PASS
        self._delay_s = delay_s
        self._kept_bytes = kept_bytes
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._pairs: set[_Pair] = set()
        self._thread = eventlet.spawn(self._accept)

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; `Mode.RESET` also resets the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            self.reset_connections()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._thread.kill()
        self._listener.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for pair in list(self._pairs):
            self._reset(pair)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = socket.socket()
            pair = _Pair(client, server)
            self._pairs.add(pair)
            try:
                if self.mode is Mode.RESET:
                    raise ConnectionResetError
                server.connect(self.target)
            except OSError:
                self._reset(pair)
                continue
            pair.threads = [
                eventlet.spawn(self._copy, pair, client, server, is_answer=False),
                eventlet.spawn(self._copy, pair, server, client, is_answer=True),
            ]

    def _copy(self, pair, source, sink, *, is_answer: bool) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                while self.mode is Mode.SILENT or (
                    is_answer and self.mode is Mode.ONE_WAY
                ):
                    eventlet.sleep(POLL_S)
                if self.mode is Mode.DELAY:
                    eventlet.sleep(self._delay_s)
                if is_answer and self.mode is Mode.TRUNCATE:
                    sink.sendall(data[: self._kept_bytes])
                    break
                sink.sendall(data)
        except OSError:
            pass  # the peer reset the connection, which ends it as well
        self._close(pair)

    def _reset(self, pair: "_Pair") -> None:
        if pair not in self._pairs:
            return
        for sock in (pair.client, pair.server):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._close(pair)

    def _close(self, pair: "_Pair") -> None:
        if pair not in self._pairs:
            return
        self._pairs.discard(pair)
        for thread in pair.threads:
            # eventlet raises an error in a green thread whose socket is closed.
            if thread is not eventlet.getcurrent():
                thread.kill()
        pair.client.close()
        pair.server.close()


@dataclass(eq=False, slots=True)
class _Pair:
    """The sockets of a connection and the green threads that copy between them."""

    client: object
    server: object
    threads: list = field(default_factory=list)
    ended_directions: int = 0
