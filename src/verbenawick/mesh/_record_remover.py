"""Task that removes the records of nodes that are permanently unreachable."""

from collections.abc import Callable

import eventlet

from verbenawick.errors import VerbenawickError
from verbenawick.links._call_links import CallLinks
from verbenawick.mesh._absent_nodes import AbsentNodes
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._node_events import RecordNotRemoved, RecordRemoved
from verbenawick.mesh._placement import Distance
from verbenawick.mesh._state_store import StateStore
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import emit

# Records of lost VMs are removed only after minutes, so infrequent checks suffice.
ABSENCE_CHECK_INTERVAL_S = 10.0


class RecordRemover:
    """Removes at most one record of the own region per check, while this node leads it.

    Parameters
    ----------
    open_store : callable
        Returns a `StateStore` with a separate connection.
    is_leader : callable
        Whether this node is the leader of its region.
    superseded : callable
        Returns the nodes of the region whose address has been taken over by another
        node.
    """

    def __init__(
        self,
        *,
        open_store: Callable[[], StateStore],
        endpoints: Endpoints,
        links: CallLinks,
        clock: Clock,
        is_leader: Callable[[], bool],
        superseded: Callable[[], list[str]] = lambda: [],
    ):
        self._open_store = open_store
        self._endpoints = endpoints
        self._links = links
        self._clock = clock
        self._is_leader = is_leader
        self._superseded = superseded
        self._absent_nodes = AbsentNodes()

    def run(self) -> None:
        """Check the links periodically until the green thread is killed."""
        while True:
            eventlet.sleep(ABSENCE_CHECK_INTERVAL_S)
            is_linked_by_node_id = {
                endpoint.node_id: self._links.is_connected(endpoint.member)
                for endpoint in self._endpoints.all()
                if endpoint.distance in (Distance.DATA_CENTRE, Distance.REGION)
            }
            absent_ids = self._absent_nodes.observe(
                is_linked_by_node_id, self._clock.now()
            )
            ids_to_remove = [*self._superseded(), *absent_ids]
            if ids_to_remove and self._is_leader():
                self.remove(ids_to_remove[0])

    def remove(self, node_id: str) -> None:
        """Remove the record of a node; the next check retries after a failure."""
        store = self._open_store()
        try:
            record = store.read_record(node_id)
            if record is not None:
                store.delete_record(node_id, record.revision)
                emit(RecordRemoved(node_id, record.upstream_id, record.revision))
        except VerbenawickError as error:
            emit(RecordNotRemoved(node_id, str(error)))
        finally:
            store.close()
