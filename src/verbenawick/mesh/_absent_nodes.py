"""Detection of nodes that have been unreachable long enough to remove their records.

A VM that fails permanently cannot remove its record, and records in the store do not
expire. The leader of its region therefore removes it. A false positive costs little:
a live node writes its record again as soon as its watch reports the removal.
"""

from collections.abc import Mapping

# Longer than the restart of a VM, which takes up to a minute. A region can be cut off
# for an hour; `MIN_LINKED_SHARE` prevents removals in that case.
REMOVE_AFTER_S = 180.0
# With a smaller share of linked nodes, this node itself may be the partitioned one.
MIN_LINKED_SHARE = 0.75


class AbsentNodes:
    """Tracks for how long each known node has had no link."""

    def __init__(self, *, remove_after_s: float = REMOVE_AFTER_S):
        self._remove_after_s = remove_after_s
        self._remove_at_by_node_id: dict[str, float] = {}

    def observe(
        self, is_linked_by_node_id: Mapping[str, bool], now: float
    ) -> list[str]:
        """Return the nodes whose records should be removed.

        Parameters
        ----------
        is_linked_by_node_id : mapping
            Whether there is a link to each known node, without the local one.
        """
        absent = {n for n, is_linked in is_linked_by_node_id.items() if not is_linked}
        linked = len(is_linked_by_node_id) - len(absent)
        if linked < MIN_LINKED_SHARE * len(is_linked_by_node_id):
            self._remove_at_by_node_id.clear()
            return []
        self._remove_at_by_node_id = {
            node_id: self._remove_at_by_node_id.get(node_id, now + self._remove_after_s)
            for node_id in sorted(absent)
        }
        return [n for n, at in self._remove_at_by_node_id.items() if now >= at]
