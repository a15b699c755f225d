"""Tests of the admission of calls, with links that answer at once or not at all."""

import eventlet
from testtools import TestCase

from verbenawick.allowances._allowances import Allowances
from verbenawick.allowances._messages import AllowanceAnswer
from verbenawick.allowances._model import DELEGATION_S
from verbenawick.errors import (
    AllowanceUnknownError,
    AnswerLostError,
    OverAllowanceError,
)
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet
from verbenawick.workspaces._model import Workspace, Workspaces

ACME = Workspace("acme", None, 10.0, 20.0)
OTHER_IDS = frozenset({"b", "c"})


class FakeLinks:
    """Links to owners that grant up to a number of requests an ask.

    An owner without shares grants nothing until it was asked `asks_without_shares`
    times.
    """

    def __init__(self, grants: int):
        self.grants = grants
        self.asks_without_shares = 0
        self.lost_ids: set[str] = set()
        self.asks: list[tuple[str, dict[str, int]]] = []

    def register_handler(self, message_type, handler, *, is_cancellable):
        """Ignore the handler; no node asks this one."""

    def register_notice(self, message_type, handler):
        """Ignore the handler; no node sends a notice."""

    def request(self, node_id, ask, *, deadline):
        """Return the answer of an owner, after other green threads had their turn."""
        eventlet.sleep(0)
        self.asks.append((node_id, ask.waiting_by_name))
        if node_id in self.lost_ids:
            raise AnswerLostError("no answer")
        waiting = ask.waiting_by_name.get("acme", 0)
        fraction = float(self.asks_without_shares <= 0)
        self.asks_without_shares -= bool(waiting)
        granted = min(self.grants, waiting) if fraction else 0
        refusals_by_name = {"acme": (0.1, 0.1)} if granted < waiting else {}
        granted_by_name = {"acme": granted}
        return AllowanceAnswer(
            1, 5, 0.0, fraction, granted_by_name, {}, refusals_by_name
        )


class AllowancesTest(TestCase):
    """Calls at one node whose owners are other nodes."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.links = FakeLinks(grants=100)
        self.allowances = Allowances(
            node_id="a",
            epoch=1,
            links=self.links,
            clock=self.clock,
            metrics=MetricSet(),
            node_ids=lambda: OTHER_IDS,
            is_reachable=lambda node_id: True,
            connect=lambda node_id: node_id,
        )
        self.allowances.put_in_force(Workspaces({"acme": ACME}))
        self.addCleanup(self.allowances.close)
        eventlet.sleep(0)
        self.clock.advance(DELEGATION_S)
        eventlet.sleep(0)

    def admit(self):
        """Admit one call."""
        return self.allowances.admit(ACME, deadline=self.clock.now() + 2)

    def admit_together(self, count: int) -> list[str]:
        """Admit calls that arrive at once; return the codes of their refusals."""
        threads = [eventlet.spawn(self.admit) for _ in range(count)]
        return [thread.wait().code for thread in threads]

    def test_calls_that_wait_together_share_one_ask(self):
        """Guards against a message for each call, and against a second one later."""
        del self.links.asks[:]
        self.assertEqual([""] * 5, self.admit_together(5))
        asks = [wanted for _, wanted in self.links.asks if wanted]
        self.assertEqual([{"acme": 5}], asks)

    def test_next_owner_is_asked_at_once_if_the_first_does_not_answer(self):
        """Guards against calls that fail for as long as an owner is lost."""
        self.admit()
        first_id = self.links.asks[-1][0]
        self.links.lost_ids = {first_id}
        self.assertEqual([""] * 3, self.admit_together(3))
        self.links.lost_ids = set(OTHER_IDS)
        self.clock.advance(0.1)
        self.assertEqual(AllowanceUnknownError.code, self.admit().code)

    def test_calls_wait_while_the_shares_are_on_their_way(self):
        """Guards against refusals of all calls of a group that changes its owner."""
        self.links.asks_without_shares = 3
        self.assertEqual([""] * 3, self.admit_together(3))

    def test_refusal_comes_at_once_with_a_later_time_for_each_call(self):
        """Guards against an ask for each call of a workspace over its allowance."""
        self.links.grants = 0
        self.assertEqual(OverAllowanceError.code, self.admit().code)
        asks = len(self.links.asks)
        first, second = self.admit(), self.admit()
        self.assertEqual(asks, len(self.links.asks))
        self.assertAlmostEqual(0.1, second.retry_after_s - first.retry_after_s)
