"""Leaves of upstreams that other nodes acknowledged.

A node stores a leave before it acknowledges it, but not while the store is away. Its
peers remember the leave too, and tell the next process of the node.
"""

from verbenawick.mesh._messages import GatewayNotice, LeaveNotice


class PeerLeaves:
    """Remembers the latest leave at each node, until another process is ready there."""

    def __init__(self):
        self._leave_by_node_id: dict[str, LeaveNotice] = {}

    def on_notice(self, node_id: str, notice: GatewayNotice) -> None:
        """Apply a notice of the node about its upstream."""
        if notice.is_leaving:
            leave = LeaveNotice(notice.upstream_id, notice.born_ms)
            self._leave_by_node_id[node_id] = leave
            return
        leave = self._leave_by_node_id.get(node_id)
        if leave is not None and _is_other_process(notice, leave):
            del self._leave_by_node_id[node_id]

    def of(self, node_id: str) -> LeaveNotice | None:
        """Return the leave of the node's upstream, None if there is none."""
        return self._leave_by_node_id.get(node_id)

    def forget(self, node_id: str) -> None:
        """Remove what is known of a node."""
        self._leave_by_node_id.pop(node_id, None)


def _is_other_process(notice: GatewayNotice, leave: LeaveNotice) -> bool:
    """Return whether `notice` is about another process than the one that left.

    A node that says so has confirmed that its upstream does not leave, so the order of
    the start times, which are read from clocks that step, does not matter.
    """
    if not notice.upstream_id:
        return False
    return notice.upstream_id != leave.upstream_id or (
        notice.born_ms not in (0, leave.born_ms)
    )
