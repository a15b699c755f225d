"""Outcomes of the calls at the local upstream during a release."""

from verbenawick.releases._judgement import RouteTally

# Routes of a service that have calls; a limit for faulty configurations.
MAX_ROUTES = 64


class ReleaseTally:
    """Counts the calls of the local upstream while a release of its service is active.

    Without a release it keeps nothing.
    """

    def __init__(self):
        self._key: tuple[str, ...] | None = None
        self.by_route: dict[str, RouteTally] = {}

    def follow(self, *key: str) -> None:
        """Count from now on for the release and upstream of `key`; stop without one."""
        if not key:
            self._key = None
            self.by_route = {}
        elif key != self._key:
            self._key = key
            self.by_route = {}

    def add(self, route: str, seconds: float, *, is_failure: bool) -> None:
        """Count a call that has ended at the upstream."""
        if self._key is None:
            return
        tally = self.by_route.get(route)
        if tally is None:
            if len(self.by_route) >= MAX_ROUTES:
                return
            tally = self.by_route[route] = RouteTally()
        tally.calls += 1
        tally.failures += is_failure
        tally.busy_s += seconds
