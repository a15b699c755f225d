"""Tests for configuration distribution through one store watch, and its failover."""

from unittest import mock

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from tests.silent_proxy import SilentProxy
from verbenawick.mesh import _followers
from verbenawick.mesh._configuration_relay import (
    BEACON_VALID_S,
    CONTACT_VALID_S,
    TAKEOVER_AFTER_S,
    ConfigurationBeacon,
    RelayState,
)

APPLY_BOUND_S = 2.0
# Extension of the bound for nodes that the store refuses while it serves others.
REFUSAL_EXTENSION_S = 5.0


def beacon(relay_id: str, distance: int = 0) -> ConfigurationBeacon:
    """Return a beacon without a document."""
    return ConfigurationBeacon(relay_id, distance, 1, 1, b"")


class RelayStateTest(TestCase):
    """Conditions for being the relay and for relying on one."""

    def test_relay_expires_without_beacons(self):
        """A follower that relies on a dead relay would exceed the bound of 2 s."""
        state = RelayState(node_id="b")
        self.assertFalse(state.has_live_relay(0.0))
        state.on_beacon(beacon("a"), 10.0)
        self.assertTrue(state.has_live_relay(9.99 + BEACON_VALID_S))
        self.assertFalse(state.has_live_relay(10.01 + BEACON_VALID_S))

    def test_relay_without_contact_to_the_store_sends_no_beacons(self):
        """Its followers would assume that the configuration has not changed."""
        state = RelayState(node_id="a")
        state.on_store_answer(10.0, round_trip_s=0.001)
        self.assertTrue(state.has_recent_contact(9.99 + CONTACT_VALID_S))
        self.assertFalse(state.has_recent_contact(10.01 + CONTACT_VALID_S))

    def test_validity_periods_fit_the_apply_bound(self):
        """Worst case: the relay loses the store and sends one last valid beacon."""
        self.assertLess(CONTACT_VALID_S + BEACON_VALID_S, 0.75 * APPLY_BOUND_S)

    def test_lowest_linked_id_is_the_leader(self):
        """Two permanent relays in a region would double the calls to the store."""
        self.assertTrue(RelayState(node_id="a").is_leader(["b", "c"]))
        self.assertFalse(RelayState(node_id="b").is_leader(["a", "c"]))
        self.assertTrue(RelayState(node_id="b").is_leader([]))

    def test_leader_with_the_shortest_round_trip_is_the_relay(self):
        """A relay in a distant region transfers each full document between regions."""
        near, far = RelayState(node_id="z"), RelayState(node_id="a")
        near.on_store_answer(10.0, round_trip_s=0.001)
        far.on_store_answer(10.0, round_trip_s=0.017)
        far.on_beacon(beacon("z", near.distance), 10.0)
        near.on_beacon(beacon("a", far.distance), 10.0)
        self.assertTrue(far.has_nearer_relay(10.0))
        self.assertFalse(near.has_nearer_relay(10.0))

    def test_lowest_id_is_the_relay_among_leaders_at_the_same_distance(self):
        """Exactly one of two leaders at equal distance must become the relay."""
        low, high = RelayState(node_id="a"), RelayState(node_id="b")
        for state in (low, high):
            state.on_store_answer(10.0, round_trip_s=0.001)
        low.on_beacon(beacon("b", high.distance), 10.0)
        high.on_beacon(beacon("a", low.distance), 10.0)
        self.assertFalse(low.has_nearer_relay(10.0))
        self.assertTrue(high.has_nearer_relay(10.0))

    def test_leader_takes_over_before_followers_watch_the_store(self):
        """All followers would otherwise load the store at once during the failover."""
        state = RelayState(node_id="b")
        state.on_beacon(beacon("a"), 10.0)
        self.assertFalse(state.has_nearer_relay(10.01 + TAKEOVER_AFTER_S))
        self.assertTrue(state.has_live_relay(10.01 + TAKEOVER_AFTER_S))


class SingleRegionTest(TestCase):
    """Three nodes in one region on the stand-in platform."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.configure()
        self.nodes = [self.cluster.add_node("archive") for _ in range(3)]
        self.cluster.wait_ready()
        eventlet.sleep(2.6)  # until the initial store watches have returned

    def configure(self, *further):
        return self.cluster.configure(
            route("r-a", "/archive/", service="archive"), service("archive"), *further
        )

    def versions(self, nodes):
        return {n.server.node.entry.configuration.version for n in nodes}

    def watches(self):
        return sum(path == "/objects/config" for _, path in self.cluster.store.calls)

    def test_only_the_relay_watches_the_store(self):
        """One watch per node made up half of the cost of the store."""
        before = self.watches()
        eventlet.sleep(2.0)
        self.assertLessEqual(self.watches() - before, 5)
        version = self.configure()
        wait_until(lambda: self.versions(self.nodes) == {version}, APPLY_BOUND_S)

    def test_configuration_is_applied_in_time_after_loss_of_the_relay(self):
        """The relay fails just before a configuration is accepted."""
        relay, *followers = self.nodes
        relay.is_reporting = False
        relay.server.kill()
        version = self.configure()
        wait_until(lambda: self.versions(followers) == {version}, APPLY_BOUND_S)

    def test_configuration_is_applied_in_time_when_the_relay_loses_the_store(self):
        """The relay keeps its links to the followers but receives no changes."""
        relay, *followers = self.nodes
        relay.server.node._configuration_follower._store._address = "127.0.0.1:1"
        relay.server.node._configuration_follower._store.close()
        version = self.configure()
        wait_until(lambda: self.versions(followers) == {version}, APPLY_BOUND_S)

    def test_nodes_that_the_store_refuses_get_a_version_from_a_neighbour(self):
        """Guards against an old version for as long as the store refuses a node."""
        *refused, served = self.nodes
        for node in refused:
            store = node.server.node._configuration_follower._store
            store._address = "127.0.0.1:1"
            store.close()
        follower = served.server.node._configuration_follower
        wait_until(lambda: follower._source[0] == "store", 3)
        version = self.configure()
        wait_until(
            lambda: self.versions(self.nodes) == {version},
            APPLY_BOUND_S + REFUSAL_EXTENSION_S,
        )

    def test_link_that_carries_only_beacons_is_replaced_when_it_goes_silent(self):
        """Guards against a node that gets no beacons until the next idle ping."""
        relay, follower, _ = self.nodes
        links = relay.server.node.links

        def link_to_follower():
            return next(
                (
                    x
                    for x in links.dialled_links()
                    if x.peer.node_id == follower.node_id
                ),
                None,
            )

        silent = link_to_follower()
        silent._flush = lambda: None
        wait_until(lambda: link_to_follower() not in (None, silent), 3)

    def test_configuration_source_changes_are_logged(self):
        """On-call engineers need to see where a node gets its versions from."""
        follower = self.nodes[1].server.node._configuration_follower
        self.assertEqual(("beacons", self.nodes[0].node_id), follower._source)
        with mock.patch.object(_followers, "emit") as emit:
            self.nodes[0].is_reporting = False
            self.nodes[0].server.kill()
            wait_until(lambda: follower._source[0] == "relay", APPLY_BOUND_S)
        events = [call.args[0] for call in emit.call_args_list]
        sources = [
            event.source
            for event in events
            if isinstance(event, _followers.ConfigurationSourceChanged)
        ]
        self.assertIn("relay", sources)

    def test_older_versions_from_a_relay_are_ignored(self):
        """A node must never return to an older version."""
        relay, follower, _ = self.nodes
        old = relay.server.node._configuration_follower.document_for(0)
        version = self.configure()
        wait_until(lambda: self.versions(self.nodes) == {version}, APPLY_BOUND_S)
        node = follower.server.node
        node._configuration_follower._update_from_document(old.document, old.revision)
        self.assertEqual({version}, self.versions([follower]))


class SilentStoreConnectionsTest(TestCase):
    """Three nodes whose connections to the store can go silent."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.proxy = SilentProxy(self.cluster.store_address)
        self.addCleanup(self.proxy.close)
        self.cluster.store_address = self.proxy.address
        self.configure()
        self.nodes = [self.cluster.add_node("archive") for _ in range(3)]
        self.cluster.wait_ready()
        eventlet.sleep(2.6)  # until the initial store watches have returned

    def configure(self):
        return self.cluster.configure(
            route("r-a", "/archive/", service="archive"), service("archive")
        )

    def test_configuration_is_applied_in_time_over_silent_connections(self):
        """Guards against seconds of waiting on a connection of the node's start."""
        relay, *followers = self.nodes
        # The links from the relay have gone silent as well.
        beacons = relay.server.node._beacons
        self.patch(beacons, "_send", lambda beacon, links: None)
        self.proxy.silence()
        version = self.configure()
        wait_until(
            lambda: all(
                node.server.node.entry.configuration.version == version
                for node in followers
            ),
            APPLY_BOUND_S,
        )


class ThreeRegionsTest(TestCase):
    """Two nodes in each of three regions on the stand-in platform."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.configure()
        self.nodes = [
            self.cluster.add_node("archive", region=region)
            for region in ("south", "north", "south", "north", "west", "west")
        ]
        self.cluster.wait_ready()
        eventlet.sleep(2.6)  # until the initial store watches have returned

    def configure(self):
        return self.cluster.configure(
            route("r-a", "/archive/", service="archive"), service("archive")
        )

    def assert_in_force_everywhere(self, nodes, version):
        wait_until(
            lambda: (
                {n.server.node.entry.configuration.version for n in nodes} == {version}
            ),
            APPLY_BOUND_S,
        )

    def relays(self):
        return [n.node_id for n in self.nodes if n.server.node._beacons.is_relay()]

    def test_one_node_watches_for_all_regions(self):
        """Each additional watch adds a paid transfer of every version."""
        self.assertEqual(1, len(self.relays()))
        before = len(self.cluster.store.calls)
        self.assert_in_force_everywhere(self.nodes, self.configure())
        paths = [path for _, path in self.cluster.store.calls[before:]]
        self.assertLessEqual(paths.count("/objects/config"), 3)

    def test_all_regions_apply_in_time_after_loss_of_the_relay(self):
        """A version is accepted while another leader takes over."""
        relay = self.cluster.node(self.relays()[0])
        relay.is_reporting = False
        relay.server.kill()
        others = [n for n in self.nodes if n is not relay]
        self.assert_in_force_everywhere(others, self.configure())

    def test_region_applies_in_time_after_loss_of_its_leader(self):
        """Followers in its region receive no beacons from the relay directly."""
        region = self.cluster.node(self.relays()[0]).server.settings.region
        leader = next(n for n in self.nodes if n.server.settings.region != region)
        leader.is_reporting = False
        leader.server.kill()
        others = [n for n in self.nodes if n is not leader]
        self.assert_in_force_everywhere(others, self.configure())
