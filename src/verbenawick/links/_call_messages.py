"""Messages of the call path between entry and gateway."""

from dataclasses import dataclass
from enum import StrEnum
from itertools import count

from verbenawick.links._messages import MAX_MESSAGE_BYTES, Message, register_message

next_call_id = count(1).__next__
"""Return a number that is unique among the requests of this process."""

# Leaves room in a message between nodes for headers (64 KiB at most) and other fields.
LARGEST_BODY_BYTES = MAX_MESSAGE_BYTES - 256 * 1024

Headers = tuple[tuple[str, str], ...]


class Outcome(StrEnum):
    """What is known about a request that a caller sent."""

    COMPLETE = "complete"  # the response is the upstream's, whole
    NOT_RUN = "not-run"  # proven not to have run
    UNKNOWN = "unknown"  # it may have run


@register_message(50)
@dataclass(frozen=True, slots=True)
class CallRequest(Message):
    """A call for the upstream beside the receiving node.

    Attributes
    ----------
    call_id : int
        Number drawn with `next_call_id` by the sender.
    target : str
        Request target as the caller sent it: path and query, still quoted.
    remaining_ms : float
        Time left until the caller's deadline when the message was written.
    attempt : int
        The caller's own attempt number, 1 for the first.
    depth : int
        Number of services that the call chain has passed.
    idempotency_key : str
        Key of a request that runs at most once; empty for a repeatable request.
    claimed_by : str
        Node that holds the claim on the key and coordinates the execution; empty when
        the receiver, the owner of the key, has to claim it.
    fingerprint : bytes
        Identifies equal requests: hash of method, target and body.
    version : int
        Configuration version that the entry routed with.
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


@register_message(51)
@dataclass(frozen=True, slots=True)
class CallAnswer(Message):
    """Outcome of a call; with `Outcome.COMPLETE` the upstream's whole response.

    Attributes
    ----------
    code : str
        Error code of the call path, empty for a complete response.
    upstream_node_id : str
        Node whose upstream ran the request, empty when none did.
    """

    call_id: int
    outcome: Outcome
    code: str
    status: int
    headers: Headers
    body: bytes
    upstream_node_id: str


@register_message(52)
@dataclass(frozen=True, slots=True)
class CallCancel(Message):
    """The sender no longer waits for the answer to one of its requests."""

    call_id: int
