"""Nodes by the address of their link listener, of which one node at a time has each.

A platform gives the address of a removed VM to a new one, while the record of the
removed node may stay in the store for minutes. The removed node would then seem to be
linked, and calls for it would reach the new one.
"""

from verbenawick.mesh._model import UpstreamRecord


class AddressOwners:
    """Finds records whose address has been taken over by another node.

    Parameters
    ----------
    node_id, peer_address : str
        This node and its address, which no other node owns.
    """

    def __init__(self, *, node_id: str, peer_address: str):
        self._node_id = node_id
        self._peer_address = peer_address
        self._owner_by_address: dict[str, UpstreamRecord] = {}
        self._address_by_owner_id: dict[str, str] = {}
        self._superseded_by_node_id: dict[str, UpstreamRecord] = {}

    def put(self, record: UpstreamRecord) -> UpstreamRecord | None:
        """Add a record; return the superseded record: another one, this one or None.

        Of two records with the same address, the one that was written last counts.
        """
        self.remove(record.node_id)
        if record.node_id == self._node_id:
            return None
        address = record.peer_address
        owner = self._owner_by_address.get(address)
        if address == self._peer_address or (
            owner is not None and owner.revision > record.revision
        ):
            self._superseded_by_node_id[record.node_id] = record
            return record
        if owner is not None:
            self.remove(owner.node_id)
            self._superseded_by_node_id[owner.node_id] = owner
        self._owner_by_address[address] = record
        self._address_by_owner_id[record.node_id] = address
        return owner

    def remove(self, node_id: str) -> None:
        """Remove the record of a node."""
        self._superseded_by_node_id.pop(node_id, None)
        address = self._address_by_owner_id.pop(node_id, None)
        if address is not None:
            del self._owner_by_address[address]

    def superseded(self) -> tuple[UpstreamRecord, ...]:
        """Return the records whose address belongs to another node."""
        return tuple(self._superseded_by_node_id.values())
