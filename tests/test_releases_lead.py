"""Leader of releases: stores, other leaders and views, without a network."""

from testtools import TestCase

from verbenawick.releases._judgement import RouteTally, UpstreamTally
from verbenawick.releases._lead import ReleaseLead
from verbenawick.releases._model import (
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
)

ACTIVE = ReleaseState.ACTIVE
ROLLED_BACK = ReleaseState.ROLLED_BACK
VERSIONS = {f"{version}-{n}": version for version in ("v1", "v2") for n in range(4)}
ORDER = ReleaseOrder("o", "s", "v2", 15.0, 1)


class Store:
    """One order, written under the condition of its revision."""

    def __init__(self):
        self.order = ORDER
        self.is_away = False

    def write(self, order, status) -> int | None:
        if self.is_away or order.revision != self.order.revision:
            return None
        revision = self.order.revision + 1
        self.order = ReleaseOrder("o", "s", "v2", 15.0, revision, status)
        return revision


class LeadTest(TestCase):
    """A service with four upstreams of the target version."""

    def setUp(self):
        super().setUp()
        self.store = Store()

    def lead(self, now=0.0) -> ReleaseLead:
        lead = ReleaseLead(max_exposure=0.1, ready_versions=lambda service: VERSIONS)
        lead.put_order(self.store.order, now)
        return lead

    def play(self, lead, begin, end) -> None:
        """Advance a leader that reads the order anew when a write fails."""
        for tick in range(int(begin * 4), int(end * 4)):
            lead.advance(tick / 4)
            for order, status in lead.unstored(tick / 4):
                revision = self.store.write(order, status)
                if revision is not None:
                    lead.on_stored(order, status, revision, tick / 4)
                elif not self.store.is_away:
                    lead.put_order(self.store.order, tick / 4)

    def share(self, lead, now) -> float:
        (view,) = lead.views(now)
        return view.share

    def report(self, lead, now, *, failures) -> None:
        for number in range(4):
            for version, failed in (("v1", 0), ("v2", failures)):
                counts = {"r": RouteTally(20, failed, 2.0)}
                name = f"{version}-{number}"
                tally = UpstreamTally(name, version, "north", 0, counts)
                lead.put_report("s", "v2", tally, now)

    def test_share_is_announced_after_it_was_stored(self):
        """A leader that has lost the store must not raise the share."""
        lead = self.lead()
        self.play(lead, 0, 2)
        self.assertEqual(0.05, self.share(lead, 2))
        self.store.is_away = True
        self.play(lead, 2, 12)
        self.assertEqual(0.05, self.share(lead, 12))
        self.store.is_away = False
        self.play(lead, 12, 12.5)
        self.assertEqual(0.1, self.share(lead, 12.5))

    def test_roll_back_is_announced_while_the_store_is_away(self):
        """Callers must not get a bad version until the store is back."""
        lead = self.lead()
        self.play(lead, 0, 2)
        self.store.is_away = True
        self.report(lead, 2, failures=10)
        self.play(lead, 2, 3)
        (view,) = lead.views(3)
        self.assertEqual((ROLLED_BACK, 0.0), (view.state, view.share))
        self.store.is_away = False
        self.play(lead, 3, 4)
        self.assertEqual(ROLLED_BACK, self.store.order.status.state)

    def test_roll_back_that_was_announced_binds_the_next_leader(self):
        """Guards against a bad version that is brought in by a leader that knows it."""
        self.play(self.lead(), 0, 2)
        known = ("s", "v2", ORDER.revision)
        lead = ReleaseLead(
            max_exposure=0.1,
            ready_versions=lambda service: VERSIONS,
            is_rolled_back=lambda *order: order[:3] == known,
        )
        lead.put_order(self.store.order, 2)
        self.play(lead, 2, 3)
        self.assertEqual(ROLLED_BACK, self.store.order.status.state)
        self.assertEqual(ORDER.revision, self.store.order.ordered_at)
        anew = ReleaseOrder("o", "s", "v2", 15.0, 9)
        self.store.order = anew
        lead.put_order(anew, 3)
        self.play(lead, 3, 6)
        self.assertEqual(ACTIVE, self.store.order.status.state)
        self.assertGreater(self.store.order.status.share, 0)

    def test_later_order_of_another_leader_replaces_a_roll_back(self):
        """Guards against a suspended leader that ends an order it has not read."""
        lead = self.lead()
        self.play(lead, 0, 2)
        self.report(lead, 2, failures=10)
        lead.advance(2.0)
        self.assertEqual(ROLLED_BACK, lead.plans_by_service["s"].state)
        status = ReleaseStatus(ACTIVE, "v2", 0.05, 12.0, ordered_at=9)
        lead.put_order(ReleaseOrder("o", "s", "v2", 15.0, 10, status), 3)
        self.assertEqual(ACTIVE, lead.plans_by_service["s"].state)

    def test_two_leaders_raise_the_share_once_a_step(self):
        """The conditional write lets one of two leaders decide each step."""
        first, second = self.lead(), self.lead()
        for tick in range(0, 32):
            self.play(first, tick / 4, (tick + 1) / 4)
            self.play(second, tick / 4, (tick + 1) / 4)
            stored = self.store.order.status.share
            for lead in (first, second):
                self.assertLessEqual(self.share(lead, tick / 4), stored)
        self.assertEqual(0.1, self.store.order.status.share)

    def test_reports_of_an_earlier_order_do_not_count(self):
        """A second order for the service is judged by its own calls."""
        lead = self.lead()
        self.play(lead, 0, 2)
        self.report(lead, 2, failures=10)
        lead.put_order(ReleaseOrder("o", "s", "v3", 15.0, 9), 2)
        self.report(lead, 2, failures=10)
        lead.advance(2.0)
        self.assertEqual(ACTIVE, lead.plans_by_service["s"].state)

    def test_store_from_an_older_copy_gets_the_progress_again(self):
        """The share must not fall back while nodes already follow a higher one."""
        lead = self.lead()
        self.play(lead, 0, 8)
        share = self.share(lead, 8)
        self.store.order = ReleaseOrder(
            "o", "s", "v2", 15.0, 2, ReleaseStatus(ACTIVE, "v2", 0.05, 12.0)
        )
        lead.replace_orders([self.store.order], 8.0, is_older_copy=True)
        self.play(lead, 8, 8.5)
        self.assertGreaterEqual(self.store.order.status.share, share)

    def test_deleted_orders_end(self):
        """An operator takes an order back by deleting it."""
        lead = self.lead()
        lead.replace_orders([], 1.0)
        self.assertEqual([], lead.views(1.0))
        self.assertEqual([], lead.unstored(1.0))

    def test_end_that_another_leader_stored_is_final(self):
        """A leader that was suspended must not complete what was rolled back."""
        frozen, other = self.lead(), self.lead()
        for tick in range(0, 52):
            self.play(frozen, tick / 4, (tick + 1) / 4)
        other.put_order(self.store.order, 13.0)
        self.report(other, 13, failures=10)
        self.play(other, 13, 14)
        self.assertEqual(ROLLED_BACK, self.store.order.status.state)
        self.play(frozen, 20, 21)
        self.assertEqual(ROLLED_BACK, self.store.order.status.state)
        (view,) = frozen.views(21)
        self.assertEqual(ROLLED_BACK, view.state)

    def test_time_left_survives_a_change_of_the_leader(self):
        """Releases whose leaders are killed again and again have to end in time."""
        self.play(self.lead(), 0, 5)
        self.assertLess(self.store.order.status.remaining_s, 12.5)

    def test_release_waits_for_reports_of_the_other_versions(self):
        """Without reports nothing tells that their upstreams can be stopped."""
        lead = self.lead()
        self.play(lead, 0, 14.5)
        self.assertEqual(ACTIVE, lead.plans_by_service["s"].state)
        for number in range(4):
            tally = UpstreamTally(f"v1-{number}", "v1", "north", 0, is_final=True)
            lead.put_report("s", "v2", tally, 14.5)
        self.play(lead, 14.5, 14.75)
        self.assertEqual(ReleaseState.COMPLETED, lead.plans_by_service["s"].state)

    def test_version_that_turns_bad_after_many_good_calls(self):
        """Good calls of the past must not outweigh the bad ones of the present."""
        lead = self.lead()
        for second, calls, bad in ((1, 100, 0), (3, 200, 0), (5, 300, 0), (9, 324, 12)):
            for number in range(4):
                for version in ("v1", "v2"):
                    failures = bad if version == "v2" else 0
                    counts = {"r": RouteTally(calls, failures, calls / 10)}
                    name = f"{version}-{number}"
                    tally = UpstreamTally(name, version, "north", 0, counts)
                    lead.put_report("s", "v2", tally, second)
        lead.advance(9.0)
        self.assertEqual(ROLLED_BACK, lead.plans_by_service["s"].state)

    def test_earlier_end_is_not_announced_by_a_new_leader(self):
        """The service may have moved on without an order since."""
        self.store.order = ReleaseOrder(
            "o", "s", "v2", 15.0, 7, ReleaseStatus(ROLLED_BACK, "v2")
        )
        self.assertEqual([], self.lead().views(0.0))
