"""What nodes tell each other of crashes and completions, without a network."""

from random import Random

from testtools import TestCase

from tests.crash_network import CrashNetwork, NodeLink
from verbenawick.mesh._crash_exchange import MAX_FACTS_PER_ANSWER
from verbenawick.mesh._crash_guard import CRASH_THRESHOLD

READ = b"read"
POISON = b"poison"
SEEDS = range(20)


class CrashExchangeTest(TestCase):
    """Three regions of three nodes, two of each linked with other regions."""

    def each_network(self):
        for seed in SEEDS:
            yield CrashNetwork(random=Random(seed))

    def refusing(self, network, fingerprint) -> list[str]:
        return [node.node_id for node in network.nodes if node.is_refused(fingerprint)]

    def test_crash_and_completions_cost_a_bounded_number_of_messages(self):
        """Guards against notices that go round for ever (review/11)."""
        for network in self.each_network():
            begin, other = network.random.sample(network.nodes, 2)
            before = network.sent
            begin.crash("u1/1", READ)
            other.crash("u2/1", READ)
            for _ in range(1000):
                network.random.choice(network.nodes).complete(READ)
                if network.envelopes:
                    network.deliver_one()
            network.deliver_all(most=10_000)
            # Each node tells of each of the two crashes, and that it is cleared, once.
            self.assertLessEqual(network.sent - before, 4 * network.link_count)
            self.assertEqual([], self.refusing(network, READ))
            begin.complete(READ)
            self.assertEqual([], network.envelopes)

    def test_completion_is_told_by_few_nodes(self):
        """Guards against a notice of each node to each other one after a crash."""
        network = CrashNetwork(regions=1, nodes_per_region=20)
        network.nodes[0].crash("u1/1", READ)
        network.deliver_all(most=19)
        for node in network.nodes:
            node.complete(READ)
        network.deliver_all(most=19)

    def test_crashes_of_a_request_that_completes_are_cleared(self):
        """Guards against reads that are refused after crashes at once or in turn."""
        for network in self.each_network():
            for number, node in enumerate(network.nodes):
                node.crash(f"u{number}/1", READ)
                if network.random.random() < 0.5:
                    network.deliver_all(most=4 * network.link_count)
            network.random.choice(network.nodes).complete(READ)
            network.deliver_all(most=20 * network.link_count)
            network.compare()
            self.assertEqual([], self.refusing(network, READ))

    def test_late_and_repeated_notices_bring_no_crash_back(self):
        """Guards against a cleared crash that counts again."""
        for network in self.each_network():
            for number in range(CRASH_THRESHOLD):
                network.nodes[number].crash(f"u{number}/1", READ)
            late = list(network.envelopes)
            network.deliver_all(most=20 * network.link_count)
            network.nodes[-1].complete(READ)
            network.deliver_all(most=20 * network.link_count)
            for envelope in late:
                network.deliver(envelope)
            network.deliver_all(most=0)
            self.assertEqual([], self.refusing(network, READ))

    def test_crashing_request_is_refused_everywhere(self):
        """Guards against a request that crashes upstreams beside a harmless one."""
        for network in self.each_network():
            for number in range(CRASH_THRESHOLD):
                self.assertEqual([], self.refusing(network, POISON))
                node = network.random.choice(network.nodes)
                node.crash(f"u{number}/1", POISON, READ)
                network.nodes[0].complete(READ)
                network.deliver_all(most=20 * network.link_count)
            self.assertEqual(len(network.nodes), len(self.refusing(network, POISON)))
            self.assertEqual([], self.refusing(network, READ))

    def test_request_that_completed_long_ago_is_stopped(self):
        """Guards against a request that is trusted for ever after one completion."""
        network = CrashNetwork()
        network.nodes[0].crash("u0/1", POISON)
        network.nodes[0].complete(POISON)
        network.clock.advance(30.0)
        for number in range(CRASH_THRESHOLD):
            network.nodes[number].crash(f"u{number}/2", POISON)
        network.deliver_all(most=20 * network.link_count)
        self.assertEqual(len(network.nodes), len(self.refusing(network, POISON)))

    def test_crashes_outlive_restarts_of_all_nodes_in_turn(self):
        """Guards against a crashing request that is run again (review/15)."""
        for network in self.each_network():
            for number in range(CRASH_THRESHOLD):
                network.nodes[number].crash(f"u{number}/1", POISON)
            network.deliver_all(most=20 * network.link_count)
            for node_id in list(network.by_id):
                # The links of other nodes to the new process open at once.
                network.restart(node_id)
                network.deliver_all(most=4 * network.link_count)
                network.clock.advance(2.0)
            self.assertEqual(len(network.nodes), len(self.refusing(network, POISON)))

    def test_restarted_node_refuses_no_harmless_request(self):
        """Guards against the crashes of a node that has missed a completion."""
        for network in self.each_network():
            behind = network.nodes[1]
            for number in range(CRASH_THRESHOLD):
                network.nodes[number].crash(f"u{number}/1", READ)
            network.deliver_all(most=20 * network.link_count)
            network.nodes[0].complete(READ)
            network.nodes[0].run_timers()
            network.envelopes = [
                envelope
                for envelope in network.envelopes
                if envelope.receiver_id != behind.node_id
            ]
            network.deliver_all(most=20 * network.link_count)
            network.clock.advance(30.0)
            network.restart("0-2")
            network.deliver_all(most=20 * network.link_count)
            network.compare()
            self.assertEqual([], self.refusing(network, READ))

    def test_answers_to_a_starting_node_are_bounded(self):
        """Guards against a start that fetches all crashes from all nodes."""
        network = CrashNetwork(regions=1, nodes_per_region=10)
        for number in range(2 * MAX_FACTS_PER_ANSWER):
            network.nodes[0].crash(f"u{number}/1", b"%d" % number)
        network.deliver_all(most=10 * 2 * MAX_FACTS_PER_ANSWER)
        before = network.sent
        network.restart("0-5")
        network.deliver_all(most=30)
        # A hash from each node, one query and one answer.
        self.assertEqual(9 + 2, network.sent - before)
        self.assertEqual(MAX_FACTS_PER_ANSWER, len(network.by_id["0-5"].guard))

    def test_nodes_without_crashes_send_nothing(self):
        """Guards against messages on days without a crash."""
        network = CrashNetwork()
        for node in network.nodes:
            node.complete(READ)
            node.exchange.check()
            for link in node.open_links():
                node.exchange.on_link_open(NodeLink(link.peer))
        self.assertEqual(0, network.sent)

    def test_crashes_expire(self):
        """Guards against crashes that nodes bring back to each other."""
        network = CrashNetwork()
        for number in range(CRASH_THRESHOLD):
            network.nodes[0].crash(f"u{number}/1", POISON)
        network.deliver_all(most=20 * network.link_count)
        network.clock.advance(700.0)
        network.compare()
        for node in network.nodes:
            node.exchange.check()
            self.assertEqual(0, len(node.guard))
            self.assertEqual(bytes(8), node.guard.digest)
