"""Which nodes have been away for so long that their records are removed.

A VM that fails for good cannot remove its record, and nothing in the store expires. The
relay of the configuration removes it for all. A wrong guess costs little: a node that
is still alive writes its record again as soon as it learns of the removal.
"""

from collections.abc import Mapping

# A VM is restarted within a minute; a region can be cut off for an hour, which the
# share of linked nodes tells apart. Seconds.
FORGET_AFTER_S = 180.0
# With fewer linked nodes than this the own network may be what is lost.
LEAST_LINKED_SHARE = 0.75


class AbsentNodes:
    """Since when each known node has had no link."""

    def __init__(self, *, forget_after_s: float = FORGET_AFTER_S):
        self._forget_after_s = forget_after_s
        self._forget_at_by_node_id: dict[str, float] = {}

    def observe(
        self, is_linked_by_node_id: Mapping[str, bool], now: float
    ) -> list[str]:
        """Return the nodes whose records are to be removed.

        Parameters
        ----------
        is_linked_by_node_id : mapping
            All known nodes but the own one, and whether there is a link to each.
        """
        absent = {n for n, is_linked in is_linked_by_node_id.items() if not is_linked}
        linked = len(is_linked_by_node_id) - len(absent)
        if linked < LEAST_LINKED_SHARE * len(is_linked_by_node_id):
            self._forget_at_by_node_id.clear()
            return []
        self._forget_at_by_node_id = {
            node_id: self._forget_at_by_node_id.get(node_id, now + self._forget_after_s)
            for node_id in sorted(absent)
        }
        return [n for n, at in self._forget_at_by_node_id.items() if now >= at]
