"""Polling of sockets in a monkey-patched process."""

import subprocess
import sys

from testtools import TestCase

PROGRAM = """
import eventlet
eventlet.monkey_patch()
import select, socket
from verbenawick.runtime._polling import closed_by_peer, is_readable
assert not hasattr(select, "poll")
a, b = socket.socketpair()
assert not is_readable(a.fileno()) and not closed_by_peer([a.fileno()])
b.sendall(b"x")
assert is_readable(a.fileno()) and not closed_by_peer([a.fileno()])
b.close()
assert closed_by_peer([a.fileno()]) == [a.fileno()]
print("done")
"""


class PollingTest(TestCase):
    """Guards against using ``select.poll``, which monkey patching removes."""

    def test_polls_work_after_monkey_patching(self):
        """Unread bytes and a closed peer are distinguished in a patched process."""
        process = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PROGRAM],
            capture_output=True,
            text=True,
            env={"PYTHONPATH": "src"},
            timeout=60,
        )
        self.assertEqual(("done\n", ""), (process.stdout, process.stderr))
