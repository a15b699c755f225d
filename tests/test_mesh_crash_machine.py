"""Random histories of crashes and completions at nodes that lose what they are told."""

from random import Random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.crash_network import CrashNetwork, Envelope
from verbenawick.mesh._crash_guard import CRASH_THRESHOLD

READ = b"read"
POISON = b"poison"
MAX_DELIVERED = 5


class CrashMachine(RuleBasedStateMachine):
    """A read that completes and a request that crashes each upstream.

    Notices are lost, delivered late, twice and in any order; nodes restart.
    """

    def __init__(self):
        super().__init__()
        self.crashes = 0
        self.delivered: list[Envelope] = []

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        """Start nodes without any knowledge."""
        self.network = CrashNetwork(random=Random(seed))

    def node(self, index):
        return self.network.nodes[index % len(self.network.nodes)]

    @rule(index=st.integers(0, 8), runs_poison=st.booleans())
    def crash(self, index, runs_poison):
        """An upstream crashes, for a request or for another reason."""
        node = self.node(index)
        self.crashes += 1
        process_id = f"{node.node_id}/{self.crashes}"
        if runs_poison and not node.is_refused(POISON):
            node.crash(process_id, POISON, READ)
        else:
            node.crash(process_id, READ)

    @rule(index=st.integers(0, 8))
    def complete(self, index):
        """The read completes at another upstream."""
        self.node(index).complete(READ)

    @precondition(lambda self: self.network.envelopes)
    @rule(count=st.integers(1, 20))
    def deliver(self, count):
        """Some messages arrive, whichever were sent first."""
        for _ in range(min(count, len(self.network.envelopes))):
            self.delivered.append(self.network.random.choice(self.network.envelopes))
            self.network.envelopes.remove(self.delivered[-1])
            self.network.deliver(self.delivered[-1])
        self.delivered = self.delivered[-MAX_DELIVERED:]

    @precondition(lambda self: self.delivered)
    @rule()
    def deliver_again(self):
        """Messages that arrived before arrive once more."""
        for envelope in self.delivered:
            self.network.deliver(envelope)

    @rule(kept=st.integers(0, 5))
    def lose(self, kept):
        """Most messages on their way are lost."""
        del self.network.envelopes[kept:]

    @rule(index=st.integers(0, 8))
    def run_timers(self, index):
        """A node tells what it has delayed."""
        self.node(index).run_timers()

    @rule(index=st.integers(0, 8))
    def restart(self, index):
        """A node loses what it knows."""
        self.network.restart(self.node(index).node_id)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 60.0]))
    def advance(self, seconds):
        """Time passes."""
        self.network.clock.advance(seconds)

    @rule(index=st.integers(0, 8))
    def settle(self, index):
        """Links work and a read completes, so that all nodes reach the same state."""
        network = self.network
        network.deliver_all(most=self.most_messages())
        known = {
            fact.key
            for node in network.nodes
            for fact in node.guard.facts(network.clock.now(), [POISON])
        }
        self.compare()
        self.check_converged(known)
        self.node(index).complete(READ)
        network.deliver_all(most=self.most_messages())
        self.compare()
        self.check_converged(known)
        for node in network.nodes:
            assert not node.is_refused(READ), node.node_id
        before = network.sent
        for node in network.nodes:
            node.complete(READ)
        assert network.sent == before
        assert not any(node.timers for node in network.nodes)

    def most_messages(self):
        """Each link carries once that a crash is known, and once that it is cleared."""
        facts = 2 * (self.crashes + 1)
        return len(self.network.envelopes) + 2 * facts * self.network.link_count

    def compare(self):
        # The furthest nodes are three links apart.
        for _ in range(3):
            self.network.compare()

    def check_converged(self, known):
        network = self.network
        assert len({node.guard.digest for node in network.nodes}) == 1
        for node in network.nodes:
            is_refused = len(known) >= CRASH_THRESHOLD
            assert node.is_refused(POISON) == is_refused, node.node_id


CrashMachineTest = CrashMachine.TestCase
CrashMachineTest.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
)
