"""Tests of JSON that is nested without bound."""

import json

import msgspec
from testtools import TestCase

from verbenawick.platform._documents import decode_report
from verbenawick.platform._json import MAX_DEPTH, decode_json, prune_nesting

NESTED = b'{"a":[' * 50_000 + b'"]}"' + b"]}" * 50_000
DECODER = msgspec.json.Decoder(dict)


class DecodeJsonTest(TestCase):
    """Documents of another writer."""

    def test_nested_value_counts_as_null_and_the_others_hold(self):
        """Guards against a RecursionError that ends the reader."""
        data = b'{"x":"a[\\"{","y":%s,"z":[1,{"k":2}]}' % NESTED
        content = decode_json(data, DECODER)
        self.assertEqual(('a["{', [1, {"k": 2}]), (content["x"], content["z"]))

    def test_document_within_the_depth_is_unchanged(self):
        """Guards against valid values that are dropped."""
        data = b"[" * MAX_DEPTH + b'"]"' + b"]" * MAX_DEPTH
        self.assertEqual(data, prune_nesting(data))
        pruned = json.loads(prune_nesting(b"[" + data + b",1]"))
        self.assertEqual(1, pruned[1])

    def test_cut_document_is_an_error(self):
        """Guards against a document without end that is taken for a whole one."""
        self.assertRaises(msgspec.DecodeError, decode_json, NESTED[:200_000], DECODER)

    def test_nested_report_is_invalid(self):
        """Guards against an unexpected exception from a status report."""
        self.assertRaises(
            (msgspec.MsgspecError, ValueError), decode_report, "i-1", NESTED
        )
