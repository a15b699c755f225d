"""Contract tests of the object API against the stand-in over a real socket."""

import json
import os
import socket
import subprocess
import sys
import threading
from contextlib import ExitStack
from functools import partial

import urllib3
from testtools import TestCase

from standins.store import ObjectStore, StoreApplication, running_store
from tests.call_support import INVALID_STATUSES
from verbenawick.errors import (
    ListenError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
    StoreValueTooLargeError,
)
from verbenawick.runtime._clock import ManualClock, MonotonicClock
from verbenawick.runtime._sockets import listen
from verbenawick.store._store import MAX_VALUE_BYTES, StoreClient

PATCHED_CLIENT = """
import sys
import eventlet
eventlet.monkey_patch()
from verbenawick.store._store import StoreClient
client = StoreClient(sys.argv[1])
watch = eventlet.spawn(client.watch, ("a/",), after=0, wait_s=5)
eventlet.sleep(0.05)
client.update("a/1", b"x", expected_version=0)
print(watch.wait().objects[0].value)
"""


class StoreTestCase(TestCase):
    """Base class of tests against an in-process stand-in."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.application = StoreApplication(ObjectStore(self.clock, history_length=4))
        self.resources = ExitStack()
        self.addCleanup(self.resources.close)
        self.address = self.resources.enter_context(running_store(self.application))
        self.client = StoreClient(self.address, timeout_s=0.3)
        self.addCleanup(self.client.close)

    def set_faults(self, **faults):
        """Set faults through the control interface of the stand-in."""
        url = f"http://{self.address}/standin/faults"
        urllib3.request("POST", url, body=json.dumps(faults))


class TestObjects(StoreTestCase):
    """Reads and conditional writes. Guards against lost updates."""

    def test_absent_object_has_version_zero(self):
        self.assertEqual(0, self.client.get("a/1").version)

    def test_versions_are_store_wide_revisions(self):
        first = self.client.update("a/1", b"x", expected_version=0)
        second = self.client.update("b/1", b"y", expected_version=0)
        self.clock.advance(1.5)
        obj = self.client.get("a/1")
        self.assertEqual((1, 2), (first, second))
        self.assertEqual((b"x", 1, 1.5), (obj.value, obj.version, obj.age_s))

    def test_failed_condition_names_the_current_version(self):
        self.client.update("a/1", b"x", expected_version=0)
        error = self.assertRaises(
            StoreConditionError, self.client.update, "a/1", b"y", expected_version=0
        )
        self.assertEqual(1, error.current_version)
        self.assertEqual(b"x", self.client.get("a/1").value)

    def test_delete_is_conditional(self):
        self.client.update("a/1", b"x", expected_version=0)
        self.assertRaises(
            StoreConditionError, self.client.delete, "a/1", expected_version=9
        )
        self.client.delete("a/1", expected_version=1)
        self.assertEqual(0, self.client.get("a/1").version)

    def test_value_over_the_limit_is_refused_before_it_is_sent(self):
        value = bytes(MAX_VALUE_BYTES + 1)
        self.assertRaises(
            StoreValueTooLargeError,
            self.client.update,
            "a/1",
            value,
            expected_version=0,
        )
        self.assertEqual(0, self.client.traffic.bytes_sent)

    def test_traffic_is_counted_in_both_directions(self):
        self.client.update("a/1", bytes(5000), expected_version=0)
        self.client.get("a/1")
        traffic = self.client.traffic
        self.assertTrue(5000 < traffic.bytes_sent < 6000, traffic)
        self.assertTrue(5000 < traffic.bytes_received < 6000, traffic)

    def test_traffic_is_divided_by_kind_of_request_and_part(self):
        """Guards against bytes that are not counted in any part."""
        self.client.update("a/1", bytes(500), expected_version=0)
        self.client.get("a/1")
        self.client.watch(("a/",), after=0, wait_s=0)
        traffic = self.client.traffic
        self.assertEqual(500, traffic.bytes_by_part["a", "request-body"])
        self.assertEqual(500, traffic.bytes_by_part["a", "response-body"])
        self.assertGreater(traffic.bytes_by_part["watch", "request-headers"], 0)
        self.assertEqual(
            traffic.bytes_sent + traffic.bytes_received,
            sum(traffic.bytes_by_part.values()),
        )


class TestWatch(StoreTestCase):
    """Watches. Guards against missed changes and missed deletions."""

    def test_watch_wakes_on_a_change_below_its_prefixes(self):
        found = []

        def run():
            found.append(self.client.watch(("a/", "c/"), after=0, wait_s=5))

        thread = threading.Thread(target=run)
        thread.start()
        self.client.update("b/1", b"x", expected_version=0)
        self.client.update("c/1", b"y", expected_version=0)
        thread.join(5)
        self.assertEqual(2, found[0].revision)
        self.assertEqual([b"y"], [obj.value for obj in found[0].objects])
        self.assertEqual(1, self.application.counters()["watch"])

    def test_watch_returns_an_empty_listing_on_timeout(self):
        listing = self.client.watch(("a/",), after=0, wait_s=0.02)
        self.assertEqual((0, ()), (listing.revision, listing.objects))

    def test_watch_reports_a_removed_object(self):
        version = self.client.update("a/1", b"x", expected_version=0)
        self.client.delete("a/1", expected_version=version)
        listing = self.client.watch(("a/",), after=version, wait_s=1)
        self.assertEqual([("a/1", 0)], [(o.key, o.version) for o in listing.objects])

    def test_watch_beyond_the_history_returns_all_objects(self):
        for number in range(6):
            self.client.update(f"a/{number}", b"x", expected_version=0)
        listing = self.client.watch(("a/",), after=0, wait_s=1)
        self.assertTrue(listing.is_complete)
        self.assertEqual(6, len(listing.objects))
        self.assertEqual(6, listing.revision)

    def test_client_works_with_eventlet_monkey_patching(self):
        result = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PATCHED_CLIENT, self.address],
            env={"PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            text=True,
            timeout=20,
        )
        self.assertEqual("b'x'\n", result.stdout, result.stderr)


class TestStandin(StoreTestCase):
    """The stand-in itself. Guards against results that a faulty stand-in distorts."""

    def request(self, method, path, **options):
        """Send a request without the client and return the response."""
        return urllib3.request(method, f"http://{self.address}{path}", **options)

    def test_second_store_on_an_address_is_refused(self):
        self.assertRaises(ListenError, listen, self.address)

    def test_invalid_requests_are_refused(self):
        condition = {"If-Object-Version": "0"}
        self.assertEqual(400, self.request("PUT", "/objects/a", body=b"x").status)
        self.assertEqual(400, self.request("GET", "/watch?prefix=a").status)
        large = bytes(MAX_VALUE_BYTES + 1)
        answer = self.request("PUT", "/objects/a", body=large, headers=condition)
        self.assertEqual(413, answer.status)
        self.assertEqual(0, self.application.store.revision)

    def test_list_returns_the_objects_with_a_prefix(self):
        for key in ("a/2", "a/1", "b/1"):
            self.client.update(key, key.encode(), expected_version=0)
        listing = self.client.list("a/")
        self.assertEqual(3, listing.revision)
        self.assertEqual(["a/1", "a/2"], [obj.key for obj in listing.objects])
        self.assertEqual([2, 1], [obj.version for obj in listing.objects])

    def test_calls_are_counted_by_kind_and_bytes_by_client(self):
        self.client.update("a", b"12345", expected_version=0)
        self.client.get("a")
        counters = json.loads(self.request("GET", "/standin/counters").data)
        self.assertEqual((1, 1, 0), tuple(counters[k] for k in ("get", "put", "list")))
        self.assertEqual({"127.0.0.1": [5, 5]}, counters["bytes_by_client"])

    def test_delay_applies_each_way_to_the_clients_with_the_prefix(self):
        application = StoreApplication(
            ObjectStore(MonotonicClock()), delays_ms_by_prefix={"127.0.1.": 30}
        )
        clock = MonotonicClock()
        with running_store(application) as address:
            client = StoreClient(address, source_ip="127.0.1.1")
            started_at = clock.now()
            client.get("a")
            self.assertGreaterEqual(clock.now() - started_at, 0.06)
        self.assertIn("127.0.1.1", application.bytes_by_client)


class TestFaults(StoreTestCase):
    """Store faults. Guards against treating an unknown outcome as known."""

    def test_outage_makes_all_calls_unavailable_and_ends_watches(self):
        self.set_faults(outage=True)
        self.assertRaises(StoreUnavailableError, self.client.get, "a/1")
        self.assertRaises(
            StoreUnavailableError, self.client.update, "a/1", b"", expected_version=0
        )
        self.assertRaises(
            StoreUnavailableError, self.client.watch, ("a/",), after=0, wait_s=5
        )
        self.set_faults(outage=False)
        self.assertEqual(0, self.client.get("a/1").version)

    def test_response_with_an_invalid_status_is_none(self):
        """Guards against a write that is taken for accepted."""
        for status in INVALID_STATUSES:
            response = b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % status
            for request, expected in (
                (partial(self.client_of(response).get, "a"), StoreUnavailableError),
                (
                    partial(
                        self.client_of(response).update, "a", b"", expected_version=0
                    ),
                    StoreAnswerLostError,
                ),
            ):
                self.assertRaises(expected, request)

    def client_of(self, response: bytes) -> StoreClient:
        """Return a client of a store that sends `response` to the first request."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.resources.callback(listener.close)

        def serve():
            sock, _ = listener.accept()
            with sock:
                sock.recv(65_536)
                sock.sendall(response)
                sock.recv(65_536)

        threading.Thread(target=serve, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        client = StoreClient(address, timeout_s=0.3)
        self.resources.callback(client.close)
        return client

    def test_missing_listener_raises_unavailable(self):
        self.resources.close()
        self.assertRaises(
            StoreUnavailableError, self.client.update, "a/1", b"", expected_version=0
        )

    def test_lost_answer_of_a_write_that_took_effect(self):
        self.set_faults(lost_answers=1)
        self.assertRaises(
            StoreAnswerLostError, self.client.update, "a/1", b"x", expected_version=0
        )
        self.assertEqual(b"x", self.client.get("a/1").value)

    def test_slow_write_is_a_lost_answer_and_slow_read_is_unavailable(self):
        self.set_faults(slowness_ms=600)
        self.assertRaises(
            StoreAnswerLostError, self.client.update, "a/1", b"x", expected_version=0
        )
        self.assertRaises(StoreUnavailableError, self.client.get, "a/1")

    def test_stale_read_returns_the_previous_version(self):
        self.client.update("a/1", b"x", expected_version=0)
        self.client.update("a/1", b"y", expected_version=1)
        self.set_faults(stale_reads=1)
        self.assertEqual(b"x", self.client.get("a/1").value)
        self.assertEqual(b"y", self.client.get("a/1").value)
