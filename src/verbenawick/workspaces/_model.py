"""Data model of workspaces and the digests of their keys."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

# The same for all nodes, which pass digests on to each other. Keys are random, so their
# digests need no salt.
_DIGEST_PURPOSE = b"verbenawick key"
_DIGEST_BYTES = 16
MAX_NAME_LENGTH = 256
MAX_PRIORITY = 2**31


def digest_key(key: str) -> bytes:
    """Return the digest under which all nodes look up a key."""
    return blake2b(
        key.encode("utf-8", "replace"),
        digest_size=_DIGEST_BYTES,
        person=_DIGEST_PURPOSE,
    ).digest()


def parse_key_digest(text: str) -> bytes:
    """Return the digest in its hexadecimal form; raise `ValueError` if it is none."""
    digest = bytes.fromhex(text)
    if len(digest) != _DIGEST_BYTES:
        raise ValueError(f"digest of a key has {len(digest)} bytes")
    return digest


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace of the configuration.

    Attributes
    ----------
    priority : int or None
        Replaces the priority of the route; 0 is served first.
    rate_per_s, burst : float
        Allowance of the workspace over all nodes: requests per second, and requests
        that may come at once. No limit if `rate_per_s` is 0.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Workspaces:
    """The workspaces of one configuration, by name and by digest of a key."""

    by_name: dict[str, Workspace] = field(default_factory=dict)
    by_key_digest: dict[bytes, Workspace] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WorkspaceKeys:
    """A workspace and the digests of its keys."""

    workspace: Workspace
    key_digests: frozenset[bytes]


def check_workspace(workspace: Workspace) -> None:
    """Raise `ValueError` if `workspace` is invalid, naming the field."""
    name, priority = workspace.name, workspace.priority
    # The name is sent to upstreams in a header.
    if not 0 < len(name) <= MAX_NAME_LENGTH or not _is_text(name):
        raise ValueError(
            f"name does not have 1 to {MAX_NAME_LENGTH} printable characters"
        )
    if priority is not None and abs(priority) > MAX_PRIORITY:
        raise ValueError("priority is out of range")
    for field_name in ("rate_per_s", "burst"):
        value = getattr(workspace, field_name)
        if not 0 <= value < math.inf:
            raise ValueError(f"{field_name} is not a finite number of at least 0")


def _is_text(name: str) -> bool:
    return name.isprintable() and name == name.strip()


def index_workspaces(entries: Iterable[WorkspaceKeys]) -> Workspaces:
    """Return the workspaces by name and by digest of a key.

    Raises
    ------
    ValueError
        Two workspaces have the same name or hold the same key.
    """
    workspaces = Workspaces()
    for entry in entries:
        workspace = entry.workspace
        if workspace.name in workspaces.by_name:
            raise ValueError(f"two workspaces are named {workspace.name!r}")
        workspaces.by_name[workspace.name] = workspace
        for digest in entry.key_digests:
            holder = workspaces.by_key_digest.setdefault(digest, workspace)
            if holder is not workspace:
                raise ValueError(
                    f"workspaces {holder.name!r} and {workspace.name!r} hold the same "
                    "key"
                )
    return workspaces
