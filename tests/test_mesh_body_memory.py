"""Tests of the limit on the request bodies that a node holds."""

import gc
import io
import tracemalloc

from testtools import TestCase

from verbenawick.errors import BodiesFullError, BodyNotCarriedError
from verbenawick.links._call_messages import MAX_MESSAGE_BODY_BYTES
from verbenawick.mesh._body_memory import (
    MAX_HELD_BYTES,
    SMALL_BODY_BYTES,
    BodyMemory,
    receive_body,
)
from verbenawick.mesh._model import RequestLimits


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

    def test_refused_bodies_in_chunks_are_freed_at_once(self):
        """Guards against memory that refused uploads keep until a collection."""
        gc.disable()
        self.addCleanup(gc.enable)
        limits = RequestLimits()
        upload = bytes(MAX_MESSAGE_BODY_BYTES + 1)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(3):
            environ = {
                "HTTP_TRANSFER_ENCODING": "chunked",
                "wsgi.input": io.BytesIO(upload),
            }
            # `assertRaises` would keep the error with its traceback.
            try:
                with self.memory.reservation() as reserve:
                    receive_body(environ, limits, reserve)
                self.fail("the body is too large")
            except BodyNotCarriedError:
                pass
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, MAX_MESSAGE_BODY_BYTES // 4)
