"""Interface to the store of the configuration and the upstream records."""

from dataclasses import dataclass
from typing import Protocol

from verbenawick.mesh._model import MeshConfiguration, UpstreamRecord
from verbenawick.releases._model import ReleaseOrder, ReleaseStatus


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Result of a read or a watch of the configuration.

    Attributes
    ----------
    revision : int
        Store revision from which to continue the watch.
    configuration : MeshConfiguration or None
        None if there is no configuration or it has not changed.
    document : bytes
        Document that `configuration` was decoded from.
    """

    revision: int
    configuration: MeshConfiguration | None
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class RecordChange:
    """Result of a read or a watch of the upstream records.

    Attributes
    ----------
    records_by_node_id : dict
        Records that were read or changed; None for a deleted record.
    is_complete : bool
        Whether all records are included, so that missing ones have been deleted.
    is_restored : bool
        Whether these are differences to an older copy with which the store came back.
        Records that it lost are written again by their nodes.
    """

    revision: int
    records_by_node_id: dict[str, UpstreamRecord | None]
    is_complete: bool
    is_restored: bool = False


@dataclass(frozen=True, slots=True)
class OrderChange:
    """Result of a read or a watch of the orders of releases.

    Attributes
    ----------
    orders_by_name : dict
        Orders that were read or changed; None for a deleted one.
    is_complete : bool
        Whether all orders are included, so that missing ones have been deleted.
    """

    revision: int
    orders_by_name: dict[str, ReleaseOrder | None]
    is_complete: bool


class StateStore(Protocol):
    """Store client with blocking calls; each task uses a separate instance.

    Revisions are positions, which order eras of the store; see `_store_era`.

    Every call raises `StoreUnavailableError` if it had no effect or no result. A write
    raises `StoreAnswerLostError` if it may have taken effect, and `StoreConditionError`
    if the stored revision differs from the expected one. A watch raises
    `StoreHistoryGoneError` if the store has discarded the changes after its revision,
    or has come back from an older copy.
    """

    @property
    def round_trip_s(self) -> float:
        """Return the shortest round-trip time to the store measured so far."""
        ...

    def read_configuration(self, *, allow_stale: bool) -> ConfigurationChange:
        """Return the configuration.

        Parameters
        ----------
        allow_stale : bool
            Whether the result may be seconds old, which makes the call cheaper.
        """
        ...

    def watch_configuration(
        self, revision: int, *, wait_s: float
    ) -> ConfigurationChange:
        """Wait up to `wait_s` for a change after `revision` and return it."""
        ...

    def read_records(self, *, allow_stale: bool) -> RecordChange:
        """Return all records; see `read_configuration`."""
        ...

    def watch_records(self, revision: int, *, wait_s: float) -> RecordChange:
        """Wait up to `wait_s` for changes after `revision`; may be seconds old."""
        ...

    def create_record(self, record: UpstreamRecord) -> int:
        """Create a record and return its revision."""
        ...

    def replace_record(self, record: UpstreamRecord) -> int:
        """Replace the record if it has `record.revision`; return the new revision."""
        ...

    def read_record(self, node_id: str) -> UpstreamRecord | None:
        """Return the current record of a node."""
        ...

    def delete_record(self, node_id: str, revision: int) -> None:
        """Delete the record of a node if it has `revision`."""
        ...

    def read_orders(self) -> OrderChange:
        """Return all orders of releases."""
        ...

    def watch_orders(self, revision: int, *, wait_s: float) -> OrderChange:
        """Wait up to `wait_s` for changes of the orders after `revision`."""
        ...

    def write_order_status(self, order: ReleaseOrder, status: ReleaseStatus) -> int:
        """Replace the status of the order if it has `order.revision`.

        Returns
        -------
        int
            The new revision of the order.
        """
        ...

    def close(self) -> None:
        """Close the connection to the store."""
        ...
