"""Data model of workspaces and the digests of their keys."""

import secrets
from dataclasses import dataclass, field
from hashlib import blake2b

# Random for each process, so that digests in memory reveal no keys.
_SALT = secrets.token_bytes(16)
_DIGEST_BYTES = 16


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is looked up in this process."""
    return blake2b(
        key.encode("utf-8", "replace"), digest_size=_DIGEST_BYTES, key=_SALT
    ).digest()


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
