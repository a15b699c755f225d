"""Store objects of the configuration and their encoding.

`config/head` describes the accepted version; `config/change/<id>` and
`config/snapshot/<id>` contain the delta and the whole document of a change.
"""

from dataclasses import astuple, dataclass
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from verbenawick.errors import DocumentError
from verbenawick.links._message_rows import Row

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
SNAPSHOT_PREFIX = "config/snapshot/"
FORMAT_VERSION = 1
# A larger delta is not inlined in the head; one relay of each region reads it from the
# change object.
MAX_INLINE_DELTA_BYTES = 32 * 1024


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted version.

    Attributes
    ----------
    digest : bytes
        Digest of the document.
    delta : bytes
        Encoded delta from the previous version; empty if it exceeds
        `MAX_INLINE_DELTA_BYTES` and has to be read from the change object.
    """

    version: int
    digest: bytes
    change_id: str
    author: str
    summary: str
    preset: str
    delta: bytes
    change_key: str
    snapshot_key: str


@dataclass(frozen=True, slots=True)
class Change:
    """A proposed change; accepted if the head is, or descends from, its version.

    Attributes
    ----------
    parent_id : str
        Id of the change that it is based on, empty for the first change.
    version : int
        Number of the version that results when the change is accepted.
    """

    change_id: str
    parent_id: str
    version: int
    digest: bytes
    author: str
    summary: str
    preset: str
    delta: bytes


_head_adapter = TypeAdapter(Row[Head])
_change_adapter = TypeAdapter(Row[Change])


def change_key(change_id: str) -> str:
    """Return the key of a change object."""
    return CHANGE_PREFIX + change_id


def snapshot_key(change_id: str) -> str:
    """Return the key of a snapshot object."""
    return SNAPSHOT_PREFIX + change_id


def encode_record(record: Head | Change) -> bytes:
    """Encode a head or a change for the store."""
    return cbor2.dumps([FORMAT_VERSION, *astuple(record)])


def decode_head(data: bytes) -> Head:
    """Decode the stored value of a head.

    Raises
    ------
    DocumentError
        The value is not a valid head, or has another format version.
    """
    return _decode(_head_adapter, data, "head")


def decode_change(data: bytes) -> Change:
    """Decode the stored value of a change.

    Raises
    ------
    DocumentError
        The value is not a valid change, or has another format version.
    """
    return _decode(_change_adapter, data, "change")


def _decode(adapter: TypeAdapter, data: bytes, name: str) -> Any:
    step = f"{name}.decode"
    try:
        format_version, *values = cbor2.loads(data)
        if format_version != FORMAT_VERSION:
            raise ValueError(f"format {format_version!r} is not {FORMAT_VERSION}")
        return adapter.validate_python(values)
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        raise DocumentError(f"stored {name} is invalid: {reason}", step=step) from error
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise DocumentError(f"stored {name} is invalid: {error}", step=step) from error
