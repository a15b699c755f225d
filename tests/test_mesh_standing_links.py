"""Tests of the links that nodes keep open, and of calls and notices without one."""

import time
from unittest import mock

import eventlet
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from verbenawick.errors import LinkClosedError
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._model import UpstreamRecord, UpstreamState
from verbenawick.mesh._node import DIAL_TIMEOUT_S
from verbenawick.mesh._standing_links import (
    CONTACTS_PER_DATA_CENTRE,
    FIRST_DIAL_TIMEOUT_S,
    contact_ids,
)

NODES_PER_REGION = 3
ROUTE_TIMEOUT_S = 6


def endpoints_of(*places: tuple[str, str, str]) -> Endpoints:
    """Return the endpoints of nodes, given as id, data centre and region."""
    endpoints = Endpoints(node_id="a1", data_centre="a", region="north")
    for node_id, data_centre, region in places:
        endpoints.put_record(
            UpstreamRecord(
                node_id, "s", data_centre, region, "h:1", "u", UpstreamState.READY, 4
            )
        )
    return endpoints


class ContactsTest(TestCase):
    """Choice of the nodes that are linked with other regions."""

    def test_each_data_centre_has_its_own_contacts(self):
        """The loss of a data centre must not separate the regions."""
        endpoints = endpoints_of(
            *((f"a{n}", "a", "north") for n in range(5)),
            *((f"b{n}", "b", "north") for n in range(5)),
            *((f"c{n}", "c", "south") for n in range(5)),
        )
        self.assertEqual(
            {"a0", "a1", "b0", "b1", "c0", "c1"}, contact_ids(endpoints.all())
        )

    def test_same_data_centre_name_in_two_regions_gives_contacts_to_both(self):
        """Otherwise a region without contacts gets no beacons."""
        endpoints = endpoints_of(
            ("a0", "a", "north"),
            ("a1", "a", "north"),
            ("b0", "a", "south"),
        )
        self.assertIn("b0", contact_ids(endpoints.all()))


class TwoRegionsTest(TestCase):
    """Three nodes in each of two regions; one service is only in the south."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-a", "/archive/", service="archive", max_attempts=4),
            route(
                "r-d",
                "/dispatch/",
                service="dispatch",
                max_attempts=4,
                timeout_ms=ROUTE_TIMEOUT_S * 1000,
            ),
            service("archive"),
            service("dispatch"),
        )
        self.north = [
            self.cluster.add_node("archive", data_centre="n", region="north")
            for _ in range(NODES_PER_REGION)
        ]
        self.south = [
            self.cluster.add_node("dispatch", data_centre="s", region="south")
            for _ in range(NODES_PER_REGION)
        ]
        self.cluster.wait_ready()
        contacts = [
            *self.north[:CONTACTS_PER_DATA_CENTRE],
            *self.south[:CONTACTS_PER_DATA_CENTRE],
        ]
        wait_until(lambda: all(map(self.remote_links, contacts)), 5)

    def remote_links(self, node):
        mesh = node.server.node
        region = mesh.settings.region
        return [
            link for link in mesh.links.dialled_links() if link.peer.region != region
        ]

    def test_idle_regions_are_linked_by_their_contacts_only(self):
        """Handshakes of all pairs were three quarters of the bytes between regions."""
        counts = [len(self.remote_links(node)) for node in self.north + self.south]
        expected = [CONTACTS_PER_DATA_CENTRE, CONTACTS_PER_DATA_CENTRE, 0]
        self.assertEqual(expected * 2, counts)

    def test_first_call_to_another_region_opens_a_link_that_is_kept(self):
        """A service may have no upstream in the caller's region."""
        entry = self.north[-1]
        answer = self.cluster.call(entry, "/dispatch/1")
        self.assertEqual(200, answer.status)
        self.assertEqual(1, len(self.remote_links(entry)))
        for _ in range(5):
            self.assertEqual(200, self.cluster.call(entry, "/dispatch/1").status)
        # The open link is cheaper than further ones.
        self.assertEqual(1, len(self.remote_links(entry)))

    def test_calls_that_arrive_while_the_first_link_opens_are_served(self):
        """Guards against refusals of a burst of first calls to another region."""
        entry = self.north[-1]
        calls = [
            eventlet.spawn(self.cluster.call, entry, "/dispatch/1") for _ in range(12)
        ]
        self.assertEqual([200] * 12, [call.wait().status for call in calls])

    def test_calls_are_served_by_links_that_open_slowly(self):
        """Guards against refusals while all links to another region are opening."""
        entry = self.north[-1]
        links = entry.server.node.links
        connect = links.connect

        def connect_slowly(member):
            eventlet.sleep(0.8 * DIAL_TIMEOUT_S)
            connect(member)

        with mock.patch.object(links, "connect", connect_slowly):
            calls = [
                eventlet.spawn(self.cluster.call, entry, "/dispatch/1")
                for _ in range(12)
            ]
            self.assertEqual([200] * 12, [call.wait().status for call in calls])

    def test_call_is_refused_when_no_opening_link_opens(self):
        """Guards against calls that wait for nodes that are down until the deadline."""
        entry = self.north[-1]

        def dial_powered_off_vm(member):
            eventlet.sleep(DIAL_TIMEOUT_S)
            raise LinkClosedError("timed out", step="link.dial", peer=member.node_id)

        with mock.patch.object(entry.server.node.links, "connect", dial_powered_off_vm):
            started_at = time.monotonic()
            self.assertEqual(503, self.cluster.call(entry, "/dispatch/1").status)
        self.assertLess(time.monotonic() - started_at, ROUTE_TIMEOUT_S / 2)

    def test_call_is_served_when_nodes_of_the_other_region_are_gone(self):
        """The entry cannot know beforehand which nodes without a link are down."""
        for node in self.south[:-1]:
            node.is_reporting = False
            node.server.kill()
        entry = self.north[-1]
        for _ in range(3):
            self.assertEqual(200, self.cluster.call(entry, "/dispatch/1").status)

    def test_node_that_could_not_be_linked_is_not_tried_again(self):
        """Each dial to a node that is powered off costs a call half a second."""
        lost = self.south[-1]
        lost.is_reporting = False
        lost.server.kill()
        mesh = self.north[-1].server.node
        endpoint = mesh.endpoints.get(lost.node_id)
        self.assertTrue(mesh.entry._is_reachable(endpoint))
        mesh.standing_links.open(endpoint)
        self.assertFalse(mesh.entry._is_reachable(endpoint))

    def test_call_waits_only_briefly_for_a_node_that_is_powered_off(self):
        """A call that dials a powered-off VM until the timeout misses its objective."""
        mesh = self.north[-1].server.node
        endpoint = mesh.endpoints.get(self.south[-1].node_id)

        def dial_powered_off_vm(member):
            eventlet.sleep(DIAL_TIMEOUT_S)
            raise LinkClosedError("timed out", step="link.dial", peer=member.node_id)

        with mock.patch.object(mesh.links, "connect", dial_powered_off_vm):
            started_at = time.monotonic()
            mesh.standing_links.open(endpoint)
        waited_s = time.monotonic() - started_at
        self.assertGreater(waited_s, 0.9 * FIRST_DIAL_TIMEOUT_S)
        self.assertLess(waited_s, FIRST_DIAL_TIMEOUT_S + DIAL_TIMEOUT_S / 2)

    def test_crash_in_one_region_is_known_in_all_nodes_of_the_other(self):
        """A request that crashes upstreams would crash those of each region."""
        for number, node in enumerate(self.south):
            node.server.node._crashes.on_crash(f"crashed-{number}/1", (b"poison",))
        nodes = [node.server.node for node in self.north + self.south]
        wait_until(lambda: all(refuses(mesh, b"poison") for mesh in nodes), 2)

    def test_crashes_are_known_after_restarts_of_all_nodes_in_turn(self):
        """Guards against a crashing request that runs again after planned restarts."""
        for number, node in enumerate(self.south):
            node.server.node._crashes.on_crash(f"crashed-{number}/1", (b"poison",))
        for node in self.north + self.south:
            self.cluster.restart_node(node)
            wait_until(lambda n=node: n.server.node.is_ready, 3)
            wait_until(lambda n=node: refuses(n.server.node, b"poison"), 1)


def refuses(mesh, fingerprint: bytes) -> bool:
    """Return whether a node refuses requests that crashed upstreams."""
    return mesh._guard.is_refused(fingerprint, mesh.clock.now())
