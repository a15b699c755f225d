"""Rollout status of a version, read from `config/head` and `status/`."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from time import sleep as sleep_seconds

from verbenawick.configuration._config_store import ConfigStore, HeadState
from verbenawick.configuration._status import (
    STATUS_PREFIX,
    NodeStatus,
    RegionStatus,
    decode_region_status,
)
from verbenawick.errors import (
    StatusError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from verbenawick.links._component import StoreObject
from verbenawick.runtime._clock import Clock, MonotonicClock
from verbenawick.store._store import StoreClient

# Region relays write at least every 5 s. The age is measured by the store's clock.
MAX_REGION_AGE_S = 15.0
POLL_INTERVAL_S = 0.5
REGION_LEASE_PREFIX = "leases/region/"
MAX_HEAD_READS = 3


class RegionState(StrEnum):
    """Whether a version is in force in a region."""

    IN_FORCE = "in-force"
    BEHIND = "behind"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """Rollout of one version in a region.

    Attributes
    ----------
    in_force_count, behind_count, unknown_count : int
        Number of nodes that serve the version or a later one, that serve an earlier
        one, and that sent no recent report. If the state of the region is unknown, all
        nodes count as unknown.
    age_s : float
        Age of the region's status, measured by the store's clock.
    detail : str
        Why the state of the region is unknown.
    """

    region: str
    state: RegionState
    node_count: int
    in_force_count: int
    behind_count: int
    unknown_count: int
    withheld_routes: int
    age_s: float
    detail: str = ""
    behind: tuple[NodeStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Rollout of one version in all regions."""

    head: HeadState
    version: int
    regions: tuple[RegionSummary, ...]

    @property
    def state(self) -> RegionState:
        """State of the rollout: `IN_FORCE` only if all regions are known to serve it.

        Without any region the state is `UNKNOWN`.
        """
        states = {region.state for region in self.regions}
        if not states or not self.version:
            return RegionState.UNKNOWN
        for state in (RegionState.BEHIND, RegionState.UNKNOWN):
            if state in states:
                return state
        return RegionState.IN_FORCE

    def count(self, name: str) -> int:
        """Return the sum of a field over all regions, for example ``"node_count"``."""
        return sum(getattr(region, name) for region in self.regions)


def read_fleet_status(client: StoreClient, *, version: int = 0) -> FleetStatus:
    """Return the status of `version`, or of the accepted version if it is 0.

    Raises
    ------
    StoreUnavailableError
        The store did not respond.
    """
    config = ConfigStore(client)
    for _ in range(MAX_HEAD_READS):
        head = config.read_head()
        objects = client.list(STATUS_PREFIX).objects
        statuses = [_decode(obj) for obj in objects]
        known = max((s.accepted_version for _, s in statuses if s), default=0)
        # If a region knows a later version, the read of the head was stale.
        if head.version >= known:
            break
    target_version = version or max(head.version, known)
    regions = [
        _summarize_region(obj, status, target_version) for obj, status in statuses
    ]
    regions += _regions_without_status(client, {region.region for region in regions})
    return FleetStatus(head, target_version, tuple(regions))


def _regions_without_status(
    client: StoreClient, known: set[str]
) -> list[RegionSummary]:
    """Return the regions that have had a relay but no status object yet."""
    leases = client.list(REGION_LEASE_PREFIX).objects
    regions = [lease.key.removeprefix(REGION_LEASE_PREFIX) for lease in leases]
    return [
        _unknown_region(region, 0, 0.0, "no status was written yet")
        for region in regions
        if region not in known
    ]


def wait_until_in_force(
    client: StoreClient,
    version: int,
    wait_s: float,
    *,
    clock: Clock | None = None,
    sleep: Callable[[float], None] = sleep_seconds,
) -> FleetStatus | None:
    """Return the status once the version is in force everywhere, or at the deadline.

    Returns None if the store did not respond to the last read before the deadline.
    """
    clock = clock or MonotonicClock()
    deadline = clock.now() + wait_s
    while True:
        try:
            status = read_fleet_status(client, version=version)
        except (StoreUnavailableError, StoreAnswerLostError):
            status = None
        is_in_force = status is not None and status.state is RegionState.IN_FORCE
        remaining_s = deadline - clock.now()
        if is_in_force or remaining_s <= 0:
            return status
        sleep(min(POLL_INTERVAL_S, remaining_s))


def _decode(obj: StoreObject) -> tuple[StoreObject, RegionStatus | None]:
    try:
        return obj, decode_region_status(obj.value)
    except StatusError:
        return obj, None


def _summarize_region(
    obj: StoreObject, status: RegionStatus | None, version: int
) -> RegionSummary:
    region = obj.key.removeprefix(STATUS_PREFIX)
    if status is None:
        return _unknown_region(region, 0, obj.age_s, "status cannot be decoded")
    if obj.age_s > MAX_REGION_AGE_S:
        detail = f"status was last updated {obj.age_s:.0f} s ago"
        return _unknown_region(region, status.node_count, obj.age_s, detail)
    counts = status.counts_by_version
    in_force = sum(count for served, count in counts.items() if served >= version)
    behind = sum(counts.values()) - in_force
    unknown = status.node_count - in_force - behind
    if behind:
        state = RegionState.BEHIND
    elif unknown or not in_force:
        state = RegionState.UNKNOWN
    else:
        state = RegionState.IN_FORCE
    return RegionSummary(
        region=region,
        state=state,
        node_count=status.node_count,
        in_force_count=in_force,
        behind_count=behind,
        unknown_count=unknown,
        withheld_routes=status.withheld_routes,
        age_s=obj.age_s,
        behind=status.behind,
    )


def _unknown_region(
    region: str, node_count: int, age_s: float, detail: str
) -> RegionSummary:
    return RegionSummary(
        region=region,
        state=RegionState.UNKNOWN,
        node_count=node_count,
        in_force_count=0,
        behind_count=0,
        unknown_count=node_count,
        withheld_routes=0,
        age_s=age_s,
        detail=detail,
    )
