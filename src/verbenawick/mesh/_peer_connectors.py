"""Tasks that keep a link open to each other node, so that no call waits for one."""

from random import Random

import eventlet

from verbenawick.errors import LinkClosedError
from verbenawick.links._call_links import CallLinks
from verbenawick.mesh._endpoints import member_of
from verbenawick.mesh._model import UpstreamRecord
from verbenawick.mesh._node_events import PeerLost, PeerReached
from verbenawick.runtime._events import emit

FIRST_REDIAL_S = 0.1
LONGEST_REDIAL_S = 1.0


class PeerConnectors:
    """One task for each known node; it dials again with growing pauses."""

    def __init__(self, links: CallLinks, *, random: Random):
        self._links = links
        self._random = random
        self._tasks_by_node_id: dict[str, tuple[str, object]] = {}

    def keep(self, record: UpstreamRecord) -> None:
        """Keep a link to the node of `record`, at its present address."""
        address, task = self._tasks_by_node_id.get(record.node_id, ("", None))
        if address == record.peer_address:
            return
        if task is not None:
            task.kill()
        task = eventlet.spawn(self._stay_connected, record)
        self._tasks_by_node_id[record.node_id] = (record.peer_address, task)

    def forget(self, node_id: str) -> None:
        """Dial a node no more; an open link stays until the other side closes it."""
        _, task = self._tasks_by_node_id.pop(node_id, ("", None))
        if task is not None:
            task.kill()

    def close(self) -> None:
        """End all tasks."""
        for node_id in list(self._tasks_by_node_id):
            self.forget(node_id)

    def _stay_connected(self, record: UpstreamRecord) -> None:
        member = member_of(record)
        failures = 0
        while True:
            try:
                self._links.connect(member)
                emit(PeerReached(record.node_id))
                failures = 0
                self._links.wait_until_closed(record.peer_address)
                emit(PeerLost(record.node_id, "link closed"))
                eventlet.sleep(FIRST_REDIAL_S * self._random.random())
            except LinkClosedError as error:
                failures += 1
                if failures == 1:
                    emit(PeerLost(record.node_id, str(error)))
                wait_s = min(FIRST_REDIAL_S * 2**failures, LONGEST_REDIAL_S)
                eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))
