"""Log events and metrics of allowances."""

from dataclasses import dataclass

from verbenawick.runtime._events import Event, register_event
from verbenawick.runtime._metrics import MetricKind, register_metric

ADMITTED = register_metric(
    "allowances.admitted",
    MetricKind.COUNTER,
    "calls",
    "Calls admitted by the allowance of their workspace",
)
REFUSED = register_metric(
    "allowances.refused",
    MetricKind.COUNTER,
    "calls",
    "Calls refused since their workspace was over its allowance",
)
UNKNOWN = register_metric(
    "allowances.unknown",
    MetricKind.COUNTER,
    "calls",
    "Calls refused since no owner of their allowance answered",
)
RETURNED = register_metric(
    "allowances.returned",
    MetricKind.COUNTER,
    "calls",
    "Calls that did not run and whose grant became usable again",
)
ASKS = register_metric(
    "allowances.asks", MetricKind.COUNTER, "messages", "Asks sent to other nodes"
)
RENEWALS = register_metric(
    "allowances.renewals",
    MetricKind.COUNTER,
    "messages",
    "Asks sent only to renew a delegation",
)
FAILED_ASKS = register_metric(
    "allowances.asks_failed",
    MetricKind.COUNTER,
    "messages",
    "Asks without an answer in time",
)
ANSWERED = register_metric(
    "allowances.asks_answered",
    MetricKind.COUNTER,
    "messages",
    "Asks of other nodes that this node answered",
)
OWNED = register_metric(
    "allowances.workspaces_owned",
    MetricKind.GAUGE,
    "workspaces",
    "Workspaces of which nodes have delegated shares to this node",
)


@register_event(770)
@dataclass(frozen=True, slots=True)
class AllowanceOwnerChanged(Event):
    """A node delegates its shares of a group of workspaces to another owner.

    `owner` is empty while it delegates them to none.
    """

    group: int
    owner: str
    earlier_owner: str


@register_event(771, level="WARNING")
@dataclass(frozen=True, slots=True)
class AllowanceExceeded(Event):
    """Requests of a workspace were refused by the owner of its allowance.

    `fraction` is the sum of the shares that nodes have delegated to this owner;
    `granted` and `refused` count the requests of the last `REPORT_INTERVAL_S`.
    """

    workspace: str
    rate_per_s: float
    burst: float
    fraction: float
    nodes: int
    granted: int
    refused: int


@register_event(772, level="WARNING")
@dataclass(frozen=True, slots=True)
class AllowanceAskFailed(Event):
    """An owner did not answer in time; the next one is asked."""

    group: int
    owner: str
    reason: str
