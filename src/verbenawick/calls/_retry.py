"""Which attempts of a call may be repeated, and how many."""

from dataclasses import dataclass

from verbenawick.calls._table import ServicePolicy
from verbenawick.errors import (
    BadResponseError,
    CallTimeoutError,
    DrainingError,
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

# Retries that a service may save up while its calls succeed; covers the loss of one
# upstream with all its slots in use.
BUDGET_CAPACITY = 20.0

# Codes after which another upstream may succeed. They cost the refusing side nothing,
# so they are not charged to the budget; the number of attempts bounds them.
FREE_RETRY_CODES = frozenset(
    {
        DrainingError.code,
        PeerUnreachableError.code,
        UpstreamUnreachableError.code,
        WrongServiceError.code,
    }
)
CHARGED_RETRY_CODES = frozenset(
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
    """Token bucket of one service, filled by its calls.

    Each call adds the service's share of a token and each charged retry takes one, so
    that retries stay below that share of the traffic however many calls fail.
    """

    def __init__(self, *, capacity: float = BUDGET_CAPACITY):
        self._capacity = capacity
        self._tokens = capacity

    def add_call(self, share: float) -> None:
        """Add the tokens of one call."""
        self._tokens = min(self._tokens + share, self._capacity)

    def take(self) -> bool:
        """Take a token; return False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class CallTraits:
    """What decides whether a call may be retried.

    Attributes
    ----------
    attempt : int
        The caller's own attempt number.
    depth : int
        Number of services that the call chain has passed.
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
        """Count a call, which fills the budget of its service."""
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
        if not _may_repeat(traits, answer):
            return False
        if answer.code not in FREE_RETRY_CODES and not self._charge(service_id):
            return False
        self._metrics.count(RETRIES)
        return True

    def _charge(self, service_id: str) -> bool:
        if self._budget(service_id).take():
            return True
        self._metrics.count(RETRIES_REFUSED)
        return False

    def _budget(self, service_id: str) -> RetryBudget:
        budget = self._budgets_by_service_id.get(service_id)
        if budget is None:
            budget = self._budgets_by_service_id[service_id] = RetryBudget()
        return budget


def _may_repeat(traits: CallTraits, answer: CallAnswer) -> bool:
    if traits.has_key or answer.outcome is Outcome.COMPLETE:
        return False
    if answer.outcome is Outcome.UNKNOWN and not traits.is_repeatable:
        return False
    if answer.code in FREE_RETRY_CODES:
        return True
    # A service whose own caller retries passes Attempt > 1 on; retrying at each of 29
    # layers as well would multiply the attempts.
    if traits.depth > 0 and traits.attempt > 1:
        return False
    return answer.code in CHARGED_RETRY_CODES
