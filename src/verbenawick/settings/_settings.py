"""Settings of a node: JSON with comments, validated before any socket is opened."""

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


class _Model(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class UpstreamSettings(_Model):
    """The upstream beside the node."""

    address: Address
    """Where the upstream listens, HTTP."""
    service: Identifier
    """Service that it runs."""
    slots: int = Field(ge=1, le=10_000)
    """Calls that it runs at the same time."""
    connections: int = Field(default=120, ge=1, le=10_000)
    """Connections that it accepts."""

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
    """Where the object API listens, HTTP."""
    timeout_s: float = Field(default=2.0, gt=0, le=60)
    """Longest wait for one answer; a watch waits longer."""


class TimingSettings(_Model):
    """Intervals and limits of the control protocols, in seconds."""

    lease_timeout_s: float = Field(default=4.0, gt=0)
    """Time without a renewal after which a lease may be claimed; equal on all nodes."""
    lease_renewal_s: float = Field(default=1.0, gt=0)
    """Interval of renewals; each is a write to the store."""
    heartbeat_s: float = Field(default=1.0, gt=0)
    """Interval of heartbeats to the relay."""
    member_timeout_s: float = Field(default=4.0, gt=0)
    """Silence after which a relay declares a member dead."""
    takeover_horizon_s: float = Field(default=7200.0, gt=0)
    """How long earlier owners of an idempotency key count; equal on all nodes."""
    authority_s: float = Field(default=4500.0, gt=0)
    """How long keys may be claimed after the membership was confirmed."""
    longest_call_s: float = Field(default=30.0, gt=0)
    """Longest time that a call may run."""
    stop_grace_s: float = Field(default=2.0, ge=0)
    """Time for which a stopping node still serves new connections."""

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
    """Lowest level that is written to standard error."""
    json_lines: bool = False
    """Whether each record is one JSON object."""


class MetricSettings(_Model):
    """Receiver of statsd datagrams; none when the address is empty."""

    address: str = ""
    """``ip:port`` of the receiver of statsd datagrams; empty for none."""
    prefix: str = "verbenawick"
    """First part of each metric's name."""


class TraceSettings(_Model):
    """Sampling of traces that start at this node."""

    sample_share: float = Field(default=0.01, ge=0, le=1)
    """Share of the traces starting here that are recorded."""


class NodeSettings(_Model):
    """All settings of one node."""

    node_id: Identifier
    """Name of the node; unique, and kept across restarts."""
    data_centre: Identifier
    """Data centre of the VM."""
    region: Identifier
    """Region of the data centre."""
    call_address: Address
    """Listener for callers, HTTP."""
    peer_address: Address
    """Listener for other nodes, websocket; connections leave from its IP number."""
    admin_address: Address
    """Listener for operators, HTTP."""
    store: StoreSettings
    upstream: UpstreamSettings
    neighbours: list[Address] = Field(default_factory=list, max_length=32)
    """`peer_address` of some nodes of the data centre; stale entries do no harm."""
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()
    traces: TraceSettings = TraceSettings()
    link_delays_ms: dict[str, float] = Field(default_factory=dict)
    """Added one-way delay by IP prefix of the peer; for tests only."""

    @model_validator(mode="after")
    def _addresses_differ(self):
        own = [self.call_address, self.peer_address, self.admin_address]
        if len(set(own)) != len(own):
            raise ValueError("call_address, peer_address and admin_address must differ")
        if self.peer_address in self.neighbours:
            raise ValueError("neighbours must not contain the node's own peer_address")
        return self


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
    return settings_of(load_json_with_comments(path), path)


def settings_of(value: object, path: Path) -> NodeSettings:
    """Return the validated settings in the value of the file at `path`.

    Raises
    ------
    SettingsError
        A value breaks a rule; the message names file, path, reason.
    """
    try:
        return NodeSettings.model_validate(value)
    except ValidationError as error:
        raise SettingsError(
            f"{path}: {describe_validation_error(error)}", step="settings.validate"
        ) from error
