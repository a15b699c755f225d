"""Quarantine of requests that crash upstreams.

A request that was running when an upstream crashed becomes a suspect. Equal requests
(same caller, method, target and body) are refused once `CRASH_THRESHOLD` processes of
upstreams crashed while running one. A frequent read is running during almost any crash,
so a completion at any upstream clears the crashes known until then: a request that
crashes upstreams crashes each one that runs it.

What a node knows of a crash is one of three states: unknown, known, cleared. Merging
takes the later one, so that all nodes reach the same state, in whatever order, how late
and how often they are told. A cleared crash is kept as long as any other, since it
would otherwise count again when a late message brings it back.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from verbenawick.runtime._events import Event, emit, register_event

CRASH_THRESHOLD = 3
# A crash expires after this time without another one of the same request, seconds.
CRASH_TTL_S = 600.0
MAX_CRASHES = 4000
# Time for which a completion clears crashes that become known after it, seconds. Their
# notices and the completion may arrive in either order.
COMPLETION_TTL_S = 3.0
MAX_COMPLETIONS = 1000
DIGEST_BYTES = 8


@register_event(725, level="WARNING")
@dataclass(frozen=True, slots=True)
class CrashingRequestRefused(Event):
    """Equal requests crashed several upstreams and are refused from now on."""

    fingerprint: str
    processes: str


@dataclass(frozen=True, slots=True)
class CrashFact:
    """What a node knows of a process that crashed while it ran a request.

    Attributes
    ----------
    process_id : str
        The process; another one may have the same upstream id.
    is_cleared : bool
        Whether an equal request has completed since, or shortly before.
    left_s : float
        Time until the fact expires, seconds; the clocks of nodes differ.
    """

    fingerprint: bytes
    process_id: str
    is_cleared: bool
    left_s: float

    @property
    def key(self) -> "CrashKey":
        """Return what identifies the crash."""
        return self.fingerprint, self.process_id


# Fingerprint of the request, and the process that crashed.
CrashKey = tuple[bytes, str]


@dataclass(slots=True)
class _Crash:
    expires_at: float
    is_cleared: bool = False


class CrashGuard:
    """Counts the crashes of equal requests by fingerprint, until one completes.

    Attributes
    ----------
    on_cleared : callable
        Called with the keys of the crashes that a completion at this node has cleared.
    """

    def __init__(self):
        self.on_cleared: Callable[[set[CrashKey]], None] = lambda keys: None
        # The fingerprint that changed last is the last one.
        self._crashes_by_fingerprint: OrderedDict[bytes, dict[str, _Crash]] = (
            OrderedDict()
        )
        self._completed_until: OrderedDict[bytes, float] = OrderedDict()
        self._count = 0
        self._digest = 0

    def __len__(self) -> int:
        return self._count

    @property
    def digest(self) -> bytes:
        """Return a hash of all crashes and whether they are cleared."""
        return self._digest.to_bytes(DIGEST_BYTES)

    def record_crash(
        self, process_id: str, fingerprints: Iterable[bytes], now: float
    ) -> list[CrashFact]:
        """Record a crash of a process for each request that it was running.

        Returns
        -------
        list of CrashFact
            What was not known before.
        """
        return self.merge(
            [CrashFact(f, process_id, False, CRASH_TTL_S) for f in fingerprints], now
        )

    def merge(self, facts: Iterable[CrashFact], now: float) -> list[CrashFact]:
        """Take over what another node knows; return what was not known before."""
        changed = [fact for fact in facts if fact.left_s > 0 and self._put(fact, now)]
        fingerprints = dict.fromkeys(fact.fingerprint for fact in changed)
        for fingerprint in fingerprints:
            if now < self._completed_until.get(fingerprint, now):
                self._clear(fingerprint)
        for fingerprint in {f.fingerprint for f in changed if not f.is_cleared}:
            self._log_refusal(fingerprint)
        keys = {fact.key for fact in changed}
        known = [fact for fact in self.facts(now, fingerprints) if fact.key in keys]
        self._evict()
        return known

    def record_completion(self, fingerprint: bytes, now: float) -> None:
        """Record that a request completed, which clears its known crashes."""
        self._completed_until[fingerprint] = now + COMPLETION_TTL_S
        self._completed_until.move_to_end(fingerprint)
        if len(self._completed_until) > MAX_COMPLETIONS:
            self._completed_until.popitem(last=False)
        if fingerprint in self._crashes_by_fingerprint:
            self._clear(fingerprint)

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether requests with this fingerprint are refused now."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return False
        counted = [
            crash
            for crash in crashes.values()
            if not crash.is_cleared and now < crash.expires_at
        ]
        return len(counted) >= CRASH_THRESHOLD

    def facts(
        self, now: float, fingerprints: Iterable[bytes] | None = None
    ) -> list[CrashFact]:
        """Return what is known, of all requests or of those with `fingerprints`."""
        if fingerprints is None:
            fingerprints = self._crashes_by_fingerprint
        return [
            CrashFact(fingerprint, process_id, crash.is_cleared, crash.expires_at - now)
            for fingerprint in fingerprints
            for process_id, crash in self._crashes_by_fingerprint.get(
                fingerprint, {}
            ).items()
        ]

    def expire(self, now: float) -> None:
        """Remove the crashes that have expired."""
        for fingerprint, crashes in list(self._crashes_by_fingerprint.items()):
            for process_id, crash in list(crashes.items()):
                if now >= crash.expires_at:
                    self._remove(fingerprint, process_id)

    def _put(self, fact: CrashFact, now: float) -> bool:
        """Merge one fact; return whether it was not known before."""
        fingerprint = fact.fingerprint
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, {})
        crash = crashes.get(fact.process_id)
        if crash is None:
            left_s = min(fact.left_s, CRASH_TTL_S)
            crashes[fact.process_id] = _Crash(now + left_s, fact.is_cleared)
            self._count += 1
        elif fact.is_cleared and not crash.is_cleared:
            self._digest ^= _hash_of(fingerprint, fact.process_id, is_cleared=False)
            crash.is_cleared = True
        else:
            return False
        self._digest ^= _hash_of(
            fingerprint, fact.process_id, is_cleared=fact.is_cleared
        )
        self._crashes_by_fingerprint.move_to_end(fingerprint)
        counted = [crash for crash in crashes.values() if not crash.is_cleared]
        expires_at = max((crash.expires_at for crash in counted), default=0.0)
        for crash in counted:
            crash.expires_at = expires_at
        return True

    def _clear(self, fingerprint: bytes) -> None:
        """Clear all known crashes of a request that has completed."""
        keys = set()
        for process_id, crash in self._crashes_by_fingerprint[fingerprint].items():
            if not crash.is_cleared:
                crash.is_cleared = True
                keys.add((fingerprint, process_id))
                self._digest ^= _hash_of(fingerprint, process_id, is_cleared=False)
                self._digest ^= _hash_of(fingerprint, process_id, is_cleared=True)
        if keys:
            self.on_cleared(keys)

    def _evict(self) -> None:
        """Forget the requests that changed longest ago while there are too many."""
        while self._count > MAX_CRASHES:
            fingerprint = next(iter(self._crashes_by_fingerprint))
            for process_id in list(self._crashes_by_fingerprint[fingerprint]):
                self._remove(fingerprint, process_id)

    def _remove(self, fingerprint: bytes, process_id: str) -> None:
        crashes = self._crashes_by_fingerprint[fingerprint]
        crash = crashes.pop(process_id)
        self._count -= 1
        self._digest ^= _hash_of(fingerprint, process_id, is_cleared=crash.is_cleared)
        if not crashes:
            del self._crashes_by_fingerprint[fingerprint]

    def _log_refusal(self, fingerprint: bytes) -> None:
        """Log that the latest crash makes equal requests be refused, if it does."""
        crashes = self._crashes_by_fingerprint[fingerprint]
        counted = [name for name, crash in crashes.items() if not crash.is_cleared]
        if len(counted) == CRASH_THRESHOLD:
            emit(CrashingRequestRefused(fingerprint.hex(), ",".join(sorted(counted))))


def _hash_of(fingerprint: bytes, process_id: str, *, is_cleared: bool) -> int:
    """Return a hash of a crash; those of all crashes are combined by XOR."""
    content = fingerprint + bytes([is_cleared]) + process_id.encode()
    return int.from_bytes(blake2b(content, digest_size=DIGEST_BYTES).digest())
