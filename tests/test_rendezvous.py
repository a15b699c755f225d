"""Tests of the assignment of keys to members by rendezvous hashing."""

from testtools import TestCase

from tests.claim_fakes import member
from verbenawick.links._members import DepartedMember, MemberState
from verbenawick.membership._rendezvous import find_owner, possible_earlier_owners

MEMBERS = tuple(
    member(f"n{number}", region=("ashanti", "northern")[number % 2])
    for number in range(8)
)
KEYS = [f"key-{number}" for number in range(400)]


class RendezvousTest(TestCase):
    """Tests of current and possible earlier owners of a key."""

    def test_departure_moves_only_keys_of_departed_member(self):
        """Keys of the remaining members do not change their owner."""
        for key in KEYS:
            owner = find_owner(key, MEMBERS)
            after = find_owner(key, tuple(m for m in MEMBERS if m != MEMBERS[3]))
            if owner != MEMBERS[3]:
                self.assertEqual(owner, after)

    def test_keys_are_distributed_evenly(self):
        """No member owns far more keys than the others."""
        owners = [find_owner(key, MEMBERS) for key in KEYS]
        counts = [owners.count(m) for m in MEMBERS]
        self.assertGreater(min(counts), 25)
        self.assertLess(max(counts), 85)

    def test_home_region_owns_key(self):
        """A key stays in its home region while that has members."""
        for key in KEYS:
            owner = find_owner(f"northern/{key}", MEMBERS)
            self.assertEqual("northern", owner.region)
            owner = find_owner(f"northern/{key}", MEMBERS[::2])
            self.assertEqual("ashanti", owner.region)

    def test_draining_members_own_nothing(self):
        """A member that is about to stop gets no new keys."""
        draining = member("n0", state=MemberState.DRAINING)
        self.assertIsNone(find_owner("key", (draining,)))

    def test_earlier_owners_end_at_the_first_stable_member(self):
        """The list has all processes that may have owned the key in the last 2 h."""
        recent = [
            member(m.node_id, region=m.region, recently_joined=m.node_id in "n1 n2 n3")
            for m in MEMBERS[1:]
        ]
        departed = DepartedMember("n0", 1, "treasury", "ashanti", False, False, 0.0)
        for key in KEYS:
            earlier = list(possible_earlier_owners(key, tuple(recent), (departed,)))
            self.assertEqual(
                find_owner(key, tuple(recent)).node_id,
                next(e.node_id for e in earlier if e is not departed),
            )
            for candidate in earlier[:-1]:
                self.assertIn(candidate.node_id, "n0 n1 n2 n3")
            self.assertNotIn(earlier[-1].node_id, "n0 n1 n2 n3")

    def test_rejoined_process_is_listed_once(self):
        """A process that rejoined has its records, so that its departure is ignored.

        Listed as departed, it would make the outcome of its keys unknown.
        """
        departed = DepartedMember("n0", 1, "treasury", "ashanti", False, False, 0.0)
        for key in KEYS[:20]:
            self.assertNotIn(
                departed, possible_earlier_owners(key, MEMBERS, (departed,))
            )
