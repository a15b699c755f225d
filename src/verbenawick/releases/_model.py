"""Data model of releases."""

from dataclasses import dataclass
from enum import StrEnum

MAX_NAME_LENGTH = 256
MAX_DURATION_S = 30 * 86_400


class ReleaseState(StrEnum):
    """State of a release."""

    ACTIVE = "active"
    COMPLETED = "completed"  # all calls go to the target version
    ROLLED_BACK = "rolled-back"  # no calls go to the target version


# A completed release is stored, and the other versions are stopped then, whatever a
# leader that has lost the store announced.
_PRECEDENCE = {
    ReleaseState.ACTIVE: 0,
    ReleaseState.ROLLED_BACK: 1,
    ReleaseState.COMPLETED: 2,
}


@dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """Progress of a release as the store keeps it.

    Attributes
    ----------
    share : float
        Share of the service's calls that upstreams of the target version get, 0 to 1.
    remaining_s : float
        Time left of the release when the status was written, seconds. The clocks of
        VMs differ, so the store keeps no instant.
    ordered_at : int
        Revision of the object when the operator wrote the order, 0 if unknown.
    """

    state: ReleaseState
    target_version: str
    share: float = 0.0
    remaining_s: float = 0.0
    reason: str = ""
    ordered_at: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """An operator's order to move a service to the upstreams of a version.

    Attributes
    ----------
    name : str
        Name of the object in the store.
    duration_s : float
        Time that the release may take, seconds.
    revision : int
        Revision of the object in the store.
    status : ReleaseStatus or None
        None until a leader has written one.
    """

    name: str
    service: str
    target_version: str
    duration_s: float
    revision: int
    status: ReleaseStatus | None = None

    @property
    def progress(self) -> ReleaseStatus | None:
        """Return the status, None if it is that of an earlier order."""
        status = self.status
        if status is None or status.target_version != self.target_version:
            return None
        return status

    @property
    def ordered_at(self) -> int:
        """Return the revision at which the operator wrote the order."""
        progress = self.progress
        return (progress and progress.ordered_at) or self.revision


def check_order(order: ReleaseOrder) -> None:
    """Raise `ValueError` if no leader can follow `order`, naming the field."""
    for field, name in (
        ("service", order.service),
        ("target_version", order.target_version),
    ):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise ValueError(f"{field} has {len(name)} characters")
    if not 0 < order.duration_s <= MAX_DURATION_S:
        raise ValueError(f"duration_s is not between 0 and {MAX_DURATION_S}")


@dataclass(frozen=True, slots=True)
class ReleaseView:
    """What all nodes know of a release.

    Attributes
    ----------
    is_final : bool
        Whether gateways of other versions accept no further calls, so that their
        upstreams can be stopped.
    revision : int
        Revision of the order when its status was written last.
    ordered_at : int
        Revision at which the operator wrote the order, 0 if unknown.
    """

    service: str
    target_version: str
    state: ReleaseState
    share: float
    is_final: bool
    revision: int
    ordered_at: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the order of views: of two, the greater one applies.

        A later order comes before an earlier one, and the end of a release before its
        progress, whichever leader announced it and whether it is stored yet.
        """
        return self.ordered_at, _PRECEDENCE[self.state], self.revision
