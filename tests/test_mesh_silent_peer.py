"""Tests of calls at a gateway that answers no pings while its upstream works."""

import math
from time import monotonic

import eventlet
from msgspec.structs import replace
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, route, service
from verbenawick.links._call_links import SILENCE_TIMEOUT_S
from verbenawick.mesh._model import UpstreamState

SERVICE_TIME_S = SILENCE_TIMEOUT_S + 0.7


class SilentPeerTest(TestCase):
    """A service with two upstreams, one of them behind a silent gateway."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.configure(
            route("r-a", "/archive/", service="archive"),
            route("r-b", "/booking/", service="booking", kind="unsafe"),
            service("archive"),
            service("booking"),
        )
        self.silent = self.cluster.add_node("archive")
        self.entry = self.cluster.add_node("booking")
        self.cluster.wait_ready()
        self.silent.upstream.service_time_s = SERVICE_TIME_S
        address = self.silent.server.settings.peer_address
        links = self.entry.server.node.links.dialled_links()
        link = next(link for link in links if link.peer.peer_address == address)
        link.ping = lambda: None

    def allow_retries(self, number):
        budget = self.entry.server.node.entry._budget
        budget._ratio, budget._slack = 0, 1000 * number

    def add_idle_gateway(self):
        node = self.cluster.add_node("archive")
        self.cluster.wait_ready()
        return node

    def call(self, results, path="/archive/1", **headers):
        answer = self.cluster.call(self.entry, path, **headers)
        results.append((answer.status, answer.body))

    def start_call(self, **headers):
        results = []
        thread = eventlet.spawn(self.call, results, Attempt_Id="q", **headers)
        self.addCleanup(thread.kill)
        wait_until(lambda: self.silent.upstream.runs_by_request["q"])
        return thread, results

    def record_choices(self):
        """Return a list that receives the gateway of each offer, None for no offer."""
        entry = self.entry.server.node.entry
        choose = entry._next_endpoint
        choices = []

        def record(*arguments):
            endpoint = choose(*arguments)
            choices.append(endpoint and endpoint.node_id)
            return endpoint

        entry._next_endpoint = record
        return choices

    def wait_silent(self):
        address = self.silent.server.settings.peer_address
        wait_until(lambda: self.entry.server.node.links.is_silent(address))

    def test_call_is_not_broken_off_when_its_gateway_is_silent(self):
        """Guards against a 502 in place of the answer that the upstream works on."""
        self.allow_retries(0)
        thread, results = self.start_call()
        self.wait_silent()
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
        self.assertEqual(1, self.silent.upstream.completed_runs["q"])

    def test_call_is_not_broken_off_when_its_stopping_entry_finds_a_silence(self):
        """Guards against answers of its own from an entry that got SIGTERM."""
        self.allow_retries(0)
        thread, results = self.start_call()
        eventlet.spawn(self.entry.server.stop)
        self.wait_silent()
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])

    def test_answer_of_another_upstream_is_taken_and_the_run_cancelled(self):
        """Guards against waiting for a frozen gateway while others are idle."""
        self.allow_retries(1)
        thread, results = self.start_call()
        other = self.add_idle_gateway()
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
        self.assertEqual(1, other.upstream.completed_runs["q"])
        gateway = self.silent.server.node.gateway
        wait_until(lambda: not gateway.in_flight, 0.5)
        entry = self.entry.server.node
        self.assertEqual({}, entry.links._pending_by_call_id)
        starts = [e.starts_by_call for e in entry.endpoints.all()]
        self.assertEqual([{}] * 3, starts)

    def test_silent_gateway_answers_first_while_another_offer_runs(self):
        """Guards against ignoring the first answer because a retry is in progress."""
        self.allow_retries(1)
        thread, results = self.start_call()
        other = self.add_idle_gateway()
        other.upstream.service_time_s = 1.3
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
        self.assertEqual(1, self.silent.upstream.completed_runs["q"])
        self.assertEqual(1, other.upstream.runs_by_request["q"])
        wait_until(lambda: not other.server.node.gateway.in_flight, 0.5)

    def test_refused_retry_leaves_the_silent_offer_in_progress(self):
        """Guards against a refusal of a call that is running elsewhere."""
        self.allow_retries(1)
        thread, results = self.start_call()
        other = self.add_idle_gateway()
        other.upstream.sheds = True
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
        self.assertEqual(1, self.silent.upstream.completed_runs["q"])

    def test_call_is_not_offered_again_after_its_deadline(self):
        """Guards against runs for a caller that is being told of the timeout."""
        self.allow_retries(1)
        endpoints = self.entry.server.node.endpoints
        # Notices of the gateways would replace the states that are set here.
        endpoints.put_state = lambda *arguments, **state: None
        refusing, late = self.add_idle_gateway(), self.add_idle_gateway()
        for node in (refusing, late):
            endpoints.get(node.node_id).state = UpstreamState.DRAINING
        choices = self.record_choices()
        thread, results = self.start_call(Deadline_Remaining="1100")
        refusing.server.node.gateway.stop_accepting()
        endpoints.get(refusing.node_id).state = UpstreamState.READY
        # Before the deadline, the call may be offered to any gateway that is ready when
        # the entry looks for one after the refusal.
        expected = [self.silent.node_id, refusing.node_id, None]
        wait_until(lambda: choices == expected, 1)
        endpoints.get(late.node_id).state = UpstreamState.READY
        offered = []
        late.server.node.gateway.handle = lambda call, **options: offered.append(call)
        thread.wait()
        eventlet.sleep(0.1)
        self.assertEqual([504], [status for status, _ in results])
        self.assertEqual([], offered)

    def test_non_idempotent_call_runs_once_at_a_silent_gateway(self):
        """Guards against a booking that runs twice because its gateway is silent."""
        self.cluster.configure(
            route("r-a", "/archive/", service="archive", kind="unsafe"),
            service("archive"),
        )
        node = self.entry.server.node
        wait_until(lambda: node.entry.configuration.version == 2, 2)
        self.allow_retries(1)
        other = self.add_idle_gateway()
        other.upstream.sheds = True
        thread, results = self.start_call(method="POST")
        other.upstream.sheds = False
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
        self.assertEqual(1, self.silent.upstream.completed_runs["q"])
        self.assertEqual(0, other.upstream.runs_by_request["q"])

    def test_caller_that_disconnects_ends_all_offers(self):
        """Guards against runs and statistics that outlive their caller."""
        self.allow_retries(1)
        thread, _ = self.start_call()
        other = self.add_idle_gateway()
        other.upstream.service_time_s = SERVICE_TIME_S
        wait_until(lambda: other.upstream.runs_by_request["q"])
        thread.kill()
        gateways = [n.server.node.gateway for n in (self.silent, other)]
        wait_until(lambda: not any(g.in_flight for g in gateways), 0.5)
        entry = self.entry.server.node
        self.assertEqual({}, entry.links._pending_by_call_id)
        starts = [e.starts_by_call for e in entry.endpoints.all()]
        self.assertEqual([{}] * 3, starts)

    def test_call_at_a_lost_silent_gateway_ends_with_its_link(self):
        """Guards against holding a caller whose gateway is known to have ended."""
        self.allow_retries(0)
        thread, results = self.start_call()
        self.wait_silent()
        self.silent.server.kill()
        with eventlet.Timeout(0.5):
            thread.wait()
        self.assertEqual([502], [status for status, _ in results])

    def test_call_at_a_gateway_that_stays_silent_ends_at_its_deadline(self):
        """Guards against callers that get no answer from a frozen gateway."""
        self.allow_retries(0)
        self.silent.upstream.service_time_s = 5.0
        thread, results = self.start_call(Deadline_Remaining="1200")
        thread.wait()
        self.assertEqual([504], [status for status, _ in results])

    def test_failed_response_of_an_upstream_outlasts_a_silent_offer(self):
        """Guards against a 504 in place of a response that an upstream gave."""
        self.cluster.configure(
            route("r-a", "/archive/", service="archive", max_attempts=4),
            service("archive"),
        )
        node = self.entry.server.node
        wait_until(lambda: node.entry.configuration.version == 2, 2)
        self.allow_retries(2)
        self.silent.upstream.service_time_s = 5.0
        thread, results = self.start_call(Deadline_Remaining="1500")
        failing = self.add_idle_gateway()
        failing.upstream.status = 500
        last = self.add_idle_gateway()
        last.upstream.sheds = True
        # Offered last: an avoided gateway is used only if there is no other.
        node.endpoints.get(last.node_id).avoided_until = math.inf
        thread.wait()
        self.assertEqual([500], [status for status, _ in results])
        self.assertEqual(1, failing.upstream.runs_by_request["q"])

    def start_booking(self):
        self.cluster.configure(
            route(
                "r-a", "/archive/", service="archive", kind="unsafe", timeout_ms=6000
            ),
            service("archive"),
        )
        node = self.entry.server.node
        wait_until(lambda: node.entry.configuration.version == 2, 2)
        return self.start_call(method="POST", Deadline_Remaining="6000")

    def test_booking_at_a_silent_gateway_is_answered_before_its_entry_ends(self):
        """Guards against connections that end with the process, without an answer."""
        self.silent.upstream.service_time_s = 5.0
        thread, results = self.start_booking()
        node = self.entry.server.node
        node.settings = replace(node.settings, stop_grace_s=2.0)
        self.wait_silent()
        started_at = monotonic()
        self.entry.server.stop()
        # The process ends here, and with it the connection of the caller.
        self.assertEqual([504], [status for status, _ in results])
        self.assertLess(monotonic() - started_at, 2.0)
        # The request may run to its end, since it may have had its effect.
        self.assertEqual(1, self.silent.server.node.gateway.in_flight)

    def test_failed_response_is_passed_on_before_its_entry_ends(self):
        """Guards against a 504 in place of a response that an upstream gave."""
        self.cluster.configure(
            route(
                "r-a", "/archive/", service="archive", max_attempts=4, timeout_ms=6000
            ),
            service("archive"),
        )
        node = self.entry.server.node
        wait_until(lambda: node.entry.configuration.version == 2, 2)
        self.allow_retries(2)
        self.silent.upstream.service_time_s = 5.0
        _, results = self.start_call(Deadline_Remaining="6000")
        failing, slow = self.add_idle_gateway(), self.add_idle_gateway()
        failing.upstream.status = 500
        slow.upstream.service_time_s = 5.0
        # Offered last: an avoided gateway is used only if there is no other.
        node.endpoints.get(slow.node_id).avoided_until = math.inf
        wait_until(lambda: slow.upstream.runs_by_request["q"])
        node.settings = replace(node.settings, stop_grace_s=2.0)
        self.entry.server.stop()
        self.assertEqual([500], [status for status, _ in results])

    def test_read_in_its_gateway_is_answered_before_its_entry_ends(self):
        """Guards against connections that end with the process, without an answer."""
        self.entry.upstream.service_time_s = 5.0
        self.cluster.configure(
            route("r-b", "/booking/", service="booking", timeout_ms=6000),
            service("booking"),
        )
        node = self.entry.server.node
        wait_until(lambda: node.entry.configuration.version == 2, 2)
        results = []
        eventlet.spawn(self.call, results, "/booking/1", Deadline_Remaining="6000")
        wait_until(lambda: self.entry.upstream.running)
        node.settings = replace(node.settings, stop_grace_s=2.0)
        self.entry.server.stop()
        self.assertEqual([504], [status for status, _ in results])

    def test_booking_at_a_silent_gateway_outlasts_a_reload_of_its_entry(self):
        """Guards against a reload that ends the calls on links."""
        thread, results = self.start_booking()
        self.wait_silent()
        server = self.entry.server
        upstream = replace(server.settings.upstream, address="127.0.0.1:1")
        server.node.reload(replace(server.settings, upstream=upstream), cause="signal")
        thread.wait()
        self.assertEqual([200], [status for status, _ in results])
