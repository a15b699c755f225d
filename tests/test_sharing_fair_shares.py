"""Tests of the fair shares of workspaces."""

from collections import Counter

from testtools import TestCase

from verbenawick.sharing._fair_shares import FairShares, weights_by_workspace
from verbenawick.workspaces._model import Workspace, Workspaces

SLOTS = 5


def serve(shares, service_s_by_name, *, seconds, start=0.0):
    """Return the service time that each workspace gets if all always have calls."""
    served_s = Counter()
    now = start
    while now < start + seconds:
        name = min(
            service_s_by_name,
            key=lambda name: (shares.excess(name, 0.1, now), served_s[name] % 0.7),
        )
        shares.charge(name, service_s_by_name[name], now)
        served_s[name] += service_s_by_name[name]
        now += service_s_by_name[name] / SLOTS
    return served_s


class FairSharesTest(TestCase):
    """Workspaces at an upstream with five slots."""

    def test_workspaces_get_similar_time_whatever_their_calls_take(self):
        """Equal numbers of calls would favour the workspace with the long calls."""
        served_s = serve(FairShares(), {"short": 0.1, "long": 0.4}, seconds=30)
        self.assertLess(served_s["long"], 1.3 * served_s["short"])

    def test_time_is_shared_in_proportion_to_the_allowances(self):
        """A large workspace would be cut down to the size of a small one."""
        names_and_rates = (("small", 10.0), ("large", 40.0), ("unlimited", 0.0))
        by_name = {n: Workspace(n, rate_per_s=r) for n, r in names_and_rates}
        shares = FairShares()
        shares.weight_by_workspace = weights_by_workspace(Workspaces(by_name))
        served_s = serve(shares, dict.fromkeys(by_name, 0.1), seconds=30)
        self.assertGreater(served_s["large"], 2.5 * served_s["small"])
        self.assertGreater(served_s["unlimited"], 2.5 * served_s["small"])

    def test_few_calls_above_the_share_are_tolerated(self):
        """Chance clumps of calls would push back calls that have waited longer."""
        shares = FairShares()
        for index in range(20):
            shares.charge(f"w{index}", 0.1, 0.0)
        for _ in range(2):
            shares.charge("w0", 0.1, 0.0)
        self.assertEqual(0, shares.excess("w0", 0.1, 0.0))
        for _ in range(20):
            shares.charge("w0", 0.1, 0.0)
        self.assertGreater(shares.excess("w0", 0.1, 0.0), 0)

    def test_use_of_idle_room_is_forgotten(self):
        """A workspace that used idle room would be served last long afterwards."""
        shares = FairShares()
        serve(shares, {"alone": 0.1}, seconds=30)
        shares.charge("other", 0.1, 45.0)
        self.assertEqual(0, shares.excess("alone", 0.1, 45.0))

    def test_absent_workspaces_are_removed(self):
        """Memory would grow with the number of workspaces ever seen."""
        shares = FairShares()
        for index in range(1000):
            shares.charge(f"w{index}", 0.1, float(index))
        self.assertLess(len(shares), 50)
