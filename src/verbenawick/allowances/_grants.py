"""Grants of a node: requests that it may admit without asking.

Load: callers of few large workspaces send several requests a second to each node, those
of many small ones a request a minute. Does no I/O and reads no clock.
"""

import math
from collections import deque
from dataclasses import dataclass

from verbenawick.allowances._model import AHEAD_S, Grant

# Time constant of the estimated rate of a workspace at this node, seconds.
RATE_WINDOW_S = 2.0
# After a refusal, further requests of the workspace are refused without an ask for this
# long, seconds.
REFUSAL_HOLD_S = 0.1
MAX_RETRY_AFTER_S = 2.0


@dataclass(slots=True)
class _Refusal:
    """Refusal of an owner, valid until `held_until`."""

    held_until: float
    retry_at: float
    spacing_s: float


@dataclass(slots=True)
class _Rate:
    """Requests of a workspace at this node, decayed with `RATE_WINDOW_S`."""

    weight: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float) -> None:
        self.weight = self.value(now) * RATE_WINDOW_S + 1
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the requests per second."""
        decay = math.exp((self.updated_at - now) / RATE_WINDOW_S)
        return self.weight * decay / RATE_WINDOW_S


class GrantPool:
    """Grants, refusals and rates by workspace."""

    def __init__(self):
        # Grants with equal expiry are kept as one pair of expiry and count.
        self._grants_by_name: dict[str, deque[list[float]]] = {}
        self._refusals_by_name: dict[str, _Refusal] = {}
        self._rates_by_name: dict[str, _Rate] = {}

    def retain(self, names: set[str]) -> None:
        """Forget all other workspaces."""
        for by_name in (
            self._grants_by_name,
            self._refusals_by_name,
            self._rates_by_name,
        ):
            for name in set(by_name) - names:
                del by_name[name]

    def count_request(self, name: str, now: float) -> None:
        """Count a request for the estimated rate."""
        self._rates_by_name.setdefault(name, _Rate()).count(now)

    def expected(self, name: str, now: float) -> int:
        """Return how many requests are expected in the lifetime of a grant ahead."""
        rate = self._rates_by_name.get(name)
        return round(rate.value(now) * AHEAD_S) if rate else 0

    def take(self, name: str, now: float) -> Grant | None:
        """Use one grant, the one that expires first; None without one."""
        grants = self._grants_by_name.get(name)
        while grants:
            expires_at, count = grants[0]
            if now >= expires_at or count <= 1:
                grants.popleft()
            else:
                grants[0][1] -= 1
            if now < expires_at:
                return Grant(name, expires_at)
        return None

    def add(self, name: str, count: int, expires_at: float, now: float) -> None:
        """Add grants unless they have expired."""
        if count > 0 and now < expires_at:
            grants = self._grants_by_name.setdefault(name, deque())
            grants.append([expires_at, count])

    def give_back(self, grant: Grant, now: float) -> bool:
        """Make the grant of a request that did not run usable again, if in time."""
        if now >= grant.expires_at:
            return False
        grants = self._grants_by_name.setdefault(grant.name, deque())
        grants.appendleft([grant.expires_at, 1])
        return True

    def put_refusal(
        self, name: str, retry_in_s: float, spacing_s: float, now: float
    ) -> None:
        """Refuse requests of a workspace for a short time, as its owner did."""
        earlier = self._refusals_by_name.get(name)
        retry_at = now + retry_in_s
        if earlier is not None:
            retry_at = max(retry_at, earlier.retry_at)
        self._refusals_by_name[name] = _Refusal(
            now + REFUSAL_HOLD_S, min(retry_at, now + MAX_RETRY_AFTER_S), spacing_s
        )

    def is_refusing(self, name: str, now: float) -> bool:
        """Return whether requests of a workspace are refused without an ask."""
        refusal = self._refusals_by_name.get(name)
        return refusal is not None and now < refusal.held_until

    def retry_after_s(self, name: str, now: float) -> float:
        """Return the time after which a request that is refused now would pass.

        Each refused request gets a later time, at the rate of this node's share.
        """
        refusal = self._refusals_by_name.get(name)
        if refusal is None:
            return MAX_RETRY_AFTER_S
        retry_at = max(refusal.retry_at, now)
        refusal.retry_at = min(retry_at + refusal.spacing_s, now + MAX_RETRY_AFTER_S)
        return retry_at - now
