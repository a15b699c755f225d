"""Limits of upstreams that outlive the node process which heard them."""

from testtools import TestCase

from verbenawick.mesh._messages import GatewayNotice
from verbenawick.mesh._model import UpstreamState
from verbenawick.mesh._named_limits import LimitNotice, NamedLimit, PeerLimits

TOLD = LimitNotice("u1", 5.0)


def notice(rate_limit, upstream_id="u1") -> GatewayNotice:
    """Return what a node says of its upstream."""
    state = UpstreamState.READY
    return GatewayNotice("s", upstream_id, state, 4, False, 1, "", rate_limit)


class PeerLimitsTest(TestCase):
    """What a node remembers of the upstreams of others."""

    def known_after(self, *notices):
        limits = PeerLimits()
        for item in notices:
            limits.on_notice("n1", item)
        return limits.of("n1")

    def test_limit_is_remembered_while_the_next_process_knows_none(self):
        """Guards against a limit that ends with the process that heard it."""
        for unknown in (notice(None), notice(None, "")):
            self.assertEqual(TOLD, self.known_after(notice(5.0), unknown))

    def test_limit_ends_with_the_upstream_or_its_need(self):
        """Guards against a limit that holds for ever."""
        for end in (notice(0.0), notice(None, "u2"), notice(0.0, "u2")):
            self.assertIsNone(self.known_after(notice(5.0), end))
        limits = PeerLimits()
        limits.on_notice("n1", notice(5.0))
        limits.forget("n1")
        self.assertIsNone(limits.of("n1"))


class NamedLimitTest(TestCase):
    """What a node knows of its own upstream."""

    def test_notice_applies_to_its_upstream_until_the_first_answer(self):
        """Guards against a limit of another upstream, or an outdated one."""
        limit = NamedLimit("")
        limit.on_notice(TOLD)
        self.assertIsNone(limit.rate_limit)
        limit.follow("u1")
        self.assertEqual(5.0, limit.rate_limit)
        limit.on_answer(7.0)
        limit.on_notice(TOLD)
        self.assertEqual(7.0, limit.rate_limit)
        limit.follow("u2")
        self.assertIsNone(limit.rate_limit)

    def test_notable_changes_are_told(self):
        """Guards against a notice with each answer, and against none at the end."""
        limit = NamedLimit("u1")
        answers = (None, 10.0, 10.0, 11.0, 4.0, 5.0, None, None)
        self.assertEqual(
            [False, True, False, False, True, False, True, False],
            [limit.on_answer(rate) for rate in answers],
        )

    def test_end_of_a_limit_that_others_told_is_told(self):
        """Guards against peers that give an ended limit to each next process."""
        limit = NamedLimit("u1")
        limit.on_notice(TOLD)
        self.assertTrue(limit.on_answer(None))
        self.assertEqual(0.0, limit.rate_limit)
