"""Retry rules and budgets."""

from random import Random

from testtools import TestCase

from verbenawick.calls._retry import BUDGET_CAPACITY, CallTraits, RetryRules
from verbenawick.calls._table import ServicePolicy
from verbenawick.errors import errors_by_code
from verbenawick.links._call_messages import CallAnswer, Outcome
from verbenawick.runtime._metrics import MetricSet

LAYERS = 29


class RetryRulesTest(TestCase):
    """Which answers are retried, and the limits on retries."""

    def setUp(self):
        super().setUp()
        self.rules = RetryRules(MetricSet())
        self.policy = ServicePolicy("p", max_attempts=3, retry_budget=0.1)

    def may_retry(self, code, *, attempts_made=1, remaining_s=1.0, **traits):
        values = {"is_repeatable": True, "has_key": False, "attempt": 1, "depth": 0}
        outcome = Outcome(errors_by_code[code].outcome)
        return self.rules.may_retry(
            "svc",
            self.policy,
            CallTraits(**{**values, **traits}),
            CallAnswer(1, outcome, code, 0, (), b"", ""),
            attempts_made=attempts_made,
            remaining_s=remaining_s,
        )

    def test_only_safe_repetitions_are_allowed(self):
        """Guards against running a non-repeatable request twice."""
        self.assertTrue(self.may_retry("call.upstream-lost"))
        self.assertFalse(self.may_retry("call.upstream-lost", is_repeatable=False))
        self.assertTrue(self.may_retry("call.queue-full", is_repeatable=False))
        for code in ("call.queue-full", "call.upstream-lost", "call.draining"):
            self.assertFalse(self.may_retry(code, has_key=True))
        for code in ("call.quarantined", "call.deadline-unreachable"):
            self.assertFalse(self.may_retry(code))

    def test_attempts_and_deadline_bound_the_retries(self):
        """No retry follows the last attempt or the deadline."""
        self.assertTrue(self.may_retry("call.draining", attempts_made=2))
        self.assertFalse(self.may_retry("call.draining", attempts_made=3))
        self.assertFalse(self.may_retry("call.draining", remaining_s=0.0))

    def test_retries_stay_below_their_share_of_the_traffic(self):
        """Guards against retries that amplify an overload."""
        retries = 0
        for _ in range(5000):
            self.rules.add_call("svc", self.policy)
            retries += self.may_retry("call.queue-full")
        self.assertLessEqual(retries, 500 + BUDGET_CAPACITY)
        self.assertGreaterEqual(retries, 500)

    def test_retries_after_a_draining_upstream_cost_no_budget(self):
        """Guards against failed calls while an upstream drains under full traffic."""
        while self.may_retry("call.queue-full"):
            pass
        self.assertTrue(self.may_retry("call.draining"))
        self.assertTrue(self.may_retry("call.peer-unreachable"))

    def test_layers_do_not_multiply_their_attempts(self):
        """Guards against retry amplification through 29 layers.

        Each layer is a service whose entry retries a failed call, which would make the
        number of calls at the bottom grow exponentially. The layers share no budget
        here, so that only the rule about attempts limits the retries.
        """
        self.policy = ServicePolicy("p", max_attempts=3, retry_budget=1.0)
        calls_at_bottom = 0

        def call(depth, attempt):
            nonlocal calls_at_bottom
            if depth == LAYERS:
                calls_at_bottom += 1
                # Without the rule, the recursion would not end within the test run.
                self.assertLessEqual(calls_at_bottom, 1 + 2 * LAYERS)
                return
            self.rules = RetryRules(MetricSet())
            rules = self.rules
            attempts_made = 0
            while True:
                call(depth + 1, attempt + attempts_made)
                attempts_made += 1
                self.rules = rules
                if not self.may_retry(
                    "call.upstream-lost",
                    attempts_made=attempts_made,
                    attempt=attempt,
                    depth=depth,
                ):
                    return

        call(0, 1)
        self.assertGreater(calls_at_bottom, 1)

    def test_a_random_mix_of_failures_keeps_the_amplification_low(self):
        """With 30 % failures, the attempts stay below 1.2 times the calls."""
        random = Random(3)
        attempts = 0
        for _ in range(3000):
            self.rules.add_call("svc", self.policy)
            attempts_made = 1
            while random.random() < 0.3 and self.may_retry(
                "call.upstream-lost", attempts_made=attempts_made
            ):
                attempts_made += 1
            attempts += attempts_made
        self.assertLess(attempts / 3000, 1.2)
