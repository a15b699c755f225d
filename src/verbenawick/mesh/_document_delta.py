"""Deltas between configuration documents, independent of their content.

A delta is the new document compressed with the base document as dictionary, so that
only the differing bytes take up space, wherever they are. Digests of both documents
guarantee that a node applies it to the right base and obtains the right document.

A whole document is compressed with zlib. The mark of a delta is no valid start of a
zlib stream, so a release without deltas rejects one and requests the whole document.
"""

import hashlib
from dataclasses import dataclass
from functools import cached_property
from struct import Struct
from zlib import compress, decompress
from zlib import error as zlib_error

import zstandard

from verbenawick.errors import (
    BaseMismatchError,
    DigestMismatchError,
    DocumentError,
)

DIGEST_BYTES = 16
# Level 1 finds too few matches in the dictionary: 9,400 bytes for a change of two
# routes among 1,139, against 71 at level 3.
COMPRESSION_LEVEL = 3
# The window has to contain the base and the new document.
MIN_WINDOW_LOG = 10
MAX_WINDOW_LOG = 24
# Limits the memory needed to apply an invalid delta.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

_MARK = b"\x01vwd"
_HEADER = Struct(f">4sQ{DIGEST_BYTES}s{DIGEST_BYTES}s")


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
    size = len(base.data) + len(new.data)
    window_log = min(max(size.bit_length(), MIN_WINDOW_LOG), MAX_WINDOW_LOG)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, window_log=window_log
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary_of(base), compression_params=parameters
    )
    header = _HEADER.pack(_MARK, base_version, base.digest, new.digest)
    return header + compressor.compress(new.data)


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
    document = Document(_decompress_delta(base, encoded[_HEADER.size :]))
    if document.digest != digest:
        raise DigestMismatchError(
            f"the document has digest {document.digest.hex()}, expected {digest.hex()}",
            step="delta.verify",
        )
    return document


def _decompress_delta(base: Document, compressed: bytes) -> bytes:
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary_of(base), max_window_size=1 << MAX_WINDOW_LOG
    )
    try:
        # `decompress` ignores `max_output_size` if the frame header states a size.
        size = zstandard.frame_content_size(compressed)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            raise DocumentError(
                f"stated size {size} is not 0 to {MAX_DOCUMENT_BYTES} bytes",
                step="delta.size",
            )
        return decompressor.decompress(compressed)
    except zstandard.ZstdError as error:
        raise DocumentError(
            f"cannot decompress the delta: {error}", step="delta.decompress"
        ) from error


def _dictionary_of(base: Document) -> zstandard.ZstdCompressionDict | None:
    # zstandard rejects an empty dictionary.
    if not base.data:
        return None
    return zstandard.ZstdCompressionDict(
        base.data, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
