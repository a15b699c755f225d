"""Codec of the messages between nodes."""

from dataclasses import dataclass

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from verbenawick.errors import ProtocolError
from verbenawick.links._message_rows import Row
from verbenawick.links._messages import (
    MAX_MESSAGE_BYTES,
    Message,
    decode_message,
    encode_message,
    register_message,
)


@dataclass(frozen=True, slots=True)
class Item:
    """Nested row."""

    name: str
    size: int


@register_message(9002)
@dataclass(frozen=True, slots=True)
class Batch(Message):
    """Message used by these tests only."""

    call_id: int
    items: list[Row[Item]]
    body: bytes = b""


class MessageTest(TestCase):
    """Encoding and decoding, and refusal of anything else."""

    def test_message_with_nested_rows_survives_the_wire(self):
        """Nested data classes come back equal; guards against field reordering."""
        message = Batch(7, [Item("a", 1), Item("b", 2)], b"xyz")
        self.assertEqual(message, decode_message(encode_message(message)))

    def test_oversized_message_is_refused_before_decoding(self):
        """A message over the limit is refused; guards against memory exhaustion."""
        error = self.assertRaises(
            ProtocolError, decode_message, b"\x00" * (MAX_MESSAGE_BYTES + 1), peer="n1"
        )
        self.assertEqual(("decode.size", "n1"), (error.step, error.peer))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_protocol_errors(self, data):
        """Any bytes decode or raise `ProtocolError`; guards a task against others."""
        try:
            decode_message(data)
        except ProtocolError:
            pass

    @given(st.lists(st.one_of(st.integers(), st.text(), st.none(), st.binary())))
    def test_arbitrary_fields_raise_only_protocol_errors(self, values):
        """Fields of wrong number or type raise `ProtocolError` and nothing else."""
        try:
            decode_message(cbor2.dumps([1, 9002, *values]))
        except ProtocolError:
            pass
