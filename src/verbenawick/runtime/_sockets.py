"""Listening sockets of a node."""

import eventlet

from verbenawick.errors import ListenError

BACKLOG = 1024


def listen(address: str, *, backlog: int = BACKLOG):
    """Return a listening socket that no other process shares.

    eventlet sets SO_REUSEPORT by default, so that a second process could listen on the
    same address. A new process at a node's address proves that the earlier one has
    ended, which the claims of idempotency keys rely on.

    Parameters
    ----------
    address : str
        ``"ip:port"``.

    Raises
    ------
    ListenError
        The address is in use or is not one of this VM's.
    """
    host, _, port = address.rpartition(":")
    try:
        return eventlet.listen((host, int(port)), backlog=backlog, reuse_port=False)
    except OSError as error:
        raise ListenError(
            f"cannot listen on {address}: {error.strerror or error}; end the process "
            "that uses the address, or change the settings",
            step="node.listen",
            peer=address,
        ) from error
