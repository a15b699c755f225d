"""Tests for the detection of permanently unreachable nodes."""

from testtools import TestCase

from verbenawick.mesh._absent_nodes import REMOVE_AFTER_S, AbsentNodes

ALL_LINKED = dict.fromkeys((f"n{number}" for number in range(8)), True)
ONE_ABSENT = {**ALL_LINKED, "n3": False}
THREE_ABSENT = {**ONE_ABSENT, "n4": False, "n5": False}


class AbsentNodesTest(TestCase):
    """Eight other nodes, of which one or three have no link."""

    def setUp(self):
        super().setUp()
        self.absent = AbsentNodes()

    def test_node_without_link_is_removed_after_the_timeout(self):
        """Otherwise records of failed VMs accumulate, about four per day."""
        self.assertEqual([], self.absent.observe(ONE_ABSENT, 0.0))
        self.assertEqual([], self.absent.observe(ONE_ABSENT, REMOVE_AFTER_S - 1))
        self.assertEqual(["n3"], self.absent.observe(ONE_ABSENT, REMOVE_AFTER_S))

    def test_link_restarts_the_timeout(self):
        """A VM that restarts often must not be treated as permanently lost."""
        self.absent.observe(ONE_ABSENT, 0.0)
        self.absent.observe(ALL_LINKED, REMOVE_AFTER_S / 2)
        self.assertEqual([], self.absent.observe(ONE_ABSENT, REMOVE_AFTER_S))

    def test_no_node_is_removed_while_many_are_absent(self):
        """A partitioned relay must not remove the records of the other nodes."""
        self.absent.observe(THREE_ABSENT, 0.0)
        self.assertEqual([], self.absent.observe(THREE_ABSENT, 2 * REMOVE_AFTER_S))
        # The timeout starts again when the other links are back.
        self.assertEqual([], self.absent.observe(ONE_ABSENT, 2 * REMOVE_AFTER_S))

    def test_single_node_removes_nothing(self):
        """Without other nodes there are no records to remove."""
        self.assertEqual([], self.absent.observe({}, 0.0))
