"""Settings of a node backed by a platform store, read from JSON with comments."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from verbenawick.errors import SettingsError
from verbenawick.settings._json_settings import check_address, load_json_with_comments

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class LocalUpstreamSettings(_Section):
    """Upstream on the same VM as the node.

    Attributes
    ----------
    service : str
        Service of this VM; sent to upstreams as the origin of its calls.
    address : str
        Address of the HTTP listener of the upstream.
    """

    service: str
    address: str


class RetryBudgetSettings(_Section):
    """Limit on retries per service, over all nodes.

    The limit includes the nested calls that retried requests make again, and their
    retries. The nodes cannot count these, and leave room for them; see `_retry_budget`.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Retries allowed in each window in addition to `ratio`.
    window_s : float
        Length of the window over which requests and retries are counted, seconds.
    """

    ratio: Share = 0.1
    slack: Annotated[float, Meta(ge=0)] = 20.0
    window_s: Seconds = 10.0


class ReleaseSettings(_Section):
    """Bounds on releases of new versions; without them the node follows no orders.

    Attributes
    ----------
    max_exposure : float
        Share of a service's calls that a bad version may get, 0 to 1.
    """

    max_exposure: Annotated[float, Meta(gt=0, le=1)]


class AllowanceSettings(_Section):
    """By how much the allowances of workspaces may be passed.

    Attributes
    ----------
    excess : float
        Part of the allowance of each window of 5 s, 0 to 1.
    slack : float
        Requests in each of these windows in addition.
    """

    excess: Share = 0.0
    slack: Annotated[float, Meta(ge=0)] = 0.0


class MeshSettings(_Section):
    """Settings of a node.

    Attributes
    ----------
    call_address : str
        HTTP listener for the callers on this VM.
    peer_address : str
        WebSocket listener for other nodes.
    readiness_address : str
        HTTP listener for readiness checks of the platform.
    report_address : str
        HTTP listener for status reports of the local upstream.
    metrics_address : str
        HTTP listener that serves metrics in the Prometheus text format.
    store_address : str
        HTTP address of the platform's store.
    allowances : AllowanceSettings
        Tolerance of the allowances of workspaces.
    releases : ReleaseSettings or None
        None if the node follows no orders of releases.
    stop_grace_s : float
        Time between the request to stop and the kill by the platform, seconds.
    log_level : str
        Minimum level of log lines.
    """

    node_id: str
    data_centre: str
    region: str
    call_address: str
    peer_address: str
    readiness_address: str
    report_address: str
    metrics_address: str
    store_address: str
    upstream: LocalUpstreamSettings
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    allowances: AllowanceSettings = AllowanceSettings()
    releases: ReleaseSettings | None = None
    stop_grace_s: Seconds = 6.0
    log_level: str = "INFO"

    @property
    def listener_addresses(self) -> tuple[str, ...]:
        """Return the addresses at which the node listens."""
        return tuple(getattr(self, name) for name in _LISTENER_NAMES)


_LISTENER_NAMES = (
    "call_address",
    "peer_address",
    "readiness_address",
    "report_address",
    "metrics_address",
)
_ADDRESS_NAMES = (*_LISTENER_NAMES, "store_address")


def is_mesh_settings(value: object) -> bool:
    """Return whether a parsed settings file has the format of `MeshSettings`."""
    return isinstance(value, dict) and "readiness_address" in value


def load_mesh_settings(path: Path) -> MeshSettings:
    """Load and validate the settings in a file of JSON with comments.

    Raises
    ------
    SettingsError
        The file cannot be read or a value is invalid; the error names which.
    """
    return validate_mesh_settings(load_json_with_comments(path), path)


def validate_mesh_settings(value: object, path: Path) -> MeshSettings:
    """Validate the parsed content of the settings file at `path`.

    Raises
    ------
    SettingsError
        A value is invalid; the error names the file and the value.
    """
    try:
        settings = msgspec.convert(value, type=MeshSettings)
        for name in _ADDRESS_NAMES:
            _check_address(name, getattr(settings, name))
        _check_address("upstream.address", settings.upstream.address)
    except (ValueError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}", step="settings.validate") from error
    return settings


def _check_address(name: str, value: str) -> None:
    try:
        check_address(value)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None
