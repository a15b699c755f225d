"""Random histories of one service's releases under changing leaders.

The leaders reach the store or not, and what they announce is lost, late, sent twice or
out of order.
"""

from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from verbenawick.errors import StoreConditionError, StoreUnavailableError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._messages import decode_message, encode_message
from verbenawick.mesh import _release_task
from verbenawick.mesh._model import UpstreamState
from verbenawick.mesh._release_task import ReleaseTask
from verbenawick.mesh._state_store import OrderChange
from verbenawick.releases._judgement import RouteTally, UpstreamTally
from verbenawick.releases._messages import ReleaseBeacon
from verbenawick.releases._model import ReleaseOrder, ReleaseState
from verbenawick.releases._shares import VersionShares
from verbenawick.releases._tally import ReleaseTally
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._metrics import MetricSet

NODES = 4
SERVICE = "s"
TARGET = "v2"
DURATION_S = 15.0
STEP_S = 0.25


@dataclass
class OrderStore:
    """Store of the order, written under the condition of its revision."""

    order: ReleaseOrder | None = None
    revision: int = 0
    writes: list = field(default_factory=list)

    def put_order(self) -> None:
        """Write an order as the operator does, without a status."""
        self.revision += 1
        self.order = ReleaseOrder("o", SERVICE, TARGET, DURATION_S, self.revision)

    @property
    def state(self) -> ReleaseState:
        """Return the state that the store has."""
        status = self.order.status
        return status.state if status else ReleaseState.ACTIVE


class StoreClient:
    """Access of one node to the store."""

    def __init__(self, store: OrderStore, node: "Node"):
        self._store = store
        self._node = node

    def read_orders(self) -> OrderChange:
        """Return the order."""
        self._check()
        orders = {"o": self._store.order}
        return OrderChange(self._store.revision, orders, is_complete=True)

    def watch_orders(self, revision: int, *, wait_s: float) -> OrderChange:
        """Return the order if it has changed."""
        self._check()
        is_changed = self._store.revision > revision
        orders = {"o": self._store.order} if is_changed else {}
        return OrderChange(self._store.revision, orders, is_complete=False)

    def write_order_status(self, order, status) -> int:
        """Write a status, if the order has not changed."""
        self._check()
        if order.revision != self._store.order.revision:
            raise StoreConditionError("changed")
        self._store.revision += 1
        self._store.order = replace(order, revision=self._store.revision, status=status)
        is_known = self._node.knows_roll_back(order.ordered_at)
        self._store.writes.append((is_known, status))
        return self._store.revision

    def _check(self) -> None:
        if not self._node.has_store:
            raise StoreUnavailableError("no answer")


class Node:
    """A node with its task for releases, and its links to all other nodes."""

    def __init__(self, machine: "ReleaseMachine", number: int):
        self.machine = machine
        self.identity = NodeIdentity(str(number), 1, SERVICE, "d", "r", str(number))
        self.has_store = True
        self.is_leading = False
        self.start()

    def start(self) -> None:
        """Start the process, which knows nothing."""
        self.handlers = {}
        self.shares = VersionShares()
        upstream = SimpleNamespace(service=SERVICE, version="v1", process_id="p")
        beacons = SimpleNamespace(
            is_relay=lambda: self.is_leading,
            broadcast=self.broadcast,
            forward=lambda peer, message: None,
        )
        links = SimpleNamespace(
            register_notice=self.handlers.__setitem__,
            register_handler=lambda kind, handler: None,
            notify_peer=lambda peer, message: self.send(peer.node_id, message),
        )
        self.task = ReleaseTask(
            open_store=lambda: StoreClient(self.machine.store, self),
            max_exposure=0.1,
            node_id=self.identity.node_id,
            region="r",
            shares=self.shares,
            tally=ReleaseTally(),
            upstream=upstream,
            in_progress=lambda: 0,
            links=links,
            endpoints=SimpleNamespace(of_service=lambda name: self.machine.endpoints),
            beacons=beacons,
            relay=SimpleNamespace(relay_id=""),
            clock=self.machine.clock,
            random=Random(1),
            metrics=MetricSet(),
        )

    def broadcast(self, message) -> None:
        """Send a message to all other nodes."""
        for node in self.machine.nodes:
            if node is not self:
                self.send(node.identity.node_id, message)

    def send(self, node_id: str, message) -> None:
        """Put a message on its way."""
        envelope = (self.identity, int(node_id), encode_message(message))
        self.machine.envelopes.append(envelope)

    def receive(self, peer: NodeIdentity, content: bytes) -> None:
        """Handle a beacon."""
        self.handlers[ReleaseBeacon](peer, decode_message(content))
        view = self.shares.active(SERVICE, self.machine.clock.now())
        assert view is None or not self.knows_roll_back(view.ordered_at), view

    def knows_roll_back(self, ordered_at: int) -> bool:
        """Return whether the node has been told of a roll-back of an order."""
        now = self.machine.clock.now()
        roll_back = self.shares.roll_back_of(SERVICE, TARGET, ordered_at, now)
        return roll_back is not None

    def report(self, *, is_bad: bool) -> None:
        """Tell this node, if it leads, of the calls at all upstreams."""
        for number in range(4):
            for version in ("v1", TARGET):
                failed = 15 if is_bad and version == TARGET else 0
                counts = {"r": RouteTally(20, failed, 2.0)}
                name = f"{version}-{number}"
                tally = UpstreamTally(name, version, "r", 0, counts, is_final=True)
                self.task._lead.put_report(
                    SERVICE, TARGET, tally, self.machine.clock.now()
                )

    def step(self) -> None:
        """Let a leader read, decide and store."""
        if not self.is_leading:
            return
        try:
            self.task.watch_once()
        except StoreUnavailableError:
            pass
        self.task.advance()
        self.task.store_progress()


class ReleaseMachine(RuleBasedStateMachine):
    """An order for a version that is bad from some moment on, or never."""

    def __init__(self):
        super().__init__()
        # A failed write would wait before the next one.
        no_delay = mock.patch.object(_release_task, "RETRY_DELAY_S", 0.0)
        no_delay.start()
        self.teardown = no_delay.stop
        self.clock = ManualClock()
        self.store = OrderStore()
        self.store.put_order()
        self.envelopes = []
        self.delivered = []
        self.endpoints = [
            SimpleNamespace(
                node_id=f"{version}-{number}",
                version=version,
                state=UpstreamState.READY,
            )
            for number in range(4)
            for version in ("v1", TARGET)
        ]
        self.nodes = [Node(self, number) for number in range(NODES)]

    @initialize(seed=st.integers(0, 2**32), leader=st.integers(0, NODES - 1))
    def begin(self, seed, leader):
        """One node leads."""
        self.random = Random(seed)
        self.lead(leader, is_leading=True)

    @rule(index=st.integers(0, NODES - 1), is_leading=st.booleans())
    def lead(self, index, is_leading):
        """A node takes itself for the leader, perhaps beside others."""
        node = self.nodes[index]
        if not is_leading:
            node.task.stop_conducting()
        node.is_leading = is_leading

    @rule(index=st.integers(0, NODES - 1), has_store=st.booleans())
    def cut(self, index, has_store):
        """A node loses the store, or reaches it again."""
        self.nodes[index].has_store = has_store

    @rule(index=st.integers(0, NODES - 1))
    def restart(self, index):
        """A node loses what it knows."""
        self.nodes[index].start()

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0, 6.0]), delivers=st.booleans())
    def advance(self, seconds, delivers):
        """Time passes; messages arrive in any order, or are lost."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for node in self.nodes:
                node.step()
            if delivers:
                self.deliver_all()
        self.envelopes = self.envelopes[-20:]

    @rule(is_bad=st.booleans())
    def report(self, is_bad):
        """The leaders get reports."""
        for node in self.nodes:
            node.report(is_bad=is_bad)

    @rule(has_store=st.booleans(), delivers=st.booleans(), next_index=st.integers(0, 3))
    def turn_bad(self, has_store, delivers, next_index):
        """The leaders see that the version is bad, and another node leads then."""
        self.advance(3.0, delivers=True)
        for node in self.nodes:
            node.has_store = node.has_store and (has_store or not node.is_leading)
            node.report(is_bad=True)
        self.advance(0.5, delivers=delivers)
        for index in range(NODES):
            self.lead(index, is_leading=index == next_index)

    @precondition(lambda self: self.envelopes)
    @rule()
    def deliver_one(self):
        """Any one of the messages arrives, and stays for another delivery."""
        self.deliver(self.random.choice(self.envelopes))

    @precondition(lambda self: self.store.state is not ReleaseState.ACTIVE)
    @rule()
    def order_anew(self):
        """The operator orders the version again after the end of the release."""
        self.store.put_order()

    def deliver(self, envelope):
        peer, number, content = envelope
        self.nodes[number].receive(peer, content)

    def deliver_all(self):
        while self.envelopes:
            index = self.random.randrange(len(self.envelopes))
            self.deliver(self.envelopes.pop(index))

    @invariant()
    def knowing_leaders_bring_nothing_back(self):
        """A node that was told of a roll-back stores nothing else of the order."""
        for was_known, status in self.store.writes:
            assert not was_known or status.state is ReleaseState.ROLLED_BACK, status
        self.store.writes.clear()

    @rule(index=st.integers(0, NODES - 1))
    def settle(self, index):
        """One leader reaches the store and all nodes: a roll-back is stored soon."""
        ordered_at = self.store.order.ordered_at
        is_known = any(node.knows_roll_back(ordered_at) for node in self.nodes)
        is_open = self.store.state is ReleaseState.ACTIVE
        self.envelopes.clear()
        for number, node in enumerate(self.nodes):
            node.has_store = True
            self.lead(number, is_leading=False)
        self.lead(index, is_leading=True)
        self.advance(3.0, delivers=True)
        if is_known and is_open:
            assert self.store.state is ReleaseState.ROLLED_BACK
        elif is_open:
            for _ in range(20):
                self.nodes[index].report(is_bad=False)
                self.advance(1.0, delivers=True)
            assert self.store.state is ReleaseState.COMPLETED
        share = self.store.order.status.share
        assert share == (1.0 if self.store.state is ReleaseState.COMPLETED else 0.0)


ReleaseMachineTest = ReleaseMachine.TestCase
ReleaseMachineTest.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
)
