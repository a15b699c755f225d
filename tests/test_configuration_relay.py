"""One store watch per region, and what happens without its relay."""

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_world import MeshWorld, route, service
from verbenawick.mesh._configuration_relay import (
    BEACON_VALID_S,
    CONTACT_VALID_S,
    RelayState,
)

APPLY_BOUND_S = 2.0


class RelayStateTest(TestCase):
    """When a node relays and when it relies on a relay."""

    def test_followers_stop_relying_on_a_relay_that_fell_silent(self):
        """A follower that waits for a dead relay would miss the bound of 2 s."""
        state = RelayState(node_id="b")
        self.assertFalse(state.can_follow(0.0))
        state.on_beacon("a", 10.0)
        self.assertTrue(state.can_follow(9.99 + BEACON_VALID_S))
        self.assertFalse(state.can_follow(10.01 + BEACON_VALID_S))

    def test_relay_without_contact_to_the_store_sends_no_beacons(self):
        """Its followers would believe that nothing has changed."""
        state = RelayState(node_id="a")
        state.on_contact(10.0)
        self.assertTrue(state.may_send_beacon(9.99 + CONTACT_VALID_S))
        self.assertFalse(state.may_send_beacon(10.01 + CONTACT_VALID_S))

    def test_worst_case_stays_below_the_bound(self):
        """A relay is cut off right after contact, followers after its last beacon."""
        self.assertLess(CONTACT_VALID_S + BEACON_VALID_S, 0.75 * APPLY_BOUND_S)

    def test_lowest_linked_id_relays(self):
        """Two permanent relays would double the calls to the store."""
        self.assertTrue(RelayState(node_id="a").is_relay(["b", "c"]))
        self.assertFalse(RelayState(node_id="b").is_relay(["a", "c"]))
        self.assertTrue(RelayState(node_id="b").is_relay([]))


class RelayedWorldTest(TestCase):
    """Three nodes of one region on the stand-in platform."""

    def setUp(self):
        super().setUp()
        self.world = MeshWorld()
        self.addCleanup(self.world.close)
        self.configure()
        self.nodes = [self.world.add_node("archive") for _ in range(3)]
        self.world.wait_ready()
        eventlet.sleep(2.6)  # until the first direct watches have returned

    def configure(self, *further):
        return self.world.configure(
            route("r-a", "/archive/", service="archive"), service("archive"), *further
        )

    def versions(self, nodes):
        return {n.server.node.entry.configuration.version for n in nodes}

    def watches(self):
        return sum(path == "/objects/config" for _, path in self.world.store.calls)

    def test_only_the_relay_watches_the_store(self):
        """A watch per node was half of the price of the store."""
        before = self.watches()
        eventlet.sleep(2.0)
        self.assertLessEqual(self.watches() - before, 5)
        version = self.configure()
        wait_until(lambda: self.versions(self.nodes) == {version}, APPLY_BOUND_S)

    def test_loss_of_the_relay_delays_nobody_beyond_the_bound(self):
        """A configuration is accepted at the moment at which the relay dies."""
        relay, *followers = self.nodes
        relay.is_reporting = False
        relay.server.kill()
        version = self.configure()
        wait_until(lambda: self.versions(followers) == {version}, APPLY_BOUND_S)

    def test_relay_cut_from_the_store_delays_nobody_beyond_the_bound(self):
        """Its links to its followers stay open while it learns nothing."""
        relay, *followers = self.nodes
        relay.server.node._configuration_follower._store._address = "127.0.0.1:1"
        relay.server.node._configuration_follower._store.close()
        version = self.configure()
        wait_until(lambda: self.versions(followers) == {version}, APPLY_BOUND_S)

    def test_older_versions_of_a_relay_change_nothing(self):
        """A node must never go back, whatever a relay says."""
        relay, follower, _ = self.nodes
        old = relay.server.node._configuration_follower.document_for(0)
        version = self.configure()
        wait_until(lambda: self.versions(self.nodes) == {version}, APPLY_BOUND_S)
        node = follower.server.node
        node._configuration_follower._take_document(old.document, old.revision)
        self.assertEqual({version}, self.versions([follower]))
