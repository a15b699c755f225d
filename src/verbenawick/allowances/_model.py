"""Groups of workspaces and the times that delegations and grants last."""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from verbenawick.workspaces._model import Workspace, Workspaces

# Workspaces are divided into this many groups. A node delegates its shares of a whole
# group at once, so the number of delegations does not grow with the workspaces.
GROUPS = 4
# Time from a delegation to its end. After the loss of an owner, its groups are refused
# for up to this long.
DELEGATION_S = 1.5
# An allowance is kept in each window of this length, seconds.
WINDOW_S = 5.0
# Time for which the grant of a request that waits may be used. In a window of W
# seconds, `rate * (W + GRANT_S)` and the burst are admitted at most.
GRANT_S = 0.5
# Time for which a grant ahead of a request may be used. Such grants do not add to the
# bound, since the owner counts them as part of the burst.
AHEAD_S = 1.0

# Part of the tolerance that is used. The rest is for nodes that differ in their number
# of nodes for a moment.
USED_TOLERANCE = 0.8


@dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much the operator lets an allowance be passed in each window.

    Callers are refused less often than with the allowance alone, above all those of
    workspaces with a few requests a second.

    Attributes
    ----------
    excess : float
        Part of the allowance of the window, 0 for none.
    slack : float
        Requests in the window in addition.
    """

    excess: float = 0.0
    slack: float = 0.0

    def extra_rate_per_s(self, workspace: Workspace) -> float:
        """Return by how much the rate of a workspace may be higher, per second."""
        rate_per_s = workspace.rate_per_s
        allowance = rate_per_s * WINDOW_S + workspace.burst
        # Grants that are used late take a part of the tolerance.
        extra = self.excess * allowance + self.slack - rate_per_s * GRANT_S
        return max(USED_TOLERANCE * extra / (WINDOW_S + GRANT_S), 0.0)


def group_of(name: str) -> int:
    """Return the group of a workspace."""
    return xxh3_64_intdigest(name.encode()) % GROUPS


def limited_groups(workspaces: Workspaces | None) -> frozenset[int]:
    """Return the groups with a workspace that has a limit."""
    if workspaces is None:
        return frozenset()
    return frozenset(
        group_of(workspace.name)
        for workspace in workspaces.by_name.values()
        if workspace.rate_per_s > 0
    )


@dataclass(frozen=True, slots=True)
class Grant:
    """One request that may be admitted until `expires_at`."""

    name: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision about one request.

    Attributes
    ----------
    grant : Grant or None
        Given back if the request does not run; None if there is no limit or the request
        is refused.
    code : str
        Code of the refusal, empty if the request is admitted.
    retry_after_s : float
        Time after which the refused request would pass, seconds.
    """

    grant: Grant | None = None
    code: str = ""
    retry_after_s: float = 0.0
