"""Deltas, digests and snapshots.

Guards against a node that holds another document than the accepted one, and against
unbounded memory use when values are decompressed.
"""

import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.test_document import REMOVED, change_at, example_content
from verbenawick.configuration._delta import (
    COLLECTIONS,
    MAX_DECODED_BYTES,
    Delta,
    EntityChange,
    apply_delta,
    compress,
    decode_delta,
    decode_snapshot,
    decompress,
    diff_documents,
    digest_of,
    encode_delta,
    encode_snapshot,
    find_differences,
)
from verbenawick.configuration._document import parse_document
from verbenawick.errors import BaseMismatchError, DigestMismatchError, DocumentError

entities = st.dictionaries(
    st.sampled_from("abcd"), st.fixed_dictionaries({"n": st.integers(0, 2)})
)
contents = st.fixed_dictionaries(
    {
        **dict.fromkeys(COLLECTIONS, entities),
        "preset_in_force": st.sampled_from(["ordinary", "peak"]),
    }
)


class TestDelta(TestCase):
    """Deltas and differences between two documents."""

    @settings(derandomize=True, deadline=None)
    @given(contents, contents)
    def test_applied_delta_leads_to_the_new_document(self, base, new):
        delta = decode_delta(encode_delta(diff_documents(base, new)))
        self.assertEqual(new, apply_delta(base, delta))

    def test_small_change_has_a_small_delta(self):
        base = example_content()
        new = change_at(base, "preset_in_force", "peak")
        self.assertLess(len(encode_delta(diff_documents(base, new))), 80)

    def test_applying_does_not_modify_the_base(self):
        base = example_content()
        digest = digest_of(base)
        new = change_at(base, "routes_by_id.clearance", REMOVED)
        apply_delta(base, diff_documents(base, new))
        self.assertEqual(digest, digest_of(base))

    def test_delta_on_another_base_is_refused(self):
        base = example_content()
        delta = diff_documents(base, change_at(base, "preset_in_force", "peak"))
        other = change_at(base, "routes_by_id.clearance", REMOVED)
        self.assertRaises(BaseMismatchError, apply_delta, other, delta)

    def test_wrong_result_is_refused(self):
        base = example_content()
        delta = Delta(digest_of(base), bytes(16), "peak", ())
        self.assertRaises(DigestMismatchError, apply_delta, base, delta)

    def test_unknown_collection_is_refused(self):
        base = example_content()
        change = EntityChange("secrets_by_id", "x", {})
        delta = Delta(digest_of(base), bytes(16), "peak", (change,))
        self.assertRaises(DocumentError, apply_delta, base, delta)

    def test_differences_name_paths_and_values(self):
        base = example_content()
        new = change_at(base, "policies_by_id.reads.timeout_s", 1.5)
        new = change_at(new, "routes_by_id.clearance", REMOVED)
        lines = [str(difference) for difference in find_differences(base, new)]
        self.assertEqual("policies_by_id.reads.timeout_s: 2.0 -> 1.5", lines[0])
        self.assertTrue(lines[1].startswith("routes_by_id.clearance: removed"))


class TestEncoding(TestCase):
    """Encoding and decoding of stored values."""

    def test_digest_does_not_depend_on_the_order_of_keys(self):
        content = example_content()
        reordered = dict(reversed(content.items()))
        self.assertEqual(digest_of(content), digest_of(reordered))
        self.assertEqual(16, len(digest_of(content)))

    def test_snapshot_keeps_the_document_and_its_digest(self):
        content = example_content()
        decoded = decode_snapshot(encode_snapshot(content), digest_of(content))
        self.assertEqual(content, parse_document(decoded).content())

    def test_snapshot_of_another_document_is_refused(self):
        data = encode_snapshot(example_content())
        self.assertRaises(DigestMismatchError, decode_snapshot, data, bytes(16))

    def test_decompressed_size_is_bounded_with_and_without_a_size_in_the_header(self):
        value = bytes(MAX_DECODED_BYTES + 1)
        for write_size in (True, False):
            compressor = zstandard.ZstdCompressor(write_content_size=write_size)
            data = compressor.compress(value)
            self.assertLess(len(data), 2000)
            error = self.assertRaises(DocumentError, decompress, data)
            self.assertIn("bytes when decompressed", error.message)

    def test_corrupt_values_are_refused(self):
        whole = encode_delta(Delta(bytes(16), bytes(16), "peak", ()))
        for data in (b"", b"x", whole[:-1], compress(7), compress([1, 2, 3, 4])):
            self.assertRaises(DocumentError, decode_delta, data)
