"""Quarantine of requests that crash upstreams.

A request that was running when an upstream crashed becomes a suspect. Equal requests
(same caller, method, target and body) are refused once `CRASH_THRESHOLD` processes of
upstreams crashed while running one. A frequent read is running during almost any crash,
so a request that completes at any upstream is no suspect: a request that crashes
upstreams crashes each one that runs it.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from verbenawick.runtime._events import Event, emit, register_event

CRASH_THRESHOLD = 3
# Crashes from which the other nodes are told of a completion, so that they do not
# refuse the request after the next one.
SHARED_THRESHOLD = CRASH_THRESHOLD - 1
# A suspect expires after this time without another crash, seconds.
SUSPECT_TTL_S = 600.0
MAX_SUSPECTS = 2000


@register_event(725, level="WARNING")
@dataclass(frozen=True, slots=True)
class CrashingRequestRefused(Event):
    """Equal requests crashed several upstreams and are refused from now on."""

    fingerprint: str
    processes: str


@dataclass(slots=True)
class _Suspect:
    process_ids: set[str] = field(default_factory=set)
    has_completed: bool = False
    expires_at: float = 0.0


class CrashGuard:
    """Counts the crashes of equal requests by fingerprint, until one completes.

    Parameters
    ----------
    on_harmless : callable
        Called with the fingerprint of a request that completed, if the other nodes may
        soon refuse equal requests.
    """

    def __init__(
        self, *, on_harmless: Callable[[bytes], None] = lambda fingerprint: None
    ):
        self._on_harmless = on_harmless
        self._suspects_by_fingerprint: OrderedDict[bytes, _Suspect] = OrderedDict()

    def record_crash(
        self, process_id: str, fingerprints: tuple[bytes, ...], now: float
    ) -> bool:
        """Record a crash of a process for each request that it was running.

        Returns
        -------
        bool
            Whether this crash was not known for one of the requests.
        """
        is_new = False
        for fingerprint in fingerprints:
            suspect = self._suspects_by_fingerprint.setdefault(fingerprint, _Suspect())
            if process_id not in suspect.process_ids:
                is_new = True
                suspect.process_ids.add(process_id)
                _log_refusal(fingerprint, suspect)
            suspect.expires_at = now + SUSPECT_TTL_S
            self._suspects_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspects_by_fingerprint) > MAX_SUSPECTS:
            self._suspects_by_fingerprint.popitem(last=False)
        return is_new

    def record_completion(self, fingerprint: bytes) -> None:
        """Record that a request completed without a crash."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return
        suspect.has_completed = True
        if len(suspect.process_ids) >= SHARED_THRESHOLD:
            self.discard(fingerprint)
            self._on_harmless(fingerprint)

    def discard(self, fingerprint: bytes) -> bool:
        """Return whether the request was a suspect, which it is no more."""
        return self._suspects_by_fingerprint.pop(fingerprint, None) is not None

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether requests with this fingerprint are refused now."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        if now >= suspect.expires_at:
            del self._suspects_by_fingerprint[fingerprint]
            return False
        return len(suspect.process_ids) >= CRASH_THRESHOLD and not suspect.has_completed


def _log_refusal(fingerprint: bytes, suspect: _Suspect) -> None:
    """Log that the latest crash makes equal requests be refused, if it does."""
    if len(suspect.process_ids) == CRASH_THRESHOLD and not suspect.has_completed:
        processes = ",".join(sorted(suspect.process_ids))
        emit(CrashingRequestRefused(fingerprint.hex(), processes))
