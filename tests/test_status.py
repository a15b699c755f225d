"""Tests of the status of nodes and regions."""

from dataclasses import replace

from testtools import TestCase
from testtools.matchers import Equals, Is

from tests.memory_mesh import MemoryMesh, document
from verbenawick.configuration._status import (
    MAX_LISTED_NODES,
    BehindCause,
    Convergence,
    NodeStatus,
    decode_region_status,
    encode_region_status,
)
from verbenawick.errors import StatusError


class StatusTest(TestCase):
    """Nodes count as in force only if a recent report shows it."""

    def setUp(self):
        super().setUp()
        self.mesh = MemoryMesh()
        for node_id in ("a1x", "a1y", "a1z", "a2x", "a2y"):
            self.mesh.start(node_id)
        self.mesh.store.accept(document({"r": "base"}))
        self.mesh.elect("a1x", region=True)
        self.mesh.elect("a2x")
        self.mesh.run(6.0)
        self.mesh.store.calls.clear()

    def accept(self):
        self.mesh.store.accept(document({"r": "base", "s": "base"}))
        self.mesh.watch_all()

    def written(self):
        return decode_region_status(self.mesh.store.read("status/a").value)

    def test_all_nodes_are_counted(self):
        """The region's status object includes the nodes of both data centres."""
        status = self.written()
        self.assertThat(status.counts_by_version, Equals({1: 5}))
        self.assertThat(status.behind, Equals(()))
        self.assertThat(status.node_count, Equals(5))

    def test_silent_node_is_unknown(self):
        """A paused node is not counted under its last reported version."""
        self.mesh.pause("a2y")
        self.mesh.run(10.0)
        status = self.written()
        self.assertThat(status.counts_by_version, Equals({1: 4}))
        self.assertThat(status.unknown_count, Equals(1))
        self.assertThat(status.behind[0].cause, Is(BehindCause.UNREACHABLE))
        self.assertThat(status.behind[0].node_id, Equals("a2y"))

    def test_silent_data_centre_is_unknown(self):
        """All nodes of a data centre are unknown after its relay is lost."""
        self.mesh.kill("a2x")
        self.mesh.run(10.0)
        status = self.written()
        self.assertThat(status.counts_by_version, Equals({1: 3}))
        self.assertThat(status.unknown_count, Equals(2))

    def test_refusal_is_reported_with_its_code(self):
        """A node that cannot compile a version is listed as refused, with an age."""
        self.mesh.nodes_by_id["a1z"].codec.broken_versions.add(2)
        self.accept()
        self.mesh.run(10.0)
        (node,) = self.written().behind
        self.assertThat(node.cause, Is(BehindCause.REFUSED))
        self.assertThat(node.detail, Equals("config.invalid"))
        self.assertTrue(4.0 < node.since_s <= 10.0)

    def test_restarted_node_is_catching_up(self):
        """A node without a floor is behind and counts under version 0."""
        self.mesh.store.is_down = True
        for node_id in ("a2x", "a2y"):
            self.mesh.kill(node_id)
            self.mesh.start(node_id)
        self.mesh.elect("a2x")
        self.mesh.run(3.0)
        status = self.mesh.nodes_by_id["a1x"].status.region_status()
        causes = {node.node_id: node.cause for node in status.behind}
        expected = dict.fromkeys(("a2x", "a2y"), BehindCause.CATCHING_UP)
        self.assertThat(causes, Equals(expected))
        self.assertThat(status.counts_by_version, Equals({1: 3, 0: 2}))

    def test_briefly_behind_nodes_are_not_listed(self):
        """Nodes that are briefly behind after a change are counted but not listed.

        Otherwise each change would send the list of all nodes across regions.
        """
        self.accept()
        self.mesh.queue.pop(0).deliver()
        self.mesh.queue.clear()
        self.mesh.tick(deliver=False)
        status = self.mesh.nodes_by_id["a1x"].status.region_status()
        self.assertThat(status.behind, Equals(()))
        self.assertThat(status.behind_count, Equals(5))

    def test_convergence_waits_for_each_node(self):
        """A version has not converged while any node is unknown or behind."""
        self.mesh.pause("a2y")
        self.accept()
        self.mesh.run(3.0)
        relay = self.mesh.nodes_by_id["a1x"].status
        versions = [c.version for c in relay.region_status().convergences]
        self.assertThat(versions, Equals([1]))
        self.mesh.resume("a2y")
        self.mesh.run(2.0)
        last = relay.region_status().convergences[-1]
        self.assertThat((last.version, last.nodes), Equals((2, 5)))
        self.assertTrue(3.0 <= last.duration_s <= 5.0)

    def test_writes_are_bounded(self):
        """The status is written at most every 2 s, and every 5 s without changes."""
        self.mesh.run(20.0)
        idle = self.mesh.store.calls.count(("update", "status/a"))
        self.assertTrue(3 <= idle <= 5, idle)
        self.mesh.store.calls.clear()
        for _ in range(40):
            self.accept()
            self.mesh.run(0.5)
        busy = self.mesh.store.calls.count(("update", "status/a"))
        self.assertTrue(8 <= busy <= 11, busy)

    def test_write_goes_on_after_lost_answers_and_conflicts(self):
        """After an unknown outcome or a conflict, the object version is read again."""
        self.mesh.store.loses_answers = True
        self.mesh.run(11.0)
        self.mesh.store.loses_answers = False
        self.mesh.store.write("status/a", b"other relay")
        self.mesh.run(11.0)
        self.assertThat(self.written().counts_by_version, Equals({1: 5}))

    def test_list_of_nodes_behind_is_bounded(self):
        """The size of the object is bounded when many nodes are unreachable."""
        for number in range(MAX_LISTED_NODES + 10):
            node_id = f"a1{number}"
            self.mesh.start(node_id)
            self.mesh.pause(node_id)
        self.mesh.run(10.0)
        status = self.written()
        self.assertThat(len(status.behind), Equals(MAX_LISTED_NODES))
        self.assertThat(status.behind_count, Equals(MAX_LISTED_NODES + 10))

    def test_encoding(self):
        """Encoding round-trips, and invalid data raises `StatusError`."""
        status = self.written()
        value = encode_region_status(status)
        self.assertThat(decode_region_status(value), Equals(status))
        node = NodeStatus("a9", "a", 1, 2, BehindCause.REFUSED, 1.5, "code", 3)
        full = replace(status, behind=(node,), convergences=(Convergence(2, 0.25, 4),))
        value = encode_region_status(full)
        self.assertThat(decode_region_status(value), Equals(full))
        for invalid in (b"", b"\xa0", b"\xff", b"\x80", value[:-1]):
            self.assertRaises(StatusError, decode_region_status, invalid)
