"""Gateway role: serves calls for the upstream beside this node."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from verbenawick._call_messages import CallAnswer
from verbenawick._members import Member


class ClaimVerdict(StrEnum):
    """What the owner of an idempotency key decides about a request."""

    RUN = "run"
    RECORDED = "recorded"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Decision of `ClaimPort.begin`.

    Attributes
    ----------
    verdict : ClaimVerdict
        `RUN`: the key is claimed now and the gateway has to execute the request;
        `RECORDED`: `answer` is the response of the earlier execution;
        `IN_PROGRESS`: an earlier request with this key is running at this node;
        `UNKNOWN`: it may have run before and its response is not known;
        `REFUSED`: nothing was claimed, and the request did not run for this attempt;
        `code` says why (for example the authority has ended).
    code : str
        Error code for the caller, empty for `RUN` and `RECORDED`.
    """

    verdict: ClaimVerdict
    answer: CallAnswer | None = None
    code: str = ""


class ClaimPort(Protocol):
    """At-most-once execution of keyed requests, as entry and gateway use it.

    The entry asks `owner_of` and sends the call to the owner's gateway with an empty
    `CallRequest.claimed_by`; it asks no second node. The owner's gateway calls `begin`
    in the green thread of the call. With `RUN` it executes the request: on its own
    upstream or, when that one is full or draining, through the gateway of another
    upstream of the service (with `claimed_by` set to its own node id, so that the
    other gateway claims nothing). Immediately before the request is written to a
    socket it calls `confirm`. After `RUN` exactly one of these follows, also when the
    caller has gone:

    - `finish`: the response is complete;
    - `release`: proven not run, no byte was sent to an upstream or the upstream said
      that it did not run the request;
    - `mark_unknown`: the request was sent and no complete response arrived.

    Once a request was sent to an upstream it is not tried on another one, unless that
    upstream answered that it did not run it.
    """

    def owner_of(self, service_id: str, key: str) -> Member | None:
        """Return the member that owns `key`; None when the service has no member."""
        ...

    def begin(
        self,
        key: str,
        *,
        fingerprint: bytes,
        attempt: int,
        deadline: float,
    ) -> ClaimDecision:
        """Claim `key` or say why it is not claimed.

        Called on the owner only, for keys of the node's own service. May block while
        earlier owners are asked to seal the key, at most until `deadline`.

        Parameters
        ----------
        fingerprint : bytes
            Identifies equal requests; a key that is reused for a different request is
            refused.
        attempt : int
            The caller's attempt number, 1 for the first.
        deadline : float
            Instant of the local clock.
        """
        ...

    def confirm(self, key: str) -> bool:
        """Return whether the claim still holds; never blocks.

        Called immediately before the request is written. False when the authority or
        the claim has ended while the owner was paused; the gateway then sends nothing
        and calls `release`.
        """
        ...

    def finish(self, key: str, answer: CallAnswer) -> None:
        """Record the complete response of the claimed request."""
        ...

    def release(self, key: str) -> None:
        """Give the claim up: the request is proven not to have run."""
        ...

    def mark_unknown(self, key: str) -> None:
        """Record that the claimed request may have run."""
        ...
