"""Decoding of JSON that other writers may have nested without bound."""

import re
from typing import TypeVar

import msgspec

# No message or object of the platform is nested nearly as deeply.
MAX_DEPTH = 64

_T = TypeVar("_T")
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode_json(data: bytes | msgspec.Raw, decoder: msgspec.json.Decoder[_T]) -> _T:
    """Decode a JSON document; values nested too deeply count as null.

    Raises
    ------
    msgspec.MsgspecError
        `data` is not valid or does not have the type of the decoder.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        return decoder.decode(prune_nesting(bytes(data)))


def prune_nesting(data: bytes) -> bytes:
    """Return a JSON document in which null replaces all nested beyond `MAX_DEPTH`."""
    parts = []
    depth = kept_until = 0
    for token in _TOKEN.finditer(data):
        if token[0] in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [data[kept_until : token.start()], b"null"]
                kept_until = len(data)
        elif token[0] in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                kept_until = token.end()
            depth -= 1
    return b"".join((*parts, data[kept_until:]))
