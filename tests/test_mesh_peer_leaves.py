"""Tests of the leaves that other nodes remember."""

from testtools import TestCase

from verbenawick.mesh._messages import GatewayNotice, LeaveNotice
from verbenawick.mesh._model import UpstreamState
from verbenawick.mesh._peer_leaves import PeerLeaves

READY, GONE, UNKNOWN = UpstreamState.READY, UpstreamState.GONE, UpstreamState.UNKNOWN


def notice(state, upstream_id="u1", born_ms=100):
    """Return a notice about the upstream of node ``n``."""
    return GatewayNotice("s", upstream_id, state, 4, state is GONE, born_ms)


class PeerLeavesTest(TestCase):
    """Notices of one node in series."""

    def test_leave_is_remembered_until_another_process_is_ready(self):
        """Guards against a leave that is forgotten, or that bars a new process."""
        left = LeaveNotice("u1", 100)
        stopping = GatewayNotice("s", "u1", UpstreamState.DRAINING, 4, False, 100)
        rows = (
            ("ready", [notice(READY)], None),
            ("its node stops", [stopping], None),
            ("left", [notice(GONE)], left),
            ("its node starts", [notice(GONE), notice(UNKNOWN, "", 0)], left),
            ("late report", [notice(GONE), notice(READY)], left),
            ("known from a probe", [notice(GONE), notice(READY, "u1", 0)], left),
            ("new process", [notice(GONE), notice(READY, born_ms=101)], None),
            ("clock went back", [notice(GONE), notice(READY, born_ms=99)], None),
            (
                "start unknown",
                [notice(GONE, born_ms=0), notice(READY, born_ms=101)],
                None,
            ),
            ("new upstream", [notice(GONE), notice(READY, "u2", 0)], None),
        )
        for name, notices, expected in rows:
            leaves = PeerLeaves()
            for item in notices:
                leaves.on_notice("n", item)
            self.assertEqual(expected, leaves.of("n"), name)
            leaves.forget("n")
            self.assertEqual(None, leaves.of("n"), name)
