"""Tests of the state of the local upstream."""

from loguru import logger
from testtools import TestCase

from tests.address_observer import FakeAddressObserver
from verbenawick.mesh._local_upstream import LATE_REPORT_WINDOW_S, LocalUpstream
from verbenawick.mesh._model import StatusReport, UpstreamRecord, UpstreamState

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
    """Reports that are in order, late, or from other processes."""

    def setUp(self):
        super().setUp()
        self.changes = 0
        self.upstream = LocalUpstream(
            observer=FakeAddressObserver(),
            address=ADDRESS,
            service="s",
            on_change=self.count_change,
        )

    def count_change(self):
        self.changes += 1

    def send_reports(self, *reports, now=0.0):
        for item in reports:
            self.upstream.on_report(item, now)
        return self.upstream.state, self.upstream.upstream_id

    def test_report_sequences_lead_to_the_expected_state(self):
        """Guards against misdirected requests after late reports or a new process."""
        leave = "leave"
        rows = (
            ("first report", [report()], (READY, "u1")),
            ("drain", [report(), report(sequence=2, draining=True)], (DRAINING, "u1")),
            (
                "late ready report after a drain",
                [report(sequence=2, draining=True), report(sequence=1)],
                (DRAINING, "u1"),
            ),
            (
                "newer ready report after a drain of the same process",
                [report(sequence=2, draining=True), report(sequence=3)],
                (DRAINING, "u1"),
            ),
            (
                "new process with the same id restarts the sequence",
                [report(sequence=9, draining=True), report(sequence=1, born=200)],
                (READY, "u1"),
            ),
            (
                "late report of the previous process",
                [report(born=200), report(sequence=9, born=100, draining=True)],
                (READY, "u1"),
            ),
            (
                "new upstream at the address",
                [report(), report("u2", born=200)],
                (READY, "u2"),
            ),
            (
                "late report of the previous upstream",
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
                "late report of an upstream that left",
                [report(), leave, report(sequence=2)],
                (GONE, "u1"),
            ),
            (
                "successor of an upstream that left",
                [report(), leave, report("u2", born=200)],
                (READY, "u2"),
            ),
            (
                "new process with the same id after a leave",
                [report(), leave, report(sequence=1, born=200)],
                (READY, "u1"),
            ),
        )
        for name, steps, expected in rows:
            upstream = LocalUpstream(
                observer=FakeAddressObserver(),
                address=ADDRESS,
                service="s",
                on_change=lambda: None,
            )
            for step in steps:
                if step == leave:
                    upstream.on_leave("u1", 1.0)
                else:
                    upstream.on_report(step, 1.0)
            self.assertEqual(expected, (upstream.state, upstream.upstream_id), name)

    def test_only_a_ready_upstream_accepts_work(self):
        """No work may be sent to an upstream whose drain was acknowledged."""
        self.assertFalse(self.upstream.accepts_work)
        self.send_reports(report())
        self.assertTrue(self.upstream.accepts_work)
        self.send_reports(report(sequence=2, draining=True))
        self.assertFalse(self.upstream.accepts_work)

    def test_leave_of_another_upstream_changes_nothing(self):
        """A late leave of the previous upstream must not stop its successor."""
        self.send_reports(report("u2", born=200))
        self.upstream.on_leave("u1", 1.0)
        self.assertEqual(READY, self.upstream.state)

    def test_probe_applies_only_while_the_state_is_unknown(self):
        """An upstream that announced its drain still answers health probes."""
        self.upstream.on_probe("u1", 6)
        self.assertEqual((READY, 6), (self.upstream.state, self.upstream.slots))
        self.send_reports(report(sequence=2, draining=True))
        self.upstream.on_probe("u1", 6)
        self.assertEqual(DRAINING, self.upstream.state)

    def test_other_upstream_at_the_address_is_identified_by_a_probe(self):
        """A misdirected request shows that the known id is outdated."""
        self.send_reports(report())
        self.upstream.on_other_upstream("u1")
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.upstream.on_probe("u2", 4)
        self.assertEqual("u2", self.upstream.upstream_id)

    def test_changed_address_makes_the_upstream_unknown(self):
        """Reports for the previous address do not apply to the new one."""
        self.send_reports(report())
        self.upstream.change_address("10.9.9.9:80", "s")
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.send_reports(report(sequence=2))
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.upstream.change_address("10.9.9.9:80", "s")
        self.assertEqual(2, self.changes)

    def test_reports_without_a_change_do_not_call_on_change(self):
        """Each change is written to the store, so reports must not count as changes."""
        for sequence in range(5):
            self.send_reports(report(sequence=sequence))
        self.assertEqual(1, self.changes)

    def test_reports_after_a_leave_are_accepted_once_the_window_has_passed(self):
        """A leave of an earlier process with the same id must not apply permanently."""
        self.send_reports(report())
        self.upstream.on_leave("u1", 0.0)
        self.send_reports(report(sequence=2), now=LATE_REPORT_WINDOW_S + 1)
        self.assertEqual(READY, self.upstream.state)

    def test_late_reports_are_ignored_if_the_start_of_the_departed_is_unknown(self):
        """Guards against calls to an upstream that left before its first report."""
        other = self.upstream.on_other_upstream
        rows = (
            ("unknown upstream", []),
            ("known from a probe", [lambda: self.upstream.on_probe("u1", 4)]),
            (
                "another one is known",
                [lambda: self.send_reports(report("u0", born=50))],
            ),
            (
                "known from a probe after another one",
                [
                    lambda: self.send_reports(report("u0", born=50)),
                    lambda: other("u0"),
                    lambda: self.upstream.on_probe("u1", 4),
                ],
            ),
            (
                "unknown after another one",
                [lambda: self.send_reports(report("u0", born=50)), lambda: other("u0")],
            ),
        )
        for name, steps in rows:
            self.upstream = LocalUpstream(
                address=ADDRESS,
                service="s",
                observer=FakeAddressObserver("u1", is_running=True),
                on_change=lambda: None,
            )
            other = self.upstream.on_other_upstream
            for step in steps:
                step()
            self.upstream.on_leave("u1", 1.0)
            self.send_reports(report(sequence=9), now=2.0)
            self.assertNotEqual(
                (READY, "u1"), (self.upstream.state, self.upstream.upstream_id), name
            )
            # The record is compared with reports that arrive after a restart.
            if self.upstream.upstream_id == "u1":
                self.assertEqual(0, self.upstream.born_ms, name)
            self.send_reports(report(sequence=9), now=1.0 + LATE_REPORT_WINDOW_S)
            self.assertEqual(READY, self.upstream.state, name)

    def test_leave_binds_until_a_later_process_reports(self):
        """Guards against calls after a late report of the process that left.

        The node knows an earlier process under the id, another upstream, or none, and
        the report is later than any window.
        """
        rows = (
            ("earlier process", [report(born=100)], 200),
            ("earlier process, its clock was ahead", [report(born=300)], 200),
            ("another upstream", [report("u0", born=100)], 200),
            ("another upstream, its clock was ahead", [report("u0", born=300)], 200),
            ("no upstream", [], 200),
            ("its start", [report(born=200)], 200),
        )
        for name, reports, born in rows:
            for delay_s in (1.0, LATE_REPORT_WINDOW_S + 50.0):
                observer = FakeAddressObserver(healthy_id="")
                self.upstream = LocalUpstream(
                    address=ADDRESS,
                    service="s",
                    observer=observer,
                    on_change=lambda: None,
                )
                self.send_reports(*reports)
                self.upstream.on_leave("u1", 1.0)
                self.send_reports(report(sequence=9, born=born), now=1.0 + delay_s)
                self.assertEqual(GONE, self.upstream.state, name)
                observer.healthy_id = "u1"
                self.send_reports(report(born=199), now=1.1 + delay_s)
                self.assertEqual(READY, self.upstream.state, name)

    def test_gaps_between_reports_are_logged(self):
        """Without the line, failed calls of the upstream cannot be found in the log."""
        records = []
        sink = logger.add(lambda message: records.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        steps = (
            ("first report is the first of the process", report(sequence=1), 1.0, None),
            ("no gap", report(sequence=2), 2.0, None),
            ("gap", report(sequence=5), 4.5, (2, 2.5)),
            ("late", report(sequence=4), 4.6, None),
            ("no gap after a late report", report(sequence=6), 5.0, None),
            ("new process missed at first", report(sequence=4, born=200), 6.0, (3, 0)),
        )
        for name, step, now, expected in steps:
            records.clear()
            self.upstream.on_report(step, now)
            gaps = [
                (extra["missed"], extra["interval_s"])
                for extra in records
                if extra["event"] == 713
            ]
            self.assertEqual([expected] if expected else [], gaps, name)
        self.upstream.on_other_upstream("u1")
        records.clear()
        self.upstream.on_report(report(sequence=5, born=200), 7.0)
        self.assertEqual([710], [extra["event"] for extra in records])


class RestoredUpstreamTest(TestCase):
    """A node that was restarted reads its record before it uses its upstream."""

    def setUp(self):
        super().setUp()
        self.restart()

    def restart(self):
        self.observer = FakeAddressObserver()
        self.upstream = LocalUpstream(
            address=ADDRESS,
            service="s",
            observer=self.observer,
            on_change=lambda: None,
            awaits_record=True,
        )

    def record(self, state, *, upstream_id="u1", born=100):
        return UpstreamRecord("n", "s", "d", "r", "p", upstream_id, state, 4, born)

    def test_stored_leave_forbids_only_the_process_that_left(self):
        """Guards against calls to a leaving upstream and against an unused new one."""
        rows = (
            ("no record", None, 100, READY),
            ("ready", self.record(READY), 100, READY),
            ("leaving", self.record(DRAINING), 100, DRAINING),
            ("leaving, start unknown", self.record(DRAINING, born=0), 100, DRAINING),
            ("an earlier process left", self.record(DRAINING, born=99), 100, READY),
            ("another one left", self.record(DRAINING, upstream_id="u0"), 100, READY),
        )
        for name, record, born, expected in rows:
            self.restart()
            # An upstream that drains or leaves answers no health probe.
            self.observer.healthy_id = "" if expected is DRAINING else "u1"
            self.upstream.on_report(report(born=born), 0.0)
            self.assertEqual((UNKNOWN, "u1"), self.state(), name)
            self.upstream.restore(record)
            self.assertEqual(expected, self.upstream.state, name)
            self.upstream.on_report(report(sequence=2, born=born), 1.0)
            self.assertEqual(expected, self.upstream.state, name)

    def state(self):
        candidate = self.upstream.candidate
        return self.upstream.state, candidate and candidate.upstream_id

    def test_healthy_upstream_is_not_used_while_the_store_is_away(self):
        """Guards against calls to an upstream that is healthy and leaving."""
        self.upstream.on_probe("u1", 4)
        self.upstream.skip_restore()
        self.assertEqual(UNKNOWN, self.upstream.state)
        self.upstream.on_report(report(), 0.0)
        self.upstream.skip_restore()
        self.assertEqual(READY, self.upstream.state)

    def test_report_before_the_record_is_read_needs_a_health_probe(self):
        """Guards against calls after a leave that the record does not contain yet.

        The store was away when the previous process of the node acknowledged it.
        """
        for record in (None, self.record(READY)):
            self.restart()
            self.observer.healthy_id = ""
            self.upstream.on_report(report(), 0.0)
            self.upstream.restore(record)
            self.upstream.on_report(report(sequence=2), 1.0)
            self.assertEqual(UNKNOWN, self.upstream.state)
            self.observer.healthy_id = "u1"
            self.upstream.on_probe("u1", 4)
            self.assertEqual((READY, 100), (self.upstream.state, self.upstream.born_ms))

    def test_leave_read_after_the_outage_applies(self):
        """Guards against a stored leave that is ignored once the store answers."""
        rows = (
            ("leaving", self.record(DRAINING), DRAINING),
            ("an earlier process left", self.record(DRAINING, born=99), READY),
            ("ready", self.record(READY), READY),
            ("no record", None, READY),
        )
        for name, record, expected in rows:
            self.restart()
            self.upstream.on_report(report(), 0.0)
            self.upstream.skip_restore()
            self.upstream.restore(record)
            self.assertEqual(expected, self.upstream.state, name)

    def test_leave_known_to_other_nodes_applies_to_its_process_only(self):
        """Guards against a lost leave, and against an unused new process."""
        u1, u2 = report(), report("u2", born=200)
        rows = (
            ("unknown", [], 100, UNKNOWN),
            ("candidate", [u1], 100, GONE),
            ("candidate, start unknown", [u1], 0, GONE),
            ("candidate, start wrong", [u1], 99, GONE),
            ("later process", [report(born=101)], 100, READY),
            ("later process, its clock back", [report(born=99)], 100, READY),
            ("another upstream", [u2], 100, READY),
            ("already used", [u1, None], 100, GONE),
            ("later process already used", [report(born=101), None], 100, READY),
        )
        for name, steps, born, expected in rows:
            self.restart()
            for step in steps:
                if step is None:
                    self.upstream.skip_restore()
                else:
                    self.upstream.on_report(step, 0.0)
            if expected is GONE:
                self.observer.healthy_id = ""
            self.upstream.on_earlier_leave("u1", born, 1.0)
            self.upstream.restore(None)
            self.assertEqual(expected, self.upstream.state, name)
            self.upstream.on_report(report(sequence=9), 2.0)
            self.assertEqual(expected, self.upstream.state, name)

    def test_leave_before_the_record_is_read_wins(self):
        """Guards against a ready candidate that replaces a later leave."""
        for leave in (
            lambda: self.upstream.on_leave("u1", 1.0),
            lambda: self.upstream.on_report(report(sequence=2, draining=True), 1.0),
        ):
            self.restart()
            self.upstream.on_report(report(), 0.0)
            leave()
            self.upstream.restore(None)
            self.assertTrue(self.upstream.is_leaving)

    def test_leave_before_the_record_is_read_keeps_the_start(self):
        """Guards against a successor with the same id that is taken for late."""
        self.upstream.on_report(report(), 0.0)
        self.upstream.on_leave("u1", 1.0)
        self.assertEqual(100, self.upstream.born_ms)
        self.upstream.on_report(report(born=200), 2.0)
        self.assertEqual((GONE, "u1"), self.state())
        self.upstream.restore(self.record(DRAINING))
        self.assertEqual(READY, self.upstream.state)
