"""Quarantine of requests that crash upstreams.

A request that was running when an upstream crashed becomes a suspect. Equal requests
(same method, target and body) are refused once `CRASH_THRESHOLD` different upstreams
crashed while running one, unless at least as many of them completed: a frequent read
is running during almost any crash.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

CRASH_THRESHOLD = 3
# A suspect expires after this time without another crash, seconds.
SUSPECT_TTL_S = 600.0
MAX_SUSPECTS = 2000


@dataclass(slots=True)
class _Suspect:
    upstream_ids: set[str] = field(default_factory=set)
    completions: int = 0
    expires_at: float = 0.0


class CrashGuard:
    """Counts crashes and completions of equal requests by fingerprint."""

    def __init__(self):
        self._suspects_by_fingerprint: OrderedDict[bytes, _Suspect] = OrderedDict()

    def record_crash(
        self, upstream_id: str, fingerprints: tuple[bytes, ...], now: float
    ) -> bool:
        """Record a crash of `upstream_id` for each request that it was running.

        Returns
        -------
        bool
            Whether this crash was not known for one of the requests.
        """
        is_new = False
        for fingerprint in fingerprints:
            suspect = self._suspects_by_fingerprint.setdefault(fingerprint, _Suspect())
            is_new = is_new or upstream_id not in suspect.upstream_ids
            suspect.upstream_ids.add(upstream_id)
            suspect.expires_at = now + SUSPECT_TTL_S
            self._suspects_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspects_by_fingerprint) > MAX_SUSPECTS:
            self._suspects_by_fingerprint.popitem(last=False)
        return is_new

    def record_completion(self, fingerprint: bytes) -> None:
        """Record that a request completed without a crash."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.completions += 1

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether requests with this fingerprint are refused now."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        if now >= suspect.expires_at:
            del self._suspects_by_fingerprint[fingerprint]
            return False
        crashes = len(suspect.upstream_ids)
        return crashes >= CRASH_THRESHOLD and crashes > suspect.completions
