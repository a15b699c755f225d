"""Tests of relay roles with simulated nodes: discovery, takeover, outages, restarts."""

from random import Random

from testtools import TestCase

from tests.control_simulation import SimulatedMesh
from verbenawick.runtime._backoff import Backoff
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.store._lease import LeaseAcquired, LeaseReleased


def settled_mesh(*regions, **options):
    """Return a mesh with consistent member tables and expired grace periods."""
    mesh = SimulatedMesh()
    for region in regions:
        mesh.add_region(region, **options)
    mesh.advance_until(mesh.has_converged, 30)
    mesh.advance(16)
    return mesh


class RelayRolesTest(TestCase):
    """Each data centre and region has one relay, which is found without the store."""

    def assert_one_relay_each(self, mesh):
        """Check the number of relays, and that each node follows the expected one."""
        centres = {n.identity.data_centre for n in mesh.running_nodes()}
        regions = {n.identity.region for n in mesh.running_nodes()}
        relays = {n.identity.data_centre: n for n in mesh.relays()}
        region_relays = {n.identity.region: n for n in mesh.region_relays()}
        self.assertEqual(len(centres), len(mesh.relays()))
        self.assertEqual(len(regions), len(mesh.region_relays()))
        for node in mesh.running_nodes():
            above = relays[node.identity.data_centre]
            if above is node:
                above = region_relays[node.identity.region]
            self.assertEqual(above.identity.node_id, node.roles.relay_id())

    def test_cold_start_elects_relays_and_connects_all_nodes(self):
        """All nodes start simultaneously with an empty store."""
        mesh = settled_mesh("r1", "r2")
        self.assert_one_relay_each(mesh)

    def test_steady_state_makes_only_renewals(self):
        """Guards against polling, which makes more store calls with more nodes."""
        calls = []
        for nodes_per_centre in (3, 9):
            mesh = settled_mesh("r1", nodes_per_centre=nodes_per_centre)
            before = mesh.store.calls.total()
            mesh.advance(30)
            calls.append(mesh.store.calls.total() - before)
        # Three leases, renewed once a second.
        self.assertLessEqual(calls[0], 95)
        self.assertLessEqual(calls[1], 95)

    def test_new_node_finds_the_relay_without_the_store(self):
        """A node that starts in a running mesh asks only its neighbours."""
        mesh = settled_mesh("r1")
        node_id = next(
            n.identity.node_id
            for n in mesh.running_nodes()
            if not n.roles.is_data_centre_relay()
        )
        mesh.kill(node_id)
        mesh.advance(10)
        before = {k: v for k, v in mesh.store.calls.items() if k[0] == "get"}
        (node,) = mesh.restart(node_id)
        mesh.advance_until(mesh.has_converged, 10)
        after = {k: v for k, v in mesh.store.calls.items() if k[0] == "get"}
        self.assertEqual(before, after)
        self.assertIsNotNone(node.roles.relay_id())

    def test_killed_relay_is_replaced(self):
        """A data centre relay is replaced within 8 s, a region relay within 12 s."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        for is_region in (False, True):
            lost = next(
                n for n in mesh.relays() if n.roles.is_region_relay() is is_region
            )
            mesh.kill(lost.identity.node_id)
            elapsed_s = mesh.advance_until(
                lambda: len(mesh.relays()) == 2 and len(mesh.region_relays()) == 1, 20
            )
            self.assertLessEqual(elapsed_s, 12.0 if is_region else 8.0)
            mesh.advance_until(mesh.has_converged, 20)
            mesh.advance(16)
            self.assert_one_relay_each(mesh)

    def test_paused_relay_steps_down_when_it_resumes(self):
        """A relay that was paused beyond its lease finds its successor."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        (paused,) = mesh.region_relays()
        paused.is_paused = True
        mesh.advance(30)
        self.assertEqual(1, len(mesh.region_relays()))
        writes = mesh.store.calls["update", "members/r1"]
        paused.is_paused = False
        mesh.advance(1)
        self.assertFalse(paused.roles.is_data_centre_relay())
        mesh.advance_until(mesh.has_converged, 10)
        self.assert_one_relay_each(mesh)
        self.assertLessEqual(mesh.store.calls["update", "members/r1"] - writes, 5)

    def test_store_outage_keeps_the_roles(self):
        """Relays stay and membership is updated during an hour without store."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        relays = {n.identity.node_id for n in mesh.relays()}
        mesh.store.set_outage(True)
        mesh.advance(3600, step_s=0.5)
        self.assertEqual(relays, {n.identity.node_id for n in mesh.relays()})
        plain = next(
            n for n in mesh.running_nodes() if not n.roles.is_data_centre_relay()
        )
        mesh.kill(plain.identity.node_id)
        mesh.advance_until(mesh.has_converged, 8)
        mesh.restart(plain.identity.node_id)
        mesh.advance_until(mesh.has_converged, 8)
        mesh.store.set_outage(False)
        mesh.advance(12)
        self.assertEqual(relays, {n.identity.node_id for n in mesh.relays()})
        self.assertTrue(all(n.roles.has_authority() for n in mesh.relays()))

    def test_partitioned_region_stays_current_and_catches_up(self):
        """A region that is disconnected for an hour tracks its own members."""
        mesh = settled_mesh("r1", "r2")
        far = [
            n.identity.node_id
            for n in mesh.running_nodes()
            if n.identity.region == "r2"
        ]
        mesh.partitions.add(("r1", "r2"))
        mesh.store.disconnected_nodes.update(far)
        mesh.store.break_watches()
        mesh.advance(3600, step_s=0.5)
        self.assertEqual(1, len(mesh.region_relays("r2")))
        lost = next(i for i in far if not mesh.nodes[i].roles.is_data_centre_relay())
        mesh.kill(lost)
        mesh.advance(8)
        near = next(n for n in mesh.running_nodes() if n.identity.region == "r1")
        inside = next(n for n in mesh.running_nodes() if n.identity.region == "r2")
        self.assertIsNone(inside.table.member(lost))
        self.assertIsNotNone(near.table.member(lost))
        mesh.partitions.clear()
        mesh.store.disconnected_nodes.clear()
        mesh.store.break_watches()
        mesh.advance_until(mesh.has_converged, 15)
        self.assert_one_relay_each(mesh)

    def test_claimant_without_store_acquires_no_lease(self):
        """Guards against a second relay while the store is unreachable."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        (relay,) = mesh.region_relays()
        mesh.store.disconnected_nodes.update(mesh.nodes)
        mesh.store.break_watches()
        mesh.kill(relay.identity.node_id)
        mesh.advance(60)
        self.assertEqual([], mesh.region_relays())
        mesh.store.disconnected_nodes.clear()
        mesh.advance_until(lambda: len(mesh.region_relays()) == 1, 25)

    def test_restart_of_all_nodes_keeps_store_calls_bounded(self):
        """Guards against lease reads and claims by every node of a data centre."""
        mesh = settled_mesh("r1", nodes_per_centre=12)
        mesh.store.calls_by_second.clear()
        ids = list(mesh.nodes)
        mesh.kill(*ids)
        mesh.restart(*ids)
        elapsed_s = mesh.advance_until(mesh.has_converged, 40)
        self.assertLessEqual(elapsed_s, 30.0)
        self.assertLessEqual(max(mesh.store.calls_by_second.values()), 20)
        mesh.advance(16)
        self.assert_one_relay_each(mesh)

    def test_loss_of_all_relays_at_once(self):
        """All lease holders are killed at once and replaced at both levels."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=4)
        mesh.kill(*(n.identity.node_id for n in mesh.relays()))
        mesh.advance_until(
            lambda: len(mesh.relays()) == 4 and len(mesh.region_relays()) == 2, 30
        )
        mesh.advance_until(mesh.has_converged, 30)

    def test_lost_answers_do_not_multiply_relays(self):
        """Guards against two relays when one is killed and 30 % of answers are lost."""
        mesh = SimulatedMesh()
        mesh.add_region("r1", nodes_per_centre=4)
        random = Random(7)
        mesh.store.loses_answer = lambda *call: random.random() < 0.3
        mesh.advance_until(mesh.has_converged, 60)
        mesh.kill(mesh.region_relays()[0].identity.node_id)
        mesh.advance_until(mesh.has_converged, 90)
        self.assertEqual(1, len(mesh.region_relays()))

    def test_planned_stop_transfers_the_role_quickly(self):
        """A released lease is claimed without waiting for the lease timeout."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        (relay,) = mesh.region_relays()
        relay.membership.announce_stop(handed_over=True)
        relay.task._shut_down()
        mesh.advance(0.2)
        mesh.kill(relay.identity.node_id)
        elapsed_s = mesh.advance_until(lambda: len(mesh.region_relays()) == 1, 20)
        self.assertLessEqual(elapsed_s, 6.0)
        mesh.advance_until(mesh.has_converged, 10)


class BackoffTest(TestCase):
    """Reconnects are spread over an interval that grows up to a limit."""

    def test_waits_stay_within_doubling_limits_and_the_cap(self):
        """Guards against reconnect storms and unlimited waits."""
        backoff = Backoff(Random(3))
        limits = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0)
        for limit in limits:
            delay_s = backoff.next_delay_s()
            self.assertLessEqual(delay_s, limit)
            self.assertLessEqual(-delay_s, 0.0)
        backoff.reset()
        self.assertLessEqual(backoff.next_delay_s(), 0.1)


class DecisionRecordTest(TestCase):
    """The decision record is bounded, ordered and filtered by key."""

    def test_oldest_entries_are_dropped_and_keys_filter(self):
        """Guards against unbounded memory usage and missing causes."""
        clock = ManualClock()
        record = DecisionRecord(clock, max_entries=3)
        for epoch in range(5):
            clock.advance(1)
            record.add(
                LeaseAcquired("leases/dc/x", epoch),
                cause=f"cause {epoch}",
                node_id="n1" if epoch % 2 else "n2",
                version=epoch,
            )
        record.add(LeaseReleased("leases/dc/x", 9), cause="planned stop")
        found = record.decisions()
        self.assertEqual([4, 5, 6], [d.sequence for d in found])
        self.assertEqual([300, 300, 305], [d.event_number for d in found])
        self.assertEqual(1.0, record.age_s(found[0]) - record.age_s(found[1]))
        (by_node,) = record.decisions(node_id="n1")
        self.assertEqual("cause 3", by_node.cause)
        self.assertEqual((), record.decisions(version=99))
        self.assertEqual(1, len(record.decisions(limit=1)))
