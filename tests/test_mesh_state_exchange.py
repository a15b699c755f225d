"""Tests of the state that a starting node gets from other nodes."""

from random import Random

from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from tests.test_mesh_record_follower import Follower, ScriptedStore
from verbenawick.links._component import NodeIdentity
from verbenawick.mesh._configuration_relay import ConfigurationAnswer
from verbenawick.mesh._record_relay import RecordAnswer, RecordQuery
from verbenawick.mesh._state_exchange import MAX_PEERS_PER_QUERY, StateExchange
from verbenawick.runtime._clock import ManualClock


class RestartWithoutStoreTest(TestCase):
    """A node that is restarted while the store is unavailable."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-a", "/archive/", service="archive"), service("archive")
        )
        self.nodes = [self.cluster.add_node("archive") for _ in range(3)]
        self.cluster.wait_ready()

    def assert_serves_after_restart(self):
        restarted = self.nodes[1]
        self.cluster.restart_node(restarted)
        wait_until(lambda: restarted.server.node.is_ready, 3)
        answer = self.cluster.call(restarted, "/archive/1")
        self.assertEqual(200, answer.status)
        self.assertEqual(404, self.cluster.call(restarted, "/other/1").status)

    def test_restarted_node_serves_while_the_store_refuses_calls(self):
        """Guards against 503 for all calls of a VM until the store is back."""
        self.cluster.store.faults.status = 503
        self.assert_serves_after_restart()

    def test_restarted_node_serves_while_the_store_does_not_respond(self):
        """Guards against a node that waits for the time-outs of the store."""
        self.cluster.store.faults.is_unresponsive = True
        self.assert_serves_after_restart()

    def test_restarted_node_follows_the_store_after_its_return(self):
        """Guards against a node that keeps the state of its neighbours."""
        self.cluster.store.faults.status = 503
        self.assert_serves_after_restart()
        self.cluster.configure(
            route("r-n", "/new/", service="archive"), service("archive")
        )
        self.cluster.store.faults.status = 0
        wait_until(lambda: self.cluster.call(self.nodes[1], "/new/1").status == 200, 4)


class RecordAnswerTest(TestCase):
    """Answers of other nodes at a node that has read no records."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = ScriptedStore()
        self.store.put("n1")
        self.node = Follower(self.store, self.clock)
        self.starting = Follower(self.store, self.clock, is_read=False)

    def test_records_of_another_node_are_used(self):
        """Guards against a node that knows no upstream without the store."""
        self.starting.follower.on_answer(self.node.follower.answer(1))
        self.assertEqual(self.store.records, self.starting.records)
        self.assertTrue(self.starting.follower.has_synced)

    def test_changes_after_an_answer_are_read_from_the_store(self):
        """Guards against changes that are lost between the answer and the watch."""
        self.starting.follower.on_answer(self.node.follower.answer(1))
        self.store.put("n2")
        self.starting.poll()
        self.assertEqual(self.store.records, self.starting.records)

    def test_invalid_and_empty_answers_are_ignored(self):
        """Guards against a node that is ready but knows nothing."""
        for answer in (RecordAnswer(1, 5, b"x"), RecordAnswer(1, 0, b"")):
            self.starting.follower.on_answer(answer)
            self.assertFalse(self.starting.follower.has_synced)

    def test_answer_replaces_no_records_of_the_store(self):
        """Guards against older records of another node."""
        old = self.node.follower.answer(1)
        self.store.put("n2")
        self.node.poll()
        reader = Follower(self.store, self.clock)
        reader.follower.on_answer(old)
        self.assertEqual(self.store.records, reader.records)


class QueryTest(TestCase):
    """Queries at a common start, when no node has an answer."""

    def test_queries_are_limited(self):
        """Guards against queries of all nodes to all nodes."""
        links = LinksToStartingNodes(10)
        exchange = StateExchange(
            links,
            configuration=NoConfiguration(),
            records=Follower(ScriptedStore(), ManualClock(), is_read=False).follower,
            random=Random(1),
        )
        exchange.query_peers()
        self.assertEqual(MAX_PEERS_PER_QUERY, len(set(links.queried_ids)))


class NoConfiguration:
    """A follower that has no configuration and gets none."""

    has_configuration = False

    def on_answer(self, answer):
        """Ignore the answer, as one without a document."""


class LinksToStartingNodes:
    """Links to nodes that have no state."""

    def __init__(self, count):
        self.queried_ids = []
        self._peers = [
            NodeIdentity(f"n{number}", 1, "archive", "dc1", "north", f"10.0.0.{number}")
            for number in range(count)
        ]

    def register_handler(self, message_type, handler):
        """Accept a handler; nothing calls it."""

    def accepted_peers(self):
        return list(self._peers)

    def now(self):
        return 0.0

    def request(self, member, message, *, deadline):
        self.queried_ids.append(member.node_id)
        if isinstance(message, RecordQuery):
            return RecordAnswer(message.call_id, 0, b"")
        return ConfigurationAnswer(message.call_id, 0, 0, b"")
