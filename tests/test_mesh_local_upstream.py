"""What a node believes about the upstream beside it."""

from testtools import TestCase

from verbenawick.mesh._local_upstream import LATE_REPORT_S, LocalUpstream
from verbenawick.mesh._model import StatusReport, UpstreamState

ADDRESS = "10.0.0.1:80"
READY, DRAINING = UpstreamState.READY, UpstreamState.DRAINING
GONE, UNKNOWN = UpstreamState.GONE, UpstreamState.UNKNOWN


def report(upstream_id="u1", *, sequence=1, born=100, draining=False, **changes):
    """Return a status report."""
    fields = {
        "upstream_id": upstream_id,
        "service": "s",
        "address": ADDRESS,
        "slots": 4,
        "is_draining": draining,
        "cold_left_s": 0.0,
        "sequence": sequence,
        "born_ms": born,
    }
    return StatusReport(**{**fields, **changes})


class LocalUpstreamTest(TestCase):
    """Reports in order, late, crossed and of other processes."""

    def setUp(self):
        super().setUp()
        self.changes = 0
        self.upstream = LocalUpstream(
            address=ADDRESS, service="s", on_change=self.count_change
        )

    def count_change(self):
        self.changes += 1

    def give(self, *reports, now=0.0):
        for item in reports:
            self.upstream.on_report(item, now)
        return self.upstream.state, self.upstream.upstream_id

    def test_reports(self):
        """Each row is a way in which a wrong belief sends work to nobody."""
        leave = "leave"
        rows = (
            ("first report", [report()], (READY, "u1")),
            ("drain", [report(), report(sequence=2, draining=True)], (DRAINING, "u1")),
            (
                "late ready after a drain",
                [report(sequence=2, draining=True), report(sequence=1)],
                (DRAINING, "u1"),
            ),
            (
                "newer ready after a drain of the same process",
                [report(sequence=2, draining=True), report(sequence=3)],
                (DRAINING, "u1"),
            ),
            (
                "new process under the same id counts anew",
                [report(sequence=9, draining=True), report(sequence=1, born=200)],
                (READY, "u1"),
            ),
            (
                "report of the process before",
                [report(born=200), report(sequence=9, born=100, draining=True)],
                (READY, "u1"),
            ),
            (
                "new upstream at the address",
                [report(), report("u2", born=200)],
                (READY, "u2"),
            ),
            (
                "report of a dead sender",
                [report("u2", born=200), report("u1", sequence=9)],
                (READY, "u2"),
            ),
            (
                "report about another address",
                [report(), report("u3", born=300, address="10.0.0.2:80")],
                (READY, "u1"),
            ),
            ("leaves", [report(), leave], (GONE, "u1")),
            (
                "late report of one that left",
                [report(), leave, report(sequence=2)],
                (GONE, "u1"),
            ),
            (
                "successor of one that left",
                [report(), leave, report("u2", born=200)],
                (READY, "u2"),
            ),
            (
                "same id again after it left",
                [report(), leave, report(sequence=1, born=200)],
                (READY, "u1"),
            ),
        )
        for name, steps, expected in rows:
            upstream = LocalUpstream(
                address=ADDRESS, service="s", on_change=lambda: None
            )
            for step in steps:
                if step == leave:
                    upstream.on_leave("u1", 1.0)
                else:
                    upstream.on_report(step, 1.0)
            self.assertEqual(expected, (upstream.state, upstream.upstream_id), name)

    def test_only_a_ready_upstream_accepts_work(self):
        """Work for an upstream that acknowledged its leaving is a fault."""
        self.assertFalse(self.upstream.accepts_work)
        self.give(report())
        self.assertTrue(self.upstream.accepts_work)
        self.give(report(sequence=2, draining=True))
        self.assertFalse(self.upstream.accepts_work)

    def test_leave_of_another_upstream_changes_nothing(self):
        """A late farewell of the process before must not stop its successor."""
        self.give(report("u2", born=200))
        self.upstream.on_leave("u1", 1.0)
        self.assertEqual(READY, self.upstream.state)

    def test_probe_counts_only_while_nothing_is_known(self):
        """A good health answer says nothing about an announced leaving."""
        self.upstream.on_probe("u1", 6)
        self.assertEqual((READY, 6), (self.upstream.state, self.upstream.slots))
        self.give(report(sequence=2, draining=True))
        self.upstream.on_probe("u1", 6)
        self.assertEqual(DRAINING, self.upstream.state)

    def test_other_upstream_at_the_address_is_asked_who_it_is(self):
        """A misdirected request shows that the id is no longer the right one."""
        self.give(report())
        self.upstream.on_other_upstream("u1")
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.upstream.on_probe("u2", 4)
        self.assertEqual("u2", self.upstream.upstream_id)

    def test_changed_settings_make_the_upstream_unknown(self):
        """Reports for the earlier address say nothing about the new one."""
        self.give(report())
        self.upstream.move_to("10.9.9.9:80", "s")
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.give(report(sequence=2))
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.upstream.move_to("10.9.9.9:80", "s")
        self.assertEqual(2, self.changes)

    def test_unchanged_reports_change_nothing(self):
        """Each change is written to the store; a report is not."""
        for sequence in range(5):
            self.give(report(sequence=sequence))
        self.assertEqual(1, self.changes)

    def test_an_upstream_that_goes_on_reporting_after_it_left_is_believed_later(self):
        """A farewell of an earlier process under the same id must not last."""
        self.give(report())
        self.upstream.on_leave("u1", 0.0)
        self.give(report(sequence=2), now=LATE_REPORT_S + 1)
        self.assertEqual(READY, self.upstream.state)
