"""Tests of the tracking of staged-version acknowledgements."""

from testtools import TestCase
from testtools.matchers import Equals

from verbenawick.configuration._acks import ACK_LIFETIME_S, AckTracker
from verbenawick.configuration._config_messages import ProcessStart
from verbenawick.configuration._config_state import VersionRef
from verbenawick.runtime._clock import ManualClock

MEMBERS = ("relay", "x", "z", "v", "w")
REF = VersionRef(2, b"2")


class AckTrackerTest(TestCase):
    """Tests of the majority required for a commit."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.tracker = AckTracker(self.clock)

    def acknowledge(self, node_id, incarnation=1, ref=REF, round_number=None):
        number = self.tracker.round_number if round_number is None else round_number
        start = ProcessStart(node_id, incarnation)
        self.tracker.record_ack(start, round_number=number, ref=ref)

    def majority(self):
        return self.tracker.highest_majority_ref(MEMBERS, own_ref=REF).version

    def test_half_is_not_a_majority(self):
        """Two of five holders are not enough for a commit; three are."""
        self.acknowledge("x")
        self.assertThat(self.majority(), Equals(0))
        self.acknowledge("z", ref=VersionRef(3, b"3"))
        self.assertThat(self.majority(), Equals(2))

    def test_acknowledgement_of_a_reported_restart_does_not_count(self):
        """A restarted node is not counted until it acknowledges again.

        Otherwise x could acknowledge, restart and get a lower floor from z, which
        receives the version only later. The version would then be committed without
        being held by a majority.
        """
        self.acknowledge("x", incarnation=1)
        self.acknowledge("z")
        self.tracker.record_starts([ProcessStart("x", 2)])
        self.assertThat(self.majority(), Equals(0))
        self.tracker.begin_round()
        self.acknowledge("x", incarnation=2)
        self.assertThat(self.majority(), Equals(2))

    def test_late_acknowledgement_of_a_former_process_is_ignored(self):
        """An acknowledgement that was in transit during the restart of x is ignored."""
        self.acknowledge("x", incarnation=1, ref=VersionRef(1, b"1"))
        self.tracker.begin_round()
        self.acknowledge("x", incarnation=2, ref=VersionRef(1, b"1"))
        self.acknowledge("x", incarnation=1)
        self.acknowledge("z")
        self.assertThat(self.majority(), Equals(1))

    def test_old_report_of_a_start_does_not_block_for_ever(self):
        """A report of a superseded start delays the commit by one round only."""
        self.acknowledge("x", incarnation=2)
        self.tracker.record_starts([ProcessStart("x", 1)])
        self.acknowledge("z")
        self.assertThat(self.majority(), Equals(0))
        self.tracker.begin_round()
        self.acknowledge("x", incarnation=2)
        self.tracker.record_starts([ProcessStart("x", 1)])
        self.assertThat(self.majority(), Equals(2))

    def test_acknowledgements_expire(self):
        """A relay does not commit based on acknowledgements from before a pause."""
        self.acknowledge("x")
        self.acknowledge("z")
        self.clock.advance(ACK_LIFETIME_S + 0.1)
        self.assertThat(self.majority(), Equals(0))
