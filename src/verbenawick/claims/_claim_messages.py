"""Messages between the claim keepers of a service."""

from dataclasses import dataclass
from enum import StrEnum

from verbenawick.links._call_messages import CallAnswer
from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message, register_message


class ClaimState(StrEnum):
    """What a node knows about a key."""

    CLAIMED = "claimed"  # running here, or about to
    DONE = "done"  # ran in full
    UNKNOWN = "unknown"  # may have run
    SEALED = "sealed"  # never claimed here; other nodes asked for it


class SealVerdict(StrEnum):
    """Answer of a possible earlier owner of a key."""

    SEALED = "sealed"  # it promises not to claim the key before asking the sealer
    RECORDED = "recorded"  # it has a record, which it returns
    IN_PROGRESS = "in-progress"  # it is about to claim the key itself
    REFUSED = "refused"  # it cannot promise; `reason` is an error code


@dataclass(frozen=True, slots=True)
class OwnerRef:
    """One process that may own a key."""

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
        Time since the record was made.
    sealers : tuple of OwnerRef
        Of a `SEALED` record, the processes that asked for the key.
    """

    key: str
    fingerprint: bytes
    state: ClaimState
    answer: Row[CallAnswer] | None
    age_s: float
    sealers: tuple[Row[OwnerRef], ...]


@register_message(70)
@dataclass(frozen=True, slots=True)
class SealRequest(Message):
    """Ask for the record of a key, or for the promise not to claim it.

    Attributes
    ----------
    holder_incarnation : int
        Process that is asked. A restarted one has lost its records and must not answer
        for its predecessor.
    """

    call_id: int
    service_id: str
    key: str
    sealer: Row[OwnerRef]
    holder_incarnation: int


@register_message(71)
@dataclass(frozen=True, slots=True)
class SealAnswer(Message):
    """Answer to `SealRequest`.

    Attributes
    ----------
    reason : str
        Error code when refused, otherwise empty.
    earlier : tuple of OwnerRef
        Processes that sealed the key here before and may have claimed it since.
    age_s : float
        Time since the last of them did.
    """

    call_id: int
    verdict: SealVerdict
    reason: str
    record: Row[RecordRow] | None
    earlier: tuple[Row[OwnerRef], ...]
    age_s: float


@register_message(72)
@dataclass(frozen=True, slots=True)
class ClaimHandover(Message):
    """A batch of records of a node that is about to stop."""

    call_id: int
    service_id: str
    sender: Row[OwnerRef]
    records: tuple[Row[RecordRow], ...]


@register_message(73)
@dataclass(frozen=True, slots=True)
class ClaimHandoverAnswer(Message):
    """Answer to `ClaimHandover`; `reason` is an error code when not accepted."""

    call_id: int
    is_accepted: bool
    reason: str
