"""Handover of claim records before a planned stop."""

from testtools import TestCase

from tests.claim_fakes import (
    KEY,
    CoordinatorMesh,
    answer,
    lose_answer,
    member,
    ranked_nodes,
)
from verbenawick.claims._claim_handover import MAX_BATCH_RECORDS
from verbenawick.membership._rendezvous import find_owner


class HandoverTest(TestCase):
    """Records are sent to the members that own the keys after the stop."""

    def setUp(self):
        super().setUp()
        self.first, self.second, self.third = ranked_nodes(3)
        self.mesh = CoordinatorMesh(self.first, self.second, self.third)
        self.stopping = self.mesh.coordinator(self.first)

    def hand_over(self, node_id=None) -> bool:
        """Hand over, stop the node and record its departure with the result."""
        node_id = node_id or self.first
        coordinator = self.mesh.coordinator(node_id)
        coordinator.stop_claiming()
        is_complete = coordinator.hand_over(self.mesh.clock.now() + 10)
        self.mesh.crash(node_id, handed_over=is_complete, process_ended=True)
        return is_complete

    def retry(self, node_id, key=KEY) -> tuple[str, str]:
        """Return verdict and code of a second attempt."""
        decision = self.mesh.begin(node_id, key=key, attempt=2)
        return str(decision.verdict), decision.code

    def test_records_reach_their_new_owners(self):
        """Guards against a second run or a lost answer after a planned stop."""
        keys = [
            key
            for key in (f"key-{n}" for n in range(2000))
            if self.mesh.coordinator(self.first).owner_of("treasury", key).node_id
            == self.first
        ]
        self.assertGreater(len(keys), MAX_BATCH_RECORDS)
        for key in keys:
            self.mesh.run(self.first, key=key, body=key.encode())
        self.assertTrue(self.hand_over())
        for _, message in self.mesh.network.sent:
            self.assertLessEqual(len(message.records), MAX_BATCH_RECORDS)
        for key in keys:
            members = self.mesh.tables[self.second].members_of("treasury")
            owner = find_owner(key, members).node_id
            decision = self.mesh.begin(owner, key=key, attempt=2)
            self.assertEqual("recorded", decision.verdict)
            self.assertEqual(key.encode(), decision.answer.body)

    def test_batches_are_bounded_in_bytes(self):
        """Guards against a message that exceeds the size limit of the links."""
        for number in range(40):
            self.stopping.table.claim(f"k{number}", b"")
            self.stopping.table.finish(f"k{number}", answer(b"x" * 60_000))
        self.assertTrue(self.hand_over())
        self.assertGreaterEqual(len(self.mesh.network.sent), 3)

    def test_running_claim_becomes_unknown(self):
        """Guards against a second run of a call that the stop interrupted."""
        self.mesh.begin(self.first)
        self.assertTrue(self.stopping.hand_over(self.mesh.clock.now() + 10))
        self.assertFalse(self.stopping.confirm(KEY))
        self.stopping.release(KEY)
        self.mesh.crash(self.first, handed_over=True, process_ended=True)
        self.assertEqual(("unknown", "claim.outcome-unknown"), self.retry(self.second))

    def test_first_attempt_runs_at_once_after_a_handover(self):
        """Guards against an unnecessary wait after a planned stop."""
        self.assertTrue(self.hand_over())
        self.assertEqual("run", self.mesh.begin(self.second).verdict)

    def test_lost_answer_is_not_a_handover(self):
        """Guards against announcing a handover whose records may not have arrived."""
        self.mesh.run(self.first)
        self.mesh.network.before_answer = lose_answer
        self.assertFalse(self.hand_over())
        self.mesh.network.before_answer = lambda receiver, reply: None
        self.assertEqual(("recorded", ""), self.retry(self.second))

    def test_new_owner_unreachable(self):
        """Guards against a handover to a node that later owners do not ask."""
        self.mesh.run(self.first)
        del self.mesh.network.coordinators_by_id[self.second]
        self.assertFalse(self.stopping.hand_over(self.mesh.clock.now() + 10))

    def test_two_nodes_stop_at_once(self):
        """Guards against losing records when the new owner stops as well."""
        self.mesh.run(self.first)
        other = self.mesh.coordinator(self.second)
        other.stop_claiming()
        self.assertTrue(other.hand_over(self.mesh.clock.now() + 10))
        self.assertTrue(self.hand_over())
        self.mesh.crash(self.second, handed_over=True, process_ended=True)
        self.assertEqual(("recorded", ""), self.retry(self.third))

    def test_records_pass_through_two_stops(self):
        """Guards against losing handed-over records at a second planned stop."""
        self.mesh.run(self.first)
        self.assertTrue(self.hand_over())
        self.assertTrue(self.hand_over(self.second))
        self.assertEqual(("recorded", ""), self.retry(self.third))

    def test_seals_are_handed_over(self):
        """Guards against a second run at the next owner when the sealer ran the key."""
        newest = next(n for n in ranked_nodes(60) if n not in self.mesh.tables)
        self.mesh.join(newest, self.first)
        del self.mesh.tables[self.first].by_id[newest]
        self.mesh.run(newest)
        self.assertTrue(self.hand_over())
        retry = self.retry(self.second)
        self.assertEqual(("unknown", "claim.earlier-owner-unreachable"), retry)
        self.mesh.tables[self.second].add(member(newest, recently_joined=True))
        self.assertEqual(("unknown", "claim.not-owner"), self.retry(self.second))

    def test_no_seal_while_handing_over(self):
        """Guards against a promise that the handed-over records do not contain."""
        newest = next(n for n in ranked_nodes(60) if n not in self.mesh.tables)
        self.mesh.join(newest, self.first, self.second, self.third)
        self.assertTrue(self.stopping.hand_over(self.mesh.clock.now() + 10))
        decision = self.mesh.begin(newest)
        self.assertEqual("claim.earlier-owner-unreachable", decision.code)

    def test_stopping_node_claims_nothing(self):
        """Guards against claims made after the records were sent."""
        self.stopping.stop_claiming()
        decision = self.mesh.begin(self.first)
        self.assertEqual(
            ("refused", "claim.stopping"), (str(decision.verdict), decision.code)
        )

    def test_no_handover_without_authority(self):
        """Guards against choosing new owners from an outdated member table."""
        self.mesh.run(self.first)
        self.mesh.tables[self.first].authority_until = self.mesh.clock.now()
        self.assertFalse(self.stopping.hand_over(self.mesh.clock.now() + 10))

    def test_last_member(self):
        """Guards against announcing a handover although no member took the records."""
        mesh = CoordinatorMesh("n0")
        self.assertTrue(mesh.coordinator("n0").hand_over(mesh.clock.now() + 10))
        mesh = CoordinatorMesh("n0")
        mesh.run("n0")
        self.assertFalse(mesh.coordinator("n0").hand_over(mesh.clock.now() + 10))
