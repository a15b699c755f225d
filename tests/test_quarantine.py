"""Quarantine of requests that crash upstreams."""

from dataclasses import dataclass, replace

from testtools import TestCase

from tests.call_support import SERVICE, Caller, CallMesh, wait_until
from verbenawick.calls._entry_request import compute_fingerprint
from verbenawick.calls._quarantine import (
    MAX_SUSPECTS,
    QUARANTINE_S,
    STORE_KEY_PREFIX,
    Quarantine,
)
from verbenawick.calls._table import ServicePolicy
from verbenawick.errors import StoreConditionError, StoreUnavailableError
from verbenawick.links._component import LinkPurpose, NodeIdentity, StoreObject
from verbenawick.links._messages import decode_message, encode_message
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet

CRASHING_FINGERPRINT = b"p" * 16


@dataclass
class RelayTreeRoles:
    """`RoleView` of one node with fixed roles."""

    parent: str
    is_root: bool

    def is_data_centre_relay(self):
        """Return whether the node is the root of its region."""
        return self.is_root

    def is_region_relay(self):
        """Return whether the node is the region's relay."""
        return self.is_root

    def relay_id(self):
        """Return the parent node."""
        return self.parent

    def lease_epoch(self):
        """Return a fixed epoch."""
        return 1


class RelayTreePort:
    """Peers and store of one node in a `RelayTree`."""

    def __init__(self, tree, node_id):
        self.tree = tree
        self.node_id = node_id

    def send(self, node_id, message):
        """Deliver a message immediately, encoded and decoded."""
        if node_id in self.tree.unreachable_node_ids:
            return False
        self.tree.sent += 1
        decoded = decode_message(encode_message(message))
        self.tree.nodes[node_id].on_message(self.node_id, decoded)
        return True

    def identity(self, node_id):
        """Return no identity."""
        return None

    def peers(self, purpose):
        """Return the children of the node."""
        if purpose is not LinkPurpose.SUBSCRIBER:
            return ()
        return self.tree.children(self.node_id)

    def get(self, key, callback):
        """Read from the store."""
        if self.tree.store_is_down:
            callback(None, StoreUnavailableError("down"))
            return
        callback(self.tree.objects.get(key, StoreObject(key, b"", 0)), None)

    def update(self, key, value, *, expected_version, callback):
        """Write to the store."""
        current = self.tree.objects.get(key, StoreObject(key, b"", 0))
        if current.version != expected_version:
            callback(None, StoreConditionError("changed"))
            return
        self.tree.writes += 1
        obj = StoreObject(key, value, current.version + 1)
        self.tree.objects[key] = obj
        callback(obj, None)
        for node_id in ("a", "b"):
            self.tree.nodes[node_id].on_object(obj)


class RelayTree:
    """Regions a and b: region relay ``a``, data centre relay ``a1``, node ``a1x``."""

    def __init__(self):
        self.clock = ManualClock()
        self.nodes = {}
        self.objects = {}
        self.unreachable_node_ids = set()
        self.sent = 0
        self.writes = 0
        self.store_is_down = False
        for node_id in ("a", "a1", "a1x", "a1y", "b", "b1", "b1x"):
            self.nodes[node_id] = self.build(node_id)

    def build(self, node_id):
        """Return a new quarantine component for a node."""
        parent = {1: node_id, 2: node_id[0], 3: node_id[:2]}[len(node_id)]
        port = RelayTreePort(self, node_id)
        return Quarantine(
            NodeIdentity(node_id, 1, SERVICE, node_id[:2], node_id[0], ""),
            clock=self.clock,
            peers=port,
            store=port,
            roles=RelayTreeRoles(parent, len(node_id) == 1),
            metrics=MetricSet(),
        )

    def children(self, node_id):
        """Return the ids of the children of a node."""
        return tuple(
            other
            for other in self.nodes
            if other.startswith(node_id) and len(other) == len(node_id) + 1
        )

    def run(self, seconds=4.0):
        """Advance the clock and call `on_tick` of all nodes."""
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            for node in self.nodes.values():
                node.on_tick()

    def refusing_node_ids(self, fingerprint=CRASHING_FINGERPRINT):
        """Return the ids of the nodes that refuse a fingerprint."""
        return {i for i, node in self.nodes.items() if node.is_refused(fingerprint)}


class QuarantineTest(TestCase):
    """Counting and distribution of crashes over the relay tree."""

    def setUp(self):
        super().setUp()
        self.tree = RelayTree()
        self.nodes = self.tree.nodes

    def test_crashes_at_different_entries_add_up(self):
        """One crash at each of three entries quarantines the request on every node."""
        self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, "u1")
        self.nodes["a1y"].record_crash(CRASHING_FINGERPRINT, "u2")
        self.tree.run()
        self.assertEqual(set(), self.tree.refusing_node_ids())
        self.nodes["b1x"].record_crash(CRASHING_FINGERPRINT, "u3")
        self.tree.run()
        self.assertEqual(set(self.nodes), self.tree.refusing_node_ids())
        self.assertEqual(set(), self.tree.refusing_node_ids(b"other"))

    def test_the_entry_counts_its_own_attempts_immediately(self):
        """Guards against crashing a fourth upstream before reports are distributed."""
        for node_id in ("u1", "u2", "u3"):
            self.assertFalse(self.nodes["a1x"].is_refused(CRASHING_FINGERPRINT))
            self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, node_id)
        self.assertEqual({"a1x"}, self.tree.refusing_node_ids())

    def test_the_quarantine_ends_on_all_nodes(self):
        """Ten minutes after the last crash, the request is allowed and removed."""
        for node_id in ("u1", "u2", "u3"):
            self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, node_id)
        self.tree.run()
        self.tree.clock.advance(QUARANTINE_S - 10)
        self.assertEqual(set(self.nodes), self.tree.refusing_node_ids())
        self.tree.clock.advance(10)
        self.tree.run()
        self.assertEqual(set(), self.tree.refusing_node_ids())
        self.assertEqual([0] * 7, [len(n._suspects) for n in self.nodes.values()])

    def test_calls_cut_off_by_one_crash_count_once(self):
        """Guards against counting twelve calls in flight as twelve crashes."""
        for _ in range(12):
            self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, "u1")
            self.nodes["a1y"].record_crash(CRASHING_FINGERPRINT, "u1")
        self.tree.run()
        self.assertEqual(set(), self.tree.refusing_node_ids())

    def test_a_request_that_mostly_completes_is_not_refused(self):
        """Guards against refusing a frequent read that is in flight at each crash."""
        for number in range(6):
            self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, f"u{number}")
            for node_id in ("a1x", "a1y", "b1x"):
                self.nodes[node_id].record_completion(CRASHING_FINGERPRINT)
            self.tree.run()
            for node_id in ("a1y", "b1x"):
                self.nodes[node_id].record_completion(CRASHING_FINGERPRINT)
        self.tree.run()
        self.assertEqual(set(), self.tree.refusing_node_ids())

    def test_a_node_that_joins_receives_the_quarantine(self):
        """A restarted node gets the suspects; a new region relay reads the object."""
        for node_id in ("u1", "u2", "u3"):
            self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, node_id)
        self.tree.run()
        self.nodes["b1x"] = self.tree.build("b1x")
        self.nodes["b1"].on_link("b1x", LinkPurpose.SUBSCRIBER, is_open=True)
        self.assertIn("b1x", self.tree.refusing_node_ids())
        self.nodes["b"] = self.tree.build("b")
        self.nodes["b"].on_object(self.tree.objects[STORE_KEY_PREFIX + "a"])
        self.assertIn("b", self.tree.refusing_node_ids())

    def test_lost_relays_and_a_lost_store_only_delay_the_reports(self):
        """Guards against losing reports while a relay or the store is unavailable."""
        self.tree.unreachable_node_ids = {"a1"}
        self.tree.store_is_down = True
        for node_id in ("u1", "u2", "u3"):
            self.nodes["a1x"].record_crash(CRASHING_FINGERPRINT, node_id)
        self.tree.run()
        self.assertEqual({"a1x"}, self.tree.refusing_node_ids())
        self.tree.unreachable_node_ids = set()
        self.tree.run()
        self.assertEqual({"a", "a1", "a1x", "a1y"}, self.tree.refusing_node_ids())
        self.tree.store_is_down = False
        self.tree.run()
        self.assertEqual(set(self.nodes), self.tree.refusing_node_ids())

    def test_a_write_that_conflicts_is_merged_and_repeated(self):
        """Guards against overwriting a concurrent write of an earlier relay."""
        self.nodes["b1x"].record_crash(CRASHING_FINGERPRINT, "u1")
        self.tree.run()
        key = STORE_KEY_PREFIX + "b"
        earlier = RelayTree()
        earlier.nodes["b1x"].record_crash(CRASHING_FINGERPRINT, "u2")
        earlier.run()
        self.tree.objects[key] = replace(earlier.objects[key], version=9)
        self.nodes["b1x"].record_crash(CRASHING_FINGERPRINT, "u3")
        self.tree.run()
        self.assertEqual(set(self.nodes), self.tree.refusing_node_ids())
        self.assertGreater(self.tree.objects[key].version, 9)

    def test_memory_and_traffic_are_bounded(self):
        """Suspects and writes stay bounded; without new crashes, nothing is sent."""
        for number in range(MAX_SUSPECTS * 2):
            self.nodes["a1x"].record_crash(number.to_bytes(16, "big"), "u1")
        self.tree.run()
        for node in self.nodes.values():
            self.assertLessEqual(len(node._suspects), MAX_SUSPECTS)
        self.assertLess(self.tree.writes, 8)
        self.tree.sent = self.tree.writes = 0
        self.tree.run(30)
        self.assertEqual((0, 0), (self.tree.sent, self.tree.writes))

    def test_an_invalid_object_is_ignored(self):
        """Invalid data in the store neither raises nor quarantines."""
        self.nodes["a"].on_object(StoreObject(STORE_KEY_PREFIX + "b", b"\xff", 3))
        self.assertEqual(set(), self.tree.refusing_node_ids())


class CrashingRequestTest(TestCase):
    """Entry, gateway and quarantine with upstreams that crash."""

    def test_a_crashing_request_stops_after_three_upstreams(self):
        """Guards against a retrying caller that crashes more and more upstreams."""
        mesh = CallMesh(nodes=5, policy=ServicePolicy("p", max_attempts=5))
        self.addCleanup(mesh.close)
        node = mesh.nodes[0]
        tree = RelayTree()
        quarantine = tree.nodes["a1x"]
        for target in (node.dispatcher, node.entry, node.gateway):
            target._is_quarantined = quarantine.is_refused
        node.dispatcher._on_crash = quarantine.record_crash
        node.dispatcher._on_complete = quarantine.record_completion
        caller = Caller(node.call_address)
        self.addCleanup(caller.close)
        response = caller.call("GET", "/a?fault=reset")
        self.assertEqual("unknown", response.outcome)
        for _ in range(5):
            response = caller.call("GET", "/a?fault=reset")
            self.assertEqual(
                (422, "call.quarantined", "not-run"),
                (response.status, response.code, response.outcome),
            )
        self.assertEqual(200, caller.call("GET", "/a?other=1").status)
        wait_until(lambda: len(mesh.runs()) == 8)
        crashed = [u for u in mesh.upstreams if len(u.runs)]
        self.assertLessEqual(len(crashed), 4)

    def test_equal_requests_of_another_service_are_served(self):
        """Guards against harmless requests refused for crashes of another caller."""
        mesh = CallMesh(nodes=1)
        self.addCleanup(mesh.close)
        node = mesh.nodes[0]
        caller = Caller(node.call_address)
        self.addCleanup(caller.close)
        refused = []
        node.entry._is_quarantined = refused.__contains__
        self.assertEqual(200, caller.call("GET", "/a?other=1").status)
        refused.append(compute_fingerprint("other", "GET", "/a?other=1", b""))
        self.assertEqual(200, caller.call("GET", "/a?other=1").status)
        refused.append(compute_fingerprint(SERVICE, "GET", "/a?other=1", b""))
        response = caller.call("GET", "/a?other=1")
        self.assertEqual("call.quarantined", response.code)
