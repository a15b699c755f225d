"""Client of the platform's store, and the task that writes the record of a node."""

import json
from functools import partial
from random import Random

import eventlet
import msgspec
from testtools import TestCase

from standins.platform_store import StandinPlatformStore
from tests.call_support import INVALID_STATUSES, wait_until
from tests.mesh_cluster import CONFIG_KIND, RECORD_KIND, limits, route, service
from tests.record_fields import RECORD_FIELDS_OUT_OF_RANGE
from tests.silent_proxy import SilentProxy
from verbenawick.errors import (
    StoreAnswerLostError,
    StoreConditionError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from verbenawick.mesh._followers import WATCH_WAIT_S
from verbenawick.mesh._model import UpstreamRecord, UpstreamState
from verbenawick.mesh._publisher import RecordPublisher
from verbenawick.platform._objects import (
    MAX_IDLE_S,
    MAX_RESPONSE_BYTES,
    PlatformStore,
    _record_spec,
)
from verbenawick.releases._model import ReleaseState, ReleaseStatus
from verbenawick.runtime._clock import ManualClock


def record(state=UpstreamState.READY, **changes) -> UpstreamRecord:
    """Return a record of node n1."""
    fields = {
        "node_id": "n1",
        "service": "s",
        "data_centre": "d",
        "region": "r",
        "peer_address": "10.0.0.1:1",
        "upstream_id": "u1",
        "state": state,
        "slots": 4,
    }
    return UpstreamRecord(**{**fields, **changes})


ENCODED_OBJECT = b'{"metadata":{"name":"n1","revision":7},"spec":%s}' % (
    msgspec.json.encode(_record_spec(record()))
)


def document(version: int) -> dict:
    """Return a configuration document with one route."""
    resources = [route("r", "/x/", service="s"), service("s"), limits()]
    return {"version": version, "resources": resources}


def listing_response(revision: int) -> bytes:
    """Return a response that lists no objects."""
    return http_response(
        json.dumps({"items": [], "more": False, "current_rev": revision}).encode()
    )


def http_response(body: bytes) -> bytes:
    """Return a response with a body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class PlatformStoreCase(TestCase):
    """Base class of tests with a stand-in store and a client."""

    def setUp(self):
        super().setUp()
        self.standin = StandinPlatformStore()
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(self.standin.serve, listener)
        self.addCleanup(thread.kill)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.client = PlatformStore(self.address)
        self.addCleanup(self.client.close)


class PlatformStoreTest(PlatformStoreCase):
    """Responses and faults of the store."""

    def test_configuration_is_read_and_watched(self):
        """A change between a read and the following watch must not be missed."""
        self.standin.put(CONFIG_KIND, "main", document(1))
        first = self.client.read_configuration(allow_stale=False)
        self.standin.put(CONFIG_KIND, "main", document(2))
        self.standin.put(CONFIG_KIND, "main", document(3))
        change = self.client.watch_configuration(first.revision, wait_s=1.0)
        self.assertEqual(1, first.configuration.version)
        self.assertEqual(3, change.configuration.version)

    def test_status_of_an_order_names_when_it_was_written(self):
        """Guards against a status that binds a later order, or none."""
        spec = {"service": "s", "target_version": "v2", "duration_s": 8.0}
        self.standin.put("rollouts", "s", spec)
        written_at = self.read_order().ordered_at
        for ordered_at, is_valid in ((written_at, True), (-1, False), (2**60, False)):
            status = ReleaseStatus(ReleaseState.ACTIVE, "v2", ordered_at=ordered_at)
            self.client.write_order_status(self.read_order(), status)
            order = self.read_order()
            expected = written_at if is_valid else order.revision
            self.assertEqual(expected, order.ordered_at)

    def read_order(self):
        (order,) = self.client.read_orders().orders_by_name.values()
        return order

    def test_keys_of_workspaces_are_not_handed_to_other_nodes(self):
        """The document of a configuration is sent to nodes that do not read it."""
        content = document(1)
        spec = {"api_keys": ["k-secret"]}
        content["resources"].append(
            {"resource_type": "tenants", "metadata": {"name": "w"}, "spec": spec}
        )
        self.standin.put(CONFIG_KIND, "main", content)
        for change in (
            self.client.read_configuration(allow_stale=False),
            self.client.watch_configuration(0, wait_s=1.0),
        ):
            self.assertIn("w", change.configuration.workspaces.by_name)
            self.assertNotIn("k-secret", repr(change))

    def test_watch_without_a_change_returns_after_its_wait(self):
        """A watch that never returned would hide a dead connection."""
        revision = self.client.read_configuration(allow_stale=False).revision
        change = self.client.watch_configuration(revision, wait_s=0.1)
        self.assertIsNone(change.configuration)

    def test_response_without_end_is_rejected_early(self):
        """Guards against a faulty store that fills the memory of all nodes."""
        listener = eventlet.listen(("127.0.0.1", 0))
        self.sent_bytes = 0

        def serve():
            sock, _ = listener.accept()
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            part = b" " * 65536
            try:
                while True:
                    sock.sendall(part)
                    self.sent_bytes += len(part)
                    # Lets the client read; what the kernel buffers would count too.
                    eventlet.sleep(0)
            except OSError:
                sock.close()

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)
        client = PlatformStore(f"127.0.0.1:{listener.getsockname()[1]}")
        error = self.assertRaises(
            StoreUnavailableError, client.read_configuration, allow_stale=False
        )
        self.assertIn("exceeds", error.message)
        eventlet.sleep(0.1)
        self.assertLess(self.sent_bytes, 2 * MAX_RESPONSE_BYTES)

    def test_changes_that_are_too_large_are_replaced_by_a_full_read(self):
        """Guards against the same watch repeated until the store drops its history."""
        changes = b'{"events":[],"current_rev":9,"x":"%s"}' % (
            b"x" * MAX_RESPONSE_BYTES
        )
        for watch in ("watch_configuration", "watch_records"):
            client = self.serve_raw((http_response(changes), False))
            self.assertRaises(
                StoreHistoryGoneError, getattr(client, watch), 1, wait_s=0.1
            )

    def serve_raw(self, *responses):
        """Return a client of a store that sends these bytes after each request.

        Each connection starts with the first response that was not sent yet.
        """
        listener = eventlet.listen(("127.0.0.1", 0))
        left = list(responses)

        def serve(sock):
            while left and sock.recv(65536):
                data, is_last = left.pop(0)
                sock.sendall(data)
                if is_last:
                    sock.close()
                    return

        def accept():
            while True:
                sock, _ = listener.accept()
                eventlet.spawn_n(serve, sock)

        thread = eventlet.spawn(accept)
        self.addCleanup(thread.kill)
        return PlatformStore(f"127.0.0.1:{listener.getsockname()[1]}")

    def test_response_that_is_sent_twice_answers_one_call(self):
        """Guards against a response that is taken for that to the next call."""
        old = listing_response(5)
        client = self.serve_raw((old + old, False), (listing_response(9), False))
        self.assertEqual(5, client.read_records(allow_stale=False).revision)
        eventlet.sleep(0.05)
        self.assertEqual(9, client.read_records(allow_stale=False).revision)

    def test_response_with_an_invalid_status_is_none_and_hides_no_other(self):
        """Guards against a call that is taken for done, or for answered."""
        old = listing_response(5)
        for status in INVALID_STATUSES:
            bad = old.replace(b"200", status)
            client = self.serve_raw((bad + old, False), (bad, False), (old, False))
            read = partial(client.read_records, allow_stale=False)
            error = self.assertRaises(StoreUnavailableError, read)
            self.assertIn(status.decode(), error.message)
            self.assertRaises(StoreAnswerLostError, client.create_record, record())
            # The connections before have ended with the invalid status.
            self.assertEqual(5, read().revision)

    def test_response_that_ends_at_any_byte_is_an_error(self):
        """Guards against part of a response that is taken for the whole."""
        whole = listing_response(5)
        client = self.serve_raw(*((whole[:n], True) for n in range(len(whole))))
        for _ in range(len(whole)):
            self.assertRaises(
                StoreUnavailableError, client.read_records, allow_stale=False
            )

    def test_invalid_configuration_is_ignored(self):
        """A node must never serve part of an invalid configuration."""
        self.standin.put(CONFIG_KIND, "main", {"version": 1, "resources": "none"})
        self.standin.put(CONFIG_KIND, "other", document(9))
        self.assertIsNone(
            self.client.read_configuration(allow_stale=False).configuration
        )

    def test_invalid_objects_do_not_hide_valid_records(self):
        """Other writers may use the kind, so each object is decoded separately."""
        for number, spec in enumerate((None, 7, [], {"service": 1}, {"slots": "x"})):
            self.standin.put(RECORD_KIND, f"foreign-{number}", spec)
        self.client.create_record(record())
        change = self.client.read_records(allow_stale=True)
        self.assertEqual(["n1"], list(change.records_by_node_id))
        watched = self.client.watch_records(0, wait_s=0.1)
        self.assertEqual(["n1"], list(watched.records_by_node_id))

    def test_records_out_of_range_are_dropped(self):
        """Guards against dialling a port, or filling slots, that cannot exist."""
        self.client.create_record(record())
        for number, changes in enumerate(RECORD_FIELDS_OUT_OF_RANGE):
            spec = {**msgspec.to_builtins(_record_spec(record())), **changes}
            self.standin.put(RECORD_KIND, f"odd-{number}", spec)
        change = self.client.read_records(allow_stale=True)
        self.assertEqual(["n1"], list(change.records_by_node_id))
        watched = self.client.watch_records(0, wait_s=0.1)
        self.assertEqual(["n1"], list(watched.records_by_node_id))

    def read_pages(self, *pages):
        """Read records in pages of encoded objects, all but the last with more."""
        bodies = [
            b'{"items":[%s],"more":%s,"current_rev":9}'
            % (b",".join(items), b"true" if number < len(pages) else b"false")
            for number, items in enumerate(pages, start=1)
        ]
        client = self.serve_raw(*((http_response(body), False) for body in bodies))
        return client.read_records(allow_stale=True)

    def test_page_of_invalid_objects_does_not_end_the_listing(self):
        """Guards against upstreams that are missing behind a page of odd entries."""
        invalid = [b'{"metadata":{"name":"a","revision":"x"}}', b"7"]
        change = self.read_pages(invalid, [ENCODED_OBJECT])
        self.assertEqual(["n1"], list(change.records_by_node_id))
        self.assertTrue(change.is_complete)

    def test_listing_that_cannot_go_on_is_not_taken_for_complete(self):
        """Guards against forgetting the upstreams of the pages that were not read."""
        change = self.read_pages([b"7", b"[]"], [ENCODED_OBJECT])
        self.assertFalse(change.is_complete)

    def test_deeply_nested_objects_do_not_hide_valid_records(self):
        """Guards against a node that stops following because of one odd entry."""
        nested = b"[" * 100_000 + b"]" * 100_000
        odd = (
            nested,
            b'{"metadata":{"name":"a"},"spec":%s}' % nested,
            b'{"metadata":{"name":"b"},"other":%s,"spec":null}' % nested,
        )
        items = b",".join((odd[0], ENCODED_OBJECT, odd[1], odd[2]))
        listing = b'{"items":[%s],"current_rev":9}' % items
        events = b",".join(b'{"object":%s}' % item for item in (*odd, ENCODED_OBJECT))
        changes = b'{"events":[%s],"current_rev":9}' % events
        client = self.serve_raw(
            *((http_response(body), False) for body in (listing, changes))
        )
        change = client.read_records(allow_stale=True)
        self.assertEqual(["n1"], list(change.records_by_node_id))
        watched = client.watch_records(1, wait_s=0.1)
        self.assertEqual(["n1"], list(watched.records_by_node_id))

    def test_watch_reports_deleted_records(self):
        """A node whose record was deleted must not be called."""
        revision = self.client.create_record(record())
        self.client.delete_record("n1", revision)
        change = self.client.watch_records(revision, wait_s=0.5)
        self.assertEqual({"n1": None}, change.records_by_node_id)

    def test_watch_of_discarded_history_raises(self):
        """The error tells the follower that a full read is needed."""
        self.standin.compact_history()
        self.assertRaises(
            StoreHistoryGoneError, self.client.watch_records, 1, wait_s=0.1
        )

    def test_refusals_are_reported_as_without_effect(self):
        """Requests answered with 429 or 503 are safe to retry."""
        for status in (429, 503):
            self.standin.faults.status = status
            self.assertRaises(
                StoreUnavailableError, self.client.read_records, allow_stale=True
            )
            self.assertRaises(
                StoreUnavailableError, self.client.create_record, record()
            )

    def test_lost_response_to_a_write_has_an_unknown_outcome(self):
        """The write may have taken effect or may still take effect."""
        self.standin.faults.withholds_write_responses = True
        self.assertRaises(StoreAnswerLostError, self.client.create_record, record())
        self.standin.faults.withholds_write_responses = False
        self.assertEqual("u1", self.client.read_record("n1").upstream_id)

    def test_call_to_a_silent_store_times_out(self):
        """A call without a timeout would block its task forever."""
        self.standin.faults.is_unresponsive = True
        self.assertRaises(StoreUnavailableError, self.client.read_record, "n1")

    def test_conflicting_writes_are_rejected(self):
        """Changes by another writer must not be overwritten."""
        self.client.create_record(record())
        self.assertRaises(StoreConditionError, self.client.create_record, record())
        self.assertRaises(
            StoreConditionError, self.client.replace_record, record(revision=999)
        )

    def test_unreachable_store_is_reported_as_without_effect(self):
        """A write that was never sent is known to have had no effect."""
        client = PlatformStore("127.0.0.1:1")
        self.assertRaises(StoreUnavailableError, client.create_record, record())


class SilentConnectionTest(PlatformStoreCase):
    """A connection to the store that stops carrying data without a reset."""

    # Time after the fault in which a node has to be up to date, less the time for the
    # retry over another connection.
    DETECTION_BOUND_S = 2.0

    def setUp(self):
        super().setUp()
        self.proxy = SilentProxy(self.address)
        self.addCleanup(self.proxy.close)
        self.clock = ManualClock()
        self.client = PlatformStore(self.proxy.address, clock=self.clock)
        self.addCleanup(self.client.close)
        self.revision = self.client.read_configuration(allow_stale=False).revision
        self.proxy.silence()

    def test_call_after_a_pause_uses_a_new_connection(self):
        """Guards against a call that waits on a connection that was idle for long."""
        self.clock.advance(MAX_IDLE_S + 0.1)
        with eventlet.Timeout(0.5):
            self.client.read_configuration(allow_stale=False)

    def test_watch_fails_early_enough_for_another_one(self):
        """Guards against a node that is out of date because one watch hangs."""
        with eventlet.Timeout(self.DETECTION_BOUND_S):
            self.assertRaises(
                StoreUnavailableError,
                self.client.watch_configuration,
                self.revision,
                wait_s=WATCH_WAIT_S,
            )
        self.client.read_configuration(allow_stale=False)


class RecordPublisherTest(PlatformStoreCase):
    """The stored record follows the desired record of the node."""

    def setUp(self):
        super().setUp()
        self.desired = None
        self.publisher = self.start_publisher()

    def start_publisher(self):
        publisher = RecordPublisher(
            PlatformStore(self.address),
            node_id="n1",
            desired=lambda: self.desired,
            random=Random(1),
        )
        thread = eventlet.spawn(publisher.run)
        self.addCleanup(thread.kill)
        return publisher

    def set_desired(self, desired):
        self.desired = desired
        self.publisher.wake()

    def stored_state(self):
        item = self.standin.get(RECORD_KIND, "n1")
        return item["spec"].get("state") if item else None

    def wait_for_stored_state(self, state, timeout_s=3):
        wait_until(lambda: self.stored_state() == state, timeout_s)

    def count_writes(self):
        return sum(method != "GET" for method, _ in self.standin.calls)

    def test_record_follows_the_desired_state(self):
        """Other nodes discover an upstream only by its record."""
        self.set_desired(record())
        self.wait_for_stored_state("ready")
        self.set_desired(record(UpstreamState.DRAINING))
        self.wait_for_stored_state("draining")
        self.set_desired(None)
        self.wait_for_stored_state(None)
        self.assertEqual(3, self.count_writes())

    def test_unchanged_record_is_not_written_again(self):
        """Each call to the store has a cost."""
        self.set_desired(record())
        self.wait_for_stored_state("ready")
        for _ in range(5):
            self.set_desired(record())
            eventlet.sleep(0.01)
        self.assertEqual(1, self.count_writes())

    def test_record_of_an_earlier_process_is_replaced(self):
        """After a restart, a node finds the record of its earlier process."""
        self.standin.put(RECORD_KIND, "n1", {"service": "old"})
        self.set_desired(record())
        self.wait_for_stored_state("ready")

    def test_record_is_read_back_after_a_lost_response(self):
        """A write may take effect although its response is lost."""
        self.standin.faults.withholds_write_responses = True
        self.set_desired(record())
        eventlet.sleep(0.2)
        self.standin.faults.withholds_write_responses = False
        self.wait_for_stored_state("ready")
        self.set_desired(record(UpstreamState.DRAINING))
        self.wait_for_stored_state("draining", 6)

    def test_record_is_written_soon_after_an_outage(self):
        """An upstream without a record receives no calls."""
        self.standin.faults.status = 503
        self.set_desired(record())
        eventlet.sleep(0.5)
        self.standin.faults.status = 0
        self.wait_for_stored_state("ready", 2)

    def test_record_deleted_by_another_writer_is_written_again(self):
        """A record that was deleted is restored within about two seconds."""
        self.set_desired(record())
        self.wait_for_stored_state("ready")
        self.standin.remove(RECORD_KIND, "n1")
        self.publisher.on_stored(None)
        self.wait_for_stored_state("ready", 2)
