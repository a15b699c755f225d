"""Messages between the claim coordinators of a service."""

from dataclasses import dataclass
from enum import StrEnum

from verbenawick.links._call_messages import CallAnswer
from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message


class ClaimState(StrEnum):
    """State of the record of a key."""

    CLAIMED = "claimed"  # running at this node or about to run
    DONE = "done"  # completed
    UNKNOWN = "unknown"  # may have run
    SEALED = "sealed"  # never claimed by this node; promised to others


class SealVerdict(StrEnum):
    """Result of a seal request to a possible earlier owner of a key."""

    SEALED = "sealed"  # it will not claim the key before asking the sealer
    RECORDED = "recorded"  # it has a record, which is in the answer
    IN_PROGRESS = "in-progress"  # it is claiming or running the key itself
    REFUSED = "refused"  # it makes no promise; `reason` is an error code


@dataclass(frozen=True, slots=True)
class ProcessRef:
    """Identity of a process: a node and its incarnation."""

    node_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RecordRow:
    """A claim record on the wire.

    Attributes
    ----------
    answer : CallAnswer or None
        Response of a `DONE` record; None when it was not kept.
    age_s : float
        Time since the record was created.
    sealers : tuple of ProcessRef
        Processes that a `SEALED` key was promised to.
    """

    key: str
    fingerprint: bytes
    state: ClaimState
    answer: Row[CallAnswer] | None
    age_s: float
    sealers: tuple[Row[ProcessRef], ...]


@register_message(70)
@dataclass(frozen=True, slots=True)
class SealRequest(Message):
    """Request for the record of a key or a promise not to claim the key.

    Attributes
    ----------
    receiver_incarnation : int
        Incarnation of the process that is asked. A restarted process has lost the
        records of its predecessor and must not answer for it.
    """

    call_id: int
    service_id: str
    key: str
    sealer: Row[ProcessRef]
    receiver_incarnation: int


@register_message(71)
@dataclass(frozen=True, slots=True)
class SealAnswer(Message):
    """Answer to `SealRequest`.

    Attributes
    ----------
    reason : str
        Error code when refused, otherwise empty.
    earlier_sealers : tuple of ProcessRef
        Processes that the key was promised to before and that may have claimed it
        since.
    age_s : float
        Time since the last of these promises.
    """

    call_id: int
    verdict: SealVerdict
    reason: str
    record: Row[RecordRow] | None
    earlier_sealers: tuple[Row[ProcessRef], ...]
    age_s: float


@register_message(72)
@dataclass(frozen=True, slots=True)
class ClaimHandover(Message):
    """Batch of records from a node that is about to stop."""

    call_id: int
    service_id: str
    sender: Row[ProcessRef]
    records: tuple[Row[RecordRow], ...]


@register_message(73)
@dataclass(frozen=True, slots=True)
class ClaimHandoverAnswer(Message):
    """Answer to `ClaimHandover`; `reason` is an error code when not accepted."""

    call_id: int
    is_accepted: bool
    reason: str
