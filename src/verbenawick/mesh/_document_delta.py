"""Deltas between configuration documents, independent of their content.

A delta lists parts of the base document to copy and the bytes between them. Digests of
both documents guarantee that a node applies it to the right base and obtains the right
document.

A whole document is compressed with zlib. The mark of a delta is no valid start of a
zlib stream, so a release without deltas rejects one and requests the whole document.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cached_property
from os.path import commonprefix
from struct import Struct
from zlib import compress, decompress, decompressobj
from zlib import error as zlib_error

import cbor2
import msgspec

from verbenawick.errors import (
    BaseMismatchError,
    DigestMismatchError,
    DocumentError,
)

DIGEST_BYTES = 16
# Limits the memory needed to apply an invalid delta.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# Documents are compared in the chunks between these bytes: each resource of a JSON
# document has a few.
_CHUNK_START = b"{"
_BLOCK_BYTES = 4096

_MARK = b"\x01vwd"
_HEADER = Struct(f">4sQ{DIGEST_BYTES}s{DIGEST_BYTES}s")

# A literal, or offset and length of a part of the base.
_Step = bytes | tuple[int, int]


@dataclass(frozen=True)
class Document:
    """An encoded configuration document."""

    data: bytes

    @cached_property
    def digest(self) -> bytes:
        """Return the digest of `data`."""
        return hashlib.blake2b(self.data, digest_size=DIGEST_BYTES).digest()

    @cached_property
    def compressed(self) -> bytes:
        """Return `data` compressed for a node that has no base."""
        return compress(self.data) if self.data else b""


EMPTY_DOCUMENT = Document(b"")


def encode_delta(base: Document, new: Document, *, base_version: int) -> bytes:
    """Return the delta that transforms `base` into `new`.

    Parameters
    ----------
    base_version : int
        Version of `base`, for the logs of the receivers.
    """
    header = _HEADER.pack(_MARK, base_version, base.digest, new.digest)
    steps = list(_find_steps(base.data, new.data))
    return header + compress(cbor2.dumps(steps))


def _find_steps(base: bytes, new: bytes) -> Iterator[_Step]:
    """Yield the steps that assemble the chunks of `new`, each with a chunk start."""
    # Most changes leave both ends alone. Only the parts between them are split.
    head = _common_head(base, new)
    tail = _common_tail(base, new, after=head)
    base_end, new_end = len(base) - tail, len(new) - tail
    if head:
        yield 0, head
    yield from _find_changed_steps(
        _split_chunks(base[head:base_end], is_end=not tail),
        _split_chunks(new[head:new_end], is_end=not tail),
        offset=head,
    )
    if tail:
        yield base_end, tail + len(_CHUNK_START)


def _common_head(base: bytes, new: bytes) -> int:
    """Return the length of the whole chunks with which both documents begin."""
    length = 0
    while (block := base[length : length + _BLOCK_BYTES]) and (
        block == new[length : length + _BLOCK_BYTES]
    ):
        length += len(block)
    length += len(commonprefix((block, new[length : length + _BLOCK_BYTES])))
    return base.rfind(_CHUNK_START, 0, length) + 1


def _common_tail(base: bytes, new: bytes, *, after: int) -> int:
    """Return the length of the whole chunks with which both documents end.

    Parameters
    ----------
    after : int
        Length of the common head, which is not part of the tail.
    """
    limit = min(len(base), len(new)) - after
    length = 0
    while length < limit:
        size = min(_BLOCK_BYTES, limit - length)
        blocks = [d[len(d) - length - size : len(d) - length] for d in (base, new)]
        if blocks[0] != blocks[1]:
            length += len(commonprefix([block[::-1] for block in blocks]))
            break
        length += size
    start = base.find(_CHUNK_START, len(base) - length) + 1
    return len(base) - start if start else 0


def _split_chunks(part: bytes, *, is_end: bool) -> list[bytes]:
    """Return the chunks of a part of a document, which ends with a chunk start."""
    chunks = part.split(_CHUNK_START)
    # The last chunk of a document has no chunk start.
    return chunks if is_end else chunks[:-1]


def _find_changed_steps(
    base_chunks: list[bytes], new_chunks: list[bytes], *, offset: int
) -> Iterator[_Step]:
    index_by_chunk = {chunk: index for index, chunk in enumerate(base_chunks)}
    offsets = [offset]
    for chunk in base_chunks:
        offsets.append(offsets[-1] + len(chunk) + len(_CHUNK_START))
    literals: list[bytes] = []
    # Chunks of the base to copy before `literals`.
    first = end = 0
    for chunk in new_chunks:
        # After a changed chunk, the next one probably follows its counterpart.
        index = end + len(literals)
        if index >= len(base_chunks) or base_chunks[index] != chunk:
            index = index_by_chunk.get(chunk)
        if index is None:
            literals.append(chunk)
        elif index == end and not literals:
            end += 1
        else:
            yield from _format_steps(offsets, first, end, literals)
            literals = []
            first, end = index, index + 1
    yield from _format_steps(offsets, first, end, literals)


def _format_steps(
    offsets: list[int], first: int, end: int, literals: list[bytes]
) -> Iterator[_Step]:
    if end > first:
        yield offsets[first], offsets[end] - offsets[first]
    if literals:
        yield _CHUNK_START.join((*literals, b""))


def is_delta(encoded: bytes) -> bool:
    """Return whether a received document is a delta."""
    return encoded.startswith(_MARK)


def base_version_of(encoded: bytes) -> int:
    """Return the version that a received document is based on, 0 for a whole one."""
    if not is_delta(encoded) or len(encoded) < _HEADER.size:
        return 0
    return _HEADER.unpack_from(encoded)[1]


def decode_document(base: Document, encoded: bytes) -> Document:
    """Return the document in a received delta or whole document.

    Raises
    ------
    BaseMismatchError
        The delta is based on another document than `base`.
    DigestMismatchError
        The resulting document does not have the digest stated in the delta.
    DocumentError
        `encoded` is corrupt, or the document exceeds `MAX_DOCUMENT_BYTES`.
    """
    if is_delta(encoded):
        return _apply_delta(base, encoded)
    try:
        return Document(decompress(encoded))
    except zlib_error as error:
        raise DocumentError(
            f"cannot decompress the document: {error}", step="document.decompress"
        ) from error


def _apply_delta(base: Document, encoded: bytes) -> Document:
    if len(encoded) < _HEADER.size:
        raise DocumentError("delta is cut short", step="delta.header")
    _, base_version, base_digest, digest = _HEADER.unpack_from(encoded)
    if base_digest != base.digest:
        raise BaseMismatchError(
            f"the delta is based on another document (version {base_version})",
            step="delta.base",
        )
    steps = _decode_steps(encoded[_HEADER.size :])
    document = Document(_assemble(base.data, steps))
    if document.digest != digest:
        raise DigestMismatchError(
            f"the document has digest {document.digest.hex()}, expected {digest.hex()}",
            step="delta.verify",
        )
    return document


def _decode_steps(compressed: bytes) -> list[_Step]:
    decompressor = decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            raise ValueError("cut short or too large")
        return msgspec.convert(cbor2.loads(data), list[_Step])
    except (zlib_error, cbor2.CBORDecodeError, ValueError) as error:
        raise DocumentError(
            f"cannot decode the delta: {error}", step="delta.decode"
        ) from error


def _assemble(base: bytes, steps: list[_Step]) -> bytes:
    """Return the document that the steps assemble, without its last chunk start."""
    parts = []
    left = MAX_DOCUMENT_BYTES
    # Views, since a document is large and most of it is copied from the base.
    view = memoryview(base)
    for step in steps:
        if isinstance(step, bytes):
            copied, literal = b"", step
        else:
            offset, length = step
            # A chunk start follows the base.
            has_end = offset >= 0 and offset + length == len(base) + 1
            literal = _CHUNK_START if has_end and length else b""
            length -= len(literal)
            copied = view[offset : offset + length] if offset >= 0 else b""
            if len(copied) != length:
                raise DocumentError(
                    f"the base has no {length} bytes at {offset}", step="delta.copy"
                )
        left -= len(copied) + len(literal)
        if left < 0:
            raise DocumentError(
                f"the document exceeds {MAX_DOCUMENT_BYTES} bytes", step="delta.size"
            )
        parts += [part for part in (copied, literal) if part]
    if parts and parts[-1][-1:] == _CHUNK_START:
        parts[-1] = parts[-1][:-1]
    return b"".join(parts)
