"""Tests of the distribution of the upstream records through the relay."""

from random import Random
from unittest import mock
from zlib import compress

import cbor2
import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from tests.record_fields import RECORD_FIELDS_OUT_OF_RANGE
from verbenawick.errors import (
    ProtocolError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from verbenawick.mesh import _record_relay
from verbenawick.mesh._model import UpstreamRecord, UpstreamState
from verbenawick.mesh._record_follower import RecordFollower
from verbenawick.mesh._record_relay import (
    BEACON_VALID_S,
    MAX_UPDATE_BYTES,
    RecordBeacon,
    RecordTable,
    decode_records,
    encode_records,
)
from verbenawick.mesh._state_store import RecordChange
from verbenawick.runtime._clock import ManualClock


def record(name: str, revision: int, **changes) -> UpstreamRecord:
    """Return the record of a node at a store revision."""
    values = {
        "node_id": name,
        "service": "archive",
        "data_centre": "dc1",
        "region": "north",
        "peer_address": "10.0.0.1:7001",
        "upstream_id": f"i-{name}",
        "state": UpstreamState.READY,
        "slots": 6,
        "born_ms": 1_700_000_000_000,
        "revision": revision,
    }
    return UpstreamRecord(**{**values, **changes})


class ScriptedStore:
    """Store with records of several nodes and their history."""

    def __init__(self):
        self.revision = 1
        self.records = {}
        self.events = []
        self.calls = []
        self.error = None
        self.oldest = 0

    def put(self, name, **changes):
        self.revision += 1
        self.records[name] = record(name, self.revision, **changes)
        self.events.append((self.revision, name, self.records[name]))

    def delete(self, name):
        self.revision += 1
        del self.records[name]
        self.events.append((self.revision, name, None))

    def read_records(self, *, allow_stale):
        self.calls.append("read")
        return RecordChange(self.revision, dict(self.records), is_complete=True)

    def watch_records(self, revision, *, wait_s):
        self.calls.append("watch")
        if self.error is not None:
            raise self.error
        if revision < self.oldest:
            raise StoreHistoryGoneError("gone", step="store.watch")
        changed = {name: item for at, name, item in self.events if at > revision}
        return RecordChange(self.revision, changed, is_complete=False)


class Follower:
    """A follower with the records that it applied and the beacons that it sent."""

    def __init__(self, store, clock, *, is_relay=False, is_read=True):
        self.is_relay = is_relay
        self.sent = []
        self.records = {}
        self.follower = RecordFollower(
            store,
            random=Random(1),
            clock=clock,
            apply=self.apply,
            is_relay=lambda: self.is_relay,
            send=self.sent.append,
        )
        if is_read:
            self.poll()

    def apply(self, change):
        if change.is_complete:
            self.records.clear()
        for name, item in change.records_by_node_id.items():
            self.records[name] = item
            if item is None:
                del self.records[name]

    def poll(self):
        """Run one pass of the follower's task."""
        with mock.patch("eventlet.sleep"):
            self.follower._poll()

    def receive(self, beacons):
        for beacon in beacons:
            self.follower.on_beacon(beacon)


class RecordFollowerTest(TestCase):
    """One relay and one node that relies on its beacons."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = ScriptedStore()
        self.store.put("n1")
        self.relay = Follower(self.store, self.clock, is_relay=True)
        self.node = Follower(self.store, self.clock)
        self.node.receive(self.relay.sent)
        self.take_sent()
        self.store.calls.clear()

    def take_sent(self):
        sent = list(self.relay.sent)
        self.relay.sent.clear()
        return sent

    def change_and_send(self, *names):
        for name in names:
            self.store.put(name)
        self.relay.poll()
        return self.take_sent()

    def calls_of_node(self):
        self.store.calls.clear()
        self.node.poll()
        return list(self.store.calls)

    def test_node_with_a_relay_applies_changes_without_calls_to_the_store(self):
        """Guards against calls to the store that grow with nodes times changes."""
        for number in range(5):
            self.node.receive(self.change_and_send(f"n{number}"))
            self.assertEqual(self.store.records, self.node.records)
            self.assertEqual([], self.calls_of_node())
        self.store.delete("n1")
        self.node.receive(self.change_and_send())
        self.assertNotIn("n1", self.node.records)

    def test_node_that_missed_a_change_reads_it_from_the_store(self):
        """Guards against records that stay old after a lost beacon."""
        self.change_and_send("n2")
        self.node.receive(self.change_and_send("n3"))
        self.assertEqual(["n1"], list(self.node.records))
        self.assertEqual(["watch"], self.calls_of_node())
        self.assertEqual(self.store.records, self.node.records)
        self.assertEqual([], self.calls_of_node())

    def test_periodic_beacon_reveals_a_missed_change(self):
        """Guards against a lost beacon that no further change follows."""
        self.change_and_send("n2")
        self.relay.follower._send_beacon()
        self.node.receive(self.take_sent())
        self.assertEqual(["watch"], self.calls_of_node())

    def test_changes_too_large_for_a_beacon_are_read_from_the_store(self):
        """Guards against full links of leaders when all upstreams restart."""
        random = Random(1)
        with mock.patch.object(
            ScriptedStore,
            "put",
            lambda store, name, put=ScriptedStore.put: put(
                store, name, upstream_id=str(random.getrandbits(256))
            ),
        ):
            sent = self.change_and_send(*(f"m{number}" for number in range(100)))
        self.assertLessEqual(max(len(beacon.records) for beacon in sent), 4096)
        self.node.receive(sent)
        self.assertEqual(["watch"], self.calls_of_node())
        self.assertEqual(self.store.records, self.node.records)

    def test_node_without_beacons_watches_the_store(self):
        """Guards against a node that trusts a dead relay."""
        self.clock.advance(BEACON_VALID_S - 0.01)
        self.assertEqual([], self.calls_of_node())
        self.clock.advance(0.02)
        self.assertEqual(["watch"], self.calls_of_node())

    def test_relay_without_the_store_sends_no_beacons(self):
        """Guards against nodes that trust a relay which has lost the store."""
        self.store.error = StoreUnavailableError("down", step="store.watch")
        self.assertRaises(StoreUnavailableError, self.relay.poll)
        thread = eventlet.spawn(self.relay.follower.send_beacons)
        self.addCleanup(thread.kill)
        self.clock.advance(_record_relay.CONTACT_VALID_S + 0.01)
        eventlet.sleep(_record_relay.BEACON_INTERVAL_S + 0.1)
        self.assertEqual([], self.take_sent())

    def test_full_read_of_the_relay_costs_the_other_nodes_no_read(self):
        """Guards against a read in each node when the store discards its history."""
        self.store.revision = self.store.oldest = 50
        self.relay.follower._revision = 0
        self.relay.poll()
        self.node.receive(self.take_sent())
        self.assertEqual([], self.calls_of_node())
        self.node.receive(self.change_and_send("n2"))
        self.assertEqual(self.store.records, self.node.records)
        self.assertEqual([], self.calls_of_node())

    def test_full_read_with_other_records_is_noticed(self):
        """Guards against changes that were discarded together with the history."""
        self.store.put("n2")
        self.store.oldest = self.store.revision
        self.relay.follower._revision = 0
        self.relay.poll()
        self.node.receive(self.take_sent())
        self.assertRaises(StoreHistoryGoneError, self.node.poll)

    def test_beacons_of_an_older_relay_change_nothing(self):
        """Guards against records that go back when two nodes act as relay."""
        first = self.change_and_send("n2")
        second = self.change_and_send("n2")
        self.node.receive([*first, *second, *first])
        self.assertEqual(self.store.records, self.node.records)
        self.assertEqual([], self.calls_of_node())

    def test_relay_overtaken_by_another_one_announces_only_what_it_sends(self):
        """Guards against a beacon that claims more changes than it contains."""
        self.store.put("n2")
        stale = self.store.watch_records(self.relay.follower._revision, wait_s=0)
        other = Follower(self.store, self.clock, is_relay=True)
        self.store.put("n3")

        def watch(revision, *, wait_s):
            other.poll()
            self.relay.receive(other.sent)
            return stale

        with mock.patch.object(self.store, "watch_records", watch):
            other.follower._store = ScriptedStore()
            other.follower._store.__dict__.update(self.store.__dict__)
            del other.follower._store.watch_records
            self.relay.poll()
        self.node.receive(self.take_sent())
        self.node.receive(self.change_and_send("n4"))
        self.node.poll()
        self.assertEqual(self.store.records, self.node.records)

    def test_invalid_records_of_a_beacon_are_replaced_from_the_store(self):
        """Guards against lost changes, and against a node that fails on them."""
        invalid_rows = compress(cbor2.dumps([["n2", [1, 2]]]))
        for data in (b"x", encode_records({})[:-3], invalid_rows, compress(b"")):
            self.store.put("n2")
            revision = self.store.revision
            self.node.receive([RecordBeacon(1, revision, revision, 0, data)])
            self.assertEqual(["watch"], self.calls_of_node())
            self.assertEqual(self.store.records, self.node.records)

    def test_beacons_before_the_first_read_are_ignored(self):
        """Guards against a node that knows only the latest changes."""
        node = Follower(self.store, self.clock)
        node.follower._revision = 0
        node.receive(self.change_and_send("n9"))
        self.assertFalse(node.follower.has_synced)


class RecordBeaconTest(TestCase):
    """Encoding of changes, and digests of all records."""

    def test_records_survive_encoding(self):
        """Guards against fields in the wrong order."""
        records = {"n1": record("n1", 3), "n2": None}
        self.assertEqual(records, decode_records(encode_records(records)))

    def test_records_out_of_range_from_another_node_are_refused(self):
        """Guards against an odd entry that a relay or a neighbour passes on."""
        for changes in RECORD_FIELDS_OUT_OF_RANGE:
            encoded = encode_records({"n1": record("n1", 3, **changes)})
            self.assertRaises(ProtocolError, decode_records, encoded)

    def test_usual_changes_fit_into_a_beacon(self):
        """A release replaces a few upstreams at a time."""
        records = {f"n{number}": record(f"n{number}", number) for number in range(20)}
        self.assertLess(len(encode_records(records)), MAX_UPDATE_BYTES / 2)

    def test_digest_depends_on_the_records_only(self):
        """Guards against differences due to the order of the changes."""
        one, other = RecordTable(), RecordTable()
        for name, revision in (("a", 1), ("b", 2), ("a", 3)):
            one.put(name, record(name, revision))
        other.put("a", record("a", 3))
        self.assertNotEqual(one.digest, other.digest)
        other.put("c", record("c", 4))
        other.put("b", record("b", 2))
        other.put("c", None)
        self.assertEqual(one.digest, other.digest)


class RecordRelayTest(TestCase):
    """Records of the nodes of two regions on the stand-in platform."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-a", "/archive/", service="archive"), service("archive")
        )
        self.nodes = [
            self.cluster.add_node("archive", region=region, data_centre=region)
            for region in ("north", "north", "south", "south")
        ]
        self.cluster.wait_ready()
        wait_until(lambda: self.sources() == ["beacons"] * 3 + ["relay"], 10)

    def sources(self):
        return sorted(n.server.node._record_follower._source for n in self.nodes)

    def states(self, node_id):
        return {
            node.server.node.endpoints.get(node_id).state
            for node in self.nodes
            if node.node_id != node_id
        }

    def record_calls(self):
        path = "/objects/verbenawick-upstreams"
        return sum(called == path for _, called in self.cluster.store.calls)

    def test_only_the_relay_watches_the_records(self):
        """Guards against a watch of the records in each node."""
        before = self.record_calls()
        eventlet.sleep(2.0)
        self.assertLessEqual(self.record_calls() - before, 5)

    def test_change_reaches_all_regions_after_loss_of_the_relay(self):
        """Guards against nodes that wait for the beacons of a dead relay."""
        relay = next(
            node
            for node in self.nodes
            if node.server.node._record_follower._source == "relay"
        )
        self.nodes.remove(relay)
        relay.is_reporting = False
        relay.server.kill()
        leaving = self.nodes[0]
        leaving.state = "draining"
        wait_until(lambda: self.states(leaving.node_id) == {"draining"}, 5)
