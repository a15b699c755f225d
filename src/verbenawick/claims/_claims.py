"""Claim coordinator: at-most-once execution for the keys that a node owns.

The rules are in section 5.1 of docs/design.md and, for operators, in
docs/at-most-once.md.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from verbenawick.calls._gateway import ClaimDecision, ClaimVerdict
from verbenawick.claims._claim_handover import HandoverSender
from verbenawick.claims._claim_messages import (
    ClaimHandover,
    ClaimHandoverAnswer,
    ClaimState,
    ProcessRef,
    RecordRow,
    SealAnswer,
    SealRequest,
    SealVerdict,
)
from verbenawick.claims._claim_records import ClaimLimits, ClaimRecord, ClaimTable
from verbenawick.errors import (
    AnswerLostError,
    AuthorityEndedError,
    ClaimAnswerNotKeptError,
    ClaimDeadlineError,
    ClaimError,
    ClaimInProgressError,
    ClaimKeyError,
    ClaimKeyReusedError,
    ClaimOutcomeUnknownError,
    ClaimStoppingError,
    ClaimTakenError,
    EarlierOwnerDepartedError,
    EarlierOwnerLostError,
    EarlierOwnerUnreachableError,
    LinkClosedError,
    NotOwnerError,
)
from verbenawick.links._call_messages import CallAnswer, next_call_id
from verbenawick.links._component import NodeIdentity, RequestPort
from verbenawick.links._members import DepartedMember, Member, MemberView
from verbenawick.links._messages import Message
from verbenawick.membership._rendezvous import (
    find_owner,
    possible_earlier_owners,
    score_of,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

# Time after the removal of a member within which it may return: if only its heartbeats
# were late, it registers again with the next one.
RETURN_TIME_S = 5.0


@register_event(602, level="DEBUG")
@dataclass(frozen=True, slots=True)
class ClaimNotMade(Event):
    """A key was not claimed; the reason contains the error code."""

    key: str
    attempt: int
    reason: str


@register_event(603, level="WARNING")
@dataclass(frozen=True, slots=True)
class ClaimNotConfirmed(Event):
    """A claim was no longer valid when its request was about to be written."""

    key: str
    reason: str


@dataclass(slots=True)
class PendingClaim:
    """Claim that is waiting for the answers of earlier owners.

    Attributes
    ----------
    is_taken : bool
        Whether this node promised the key to another one while it was waiting.
    """

    fingerprint: bytes
    is_taken: bool = False


@dataclass(slots=True)
class EarlierOwners:
    """Earlier owners of a key: members that were not asked yet, departed members."""

    present: list[Member] = field(default_factory=list)
    departed: list[DepartedMember] = field(default_factory=list)


class ClaimCoordinator:
    """Implements `ClaimPort` for the service of one node.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this process.
    members : MemberView
        Member table. It must list this process together with the members that joined
        before it, and must be at least as recent as the confirmation from which it
        derives `authority_deadline`. A table that lists a departure must also list all
        members that the departed node knew.
    requests : RequestPort
        Sends requests to the other claim coordinators; may switch green threads.
    map_function : callable
        ``map`` or a concurrent equivalent, used to ask several earlier owners.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        *,
        members: MemberView,
        requests: RequestPort,
        clock: Clock,
        limits: ClaimLimits | None = None,
        map_function: Callable[[Callable, Iterable], Iterable] = map,
    ):
        self._identity = identity
        self._self_ref = ProcessRef(identity.node_id, identity.incarnation)
        self._members = members
        self._requests = requests
        self._clock = clock
        self._limits = limits or ClaimLimits()
        self._map_function = map_function
        self._table = ClaimTable(clock, self._limits)
        self._pending_by_key: dict[str, PendingClaim] = {}
        self._deadlines_by_key: dict[str, float] = {}
        self._is_stopping = False
        self._is_handing_over = False

    @property
    def table(self) -> ClaimTable:
        """Records of this node."""
        return self._table

    # Entry and gateway (`ClaimPort`)

    def owner_of(self, service_id: str, key: str) -> Member | None:
        """Return the member that owns `key`; None when the service has no member."""
        return find_owner(key, self._members.members_of(service_id))

    def begin(
        self, key: str, *, fingerprint: bytes, attempt: int, deadline: float
    ) -> ClaimDecision:
        """Claim `key` or return why it cannot be claimed; see `ClaimPort.begin`.

        A refusal is `REFUSED` only for a first attempt. A later attempt gets `UNKNOWN`
        with the code of the refusal, since an earlier attempt may have run.
        """
        try:
            return self._begin(key, fingerprint, attempt, deadline)
        except ClaimError as error:
            emit(ClaimNotMade(key, attempt, str(error)))
            if isinstance(error, ClaimInProgressError):
                verdict = ClaimVerdict.IN_PROGRESS
            elif error.proves_not_run and attempt <= 1:
                verdict = ClaimVerdict.REFUSED
            else:
                verdict = ClaimVerdict.UNKNOWN
            return ClaimDecision(verdict, code=error.code)

    def confirm(self, key: str) -> bool:
        """Return whether the claim is still valid; see `ClaimPort.confirm`."""
        reason = self._unconfirmed_reason(key)
        if reason:
            emit(ClaimNotConfirmed(key, reason))
        return not reason

    def finish(self, key: str, answer: CallAnswer) -> None:
        """Record the complete response of the claimed request."""
        self._deadlines_by_key.pop(key, None)
        self._table.finish(key, answer)

    def release(self, key: str) -> None:
        """Release the claim of a request that is proven not to have run."""
        self._deadlines_by_key.pop(key, None)
        record = self._table.get(key)
        if self._is_handing_over:
            # The record may already have been sent as unknown; both copies must agree.
            self._table.mark_unknown(key)
        elif record is not None and record.state is ClaimState.CLAIMED:
            self._table.remove(key)

    def mark_unknown(self, key: str) -> None:
        """Record that the claimed request may have run."""
        self._deadlines_by_key.pop(key, None)
        self._table.mark_unknown(key)

    # Requests from other claim coordinators

    def answer_to(self, message: Message) -> Message | None:
        """Return the answer to a message of another claim coordinator; never blocks.

        Returns None when `message` is not of a type that claim coordinators exchange.
        """
        if isinstance(message, SealRequest):
            return self._answer_seal(message)
        if isinstance(message, ClaimHandover):
            return self._answer_handover(message)
        return None

    # Planned stop

    @property
    def running_claims(self) -> int:
        """Number of claimed keys whose outcome was not reported yet."""
        return len(self._deadlines_by_key)

    def stop_claiming(self) -> None:
        """Refuse new claims; running ones go on and seal requests are answered."""
        self._is_stopping = True

    def hand_over(self, deadline: float) -> bool:
        """Send all records to their new owners; return whether all were accepted.

        Must be called once, when the calls in flight have ended. The node writes no
        claimed request after this, and a claim that is still running is handed over as
        unknown. The departure may be announced as handed over only if this returns
        True.
        """
        self._is_stopping = True
        self._is_handing_over = True
        sender = HandoverSender(
            self._identity,
            self._table,
            members=self._members,
            requests=self._requests,
            clock=self._clock,
        )
        return sender.run(deadline)

    def has_authority(self) -> bool:
        """Return whether the membership was confirmed recently enough to claim."""
        return self._clock.now() < self._members.authority_deadline()

    # Claiming

    def _begin(self, key, fingerprint, attempt, deadline) -> ClaimDecision:
        if not 0 < len(key) <= self._limits.max_key_length:
            raise ClaimKeyError(
                f"an idempotency key has 1 to {self._limits.max_key_length} characters",
                step="claim.key",
            )
        decision = self._decide_by_record(key, fingerprint)
        if decision is not None:
            return decision
        pending = self._pending_by_key.get(key)
        if pending is not None:
            _check_same_request(pending.fingerprint, fingerprint)
            raise ClaimInProgressError("the key is being claimed", step="claim.begin")
        pending = self._pending_by_key[key] = PendingClaim(fingerprint)
        try:
            return self._claim(key, pending, attempt, deadline)
        finally:
            del self._pending_by_key[key]

    def _claim(self, key, pending, attempt, deadline) -> ClaimDecision:
        asked: set[ProcessRef] = {self._self_ref}
        while True:
            # Asking may switch green threads, so all conditions are checked again after
            # it. The last iteration asks no node and claims the key without a switch.
            self._check_claim_allowed(key, pending, deadline)
            earlier = self._earlier_owners(key, asked)
            if not earlier.present:
                break
            self._ask_to_seal(key, earlier.present, asked, deadline)
            decision = self._decide_by_record(key, pending.fingerprint)
            if decision is not None:
                return decision
        for departed in earlier.departed:
            self._check_departed(departed, attempt)
        self._table.claim(key, pending.fingerprint)
        self._deadlines_by_key[key] = deadline
        return ClaimDecision(ClaimVerdict.RUN)

    def _decide_by_record(self, key: str, fingerprint: bytes) -> ClaimDecision | None:
        record = self._table.get(key)
        if record is None or record.state is ClaimState.SEALED:
            return None
        _check_same_request(record.fingerprint, fingerprint)
        if record.state is ClaimState.CLAIMED:
            raise ClaimInProgressError("the request is running", step="claim.begin")
        if record.state is ClaimState.UNKNOWN:
            raise ClaimOutcomeUnknownError(
                "an earlier request with this key may have run", step="claim.begin"
            )
        if record.answer is None:
            raise ClaimAnswerNotKeptError(
                "an earlier request with this key ran; its response is not kept",
                step="claim.begin",
            )
        return ClaimDecision(ClaimVerdict.RECORDED, record.answer)

    def _check_claim_allowed(self, key, pending: PendingClaim, deadline: float) -> None:
        if pending.is_taken:
            raise ClaimTakenError(
                "another node claims the key; send it again", step="claim.seal"
            )
        if self._is_stopping:
            raise ClaimStoppingError("the node is about to stop", step="claim.begin")
        if self._clock.now() >= deadline:
            raise ClaimDeadlineError("the deadline has passed", step="claim.begin")
        if not self.has_authority():
            raise AuthorityEndedError(
                "the membership of this node was not confirmed for "
                f"{self._limits.authority_s:.0f} s",
                step="claim.begin",
            )
        self._check_ownership(key)
        if self._table.get(key) is None:
            self._table.ensure_capacity()

    def _check_ownership(self, key: str) -> None:
        own = self._members.member(self._identity.node_id)
        if own is None or own.incarnation != self._identity.incarnation:
            raise NotOwnerError(
                "this process is not in its own member table yet", step="claim.begin"
            )
        owner = self.owner_of(self._identity.service_id, key)
        if owner is None or owner.node_id != self._identity.node_id:
            raise NotOwnerError(
                "the key has another owner; refresh the member table and send it again",
                step="claim.begin",
                peer=owner.node_id if owner else "",
            )

    # Earlier owners

    def _earlier_owners(self, key: str, asked: set[ProcessRef]) -> EarlierOwners:
        """Return possible earlier owners of `key`, without those already asked."""
        earlier = EarlierOwners()
        service_id = self._identity.service_id
        for candidate in possible_earlier_owners(
            key,
            self._members.members_of(service_id),
            self._members.departed_of(service_id),
        ):
            if ProcessRef(candidate.node_id, candidate.incarnation) not in asked:
                _add_owner(earlier, candidate)
        record = self._table.get(key)
        if record is not None:
            age_s = self._clock.now() - record.created_at
            for ref in record.sealers:
                if ref not in asked:
                    self._add_sealer(earlier, ref, age_s)
        return earlier

    def _add_sealer(
        self, earlier: EarlierOwners, ref: ProcessRef, age_s: float
    ) -> None:
        """Add a process that sealed the key and may have claimed it since then."""
        member = self._members.member(ref.node_id)
        if member is not None and member.incarnation == ref.incarnation:
            _add_owner(earlier, member)
            return
        for departed in self._members.departed_of(self._identity.service_id):
            if ProcessRef(departed.node_id, departed.incarnation) == ref:
                _add_owner(earlier, departed)
                return
        # Neither a member nor departed: this node's table does not list the process
        # yet, or no longer. The second horizon allows for an outdated table.
        if age_s <= 2 * self._limits.horizon_s:
            raise EarlierOwnerUnreachableError(
                "a node that asked for the key is not in the member table",
                step="claim.seal",
                peer=ref.node_id,
            )

    def _ask_to_seal(self, key, owners, asked: set[ProcessRef], deadline) -> None:
        """Ask `owners` for records or promises; add those that answered to `asked`."""
        seal_deadline = min(deadline, self._clock.now() + self._limits.seal_timeout_s)

        def ask(owner: Member) -> SealAnswer | ClaimError:
            return self._request_seal(owner, key, seal_deadline)

        errors: list[ClaimError] = []
        for owner, answer in zip(
            owners, self._map_function(ask, list(owners)), strict=True
        ):
            try:
                self._apply_seal_answer(key, owner, answer)
                asked.add(ProcessRef(owner.node_id, owner.incarnation))
            except ClaimError as error:
                errors.append(error)
        # A record from one owner decides, even when another owner did not answer.
        if errors and not self._has_claim_record(key):
            raise errors[0]

    def _request_seal(self, owner: Member, key, deadline) -> SealAnswer | ClaimError:
        request = SealRequest(
            next_call_id(),
            self._identity.service_id,
            key,
            self._self_ref,
            owner.incarnation,
        )
        try:
            answer = self._requests.request(owner, request, deadline=deadline)
        except (LinkClosedError, AnswerLostError) as error:
            return _unreachable(owner, str(error))
        if not isinstance(answer, SealAnswer):
            return _unreachable(owner, f"unexpected {type(answer).__name__}")
        return answer

    def _apply_seal_answer(self, key, owner: Member, answer) -> None:
        if isinstance(answer, ClaimError):
            raise answer
        if answer.verdict is SealVerdict.REFUSED:
            raise _unreachable(owner, answer.reason)
        if answer.verdict is SealVerdict.IN_PROGRESS:
            raise ClaimInProgressError(
                "an earlier owner is running the request",
                step="claim.seal",
                peer=owner.node_id,
            )
        if answer.verdict is SealVerdict.RECORDED and answer.record is not None:
            self._table.merge(answer.record, sender=owner.node_id)
            return
        others = tuple(ref for ref in answer.earlier_sealers if ref != self._self_ref)
        if others:
            self._table.merge(_seal_row(key, others, answer.age_s))

    def _check_departed(self, departed: DepartedMember, attempt: int) -> None:
        if departed.handed_over:
            return
        if attempt > 1:
            raise ClaimOutcomeUnknownError(
                "an earlier owner departed without handing over its records",
                step="claim.departed",
                peer=departed.node_id,
            )
        safe_at = departed.departed_at + self._limits.longest_call_s
        if not departed.process_ended:
            safe_at += self._limits.authority_s
        now = self._clock.now()
        if not departed.process_ended and now < departed.departed_at + RETURN_TIME_S:
            raise EarlierOwnerLostError(
                "an earlier owner was lost and may return",
                step="claim.departed",
                peer=departed.node_id,
            )
        wait_s = safe_at - now
        if wait_s > 0:
            raise EarlierOwnerDepartedError(
                "an earlier owner departed and may still run the request for "
                f"{wait_s:.0f} s",
                step="claim.departed",
                peer=departed.node_id,
            )

    def _has_claim_record(self, key: str) -> bool:
        record = self._table.get(key)
        return record is not None and record.state is not ClaimState.SEALED

    def _unconfirmed_reason(self, key: str) -> str:
        record: ClaimRecord | None = self._table.get(key)
        if record is None or record.state is not ClaimState.CLAIMED:
            return "not claimed"
        if self._is_handing_over:
            return "handing over"
        if self._clock.now() >= self._deadlines_by_key.get(key, 0.0):
            return "deadline passed"
        return "" if self.has_authority() else "authority ended"

    # Answers to requests from other claim coordinators

    def _answer_seal(self, request: SealRequest) -> SealAnswer:
        try:
            return self._seal(request)
        except ClaimError as error:
            return SealAnswer(
                request.call_id, SealVerdict.REFUSED, error.code, None, (), 0.0
            )

    def _seal(self, request: SealRequest) -> SealAnswer:
        if (
            request.receiver_incarnation != self._identity.incarnation
            or request.service_id != self._identity.service_id
        ):
            raise NotOwnerError(
                "the seal request is for another process or service",
                step="claim.answer-seal",
            )
        key = request.key
        record = self._table.get(key)
        if record is not None and record.state is not ClaimState.SEALED:
            if record.state is ClaimState.CLAIMED:
                return self._seal_answer(request, SealVerdict.IN_PROGRESS)
            return self._seal_answer(
                request, SealVerdict.RECORDED, record=self._table.to_row(key)
            )
        if self._is_handing_over:
            # The records already sent would not contain a seal that is given now.
            raise ClaimStoppingError(
                "the node is handing over its records", step="claim.answer-seal"
            )
        pending = self._pending_by_key.get(key)
        if pending is not None:
            # When two nodes ask each other, the one with the higher score proceeds.
            if self._outranks(key, request.sealer):
                return self._seal_answer(request, SealVerdict.IN_PROGRESS)
            pending.is_taken = True
        earlier_sealers, age_s = self._table.seal(key, request.sealer)
        return self._seal_answer(
            request, SealVerdict.SEALED, earlier_sealers=earlier_sealers, age_s=age_s
        )

    def _outranks(self, key: str, other: ProcessRef) -> bool:
        own, rival = self._self_ref, other
        return (score_of(key, own.node_id), own.incarnation) > (
            score_of(key, rival.node_id),
            rival.incarnation,
        )

    @staticmethod
    def _seal_answer(request, verdict, *, record=None, earlier_sealers=(), age_s=0.0):
        return SealAnswer(request.call_id, verdict, "", record, earlier_sealers, age_s)

    def _answer_handover(self, message: ClaimHandover) -> ClaimHandoverAnswer:
        try:
            self._merge_handover(message)
        except ClaimError as error:
            return ClaimHandoverAnswer(message.call_id, False, error.code)
        return ClaimHandoverAnswer(message.call_id, True, "")

    def _merge_handover(self, message: ClaimHandover) -> None:
        if self._is_handing_over:
            raise ClaimStoppingError(
                "the node is handing over its records", step="claim.answer-handover"
            )
        if message.service_id != self._identity.service_id:
            raise NotOwnerError(
                "the records are of another service", step="claim.answer-handover"
            )
        for row in message.records:
            self._table.merge(
                _without_sealer(row, self._self_ref), sender=message.sender.node_id
            )


def _check_same_request(recorded: bytes, fingerprint: bytes) -> None:
    if recorded != fingerprint:
        raise ClaimKeyReusedError(
            "the key belongs to a request with another method, target or body; "
            "use a new key for a new request",
            step="claim.begin",
        )


def _add_owner(earlier: EarlierOwners, owner: Member | DepartedMember) -> None:
    owners = earlier.present if isinstance(owner, Member) else earlier.departed
    if owner not in owners:
        owners.append(owner)


def _unreachable(owner: Member, reason: str) -> EarlierOwnerUnreachableError:
    return EarlierOwnerUnreachableError(
        f"an earlier owner did not seal the key: {reason}",
        step="claim.seal",
        peer=owner.node_id,
    )


def _seal_row(key: str, sealers: tuple[ProcessRef, ...], age_s: float) -> RecordRow:
    return RecordRow(key, b"", ClaimState.SEALED, None, age_s, sealers)


def _without_sealer(row: RecordRow, ref: ProcessRef) -> RecordRow:
    if row.state is not ClaimState.SEALED:
        return row
    sealers = tuple(other for other in row.sealers if other != ref)
    return _seal_row(row.key, sealers, row.age_s)
