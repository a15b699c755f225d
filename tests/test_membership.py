"""Tests of membership on simulated nodes: joins, failures, loads and authority."""

from testtools import TestCase

from tests.control_simulation import SimulatedMesh
from tests.test_control import settled_mesh
from verbenawick.links._members import MemberState
from verbenawick.membership._membership_messages import (
    LoadVector,
    MemberBatch,
    TableDelta,
)


def plain_nodes(mesh, region=None):
    """Return the running nodes that are not relays."""
    return [
        n
        for n in mesh.running_nodes()
        if not n.roles.is_data_centre_relay() and region in (None, n.identity.region)
    ]


class MembershipTest(TestCase):
    """Tests that each member table matches the running nodes within seconds."""

    def test_failed_node_is_removed_everywhere_with_one_write(self):
        """A node failure causes one store write, and heartbeats cause none."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=4)
        lost = plain_nodes(mesh, "r1")[0].identity
        before = mesh.store.calls["update", "members/r1"]
        mesh.kill(lost.node_id)
        self.assertLessEqual(mesh.advance_until(mesh.has_converged, 10), 6.5)
        self.assertEqual(1, mesh.store.calls["update", "members/r1"] - before)
        mesh.advance(20)
        self.assertEqual(1, mesh.store.calls["update", "members/r1"] - before)
        for node in mesh.running_nodes():
            (departed,) = node.table.departed_of(lost.service_id)
            self.assertFalse(departed.process_ended)

    def test_restart_marks_old_process_as_ended(self):
        """A restarted node has a new row, and its old process is listed as ended."""
        mesh = settled_mesh("r1", "r2")
        old = plain_nodes(mesh, "r1")[0].identity
        mesh.kill(old.node_id)
        mesh.advance(30)
        (new,) = mesh.restart(old.node_id)
        mesh.advance_until(mesh.has_converged, 10)
        for node in mesh.running_nodes():
            (departed,) = node.table.departed_of(old.service_id)
            self.assertEqual(old.incarnation, departed.incarnation)
            self.assertTrue(departed.process_ended)
            # Measured from the restart, not from the timeout 30 s before.
            self.assertLess(mesh.clock.now() - departed.departed_at, 20)
            member = node.table.member(old.node_id)
            self.assertEqual(new.identity.incarnation, member.incarnation)
            self.assertTrue(member.recently_joined)

    def test_restart_on_another_vm_does_not_end_old_process(self):
        """The old process may still run on the previous VM.

        If it were taken as ended, a key could run twice when the same node id registers
        with another address while the old VM is only partitioned.
        """
        for away_s in (8, 0):
            mesh = settled_mesh("r1", "r2")
            old = plain_nodes(mesh, "r1")[0].identity
            mesh.kill(old.node_id)
            mesh.advance(away_s)
            mesh.restart_elsewhere(old.node_id, "10.8.8.8:7000")
            mesh.advance_until(mesh.has_converged, 10)
            for node in mesh.running_nodes():
                (departed,) = node.table.departed_of(old.service_id)
                self.assertFalse(departed.process_ended)

    def test_announced_stop_removes_member_without_timeout(self):
        """A planned stop takes effect at once and reports the handover."""
        mesh = settled_mesh("r1", "r2")
        node = plain_nodes(mesh, "r1")[0]
        node.membership.announce_stop(handed_over=True)
        mesh.advance(0.2)
        mesh.kill(node.identity.node_id)
        self.assertLessEqual(mesh.advance_until(mesh.has_converged, 5), 2.0)
        other = plain_nodes(mesh, "r2")[0]
        (departed,) = other.table.departed_of(node.identity.service_id)
        self.assertTrue(departed.handed_over and departed.process_ended)

    def test_drain_and_failed_upstream_reach_every_region(self):
        """Both set the member to draining; a short upstream failure does not."""
        mesh = settled_mesh("r1", "r2")
        first, second, third = plain_nodes(mesh, "r1")[:3]
        first.membership.start_drain()
        second.membership.set_load(0.5, is_healthy=False)
        third.membership.set_load(0.5, is_healthy=False)
        mesh.advance(2)
        third.membership.set_load(0.5, is_healthy=True)
        mesh.advance(8)
        for node in mesh.running_nodes():
            states = [
                node.table.member(n.identity.node_id).state
                for n in (first, second, third)
            ]
            self.assertEqual(
                [MemberState.DRAINING, MemberState.DRAINING, MemberState.ACTIVE],
                states,
            )
        second.membership.set_load(0.5, is_healthy=True)
        mesh.advance(4)
        member = first.table.member(second.identity.node_id)
        self.assertIs(MemberState.ACTIVE, member.state)

    def test_rack_is_removed_with_at_most_two_writes(self):
        """A third of a data centre fails at once."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=9)
        centre = plain_nodes(mesh, "r1")[0].identity.data_centre
        rack = [
            n.identity.node_id
            for n in plain_nodes(mesh, "r1")
            if n.identity.data_centre == centre
        ][:3]
        before = mesh.store.calls["update", "members/r1"]
        mesh.kill(*rack)
        self.assertLessEqual(mesh.advance_until(mesh.has_converged, 10), 7.0)
        self.assertLessEqual(mesh.store.calls["update", "members/r1"] - before, 2)

    def test_data_centre_is_removed_with_one_write_and_rejoins(self):
        """All nodes of a data centre fail, including its relay."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=5)
        region_centre = mesh.region_relays("r1")[0].identity.data_centre
        ids = [
            n.identity.node_id
            for n in mesh.running_nodes()
            if n.identity.region == "r1" and n.identity.data_centre != region_centre
        ]
        before = mesh.store.calls["update", "members/r1"]
        mesh.kill(*ids)
        self.assertLessEqual(mesh.advance_until(mesh.has_converged, 30), 18.0)
        self.assertEqual(1, mesh.store.calls["update", "members/r1"] - before)
        mesh.restart(*ids)
        self.assertLessEqual(mesh.advance_until(mesh.has_converged, 30), 15.0)

    def test_paused_relay_does_not_empty_its_data_centre(self):
        """A relay is paused for 3.5 s or 30 s; no table ever omits a live member."""
        for pause_s in (3.5, 30.0):
            mesh = settled_mesh("r1", nodes_per_centre=5)
            relay = next(n for n in mesh.relays() if not n.roles.is_region_relay())
            relay.is_paused = True
            mesh.advance(pause_s)
            relay.is_paused = False
            others = [
                n
                for n in mesh.running_nodes()
                if n is not relay
                and n.identity.data_centre == relay.identity.data_centre
            ]
            for _ in range(200):
                mesh.advance(0.1)
                for node in mesh.running_nodes():
                    for other in others:
                        self.assertIsNotNone(node.table.member(other.identity.node_id))
            self.assertTrue(mesh.has_converged())

    def test_region_relay_takeover_removes_no_live_member(self):
        """The region relay fails; all other nodes stay members throughout."""
        mesh = settled_mesh("r1", nodes_per_centre=5)
        (relay,) = mesh.region_relays()
        mesh.kill(relay.identity.node_id)
        ids = [n.identity.node_id for n in mesh.running_nodes()]
        for _ in range(300):
            mesh.advance(0.1)
            for node in mesh.running_nodes():
                for node_id in ids:
                    self.assertIsNotNone(node.table.member(node_id))
        self.assertTrue(mesh.has_converged())

    def test_removal_of_most_members_is_delayed(self):
        """A relay partitioned from its data centre for 6 s removes no member."""
        mesh = settled_mesh("r1", nodes_per_centre=5)
        relay = next(n for n in mesh.relays() if not n.roles.is_region_relay())
        others = [
            n
            for n in plain_nodes(mesh)
            if n.identity.data_centre == relay.identity.data_centre
        ]
        for node in others:
            mesh.partitions.add((relay.identity.node_id, node.identity.node_id))
        mesh.advance(6)
        self.assertTrue(mesh.has_converged())
        mesh.partitions.clear()
        mesh.advance(20)
        self.assertTrue(mesh.has_converged())

    def test_loads_stay_in_the_region_and_small_changes_are_not_sent(self):
        """Loads are not sent to other regions, nor with every heartbeat."""
        mesh = settled_mesh("r1", "r2")
        node = plain_nodes(mesh, "r1")[0]
        other = plain_nodes(mesh, "r1")[-1]
        far = plain_nodes(mesh, "r2")[0]
        node.membership.set_load(0.5, is_healthy=True)
        mesh.advance(9)
        node_id = node.identity.node_id
        self.assertEqual(0.5, other.table.load_of(node_id).busy_share)
        self.assertIsNone(far.table.load_of(node_id))
        node.membership.set_load(0.55, is_healthy=True)
        mesh.advance(4)
        self.assertEqual(0.5, other.table.load_of(node_id).busy_share)
        mesh.advance(16)
        self.assertEqual(0.55, other.table.load_of(node_id).busy_share)

    def test_authority_is_extended_only_while_the_store_confirms(self):
        """The authority deadline does not advance during a store outage."""
        mesh = settled_mesh("r1")
        node = plain_nodes(mesh)[0]
        remaining_s = node.table.authority_deadline() - mesh.clock.now()
        self.assertLessEqual(remaining_s, 4500.0)
        self.assertGreaterEqual(remaining_s, 4490.0)
        mesh.store.set_outage(True)
        mesh.advance(5)
        deadline = node.table.authority_deadline()
        mesh.advance(300, step_s=0.5)
        # Ages are sent in whole seconds, rounded towards an earlier deadline.
        self.assertLess(node.table.authority_deadline() - deadline, 2.0)

    def test_removed_member_rejoins_before_it_has_authority(self):
        """A partitioned node is removed and rejoins as the same process."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        node = plain_nodes(mesh)[0]
        node_id = node.identity.node_id
        mesh.advance(60)
        mesh.kill()
        for other in mesh.running_nodes():
            if other is not node:
                mesh.partitions.add((node_id, other.identity.node_id))
        mesh.store.disconnected_nodes.add(node_id)
        watcher = next(n for n in plain_nodes(mesh) if n is not node)
        mesh.advance_until(lambda: watcher.table.member(node_id) is None, 12)
        mesh.partitions.clear()
        mesh.store.disconnected_nodes.clear()
        mesh.advance_until(lambda: watcher.table.member(node_id) is not None, 15)
        mesh.advance(3)
        rejoined_at = node.table.joined_at(node_id)
        self.assertLess(mesh.clock.now() - rejoined_at, 20.0)
        self.assertGreater(node.table.authority_deadline(), mesh.clock.now() + 4400)

    def test_messages_from_other_nodes_than_the_relay_are_ignored(self):
        """Tables and batches that a former relay continues to send have no effect."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        node, sender = plain_nodes(mesh)[:2]
        generation = node.table.generation
        sender_id = sender.identity.node_id
        node.membership.on_message(sender_id, TableDelta("r1", 1, 1, 9, 9, [], []))
        node.membership.on_message(sender_id, MemberBatch("r1-0", 9, True, [], []))
        node.membership.on_message(sender_id, LoadVector("r1", 1, 1, b""))
        (region,) = mesh.region_relays()
        region.membership.on_message(
            sender_id, MemberBatch(node.identity.data_centre, 0, True, [], [])
        )
        mesh.advance(5)
        self.assertEqual(generation, node.table.generation)
        self.assertTrue(mesh.has_converged())

    def test_missed_delta_is_recovered(self):
        """A node that missed a delta requests the table from its relay."""
        mesh = settled_mesh("r1")
        node = plain_nodes(mesh)[0]
        node.table.region("r1").serial -= 1
        del node.table.region("r1").members_by_id[node.identity.node_id]
        mesh.advance_until(mesh.has_converged, 12)

    def test_stored_members_are_adopted_after_a_cold_start(self):
        """All processes restart; missing members are removed after the grace period."""
        mesh = SimulatedMesh()
        mesh.add_region("r1", nodes_per_centre=4)
        mesh.advance_until(mesh.has_converged, 30)
        mesh.advance(16)
        ids = list(mesh.nodes)
        missing = plain_nodes(mesh)[0].identity
        mesh.kill(*ids)
        mesh.restart(*(i for i in ids if i != missing.node_id))
        mesh.advance(25)
        self.assertTrue(mesh.has_converged())
        departed_by_id = {
            d.node_id: d
            for d in mesh.running_nodes()[0].table.departed_of(missing.service_id)
        }
        self.assertFalse(departed_by_id[missing.node_id].process_ended)
        self.assertTrue(
            all(
                d.process_ended
                for i, d in departed_by_id.items()
                if d.node_id != missing.node_id
            )
        )
