"""Wire format of the platform: decoding, rejection of invalid input, responses."""

import json

import msgspec
from testtools import TestCase

from verbenawick.mesh._model import CallOutcome, CallResult
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer
from verbenawick.platform._calls import (
    HeaderError,
    PlatformUpstreamProtocol,
    decode_call,
    encode_result,
    http_status_of,
    key_digest_of,
)
from verbenawick.platform._documents import (
    ConfigurationDecoder,
    decode_configuration,
    decode_report,
    hide_keys,
)
from verbenawick.workspaces._model import Workspace, digest_key

REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 3,
    "born": 1700000000000,
}
REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "sequence",
)
ROUTE = {
    "host": "h.example",
    "path_prefix": "/x/",
    "kind": "unsafe",
    "timeout_ms": 1200,
    "target_latency_ms": 300,
    "priority": 1,
    "service": "s",
    "max_attempts": 2,
}


def document(*routes, **changes) -> bytes:
    """Return a configuration document."""
    resources = [
        {"resource_type": "routes", "metadata": {"name": f"r{i}"}, "spec": spec}
        for i, spec in enumerate(routes)
    ]
    resources.append(
        {
            "resource_type": "services",
            "metadata": {"name": "s"},
            "spec": {"health_path": "/h", "max_connections": 9, "tls": False},
        }
    )
    resources.append(
        {
            "resource_type": "limits",
            "metadata": {},
            "spec": {"max_body_bytes": 10, "idle_timeout_ms": 15000},
        }
    )
    return json.dumps({"version": 7, "resources": resources, **changes}).encode()


class ReportTest(TestCase):
    """Status reports."""

    def test_valid_report(self):
        """All fields are decoded and converted to the units of the node."""
        report = decode_report("u1", json.dumps({**REPORT, "new": 1}).encode())
        self.assertEqual(("u1", "s", 4), (report.upstream_id, "s", report.slots))
        self.assertEqual((1.5, 3), (report.cold_left_s, report.sequence))
        self.assertEqual(1700000000000, report.born_ms)
        self.assertFalse(report.is_draining)

    def test_invalid_reports_are_rejected(self):
        """A malformed report must not change the state of the upstream."""
        rows = [
            {k: v for k, v in REPORT.items() if k != name} for name in REQUIRED_FIELDS
        ]
        rows += [
            {**REPORT, "state": "resting"},
            {**REPORT, "slots": "4"},
            {**REPORT, "slots": 0},
            {**REPORT, "sequence": None},
            {**REPORT, "service": ""},
            {**REPORT, "service": ["s"]},
            {**REPORT, "zone": 1},
            {**REPORT, "version": None},
            {**REPORT, "born": 1.5},
            {**REPORT, "slots": 2**63},
            {**REPORT, "sequence": 10**400},
            {**REPORT, "born": 2**63},
            [],
            "x",
            None,
        ]
        bodies = [json.dumps(row).encode() for row in rows]
        bodies += [b"", b"{", b"\xff\x00", json.dumps(REPORT).encode()[:-5]]
        for body in bodies:
            self.assertRaises(
                (msgspec.MsgspecError, ValueError), decode_report, "u1", body
            )


class ConfigurationTest(TestCase):
    """Configuration documents."""

    def test_routes_services_and_limits(self):
        """All fields are decoded; a lost one would change how requests are served."""
        split = {k: v for k, v in ROUTE.items() if k != "service"}
        split["weighted_split"] = [
            {"service": "s", "weight": 90},
            {"service": "t", "weight": 10},
        ]
        split["kind"] = "safe"
        configuration = decode_configuration(document(ROUTE, split), 42)
        plain, weighted = configuration.routes
        self.assertEqual((7, 42), (configuration.version, configuration.revision))
        self.assertEqual(
            (1.2, 0.3, 1, 2),
            (plain.timeout_s, plain.objective_s, plain.priority, plain.max_attempts),
        )
        self.assertFalse(plain.is_idempotent)
        self.assertTrue(weighted.is_idempotent)
        self.assertEqual([90, 10], [t.weight for t in weighted.targets])
        self.assertEqual("/h", configuration.services_by_name["s"].health_path)
        self.assertEqual(10, configuration.limits.max_body_bytes)
        self.assertEqual(15.0, configuration.limits.idle_timeout_s)

    def test_unknown_route_kinds_are_not_idempotent(self):
        """Only requests of routes declared idempotent may run twice."""
        for kind in ("new", "upload"):
            configuration = decode_configuration(document({**ROUTE, "kind": kind}), 1)
            self.assertFalse(configuration.routes[0].is_idempotent, kind)

    def test_invalid_documents_are_rejected(self):
        """A version must never be in force in part."""
        no_service = {k: v for k, v in ROUTE.items() if k != "service"}
        rows = (
            document(no_service),
            document({**ROUTE, "timeout_ms": "long"}),
            document({k: v for k, v in ROUTE.items() if k != "host"}),
            document(ROUTE, version="7"),
            document(ROUTE)[:-9],
            b"null",
            b"",
        )
        for row in rows:
            self.assertRaises(
                (msgspec.MsgspecError, ValueError), decode_configuration, row, 1
            )


class WorkspaceDocumentTest(TestCase):
    """Workspaces in configuration documents."""

    def workspace(self, name="w", **spec) -> dict:
        return {"resource_type": "tenants", "metadata": {"name": name}, "spec": spec}

    def decode(self, *workspaces: dict, decode=decode_configuration):
        content = json.loads(document(ROUTE))
        content["resources"] += workspaces
        return decode(json.dumps(content).encode(), 1)

    def test_documents_without_workspaces_need_no_keys(self):
        """Deployments without workspaces are served as before."""
        self.assertIsNone(self.decode().workspaces)
        self.assertFalse(self.decode().routes[0].is_anonymous)

    def test_workspaces_and_anonymous_routes(self):
        """Fields of later releases are ignored."""
        configuration = self.decode(
            self.workspace(
                "w1", api_keys=["a", "b"], priority=0, rate_per_s=7, burst=3.5, new=1
            ),
            self.workspace("w2", api_keys=["c"]),
        )
        workspaces = configuration.workspaces
        first, second = Workspace("w1", 0, 7.0, 3.5), Workspace("w2")
        self.assertEqual({"w1": first, "w2": second}, workspaces.by_name)
        expected = {"a": first, "b": first, "c": second}
        self.assertEqual(
            {digest_key(key): value for key, value in expected.items()},
            workspaces.by_key_digest,
        )
        route = decode_configuration(document({**ROUTE, "allow_anonymous": True}), 1)
        self.assertTrue(route.routes[0].is_anonymous)

    def test_invalid_workspaces_are_located_without_their_keys(self):
        """Keys in the reason of a rejected document would get into logs."""
        key = "k-secret"
        for place, workspaces in (
            ("'w'.*rate_per_s", [self.workspace(api_keys=[key], rate_per_s=-1)]),
            ("'w'.*rate_per_s", [self.workspace(api_keys=[key], rate_per_s=None)]),
            ("'w'.*burst", [self.workspace(api_keys=[key], burst="1")]),
            ("'w'.*priority", [self.workspace(api_keys=[key], priority=2**70)]),
            ("'w'.*api_keys", [self.workspace(api_keys=key)]),
            ("'w'.*api_keys", [self.workspace(api_keys=[key, 7])]),
            ("'w'.*api_keys", [self.workspace(api_keys=[[key]])]),
            ("name", [self.workspace("a\nb", api_keys=[key])]),
            (
                "'v' and 'w'",
                [self.workspace("v", api_keys=[key]), self.workspace(api_keys=[key])],
            ),
        ):
            error = self.assertRaises(ValueError, self.decode, *workspaces)
            self.assertRegex(str(error), place)
            self.assertNotIn(key, str(error))

    def test_changed_keys_are_decoded_again(self):
        """The decoder keeps resources that are the same in the next document."""
        decode = ConfigurationDecoder().decode
        for key in ("k1", "k2", "k1"):
            configuration = self.decode(self.workspace(api_keys=[key]), decode=decode)
            self.assertEqual(
                [digest_key(key)], list(configuration.workspaces.by_key_digest)
            )

    def test_documents_for_other_nodes_have_digests_instead_of_keys(self):
        """Guards against keys in messages between nodes and in memory."""
        content = json.loads(document(ROUTE))
        content["resources"] += [
            self.workspace("w1", api_keys=["k-secret", 'a]"é'], rate_per_s=3, new=[1]),
            self.workspace("w2", api_keys=[]),
            self.workspace("w3"),
        ]
        for indent in (None, 1):
            data = json.dumps(content, indent=indent).encode()
            hidden = hide_keys(data)
            for key in (b"k-secret", b"a]", b"api_keys"):
                self.assertNotIn(key, hidden)
            self.assertEqual(
                decode_configuration(data, 1), decode_configuration(hidden, 1)
            )
            self.assertEqual(hidden, hide_keys(hidden))

    def test_documents_without_keys_stay_as_they_are(self):
        """All nodes have to hold the same bytes, also of an invalid document."""
        without = json.loads(document(ROUTE))
        invalid = {**without, "resources": [self.workspace(api_keys=[["k"], 1])]}
        for content in (without, invalid, ["tenants"], "tenants"):
            data = json.dumps(content).encode()
            self.assertEqual(data, hide_keys(data))
        deep = b'{"tenants":%s}' % (b"[" * 5000)
        self.assertEqual(deep, hide_keys(deep))

    def test_digests_that_are_none_make_a_document_invalid(self):
        """A digest of another length would match no key."""
        for digest in ("x", "00", "00" * 17):
            spec = {"verbenawick_key_digests": [digest]}
            self.assertRaises(ValueError, self.decode, self.workspace(**spec))

    def test_decoder_keeps_no_keys(self):
        """Guards against keys in memory dumps and in the text of objects."""
        decoder = ConfigurationDecoder()
        decoded = self.decode(
            self.workspace(api_keys=["k-secret"]), decode=decoder.decode
        )
        self.assertNotIn("k-secret", repr(decoded) + repr(vars(decoder)))


class CallTest(TestCase):
    """Headers of requests and responses."""

    def environ(self, *headers, **changes):
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": "/x/a b",
            "RAW_PATH_INFO": "/x/a%20b",
            "HTTP_HOST": "h.example:80",
            "HTTP_ATTEMPT_ID": "q1",
            "HTTP_DEADLINE_REMAINING": "800",
            "headers_raw": [("Host", "h.example:80"), ("Attempt-Id", "q1"), *headers],
        }
        return {**environ, **changes}

    def decode(self, environ, **options):
        return decode_call(environ, b"", caller_service="own", now=5.0, **options)

    def test_request_is_forwarded_unchanged(self):
        """Percent-encoding in path and query is preserved."""
        call = self.decode(self.environ(("X-Y", "1"), QUERY_STRING="a=%2F"))
        self.assertEqual("/x/a%20b?a=%2F", call.target)
        self.assertEqual(("q1", "h.example"), (call.call_id, call.host))
        self.assertEqual((0.8, 5.0), (call.caller_timeout_s, call.arrived_at))
        self.assertIn(("X-Y", "1"), call.headers)
        self.assertIn(("Attempt-Id", "q1"), call.headers)

    def test_headers_set_by_the_node_cannot_be_forged(self):
        """Forged values of these headers are dropped, and so are hop-by-hop headers."""
        call = self.decode(
            self.environ(
                ("Caller-Service", "forged"),
                ("Target-Instance", "forged"),
                ("Deadline-Remaining", "800"),
                ("Connection", "X-Hop"),
                ("X-Hop", "1"),
                HTTP_CONNECTION="X-Hop",
            )
        )
        sent = PlatformUpstreamProtocol().request_headers(
            call.headers,
            caller_service=call.caller_service,
            upstream_id="u1",
            left_s=0.5,
        )
        names = [name for name, _ in sent]
        self.assertEqual(1, names.count("Caller-Service"))
        self.assertIn(("Caller-Service", "own"), sent)
        names = [name for name, _ in call.headers]
        for name in ("Target-Instance", "Deadline-Remaining", "X-Hop", "Connection"):
            self.assertNotIn(name, names)

    def test_keys_are_not_forwarded(self):
        """Upstreams get the name of the workspace and no key, whatever was sent."""
        environ = self.environ(
            ("authorization", "Bearer k1"),
            ("tenant-id", "forged"),
            HTTP_AUTHORIZATION="Bearer k1",
        )
        call = self.decode(environ, has_workspaces=True)
        self.assertEqual(digest_key("k1"), call.key_digest)
        self.assertNotIn("k1", repr(call))
        for workspace, expected in (("w", ["w"]), ("", []), ("ä", ["Ã¤"])):
            sent = PlatformUpstreamProtocol().request_headers(
                call.headers,
                caller_service="s",
                upstream_id="u1",
                left_s=0.5,
                workspace=workspace,
            )
            named = [v for n, v in sent if n.lower() in ("tenant-id", "authorization")]
            self.assertEqual(expected, named)

    def test_headers_are_forwarded_without_workspaces(self):
        """Without workspaces, these headers belong to the upstreams."""
        headers = (("Authorization", "Basic x"), ("Tenant-Id", "t"))
        call = self.decode(self.environ(*headers, HTTP_AUTHORIZATION="Basic x"))
        self.assertIsNone(call.key_digest)
        self.assertEqual(headers, call.headers[-2:])

    def test_key_of_a_request(self):
        """Only a single key of the scheme counts as one."""
        for text, key in (
            ("Bearer k1", "k1"),
            ("bearer   k1 ", "k1"),
            ("Bearer", None),
            ("Bearer ", None),
            ("Basic k1", None),
            ("k1", None),
            ("", None),
            ("Bearer k1,Bearer k2", "k1,Bearer k2"),
        ):
            digest = key_digest_of({"HTTP_AUTHORIZATION": text})
            self.assertEqual(digest_key(key) if key else None, digest, text)
        self.assertIsNone(key_digest_of({}))

    def test_deadline_header(self):
        """An invalid value is ignored, so that the timeout of the route applies."""
        for text, expected in (
            ("800", 0.8),
            ("0.5", 0.0005),
            ("0", None),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("soon", None),
        ):
            call = self.decode(self.environ(HTTP_DEADLINE_REMAINING=text))
            self.assertEqual(expected, call.caller_timeout_s, text)

    def test_request_without_an_id_is_rejected(self):
        """Its response could not be distinguished from that of another request."""
        self.assertRaises(HeaderError, self.decode, self.environ(HTTP_ATTEMPT_ID=""))

    def test_statuses_reflect_whether_the_request_ran(self):
        """503 promises that the request did not run; 502 and 504 leave it open."""
        not_run, unknown = CallOutcome.NOT_RUN, CallOutcome.UNKNOWN
        rows = (
            (not_run, "call.queue-full", 503),
            (not_run, "call.not-ready", 503),
            (not_run, "call.quarantined", 503),
            (not_run, "call.deadline-unreachable", 503),
            (not_run, "call.no-route", 404),
            (not_run, "call.unknown-key", 401),
            (unknown, "call.unknown-key", 502),
            (not_run, "call.bad-request", 400),
            (not_run, "call.request-too-large", 413),
            (unknown, "call.timeout", 504),
            (unknown, "call.peer-lost", 502),
            (unknown, "call.bad-response", 502),
            (unknown, "call.queue-full", 502),
            (unknown, "never-heard-of", 502),
        )
        for outcome, code, status in rows:
            self.assertEqual(status, http_status_of(CallResult(outcome, code)), code)

    def test_refusal_has_a_retry_after_header(self):
        """Without the header, all refused callers would retry immediately."""
        result = CallResult(CallOutcome.NOT_RUN, "call.queue-full", retry_after_s=0.25)
        status, headers, _ = encode_result(result, "q1")
        self.assertTrue(status.startswith("503 "))
        self.assertIn(("Retry-After", "0.250"), headers)

    def test_classification_of_upstream_answers(self):
        """An answer to another request must not be forwarded to the caller."""
        protocol = PlatformUpstreamProtocol()
        rows = (
            (200, [("attempt-id", "q1")], AnswerKind.MATCHING),
            (500, [("Attempt-Id", "q1")], AnswerKind.MATCHING),
            (200, [("Attempt-Id", "q0")], AnswerKind.MISMATCHED),
            (200, [], AnswerKind.MISMATCHED),
            (503, [("Not-Executed", "1"), ("Attempt-Id", "q1")], AnswerKind.NOT_RUN),
            (503, [("Not-Executed", "1"), ("Attempt-Id", "q0")], AnswerKind.MISMATCHED),
            (400, [("Not-Executed", "1")], AnswerKind.NOT_RUN),
            (421, [("Instance-Id", "u9")], AnswerKind.OTHER_UPSTREAM),
            (421, [("Attempt-Id", "q0")], AnswerKind.MISMATCHED),
        )
        for status, headers, expected in rows:
            answer = RawAnswer(status, headers)
            kind = protocol.classify(answer, request_id="q1")
            self.assertEqual(expected, kind, (status, headers))

    def test_named_rate_and_leave_are_read_from_answers(self):
        """Guards against a rate of infinity or an error from a faulty upstream."""
        protocol = PlatformUpstreamProtocol()
        for text, rate in (("30.5", 30.5), ("0", 0.0), ("-1", None), ("nan", None)):
            answer = RawAnswer(200, [("Server-Limit", text)])
            self.assertEqual(rate, protocol.rate_limit_of(answer), text)
        for text in ("", "x", "inf", "9" * 5000):
            answer = RawAnswer(200, [("server-limit", text)])
            self.assertIsNone(protocol.rate_limit_of(answer), text)
        for headers, is_leaving in (
            ([("Server-Leaving", "1")], True),
            ([("Server-Leaving", "0")], False),
            ([], False),
        ):
            answer = RawAnswer(200, headers)
            self.assertEqual(is_leaving, protocol.is_leaving(answer), headers)

    def test_health_answer_with_further_load_figures_names_the_slots(self):
        """Guards against 0 slots from an upstream that shares its VM."""
        protocol = PlatformUpstreamProtocol()
        for text, slots in (
            ("3,0,8", 8),
            ("3, 0, 8, 140", 8),
            ("3,0,8,140,1", 8),
            ("3,0,8,x", 8),
            ("3,0", 0),
            ("3,0,x,100", 0),
            ("3,0,\u00b2,100", 0),
            ("3,0," + "9" * 5000, 0),
            ("", 0),
        ):
            headers = [("Instance-Id", "u1"), ("Server-Load", text)]
            answer = RawAnswer(200, headers)
            self.assertEqual(("u1", slots), protocol.read_health(answer), text[:20])
