"""Fair shares of the service time of an upstream.

Load: the callers of several workspaces together ask for more than an upstream serves,
and some of them for many times their usual, or again at once after a refusal. Calls of
a workspace that has had more than its share of the recent service time go after those
of the others, the further above it the later. Shares are in proportion to the
allowances, so that a large workspace is not cut down to the size of a small one. Each
workspace may be a few calls above its share: a gateway sees too few calls of one
workspace for an exact share, and an exact one would push back calls that have waited,
in favour of new ones. Does no I/O and reads no clock.
"""

from dataclasses import dataclass

from verbenawick.workspaces._model import Workspaces

# Time in which the weight of past service halves, seconds. Short enough that a burst of
# a workspace is forgotten soon after it has ended.
HALF_LIFE_S = 2.0
# Calls of mean service time by which a workspace may be above its share.
TOLERATED_CALLS = 3
# Service time below which a workspace counts as absent, seconds.
MIN_SERVICE_S = 0.001


def weights_by_workspace(workspaces: Workspaces) -> dict[str, float]:
    """Return the share of each workspace relative to the largest allowance.

    Workspaces without a limit count like the largest one.
    """
    by_name = workspaces.by_name
    largest = max((workspace.rate_per_s for workspace in by_name.values()), default=0)
    return {
        name: workspace.rate_per_s / largest
        for name, workspace in by_name.items()
        if workspace.rate_per_s
    }


@dataclass(slots=True)
class _RecentService:
    """Service time, of which half is forgotten in each half-life."""

    seconds: float = 0.0
    at: float = 0.0

    def current_s(self, now: float) -> float:
        return self.seconds * 0.5 ** (max(now - self.at, 0.0) / HALF_LIFE_S)

    def add(self, seconds: float, now: float) -> None:
        self.seconds = self.current_s(now) + seconds
        self.at = now


class FairShares:
    """Recent service times of the workspaces that use an upstream.

    Attributes
    ----------
    weight_by_workspace : dict of str to float
        Relative shares; 1 for workspaces that are not in it.
    """

    def __init__(self):
        self.weight_by_workspace: dict[str, float] = {}
        self._total = _RecentService()
        self._service_by_workspace: dict[str, _RecentService] = {}
        self._total_weight = 0.0
        self._next_removal_at = 0.0

    def __len__(self) -> int:
        """Return the number of workspaces that were served recently."""
        return len(self._service_by_workspace)

    def charge(self, workspace: str, service_s: float, now: float) -> None:
        """Charge a granted call with its expected service time, in seconds."""
        if now >= self._next_removal_at:
            self._remove_absent(now)
        service = self._service_by_workspace.get(workspace)
        if service is None:
            service = self._service_by_workspace[workspace] = _RecentService()
            self._total_weight += self._weight(workspace)
        service.add(service_s, now)
        self._total.add(service_s, now)

    def excess(self, workspace: str, mean_service_s: float, now: float) -> int:
        """Return how far a workspace is above its share, 0 if within the tolerance.

        Parameters
        ----------
        mean_service_s : float
            Mean service time of a call, seconds.
        """
        service = self._service_by_workspace.get(workspace)
        if service is None or len(self._service_by_workspace) < 2:
            return 0
        share = self._weight(workspace) / self._total_weight
        excess_s = service.current_s(now) - share * self._total.current_s(now)
        return max(int(excess_s / (TOLERATED_CALLS * mean_service_s)), 0)

    def _weight(self, workspace: str) -> float:
        return self.weight_by_workspace.get(workspace, 1.0)

    def _remove_absent(self, now: float) -> None:
        self._service_by_workspace = {
            workspace: service
            for workspace, service in self._service_by_workspace.items()
            if service.current_s(now) > MIN_SERVICE_S
        }
        self._total_weight = sum(map(self._weight, self._service_by_workspace))
        self._next_removal_at = now + HALF_LIFE_S
