"""Choice of the nodes to which a node keeps a link open.

Nodes of a region are all linked with each other, since most calls stay in the region.
Traffic between regions is billed, and few calls cross it: only the contacts of the data
centres keep links to the contacts of other regions, for beacons and crash notices. Any
other link to another region is opened by the first call that needs it, and then kept.
"""

from collections import defaultdict
from collections.abc import Iterable

import eventlet

from verbenawick.mesh._endpoints import Endpoint, Endpoints
from verbenawick.mesh._peer_connectors import PeerConnectors
from verbenawick.mesh._placement import Distance

# With two contacts in each data centre, the loss of a node or of a whole data centre
# leaves links between the regions.
CONTACTS_PER_DATA_CENTRE = 2
# At a common start the records of the nodes arrive within a second. An earlier choice
# from a part of them would make most nodes contacts.
CONTACT_CHECK_INTERVAL_S = 1.0
# Time for which a call waits for a link to another region before it tries another node,
# seconds: about five round trips. A VM that is powered off never answers.
FIRST_DIAL_TIMEOUT_S = 0.1


def contact_ids(endpoints: Iterable[Endpoint]) -> set[str]:
    """Return the nodes with the lowest ids of each data centre."""
    ids_by_data_centre = defaultdict(list)
    for endpoint in endpoints:
        member = endpoint.member
        ids_by_data_centre[member.region, member.data_centre].append(endpoint.node_id)
    return {
        node_id
        for ids in ids_by_data_centre.values()
        for node_id in sorted(ids)[:CONTACTS_PER_DATA_CENTRE]
    }


class StandingLinks:
    """Starts connectors to the nodes to which this node keeps a link open."""

    def __init__(
        self, connectors: PeerConnectors, *, node_id: str, endpoints: Endpoints
    ):
        self._connectors = connectors
        self._node_id = node_id
        self._endpoints = endpoints

    def run(self) -> None:
        """Link the contacts of other regions until the green thread is killed."""
        while True:
            eventlet.sleep(CONTACT_CHECK_INTERVAL_S)
            self.link_contacts()

    def link_contacts(self) -> None:
        """Link the contacts of other regions if this node is a contact."""
        endpoints = self._endpoints.all()
        contacts = contact_ids(endpoints)
        if self._node_id not in contacts:
            return
        for endpoint in endpoints:
            if endpoint.distance is Distance.REMOTE and endpoint.node_id in contacts:
                self._connectors.ensure_connector(endpoint.member)

    def on_endpoint(self, endpoint: Endpoint) -> None:
        """Link a node of this region, or follow the changed address of a linked one."""
        if self.is_standing(endpoint):
            self._connectors.ensure_connector(endpoint.member)

    def is_standing(self, endpoint: Endpoint) -> bool:
        """Return whether the link to a node is kept open.

        To any other node, the next call opens the link.
        """
        return endpoint.distance is not Distance.REMOTE or self._connectors.has(
            endpoint.node_id
        )

    def may_open(self, endpoint: Endpoint) -> bool:
        """Return whether a call may open the link to a node, or wait for its opening.

        False while a lost link is dialled again, since the node is then probably down.
        """
        return not self.is_standing(endpoint) or (
            endpoint.distance is Distance.REMOTE and self.is_opening(endpoint)
        )

    def is_opening(self, endpoint: Endpoint) -> bool:
        """Return whether the first dial of a node is in progress."""
        return self._connectors.is_opening(endpoint.node_id)

    def open(self, endpoint: Endpoint) -> None:
        """Keep a link to a node open from now on; wait briefly for a new one."""
        if not self.is_standing(endpoint):
            self._connectors.ensure_connector(endpoint.member)
        self._connectors.wait_for_first_dial(
            endpoint.node_id, timeout_s=FIRST_DIAL_TIMEOUT_S
        )

    def wait_for_any_dial(self, *, timeout_s: float) -> None:
        """Wait until one of the first dials has ended, or for `timeout_s`."""
        self._connectors.wait_for_any_first_dial(timeout_s=timeout_s)
