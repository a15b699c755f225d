"""Codec of configuration documents and store objects for distribution."""

from typing import Any

from verbenawick.calls._table import RoutingTable
from verbenawick.configuration._compile import compile_document
from verbenawick.configuration._config_feed import ChangeInfo, HeadInfo
from verbenawick.configuration._config_state import NO_VERSION, VersionRef
from verbenawick.configuration._delta import (
    apply_delta,
    decode_delta,
    decode_snapshot,
    digest_of,
    encode_snapshot,
)
from verbenawick.configuration._document import parse_document
from verbenawick.configuration._head import change_key, decode_change, decode_head


class ConfigCodec:
    """Implementation of `DocumentCodec` and `FeedCodec` for a node.

    A document is the plain data that deltas are applied to. It is validated on
    compilation, by the same functions as in acceptance.
    """

    def apply_delta(self, document: Any, delta: bytes) -> Any:
        """Return the document with a delta applied; see `DocumentCodec`."""
        return apply_delta(document, decode_delta(delta))

    def digest_of(self, document: Any) -> bytes:
        """Return the digest of a document."""
        return digest_of(document)

    def compile(self, document: Any, *, version: int, digest: bytes) -> RoutingTable:
        """Return the routing table of a document; see `DocumentCodec`."""
        return compile_document(parse_document(document), version, digest)

    def encode_snapshot(self, document: Any) -> bytes:
        """Return a document encoded as a compressed snapshot."""
        return encode_snapshot(document)

    def decode_snapshot(self, data: bytes, digest: bytes) -> Any:
        """Return the document encoded in a snapshot; see `DocumentCodec`."""
        return decode_snapshot(data, digest)

    def parse_head(self, value: bytes) -> HeadInfo:
        """Decode the value of `config/head`."""
        head = decode_head(value)
        return HeadInfo(
            ref=VersionRef(head.version, head.digest),
            base=_delta_base(head.version, head.delta),
            delta=head.delta,
            change_key=head.change_key,
            snapshot_key=head.snapshot_key,
        )

    def parse_change(self, value: bytes) -> ChangeInfo:
        """Decode the value of a change object."""
        change = decode_change(value)
        return ChangeInfo(
            ref=VersionRef(change.version, change.digest),
            base=_delta_base(change.version, change.delta),
            delta=change.delta,
            parent_key=change_key(change.parent_id) if change.parent_id else "",
        )


def _delta_base(version: int, delta: bytes) -> VersionRef:
    if not delta or version <= 1:
        return NO_VERSION
    return VersionRef(version - 1, decode_delta(delta).base_digest)
