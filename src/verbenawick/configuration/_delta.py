"""Canonical encoding, digests and deltas of configuration documents.

All functions work on plain data (`ConfigurationDocument.content`), so that a node
verifies the digest of exactly the accepted content, even if its release has other
defaults.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import cbor2
import zstandard
from pydantic import TypeAdapter, ValidationError

from verbenawick.errors import (
    BaseMismatchError,
    DigestMismatchError,
    DocumentError,
)
from verbenawick.links._message_rows import Row

DIGEST_BYTES = 16
COMPRESSION_LEVEL = 12
# Limit the memory needed to decompress a corrupt or malicious value.
MAX_DECODED_BYTES = 8 * 1024 * 1024
MAX_WINDOW_BYTES = 8 * 1024 * 1024
MAX_SHOWN_VALUE_LENGTH = 100

COLLECTIONS = ("services_by_id", "policies_by_id", "routes_by_id", "presets_by_id")

Content = dict[str, Any]


@dataclass(frozen=True, slots=True)
class EntityChange:
    """New value of an entity; None removes the entity."""

    collection: str
    entity_id: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes that transform one document into another.

    Attributes
    ----------
    base_digest, digest : bytes
        Digests of the document before and after the changes.
    """

    base_digest: bytes
    digest: bytes
    preset_in_force: str
    changes: tuple[Row[EntityChange], ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between two documents; None if it is absent in one."""

    path: str
    old: Any
    new: Any

    def __str__(self) -> str:
        """Return a line for operators."""
        if self.old is None:
            return f"{self.path}: added {_truncated_repr(self.new)}"
        if self.new is None:
            return f"{self.path}: removed {_truncated_repr(self.old)}"
        return (
            f"{self.path}: {_truncated_repr(self.old)} -> {_truncated_repr(self.new)}"
        )


def _truncated_repr(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_LENGTH:
        return text
    return text[:MAX_SHOWN_VALUE_LENGTH] + "..."


_delta_adapter = TypeAdapter(Row[Delta])


def digest_of(content: Content) -> bytes:
    """Return the 16-byte digest of a document."""
    data = cbor2.dumps(content, canonical=True)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def diff_documents(base: Content, new: Content) -> Delta:
    """Return the delta that transforms `base` into `new`."""
    changes = []
    for collection in COLLECTIONS:
        old_by_id, new_by_id = base.get(collection, {}), new.get(collection, {})
        for entity_id in sorted(old_by_id.keys() | new_by_id.keys()):
            value = new_by_id.get(entity_id)
            if value != old_by_id.get(entity_id):
                changes.append(EntityChange(collection, entity_id, value))
    return Delta(
        digest_of(base), digest_of(new), new["preset_in_force"], tuple(changes)
    )


def apply_delta(base: Content, delta: Delta) -> Content:
    """Return the document that results from a delta, without modifying `base`.

    Raises
    ------
    BaseMismatchError
        The delta is based on another document; a snapshot is needed.
    DigestMismatchError
        The result does not have the digest stated in the delta.
    DocumentError
        The delta refers to an unknown collection.
    """
    if digest_of(base) != delta.base_digest:
        raise BaseMismatchError(
            "the delta is based on another document; read the snapshot",
            step="delta.base",
        )
    content = {name: dict(base.get(name, {})) for name in COLLECTIONS}
    for change in delta.changes:
        _apply_change(content, change)
    content["preset_in_force"] = delta.preset_in_force
    verify_digest(content, delta.digest)
    return content


def _apply_change(content: Content, change: EntityChange) -> None:
    if change.collection not in COLLECTIONS:
        raise DocumentError(
            f"unknown collection {change.collection!r}",
            path=change.collection,
            step="delta.apply",
        )
    if change.value is None:
        content[change.collection].pop(change.entity_id, None)
    else:
        content[change.collection][change.entity_id] = change.value


def verify_digest(content: Content, digest: bytes) -> None:
    """Raise DigestMismatchError unless `content` has this digest."""
    actual = digest_of(content)
    if actual != digest:
        raise DigestMismatchError(
            f"the document has digest {actual.hex()}, expected {digest.hex()}",
            step="delta.verify",
        )


def compress(value: Any) -> bytes:
    """Encode a value as CBOR compressed with zstandard."""
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return compressor.compress(cbor2.dumps(value, canonical=True))


def decompress(data: bytes) -> Any:
    """Decode a value encoded by `compress`.

    Raises
    ------
    DocumentError
        `data` is corrupt, or exceeds `MAX_DECODED_BYTES` when decompressed.
    """
    decompressor = zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES)
    try:
        # `decompress` ignores `max_output_size` if the frame header states a size.
        with decompressor.stream_reader(data) as reader:
            decoded = reader.read(MAX_DECODED_BYTES + 1)
        if len(decoded) > MAX_DECODED_BYTES:
            raise ValueError(f"over {MAX_DECODED_BYTES} bytes when decompressed")
        return cbor2.loads(decoded)
    except (zstandard.ZstdError, cbor2.CBORDecodeError, ValueError) as error:
        raise DocumentError(
            f"compressed value is invalid: {error}", step="delta.decompress"
        ) from error


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta as compressed CBOR."""
    rows = [[c.collection, c.entity_id, c.value] for c in delta.changes]
    return compress([delta.base_digest, delta.digest, delta.preset_in_force, rows])


def decode_delta(data: bytes) -> Delta:
    """Decode a delta encoded by `encode_delta`.

    Raises
    ------
    DocumentError
        `data` is corrupt, too large or not a delta.
    """
    try:
        return _delta_adapter.validate_python(decompress(data))
    except ValidationError as error:
        raise DocumentError(
            f"delta is invalid: {error.errors()[0]['msg']}", step="delta.decode"
        ) from error


def encode_snapshot(content: Content) -> bytes:
    """Encode a whole document as compressed CBOR."""
    return compress(content)


def decode_snapshot(data: bytes, digest: bytes) -> Content:
    """Decode a document encoded by `encode_snapshot`.

    Raises
    ------
    DocumentError
        `data` is corrupt or too large.
    DigestMismatchError
        The document does not have the given digest.
    """
    content = decompress(data)
    if not isinstance(content, dict):
        raise DocumentError("snapshot is not a document", step="snapshot.decode")
    verify_digest(content, digest)
    return content


def find_differences(old: Any, new: Any, path: str = "") -> Iterator[Difference]:
    """Yield the values that differ, with their paths."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        if old != new:
            yield Difference(path, old, new)
        return
    for key in sorted(old.keys() | new.keys()):
        subpath = f"{path}.{key}" if path else key
        yield from find_differences(old.get(key), new.get(key), subpath)
