"""Listening sockets."""

from testtools import TestCase

from verbenawick.errors import ListenError
from verbenawick.runtime._sockets import listen


class ListenTest(TestCase):
    """An address can be used by only one process."""

    def test_a_second_listener_on_an_address_is_refused(self):
        """Two processes of a node must never run at the same time.

        Claims take a new process at an address as proof that the earlier one has ended;
        if both could listen, a claimed request could run twice.
        """
        first = listen("127.0.0.1:0")
        self.addCleanup(first.close)
        host, port = first.getsockname()
        error = self.assertRaises(ListenError, listen, f"{host}:{port}")
        self.assertIn(str(port), str(error))

    def test_an_address_is_free_after_its_listener_closed(self):
        """A restarted process can listen before old connections have expired."""
        first = listen("127.0.0.1:0")
        host, port = first.getsockname()
        first.close()
        listen(f"{host}:{port}").close()
