"""Tests of the distribution of versions over nodes, data centres and regions."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, Is

from tests.memory_mesh import HEAD, MemoryMesh, document
from verbenawick.configuration._config_messages import (
    Commit,
    DeltaStep,
    Stage,
    VersionSummary,
)
from verbenawick.configuration._config_state import VersionRef
from verbenawick.configuration._step_cache import MAX_CACHED_STEPS, StepCache
from verbenawick.runtime._explain import DecisionRecord

NODE_IDS = ("a1x", "a1y", "a1z", "a2x", "a2y", "b1x", "b1y", "b1z")


class DistributionTest(TestCase):
    """Tests of the propagation of versions from the store to all nodes."""

    def setUp(self):
        super().setUp()
        self.mesh = MemoryMesh()
        for node_id in NODE_IDS:
            self.mesh.start(node_id)
        self.mesh.store.accept(document({"r": "base"}))
        self.mesh.elect("a1x", region=True)
        self.mesh.elect("a2x")
        self.mesh.elect("b1x", region=True)
        self.mesh.run(6.0)
        self.mesh.store.calls.clear()
        self.mesh.sent.clear()

    def accept(self, *route_ids, **options):
        routes = {route_id: "base" for route_id in ("r", *route_ids)}
        version = self.mesh.store.accept(document(routes), **options)
        self.mesh.watch_all()
        return version

    def served(self):
        return set(self.mesh.served_versions().values())

    def deliver(self, condition):
        """Deliver all items that satisfy `condition`, including newly queued ones."""
        while item := next((i for i in self.mesh.queue if condition(i)), None):
            self.mesh.queue.remove(item)
            item.deliver()

    def test_inline_delta_needs_no_store_read(self):
        """A change takes no store call besides the watch, for any number of nodes."""
        self.accept("s")
        self.mesh.deliver_all()
        self.assertThat(self.served(), Equals({2}))
        self.assertThat(self.mesh.store.calls, Equals([]))

    def test_data_centre_relay_gets_one_copy(self):
        """The relay tree sends the delta to each node exactly once."""
        self.accept("s")
        self.mesh.deliver_all()
        stages = [m for m in self.mesh.sent if isinstance(m, Stage) and m.steps]
        self.assertThat(len(stages), Equals(len(NODE_IDS) - 2))

    def test_large_change_is_read_as_chain(self):
        """Deltas that are not inline are read from the chain of change objects."""
        self.mesh.store.accept(document({"r": "base", "s": "base"}), inline=False)
        self.accept("s", "t", inline=False)
        self.mesh.deliver_all()
        self.assertThat(self.served(), Equals({3}))
        keys = [key for _, key in self.mesh.store.calls]
        self.assertThat(keys.count("config/snapshot/3"), Equals(0))

    def test_long_outage_is_repaired_by_snapshot(self):
        """A region that missed many changes reads one snapshot, not each change."""
        self.mesh.cut_regions = {"b"}
        for number in range(20):
            self.accept(f"s{number}")
        self.mesh.run(1.0)
        self.mesh.cut_regions = set()
        self.mesh.watch_all()
        self.mesh.store.calls.clear()
        self.mesh.run(3.0)
        self.assertThat(self.served(), Equals({21}))
        keys = [key for _, key in self.mesh.store.calls if "config/" in key]
        self.assertThat(keys, Equals(["config/snapshot/21"]))

    def test_nothing_is_in_force_before_a_majority_holds_it(self):
        """The relay does not commit before a majority acknowledged (section 3.4)."""
        self.accept("s")
        self.deliver(lambda item: item.message is None)
        relay = self.mesh.nodes_by_id["a1x"]
        self.assertThat(relay.state.held_ref.version, Equals(2))
        self.assertThat(relay.served, Equals(1))
        self.deliver(lambda item: item.receiver in ("a1x", "a1y"))
        self.assertThat(relay.served, Equals(2))

    def test_messages_in_any_order_converge(self):
        """Reordered, delayed or duplicated messages never lose or revert a version."""
        random = Random(5)
        for number in range(6):
            self.accept(f"s{number}")
            self.mesh.tick(deliver=False)
        self.mesh.queue += self.mesh.queue
        while self.mesh.queue:
            before = self.mesh.served_versions()
            index = random.randrange(len(self.mesh.queue))
            self.mesh.queue.pop(index).deliver()
            for node_id, version in self.mesh.served_versions().items():
                self.assertTrue(version >= before[node_id])
        self.mesh.run(3.0)
        self.assertThat(self.served(), Equals({7}))

    def test_replayed_messages_do_not_revert(self):
        """Replayed Stage and Commit messages of older versions have no effect."""
        self.accept("s")
        old = []
        self.deliver(lambda item: old.append(item) or True)
        self.accept("s", "t")
        self.mesh.deliver_all()
        for item in old:
            item.deliver()
            self.assertThat(self.served(), Equals({3}))

    def test_commit_before_stage_is_kept(self):
        """A commit received before its version takes effect once that is staged."""
        self.accept("s")
        self.deliver(lambda item: item.receiver != "a1z")
        waiting = [item for item in self.mesh.queue if item.receiver == "a1z"]
        self.mesh.queue.clear()
        for item in reversed(waiting):
            item.deliver()
        self.mesh.deliver_all()
        self.assertThat(self.mesh.nodes_by_id["a1z"].served, Equals(2))

    def test_missed_version_is_repaired_by_a_neighbour(self):
        """Without a relay, a missed version is fetched from a neighbour."""
        self.accept("s")
        self.deliver(lambda item: item.receiver != "a1z")
        self.mesh.queue.clear()
        self.mesh.kill("a1x")
        self.mesh.run(3.0)
        self.assertThat(self.mesh.nodes_by_id["a1z"].served, Equals(2))

    def test_delta_on_another_base_is_repaired(self):
        """A node that missed the base of a delta requests the missing steps."""
        self.accept("s")
        self.deliver(lambda item: item.receiver != "a1z")
        self.mesh.queue.clear()
        self.accept("s", "t")
        self.mesh.deliver_all()
        self.assertThat(self.mesh.nodes_by_id["a1z"].served, Equals(3))

    def test_corrupt_delta_is_replaced_by_a_snapshot(self):
        """A version with a digest mismatch is not held; a snapshot replaces it."""
        node = self.mesh.nodes_by_id["a1z"]
        base = node.state.held_ref
        self.accept("s")
        self.deliver(lambda item: item.receiver != "a1z")
        self.mesh.queue.clear()
        relay = self.mesh.nodes_by_id["a1x"].state.held_ref
        step = DeltaStep(2, relay.digest, b'[{"routes": {"r": "base"}}, {}]')
        stage = Stage(1, 9, 2, relay.digest, base.version, base.digest, (step,))
        node.codec.apply_delta = lambda content, delta: document({"x": "base"})
        node.distribution.on_message("a1x", stage)
        self.assertThat(node.served, Equals(1))
        self.mesh.run(3.0)
        self.assertThat(node.served, Equals(2))

    def test_relay_killed_between_stage_and_commit(self):
        """The next relay commits a version staged by the previous relay."""
        self.accept("s")
        self.deliver(lambda item: item.message is None)
        self.deliver(lambda item: isinstance(item.message, Stage))
        self.mesh.kill("a1x")
        self.mesh.queue.clear()
        self.mesh.run(2.0)
        self.assertThat(self.mesh.nodes_by_id["a1y"].served, Equals(1))
        self.mesh.elect("a1y", region=True)
        self.mesh.run(3.0)
        self.assertThat(self.served(), Equals({2}))

    def test_relay_paused_past_its_lease_is_fenced(self):
        """Messages with a lower lease epoch than the current relay's are ignored."""
        self.mesh.pause("a1x")
        self.mesh.run(5.0)
        self.mesh.elect("a1y", region=True)
        self.mesh.run(1.0)
        node = self.mesh.nodes_by_id["a1z"]
        forged = VersionRef(2, b"never accepted")
        stage = Stage(1, 9, 2, forged.digest, 0, b"", (), b'{"routes": {}}')
        node.distribution.on_message("a1x", stage)
        node.distribution.on_message("a1x", Commit(1, 2, forged.digest))
        self.assertThat(node.distribution.known_ref.version, Equals(1))
        self.accept("s")
        self.mesh.resume("a1x")
        self.mesh.run(3.0)
        self.assertThat(self.served(), Equals({2}))

    def test_commit_of_another_data_centre_does_not_count(self):
        """A commit requires a majority of the node's own data centre."""
        self.accept("s")
        self.deliver(lambda item: item.receiver[:2] == "b1" or item.message is None)
        ref = self.mesh.nodes_by_id["b1x"].state.in_force_ref
        self.assertThat(ref.version, Equals(2))
        node = self.mesh.nodes_by_id["a2y"]
        node.distribution.on_message("b1x", Commit(1, 2, ref.digest))
        summary = VersionSummary(2, ref.digest, 2, ref.digest)
        node.distribution.on_message("b1x", summary)
        self.assertThat(node.distribution._committed.version, Equals(1))

    def test_stale_read_of_the_head_is_ignored(self):
        """A watch that returns an older head does not revert the version."""
        self.accept("s")
        self.mesh.run(1.0)
        for node_id in ("a1x", "b1x"):
            older = self.mesh.store.history[HEAD][0]
            self.mesh.deliver_object(self.mesh.nodes_by_id[node_id], older)
        self.mesh.run(2.0)
        self.assertThat(self.served(), Equals({2}))

    def test_node_that_cannot_compile_keeps_its_version(self):
        """A node that refuses a version does not block others or serve it in part."""
        node = self.mesh.nodes_by_id["a1y"]
        node.codec.broken_versions.add(2)
        self.accept("s")
        self.mesh.run(3.0)
        self.assertThat(node.served, Equals(1))
        self.assertThat(self.mesh.nodes_by_id["a1z"].served, Equals(2))
        self.accept("s", "t")
        self.mesh.run(3.0)
        self.assertThat(self.served(), Equals({3}))

    def test_route_without_endpoint_is_withheld_until_one_is_known(self):
        """A route is served once its service has an endpoint (invariant 2)."""
        self.mesh.store.accept(document({"r": "base", "n": "new"}))
        self.mesh.watch_all()
        self.mesh.run(1.0)
        node = self.mesh.nodes_by_id["a1y"].distribution
        self.assertThat([r.route_id for r in node.table.routes], Equals(["r"]))
        self.assertThat(node.withheld_route_ids, Equals(("n",)))
        self.mesh.start("a2z", service_id="new")
        self.mesh.run(1.0)
        self.assertThat([r.route_id for r in node.table.routes], Equals(["n", "r"]))
        self.assertThat(node.withheld_route_ids, Equals(()))

    def test_decisions_name_their_cause(self):
        """Decisions record why a version was put in force or refused."""
        record = DecisionRecord(self.mesh.clock)
        node = self.mesh.nodes_by_id["a1y"]
        node.state.record_event = record.add
        self.accept("s")
        self.mesh.deliver_all()
        (decision,) = record.decisions(version=2)
        self.assertThat(decision.event_number, Equals(350))
        self.assertThat(decision.cause, Equals("commit of relay a1x"))
        node.codec.broken_versions.add(3)
        self.accept("s", "t")
        self.mesh.deliver_all()
        (decision,) = record.decisions(version=3)
        self.assertThat(decision.event_number, Equals(351))

    def test_swap_is_one_assignment(self):
        """A table already read by a call is not modified (invariant 3)."""
        node = self.mesh.nodes_by_id["a1y"].distribution
        table = node.table
        self.accept("s")
        self.mesh.deliver_all()
        self.assertThat(len(table.routes), Equals(1))
        self.assertThat(node.table is table, Is(False))


class StepCacheTest(TestCase):
    """Tests of the cache limits and of the chains that it returns."""

    def test_chain_ends_at_the_bound(self):
        """There is no chain for an evicted base, so that a snapshot is sent."""
        cache = StepCache()
        refs = [VersionRef(v, b"%d" % v) for v in range(1, MAX_CACHED_STEPS + 3)]
        for base, target in zip(refs, refs[1:], strict=False):
            cache.add(base, (DeltaStep(target.version, target.digest, b"x"),))
        self.assertThat(cache.chain(refs[0], refs[-1]), Equals(()))
        self.assertThat(len(cache.chain(refs[1], refs[-1])), Equals(MAX_CACHED_STEPS))

    def test_versions_that_do_not_rise_end_the_chain(self):
        """A corrupt chain from a peer does not cause an infinite loop."""
        cache = StepCache()
        base = VersionRef(1, b"1")
        cache.add(base, (DeltaStep(2, b"2", b"x"), DeltaStep(2, b"2", b"x")))
        cache.add(VersionRef(2, b"2"), (DeltaStep(1, b"1", b"x"),))
        self.assertThat(cache.chain(base, VersionRef(3, b"3")), Equals(()))
