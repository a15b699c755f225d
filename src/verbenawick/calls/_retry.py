"""Retry rules: which failed attempts may be retried, and the budget for them."""

from dataclasses import dataclass

from verbenawick.calls._table import ServicePolicy
from verbenawick.errors import (
    BadResponseError,
    CallTimeoutError,
    DrainingError,
    NotReadyError,
    PeerLostError,
    PeerUnreachableError,
    QueueFullError,
    UpstreamLostError,
    UpstreamShedError,
    UpstreamUnreachableError,
    WrongServiceError,
)
from verbenawick.links._call_messages import CallAnswer, Outcome
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# Maximum number of retries that a service accumulates while its calls succeed. It
# covers the loss of one upstream with all its slots in use.
BUDGET_CAPACITY = 20.0

# Codes after which another upstream may succeed. The refusals cost the refusing side
# nothing, so these retries are limited by `max_attempts` and not charged to the budget.
UNBUDGETED_RETRY_CODES = frozenset(
    {
        DrainingError.code,
        NotReadyError.code,
        PeerUnreachableError.code,
        UpstreamUnreachableError.code,
        WrongServiceError.code,
    }
)
BUDGETED_RETRY_CODES = frozenset(
    {
        QueueFullError.code,
        UpstreamShedError.code,
        UpstreamLostError.code,
        PeerLostError.code,
        BadResponseError.code,
        CallTimeoutError.code,
    }
)

RETRIES = register_metric(
    "calls.retries", MetricKind.COUNTER, "attempts", "Attempts after the first"
)
RETRIES_REFUSED = register_metric(
    "calls.retries_refused",
    MetricKind.COUNTER,
    "attempts",
    "Retries that the budget of the service did not allow",
)


class RetryBudget:
    """Token bucket of one service, refilled by its calls.

    Each call adds `share` tokens and each charged retry consumes one, so that retries
    stay below that share of the calls, however many fail.
    """

    def __init__(self, *, capacity: float = BUDGET_CAPACITY):
        self._capacity = capacity
        self._tokens = capacity

    def add_call(self, share: float) -> None:
        """Refill the bucket by `share` of a token for one call."""
        self._tokens = min(self._tokens + share, self._capacity)

    def try_consume(self) -> bool:
        """Consume a token; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class CallTraits:
    """Properties of a call that decide whether it may be retried.

    Attributes
    ----------
    attempt : int
        The caller's own attempt number.
    depth : int
        Number of services that the call chain has passed through.
    """

    is_repeatable: bool
    has_key: bool
    attempt: int
    depth: int


class RetryRules:
    """Retry decisions of one entry node."""

    def __init__(self, metrics: MetricSet):
        self._metrics = metrics
        self._budgets_by_service_id: dict[str, RetryBudget] = {}

    def add_call(self, service_id: str, policy: ServicePolicy) -> None:
        """Refill the retry budget of a service for one call."""
        self._budget(service_id).add_call(policy.retry_budget)

    def may_retry(
        self,
        service_id: str,
        policy: ServicePolicy,
        traits: CallTraits,
        answer: CallAnswer,
        *,
        attempts_made: int,
        remaining_s: float,
    ) -> bool:
        """Return whether the call may be sent to another upstream after `answer`."""
        if attempts_made >= policy.max_attempts or remaining_s <= 0:
            return False
        if not _is_retryable(traits, answer):
            return False
        if answer.code not in UNBUDGETED_RETRY_CODES and not self._consume_budget(
            service_id
        ):
            return False
        self._metrics.count(RETRIES)
        return True

    def _consume_budget(self, service_id: str) -> bool:
        if self._budget(service_id).try_consume():
            return True
        self._metrics.count(RETRIES_REFUSED)
        return False

    def _budget(self, service_id: str) -> RetryBudget:
        budget = self._budgets_by_service_id.get(service_id)
        if budget is None:
            budget = self._budgets_by_service_id[service_id] = RetryBudget()
        return budget


def _is_retryable(traits: CallTraits, answer: CallAnswer) -> bool:
    if traits.has_key or answer.outcome is Outcome.COMPLETE:
        return False
    if answer.outcome is Outcome.UNKNOWN and not traits.is_repeatable:
        return False
    if answer.code in UNBUDGETED_RETRY_CODES:
        return True
    # A service that is called by a retry passes on Attempt > 1. If each of up to 29
    # layers retried as well, the number of attempts would multiply.
    if traits.depth > 0 and traits.attempt > 1:
        return False
    return answer.code in BUDGETED_RETRY_CODES
