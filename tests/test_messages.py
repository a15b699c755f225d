"""Tests of the codec of messages between nodes."""

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
    """Nested data class."""

    name: str
    size: int


@register_message(9002)
@dataclass(frozen=True, slots=True)
class Batch(Message):
    """Test message."""

    call_id: int
    items: list[Row[Item]]
    body: bytes = b""


class MessageTest(TestCase):
    """Encoding and decoding of messages, and rejection of invalid data."""

    def test_message_with_nested_rows_round_trips(self):
        """Guards against reordered fields in nested data classes."""
        message = Batch(7, [Item("a", 1), Item("b", 2)], b"xyz")
        self.assertEqual(message, decode_message(encode_message(message)))

    def test_oversized_message_is_refused_before_decoding(self):
        """Guards against memory exhaustion by a message above the size limit."""
        error = self.assertRaises(
            ProtocolError, decode_message, b"\x00" * (MAX_MESSAGE_BYTES + 1), peer="n1"
        )
        self.assertEqual(("decode.size", "n1"), (error.step, error.peer))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_protocol_errors(self, data):
        """Guards against other exceptions, which would end the calling green thread."""
        try:
            decode_message(data)
        except ProtocolError:
            pass

    @given(st.lists(st.one_of(st.integers(), st.text(), st.none(), st.binary())))
    def test_arbitrary_fields_raise_only_protocol_errors(self, values):
        """Guards against other exceptions for a wrong number or type of fields."""
        try:
            decode_message(cbor2.dumps([1, 9002, *values]))
        except ProtocolError:
            pass
