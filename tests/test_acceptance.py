"""Acceptance of changes with each fault at each step.

Guards against partially applied changes, against two concurrent changes that are both
reported as accepted, and against other reported outcomes that differ from the store.
"""

import threading
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains

from standins.store import ObjectStore, StoreApplication, running_store
from tests.test_document import REMOVED, change_at, example_content
from verbenawick.configuration import _change_plan, _pruning
from verbenawick.configuration._acceptance import Acceptor
from verbenawick.configuration._config_store import ConfigStore
from verbenawick.configuration._delta import apply_delta, decode_delta, digest_of
from verbenawick.configuration._document import parse_document
from verbenawick.configuration._head import CHANGE_PREFIX, HEAD_KEY, SNAPSHOT_PREFIX
from verbenawick.errors import (
    ChangeNotBegunError,
    ChangeOutcomeUnknownError,
    ConflictError,
    DocumentError,
    NoSuchChangeError,
    StoreAnswerLostError,
    StoreConditionError,
)
from verbenawick.runtime._clock import ManualClock
from verbenawick.store._store import StoreClient

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.25
FAULTS = {
    "outage": {"outage": True},
    "slow": {"slowness_ms": 2 * SHORT_TIMEOUT_S * 1000},
    "answer lost": {"lost_answers": 1},
    "stale read": {"stale_reads": 1},
}
NO_FAULTS = {"outage": False, "slowness_ms": 0, "lost_answers": 0, "stale_reads": 0}

STEPS = ["start", "read-base", "plan", "write-change", "write-snapshot", "update-head"]

# Expected outcome of a fault that starts after a step, in the order of STEPS.
OUTCOMES_BY_FAULT = {
    "none": ["accepted"] * 6,
    "outage": ["not begun"] * 5 + ["accepted"],
    "slow": ["not begun"] * 4 + ["unknown", "accepted"],
    "answer lost": ["accepted"] * 6,
    # The change is based on an outdated version and conflicts with the newer one.
    "stale read": ["conflict"] + ["accepted"] * 5,
    "concurrent change": ["accepted"] + ["conflict"] * 4 + ["accepted"],
    "kill": ["killed"] * 6,
}


class KilledError(BaseException):
    """Simulates a killed command: no error handler of the command catches it."""


class DelayedUpdateClient(StoreClient):
    """Client whose first update of the head is delayed until `deliver` is called."""

    delayed_update = None

    def update(self, key, value, *, expected_version):
        if key == HEAD_KEY and self.delayed_update is None:
            self.delayed_update = (value, expected_version)
        if key == HEAD_KEY:
            raise StoreAnswerLostError("delayed")
        return super().update(key, value, expected_version=expected_version)

    def deliver(self):
        """Send the delayed update."""
        value, expected_version = self.delayed_update
        return super().update(HEAD_KEY, value, expected_version=expected_version)


class AcceptanceCase(TestCase):
    """Base class of tests with a stand-in store that holds versions 1 and 2."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.ids = iter(range(10_000))
        self.resources = ExitStack()
        self.addCleanup(self.resources.close)
        self.start_store()

    def start_store(self):
        """Start a new store with two accepted versions."""
        self.application = StoreApplication(ObjectStore(self.clock))
        address = self.resources.enter_context(running_store(self.application))
        self.client = StoreClient(address, timeout_s=TIMEOUT_S)
        self.config = ConfigStore(self.client)
        self.content = example_content()
        self.acceptor("ana").apply(parse_document(self.content))
        self.acceptor("ana").switch_preset("maintenance")

    def acceptor(self, author="ana", *, client=None, on_step=None, **options):
        """Return an acceptor that uses the manual clock."""
        return Acceptor(
            client or self.client,
            author=author,
            clock=self.clock,
            sleep=options.pop("sleep", self.clock.advance),
            new_change_id=options.pop("new_change_id", self.new_change_id),
            on_step=on_step or (lambda step: None),
            resolve_timeout_s=1.0,
            **options,
        )

    def new_change_id(self):
        """Return the next sequential change id."""
        return f"id-{next(self.ids)}"

    def set_faults(self, **faults):
        """Set faults of the store."""
        for name, value in faults.items():
            setattr(self.application.faults, name, value)

    def change_timeout(self, author, seconds):
        """Change the timeout of one policy as `author`."""
        path = "policies_by_id.reads.timeout_s"
        content = change_at(self.acceptor().read_base().content, path, seconds)
        return self.acceptor(author).apply(parse_document(content))

    def keys(self, prefix):
        """Return the keys in the store that start with `prefix`."""
        return [obj.key for obj in self.client.list(prefix).objects]

    def check_store(self):
        """Check that head, changes, deltas and snapshots agree; return the version."""
        state = self.config.read_head()
        chain = list(self.config.accepted_changes(state))
        versions = [change.version for change in chain]
        self.assertEqual(list(range(state.version, 0, -1)), versions)
        content = {}
        for change in reversed(chain):
            content = apply_delta(content, decode_delta(change.delta))
            stored = self.config.read_content(change.change_id, change.digest)
            self.assertEqual(content, stored)
        self.assertEqual(digest_of(content), state.head.digest)
        return state.version


class TestFaultTable(AcceptanceCase):
    """Each fault at each step has its expected outcome."""

    def run_case(self, fault, step):
        """Return the outcome of a preset switch with a fault after `step`."""

        def inject_fault(done):
            if done != step:
                return
            if fault == "kill":
                raise KilledError
            if fault == "concurrent change":
                self.change_timeout("ben", 1.25)
            self.set_faults(**FAULTS.get(fault, {}))

        outcome = ""
        try:
            inject_fault("start")
            timeout_s = SHORT_TIMEOUT_S if fault == "slow" else TIMEOUT_S
            client = StoreClient(self.client.address, timeout_s=timeout_s)
            acceptor = self.acceptor(client=client, on_step=inject_fault)
            acceptance = acceptor.switch_preset("peak")
            outcome = "accepted"
            self.change_id = acceptance.change_id
        except ChangeNotBegunError:
            outcome = "not begun"
        except ConflictError as error:
            outcome = "conflict"
            self.assertThat(error.message, Contains(f"by {error.winner_author}"))
            self.assertTrue(error.differences)
        except ChangeOutcomeUnknownError as error:
            outcome = "unknown"
            self.change_id = error.change_id
            self.assertThat(error.message, Contains(f"resolve {error.change_id}"))
        except KilledError:
            outcome = "killed"
        self.set_faults(**NO_FAULTS)
        return outcome

    def test_each_fault_at_each_step_has_its_expected_outcome(self):
        for fault, outcomes in OUTCOMES_BY_FAULT.items():
            for step, expected in zip(STEPS, outcomes, strict=True):
                with self.subTest(fault=fault, step=step):
                    self.start_store()
                    self.assertEqual(expected, self.run_case(fault, step))
                    self.check_outcome(fault, step, expected)

    def check_outcome(self, fault, step, outcome):
        """Check that the reported outcome matches the store."""
        if outcome == "unknown":
            self.assertIsNotNone(self.acceptor().resolve(self.change_id))
            outcome = "accepted"
        is_accepted = outcome == "accepted" or (
            outcome == "killed" and step == "update-head"
        )
        has_concurrent_change = fault == "concurrent change"
        self.assertEqual(2 + is_accepted + has_concurrent_change, self.check_store())
        presets = [change.preset for change in self.acceptor().history()]
        self.assertEqual(is_accepted, "peak" in presets)
        # The next command succeeds despite objects left by the previous one.
        self.assertTrue(self.acceptor().switch_preset("ordinary").is_new)


class TestOutcomes(AcceptanceCase):
    """Combined faults and the resolution of lost responses."""

    def test_outage_after_a_lost_answer_is_unknown_and_resolves_to_accepted(self):
        def stop_store(seconds):
            self.clock.advance(seconds)
            self.set_faults(outage=True)

        self.set_faults(lost_answers=0)
        acceptor = self.acceptor(
            sleep=stop_store,
            on_step=lambda step: self.set_faults(lost_answers=step == "write-snapshot"),
        )
        error = self.assertRaises(
            ChangeOutcomeUnknownError, acceptor.switch_preset, "peak"
        )
        self.assertRaises(
            ChangeOutcomeUnknownError, self.acceptor().resolve, error.change_id
        )
        self.set_faults(**NO_FAULTS)
        self.assertEqual(3, self.acceptor().resolve(error.change_id).version)

    def test_update_in_flight_fails_after_its_change_resolved_as_not_accepted(self):
        client = DelayedUpdateClient(self.client.address, timeout_s=TIMEOUT_S)
        acceptor = self.acceptor(client=client)
        error = self.assertRaises(
            ChangeOutcomeUnknownError, acceptor.switch_preset, "peak"
        )
        self.assertIsNone(self.acceptor().resolve(error.change_id))
        self.assertRaises(StoreConditionError, client.deliver)
        self.assertEqual(2, self.check_store())

    def test_delayed_update_that_arrived_resolves_to_accepted(self):
        client = DelayedUpdateClient(self.client.address, timeout_s=TIMEOUT_S)
        error = self.assertRaises(
            ChangeOutcomeUnknownError,
            self.acceptor(client=client).switch_preset,
            "peak",
        )
        client.deliver()
        self.set_faults(stale_reads=1)
        self.assertEqual(3, self.acceptor().resolve(error.change_id).version)

    def test_change_with_a_lost_answer_is_accepted_despite_a_later_change(self):
        def accept_later_change(seconds):
            self.clock.advance(seconds)
            if self.config.read_head().version == 3:
                self.change_timeout("ben", 1.25)

        acceptor = self.acceptor(
            sleep=accept_later_change,
            on_step=lambda step: self.set_faults(lost_answers=step == "write-snapshot"),
        )
        self.assertEqual(3, acceptor.switch_preset("peak").version)
        self.assertEqual(4, self.check_store())

    def test_confirmed_head_is_no_conflict(self):
        def confirm(step):
            if step == "write-snapshot":
                self.config.confirm_head(self.config.read_head())

        acceptor = self.acceptor(on_step=confirm)
        self.assertEqual(3, acceptor.switch_preset("peak").version)

    def test_unknown_change_id_is_reported(self):
        self.assertRaises(NoSuchChangeError, self.acceptor().resolve, "nothing")

    def test_unreadable_changes_leave_the_outcome_unknown(self):
        first = self.acceptor().history()[-1]
        self.acceptor().switch_preset("peak")
        with mock.patch.object(ConfigStore, "accepted_change", return_value=None):
            self.assertRaises(
                ChangeOutcomeUnknownError, self.acceptor().resolve, first.change_id
            )

    def test_paused_command_is_abandoned_before_its_objects_count_as_orphans(self):
        # Number of orphans left by a command that is paused after a step.
        for step, orphans in (("plan", 0), ("write-change", 1), ("write-snapshot", 2)):

            def pause(done, step=step):
                if done == step:
                    self.clock.advance(_pruning.MAX_CHANGE_DURATION_S)

            with self.subTest(step=step):
                count = len(self.keys("config/"))
                acceptor = self.acceptor(on_step=pause)
                self.assertRaises(ChangeNotBegunError, acceptor.switch_preset, "peak")
                self.assertEqual(count + orphans, len(self.keys("config/")))
                self.assertEqual(2, self.check_store())

    def test_one_concurrent_change_is_accepted_and_named_to_the_others(self):
        barrier = threading.Barrier(6)
        outcomes = []

        def run(number):
            def wait(step):
                if step == "write-snapshot":
                    barrier.wait(10)

            client = StoreClient(self.client.address)
            acceptor = self.acceptor(f"op{number}", client=client, on_step=wait)
            try:
                preset_id = ("peak", "ordinary")[number % 2]
                acceptor.switch_preset(preset_id)
                outcomes.append(("accepted", f"op{number}"))
            except ConflictError as error:
                outcomes.append(("conflict", error.winner_author))

        threads = [threading.Thread(target=run, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winners = [author for kind, author in outcomes if kind == "accepted"]
        self.assertEqual(1, len(winners))
        self.assertEqual([("conflict", winners[0])] * 5, sorted(outcomes)[1:])
        self.assertEqual(3, self.check_store())


class TestCommands(AcceptanceCase):
    """Commands with valid and invalid input."""

    def test_document_in_force_is_not_written_again(self):
        writes = self.application.counters()["put"]
        acceptance = self.acceptor().switch_preset("maintenance")
        self.assertEqual((2, False), (acceptance.version, acceptance.is_new))
        # One write confirms the head.
        self.assertEqual(writes + 1, self.application.counters()["put"])

    def test_change_is_not_mistaken_for_the_version_in_force_after_a_stale_read(self):
        self.set_faults(stale_reads=1)
        acceptance = self.acceptor().switch_preset("ordinary")
        self.assertEqual((3, True), (acceptance.version, acceptance.is_new))

    def test_document_edited_from_an_older_version_is_a_conflict(self):
        document = parse_document(self.content)
        error = self.assertRaises(
            ConflictError, self.acceptor().apply, document, expected_version=1
        )
        self.assertEqual(2, error.winner_version)
        self.acceptor().apply(document, expected_version=2)

    def test_rollback_is_a_new_version_with_the_old_document(self):
        acceptance = self.acceptor().rollback(1)
        self.assertEqual((3, "ordinary"), (acceptance.version, acceptance.preset))
        self.assertEqual(self.content, self.acceptor().read_base().content)
        self.assertEqual(3, self.check_store())

    def test_rollback_to_an_unknown_version_is_refused(self):
        for version in (0, 9):
            self.assertRaises(DocumentError, self.acceptor().rollback, version)

    def test_unknown_preset_and_too_large_documents_write_nothing(self):
        revision = self.application.store.revision
        self.assertRaises(DocumentError, self.acceptor().switch_preset, "holiday")
        with mock.patch.object(_change_plan, "MAX_VALUE_BYTES", 100):
            self.assertRaises(DocumentError, self.acceptor().switch_preset, "peak")
        self.assertEqual(revision, self.application.store.revision)

    def test_large_delta_is_left_out_of_the_head(self):
        with mock.patch.object(_change_plan, "MAX_INLINE_DELTA_BYTES", 10):
            self.acceptor().switch_preset("peak")
        self.assertEqual(b"", self.config.read_head().head.delta)
        self.assertEqual(3, self.check_store())


class TestPruning(AcceptanceCase):
    """Old and orphaned objects; guards against unbounded growth and lost history."""

    def leave_orphans(self):
        """Kill a command before its head update; return the keys present before it."""

        def kill(step):
            if step == "write-snapshot":
                raise KilledError

        earlier_keys = self.keys("config/")
        acceptor = self.acceptor(on_step=kill)
        self.assertRaises(KilledError, acceptor.switch_preset, "peak")
        return earlier_keys

    def test_orphans_are_removed_after_the_time_limit_of_their_command(self):
        earlier_keys = self.leave_orphans()
        self.assertEqual(len(earlier_keys) + 2, len(self.keys("config/")))
        self.assertEqual(0, _pruning.prune(self.config))
        self.clock.advance(_pruning.MIN_ORPHAN_AGE_S + 1)
        self.assertEqual(1, _pruning.prune(self.config))
        self.assertEqual(earlier_keys, self.keys("config/"))

    def test_stale_head_or_list_removes_nothing(self):
        self.clock.advance(_pruning.MIN_ORPHAN_AGE_S + 1)
        keys = self.keys("config/")
        self.set_faults(stale_reads=1)
        self.assertRaises(StoreConditionError, _pruning.prune, self.config)
        listing = self.client.list(CHANGE_PREFIX)
        newest = self.config.read_head().head.change_key
        rest = tuple(obj for obj in listing.objects if obj.key != newest)
        stale = replace(listing, objects=rest)
        with mock.patch.object(self.client, "list", return_value=stale):
            self.assertEqual(0, _pruning.prune(self.config))
        self.assertEqual(keys, self.keys("config/"))

    def test_last_versions_are_kept(self):
        with (
            mock.patch.object(_pruning, "KEPT_CHANGES", 8),
            mock.patch.object(_pruning, "KEPT_SNAPSHOTS", 3),
            mock.patch.object(_pruning, "MIN_ORPHAN_AGE_S", 0.5),
        ):
            for number in range(12):
                self.clock.advance(1.0)
                preset_id = ("peak", "ordinary")[number % 2]
                self.acceptor(pruning_interval=1).switch_preset(preset_id)
            self.assertEqual(8, len(self.acceptor().history()))
            self.assertEqual(8, len(self.keys(CHANGE_PREFIX)))
            self.assertEqual(3, len(self.keys(SNAPSHOT_PREFIX)))

    def test_failed_pruning_leaves_the_change_accepted(self):
        acceptor = self.acceptor(
            pruning_interval=1,
            on_step=lambda step: self.set_faults(outage=step == "update-head"),
        )
        self.assertEqual(3, acceptor.switch_preset("peak").version)

    def test_removed_route_is_removed_by_the_delta(self):
        content = change_at(self.content, "routes_by_id.clearance", REMOVED)
        self.acceptor().apply(parse_document(content))
        self.assertEqual(3, self.check_store())
