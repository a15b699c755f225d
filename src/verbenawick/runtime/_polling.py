"""Non-blocking polling of sockets without the hub.

eventlet's monkey patching removes ``select.poll``, since a blocking poll would stop all
green threads. The polls here use the original module and return immediately.
"""

from collections.abc import Iterable

from eventlet.patcher import original

_select = original("select")

_CLOSE_EVENTS = _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR | _select.POLLNVAL


def is_readable(fileno: int) -> bool:
    """Return whether a read would return bytes or end of file immediately."""
    poll = _select.poll()
    poll.register(fileno, _select.POLLIN | _select.POLLHUP)
    return bool(poll.poll(0))


def readable(filenos: Iterable[int]) -> list[int]:
    """Return the file descriptors that have bytes, or an end of file, to read."""
    poll = _select.poll()
    for fileno in filenos:
        poll.register(fileno, _select.POLLIN)
    return [fileno for fileno, _ in poll.poll(0)]


def closed_by_peer(filenos: Iterable[int]) -> list[int]:
    """Return the file descriptors whose peer closed the connection."""
    poll = _select.poll()
    for fileno in filenos:
        poll.register(fileno, _select.POLLRDHUP)
    return [fileno for fileno, events in poll.poll(0) if events & _CLOSE_EVENTS]
