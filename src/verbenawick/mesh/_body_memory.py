"""Limit on the request bodies that a node holds in memory.

A body that is forwarded exists several times: as received, as part of a message and as
bytes of a link. The limit keeps these copies within the memory of a node.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from verbenawick.errors import BodiesFullError
from verbenawick.links._call_messages import MAX_MESSAGE_BODY_BYTES

# All bodies together.
MAX_HELD_BYTES = 4 * MAX_MESSAGE_BODY_BYTES
# Size up to which a body is not refused for the size of the others.
SMALL_BODY_BYTES = 64 * 1024


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
                raise BodiesFullError(
                    f"request bodies exceed {MAX_HELD_BYTES} bytes", step="entry.body"
                )
            reserved_bytes += count
            self._held_bytes += count

        try:
            yield reserve
        finally:
            self._held_bytes -= reserved_bytes
