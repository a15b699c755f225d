"""Tasks that keep links to other nodes open, so that calls need not dial."""

from random import Random

import eventlet

from verbenawick.errors import LinkClosedError
from verbenawick.links._call_links import CallLinks
from verbenawick.links._members import Member
from verbenawick.mesh._node_events import PeerLost, PeerReached
from verbenawick.runtime._events import emit

BASE_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0


class PeerConnectors:
    """Runs one task per node, which redials with exponential backoff."""

    def __init__(self, links: CallLinks, *, random: Random):
        self._links = links
        self._random = random
        self._tasks_by_node_id: dict[str, tuple[str, object]] = {}

    def has(self, node_id: str) -> bool:
        """Return whether a task keeps a link to a node open."""
        return node_id in self._tasks_by_node_id

    def ensure_connector(self, member: Member) -> None:
        """Keep a link open to the current address of the node `member`."""
        address, task = self._tasks_by_node_id.get(member.node_id, ("", None))
        if address == member.peer_address:
            return
        if task is not None:
            task.kill()
        task = eventlet.spawn(self._maintain_link, member)
        self._tasks_by_node_id[member.node_id] = (member.peer_address, task)

    def stop_connector(self, node_id: str) -> None:
        """Stop dialling a node; an open link stays until the peer closes it."""
        _, task = self._tasks_by_node_id.pop(node_id, ("", None))
        if task is not None:
            task.kill()

    def close(self) -> None:
        """Stop all tasks."""
        for node_id in list(self._tasks_by_node_id):
            self.stop_connector(node_id)

    def _maintain_link(self, member: Member) -> None:
        failures = 0
        while True:
            try:
                self._links.connect(member)
                emit(PeerReached(member.node_id))
                failures = 0
                self._links.wait_until_closed(member.peer_address)
                emit(PeerLost(member.node_id, "link closed"))
                eventlet.sleep(BASE_REDIAL_DELAY_S * self._random.random())
            except LinkClosedError as error:
                failures += 1
                if failures == 1:
                    emit(PeerLost(member.node_id, str(error)))
                wait_s = min(BASE_REDIAL_DELAY_S * 2**failures, MAX_REDIAL_DELAY_S)
                eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))
