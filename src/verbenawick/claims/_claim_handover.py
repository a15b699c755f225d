"""Handover of all claim records before a planned stop."""

from collections import defaultdict
from dataclasses import dataclass

from verbenawick.claims._claim_messages import (
    ClaimHandover,
    ClaimHandoverAnswer,
    ProcessRef,
    RecordRow,
)
from verbenawick.claims._claim_records import ClaimTable, answer_size
from verbenawick.errors import (
    AnswerLostError,
    ClaimStoppingError,
    LinkClosedError,
)
from verbenawick.links._call_messages import next_call_id
from verbenawick.links._component import NodeIdentity, RequestPort
from verbenawick.links._members import Member, MemberView
from verbenawick.membership._rendezvous import find_owner
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

# Limits the size of a batch so that decoding it takes a few milliseconds and delays
# other calls for no longer than that.
MAX_BATCH_RECORDS = 256
MAX_BATCH_ANSWER_BYTES = 1024 * 1024
BATCH_TIMEOUT_S = 5.0


@register_event(604)
@dataclass(frozen=True, slots=True)
class ClaimsHandedOver(Event):
    """All claim records were handed over before a planned stop."""

    records: int
    batches: int


@register_event(605, level="WARNING")
@dataclass(frozen=True, slots=True)
class ClaimHandoverFailed(Event):
    """Some records were not handed over; the stop is treated as a crash."""

    reason: str
    remaining: int


class HandoverSender:
    """Sends the records of a frozen table to the members that own the keys next."""

    def __init__(
        self,
        identity: NodeIdentity,
        table: ClaimTable,
        *,
        members: MemberView,
        requests: RequestPort,
        clock: Clock,
    ):
        self._identity = identity
        self._table = table
        self._members = members
        self._requests = requests
        self._clock = clock
        # Nodes that refused because they are stopping too; they claim no new keys.
        self._excluded = {identity.node_id}
        self._grouping_key: tuple = ()
        self._keys_by_owner: dict[Member | None, list[str]] = {}

    def run(self, deadline: float) -> bool:
        """Return whether every record was accepted by its new owner.

        If not, the departure must be announced without `handed_over`, even when some
        records were accepted.
        """
        remaining = dict.fromkeys(self._table.keys())
        total, batches = len(remaining), 0
        while remaining:
            if self._clock.now() >= self._members.authority_deadline():
                # An outdated member table does not show the new owners.
                return _report_failure("authority ended", remaining)
            owner, keys = self._next_group(remaining)
            if owner is None:
                return _report_failure("no other member", remaining)
            batch = self._batch(keys)
            reason = self._send(owner, batch, deadline)
            if reason == ClaimStoppingError.code:
                self._excluded.add(owner.node_id)
            elif reason:
                return _report_failure(f"{owner.node_id}: {reason}", remaining)
            else:
                batches += 1
                for row in batch:
                    del remaining[row.key]
        emit(ClaimsHandedOver(total, batches))
        return True

    def _next_group(self, remaining) -> tuple[Member | None, list[str]]:
        """Return a new owner and a batch of its keys that were not sent yet."""
        members = self._members.members_of(self._identity.service_id)
        grouping_key = (members, frozenset(self._excluded))
        if grouping_key != self._grouping_key:
            self._grouping_key = grouping_key
            self._keys_by_owner = defaultdict(list)
            for key in remaining:
                owner = find_owner(key, members, excluded_ids=self._excluded)
                self._keys_by_owner[owner].append(key)
        owner, keys = next(iter(self._keys_by_owner.items()))
        first = [key for key in keys[:MAX_BATCH_RECORDS] if key in remaining]
        if first:
            return owner, first
        del keys[:MAX_BATCH_RECORDS]
        if not keys:
            del self._keys_by_owner[owner]
        return self._next_group(remaining)

    def _batch(self, keys: list[str]) -> tuple[RecordRow, ...]:
        """Return the records of the first `keys`, as many as fit into one message."""
        rows: list[RecordRow] = []
        answer_bytes = 0
        for key in keys:
            row = self._table.to_row(key)
            answer_bytes += answer_size(row.answer) if row.answer is not None else 0
            if rows and answer_bytes > MAX_BATCH_ANSWER_BYTES:
                break
            rows.append(row)
        return tuple(rows)

    def _send(self, owner: Member, rows: tuple[RecordRow, ...], deadline) -> str:
        """Send `rows` to `owner`; return the failure reason, or an empty string."""
        message = ClaimHandover(
            next_call_id(),
            self._identity.service_id,
            ProcessRef(self._identity.node_id, self._identity.incarnation),
            rows,
        )
        deadline = min(deadline, self._clock.now() + BATCH_TIMEOUT_S)
        try:
            answer = self._requests.request(owner, message, deadline=deadline)
        except (LinkClosedError, AnswerLostError) as error:
            return str(error)
        if not isinstance(answer, ClaimHandoverAnswer):
            return f"unexpected {type(answer).__name__}"
        return "" if answer.is_accepted else answer.reason or "refused"


def _report_failure(reason: str, remaining) -> bool:
    emit(ClaimHandoverFailed(reason, len(remaining)))
    return False
