"""Listening sockets."""

from testtools import TestCase

from verbenawick.errors import ListenError
from verbenawick.runtime._sockets import listen


class ListenTest(TestCase):
    """An address belongs to one process."""

    def test_a_second_listener_on_an_address_is_refused(self):
        """Two processes of one node never run together.

        Guards against a claim that runs again because a new process was taken as proof
        that the earlier one had ended.
        """
        first = listen("127.0.0.1:0")
        self.addCleanup(first.close)
        host, port = first.getsockname()
        error = self.assertRaises(ListenError, listen, f"{host}:{port}")
        self.assertIn(str(port), str(error))

    def test_an_address_is_free_after_its_listener_closed(self):
        """A restart does not wait for old connections to expire."""
        first = listen("127.0.0.1:0")
        host, port = first.getsockname()
        first.close()
        listen(f"{host}:{port}").close()
