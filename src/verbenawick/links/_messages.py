"""Registry and CBOR codec of the messages between nodes.

A message is a frozen data class registered with a kind number. It is encoded as the
CBOR array ``[PROTOCOL_VERSION, kind, field, field, ...]`` in field order. Decoding
validates the number and the types of the fields. A nested data class is encoded as an
array of its fields and must be annotated with `Row[...]`.

Ranges of kinds start at 10 for membership, 30 for configuration, 50 for calls and 70
for claims.
"""

from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import cbor2
import msgspec

from verbenawick.errors import ProtocolError

PROTOCOL_VERSION = 1

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages."""


# Builds a message from its field values; raises ValueError if they are invalid.
Decoder = Callable[[list], "Message"]

messages_by_kind: dict[int, type[Message]] = {}
_kind_by_type: dict[type[Message], int] = {}
_decoders_by_kind: dict[int, Decoder] = {}
_field_names_by_type: dict[type, tuple[str, ...]] = {}


def register_message(kind: int):
    """Return a class decorator that registers a message class.

    Parameters
    ----------
    kind : int
        Unique number of the message class in the wire format.
    """

    def decorate(cls):
        if kind in messages_by_kind:
            raise ValueError(f"message kind {kind} is registered twice")
        messages_by_kind[kind] = cls
        _kind_by_type[cls] = kind
        return cls

    return decorate


def _field_names(cls: type) -> tuple[str, ...]:
    names = _field_names_by_type.get(cls)
    if names is None:
        names = tuple(field.name for field in fields(cls))
        _field_names_by_type[cls] = names
    return names


def _encode_nested(encoder, value) -> None:
    if not is_dataclass(value):
        raise TypeError(f"cannot encode {type(value).__name__}")
    encoder.encode([getattr(value, name) for name in _field_names(type(value))])


def encode_message(message: Message) -> bytes:
    """Encode `message` in the wire format."""
    cls = type(message)
    values = [getattr(message, name) for name in _field_names(cls)]
    return cbor2.dumps(
        [PROTOCOL_VERSION, _kind_by_type[cls], *values], default=_encode_nested
    )


def _decoder_for(kind: int) -> Decoder | None:
    decoder = _decoders_by_kind.get(kind)
    if decoder is None and kind in messages_by_kind:
        # Built lazily because building a decoder takes about a millisecond.
        cls = messages_by_kind[kind]
        hints = get_type_hints(cls, include_extras=True).values()
        build = _nested_decoder if any(map(_has_rows, hints)) else _flat_decoder
        decoder = _decoders_by_kind[kind] = build(cls)
    return decoder


def _has_rows(annotation: Any) -> bool:
    if get_origin(annotation) is Annotated:
        return True
    return any(_has_rows(argument) for argument in get_args(annotation))


def _flat_decoder(cls: type[Message]) -> Decoder:
    names = _field_names(cls)

    def decode(values: list) -> Message:
        if len(values) != len(names):
            raise ValueError(f"{len(values)} fields instead of {len(names)}")
        return msgspec.convert(dict(zip(names, values, strict=True)), cls)

    return decode


def _nested_decoder(cls: type[Message]) -> Decoder:
    # Imported lazily: a node that uses no such messages does not need pydantic here.
    from pydantic import TypeAdapter, ValidationError
    from pydantic_core import ArgsKwargs

    adapter = TypeAdapter(cls)

    def decode(values: list) -> Message:
        try:
            return adapter.validate_python(ArgsKwargs(tuple(values)))
        except ValidationError as error:
            raise ValueError(error.errors()[0]["msg"]) from error

    return decode


def decode_message(data: bytes, *, peer: str = "") -> Message:
    """Decode a message.

    Parameters
    ----------
    data : bytes
        One encoded message, see `encode_message`.
    peer : str
        Sender, reported in errors.

    Raises
    ------
    ProtocolError
        `data` is too large, is not valid CBOR, has another protocol version or an
        unknown kind, or has the wrong number or types of fields.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(
            "message exceeds the size limit", step="decode.size", peer=peer
        )
    try:
        array = cbor2.loads(data)
    except Exception as error:
        raise ProtocolError(
            f"message is not valid CBOR: {error}", step="decode.cbor", peer=peer
        ) from error
    if not isinstance(array, list) or len(array) < 2:
        raise ProtocolError(
            "message is not an array of version, kind and fields",
            step="decode.shape",
            peer=peer,
        )
    version, kind, *values = array
    if version != PROTOCOL_VERSION:
        raise ProtocolError(
            f"protocol version {version!r} is not {PROTOCOL_VERSION}",
            step="decode.version",
            peer=peer,
        )
    decoder = _decoder_for(kind) if isinstance(kind, int) else None
    if decoder is None:
        raise ProtocolError(
            f"unknown message kind {kind!r}", step="decode.kind", peer=peer
        )
    try:
        return decoder(values)
    except (ValueError, msgspec.ValidationError) as error:
        raise ProtocolError(
            f"invalid {messages_by_kind[kind].__name__}: {error}",
            step="decode.fields",
            peer=peer,
        ) from error
