"""Decides whether a call is within the allowance of its workspace, over all nodes."""

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event

from verbenawick.allowances._delegations import Delegations
from verbenawick.allowances._events import (
    ADMITTED,
    ANSWERED,
    ASKS,
    FAILED_ASKS,
    OWNED,
    REFUSED,
    RENEWALS,
    RETURNED,
    UNKNOWN,
    AllowanceAskFailed,
    AllowanceExceeded,
    AllowanceOwnerChanged,
)
from verbenawick.allowances._grants import GrantPool
from verbenawick.allowances._messages import (
    AllowanceAnswer,
    AllowanceAsk,
    AllowanceRelease,
)
from verbenawick.allowances._model import (
    AHEAD_S,
    DELEGATION_S,
    GRANT_S,
    Admission,
    Grant,
    Tolerance,
    group_of,
    limited_groups,
)
from verbenawick.allowances._owner import AllowanceOwner
from verbenawick.errors import (
    AllowanceUnknownError,
    AnswerLostError,
    LinkClosedError,
    OverAllowanceError,
)
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import next_call_id
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import Member
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import emit
from verbenawick.runtime._metrics import MetricSet
from verbenawick.workspaces._model import Workspace, Workspaces

# Longest wait of a call for a grant, seconds. A packet that is lost is sent again after
# 0.2 s; the next owner has no shares yet, so it is of use only if the first is lost.
GRANT_WAIT_S = 0.5
ASK_TIMEOUT_S = 0.45
MAX_OWNERS_ASKED = 2
# While an owner has less than this part of the shares, another one has the rest or will
# have it: what the first refuses is asked of the next.
WHOLE_FRACTION = 0.9
# While the owners that were asked have less than this part, the shares are on their way
# to one of them, and calls wait for it.
TAKEOVER_FRACTION = 0.5
TAKEOVER_POLL_S = 0.1
# Retry-after time if no owner answered, seconds. The next owner has shares when the
# delegations to the first have ended.
UNKNOWN_RETRY_AFTER_S = 0.6
RENEWAL_CHECK_S = 0.25
REPORT_INTERVAL_S = 5.0


@dataclass(eq=False, slots=True)
class _Waiter:
    """A call that waits for a grant of its workspace."""

    name: str
    answered: Event = field(default_factory=Event)


class Allowances:
    """Admits calls by grants of the owners, and answers the asks of other nodes.

    Parameters
    ----------
    epoch : int
        Number of this process, not 0.
    node_ids : callable
        Returns the ids of all known nodes, this one included.
    is_reachable : callable
        Returns whether a link to another node is open or may be opened.
    connect : callable
        Returns the member of another node after opening a link if there is none; None
        if there is still none.
    process_began_at : float or None
        When this process began, which is after the end of the node's earlier one; now
        if None.
    tolerance : Tolerance or None
        By how much allowances may be passed; None for not at all.
    """

    def __init__(
        self,
        *,
        node_id: str,
        epoch: int,
        links: CallLinks,
        clock: Clock,
        metrics: MetricSet,
        node_ids: Callable[[], frozenset[str]],
        is_reachable: Callable[[str], bool],
        connect: Callable[[str], Member | None],
        process_began_at: float | None = None,
        tolerance: Tolerance | None = None,
    ):
        self._node_id = node_id
        self._epoch = epoch
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._node_ids = node_ids
        self._is_other_reachable = is_reachable
        self._connect = connect
        self._owner = AllowanceOwner(epoch=epoch, tolerance=tolerance)
        began_at = clock.now() if process_began_at is None else process_began_at
        self._delegations = Delegations(starts_at=began_at + DELEGATION_S)
        self._pool = GrantPool()
        self._groups: frozenset[int] = frozenset()
        self._waiters_by_group: dict[int, list[_Waiter]] = {}
        self._asking_groups: set[int] = set()
        self._holders_by_group: dict[int, str] = {}
        self._changed_at_by_group: dict[int, float] = {}
        self._next_report_at = 0.0
        self._task = None
        links.register_handler(
            AllowanceAsk, self._on_ask, is_cancellable=lambda message: False
        )
        links.register_notice(AllowanceRelease, self._on_release)

    def put_in_force(self, workspaces: Workspaces | None) -> None:
        """Follow the limits of a version."""
        self._groups = limited_groups(workspaces)
        self._pool.retain(set(workspaces.by_name) if workspaces else set())
        self._owner.put_in_force(workspaces, self._clock.now())
        if self._groups and self._task is None:
            self._task = eventlet.spawn(self._run)

    def admit(self, workspace: Workspace, *, deadline: float) -> Admission:
        """Decide about one request, after a short wait for a grant if necessary."""
        if workspace.rate_per_s <= 0:
            return Admission()
        name, now = workspace.name, self._clock.now()
        self._pool.count_request(name, now)
        grant = self._pool.take(name, now)
        if grant is None and self._pool.is_refusing(name, now):
            return self._refusal(name, OverAllowanceError.code)
        if grant is None:
            grant = self._wait_for_grant(name, min(deadline, now + GRANT_WAIT_S) - now)
        if isinstance(grant, str):
            return self._refusal(name, grant)
        self._metrics.count(ADMITTED)
        return Admission(grant)

    def give_back(self, admission: Admission) -> None:
        """Make the grant of a request that did not run usable again."""
        grant = admission.grant
        if grant is not None and self._pool.give_back(grant, self._clock.now()):
            self._metrics.count(RETURNED)

    def release(self) -> None:
        """Grant nothing more to any node, since this one stops."""
        self._owner.release()
        if self._task is not None:
            self._links.notify_all(AllowanceRelease(self._epoch))

    def close(self) -> None:
        """Stop renewing delegations."""
        if self._task is not None:
            self._task.kill()

    def _refusal(self, name: str, code: str) -> Admission:
        if code == AllowanceUnknownError.code:
            self._metrics.count(UNKNOWN)
            return Admission(None, code, UNKNOWN_RETRY_AFTER_S)
        self._metrics.count(REFUSED)
        return Admission(None, code, self._pool.retry_after_s(name, self._clock.now()))

    def _wait_for_grant(self, name: str, timeout_s: float) -> Grant | str:
        """Return a grant, or the code of the refusal."""
        group = group_of(name)
        waiter = _Waiter(name)
        waiters = self._waiters_by_group.setdefault(group, [])
        waiters.append(waiter)
        if group not in self._asking_groups:
            self._asking_groups.add(group)
            eventlet.spawn(self._ask_for_waiters, group)
        try:
            result = waiter.answered.wait(timeout=max(timeout_s, 0.0))
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
        return result or AllowanceUnknownError.code

    def _run(self) -> None:
        while True:
            now = self._clock.now()
            self._delegations.put_nodes(self._node_ids(), now)
            for group in self._groups - self._asking_groups:
                if self._delegations.is_due(group, now):
                    self._asking_groups.add(group)
                    self._metrics.count(RENEWALS)
                    eventlet.spawn(self._ask_for_waiters, group)
            for owner_id in self._delegations.owners_to_probe(now):
                eventlet.spawn(
                    self._exchange, owner_id, AllowanceAsk(next_call_id(), 0)
                )
            self._report(now)
            eventlet.sleep(RENEWAL_CHECK_S)

    def _ask_for_waiters(self, group: int) -> None:
        """Ask until no call of the group waits; calls leave after `GRANT_WAIT_S`."""
        try:
            while True:
                is_decided = self._ask_owners(group, self._unanswered(group))
                if not self._unanswered(group):
                    return
                if not is_decided:
                    eventlet.sleep(TAKEOVER_POLL_S)
        finally:
            self._asking_groups.discard(group)

    def _unanswered(self, group: int) -> list[_Waiter]:
        waiters = self._waiters_by_group.get(group, ())
        return [waiter for waiter in waiters if not waiter.answered.ready()]

    def _ask_owners(self, group: int, waiters: list[_Waiter]) -> bool:
        """Ask up to two owners for the calls that wait, and answer these.

        Returns
        -------
        bool
            False if the calls without a grant have to wait until an owner has shares.
        """
        fraction = 0.0
        asked_ids: set[str] = set()
        answered_ids: set[str] = set()
        refusals_by_name: dict[str, tuple[float, float]] = {}
        for _ in range(MAX_OWNERS_ASKED):
            now = self._clock.now()
            owners = self._delegations.owners_to_ask(group, now, self._is_reachable)
            owner_id = next((o for o in owners if o not in asked_ids), None)
            if owner_id is None:
                break
            asked_ids.add(owner_id)
            ask = self._ask_for(group, owner_id, waiters, now)
            self._log_owner(group, now)
            answer = self._exchange(owner_id, ask)
            if answer is None:
                continue
            answered_ids.add(owner_id)
            fraction += answer.fraction
            refusals_by_name = answer.refusals_by_name
            self._use(answer, sent_at=now)
            self._distribute(group)
            waiters = [waiter for waiter in waiters if not waiter.answered.ready()]
            if not waiters or answer.fraction >= WHOLE_FRACTION:
                break
        now = self._clock.now()
        if fraction < TAKEOVER_FRACTION:
            if self._is_taken_over(group, answered_ids, now):
                return False
        for name, (retry_in_s, spacing_s) in refusals_by_name.items():
            self._pool.put_refusal(name, retry_in_s, spacing_s, now)
        for waiter in waiters:
            _answer(waiter, OverAllowanceError.code)
        return True

    def _is_taken_over(self, group: int, answered_ids: set[str], now: float) -> bool:
        """Return whether the owner of a group has just changed, or is about to."""
        if self._delegations.holder(group, now) not in answered_ids:
            return True
        return now < self._changed_at_by_group.get(group, now) + DELEGATION_S

    def _is_reachable(self, node_id: str) -> bool:
        return node_id == self._node_id or self._is_other_reachable(node_id)

    def _ask_for(
        self, group: int, owner_id: str, waiters: list[_Waiter], now: float
    ) -> AllowanceAsk:
        delegation = self._delegations.delegate(
            group, owner_id, now, self._is_reachable
        )
        waiting_by_name: dict[str, int] = {}
        for waiter in waiters:
            waiting_by_name[waiter.name] = waiting_by_name.get(waiter.name, 0) + 1
        expected_by_name = {
            name: expected
            for name in waiting_by_name
            if (expected := self._pool.expected(name, now))
        }
        return AllowanceAsk(
            next_call_id(),
            group,
            delegation.epoch,
            delegation.node_count,
            delegation.until,
            waiting_by_name,
            expected_by_name,
        )

    def _exchange(self, owner_id: str, ask: AllowanceAsk) -> AllowanceAnswer | None:
        """Return the answer of an owner that grants, else None."""
        sent_at = self._clock.now()
        if owner_id == self._node_id:
            answer = self._owner.answer(owner_id, ask, sent_at)
        else:
            answer = self._request(owner_id, ask)
        now = self._clock.now()
        if answer is None:
            self._delegations.on_failure(owner_id, now)
            return None
        self._delegations.on_answer(
            owner_id, answer.epoch, answer.clock, sent_at=sent_at, now=now
        )
        return answer if answer.epoch else None

    def _request(self, owner_id: str, ask: AllowanceAsk) -> AllowanceAnswer | None:
        deadline = self._clock.now() + ASK_TIMEOUT_S
        member = self._connect(owner_id)
        if member is None:
            return None
        self._metrics.count(ASKS)
        try:
            return self._links.request(member, ask, deadline=deadline)
        except (AnswerLostError, LinkClosedError) as error:
            self._metrics.count(FAILED_ASKS)
            emit(AllowanceAskFailed(ask.group, owner_id, error.code))
            return None

    def _use(self, answer: AllowanceAnswer, *, sent_at: float) -> None:
        now = self._clock.now()
        for name, count in answer.granted_by_name.items():
            self._pool.add(name, count, sent_at + GRANT_S, now)
        for name, count in answer.ahead_by_name.items():
            self._pool.add(name, count, sent_at + AHEAD_S, now)

    def _distribute(self, group: int) -> None:
        """Give the grants to the calls that wait."""
        now = self._clock.now()
        for waiter in self._waiters_by_group.get(group, ()):
            if not waiter.answered.ready():
                grant = self._pool.take(waiter.name, now)
                if grant is not None:
                    _answer(waiter, grant)

    def _on_ask(
        self, peer: NodeIdentity, ask: AllowanceAsk, sent_at: float
    ) -> AllowanceAnswer:
        self._metrics.count(ANSWERED)
        return self._owner.answer(peer.node_id, ask, self._clock.now())

    def _on_release(self, peer: NodeIdentity, release: AllowanceRelease) -> None:
        now = self._clock.now()
        self._delegations.on_release(peer.node_id, release.epoch, now)

    def _log_owner(self, group: int, now: float) -> None:
        holder = self._delegations.holder(group, now)
        earlier = self._holders_by_group.get(group, "")
        if holder != earlier:
            self._holders_by_group[group] = holder
            self._changed_at_by_group[group] = now
            emit(AllowanceOwnerChanged(group, holder, earlier))

    def _report(self, now: float) -> None:
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL_S
        owned = list(self._owner.owned(now))
        self._metrics.gauge(OWNED, len(owned))
        for bucket, nodes in owned:
            granted, refused = bucket.take_counts()
            if refused:
                workspace = bucket.workspace
                emit(
                    AllowanceExceeded(
                        workspace.name,
                        workspace.rate_per_s,
                        workspace.burst,
                        round(bucket.fraction, 3),
                        nodes,
                        granted,
                        refused,
                    )
                )


def _answer(waiter: _Waiter, result: Grant | str) -> None:
    if not waiter.answered.ready():
        waiter.answered.send(result)
