"""Acknowledgements of staged versions."""

from testtools import TestCase
from testtools.matchers import Equals

from verbenawick.configuration._acks import ACK_LIFETIME_S, AckTally
from verbenawick.configuration._config_messages import ProcessStart
from verbenawick.configuration._config_state import VersionRef
from verbenawick.runtime._clock import ManualClock

MEMBERS = ("relay", "x", "z", "v", "w")
REF = VersionRef(2, b"2")


class AckTallyTest(TestCase):
    """Guards the majority that a commit rests on."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.tally = AckTally(self.clock)

    def acknowledge(self, node_id, incarnation=1, ref=REF, round_number=None):
        number = self.tally.round_number if round_number is None else round_number
        start = ProcessStart(node_id, incarnation)
        self.tally.record(start, round_number=number, ref=ref)

    def majority(self):
        return self.tally.highest_of_majority(MEMBERS, own_ref=REF).version

    def test_half_is_not_a_majority(self):
        """Two of five holders do not commit; the third one does."""
        self.acknowledge("x")
        self.assertThat(self.majority(), Equals(0))
        self.acknowledge("z", ref=VersionRef(3, b"3"))
        self.assertThat(self.majority(), Equals(2))

    def test_acknowledgement_of_a_reported_restart_does_not_count(self):
        """A node that lost the version is not counted until it answers again.

        Otherwise x acknowledges, restarts and finds a lower floor from z, which holds
        the version only later: a committed version without a majority of holders.
        """
        self.acknowledge("x", incarnation=1)
        self.acknowledge("z")
        self.tally.report_starts([ProcessStart("x", 2)])
        self.assertThat(self.majority(), Equals(0))
        self.tally.begin_round()
        self.acknowledge("x", incarnation=2)
        self.assertThat(self.majority(), Equals(2))

    def test_late_acknowledgement_of_a_former_process_is_ignored(self):
        """A message that was under way when x restarted does not count."""
        self.acknowledge("x", incarnation=1, ref=VersionRef(1, b"1"))
        self.tally.begin_round()
        self.acknowledge("x", incarnation=2, ref=VersionRef(1, b"1"))
        self.acknowledge("x", incarnation=1)
        self.acknowledge("z")
        self.assertThat(self.majority(), Equals(1))

    def test_old_report_of_a_start_does_not_block_for_ever(self):
        """A start that was long replaced costs one more round, not the commit."""
        self.acknowledge("x", incarnation=2)
        self.tally.report_starts([ProcessStart("x", 1)])
        self.acknowledge("z")
        self.assertThat(self.majority(), Equals(0))
        self.tally.begin_round()
        self.acknowledge("x", incarnation=2)
        self.tally.report_starts([ProcessStart("x", 1)])
        self.assertThat(self.majority(), Equals(2))

    def test_acknowledgements_expire(self):
        """A relay that was paused does not commit on what it heard before."""
        self.acknowledge("x")
        self.acknowledge("z")
        self.clock.advance(ACK_LIFETIME_S + 0.1)
        self.assertThat(self.majority(), Equals(0))
