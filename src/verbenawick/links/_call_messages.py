"""Messages between the entry and the gateway of a call."""

from dataclasses import dataclass
from enum import StrEnum
from itertools import count

from verbenawick.links._messages import MAX_MESSAGE_BYTES, Message, register_message

next_call_id = count(1).__next__
"""Return a call id that is unique within this process."""

# Leaves space in a message for the headers (at most 64 KiB) and the other fields.
MAX_MESSAGE_BODY_BYTES = MAX_MESSAGE_BYTES - 256 * 1024

Headers = tuple[tuple[str, str], ...]


class Outcome(StrEnum):
    """Known outcome of a request that a caller sent."""

    COMPLETE = "complete"  # the response of the upstream arrived completely
    NOT_RUN = "not-run"  # the upstream certainly did not run the request
    UNKNOWN = "unknown"  # the upstream may have run the request


@register_message(50)
@dataclass(frozen=True, slots=True)
class CallRequest(Message):
    """A call for the upstream beside the receiving node.

    Attributes
    ----------
    call_id : int
        Id that the sender obtained from `next_call_id`.
    target : str
        Request target as sent by the caller: path and query, percent-encoded.
    remaining_ms : float
        Time until the caller's deadline when the message was encoded.
    attempt : int
        The caller's attempt number plus the attempts that the entry made before; above
        1, the request may have been sent before.
    depth : int
        Number of services in the call chain so far.
    idempotency_key : str
        Key of a request that runs at most once; empty for a repeatable request.
    claimed_by : str
        Node that holds the claim on the key and coordinates the execution; empty if
        the receiver owns the key and has to claim it.
    fingerprint : bytes
        Hash of method, target and body, used to recognise equal requests.
    version : int
        Configuration version that the entry used for routing.
    """

    call_id: int
    service_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    remaining_ms: float
    criticality: int
    attempt: int
    depth: int
    idempotency_key: str
    claimed_by: str
    entry_node_id: str
    traceparent: str
    fingerprint: bytes
    version: int


def check_answer_status(status: int, *, is_complete: bool) -> None:
    """Raise `ValueError` if no answer of a call can have `status`.

    Parameters
    ----------
    is_complete : bool
        Whether the answer is a response of an upstream.
    """
    if is_complete and not 200 <= status <= 599:
        raise ValueError(f"{status} is no status of a response")


@register_message(51)
@dataclass(frozen=True, slots=True)
class CallAnswer(Message):
    """Outcome of a call, and the response of the upstream if it is complete.

    Attributes
    ----------
    code : str
        Error code, empty for a complete response.
    upstream_node_id : str
        Node whose upstream ran the request, empty if none did.
    """

    call_id: int
    outcome: Outcome
    code: str
    status: int
    headers: Headers
    body: bytes
    upstream_node_id: str

    def __post_init__(self):
        is_complete = self.outcome is Outcome.COMPLETE
        check_answer_status(self.status, is_complete=is_complete)


@register_message(52)
@dataclass(frozen=True, slots=True)
class CallCancel(Message):
    """Notification that the sender no longer waits for the answer to a request."""

    call_id: int
