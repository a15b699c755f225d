"""Distribution of changes of the upstream records through the relay and the leaders.

With a watch in each node, every change of a record is a call to the store for each
node. Instead, the relay of the configuration also watches the records and sends each
batch of changes the same way. Its periodic beacons tell how far it has followed the
store: a node that missed a change, or receives no beacons, watches the store itself.
"""

from dataclasses import astuple, dataclass, fields, replace
from zlib import compress, decompressobj
from zlib import error as zlib_error

import cbor2
import msgspec
from xxhash import xxh3_64_intdigest

from verbenawick.errors import ProtocolError
from verbenawick.links._messages import Message, register_message
from verbenawick.mesh._model import UpstreamRecord
from verbenawick.mesh._record_check import check_record
from verbenawick.mesh._store_era import revision_of

BEACON_INTERVAL_S = 1.0
# Two beacons may be lost before all nodes watch the store.
BEACON_VALID_S = 2.5
# A relay sends beacons for at most this time after the last answer of the store.
CONTACT_VALID_S = 1.5
# Longest watch of the relay, so that it notices a lost store in time.
RELAY_WATCH_WAIT_S = 0.8
# Larger updates would fill the link of the leader, which sends one to each node of its
# region; the nodes then read the changes from the store.
MAX_UPDATE_BYTES = 4096
# Limits the memory needed to decode an invalid update.
MAX_DECODED_BYTES = 4 * 1024 * 1024


@register_message(97)
@dataclass(frozen=True, slots=True)
class RecordBeacon(Message):
    """Changes of the records, and how far the relay has followed the store.

    Attributes
    ----------
    base : int
        Revision of the last change before those in `records`.
    revision : int
        Revision of the last change that the relay knows.
    position : int
        Revision up to which the relay has seen all changes; never below `revision`.
    digest : int
        `RecordTable.digest` at the relay.
    records : bytes
        Changes after `base`, see `encode_records`; empty if they are too large or were
        sent before.
    """

    base: int
    revision: int
    position: int
    digest: int
    records: bytes


@register_message(98)
@dataclass(frozen=True, slots=True)
class RecordQuery(Message):
    """Request for all records that the receiver knows."""

    call_id: int


@register_message(99)
@dataclass(frozen=True, slots=True)
class RecordAnswer(Message):
    """All records that the sender knows.

    Attributes
    ----------
    revision : int
        Store revision up to which the sender has seen all changes, 0 if it knows no
        records.
    records : bytes
        See `encode_records`.
    """

    call_id: int
    revision: int
    records: bytes


class RecordTable:
    """All known records, and a digest to compare them with those of another node.

    Attributes
    ----------
    digest : int
        Depends on the records only, not on the order in which they were put.
    """

    def __init__(self):
        self.digest = 0
        self.by_node_id: dict[str, UpstreamRecord] = {}

    def clear(self) -> None:
        """Forget all records."""
        self.digest = 0
        self.by_node_id.clear()

    def changes_to(
        self, records_by_node_id: dict[str, UpstreamRecord | None]
    ) -> dict[str, UpstreamRecord | None]:
        """Return what differs in `records_by_node_id`, apart from the era.

        None stands for a record that is not in it.
        """
        changes: dict[str, UpstreamRecord | None] = dict.fromkeys(
            self.by_node_id.keys() - records_by_node_id.keys()
        )
        for node_id, record in records_by_node_id.items():
            known = self.by_node_id.get(node_id)
            if known is None or _without_era(known) != _without_era(record):
                changes[node_id] = record
        return changes

    def put(self, node_id: str, record: UpstreamRecord | None) -> None:
        """Replace the record of a node, or remove it if `record` is None."""
        # The exclusive or removes the hash of the previous record.
        previous = self.by_node_id.pop(node_id, None)
        if previous is not None:
            self.digest ^= _hash_of(node_id, previous)
        if record is not None:
            self.by_node_id[node_id] = record
            self.digest ^= _hash_of(node_id, record)


def _without_era(record: UpstreamRecord) -> UpstreamRecord:
    """Return a record to compare; most are the same in an older copy of the store."""
    return replace(record, revision=revision_of(record.revision))


def _hash_of(node_id: str, record: UpstreamRecord) -> int:
    # All values, since revisions are given out again after a store came back.
    values = astuple(_without_era(record))
    return xxh3_64_intdigest(repr((node_id, values)).encode())


def encode_records(records_by_node_id: dict[str, UpstreamRecord | None]) -> bytes:
    """Encode changed records; None stands for a deleted one."""
    rows = [
        [node_id, None if record is None else astuple(record)]
        for node_id, record in records_by_node_id.items()
    ]
    return compress(cbor2.dumps(rows))


def decode_records(data: bytes) -> dict[str, UpstreamRecord | None]:
    """Decode the records of a beacon or an answer.

    Raises
    ------
    ProtocolError
        `data` is invalid.
    """
    try:
        decoder = decompressobj()
        rows = cbor2.loads(decoder.decompress(data, MAX_DECODED_BYTES))
        if not decoder.eof or not rows:
            raise ValueError("data are incomplete, too large or empty")
        return {
            node_id: None if row is None else _decode_row(row)
            for node_id, row in msgspec.convert(rows, list[tuple[str, list | None]])
        }
    except (
        zlib_error,
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
    ) as error:
        raise ProtocolError(
            f"invalid records: {error}", step="decode.records"
        ) from error


def _decode_row(row: list) -> UpstreamRecord:
    names = [field.name for field in fields(UpstreamRecord)]
    record = msgspec.convert(dict(zip(names, row, strict=True)), UpstreamRecord)
    check_record(record)
    return record
