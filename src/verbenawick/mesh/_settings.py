"""Settings of a node whose platform keeps the state: JSON with comments, validated."""

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

import json5
import msgspec
from msgspec import Meta

from verbenawick.errors import SettingsError

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


def load_mesh_settings(path: Path) -> MeshSettings:
    """Return the settings in a file of JSON with comments.

    Raises
    ------
    SettingsError
        The file cannot be read, or a value breaks a rule; the error names it.
    """
    try:
        content = json5.loads(path.read_text(encoding="utf-8"))
        settings = msgspec.convert(content, type=MeshSettings)
        for name in (
            "call_address",
            "peer_address",
            "readiness_address",
            "report_address",
            "metrics_address",
            "store_address",
        ):
            _check_address(name, getattr(settings, name))
        _check_address("upstream.address", settings.upstream.address)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}", step="settings.load") from error
    return settings


def _check_address(name: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{name}: {value!r} is not 'ip:port'")
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{name}: {host!r} is not an IP number") from None
