"""When the record of a node that is away is removed."""

from testtools import TestCase

from verbenawick.mesh._absent_nodes import FORGET_AFTER_S, AbsentNodes

ALL_LINKED = dict.fromkeys((f"n{number}" for number in range(8)), True)
ONE_AWAY = {**ALL_LINKED, "n3": False}
THREE_AWAY = {**ONE_AWAY, "n4": False, "n5": False}


class AbsentNodesTest(TestCase):
    """Eight other nodes; one or three of them are away."""

    def setUp(self):
        super().setUp()
        self.absent = AbsentNodes()

    def test_node_that_stays_away_is_removed(self):
        """Records of failed VMs would pile up, some four each day."""
        self.assertEqual([], self.absent.observe(ONE_AWAY, 0.0))
        self.assertEqual([], self.absent.observe(ONE_AWAY, FORGET_AFTER_S - 1))
        self.assertEqual(["n3"], self.absent.observe(ONE_AWAY, FORGET_AFTER_S))

    def test_node_that_comes_back_starts_anew(self):
        """A VM that restarts often is not away for good."""
        self.absent.observe(ONE_AWAY, 0.0)
        self.absent.observe(ALL_LINKED, FORGET_AFTER_S / 2)
        self.assertEqual([], self.absent.observe(ONE_AWAY, FORGET_AFTER_S))

    def test_nobody_is_removed_while_many_are_away(self):
        """A relay whose own network is cut must not remove the others."""
        self.absent.observe(THREE_AWAY, 0.0)
        self.assertEqual([], self.absent.observe(THREE_AWAY, 2 * FORGET_AFTER_S))
        # Not at once after the others are back, either.
        self.assertEqual([], self.absent.observe(ONE_AWAY, 2 * FORGET_AFTER_S))

    def test_a_mesh_of_one_removes_nobody(self):
        """There is nobody to remove."""
        self.assertEqual([], self.absent.observe({}, 0.0))
