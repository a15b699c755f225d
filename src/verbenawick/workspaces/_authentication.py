"""Decides which workspace a call belongs to."""

from verbenawick.errors import UnknownKeyError
from verbenawick.workspaces._model import Workspace, Workspaces


def find_workspace(
    workspaces: Workspaces, key_digest: bytes | None, *, is_anonymous: bool
) -> Workspace | None:
    """Return the workspace of a call, None for one that needs no key and has none.

    Parameters
    ----------
    key_digest : bytes or None
        Digest of the key that the caller sent, None without one.
    is_anonymous : bool
        Whether the route of the call needs no key.

    Raises
    ------
    UnknownKeyError
        A key is missing, or no workspace holds the one that was sent.
    """
    if key_digest is None:
        if is_anonymous:
            return None
        raise UnknownKeyError("key is missing", step="entry.key")
    workspace = workspaces.by_key_digest.get(key_digest)
    if workspace is None:
        raise UnknownKeyError("no workspace holds the key", step="entry.key")
    return workspace
