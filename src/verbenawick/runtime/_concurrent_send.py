"""Sending of a request while its answer is being read.

A peer may answer before it has read the whole request, and close the connection or stop
reading. If the answer were read only after the request had been sent, it would be lost
or late.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from verbenawick.runtime._killable import returns_when_killed


class ConcurrentSend:
    """Progress of data that is being sent.

    Attributes
    ----------
    is_complete : bool
        Whether all data was passed to the kernel.
    error : OSError or None
        Error that ended the sending. The end of the answer is then no proof that it is
        whole, since the error that a reset causes is reported only once.
    """

    __slots__ = ("error", "is_complete")

    def __init__(self):
        self.is_complete = False
        self.error: OSError | None = None

    @returns_when_killed
    def run(self, sock, data) -> None:
        """Send `data`; blocks while the send buffer is full."""
        try:
            sock.sendall(data)
        except OSError as error:
            self.error = error
        else:
            self.is_complete = True


@contextmanager
def sending(sock, data: bytes) -> Iterator[ConcurrentSend]:
    """Send `data` on a green socket while the body of the context reads from it.

    What has not been sent at the end of the context is discarded.
    """
    send = ConcurrentSend()
    try:
        sent_bytes = sock.fd.send(data)
    except BlockingIOError:
        sent_bytes = 0
    if sent_bytes == len(data):
        # Common case, without another green thread.
        send.is_complete = True
        yield send
        return
    thread = eventlet.spawn(send.run, sock, memoryview(data)[sent_bytes:])
    try:
        yield send
    finally:
        if not send.is_complete:
            thread.kill()
