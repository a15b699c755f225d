"""Settings of a node whose platform keeps the state: JSON with comments, validated."""

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


class OwnUpstreamSettings(_Section):
    """The upstream beside the node.

    Attributes
    ----------
    service : str
        Service of this VM; named to upstreams as the origin of its calls.
    address : str
        Where the upstream listens, HTTP.
    """

    service: str
    address: str


class RetryBudgetSettings(_Section):
    """Bound on repeated arrivals at a service, over all nodes.

    Attributes
    ----------
    ratio : float
        Repeated arrivals per request.
    slack : float
        Repeated arrivals allowed besides.
    window_s : float
        Length of the window in seconds.
    """

    ratio: Share = 0.1
    slack: Annotated[float, Meta(ge=0)] = 20.0
    window_s: Seconds = 10.0


class MeshSettings(_Section):
    """Settings of a node.

    Attributes
    ----------
    call_address : str
        Callers on this VM, HTTP.
    peer_address : str
        Other nodes, websocket.
    readiness_address : str
        Readiness checks of the platform, HTTP.
    report_address : str
        Status reports of the upstream beside the node, HTTP.
    metrics_address : str
        Metrics as text, HTTP.
    store_address : str
        The platform's store, HTTP.
    stop_grace_s : float
        Time between a request to stop and the kill, seconds.
    log_level : str
        Least level of log lines.
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
    upstream: OwnUpstreamSettings
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    stop_grace_s: Seconds = 6.0
    log_level: str = "INFO"


_ADDRESS_NAMES = (
    "call_address",
    "peer_address",
    "readiness_address",
    "report_address",
    "metrics_address",
    "store_address",
)


def is_mesh_settings(value: object) -> bool:
    """Return whether the value of a settings file is meant for `MeshSettings`."""
    return isinstance(value, dict) and "readiness_address" in value


def load_mesh_settings(path: Path) -> MeshSettings:
    """Return the settings in a file of JSON with comments.

    Raises
    ------
    SettingsError
        The file cannot be read, or a value breaks a rule; the error names it.
    """
    return mesh_settings_of(load_json_with_comments(path), path)


def mesh_settings_of(value: object, path: Path) -> MeshSettings:
    """Return the settings in the value of the file at `path`.

    Raises
    ------
    SettingsError
        A value breaks a rule; the error names the file and the value.
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
