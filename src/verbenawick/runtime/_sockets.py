"""Listening sockets of a node, and the state of connected ones."""

import errno
import os
import struct
from dataclasses import dataclass
from fcntl import ioctl
from termios import TIOCOUTQ

import eventlet
from eventlet.green import socket

from verbenawick.errors import ListenError
from verbenawick.runtime._events import Event, emit, register_event

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Interval of the tries to accept a connection while the process lacks resources for it.
ACCEPT_RETRY_INTERVAL_S = 0.05
# Lack of descriptors or memory; the connection keeps waiting.
_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors of the connection that would have been accepted, see accept(2).
_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
    }
)


@register_event(105, level="WARNING")
@dataclass(frozen=True, slots=True)
class AcceptFailed(Event):
    """A connection could not be accepted; the listener continues."""

    address: str
    reason: str


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


def is_used(address: str) -> bool:
    """Return whether another socket prevents listening on an address."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False


def accept(sock, *, waits: bool = True):
    """Return the next connection of a listening green socket and its address.

    Continues after the errors of a single connection, and waits while the process has
    no descriptors or memory left. The loop that calls it would otherwise end, and with
    it the listener.

    Parameters
    ----------
    waits : bool
        Whether to wait for descriptors and memory.

    Raises
    ------
    OSError
        The listening socket is closed or invalid, or resources are missing and `waits`
        is false.
    """
    is_logged = False
    while True:
        try:
            return sock.accept()
        except OSError as error:
            lacks_resources = error.errno in _RESOURCE_ERRORS
            if lacks_resources and not waits:
                raise
            if not lacks_resources and error.errno not in _CONNECTION_ERRORS:
                raise
            if not is_logged:
                is_logged = True
                host, port = sock.getsockname()[:2]
                emit(AcceptFailed(f"{host}:{port}", error.strerror))
            if lacks_resources:
                eventlet.sleep(ACCEPT_RETRY_INTERVAL_S)


def unacknowledged_bytes(sock) -> int:
    """Return the bytes in the send buffer that the peer has not acknowledged yet.

    Raises
    ------
    OSError
        The socket is closed.
    """
    fileno = sock.fileno()
    if fileno < 0:
        raise OSError(errno.EBADF, os.strerror(errno.EBADF))
    buffer = ioctl(fileno, TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", buffer)[0]
