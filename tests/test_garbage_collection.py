"""When the test process collects garbage."""

import gc

from testtools import TestCase

from tests.conftest import MIDDLE_COLLECTIONS, pytest_runtest_logfinish

CYCLES = 400_000


class GarbageCollectionTest(TestCase):
    """Full collections, in which the whole process stands still."""

    def test_no_full_collection_starts_inside_of_a_test(self):
        """Guards against delays of up to a second in tests with a bound on time."""
        kept = []
        before = gc.get_stats()[2]["collections"]
        for _ in range(CYCLES):
            item = []
            item.append(item)
            # Without many new objects CPython puts a due collection off.
            kept.append([])
        self.assertEqual(before, gc.get_stats()[2]["collections"])
        # The garbage of tests is collected after them.
        self.assertGreaterEqual(gc.get_count()[2], MIDDLE_COLLECTIONS)
        pytest_runtest_logfinish("", None)
        self.assertEqual(before + 1, gc.get_stats()[2]["collections"])
        self.assertEqual(0, gc.get_count()[2])
