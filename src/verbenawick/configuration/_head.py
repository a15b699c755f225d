"""Objects that hold the configuration in the store, and their encoding.

`config/head` names the version in force; `config/change/<id>` and
`config/snapshot/<id>` hold the delta and the whole document of a change.
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
# A larger delta is read from the change object by one relay of each region.
MAX_INLINE_DELTA_BYTES = 32 * 1024


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted version.

    Attributes
    ----------
    digest : bytes
        Digest of the document.
    delta : bytes
        Encoded delta from the version before; empty when it is over
        `MAX_INLINE_DELTA_BYTES` and has to be read from the change.
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
    """A change as it was proposed; accepted when the chain from head reaches it.

    Attributes
    ----------
    parent_id : str
        Change on which it is based, empty for the first.
    version : int
        Version that it becomes when it is accepted.
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
    """Return the stored form of a record."""
    return cbor2.dumps([FORMAT_VERSION, *astuple(record)])


def decode_head(data: bytes) -> Head:
    """Return the head in a stored value.

    Raises
    ------
    DocumentError
        The value is not a head of this format.
    """
    return _decode(_head_adapter, data, "head")


def decode_change(data: bytes) -> Change:
    """Return the change in a stored value.

    Raises
    ------
    DocumentError
        The value is not a change of this format.
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
