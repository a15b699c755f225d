"""Limits that upstreams named, as other nodes know them.

Only the node beside an upstream sees its answers, and knows no limit after a restart
until the first one. By then it may have sent what the slots allow. So the other nodes
are told of limits, and tell the next process of the node when a link to it opens.
"""

from dataclasses import dataclass

from verbenawick.links._messages import Message, register_message
from verbenawick.mesh._messages import GatewayNotice

# Factor by which a limit has to change before the other nodes are told again.
NOTABLE_CHANGE = 1.5


@register_message(106)
@dataclass(frozen=True, slots=True)
class LimitNotice(Message):
    """Limit that the receiver's upstream named to an earlier process of the receiver.

    Attributes
    ----------
    rate_limit : float
        Requests per second.
    """

    upstream_id: str
    rate_limit: float


class PeerLimits:
    """Remembers the limits that the upstreams of other nodes named."""

    def __init__(self):
        self._limit_by_node_id: dict[str, LimitNotice] = {}

    def on_notice(self, node_id: str, notice: GatewayNotice) -> None:
        """Apply a notice of the node about its upstream."""
        known = self._limit_by_node_id.get(node_id)
        if notice.rate_limit:
            limit = LimitNotice(notice.upstream_id, notice.rate_limit)
            self._limit_by_node_id[node_id] = limit
        elif known is not None:
            is_other = notice.upstream_id not in ("", known.upstream_id)
            if notice.rate_limit is not None or is_other:
                del self._limit_by_node_id[node_id]

    def of(self, node_id: str) -> LimitNotice | None:
        """Return the limit of the node's upstream, None if it names none."""
        return self._limit_by_node_id.get(node_id)

    def forget(self, node_id: str) -> None:
        """Remove what is known of a node."""
        self._limit_by_node_id.pop(node_id, None)


class NamedLimit:
    """Limit of the local upstream, from its answers or, until then, from a notice.

    Attributes
    ----------
    rate_limit : float or None
        Requests per second, 0 if the upstream names no limit, None until it is known.
    """

    def __init__(self, upstream_id: str):
        self.upstream_id = upstream_id
        self.rate_limit: float | None = None
        # What the other nodes know.
        self._told_rate_limit = 0.0
        self._notice: LimitNotice | None = None

    def follow(self, upstream_id: str) -> None:
        """Apply to another upstream, of which nothing is known unless it was told."""
        self.upstream_id = upstream_id
        self.rate_limit = None
        self._told_rate_limit = 0.0
        self._apply_notice()

    def on_notice(self, notice: LimitNotice) -> None:
        """Use what another node knows until the upstream has answered."""
        self._notice = notice
        self._apply_notice()

    def on_answer(self, rate_limit: float | None) -> bool:
        """Apply an answer; return whether the other nodes have to be told."""
        self.rate_limit = rate_limit or 0.0
        low, high = sorted((self.rate_limit, self._told_rate_limit))
        is_notable = high > 0 and high >= NOTABLE_CHANGE * low
        if is_notable:
            self._told_rate_limit = self.rate_limit
        return is_notable

    def _apply_notice(self) -> None:
        notice = self._notice
        is_known = self.rate_limit is not None
        if notice is None or is_known or notice.upstream_id != self.upstream_id:
            return
        self.rate_limit = self._told_rate_limit = notice.rate_limit
