"""Tests of the least served share of routes and workspaces."""

from testtools import TestCase

from verbenawick.sharing._served_shares import MAX_GROUPS, ServedShares

URGENT, MINOR = ("urgent",), ("minor",)


class ServedSharesTest(TestCase):
    """Calls that compete for slots."""

    def test_route_without_service_is_short_until_it_has_caught_up(self):
        """Urgent calls would keep all slots from a less urgent route."""
        shares = ServedShares()
        for now in range(10):
            shares.add(URGENT, is_served=True, now=0.1 * now)
            shares.add(MINOR, is_served=False, now=0.1 * now)
        self.assertTrue(shares.is_short(MINOR))
        self.assertFalse(shares.is_short(URGENT))
        for _ in range(10):
            shares.add(MINOR, is_served=True, now=1.0)
        self.assertFalse(shares.is_short(MINOR))

    def test_nobody_is_short_where_all_are_refused_alike(self):
        """Priorities would not count while the upstream serves nobody."""
        shares = ServedShares()
        for _ in range(10):
            shares.add(URGENT, is_served=False, now=0.0)
            shares.add(MINOR, is_served=False, now=0.0)
        self.assertFalse(shares.is_short(MINOR))

    def test_one_refused_call_does_not_make_a_route_short(self):
        """A rare kind of call would go first because of chance."""
        shares = ServedShares()
        shares.add(URGENT, is_served=True, now=0.0)
        shares.add(MINOR, is_served=False, now=0.0)
        self.assertFalse(shares.is_short(MINOR))

    def test_repeated_calls_gain_only_a_part_of_the_room(self):
        """Callers that repeat each refused call at once would go before all others."""
        shares = ServedShares()
        short_grants = 0
        for _ in range(1000):
            for _ in range(20):
                shares.add(MINOR, is_served=False, now=0.0)
            short_grants += shares.is_short(MINOR)
            shares.add(
                MINOR if shares.is_short(MINOR) else URGENT, is_served=True, now=0.0
            )
        self.assertLess(0, short_grants)
        self.assertLess(short_grants, 260)

    def test_number_of_groups_is_bounded(self):
        """Memory would grow with the number of routes ever called."""
        shares = ServedShares()
        for index in range(3 * MAX_GROUPS):
            shares.add((f"r{index}",), is_served=True, now=0.0)
        self.assertLessEqual(len(shares._share_by_group), MAX_GROUPS)
