"""Rules of the configuration document and its compilation.

Guards against a version with dangling references, and against errors without the path
of the problem and a fix.
"""

from copy import deepcopy
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Contains

from verbenawick.calls._table import Criticality
from verbenawick.configuration._compile import compile_document
from verbenawick.configuration._document import load_document, parse_document
from verbenawick.errors import DocumentError

EXAMPLES = Path(__file__).parent.parent / "examples"
REMOVED = object()

# Path of a changed value in the example, the new value, path in the error if it is
# another one, and text of the fix.
INVALID_VALUES = [
    ("routes_by_id.clearance.servce", "x", None, "use 'service'"),
    ("colour", "red", None, "use one of policies_by_id"),
    ("routes_by_id.clearance.service", "despejo", None, "use 'despeje' or add it"),
    ("services_by_id.archivo.policy", "read", None, "use 'reads' or add it"),
    ("presets_by_id.peak.policies_by_id.gone", {}, None, "add it to policies_by_id"),
    ("presets_by_id.peak", REMOVED, None, "add it"),
    ("presets_by_id.holiday", {}, None, "ordinary, peak, maintenance"),
    ("preset_in_force", "holiday", None, "ordinary, peak, maintenance"),
    ("services_by_id.archivo.policy", REMOVED, None, "add it"),
    ("services_by_id", {}, None, "at least 1 item"),
    ("policies_by_id.reads.timeout_s", 0, None, "greater than 0"),
    ("policies_by_id.reads.timeout_s", 31, None, "less than or equal to 30"),
    ("policies_by_id.reads.timeout_s", float("inf"), None, "finite"),
    ("policies_by_id.reads.timeout_s", "2", None, "valid number"),
    ("policies_by_id.reads.max_attempts", 0, None, "greater than or equal to 1"),
    ("policies_by_id.reads.max_attempts", True, None, "valid integer"),
    ("policies_by_id.reads.retry_budget", 1.5, None, "less than or equal to 1"),
    ("policies_by_id.reads.max_queue_s", 2.5, None, "lower max_queue_s"),
    ("policies_by_id.reads.criticality", "urgent", None, "'low', 'normal' or 'high'"),
    ("policies_by_id.reads.repeatable_methods", ["GET", "GET"], None, "once"),
    ("presets_by_id.peak.policies_by_id.reads.timeout_s", None, None, "valid number"),
    (
        "presets_by_id.peak.policies_by_id.reads.timeout_s",
        0.05,
        "policies_by_id.reads.max_queue_s",
        "raise timeout_s",
    ),
    ("routes_by_id.clearance.match.path_prefix", "despeje", None, "match ^/"),
    ("routes_by_id.clearance.match.path_prefix", "/a/../b", None, "absolute path"),
    (
        "routes_by_id.other",
        {"match": {"path_prefix": "/despeje"}, "service": "archivo"},
        "routes_by_id.other.match",
        "change the path",
    ),
    (
        "routes_by_id.other",
        {
            "match": {"path_prefix": "/archivo/", "methods": ["PUT", "GET"]},
            "service": "archivo",
        },
        "routes_by_id.other.match",
        "change the path",
    ),
]


def example_content(name="andina"):
    """Return an example document as plain data."""
    return load_document(EXAMPLES / f"{name}.json5").content()


def change_at(content, path, value):
    """Return a copy of `content` with the value at `path` replaced or removed."""
    changed = deepcopy(content)
    *parents, last = path.split(".")
    parent = changed
    for part in parents:
        parent = parent[part]
    if value is REMOVED:
        del parent[last]
    else:
        parent[last] = value
    return changed


class TestDocument(TestCase):
    """Validation of whole documents."""

    def test_each_violated_rule_is_reported_with_its_path_and_a_fix(self):
        for changed_path, value, path, fix in INVALID_VALUES:
            with self.subTest(path=changed_path, value=str(value)):
                content = change_at(example_content(), changed_path, value)
                error = self.assertRaises(DocumentError, parse_document, content)
                self.assertEqual(path or changed_path, error.path)
                self.assertThat(error.message, Contains(fix))

    def test_all_problems_are_reported_at_once(self):
        content = change_at(example_content(), "services_by_id.archivo.policy", "x")
        content = change_at(content, "routes_by_id.clearance.service", "y")
        error = self.assertRaises(DocumentError, parse_document, content)
        self.assertEqual(2, len(error.message.splitlines()))

    def test_repeated_id_in_a_file_is_refused_with_its_path(self):
        text = (EXAMPLES / "andina.json5").read_text(encoding="utf-8")
        text = text.replace(
            "archivo: { policy", 'despeje: { policy: "reads" }, archivo: { policy'
        )
        with TemporaryDirectory() as directory:
            path = Path(directory) / "twice.json5"
            path.write_text(text, encoding="utf-8")
            error = self.assertRaises(DocumentError, load_document, path)
        self.assertEqual("services_by_id.despeje", error.path)

    def test_unreadable_file_is_refused(self):
        for path in (EXAMPLES / "absent.json5", Path(__file__)):
            self.assertRaises(DocumentError, load_document, path)

    def test_content_of_a_document_parses_to_the_same_document(self):
        for name in ("andina", "guild"):
            content = example_content(name)
            self.assertEqual(content, parse_document(content).content())


class TestCompile(TestCase):
    """Compilation into the routing table."""

    def compile(self, name, preset):
        """Return the routing table of an example with a preset in force."""
        content = change_at(example_content(name), "preset_in_force", preset)
        return compile_document(parse_document(content), 7, b"d")

    def test_first_match_is_the_most_specific_route(self):
        routes = [route.route_id for route in self.compile("guild", "peak").routes]
        self.assertLess(routes.index("fee-schedules"), routes.index("fee"))

    def test_route_with_host_or_methods_precedes_one_without(self):
        content = example_content()
        for name, match in {
            "a-any": {"path_prefix": "/x/"},
            "b-method": {"path_prefix": "/x/", "methods": ["GET"]},
            "c-host": {"path_prefix": "/x/", "host": "portal.example"},
        }.items():
            route = {"match": match, "service": "archivo"}
            content = change_at(content, f"routes_by_id.{name}", route)
        table = compile_document(parse_document(content), 1, b"")
        ids = [route.route_id for route in table.routes if route.path_prefix == "/x/"]
        self.assertEqual(["c-host", "b-method", "a-any"], ids)

    def test_preset_overrides_apply_only_under_that_preset(self):
        ordinary = self.compile("andina", "ordinary")
        peak = self.compile("andina", "peak")
        reads = ordinary.policies_by_service_id["archivo"]
        reads_at_peak = peak.policies_by_service_id["archivo"]
        self.assertEqual((3, 2), (reads.max_attempts, reads_at_peak.max_attempts))
        self.assertEqual(reads.timeout_s, reads_at_peak.timeout_s)
        self.assertEqual(Criticality.NORMAL, peak.criticality_floor)
        self.assertEqual((7, b"d", "peak"), (peak.version, peak.digest, peak.preset))

    def test_every_service_of_the_examples_refuses_unkeyed_writes(self):
        for name in ("andina", "guild"):
            policies = self.compile(name, "ordinary").policies_by_service_id
            self.assertEqual(4, len(policies))
            for policy in policies.values():
                self.assertTrue(policy.key_required)
                self.assertNotIn("POST", policy.repeatable_methods)
