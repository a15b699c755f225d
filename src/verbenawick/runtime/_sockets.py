"""Listening sockets of a node, and the state of connected ones."""

import struct
from fcntl import ioctl
from termios import TIOCOUTQ

import eventlet

from verbenawick.errors import ListenError

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024


def listen(address: str, *, backlog: int = BACKLOG):
    """Return a listening socket on an address that no other process can share.

    By default, eventlet sets SO_REUSEPORT, so that a second process could listen on the
    same address. The claims of idempotency keys rely on exclusive addresses: a new
    process at the address of a node proves that the earlier one has ended.

    Parameters
    ----------
    address : str
        ``"ip:port"``.

    Raises
    ------
    ListenError
        The address is in use or does not belong to this VM.
    """
    host, _, port = address.rpartition(":")
    try:
        return eventlet.listen((host, int(port)), backlog=backlog, reuse_port=False)
    except OSError as error:
        raise ListenError(
            f"cannot listen on {address}: {error.strerror or error}; stop the process "
            "that uses the address, or change the settings",
            step="node.listen",
            peer=address,
        ) from error


def unacknowledged_bytes(sock) -> int:
    """Return the bytes in the send buffer that the peer has not acknowledged yet.

    Raises
    ------
    OSError
        The socket is closed.
    """
    buffer = ioctl(sock.fileno(), TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", buffer)[0]
