"""Proxies between the nodes, which delay, silence or break their links."""

from random import Random

import eventlet
from eventlet.green import socket

from soak._proxy import BUFFER_BYTES, POLL_S, FaultyProxy, Mode

# Longest delay of a link in one direction without a fault.
MAX_DELAY_S = 0.05
FURTHER_DELAY_S = 0.2
KEPT_BYTES = 40


class LinkProxy(FaultyProxy):
    """Proxy for the links that other nodes open to a node.

    Each link has a constant delay, drawn from the seed and the addresses of both nodes.

    Parameters
    ----------
    target : str
        Address at which the node listens.
    proxy_by_address : dict
        Address of the proxy by the address of each node; this one is added.
    """

    def __init__(self, target: str, *, proxy_by_address: dict[str, str], seed: int):
        super().__init__(target, delay_s=FURTHER_DELAY_S, kept_bytes=KEPT_BYTES)
        self._proxy_by_address = proxy_by_address
        self._proxy_by_address[target] = self.address
        self._seed = seed
        self._silent_pairs: set = set()

    def silence_open_links(self) -> None:
        """Let the open links go silent for good; new ones work."""
        self._silent_pairs |= self._pairs

    def reset_silent_links(self) -> None:
        """Reset the silent links that the nodes have not closed."""
        while self._silent_pairs:
            self._reset(self._silent_pairs.pop())

    def _copy(self, pair, source, sink, *, is_answer: bool) -> None:
        try:
            hosts = sorted([pair.client.getpeername()[0], self.target[0]])
            delay_s = Random(f"{self._seed} {hosts}").uniform(0, MAX_DELAY_S)
            data = source.recv(BUFFER_BYTES)
            # The handshake names the address of the node that sends it.
            for address, proxy in self._proxy_by_address.items():
                data = data.replace(address.encode(), proxy.encode())
            while data:
                self._hold_back(pair, delay_s, is_answer=is_answer)
                if is_answer and self.mode is Mode.TRUNCATE:
                    sink.sendall(data[: self._kept_bytes])
                    break
                sink.sendall(data)
                data = source.recv(BUFFER_BYTES)
            else:
                # A node that ends closes its sending side first, and reads on.
                self._hold_back(pair, delay_s, is_answer=is_answer)
                sink.shutdown(socket.SHUT_WR)
                pair.ended_directions += 1
                if pair.ended_directions < 2:
                    return
        except OSError:
            self._reset(pair)
        self._close(pair)

    def _hold_back(self, pair, delay_s: float, *, is_answer: bool) -> None:
        is_delayed = self.mode is Mode.DELAY
        eventlet.sleep(delay_s + (self._delay_s if is_delayed else 0.0))
        while (
            pair in self._silent_pairs
            or self.mode is Mode.SILENT
            or (is_answer and self.mode is Mode.ONE_WAY)
        ):
            eventlet.sleep(POLL_S)
