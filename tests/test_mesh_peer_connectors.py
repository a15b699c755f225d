"""Tests of the tasks that keep links to other nodes open."""

from random import Random

import eventlet

from tests.call_support import free_port, member, wait_until
from tests.test_call_links import CallLinksTestCase
from verbenawick.mesh._peer_connectors import PeerConnectors


class PeerConnectorsTest(CallLinksTestCase):
    """First dial of a connector, as opposed to redials."""

    def setUp(self):
        super().setUp()
        self.connectors = PeerConnectors(self.client, random=Random(1))
        self.addCleanup(self.connectors.close)

    def listen_silently(self, port):
        """Accept connections without answering a handshake."""
        self.silent_listener = eventlet.listen(("127.0.0.1", int(port)))
        self.addCleanup(self.silent_listener.close)

    def test_only_the_first_dial_to_a_node_counts_as_opening(self):
        """Guards against calls that wait for a node that is known to be down."""
        peer = member("down", port=free_port())
        self.listen_silently(peer.peer_address.rpartition(":")[2])
        self.client._dial_timeout_s = 0.2
        self.assertFalse(self.connectors.is_opening("down"))
        self.connectors.ensure_connector(peer)
        self.assertTrue(self.connectors.is_opening("down"))
        eventlet.sleep(0.1)
        self.assertTrue(self.connectors.is_opening("down"))
        wait_until(lambda: not self.connectors.is_opening("down"), 2)
        dials = self.client._peers_by_address[peer.peer_address]
        wait_until(dials.dial_lock.locked, 2)
        self.assertFalse(self.connectors.is_opening("down"))

    def test_redial_of_a_lost_link_does_not_count_as_opening(self):
        """Guards against calls that wait for a node that has just gone."""
        self.connectors.ensure_connector(self.peer)
        wait_until(lambda: self.client.is_connected(self.peer))
        self.server_listener.stop()
        self.listen_silently(self.peer.peer_address.rpartition(":")[2])
        self.server.close()
        wait_until(lambda: not self.client.is_connected(self.peer))
        dials = self.client._peers_by_address[self.peer.peer_address]
        wait_until(dials.dial_lock.locked, 2)
        self.assertFalse(self.connectors.is_opening("server"))

    def test_stop_of_a_connector_ends_the_wait_for_its_first_dial(self):
        """Guards against calls that wait for a node that has left the mesh."""
        peer = member("down", port=free_port())
        self.listen_silently(peer.peer_address.rpartition(":")[2])
        self.connectors.ensure_connector(peer)
        waits = [
            eventlet.spawn(self.connectors.wait_for_first_dial, "down", timeout_s=30),
            eventlet.spawn(self.connectors.wait_for_any_first_dial, timeout_s=30),
        ]
        eventlet.sleep(0)
        self.connectors.stop_connector("down")
        with eventlet.Timeout(2):
            for wait in waits:
                wait.wait()
