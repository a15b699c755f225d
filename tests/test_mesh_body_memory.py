"""Tests of the limit on the request bodies that a node holds."""

from testtools import TestCase

from verbenawick.errors import BodiesFullError
from verbenawick.mesh._body_memory import (
    MAX_HELD_BYTES,
    SMALL_BODY_BYTES,
    BodyMemory,
)


class BodyMemoryTest(TestCase):
    """Reservations of several calls at the same time."""

    def setUp(self):
        super().setUp()
        self.memory = BodyMemory()

    def test_bodies_together_are_limited(self):
        """Guards against large bodies of several callers that end the process."""
        with self.memory.reservation() as reserve, self.memory.reservation() as other:
            reserve(MAX_HELD_BYTES - 10)
            self.assertRaises(BodiesFullError, other, SMALL_BODY_BYTES + 1)
            self.assertEqual(MAX_HELD_BYTES - 10, self.memory.held_bytes)
        with self.memory.reservation() as reserve:
            reserve(MAX_HELD_BYTES)

    def test_small_bodies_pass_beside_large_ones(self):
        """Guards against refusals of usual calls while a large body is received."""
        with self.memory.reservation() as reserve, self.memory.reservation() as other:
            reserve(MAX_HELD_BYTES)
            other(SMALL_BODY_BYTES)
            self.assertRaises(BodiesFullError, other, 1)

    def test_reservations_end_with_their_calls(self):
        """Guards against refusals after calls that ended in any way."""
        for error in (None, ValueError("x")):
            try:
                with self.memory.reservation() as reserve:
                    reserve(MAX_HELD_BYTES)
                    if error is not None:
                        raise error
            except ValueError:
                pass
            self.assertEqual(0, self.memory.held_bytes)
