"""Which workspace a call belongs to, and which calls are refused."""

from testtools import TestCase

from verbenawick.errors import UnknownKeyError
from verbenawick.workspaces._authentication import find_workspace
from verbenawick.workspaces._model import (
    Workspace,
    WorkspaceKeys,
    digest_key,
    index_workspaces,
)

RED, BLUE = Workspace("red", priority=0), Workspace("blue")


def digests(*keys: str) -> frozenset[bytes]:
    """Return the digests of keys."""
    return frozenset(map(digest_key, keys))


WORKSPACES = index_workspaces(
    (WorkspaceKeys(RED, digests("k1", "k2")), WorkspaceKeys(BLUE, digests("k3")))
)


class FindWorkspaceTest(TestCase):
    """Workspace of a call by its key."""

    def find(self, key: str | None, *, is_anonymous=False):
        digest = digest_key(key) if key is not None else None
        return find_workspace(WORKSPACES, digest, is_anonymous=is_anonymous)

    def test_each_key_of_a_workspace_names_it(self):
        """A key that named another workspace would use up its allowance."""
        for key, workspace in (("k1", RED), ("k2", RED), ("k3", BLUE)):
            self.assertIs(workspace, self.find(key))
            self.assertIs(workspace, self.find(key, is_anonymous=True))

    def test_calls_without_a_key_run_on_anonymous_routes_only(self):
        """Calls made by upstreams have no key."""
        self.assertIsNone(self.find(None, is_anonymous=True))
        self.assertRaises(UnknownKeyError, self.find, None)

    def test_unknown_keys_are_refused_on_all_routes(self):
        """A key that no configuration ever held must not run."""
        for key in ("k4", "", "K1", "k1 ", "k1,k1"):
            self.assertRaises(UnknownKeyError, self.find, key)
            self.assertRaises(UnknownKeyError, self.find, key, is_anonymous=True)
