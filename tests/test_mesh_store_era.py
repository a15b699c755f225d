"""A store that comes back from an older copy: no node follows what it has forgotten."""

from random import Random
from unittest import mock

import eventlet
from testtools import TestCase

from standins.platform_store import StandinPlatformStore
from tests.call_support import wait_until
from tests.mesh_cluster import CONFIG_KIND, RECORD_KIND, MeshCluster, route, service
from tests.test_mesh_record_follower import Follower, ScriptedStore, record
from verbenawick.errors import (
    StoreConditionError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from verbenawick.mesh._publisher import RecordPublisher
from verbenawick.mesh._record_follower import RESTORE_GRACE_S
from verbenawick.mesh._store_era import LatestEra, era_of, position_of, revision_of
from verbenawick.platform._objects import PlatformStore
from verbenawick.runtime._clock import ManualClock

CONFIGURATION = [route("r", "/x/", service="s"), service("s")]


class PositionTest(TestCase):
    """Positions order all revisions that a store ever gave out."""

    def test_later_era_comes_after_all_revisions_of_earlier_ones(self):
        """Guards against a node that ignores a store whose revisions went back."""
        positions = [position_of(r, era=e) for e, r in ((1, 900), (2, 1), (3, 0))]
        self.assertEqual(sorted(positions), positions)
        self.assertEqual((1, 900), (era_of(positions[0]), revision_of(positions[0])))

    def test_store_without_eras_has_plain_revisions(self):
        """Guards against a changed order in deployments whose store names no era."""
        self.assertEqual(77, position_of(77, era=0))


class ClientTest(TestCase):
    """Client of a store that comes back from a copy."""

    def setUp(self):
        super().setUp()
        self.standin = StandinPlatformStore(era=1)
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(self.standin.serve, listener)
        self.addCleanup(thread.kill)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.latest_era = LatestEra()
        self.store = PlatformStore(address, latest_era=self.latest_era)
        self.other = PlatformStore(address, latest_era=self.latest_era)
        self.addCleanup(self.store.close)
        self.addCleanup(self.other.close)

    def write(self, name, **changes):
        created = self.store.create_record(record(name, 0, **changes))
        return record(name, created, **changes)

    def lose_last_write(self, write):
        copy = self.standin.take_copy()
        result = write()
        self.standin.come_back(copy)
        return result

    def test_watch_ends_though_its_revision_was_given_out_again(self):
        """Guards against changes that a watch from an older era never reports."""
        position = self.lose_last_write(lambda: self.write("n1")).revision
        self.standin.put(RECORD_KIND, "n2", {})
        self.assertEqual(self.standin.revision, revision_of(position))
        for _ in range(2):
            self.assertRaises(
                StoreHistoryGoneError, self.store.watch_records, position, wait_s=0.01
            )
        # The second one needs no call.
        watches = [query for query in self.standin.queries if "watch" in query]
        self.assertEqual(1, len(watches))

    def test_waiting_watch_ends_when_the_store_comes_back(self):
        """Guards against a relay that waits for a revision that will not come."""
        copy = self.standin.take_copy()
        position = self.write("n1").revision
        watch = eventlet.spawn(self.other.watch_records, position, wait_s=5)
        eventlet.sleep(0.05)
        self.standin.come_back(copy)
        with eventlet.Timeout(1):
            self.assertRaises(StoreHistoryGoneError, watch.wait)

    def test_write_for_a_revision_of_an_older_era_is_not_made(self):
        """Guards against a write over a record that got the same revision again."""
        written = self.lose_last_write(lambda: self.write("n1"))
        self.write("n1", slots=9)
        self.assertRaises(StoreConditionError, self.other.replace_record, written)
        self.assertRaises(
            StoreConditionError, self.other.delete_record, "n1", written.revision
        )
        self.assertEqual(9, self.standin.get(RECORD_KIND, "n1")["spec"]["slots"])

    def test_answer_of_an_older_era_is_no_answer(self):
        """Guards against a late answer that undoes what a newer one said."""
        self.latest_era.observe(2)
        for read in (self.store.read_records, self.store.read_configuration):
            self.assertRaises(StoreUnavailableError, read, allow_stale=True)


class EraStore(ScriptedStore):
    """Store of scripted records that comes back from an older copy."""

    def __init__(self):
        super().__init__()
        self.revision = position_of(1, era=1)

    def copy(self):
        return self.revision, dict(self.records)

    def come_back(self, copy):
        era = era_of(self.revision) + 1
        self.revision = position_of(revision_of(copy[0]), era=era)
        self.oldest = self.revision
        self.events = []
        self.records = {
            name: record(
                name, position_of(revision_of(item.revision), era=era), slots=item.slots
            )
            for name, item in copy[1].items()
        }


class RecordsTest(TestCase):
    """A relay and a node that relies on it."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = EraStore()
        for name in ("n1", "n2"):
            self.store.put(name)
        self.relay = Follower(self.store, self.clock, is_relay=True)
        self.node = Follower(self.store, self.clock)
        for follower in (self.relay, self.node):
            follower.changes = []
            apply = follower.follower._apply
            follower.follower._apply = lambda change, f=follower, a=apply: (
                f.changes.append(change),
                a(change),
            )
        self.pass_on()

    def pass_on(self):
        sent = list(self.relay.sent)
        self.relay.sent.clear()
        self.node.receive(sent)

    def come_back(self, copy):
        self.store.come_back(copy)
        try:
            self.relay.poll()
        except StoreHistoryGoneError:
            self.relay.follower._revision = 0
            self.relay.follower._is_history_gone = True
        self.relay.poll()
        self.store.calls.clear()
        self.pass_on()
        self.node.poll()

    def test_unchanged_records_cost_the_nodes_nothing(self):
        """Guards against a storm of reads after a copy that lacks nothing."""
        self.come_back(self.store.copy())
        self.assertEqual([], self.store.calls + self.node.changes + self.relay.changes)
        self.store.put("n2", slots=3)
        self.relay.poll()
        self.pass_on()
        self.assertEqual(3, self.node.records["n2"].slots)
        self.assertFalse(self.node.changes[-1].is_restored)

    def test_nodes_hear_from_the_relay_which_records_are_lost(self):
        """Guards against lost records that their nodes do not write again."""
        copy = self.store.copy()
        self.store.put("n2", slots=3)
        self.store.put("n3")
        self.relay.poll()
        self.pass_on()
        self.come_back(copy)
        self.assertEqual([], self.store.calls)
        for follower in (self.relay, self.node):
            change = follower.changes[-1]
            self.assertTrue(change.is_restored)
            self.assertEqual({"n2", "n3"}, change.records_by_node_id.keys())
            self.assertIsNone(change.records_by_node_id["n3"])

    def test_record_that_is_not_written_again_is_given_up(self):
        """Guards against a lost VM that stays an endpoint for good."""
        copy = self.store.copy()
        self.store.put("n3")
        self.relay.poll()
        self.pass_on()
        self.come_back(copy)
        self.clock.advance(RESTORE_GRACE_S + 0.1)
        self.node.poll()
        change = self.node.changes[-1]
        self.assertTrue(change.is_complete)
        self.assertEqual({"n1", "n2"}, change.records_by_node_id.keys())

    def test_beacon_of_a_relay_in_the_older_era_changes_nothing(self):
        """Guards against records that go back when two relays overlap."""
        self.store.put("n2", slots=3)
        self.relay.poll()
        late = list(self.relay.sent)
        copy = self.store.copy()
        self.pass_on()
        self.store.put("n2", slots=4)
        self.come_back(copy)
        known = dict(self.node.records)
        self.node.receive(late)
        self.assertEqual(known, self.node.records)


class PublisherTest(TestCase):
    """The record of a node whose store comes back."""

    def setUp(self):
        super().setUp()
        self.store = mock.Mock()
        self.store.create_record.return_value = position_of(9, era=1)
        self.publisher = RecordPublisher(
            self.store, node_id="n1", desired=lambda: record("n1", 0), random=Random(1)
        )
        self.publisher._write_once()

    def test_record_that_is_still_there_is_neither_read_nor_written(self):
        """Guards against a storm of calls by nodes whose record is unharmed."""
        self.publisher.on_stored(record("n1", position_of(9, era=2)))
        self.assertTrue(self.publisher._is_current())
        self.store.replace_record.return_value = position_of(12, era=2)
        self.publisher._desired = lambda: record("n1", 0, slots=3)
        self.publisher._write_once()
        (written,) = self.store.replace_record.call_args.args
        self.assertEqual(position_of(9, era=2), written.revision)

    def test_lost_and_older_records_are_written_again(self):
        """Guards against VMs that no node finds after the store came back."""
        for known in (None, record("n1", position_of(4, era=2), slots=1)):
            self.publisher.on_stored(known)
            self.assertFalse(self.publisher._is_current())


class ClusterTest(TestCase):
    """Nodes with a store that comes back from an older copy."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster(store=StandinPlatformStore(era=1))
        self.addCleanup(self.cluster.close)
        self.cluster.configure(*CONFIGURATION)
        self.nodes = [self.cluster.add_node("s") for _ in range(3)]
        self.cluster.wait_ready()

    def versions(self):
        entries = [node.server.node.entry for node in self.nodes]
        return {entry.configuration.version for entry in entries}

    def test_nodes_keep_the_configuration_and_write_their_records_again(self):
        """Guards against a mesh that follows the store back, or never again."""
        store = self.cluster.store
        older = store.take_copy()
        latest = self.cluster.configure(*CONFIGURATION, route("n", "/n/", service="s"))
        wait_until(lambda: self.versions() == {latest}, 3)
        name = self.nodes[1].node_id
        del older[1][RECORD_KIND, name]
        content = store.get(CONFIG_KIND, "main")["spec"]
        store.come_back(older)
        for _ in range(10):
            eventlet.sleep(0.1)
            self.assertEqual({latest}, self.versions())
            for node in self.nodes:
                self.assertEqual(200, self.cluster.call(node, "/n/a").status)
        wait_until(lambda: store.get(RECORD_KIND, name) is not None, 2)
        store.put(CONFIG_KIND, "main", content)
        later = self.cluster.configure(*CONFIGURATION)
        wait_until(lambda: self.versions() == {later}, 2)
