"""Tests of the configuration versions of one node."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from tests.memory_mesh import JsonCodec, document
from verbenawick.calls._table import Route, RoutingTable
from verbenawick.configuration._config_state import (
    MAX_STAGED_VERSIONS,
    ConfigState,
    VersionRef,
    withhold_routes,
)
from verbenawick.errors import (
    BaseMismatchError,
    DigestMismatchError,
    DocumentError,
    InvariantError,
    OlderVersionError,
)


class ConfigStateTest(TestCase):
    """Tests of the invariants enforced when the routing table is replaced."""

    def setUp(self):
        super().setUp()
        self.codec = JsonCodec()
        self.state = ConfigState(self.codec)
        self.state.raise_floor(0)

    def ref(self, version, content=None):
        content = content or document({f"r{version}": "base"})
        return VersionRef(version, self.codec.digest_of(content))

    def stage(self, version, content=None):
        content = content or document({f"r{version}": "base"})
        ref = self.ref(version, content)
        self.state.stage_snapshot(ref, self.codec.encode_snapshot(content))
        return ref

    def serve(self, version):
        self.assertTrue(self.state.commit(self.stage(version)))

    def test_lower_version_is_not_staged(self):
        """A replayed older version cannot replace a newer one (invariant 1)."""
        self.serve(2)
        self.assertRaises(OlderVersionError, self.stage, 1)
        self.assertThat(self.state.in_force_ref.version, Equals(2))

    def test_version_below_the_floor_is_not_put_in_force(self):
        """A restarted node does not revert to a version below its floor."""
        state = ConfigState(self.codec)
        self.state = state
        ref = self.stage(2)
        self.assertRaises(InvariantError, state.commit, ref)
        state.raise_floor(3)
        self.assertRaises(OlderVersionError, state.commit, ref)
        self.assertThat(state.in_force, Is(None))

    def test_second_document_of_the_same_version_is_stopped(self):
        """A document cannot replace another one with the same version number."""
        self.serve(1)
        other = self.stage(1, document({"other": "base"}))
        self.assertRaises(InvariantError, self.state.commit, other)

    def test_delta_on_another_base_changes_nothing(self):
        """A delta on a different base is rejected, not applied to the held version."""
        self.serve(1)
        base = self.ref(1, document({"other": "base"}))
        error = BaseMismatchError
        self.assertRaises(error, self.state.stage_deltas, self.ref(2), base, [b"[]"])
        self.assertThat(self.state.held_ref, Equals(self.ref(1)))

    def test_wrong_digest_is_not_held(self):
        """A document that does not match the announced digest is not staged."""
        ref = VersionRef(1, b"other")
        data = self.codec.encode_snapshot(document({}))
        self.assertRaises(DigestMismatchError, self.state.stage_snapshot, ref, data)
        self.assertThat(self.state.held, Is(None))

    def test_version_that_does_not_compile_is_refused_whole(self):
        """The version in force is kept and the refusal recorded (invariant 3)."""
        self.serve(1)
        self.codec.broken_versions.add(2)
        self.assertRaises(DocumentError, self.stage, 2)
        self.assertFalse(self.state.commit(self.ref(2)))
        self.assertThat(self.state.in_force_ref.version, Equals(1))
        self.assertThat(self.state.refusal_of_highest_version().ref.version, Equals(2))
        self.stage(3)
        self.assertThat(self.state.refusal_of_highest_version(), Is(None))

    def test_table_that_breaks_an_invariant_is_refused(self):
        """An invalid table from a compiler bug is not served (invariants 2, 3, 10)."""
        digest = self.ref(1).digest
        dangling = (Route("r", "/", "absent"),)
        for table in (
            RoutingTable(1, digest, "ordinary", routes=dangling),
            RoutingTable(1, digest, "holiday"),
            RoutingTable(2, digest, "ordinary"),
        ):
            self.codec.compile = lambda content, version, digest, t=table: t
            self.assertRaises(InvariantError, self.stage, 1)
        self.assertThat(self.state.held, Is(None))

    def test_staged_versions_are_bounded(self):
        """Memory use is bounded even if a relay never commits."""
        for version in range(1, MAX_STAGED_VERSIONS + 3):
            self.stage(version)
        self.assertFalse(self.state.is_held(self.ref(2)))
        self.assertTrue(self.state.is_held(self.ref(3)))

    def test_routes_to_unknown_services_are_withheld(self):
        """Routes to services without endpoints are not served (invariant 2)."""
        routes = (Route("a", "/a", "known"), Route("b", "/b", "unknown"))
        table = RoutingTable(1, b"", "ordinary", routes=routes)
        served, withheld = withhold_routes(table, frozenset({"known"}))
        self.assertThat([r.route_id for r in served.routes], Equals(["a"]))
        self.assertThat(withheld, Equals(("b",)))
