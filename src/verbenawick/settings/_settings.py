"""Settings of a node, validated before any socket is opened."""

from pathlib import Path
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from verbenawick.errors import SettingsError
from verbenawick.settings._json_settings import check_address, load_json_with_comments

Address = Annotated[str, AfterValidator(check_address)]
Identifier = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _SettingsModel(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class UpstreamSettings(_SettingsModel):
    """Settings of the upstream on the VM of the node."""

    address: Address
    """Address at which the upstream listens for HTTP."""
    service: Identifier
    """Service that the upstream runs."""
    slots: int = Field(ge=1, le=10_000)
    """Maximum number of calls that the upstream runs concurrently."""
    connections: int = Field(default=120, ge=1, le=10_000)
    """Maximum number of connections that the upstream accepts."""

    @model_validator(mode="after")
    def _check_slots(self):
        if self.slots > self.connections:
            raise ValueError(
                f"slots ({self.slots}) exceed connections ({self.connections}); "
                "each concurrent call needs its own connection"
            )
        return self


class StoreSettings(_SettingsModel):
    """Settings of the connection to the platform's object API."""

    address: Address
    """Address at which the object API listens for HTTP."""
    timeout_s: float = Field(default=2.0, gt=0, le=60)
    """Timeout of a request in seconds; a watch waits longer."""


class TimingSettings(_SettingsModel):
    """Intervals and timeouts of the control protocols, in seconds."""

    lease_timeout_s: float = Field(default=4.0, gt=0)
    """Time without a renewal after which a lease may be claimed; equal on all nodes."""
    lease_renewal_s: float = Field(default=1.0, gt=0)
    """Interval between lease renewals; each is a write to the store."""
    heartbeat_s: float = Field(default=1.0, gt=0)
    """Interval between heartbeats to the relay."""
    member_timeout_s: float = Field(default=4.0, gt=0)
    """Time without a heartbeat after which a relay declares a member dead."""
    takeover_horizon_s: float = Field(default=7200.0, gt=0)
    """How long earlier owners of an idempotency key are asked; equal on all nodes."""
    authority_s: float = Field(default=4500.0, gt=0)
    """How long after a confirmation of its membership a node may claim keys."""
    longest_call_s: float = Field(default=30.0, gt=0)
    """Maximum duration of a call."""
    stop_grace_s: float = Field(default=2.0, ge=0)
    """Time during which a stopping node still serves new connections."""

    @model_validator(mode="after")
    def _check_intervals(self):
        if self.lease_renewal_s * 2 >= self.lease_timeout_s:
            raise ValueError("lease_renewal_s must be below half of lease_timeout_s")
        if self.heartbeat_s * 2 > self.member_timeout_s:
            raise ValueError("heartbeat_s must be at most half of member_timeout_s")
        if self.authority_s >= self.takeover_horizon_s:
            raise ValueError("authority_s must be below takeover_horizon_s")
        return self


class LogSettings(_SettingsModel):
    """Settings of the log."""

    level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    """Minimum level of the records written to standard error."""
    json_lines: bool = False
    """Whether to write each record as one JSON object per line."""


class MetricSettings(_SettingsModel):
    """Settings of the metrics sent to statsd."""

    address: str = ""
    """``ip:port`` of the statsd server; no metrics are sent if empty."""
    prefix: str = "verbenawick"
    """Prefix of all metric names."""


class TraceSettings(_SettingsModel):
    """Settings of tracing."""

    sample_share: float = Field(default=0.01, ge=0, le=1)
    """Fraction of the traces starting at this node that are recorded."""


class NodeSettings(_SettingsModel):
    """All settings of a node."""

    node_id: Identifier
    """Unique name of the node, which it keeps across restarts."""
    data_centre: Identifier
    """Data centre of the VM."""
    region: Identifier
    """Region of the data centre."""
    call_address: Address
    """HTTP listener for callers."""
    peer_address: Address
    """WebSocket listener for other nodes; outgoing links use the same IP address."""
    admin_address: Address
    """HTTP listener for operators."""
    store: StoreSettings
    upstream: UpstreamSettings
    neighbours: list[Address] = Field(default_factory=list, max_length=32)
    """`peer_address` of some nodes of the data centre; stale entries are harmless."""
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()
    traces: TraceSettings = TraceSettings()
    link_delays_ms: dict[str, float] = Field(default_factory=dict)
    """Additional one-way delay by IP prefix of the peer; for tests only."""

    @model_validator(mode="after")
    def _check_addresses(self):
        own = [self.call_address, self.peer_address, self.admin_address]
        if len(set(own)) != len(own):
            raise ValueError("call_address, peer_address and admin_address must differ")
        if self.peer_address in self.neighbours:
            raise ValueError("neighbours must not contain the node's own peer_address")
        return self


def describe_validation_error(error: ValidationError) -> str:
    """Return path and reason of each problem, separated by semicolons."""
    lines = []
    for problem in error.errors():
        path = ".".join(str(part) for part in problem["loc"]) or "(top)"
        lines.append(f"{path}: {problem['msg']}")
    return "; ".join(lines)


def load_settings(path: Path) -> NodeSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        The file cannot be read or is invalid; the message names file, path, reason.
    """
    return validate_settings(load_json_with_comments(path), path)


def validate_settings(value: object, path: Path) -> NodeSettings:
    """Validate the parsed `value` of the settings file at `path`.

    Raises
    ------
    SettingsError
        The value is invalid; the message names file, path, reason.
    """
    try:
        return NodeSettings.model_validate(value)
    except ValidationError as error:
        raise SettingsError(
            f"{path}: {describe_validation_error(error)}", step="settings.validate"
        ) from error
