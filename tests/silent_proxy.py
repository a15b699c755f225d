"""TCP proxy whose connections can go silent without a reset, or carry data late."""

from contextlib import suppress

import eventlet
from eventlet.green import socket

CHUNK_BYTES = 65_536


class SilentProxy:
    """Forwards connections to an address; must be closed at the end of the test.

    Attributes
    ----------
    delay_s : float
        Time for which data is held back, in each direction.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.delay_s = 0.0
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._accepting = eventlet.spawn(self._accept)
        self._forwarders = []
        self._sockets = []

    def silence(self) -> None:
        """Let all open connections go silent; new ones work."""
        while self._forwarders:
            self._forwarders.pop().kill()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._accepting.kill()
        self._listener.close()
        self.silence()
        for sock in self._sockets:
            sock.close()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection(self._target)
            # With Nagle's algorithm, an answer could wait some 40 ms for an
            # acknowledgement, and miss a deadline that the node met.
            for sock in (client, server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets += [client, server]
            self._forwarders += [
                eventlet.spawn(self._forward, client, server),
                eventlet.spawn(self._forward, server, client),
            ]

    def _forward(self, source, target) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                eventlet.sleep(self.delay_s)
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
