"""Canonical encoding, digests and deltas of configuration documents.

All functions work on plain data (`ConfigurationDocument.content`): a node verifies
the digest of exactly what was accepted, also when its release knows other defaults.
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
# Bounds the memory that a corrupt or hostile value can take when it is decompressed.
MAX_DECODED_BYTES = 8 * 1024 * 1024
MAX_WINDOW_BYTES = 8 * 1024 * 1024
MAX_SHOWN_LENGTH = 100

COLLECTIONS = ("services_by_id", "policies_by_id", "routes_by_id", "presets_by_id")

Content = dict[str, Any]


@dataclass(frozen=True, slots=True)
class EntityChange:
    """A new value of one entity; None removes it."""

    collection: str
    entity_id: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes that lead from one document to another.

    Attributes
    ----------
    base_digest, digest : bytes
        Digests of the document before and after.
    """

    base_digest: bytes
    digest: bytes
    preset_in_force: str
    changes: tuple[Row[EntityChange], ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """A differing value, for operators; None stands for an absent one."""

    path: str
    old: Any
    new: Any

    def __str__(self) -> str:
        """Return one line."""
        if self.old is None:
            return f"{self.path}: added {_shorten(self.new)}"
        if self.new is None:
            return f"{self.path}: removed {_shorten(self.old)}"
        return f"{self.path}: {_shorten(self.old)} -> {_shorten(self.new)}"


def _shorten(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return text[:MAX_SHOWN_LENGTH] + "..."


_delta_adapter = TypeAdapter(Row[Delta])


def digest_of(content: Content) -> bytes:
    """Return the digest of a document, 16 bytes."""
    data = cbor2.dumps(content, canonical=True)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def diff_documents(base: Content, new: Content) -> Delta:
    """Return the delta that leads from `base` to `new`."""
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
    """Return a new document; `base` is left as it is.

    Raises
    ------
    BaseMismatchError
        The delta starts from another document; a snapshot is needed.
    DigestMismatchError
        The result is not the document that was announced.
    DocumentError
        The delta names an unknown collection.
    """
    if digest_of(base) != delta.base_digest:
        raise BaseMismatchError(
            "the delta starts from another document; read the snapshot",
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
            f"the document has digest {actual.hex()}, announced was {digest.hex()}",
            step="delta.verify",
        )


def compress(value: Any) -> bytes:
    """Return CBOR compressed with zstandard."""
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return compressor.compress(cbor2.dumps(value, canonical=True))


def decompress(data: bytes) -> Any:
    """Return the value that `compress` wrote.

    Raises
    ------
    DocumentError
        `data` is corrupt or larger than `MAX_DECODED_BYTES` when decompressed.
    """
    decompressor = zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES)
    try:
        # `decompress(max_output_size=...)` trusts the size in the frame header.
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
    """Return the compressed form of a delta."""
    rows = [[c.collection, c.entity_id, c.value] for c in delta.changes]
    return compress([delta.base_digest, delta.digest, delta.preset_in_force, rows])


def decode_delta(data: bytes) -> Delta:
    """Return the delta that `encode_delta` wrote.

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
    """Return the compressed form of a whole document."""
    return compress(content)


def decode_snapshot(data: bytes, digest: bytes) -> Content:
    """Return the document that `encode_snapshot` wrote.

    Raises
    ------
    DocumentError
        `data` is corrupt or too large.
    DigestMismatchError
        It is another document than announced.
    """
    content = decompress(data)
    if not isinstance(content, dict):
        raise DocumentError("snapshot is not a document", step="snapshot.decode")
    verify_digest(content, digest)
    return content


def find_differences(old: Any, new: Any, path: str = "") -> Iterator[Difference]:
    """Yield the values that differ, by path, for operators."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        if old != new:
            yield Difference(path, old, new)
        return
    for key in sorted(old.keys() | new.keys()):
        below = f"{path}.{key}" if path else key
        yield from find_differences(old.get(key), new.get(key), below)
