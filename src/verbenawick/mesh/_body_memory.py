"""Limit on the request bodies that a node holds in memory.

A body that is forwarded exists several times: as received, as part of a message and as
bytes of a link. The limit keeps these copies within the memory of a node.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from verbenawick.calls._http_messages import read_body
from verbenawick.errors import (
    BodiesFullError,
    BodyNotCarriedError,
    CallNotRunError,
    RequestTooLargeError,
)
from verbenawick.links._call_messages import MAX_MESSAGE_BODY_BYTES
from verbenawick.mesh._model import RequestLimits

# All bodies together.
MAX_HELD_BYTES = 4 * MAX_MESSAGE_BODY_BYTES
# Size up to which a body is not refused for the size of the others.
SMALL_BODY_BYTES = 64 * 1024
# Delay after which a refused body may be tried again, seconds.
RETRY_AFTER_S = 0.5


class BodyMemory:
    """Counts the bytes of the bodies that are being received or whose calls run."""

    def __init__(self):
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are reserved now."""
        return self._held_bytes

    @contextmanager
    def reservation(self) -> Iterator[Callable[[int], None]]:
        """Return a function that reserves further bytes until the context ends.

        Raises
        ------
        BodiesFullError
            From the function: the bodies together would exceed `MAX_HELD_BYTES`.
        """
        reserved_bytes = 0

        def reserve(count: int) -> None:
            nonlocal reserved_bytes
            is_large = reserved_bytes + count > SMALL_BODY_BYTES
            if is_large and self._held_bytes + count > MAX_HELD_BYTES:
                raise _refusal(
                    BodiesFullError, f"request bodies exceed {MAX_HELD_BYTES} bytes"
                )
            reserved_bytes += count
            self._held_bytes += count

        try:
            yield reserve
        finally:
            self._held_bytes -= reserved_bytes


def receive_body(
    environ, limits: RequestLimits, reserve: Callable[[int], None]
) -> bytes:
    """Return the body of a call.

    Parameters
    ----------
    reserve : callable
        From `BodyMemory.reservation`.

    Raises
    ------
    RequestTooLargeError
        The configuration does not allow a body of this size.
    BodyNotCarriedError, BodiesFullError
        The configuration allows it, but the node cannot forward it.
    """
    max_bytes = min(limits.max_body_bytes, MAX_MESSAGE_BODY_BYTES)
    try:
        return read_body(environ, max_bytes, reserve=reserve)
    except RequestTooLargeError:
        length = environ.get("CONTENT_LENGTH")
        if max_bytes == limits.max_body_bytes or (
            length is not None and int(length) > limits.max_body_bytes
        ):
            raise
        raise _refusal(
            BodyNotCarriedError, f"request body exceeds {max_bytes} bytes"
        ) from None


def _refusal(error_type: type[CallNotRunError], message: str) -> CallNotRunError:
    error = error_type(message, step="entry.body")
    error.retry_after_s = RETRY_AFTER_S
    return error
