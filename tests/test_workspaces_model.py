"""Model of workspaces: validation, and the index of their keys."""

import math

from testtools import ExpectedException, TestCase

from verbenawick.workspaces._model import (
    Workspace,
    WorkspaceKeys,
    check_workspace,
    digest_key,
    index_workspaces,
)


class WorkspaceTest(TestCase):
    """Validation of single workspaces."""

    def test_valid_workspaces(self):
        """Names of other scripts and workspaces without a limit are allowed."""
        for workspace in (
            Workspace("a"),
            Workspace("Südring 4", 0, 0.0, 0.0),
            Workspace("x" * 256, 7, 1e9, 0.5),
        ):
            check_workspace(workspace)

    def test_invalid_fields_are_named(self):
        """A name with a line break would add headers to requests for upstreams."""
        for field, workspace in (
            ("name", Workspace("")),
            ("name", Workspace("a\r\nX: 1")),
            ("name", Workspace(" a")),
            ("name", Workspace("x" * 257)),
            ("priority", Workspace("a", 2**70)),
            ("rate_per_s", Workspace("a", None, -1.0)),
            ("rate_per_s", Workspace("a", None, math.inf)),
            ("rate_per_s", Workspace("a", None, math.nan)),
            ("burst", Workspace("a", None, 1.0, -0.1)),
        ):
            with ExpectedException(ValueError, f"{field} .*"):
                check_workspace(workspace)


class IndexTest(TestCase):
    """Index of workspaces by key."""

    def entry(self, name: str, *keys: str) -> WorkspaceKeys:
        return WorkspaceKeys(Workspace(name), frozenset(map(digest_key, keys)))

    def test_key_of_two_workspaces_is_invalid_and_not_shown(self):
        """Requests with the key would belong to either of them."""
        entries = [self.entry("a", "k-secret"), self.entry("b", "k2", "k-secret")]
        error = self.assertRaises(ValueError, index_workspaces, entries)
        self.assertIn("'a' and 'b'", str(error))
        self.assertNotIn("k-secret", str(error))

    def test_two_workspaces_of_one_name_are_invalid(self):
        """Their allowances and keys would be mixed."""
        entries = [self.entry("a", "k1"), self.entry("a", "k2")]
        self.assertRaises(ValueError, index_workspaces, entries)

    def test_workspace_without_keys_has_none(self):
        """A workspace may have lost its last key."""
        workspaces = index_workspaces([self.entry("a"), self.entry("b", "k")])
        self.assertEqual({"a", "b"}, workspaces.by_name.keys())
        self.assertEqual({digest_key("k")}, workspaces.by_key_digest.keys())
