"""Settings of a node: JSON with comments, validated before any socket is opened."""

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

import json5
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from verbenawick.errors import SettingsError


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"{value!r} is not 'ip:port'; write for example '127.0.0.1:80'"
        )
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(
            f"{host!r} is not an IP number; names are not resolved"
        ) from None
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Identifier = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class UpstreamSettings(_Model):
    """The upstream beside the node."""

    address: Address
    service: Identifier
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(default=120, ge=1, le=10_000)

    @model_validator(mode="after")
    def _slots_fit_connections(self):
        if self.slots > self.connections:
            raise ValueError(
                f"slots ({self.slots}) exceed connections ({self.connections}); "
                "each running call needs a connection"
            )
        return self


class StoreSettings(_Model):
    """The platform's object API."""

    address: Address
    timeout_s: float = Field(default=2.0, gt=0, le=60)


class TimingSettings(_Model):
    """Intervals and limits of the control protocols, in seconds."""

    lease_timeout_s: float = Field(default=4.0, gt=0)
    lease_renewal_s: float = Field(default=1.0, gt=0)
    heartbeat_s: float = Field(default=1.0, gt=0)
    member_timeout_s: float = Field(default=4.0, gt=0)
    takeover_horizon_s: float = Field(default=7200.0, gt=0)
    authority_s: float = Field(default=4500.0, gt=0)
    longest_call_s: float = Field(default=30.0, gt=0)
    stop_grace_s: float = Field(default=2.0, ge=0)

    @model_validator(mode="after")
    def _intervals_fit(self):
        if self.lease_renewal_s * 2 >= self.lease_timeout_s:
            raise ValueError("lease_renewal_s must be below half of lease_timeout_s")
        if self.heartbeat_s * 2 > self.member_timeout_s:
            raise ValueError("heartbeat_s must be at most half of member_timeout_s")
        if self.authority_s >= self.takeover_horizon_s:
            raise ValueError("authority_s must be below takeover_horizon_s")
        return self


class LogSettings(_Model):
    """Where and how much to log."""

    level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    json_lines: bool = False


class MetricSettings(_Model):
    """Receiver of statsd datagrams; none when the address is empty."""

    address: str = ""
    prefix: str = "verbenawick"


class TraceSettings(_Model):
    """Sampling of traces that start at this node."""

    sample_share: float = Field(default=0.01, ge=0, le=1)


class NodeSettings(_Model):
    """All settings of one node."""

    node_id: Identifier
    data_centre: Identifier
    region: Identifier
    call_address: Address
    peer_address: Address
    admin_address: Address
    store: StoreSettings
    upstream: UpstreamSettings
    neighbours: list[Address] = Field(default_factory=list, max_length=32)
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()
    traces: TraceSettings = TraceSettings()
    link_delays_ms: dict[str, float] = Field(
        default_factory=dict,
        description="Added one-way delay by IP prefix of the peer; for tests only.",
    )

    @model_validator(mode="after")
    def _addresses_differ(self):
        own = [self.call_address, self.peer_address, self.admin_address]
        if len(set(own)) != len(own):
            raise ValueError("call_address, peer_address and admin_address must differ")
        if self.peer_address in self.neighbours:
            raise ValueError("neighbours must not contain the node's own peer_address")
        return self


def _refuse_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    values_by_key: dict[str, object] = {}
    for key, value in pairs:
        if key in values_by_key:
            raise ValueError(f"key {key!r} appears twice")
        values_by_key[key] = value
    return values_by_key


def load_json_with_comments(path: Path) -> object:
    """Return the value in a file of JSON with comments.

    Raises
    ------
    SettingsError
        The file cannot be read, is not JSON, or has a key twice in one object.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return json5.loads(text, object_pairs_hook=_refuse_duplicate_keys)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}", step="settings.read") from error


def describe_validation_error(error: ValidationError) -> str:
    """Return one line per problem: the path inside the value and the reason."""
    lines = []
    for problem in error.errors():
        path = ".".join(str(part) for part in problem["loc"]) or "(top)"
        lines.append(f"{path}: {problem['msg']}")
    return "; ".join(lines)


def load_settings(path: Path) -> NodeSettings:
    """Return the validated settings in a file.

    Raises
    ------
    SettingsError
        The file is unreadable or breaks a rule; the message names file, path, reason.
    """
    value = load_json_with_comments(path)
    try:
        return NodeSettings.model_validate(value)
    except ValidationError as error:
        raise SettingsError(
            f"{path}: {describe_validation_error(error)}", step="settings.validate"
        ) from error
