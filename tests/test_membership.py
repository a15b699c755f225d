"""Membership of simulated nodes: joins, deaths, pauses, loads, authority."""

from testtools import TestCase

from tests.control_simulation import Mesh
from tests.test_control import settled_mesh
from verbenawick.links._members import MemberState
from verbenawick.membership._membership_messages import (
    LoadVector,
    MemberBatch,
    TableDelta,
)


def plain_nodes(mesh, region=None):
    """Return running nodes that are no relays."""
    return [
        n
        for n in mesh.alive()
        if not n.roles.is_data_centre_relay() and region in (None, n.identity.region)
    ]


class MembershipTest(TestCase):
    """Each table follows the running nodes within seconds."""

    def test_death_reaches_every_table_without_store_calls_per_heartbeat(self):
        """One node dies: one write, seen in the other region too."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=4)
        lost = plain_nodes(mesh, "r1")[0].identity
        before = mesh.store.calls["update", "members/r1"]
        mesh.kill(lost.node_id)
        self.assertLessEqual(mesh.advance_until(mesh.agree, 10), 6.5)
        self.assertEqual(1, mesh.store.calls["update", "members/r1"] - before)
        mesh.advance(20)
        self.assertEqual(1, mesh.store.calls["update", "members/r1"] - before)
        for node in mesh.alive():
            (gone,) = node.table.departed_of(lost.service_id)
            self.assertFalse(gone.process_ended)

    def test_restart_proves_the_end_of_the_old_process(self):
        """A node that returns has a new row; its old process is known to be gone."""
        mesh = settled_mesh("r1", "r2")
        old = plain_nodes(mesh, "r1")[0].identity
        mesh.kill(old.node_id)
        mesh.advance(30)
        (new,) = mesh.restart(old.node_id)
        mesh.advance_until(mesh.agree, 10)
        for node in mesh.alive():
            (gone,) = node.table.departed_of(old.service_id)
            self.assertEqual(old.incarnation, gone.incarnation)
            self.assertTrue(gone.process_ended)
            # From the proof on, not from the first silence 30 s before.
            self.assertLess(mesh.clock.now() - gone.departed_at, 20)
            member = node.table.member(old.node_id)
            self.assertEqual(new.identity.incarnation, member.incarnation)
            self.assertTrue(member.recently_joined)

    def test_a_node_on_another_vm_proves_nothing(self):
        """The old process may still run where the node was before.

        Guards against a key that runs again because the same node id came back with
        another address while the old VM was only cut off.
        """
        for away_s in (8, 0):
            mesh = settled_mesh("r1", "r2")
            old = plain_nodes(mesh, "r1")[0].identity
            mesh.kill(old.node_id)
            mesh.advance(away_s)
            mesh.restart_elsewhere(old.node_id, "10.8.8.8:7000")
            mesh.advance_until(mesh.agree, 10)
            for node in mesh.alive():
                (gone,) = node.table.departed_of(old.service_id)
                self.assertFalse(gone.process_ended)

    def test_announced_stop_is_entered_at_once(self):
        """A planned stop needs no timeout and says what was handed over."""
        mesh = settled_mesh("r1", "r2")
        node = plain_nodes(mesh, "r1")[0]
        node.membership.announce_stop(handed_over=True)
        mesh.advance(0.2)
        mesh.kill(node.identity.node_id)
        self.assertLessEqual(mesh.advance_until(mesh.agree, 5), 2.0)
        other = plain_nodes(mesh, "r2")[0]
        (gone,) = other.table.departed_of(node.identity.service_id)
        self.assertTrue(gone.handed_over and gone.process_ended)

    def test_drain_and_dead_upstream_reach_every_region(self):
        """Both end new work; a short fault of the upstream does not."""
        mesh = settled_mesh("r1", "r2")
        first, second, third = plain_nodes(mesh, "r1")[:3]
        first.membership.start_drain()
        second.membership.set_load(0.5, is_healthy=False)
        third.membership.set_load(0.5, is_healthy=False)
        mesh.advance(2)
        third.membership.set_load(0.5, is_healthy=True)
        mesh.advance(8)
        for node in mesh.alive():
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

    def test_rack_leaves_in_at_most_two_writes(self):
        """A third of a data centre dies at once."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=9)
        centre = plain_nodes(mesh, "r1")[0].identity.data_centre
        rack = [
            n.identity.node_id
            for n in plain_nodes(mesh, "r1")
            if n.identity.data_centre == centre
        ][:3]
        before = mesh.store.calls["update", "members/r1"]
        mesh.kill(*rack)
        self.assertLessEqual(mesh.advance_until(mesh.agree, 10), 7.0)
        self.assertLessEqual(mesh.store.calls["update", "members/r1"] - before, 2)

    def test_data_centre_leaves_in_one_write_and_returns(self):
        """All nodes of a data centre die, its relay included."""
        mesh = settled_mesh("r1", "r2", nodes_per_centre=5)
        region_centre = mesh.region_relays("r1")[0].identity.data_centre
        ids = [
            n.identity.node_id
            for n in mesh.alive()
            if n.identity.region == "r1" and n.identity.data_centre != region_centre
        ]
        before = mesh.store.calls["update", "members/r1"]
        mesh.kill(*ids)
        self.assertLessEqual(mesh.advance_until(mesh.agree, 30), 18.0)
        self.assertEqual(1, mesh.store.calls["update", "members/r1"] - before)
        mesh.restart(*ids)
        self.assertLessEqual(mesh.advance_until(mesh.agree, 30), 15.0)

    def test_paused_relay_does_not_empty_its_data_centre(self):
        """A relay stops for 3.5 s and 30 s; no live member ever leaves a table."""
        for pause_s in (3.5, 30.0):
            mesh = settled_mesh("r1", nodes_per_centre=5)
            relay = next(n for n in mesh.relays() if not n.roles.is_region_relay())
            relay.is_paused = True
            mesh.advance(pause_s)
            relay.is_paused = False
            others = [
                n
                for n in mesh.alive()
                if n is not relay
                and n.identity.data_centre == relay.identity.data_centre
            ]
            for _ in range(200):
                mesh.advance(0.1)
                for node in mesh.alive():
                    for other in others:
                        self.assertIsNotNone(node.table.member(other.identity.node_id))
            self.assertTrue(mesh.agree())

    def test_takeover_of_the_region_declares_nobody_dead(self):
        """The region relay dies; all others stay members throughout."""
        mesh = settled_mesh("r1", nodes_per_centre=5)
        (relay,) = mesh.region_relays()
        mesh.kill(relay.identity.node_id)
        ids = [n.identity.node_id for n in mesh.alive()]
        for _ in range(300):
            mesh.advance(0.1)
            for node in mesh.alive():
                for node_id in ids:
                    self.assertIsNotNone(node.table.member(node_id))
        self.assertTrue(mesh.agree())

    def test_silence_of_most_members_is_doubted_once(self):
        """The relay is cut off from its data centre for 6 s; nobody is removed."""
        mesh = settled_mesh("r1", nodes_per_centre=5)
        relay = next(n for n in mesh.relays() if not n.roles.is_region_relay())
        others = [
            n
            for n in plain_nodes(mesh)
            if n.identity.data_centre == relay.identity.data_centre
        ]
        for node in others:
            mesh.cuts.add((relay.identity.node_id, node.identity.node_id))
        mesh.advance(6)
        self.assertTrue(mesh.agree())
        mesh.cuts.clear()
        mesh.advance(20)
        self.assertTrue(mesh.agree())

    def test_loads_stay_in_the_region_and_small_changes_are_not_sent(self):
        """Guards against load traffic across regions and per heartbeat."""
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

    def test_authority_follows_the_store_and_ends_without_it(self):
        """The deadline moves while the store confirms, and stays in an outage."""
        mesh = settled_mesh("r1")
        node = plain_nodes(mesh)[0]
        remaining_s = node.table.authority_deadline() - mesh.clock.now()
        self.assertLessEqual(remaining_s, 4500.0)
        self.assertGreaterEqual(remaining_s, 4490.0)
        mesh.store.set_down(True)
        mesh.advance(5)
        deadline = node.table.authority_deadline()
        mesh.advance(300, step_s=0.5)
        # Ages travel in whole seconds, rounded towards an earlier end.
        self.assertLess(node.table.authority_deadline() - deadline, 2.0)

    def test_member_that_was_away_joins_anew_before_it_has_authority(self):
        """A node is cut off, declared dead, and comes back as the same process."""
        mesh = settled_mesh("r1", nodes_per_centre=4)
        node = plain_nodes(mesh)[0]
        node_id = node.identity.node_id
        mesh.advance(60)
        mesh.kill()
        for other in mesh.alive():
            if other is not node:
                mesh.cuts.add((node_id, other.identity.node_id))
        mesh.store.cut_nodes.add(node_id)
        watcher = next(n for n in plain_nodes(mesh) if n is not node)
        mesh.advance_until(lambda: watcher.table.member(node_id) is None, 12)
        mesh.cuts.clear()
        mesh.store.cut_nodes.clear()
        mesh.advance_until(lambda: watcher.table.member(node_id) is not None, 15)
        mesh.advance(3)
        rejoined_at = node.table.joined_at(node_id)
        self.assertLess(mesh.clock.now() - rejoined_at, 20.0)
        self.assertGreater(node.table.authority_deadline(), mesh.clock.now() + 4400)

    def test_messages_from_others_than_the_relay_change_nothing(self):
        """A former relay goes on sending; its tables and batches are ignored."""
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
        self.assertTrue(mesh.agree())

    def test_missed_delta_is_repaired(self):
        """A node that lost a delta asks its relay for the table."""
        mesh = settled_mesh("r1")
        node = plain_nodes(mesh)[0]
        node.table.region("r1").serial -= 1
        del node.table.region("r1").members_by_id[node.identity.node_id]
        mesh.advance_until(mesh.agree, 12)

    def test_empty_mesh_member_object_is_taken_over_after_a_cold_start(self):
        """All processes restart; members that never return leave after the grace."""
        mesh = Mesh()
        mesh.add_region("r1", nodes_per_centre=4)
        mesh.advance_until(mesh.agree, 30)
        mesh.advance(16)
        ids = list(mesh.nodes)
        missing = plain_nodes(mesh)[0].identity
        mesh.kill(*ids)
        mesh.restart(*(i for i in ids if i != missing.node_id))
        mesh.advance(25)
        self.assertTrue(mesh.agree())
        gone = {
            d.node_id: d for d in mesh.alive()[0].table.departed_of(missing.service_id)
        }
        self.assertFalse(gone[missing.node_id].process_ended)
        self.assertTrue(
            all(
                d.process_ended for i, d in gone.items() if d.node_id != missing.node_id
            )
        )
