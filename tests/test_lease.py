"""Tests of leases: claim, renewal, expiry, lost answers and pauses."""

from random import Random

import cbor2
import eventlet
from testtools import TestCase

from tests.control_simulation import MemoryStore, MemoryStoreClient
from verbenawick.errors import LeaseNotHeldError, VerbenawickError
from verbenawick.links._component import NodeIdentity, StoreObject
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.runtime._metrics import MetricSet
from verbenawick.settings._settings import TimingSettings
from verbenawick.store._lease import (
    Lease,
    LeaseRecord,
    LeaseState,
    encode_lease_record,
    parse_lease_record,
)
from verbenawick.store._store_workers import StoreWorkers

KEY = "leases/dc/dc-1"


class ClaimantPort:
    """`StorePort` of one claimant; runs calls immediately or in `run_delayed_calls`."""

    def __init__(self, store, node_id):
        self.client = MemoryStoreClient(store, node_id)
        self.is_delayed = False
        self.delayed_calls = []
        self.stale_value = None

    def get(self, key, callback):
        """Read an object, or return the stale object that a test set."""
        stale, self.stale_value = self.stale_value, None
        self._run(lambda: stale or self.client.get(key), callback)

    def update(self, key, value, *, expected_version, callback):
        """Write an object conditionally."""

        def write():
            version = self.client.update(key, value, expected_version=expected_version)
            return StoreObject(key, value, version)

        self._run(write, callback)

    def _run(self, call, callback):
        def finish():
            try:
                obj = call()
            except VerbenawickError as error:
                callback(None, error)
            else:
                callback(obj, None)

        if self.is_delayed:
            self.delayed_calls.append(finish)
        else:
            finish()

    def run_delayed_calls(self):
        """Run the delayed calls and stop delaying."""
        delayed_calls, self.delayed_calls = self.delayed_calls, []
        self.is_delayed = False
        for finish in delayed_calls:
            finish()


class LeaseRecordTest(TestCase):
    """Value of a lease object. Guards against decoding invalid data as a record."""

    RECORD = LeaseRecord("dc00-n000", 2**48 - 1, 3, "127.0.0.1:7000")

    def test_encoded_record_round_trips(self):
        value = encode_lease_record(self.RECORD)
        self.assertEqual(self.RECORD, parse_lease_record(value))

    def test_invalid_values_are_not_decoded(self):
        value = encode_lease_record(self.RECORD)
        others = (
            [b"", b"{}", b"\x80", b"\xa0", b"\xc0\x00", b"\xff", b"\x9f" * 5000]
            + [value[:end] for end in range(len(value))]
            + [cbor2.dumps(fields) for fields in (["a", 2, 3], ["a", 2, 3, "b", 5])]
            + [cbor2.dumps(fields) for fields in ([1, 2, 3, 4], ["a", "x", 3, "b"])]
        )
        for other in others:
            self.assertIsNone(parse_lease_record(other), other)


class LeaseTest(TestCase):
    """At most one holder has authority, with any lost answers, outages and pauses."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.leases = {}
        self.ports = {}
        for name in ("a", "b", "c"):
            self.add(name)

    def add(self, name, incarnation=1):
        """Add a claimant, or replace it by a new process of the same node."""
        port = self.ports[name] = ClaimantPort(self.store, name)
        identity = NodeIdentity(
            name, incarnation, "svc", "dc-1", "r", f"10.0.0.1:{1 + ord(name)}"
        )
        self.leases[name] = Lease(
            KEY,
            identity,
            clock=self.clock,
            store=port,
            timing=TimingSettings(),
            random=Random(name),
            record=DecisionRecord(self.clock),
        )
        return self.leases[name]

    def advance(self, seconds, *names):
        """Advance the clock and tick the named claimants, all by default."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for name in names or self.leases:
                self.leases[name].on_tick()

    def holders(self):
        """Return the names of the claimants with authority."""
        return [name for name, lease in self.leases.items() if lease.is_held()]

    def test_one_of_two_claimants_wins(self):
        """Guards against two relays after concurrent claims of an unheld lease."""
        self.ports["a"].is_delayed = self.ports["b"].is_delayed = True
        self.leases["a"].start_observing(0.0)
        self.leases["b"].start_observing(0.0)
        self.advance(0.1)
        for _ in range(4):
            for port in (self.ports["b"], self.ports["a"]):
                port.run_delayed_calls()
                port.is_delayed = True
        self.ports["a"].is_delayed = self.ports["b"].is_delayed = False
        self.advance(1)
        self.assertEqual(["b"], self.holders())
        self.assertEqual("b", self.leases["a"].last_seen.holder)

    def test_no_store_calls_without_a_claimant(self):
        """Guards against polling the store while no node misses the relay."""
        self.advance(60)
        self.assertEqual(0, self.store.calls.total())

    def test_claimant_waits_a_full_timeout_and_raises_the_epoch(self):
        """A dead holder is replaced after 4 s, and not before its authority ended."""
        self.leases["a"].start_observing(0.0)
        self.advance(10, "a")
        ends_at = self.leases["a"].authority_ends_at
        self.leases["b"].start_observing(0.0)
        while not self.leases["b"].is_held():
            self.advance(0.1, "b")
        self.assertGreater(self.clock.now(), ends_at)
        self.assertEqual(2, self.leases["b"].epoch)
        self.assertLess(self.clock.now() - ends_at, 5.0)

    def test_running_holder_is_not_replaced(self):
        """A claimant that wrongly takes the holder for missing does not replace it."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        self.leases["b"].start_observing(0.0)
        self.advance(60)
        self.assertEqual(["a"], self.holders())
        self.assertEqual(1, self.leases["a"].epoch)

    def test_lost_answer_of_a_claim_is_read_back(self):
        """Guards against a holder that does not know that its claim took effect."""
        self.store.loses_answer = lambda *call: self.store.revision == 1
        self.leases["a"].start_observing(0.0)
        self.advance(1)
        self.assertEqual(["a"], self.holders())
        self.assertEqual(1, self.leases["a"].epoch)

    def test_lost_answers_of_renewals_are_read_back(self):
        """The holder keeps its authority while every second answer is lost."""
        self.leases["a"].start_observing(0.0)
        self.advance(1)
        self.store.loses_answer = lambda *call: self.store.revision % 2 == 0
        for _ in range(300):
            self.advance(0.1)
            self.assertEqual(["a"], self.holders())
        self.assertGreater(self.store.revision, 20)

    def test_late_answer_gives_no_authority_beyond_its_request(self):
        """Authority is measured from the time of the request, not of its answer."""
        self.leases["a"].start_observing(0.0)
        self.advance(1.5)
        self.ports["a"].is_delayed = True
        self.advance(1)
        sent_at = self.clock.now()
        self.advance(10)
        self.ports["a"].run_delayed_calls()
        self.assertEqual([], self.holders())
        self.assertLess(self.leases["a"].authority_ends_at, sent_at + 4.0)

    def test_holder_paused_beyond_its_authority_sends_no_writes(self):
        """A resumed holder has no authority even before its first tick."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        lease = self.leases["a"]
        writes = StoreWorkers(
            MemoryStoreClient(self.store, "a"),
            submit=lambda call: call(),
            metrics=MetricSet(),
            may_write=lease.is_held,
        )
        self.leases["b"].start_observing(0.0)
        self.advance(10, "b")
        self.assertEqual(["b"], self.holders())
        outcomes = []
        writes.update(
            "members/r",
            b"old",
            expected_version=0,
            callback=lambda obj, error: outcomes.append(error),
        )
        while not outcomes:
            eventlet.sleep(0)
        self.assertIsInstance(outcomes[0], LeaseNotHeldError)
        self.assertNotIn("members/r", self.store.objects)
        self.advance(0.2)
        self.assertIs(LeaseState.FOLLOWER, lease.state)
        self.assertEqual("b", lease.last_seen.holder)

    def test_outage_of_an_hour_suspends_and_resumes(self):
        """The holder acts without authority, then regains it in the same epoch."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        self.store.set_outage(True)
        self.leases["b"].start_observing(0.0)
        self.advance(3600)
        self.assertEqual([], self.holders())
        self.assertTrue(self.leases["a"].is_acting())
        self.store.set_outage(False)
        self.advance(6)
        self.assertEqual(["a"], self.holders())
        self.assertEqual(1, self.leases["a"].epoch)

    def test_restarted_holder_claims_immediately(self):
        """A new process of the holder does not wait, since the old one has ended."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        self.add("a", incarnation=2).start_observing(0.0)
        self.advance(0.3)
        self.assertEqual(["a"], self.holders())
        self.assertEqual(2, self.leases["a"].epoch)

    def test_released_lease_is_claimed_immediately(self):
        """After a planned stop a claimant does not wait for the lease timeout."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        self.leases["a"].release()
        self.leases["b"].start_observing(0.0)
        self.advance(0.3)
        self.assertEqual(["b"], self.holders())
        self.assertEqual(2, self.leases["b"].epoch)

    def test_claim_after_a_stale_read_fails(self):
        """The conditional update of a claimant that read an old object fails."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        self.ports["b"].stale_value = StoreObject(KEY, b"", 0)
        self.leases["b"].start_observing(0.0)
        self.advance(1)
        self.assertEqual(["a"], self.holders())

    def test_report_of_a_later_epoch_ends_the_role(self):
        """A peer that follows a relay of a later epoch proves a takeover."""
        self.leases["a"].start_observing(0.0)
        self.advance(2)
        self.leases["a"].step_down_if_superseded("b", 1)
        self.assertTrue(self.leases["a"].is_acting())
        self.leases["a"].step_down_if_superseded("b", 2)
        self.assertFalse(self.leases["a"].is_acting())

    def test_random_faults_never_give_two_holders(self):
        """Pauses, outages, lost, late and stale answers, with 30 seeds of 2 minutes."""
        for seed in range(30):
            self.run_random(Random(seed))

    def run_random(self, random):
        """Check that epochs never decrease and that authority never overlaps."""
        self.store = MemoryStore(self.clock)
        for name in ("a", "b", "c"):
            self.add(name)
        self.store.loses_answer = lambda *call: random.random() < 0.2
        paused_until = dict.fromkeys(self.leases, 0.0)
        epochs, holders_seen = [], set()
        for _ in range(1200):
            self.clock.advance(0.1)
            now = self.clock.now()
            for name, lease in self.leases.items():
                if now < paused_until[name]:
                    continue
                if random.random() < 0.005:
                    paused_until[name] = now + random.uniform(0, 12)
                    continue
                self.inject_faults(name, random)
                if not lease.is_acting():
                    lease.start_observing(random.uniform(0, 2))
                lease.on_tick()
            self.store.is_down = random.random() < 0.02 or (
                self.store.is_down and random.random() < 0.95
            )
            holders = self.holders()
            self.assertLessEqual(len(holders), 1)
            holders_seen.update(holders)
            record = parse_lease_record(
                self.store.objects.get(KEY, StoreObject(KEY, b"", 0)).value
            )
            epochs.append(record.epoch if record else 0)
        self.assertEqual(sorted(epochs), epochs)
        self.assertNotEqual(set(), holders_seen)

    def inject_faults(self, name, random):
        """Delay requests, run the delayed ones, or set a stale read, at random."""
        port = self.ports[name]
        if port.is_delayed:
            if random.random() < 0.1:
                port.run_delayed_calls()
        elif random.random() < 0.02:
            port.is_delayed = True
        elif random.random() < 0.01:
            port.stale_value = StoreObject(KEY, b"", 0)
