"""The client of the platform's store, and the task that writes a node's record."""

from random import Random

import eventlet
from testtools import TestCase

from standins.platform_store import StandinPlatformStore
from tests.call_support import wait_until
from tests.mesh_cluster import CONFIG_KIND, RECORD_KIND, limits, route, service
from verbenawick.errors import (
    StoreAnswerLostError,
    StoreConditionError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from verbenawick.mesh._model import UpstreamRecord, UpstreamState
from verbenawick.mesh._publisher import RecordPublisher
from verbenawick.platform._objects import PlatformStore


def record(state=UpstreamState.READY, **changes) -> UpstreamRecord:
    """Return a record of the node n1."""
    fields = {
        "node_id": "n1",
        "service": "s",
        "data_centre": "d",
        "region": "r",
        "peer_address": "10.0.0.1:1",
        "upstream_id": "u1",
        "state": state,
        "slots": 4,
    }
    return UpstreamRecord(**{**fields, **changes})


def document(version: int) -> dict:
    """Return a configuration of one route."""
    resources = [route("r", "/x/", service="s"), service("s"), limits()]
    return {"version": version, "resources": resources}


class StoreWorld(TestCase):
    """A stand-in store and a client."""

    def setUp(self):
        super().setUp()
        self.standin = StandinPlatformStore()
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(self.standin.serve, listener)
        self.addCleanup(thread.kill)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.client = PlatformStore(self.address)
        self.addCleanup(self.client.close)


class PlatformStoreTest(StoreWorld):
    """Answers and faults of the store."""

    def test_configuration_is_read_and_watched(self):
        """A change between read and watch must not be missed."""
        self.standin.put(CONFIG_KIND, "main", document(1))
        first = self.client.read_configuration()
        self.standin.put(CONFIG_KIND, "main", document(2))
        self.standin.put(CONFIG_KIND, "main", document(3))
        change = self.client.watch_configuration(first.revision, wait_s=1.0)
        self.assertEqual(1, first.configuration.version)
        self.assertEqual(3, change.configuration.version)

    def test_watch_returns_without_a_change(self):
        """A watch that never returns would hide a dead connection."""
        revision = self.client.read_configuration().revision
        change = self.client.watch_configuration(revision, wait_s=0.1)
        self.assertIsNone(change.configuration)

    def test_invalid_configuration_is_passed_over(self):
        """A node serves the last valid version whole, not part of a broken one."""
        self.standin.put(CONFIG_KIND, "main", {"version": 1, "resources": "none"})
        self.standin.put(CONFIG_KIND, "other", document(9))
        self.assertIsNone(self.client.read_configuration().configuration)

    def test_garbage_among_records_hides_no_other(self):
        """Others may write to the kind; each object is decoded for itself."""
        for number, spec in enumerate((None, 7, [], {"service": 1}, {"slots": "x"})):
            self.standin.put(RECORD_KIND, f"alien-{number}", spec)
        self.client.create_record(record())
        change = self.client.read_records()
        self.assertEqual(["n1"], list(change.records_by_node_id))
        watched = self.client.watch_records(0, wait_s=0.1)
        self.assertEqual(["n1"], list(watched.records_by_node_id))

    def test_removed_records_are_told(self):
        """A node that is gone must not be called."""
        revision = self.client.create_record(record())
        self.client.delete_record("n1", revision)
        change = self.client.watch_records(revision, wait_s=0.5)
        self.assertEqual({"n1": None}, change.records_by_node_id)

    def test_history_that_is_gone(self):
        """The follower has to read everything again."""
        self.standin.compact_history()
        self.assertRaises(
            StoreHistoryGoneError, self.client.watch_records, 1, wait_s=0.1
        )

    def test_refusals_had_no_effect(self):
        """429 and 503 are safe to repeat."""
        for status in (429, 503):
            self.standin.faults.status = status
            self.assertRaises(StoreUnavailableError, self.client.read_records)
            self.assertRaises(
                StoreUnavailableError, self.client.create_record, record()
            )

    def test_lost_answer_of_a_write_is_unknown(self):
        """The write may have taken effect, or may still do so."""
        self.standin.faults.withholds_write_responses = True
        self.assertRaises(StoreAnswerLostError, self.client.create_record, record())
        self.standin.faults.withholds_write_responses = False
        self.assertEqual("u1", self.client.read_record("n1").upstream_id)

    def test_silent_store_is_noticed(self):
        """A call that waits for ever would stop its task."""
        self.standin.faults.is_unresponsive = True
        self.assertRaises(StoreUnavailableError, self.client.read_record, "n1")

    def test_conflicts_are_told(self):
        """Another writer's change must not be overwritten unseen."""
        self.client.create_record(record())
        self.assertRaises(StoreConditionError, self.client.create_record, record())
        self.assertRaises(
            StoreConditionError, self.client.replace_record, record(revision=999)
        )

    def test_unreachable_store(self):
        """Nothing was sent, so a write is known to have had no effect."""
        client = PlatformStore("127.0.0.1:1")
        self.assertRaises(StoreUnavailableError, client.create_record, record())


class RecordPublisherTest(StoreWorld):
    """The record follows what the node wants it to be."""

    def setUp(self):
        super().setUp()
        self.desired = None
        self.publisher = self.start_publisher()

    def start_publisher(self):
        publisher = RecordPublisher(
            PlatformStore(self.address),
            node_id="n1",
            desired=lambda: self.desired,
            random=Random(1),
        )
        thread = eventlet.spawn(publisher.run)
        self.addCleanup(thread.kill)
        return publisher

    def want(self, desired):
        self.desired = desired
        self.publisher.wake()

    def stored_state(self):
        item = self.standin.get(RECORD_KIND, "n1")
        return item["spec"].get("state") if item else None

    def wait_for(self, state, timeout_s=3):
        wait_until(lambda: self.stored_state() == state, timeout_s)

    def writes(self):
        return sum(method != "GET" for method, _ in self.standin.calls)

    def test_record_follows_the_state(self):
        """Other nodes find an upstream by its record alone."""
        self.want(record())
        self.wait_for("ready")
        self.want(record(UpstreamState.DRAINING))
        self.wait_for("draining")
        self.want(None)
        self.wait_for(None)
        self.assertEqual(3, self.writes())

    def test_unchanged_record_is_not_written_again(self):
        """Each call to the store is paid."""
        self.want(record())
        self.wait_for("ready")
        for _ in range(5):
            self.want(record())
            eventlet.sleep(0.01)
        self.assertEqual(1, self.writes())

    def test_record_of_an_earlier_process_is_replaced(self):
        """A restarted node finds its own record under its name."""
        self.standin.put(RECORD_KIND, "n1", {"service": "old"})
        self.want(record())
        self.wait_for("ready")

    def test_lost_answer_is_read_back(self):
        """The write took effect although its answer was lost."""
        self.standin.faults.withholds_write_responses = True
        self.want(record())
        eventlet.sleep(0.2)
        self.standin.faults.withholds_write_responses = False
        self.wait_for("ready")
        self.want(record(UpstreamState.DRAINING))
        self.wait_for("draining", 6)

    def test_record_is_back_soon_after_an_outage(self):
        """An upstream without a record gets no work."""
        self.standin.faults.status = 503
        self.want(record())
        eventlet.sleep(0.5)
        self.standin.faults.status = 0
        self.wait_for("ready", 2)

    def test_record_that_another_writer_removed_is_written_again(self):
        """Entries that lapsed are back within about two seconds."""
        self.want(record())
        self.wait_for("ready")
        self.standin.remove(RECORD_KIND, "n1")
        self.publisher.on_stored(None)
        self.wait_for("ready", 2)
