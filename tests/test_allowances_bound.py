"""Model test: all nodes together never admit more than the allowance of a workspace.

The real decisions of four nodes run on clocks of their own, without a network. Messages
are delivered in any order, late, twice or not at all.
"""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from verbenawick.allowances._delegations import Delegations
from verbenawick.allowances._grants import GrantPool
from verbenawick.allowances._messages import AllowanceAnswer, AllowanceAsk
from verbenawick.allowances._model import AHEAD_S, DELEGATION_S, GRANT_S, group_of
from verbenawick.allowances._owner import AllowanceOwner
from verbenawick.membership._rendezvous import score_of
from verbenawick.workspaces._model import Workspace, Workspaces

NAME = "acme"
GROUP = group_of(NAME)
NODE_IDS = ("a", "b", "c", "d")
# A node that is gone, which some nodes still know.
DEPARTED_ID = "e"
WINDOW_S = 5.0
# Shares of the bursts are whole requests, so that no owner holds more than its share.
LIMITS = ((2.0, 5.0), (10.0, 10.0), (40.0, 20.0))

RANKED_IDS = sorted(
    NODE_IDS, key=lambda n: score_of(f"allowances/{GROUP}", n), reverse=True
)
# Most failures matter only at the owners.
nodes = st.sampled_from((*RANKED_IDS, *RANKED_IDS[:2], *RANKED_IDS[:2]))
waiting_requests = st.sampled_from((0, 1, 8, 60))


@dataclass(eq=False)
class Process:
    """One process of a node."""

    node_id: str
    epoch: int
    delegations: Delegations
    owner: AllowanceOwner
    pool: GrantPool = field(default_factory=GrantPool)


@dataclass(eq=False)
class Sent:
    """A message in transit from a process, and when its ask was sent there."""

    sender: Process
    owner_id: str
    message: AllowanceAsk | AllowanceAnswer | int
    sent_at: float


class AllowanceMachine(RuleBasedStateMachine):
    """Nodes, clocks and messages in transit."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.offsets_by_id = {
            node_id: 1000.0 * index for index, node_id in enumerate(NODE_IDS)
        }
        self.epochs = 0
        self.limits_by_id = dict.fromkeys(NODE_IDS, LIMITS[1])
        # Each limit with the last time at which a node had it in force.
        self.seen_limits: dict[tuple[float, float], float] = {}
        self.processes_by_id: dict[str, Process] = {}
        self.cut_ids: set[str] = set()
        self.in_transit: list[Sent] = []
        self.admitted_at: list[float] = []
        for node_id in NODE_IDS:
            self.start(node_id)

    @initialize()
    def delegate(self):
        """Let most buckets fill before anything fails."""
        for _ in range(10):
            self.advance(0.6)
            for node_id in NODE_IDS:
                self.exchange(node_id, 0, False)

    def at(self, node_id: str) -> float:
        """Return the time on the clock of a node."""
        return self.now + self.offsets_by_id[node_id]

    def start(self, node_id: str) -> None:
        """Start a process, which replaces the one before."""
        self.epochs += 1
        now = self.at(node_id)
        process = Process(
            node_id,
            self.epochs,
            Delegations(starts_at=now + DELEGATION_S),
            AllowanceOwner(epoch=self.epochs),
        )
        process.delegations.put_nodes(frozenset(NODE_IDS), now)
        self.processes_by_id[node_id] = process
        self.put_in_force(node_id, self.limits_by_id[node_id])

    @rule(node_id=nodes, limit=st.sampled_from(LIMITS))
    def put_in_force(self, node_id, limit):
        """Put a version in force on one node."""
        self.seen_limits[self.limits_by_id[node_id]] = self.now
        self.limits_by_id[node_id] = limit
        workspaces = Workspaces({NAME: Workspace(NAME, None, *limit)})
        process = self.processes_by_id[node_id]
        process.owner.put_in_force(workspaces, self.at(node_id))

    @rule(seconds=st.sampled_from((0.05, 0.2, 0.6, 1.1, 2.5)))
    def advance(self, seconds):
        """Let time pass on all clocks."""
        self.now += seconds

    @rule(
        busy=st.sampled_from((NODE_IDS, RANKED_IDS[:1], RANKED_IDS[1:], ())),
        steps=st.integers(1, 12),
        is_admitting=st.booleans(),
    )
    def serve(self, busy, steps, is_admitting):
        """Let callers send to some nodes for some time."""
        for _ in range(steps):
            for node_id in NODE_IDS:
                self.exchange(node_id, 60 if node_id in busy else 0, is_admitting)
            self.stays_within_the_allowance()
            self.holds_shares_once()
            self.advance(0.25)

    @rule(node_id=nodes)
    def restart(self, node_id):
        """Kill the process of a node and start the next one."""
        self.start(node_id)

    @rule(node_id=nodes)
    def release(self, node_id):
        """Stop granting at a node, which tells the others."""
        process = self.processes_by_id[node_id]
        process.owner.release()
        now = self.at(node_id)
        for other_id in NODE_IDS:
            self.in_transit.append(Sent(process, other_id, process.epoch, now))

    @rule(node_id=nodes)
    def cut_or_rejoin(self, node_id):
        """Cut a node off, or end its cut."""
        self.cut_ids ^= {node_id}

    @rule(node_id=nodes, knows_departed=st.booleans())
    def change_view(self, node_id, knows_departed):
        """Change the number of nodes that a node knows."""
        ids = {*NODE_IDS, DEPARTED_ID} if knows_departed else set(NODE_IDS)
        delegations = self.processes_by_id[node_id].delegations
        delegations.put_nodes(frozenset(ids), self.at(node_id))

    @rule(node_id=nodes, waiting=waiting_requests)
    def send_ask(self, node_id, waiting):
        """Send an ask that is delivered at any later time."""
        sent = self.ask(node_id, waiting)
        if sent is not None:
            self.in_transit.append(sent)

    @rule(node_id=nodes, waiting=waiting_requests, is_admitting=st.booleans())
    def exchange(self, node_id, waiting, is_admitting):
        """Ask and get the answer at once; admit what was granted, or keep it."""
        process, now = self.processes_by_id[node_id], self.at(node_id)
        for owner_id in process.delegations.owners_to_probe(now):
            if owner_id in NODE_IDS and not {node_id, owner_id} & self.cut_ids:
                probe = Sent(process, owner_id, AllowanceAsk(1, GROUP), now)
                self.receive(self.answered(probe))
        sent = self.ask(node_id, waiting)
        if sent is None:
            return
        if {node_id, sent.owner_id} & self.cut_ids and node_id != sent.owner_id:
            sent.sender.delegations.on_failure(sent.owner_id, self.at(node_id))
            return
        self.receive(self.answered(sent))
        if is_admitting:
            self.admit(node_id, 60)

    @rule(data=st.data(), fate=st.sampled_from(("once", "twice", "never")))
    def deliver(self, data, fate):
        """Deliver any message in transit, perhaps once more later, or lose it."""
        if not self.in_transit:
            return
        sent = data.draw(st.sampled_from(self.in_transit))
        if fate != "twice" or isinstance(sent.message, AllowanceAnswer):
            self.in_transit.remove(sent)
        sender, receiver = sent.sender, self.processes_by_id[sent.owner_id]
        if isinstance(sent.message, int):
            if fate != "never":
                now = self.at(sent.owner_id)
                receiver.delegations.on_release(sender.node_id, sent.message, now)
        elif fate == "never":
            sender.delegations.on_failure(sent.owner_id, self.at(sender.node_id))
        elif isinstance(sent.message, AllowanceAsk):
            self.in_transit.append(self.answered(sent))
        else:
            self.receive(sent)

    @rule(node_id=nodes, count=st.sampled_from((1, 60)), runs=st.booleans())
    def admit(self, node_id, count, runs=True):
        """Admit up to a number of requests, which run or are refused later."""
        pool, now = self.processes_by_id[node_id].pool, self.at(node_id)
        for _ in range(count):
            grant = pool.take(NAME, now)
            if grant is None or (not runs and pool.give_back(grant, now)):
                return
            self.admitted_at.append(self.now)

    @invariant()
    def stays_within_the_allowance(self):
        """Check all windows that end now."""
        start = self.now - WINDOW_S
        self.admitted_at = [at for at in self.admitted_at if at >= start]
        for limit in self.limits_by_id.values():
            self.seen_limits[limit] = self.now
        limits = [
            limit for limit, at in self.seen_limits.items() if at >= start - GRANT_S
        ]
        rate, burst = (max(values) for values in zip(*limits, strict=True))
        for index, at in enumerate(self.admitted_at):
            seconds = self.now - at + GRANT_S
            count = len(self.admitted_at) - index
            assert count <= rate * seconds + burst + 1e-6, (count, seconds, rate)

    @invariant()
    def holds_shares_once(self):
        """Check that the owners together have no more than all shares."""
        fractions = [
            bucket.fraction
            for node_id, process in self.processes_by_id.items()
            for bucket, _ in process.owner.owned(self.at(node_id))
        ]
        assert sum(fractions) <= 1 + 1e-9, fractions

    def ask(self, node_id: str, waiting: int) -> Sent | None:
        """Return an ask of a node to the owner that it chooses."""
        process, now = self.processes_by_id[node_id], self.at(node_id)

        def is_reachable(other_id: str) -> bool:
            if other_id == node_id:
                return True
            return other_id in NODE_IDS and not {node_id, other_id} & self.cut_ids

        owners = process.delegations.owners_to_ask(GROUP, now, is_reachable)
        owner_id = next(owners, None)
        if owner_id is None:
            return None
        delegation = process.delegations.delegate(GROUP, owner_id, now, is_reachable)
        ask = AllowanceAsk(
            1,
            GROUP,
            delegation.epoch,
            delegation.node_count,
            delegation.until,
            {NAME: waiting},
            {NAME: waiting},
        )
        return Sent(process, owner_id, ask, now)

    def answered(self, sent: Sent) -> Sent:
        """Let the present process of the owner answer an ask."""
        owner = self.processes_by_id[sent.owner_id].owner
        answer = owner.answer(sent.sender.node_id, sent.message, self.at(sent.owner_id))
        return Sent(sent.sender, sent.owner_id, answer, sent.sent_at)

    def receive(self, sent: Sent) -> None:
        """Give an answer to the process that asked."""
        process, answer = sent.sender, sent.message
        now = self.at(process.node_id)
        process.delegations.on_answer(
            sent.owner_id, answer.epoch, answer.clock, sent_at=sent.sent_at, now=now
        )
        count = answer.granted_by_name.get(NAME, 0)
        process.pool.add(NAME, count, sent.sent_at + GRANT_S, now)
        ahead = answer.ahead_by_name.get(NAME, 0)
        process.pool.add(NAME, ahead, sent.sent_at + AHEAD_S, now)


class AllowanceBoundTest(TestCase):
    """Runs the model."""

    def test_all_nodes_together_stay_within_the_allowance(self):
        """Guards against a share that two owners hold at once, after any failure."""
        run_state_machine_as_test(
            AllowanceMachine,
            settings=settings(
                max_examples=150,
                stateful_step_count=60,
                deadline=None,
                derandomize=True,
                database=None,
            ),
        )
