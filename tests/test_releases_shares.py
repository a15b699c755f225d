"""Which gateways calls go to during a release."""

from dataclasses import dataclass

from testtools import TestCase

from verbenawick.releases._model import ReleaseState, ReleaseView
from verbenawick.releases._shares import VIEW_VALID_S, VersionShares
from verbenawick.releases._tally import ReleaseTally


@dataclass
class Gateway:
    """A gateway with the version of its upstream."""

    node_id: str
    version: str


OLD = [Gateway(f"old-{n}", "v1") for n in range(20)]
NEW = [Gateway(f"new-{n:02}", "v2") for n in range(20)]


def view(
    state=ReleaseState.ACTIVE, share=0.1, *, is_final=False, revision=1, ordered_at=0
):
    """Return the view of a release to v2."""
    return ReleaseView("s", "v2", state, share, is_final, revision, ordered_at)


class SharesTest(TestCase):
    """Selection among the gateways of both versions."""

    def shares(self, *views) -> VersionShares:
        shares = VersionShares()
        for item in views:
            shares.put(item, 0.0)
        return shares

    def test_calls_without_a_release_go_to_all(self):
        """Services without a release are served as before."""
        gateways = OLD + NEW
        self.assertIs(gateways, self.shares().select("s", gateways, 0.0))
        self.assertIs(gateways, self.shares(view()).select("other", gateways, 0.0))

    def test_share_is_exact_and_falls_on_few_upstreams(self):
        """A few canaries carry the load of a whole upstream each."""
        shares = self.shares(view(share=0.1))
        chosen = [shares.select("s", OLD + NEW, 0.0) for _ in range(100)]
        targets = [gateways for gateways in chosen if gateways[0].version == "v2"]
        self.assertEqual(10, len(targets))
        self.assertEqual(
            {("new-00", "new-01")}, {tuple(g.node_id for g in t) for t in targets}
        )

    def test_end_of_a_release(self):
        """After the end, one of the versions gets no call."""
        completed = self.shares(view(ReleaseState.COMPLETED, 1.0, is_final=True))
        self.assertEqual(NEW, completed.select("s", OLD + NEW, 0.0))
        self.assertTrue(completed.is_retired("s", "v1", 0.0))
        rolled_back = self.shares(view(ReleaseState.ROLLED_BACK, 0.0))
        self.assertEqual(OLD, rolled_back.select("s", OLD + NEW, 0.0))
        self.assertEqual([], rolled_back.select("s", NEW, 0.0))
        self.assertTrue(rolled_back.is_retired("s", "v2", 0.0))

    def test_calls_go_on_when_a_version_has_no_upstreams(self):
        """A loss of all upstreams of one version does not end the service."""
        shares = self.shares(view(share=0.1))
        self.assertEqual(NEW, shares.select("s", NEW, 0.0))
        self.assertEqual(OLD, shares.select("s", OLD, 0.0))
        self.assertEqual(OLD, self.shares(view(share=1.0)).select("s", OLD, 0.0))

    def test_late_views_are_ignored(self):
        """A message of a lost leader must not raise a share that was rolled back."""
        shares = self.shares(view(ReleaseState.ROLLED_BACK, 0.0, revision=4))
        self.assertFalse(shares.put(view(share=0.5, revision=3), 0.0))
        self.assertFalse(shares.put(view(share=0.5, revision=4), 0.0))
        self.assertEqual(OLD, shares.select("s", OLD + NEW, 0.0))

    def test_roll_back_precedes_later_progress_of_its_order(self):
        """Guards against a leader that was not told of a roll-back of another one."""
        rolled_back = view(ReleaseState.ROLLED_BACK, 0.0, revision=4, ordered_at=1)
        later = view(share=1.0, revision=7, ordered_at=1)
        for views in ((rolled_back, later), (later, rolled_back)):
            shares = self.shares(*views)
            self.assertEqual(OLD, shares.select("s", OLD + NEW, 0.0))
            self.assertEqual(rolled_back, shares.roll_back_against(later, 0.0))
            self.assertFalse(shares.put(later, VIEW_VALID_S + 0.1))

    def test_version_that_is_ordered_anew_gets_calls(self):
        """Guards against a roll-back that binds the next order as well."""
        rolled_back = view(ReleaseState.ROLLED_BACK, 0.0, revision=4, ordered_at=1)
        anew = view(share=1.0, revision=6, ordered_at=5)
        for views in ((rolled_back, anew), (anew, rolled_back)):
            shares = self.shares(*views)
            self.assertIsNone(shares.roll_back_against(anew, 0.0))
            self.assertEqual(NEW, shares.select("s", OLD + NEW, 0.0))

    def test_stored_end_precedes_a_roll_back(self):
        """Guards against calls to upstreams that were stopped after the end."""
        rolled_back = view(ReleaseState.ROLLED_BACK, 0.0, revision=4, ordered_at=1)
        completed = view(ReleaseState.COMPLETED, 1.0, revision=5, ordered_at=1)
        for views in ((rolled_back, completed), (completed, rolled_back)):
            self.assertEqual(
                NEW, self.shares(*views).select("s", OLD + NEW, 0.0), views
            )

    def test_roll_back_is_known_while_it_is_repeated(self):
        """Guards against calls to a bad version for half a second every 10 s."""
        shares = VersionShares()
        rolled_back = view(ReleaseState.ROLLED_BACK, 0.0, revision=4, ordered_at=1)
        for number in range(60):
            self.assertEqual(number == 0, shares.put(rolled_back, number / 2))
            self.assertEqual(OLD, shares.select("s", OLD + NEW, number / 2))

    def test_retired_versions(self):
        """Upstreams of unknown version are not taken for another version."""
        shares = self.shares(view(share=1.0, is_final=True))
        self.assertEqual(
            [True, False, False],
            [shares.is_retired("s", v, 0.0) for v in ("v1", "v2", "")],
        )
        self.assertFalse(self.shares(view(share=1.0)).is_retired("s", "v1", 0.0))

    def test_release_is_forgotten_without_beacons(self):
        """A version that is started again later has to get calls."""
        shares = self.shares(view(ReleaseState.ROLLED_BACK, 0.0))
        end = VIEW_VALID_S + 0.1
        self.assertEqual(OLD + NEW, shares.select("s", OLD + NEW, end))
        self.assertFalse(shares.is_retired("s", "v2", end))
        self.assertIsNone(self.shares(view()).active("s", end))
        self.assertTrue(shares.put(view(share=0.5), end))


class TallyTest(TestCase):
    """Counts at a gateway."""

    def test_counts_only_during_a_release_and_for_one_upstream(self):
        """Calls of an earlier upstream at the address would be held against it."""
        tally = ReleaseTally()
        tally.add("r", 0.1, is_failure=True)
        self.assertEqual({}, tally.by_route)
        tally.follow("s", "v2", "u1")
        tally.add("r", 0.1, is_failure=True)
        tally.follow("s", "v2", "u1")
        self.assertEqual(1, tally.by_route["r"].failures)
        tally.follow("s", "v2", "u2")
        self.assertEqual({}, tally.by_route)
        tally.add("r", 0.1, is_failure=False)
        tally.follow()
        self.assertEqual({}, tally.by_route)
