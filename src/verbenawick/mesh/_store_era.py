"""Order of the store's revisions before and after it came back from an older copy.

A store that comes back from an older copy gives out revisions again, in a new era. A
position is one number that orders revisions by era first, so that all parts of a node,
and the messages between nodes, compare positions as they compare revisions. While the
store names no era, a position is the revision.
"""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, emit, register_event

REVISION_BITS = 44
_REVISION_MASK = (1 << REVISION_BITS) - 1
# Positions are signed 64-bit integers.
MAX_ERA = (1 << (63 - REVISION_BITS)) - 1


@register_event(761, level="WARNING")
@dataclass(frozen=True, slots=True)
class StoreEraRose(Event):
    """The store came back from an older copy; the node reads its state anew."""

    era: int
    earlier_era: int


def position_of(revision: int, *, era: int) -> int:
    """Return the position of a revision that the store gave out in an era."""
    return (era << REVISION_BITS) + revision


def revision_of(position: int) -> int:
    """Return the revision that the store gave out for a position."""
    return position & _REVISION_MASK


def era_of(position: int) -> int:
    """Return the era of a position, 0 if the store named none."""
    return position >> REVISION_BITS


class LatestEra:
    """The latest era that any store client of a node has seen."""

    def __init__(self):
        self.value = 0

    def observe(self, era: int) -> bool:
        """Record the era of an answer; return whether it is the latest one."""
        if era > self.value:
            if self.value:
                emit(StoreEraRose(era, self.value))
            self.value = era
        return era == self.value
