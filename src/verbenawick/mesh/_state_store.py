"""Port to the store that holds the configuration and the records of upstreams."""

from dataclasses import dataclass
from typing import Protocol

from verbenawick.mesh._model import MeshConfiguration, UpstreamRecord


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """What a read or a watch of the configuration brought.

    Attributes
    ----------
    revision : int
        Revision of the store to watch from.
    configuration : MeshConfiguration or None
        None when there is none or nothing changed.
    document : bytes
        The document that it was decoded from.
    """

    revision: int
    configuration: MeshConfiguration | None
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class RecordChange:
    """What a read or a watch of the records brought.

    Attributes
    ----------
    records_by_node_id : dict
        Records that were read or changed; None for a removed one.
    is_complete : bool
        Whether all records are included, so that others are gone.
    """

    revision: int
    records_by_node_id: dict[str, UpstreamRecord | None]
    is_complete: bool


class StateStore(Protocol):
    """Blocking calls to the store; one instance per task.

    Every call raises `StoreUnavailableError` when it had no effect or result. Writes
    raise `StoreAnswerLostError` when they may have taken effect, and
    `StoreConditionError` when the record has another revision. A watch raises
    `StoreHistoryGoneError` when the changes after its revision are no longer known.
    """

    @property
    def round_trip_s(self) -> float:
        """Return the shortest round trip to the store seen so far."""
        ...

    def read_configuration(self) -> ConfigurationChange:
        """Return the latest configuration."""
        ...

    def watch_configuration(
        self, revision: int, *, wait_s: float
    ) -> ConfigurationChange:
        """Return the change after `revision`; wait until there is one."""
        ...

    def read_records(self) -> RecordChange:
        """Return all records; they may be seconds old."""
        ...

    def watch_records(self, revision: int, *, wait_s: float) -> RecordChange:
        """Return the changes after `revision`; they may be seconds old."""
        ...

    def create_record(self, record: UpstreamRecord) -> int:
        """Create a record and return its revision."""
        ...

    def replace_record(self, record: UpstreamRecord) -> int:
        """Replace the record of `record.revision` and return the new revision."""
        ...

    def read_record(self, node_id: str) -> UpstreamRecord | None:
        """Return the current record of a node."""
        ...

    def delete_record(self, node_id: str, revision: int) -> None:
        """Delete the record of a node if it has `revision`."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...
