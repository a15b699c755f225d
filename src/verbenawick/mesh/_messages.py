"""Messages between the nodes of a mesh: calls, answers and notices."""

from dataclasses import dataclass

from verbenawick.links._call_messages import check_answer_status
from verbenawick.links._messages import Message, register_message
from verbenawick.mesh._model import CallOutcome, Headers, UpstreamState


@register_message(90)
@dataclass(frozen=True, slots=True)
class ForwardedCall(Message):
    """A call to the receiving node's upstream.

    Attributes
    ----------
    call_id : int
        Number chosen by the sender; the answer carries the same one.
    request_id : str
        The caller's id of this attempt.
    caller_service : str
        Service of the upstream on the VM where the call began.
    workspace : str
        Name of the caller's workspace; empty without one.
    sent_at, deadline, objective_at : float
        Times on the sender's clock.
    """

    call_id: int
    request_id: str
    caller_service: str
    service: str
    route: str
    method: str
    target: str
    headers: Headers
    body: bytes
    is_idempotent: bool
    priority: int
    sent_at: float
    deadline: float
    objective_at: float
    workspace: str = ""


@register_message(91)
@dataclass(frozen=True, slots=True)
class ForwardedAnswer(Message):
    """Result of a forwarded call, and the load of the gateway that handled it."""

    call_id: int
    outcome: CallOutcome
    code: str
    status: int
    headers: Headers
    body: bytes
    has_arrived: bool
    retry_after_s: float
    running: int
    waiting: int
    slots: int
    service_s: float
    failure_rate: float

    def __post_init__(self):
        is_complete = self.outcome is CallOutcome.COMPLETE
        check_answer_status(self.status, is_complete=is_complete)


@register_message(92)
@dataclass(frozen=True, slots=True)
class GatewayNotice(Message):
    """State of the sender's upstream; sent when a link opens and on each change.

    Attributes
    ----------
    state : UpstreamState
        Also draining while the sender stops, whatever its upstream does.
    is_leaving : bool
        Whether the upstream itself announced that it drains or leaves.
    born_ms : int
        Start time of the upstream's process as in `StatusReport`, 0 if unknown.
    version : str
        Version of the upstream's software as in `UpstreamRecord`.
    rate_limit : float or None
        Limit that the upstream names, requests per second; 0 if it names none, None if
        it has not answered the sender yet.
    """

    service: str
    upstream_id: str
    state: UpstreamState
    slots: int
    is_leaving: bool
    born_ms: int
    version: str = ""
    rate_limit: float | None = None


@register_message(102)
@dataclass(frozen=True, slots=True)
class LeaveNotice(Message):
    """Leave that the receiver acknowledged, in its present process or an earlier one.

    Sent when a link to the receiver opens.
    """

    upstream_id: str
    born_ms: int
