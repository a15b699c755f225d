"""Helpers of the tests of the call path."""

from eventlet.green import socket
from testtools import TestCase

from tests.call_support import FIRST_EPHEMERAL_PORT, FIRST_TEST_PORT, free_port


class FreePortTest(TestCase):
    """Ports that a test reserves and binds later."""

    def test_reserved_ports_are_not_assigned_to_outgoing_connections(self):
        """Guards against `Address already in use` when a test binds its port."""
        ports = [free_port() for _ in range(200)]
        self.assertEqual(200, len(set(ports)))
        self.assertGreaterEqual(min(ports), FIRST_TEST_PORT)
        self.assertLess(max(ports), FIRST_EPHEMERAL_PORT)

    def test_a_port_in_use_is_not_returned(self):
        """Guards against a port on which another process listens."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", free_port()))
            taken = sock.getsockname()[1]
            self.assertNotIn(taken, [free_port() for _ in range(200)])
