"""Tasks that keep a link open to each other node, so that calls need not dial."""

from random import Random

import eventlet

from verbenawick.errors import LinkClosedError
from verbenawick.links._call_links import CallLinks
from verbenawick.mesh._endpoints import member_of
from verbenawick.mesh._model import UpstreamRecord
from verbenawick.mesh._node_events import PeerLost, PeerReached
from verbenawick.runtime._events import emit

BASE_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0


class PeerConnectors:
    """Runs one task per known node, which redials with exponential backoff."""

    def __init__(self, links: CallLinks, *, random: Random):
        self._links = links
        self._random = random
        self._tasks_by_node_id: dict[str, tuple[str, object]] = {}

    def ensure_connector(self, record: UpstreamRecord) -> None:
        """Keep a link open to the current address of the node of `record`."""
        address, task = self._tasks_by_node_id.get(record.node_id, ("", None))
        if address == record.peer_address:
            return
        if task is not None:
            task.kill()
        task = eventlet.spawn(self._maintain_link, record)
        self._tasks_by_node_id[record.node_id] = (record.peer_address, task)

    def stop_connector(self, node_id: str) -> None:
        """Stop dialling a node; an open link stays until the peer closes it."""
        _, task = self._tasks_by_node_id.pop(node_id, ("", None))
        if task is not None:
            task.kill()

    def close(self) -> None:
        """Stop all tasks."""
        for node_id in list(self._tasks_by_node_id):
            self.stop_connector(node_id)

    def _maintain_link(self, record: UpstreamRecord) -> None:
        member = member_of(record)
        failures = 0
        while True:
            try:
                self._links.connect(member)
                emit(PeerReached(record.node_id))
                failures = 0
                self._links.wait_until_closed(record.peer_address)
                emit(PeerLost(record.node_id, "link closed"))
                eventlet.sleep(BASE_REDIAL_DELAY_S * self._random.random())
            except LinkClosedError as error:
                failures += 1
                if failures == 1:
                    emit(PeerLost(record.node_id, str(error)))
                wait_s = min(BASE_REDIAL_DELAY_S * 2**failures, MAX_REDIAL_DELAY_S)
                eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))
