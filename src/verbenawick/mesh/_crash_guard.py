"""Refusal of requests that crash the upstreams that run them.

A request that was running when an upstream crashed is a suspect. Equal requests are
refused once `CRASHES_TO_REFUSE` upstreams crashed with one of them running and fewer of
them ended well, since a frequent read is running at any crash.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

CRASHES_TO_REFUSE = 3
# Suspects are forgotten after this time without a further crash, seconds.
MEMORY_S = 600.0
MAX_SUSPECTS = 2000


@dataclass(slots=True)
class _Suspect:
    upstream_ids: set[str] = field(default_factory=set)
    completions: int = 0
    forget_at: float = 0.0


class CrashGuard:
    """Crashes and completions of equal requests by their fingerprint."""

    def __init__(self):
        self._suspects_by_fingerprint: OrderedDict[bytes, _Suspect] = OrderedDict()

    def on_crash(
        self, upstream_id: str, fingerprints: tuple[bytes, ...], now: float
    ) -> None:
        """Count a crash of `upstream_id` against what it was running."""
        for fingerprint in fingerprints:
            suspect = self._suspects_by_fingerprint.setdefault(fingerprint, _Suspect())
            suspect.upstream_ids.add(upstream_id)
            suspect.forget_at = now + MEMORY_S
            self._suspects_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspects_by_fingerprint) > MAX_SUSPECTS:
            self._suspects_by_fingerprint.popitem(last=False)

    def on_completion(self, fingerprint: bytes) -> None:
        """Count a request that ended without a crash."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.completions += 1

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether equal requests are refused now."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        if now >= suspect.forget_at:
            del self._suspects_by_fingerprint[fingerprint]
            return False
        crashes = len(suspect.upstream_ids)
        return crashes >= CRASHES_TO_REFUSE and crashes > suspect.completions
