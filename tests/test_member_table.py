"""Tests of the member table: views, ages, limits and encoding."""

from testtools import TestCase

from verbenawick.errors import MemberTableError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import MemberState
from verbenawick.membership._member_table import (
    MAX_DEPARTED_PER_REGION,
    MemberTable,
    decode_region_table,
    encode_region_table,
)
from verbenawick.membership._membership_messages import DepartedRow, LoadRow, MemberRow
from verbenawick.runtime._clock import ManualClock

HORIZON_S = 7200.0


def row(node_id, *, incarnation=1, service="svc", age_s=0, is_draining=False):
    """Return the row of a member in data centre ``dc``."""
    return MemberRow(
        node_id, incarnation, service, "dc", "10.0.0.1:70", 12, is_draining, age_s
    )


def departed(node_id, *, incarnation=1, age_s=0, process_ended=False):
    """Return the row of a departed member."""
    return DepartedRow(node_id, incarnation, "svc", False, process_ended, age_s)


class MemberTableTest(TestCase):
    """Tests of `MemberTable` and of the encoding of its snapshots."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = self.new_table()

    def new_table(self, **options):
        """Return an empty member table for node ``n1``."""
        identity = NodeIdentity("n1", 1, "svc", "dc", "r", "10.0.0.1:70")
        return MemberTable(identity, clock=self.clock, horizon_s=HORIZON_S, **options)

    def apply(self, joined=(), departed=(), *, region="r", serial=1):
        """Apply changes to `self.table`."""
        self.table.apply(region, 1, serial, joined=joined, departed=departed)

    def test_views_by_service_and_data_centre_are_sorted(self):
        """All nodes list members in the same order."""
        self.apply([row("n2"), row("n1", is_draining=True), row("n3", service="x")])
        self.assertEqual(
            ["n1", "n2"], [m.node_id for m in self.table.members_of("svc")]
        )
        self.assertEqual(3, len(self.table.members_in("dc")))
        self.assertIs(MemberState.DRAINING, self.table.member("n1").state)
        self.assertEqual("r", self.table.member("n1").region)

    def test_snapshot_keeps_members_that_it_omits_as_departed(self):
        """A former key owner that is unknown to a new relay is listed as departed."""
        self.apply([row("n1"), row("n2"), row("n3")], [departed("n0")])
        newer = self.new_table()
        newer.apply(
            "r", 2, 1, joined=[row("n1"), row("n2", incarnation=2)], departed=()
        )
        self.table.replace(newer.snapshot("r"))
        self.assertEqual(
            [("n0", 1), ("n2", 1), ("n3", 1)],
            sorted(
                (departed_member.node_id, departed_member.incarnation)
                for departed_member in self.table.departed_of("svc")
            ),
        )
        newer.apply("r", 2, 2, joined=[row("n3")], departed=())
        self.table.replace(newer.snapshot("r"))
        self.assertNotIn("n3", [d.node_id for d in self.table.departed_of("svc")])

    def test_recently_joined_ends_at_the_horizon(self):
        """The flag is cleared at the horizon without an update of the table."""
        self.apply([row("n1", age_s=7000)])
        self.assertTrue(self.table.member("n1").recently_joined)
        self.clock.advance(201)
        self.assertFalse(self.table.member("n1").recently_joined)

    def test_old_process_of_restarted_member_is_departed(self):
        """The old incarnation is listed as departed until the horizon."""
        self.apply([row("n2")])
        self.apply([row("n2", incarnation=2)], [departed("n2", process_ended=True)])
        self.assertEqual(2, self.table.member("n2").incarnation)
        (old,) = self.table.departed_of("svc")
        self.assertTrue(old.process_ended)
        self.clock.advance(HORIZON_S + 1)
        self.assertEqual((), self.table.departed_of("svc"))

    def test_late_departure_of_an_old_process_keeps_the_new_one(self):
        """A departure received after the restart does not remove the new process."""
        self.apply([row("n2", incarnation=2)])
        self.apply(departed=[departed("n2", incarnation=1)])
        self.assertIsNotNone(self.table.member("n2"))

    def test_rejoined_process_is_no_longer_departed(self):
        """A process that was removed by mistake joins again."""
        self.apply([row("n2")])
        self.apply(departed=[departed("n2")])
        self.apply([row("n2")])
        self.assertEqual((), self.table.departed_of("svc"))

    def test_authority_requires_own_membership(self):
        """A process that is not in its own table has no authority to claim keys."""
        self.table.extend_authority(self.clock.now() + 60)
        self.assertEqual(0.0, self.table.authority_deadline())
        self.apply([row("n1", incarnation=2)])
        self.assertEqual(0.0, self.table.authority_deadline())
        self.apply([row("n1")])
        self.assertEqual(self.clock.now() + 60, self.table.authority_deadline())
        self.table.withdraw_authority()
        self.assertEqual(0.0, self.table.authority_deadline())

    def test_loads_are_kept_for_known_members_only(self):
        """Loads of unknown nodes are ignored, so that they cannot use up the memory."""
        self.apply([row("n2")])
        self.table.set_loads([LoadRow("n2", 150, False), LoadRow("other", 1, True)])
        self.assertEqual(1.0, self.table.load_of("n2").busy_share)
        self.assertIsNone(self.table.load_of("other"))
        self.apply(departed=[departed("n2")])
        self.assertIsNone(self.table.load_of("n2"))

    def test_limits_are_enforced(self):
        """Joins above the limit are ignored; the oldest departures are dropped."""
        self.table = self.new_table(max_members=5)
        self.apply([row(f"m{i}") for i in range(9)])
        self.assertEqual(5, self.table.size())
        count = MAX_DEPARTED_PER_REGION
        self.apply(
            departed=[departed(f"d{i}", age_s=count + 2 - i) for i in range(count + 2)]
        )
        ids = {d.node_id for d in self.table.departed_of("svc")}
        self.assertEqual(count, len(ids))
        self.assertNotIn("d0", ids)
        self.assertIn(f"d{count + 1}", ids)

    def test_snapshot_round_trip_preserves_ages(self):
        """Ages become times on the reader's clock, including the age of the data."""
        self.apply([row("n1", age_s=100)], [departed("n2", age_s=50)])
        self.clock.advance(10)
        data = encode_region_table(self.table.snapshot("r"))
        copy = self.new_table()
        copy.replace(decode_region_table(data), data_age_s=30.0)
        self.assertEqual(self.clock.now() - 140, copy.joined_at("n1"))
        (departed_member,) = copy.departed_of("svc")
        self.assertEqual(self.clock.now() - 90, departed_member.departed_at)
        self.assertEqual((1, 1), copy.region("r").version)

    def test_invalid_tables_raise_member_table_error(self):
        """Invalid data from a peer raises an error that the component handles."""
        import zstandard

        compress = zstandard.ZstdCompressor().compress
        for data in (b"", b"junk", compress(b"\xff"), compress(b"\x81\x01")):
            self.assertRaises(MemberTableError, decode_region_table, data)
