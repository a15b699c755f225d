"""Tests of records whose address has been taken over by another node."""

from testtools import TestCase

from tests.test_mesh_record_follower import record
from verbenawick.mesh._address_owners import AddressOwners


class AddressOwnersTest(TestCase):
    """Records of nodes at two addresses."""

    def setUp(self):
        super().setUp()
        self.owners = AddressOwners(node_id="own", peer_address="10.0.0.9:7001")

    def put(self, name, revision, address="10.0.0.1:7001"):
        superseded = self.owners.put(record(name, revision, peer_address=address))
        return superseded and superseded.node_id

    def superseded_ids(self):
        return [item.node_id for item in self.owners.superseded()]

    def test_later_record_takes_the_address(self):
        """Guards against calls for the removed node of a reused address."""
        self.assertIsNone(self.put("old", 5))
        self.assertEqual("old", self.put("new", 9))
        self.assertEqual(["old"], self.superseded_ids())

    def test_earlier_record_that_is_read_later_does_not_take_the_address(self):
        """Guards against an order of the records that decides."""
        self.put("new", 9)
        self.assertEqual("old", self.put("old", 5))
        self.assertIsNone(self.put("new", 10))

    def test_own_address_belongs_to_no_other_node(self):
        """Guards against links of a node to itself."""
        self.assertEqual("old", self.put("old", 5, "10.0.0.9:7001"))
        self.assertIsNone(self.put("own", 1, "10.0.0.9:7001"))

    def test_nodes_with_their_own_addresses_supersede_none(self):
        """Guards against live nodes that are ignored."""
        self.put("a", 5)
        self.assertIsNone(self.put("b", 6, "10.0.0.2:7001"))
        self.assertIsNone(self.put("a", 7))
        self.assertIsNone(self.put("b", 8, "10.0.0.3:7001"))
        self.assertIsNone(self.put("c", 9, "10.0.0.2:7001"))
        self.assertEqual([], self.superseded_ids())

    def test_superseded_node_that_returns_is_used_again(self):
        """Guards against a node that stays unknown after it moved."""
        self.put("old", 5)
        self.put("new", 9)
        self.assertIsNone(self.put("old", 12, "10.0.0.4:7001"))
        self.assertEqual([], self.superseded_ids())

    def test_removed_record_frees_its_address(self):
        """Guards against records of the past that supersede new ones."""
        self.put("old", 5)
        self.owners.remove("old")
        self.assertIsNone(self.put("new", 3))
        self.put("other", 4)
        self.owners.remove("new")
        self.assertEqual([], self.superseded_ids())
