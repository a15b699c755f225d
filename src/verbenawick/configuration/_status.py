"""Status of a region: which version each node serves, and why some are behind.

Nodes report to their data centre relay, that one to the region relay, which writes
`status/<region>`. All durations are measured by one node's own clock and travel as
ages.
"""

from collections import Counter
from dataclasses import astuple, dataclass, replace
from enum import StrEnum

import cbor2
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ArgsKwargs

from verbenawick.configuration._config_messages import DataCentreReport, NodeReport
from verbenawick.configuration._distribution import ConfigDistribution
from verbenawick.errors import (
    StatusError,
    StoreAnswerLostError,
    StoreConditionError,
    VerbenawickError,
)
from verbenawick.links._component import (
    LinkPurpose,
    NodeIdentity,
    PeerPort,
    RoleView,
    StoreObject,
    StorePort,
)
from verbenawick.links._members import MemberView
from verbenawick.links._message_rows import Row
from verbenawick.links._messages import Message
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

STATUS_PREFIX = "status/"

REPORT_INTERVAL_S = 1.0
FULL_REPORT_INTERVAL_S = 5.0
# A node or a data centre that was not heard from for this long is unknown.
UNKNOWN_AFTER_S = 4.0
LOOK_INTERVAL_S = 0.5
MIN_WRITE_INTERVAL_S = 2.0
MAX_WRITE_INTERVAL_S = 5.0
MAX_LISTED_NODES = 50
# Each change leaves all nodes behind for a moment; listing them then would send the
# list across regions with each change.
MIN_LISTED_S = 1.0
MAX_CONVERGENCES = 16
MAX_MEASURED_VERSIONS = 64
MAX_NODES = 4096


class BehindCause(StrEnum):
    """Why a node does not serve the accepted version."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    CATCHING_UP = "catching_up"


@register_event(450, level="WARNING")
@dataclass(frozen=True, slots=True)
class StatusWriteFailed(Event):
    """The region's status could not be written; it is tried again."""

    key: str
    code: str
    reason: str


@register_event(451)
@dataclass(frozen=True, slots=True)
class RegionConverged(Event):
    """All nodes of the region serve a version."""

    version: int
    duration_s: float
    nodes: int


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of one node, for example of one that is behind.

    Attributes
    ----------
    version : int
        Version in force when the node was last heard from; 0 for none.
    staged_version : int
        Highest version that it held then.
    cause : BehindCause or None
        None when the node serves the accepted version.
    since_s : float
        Time since the cause was first seen.
    detail : str
        Error code of a refusal, else the lifecycle state.
    withheld_routes : int
        Routes withheld since their service has no known endpoint.
    """

    node_id: str
    data_centre: str
    version: int
    staged_version: int
    cause: BehindCause | None
    since_s: float
    detail: str = ""
    withheld_routes: int = 0


@dataclass(frozen=True, slots=True)
class Convergence:
    """Time from learning of a version to its being in force on all known nodes."""

    version: int
    duration_s: float
    nodes: int


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """Value of `status/<region>`.

    Attributes
    ----------
    accepted_version : int
        Highest accepted version that the region relay has heard of.
    counts_by_version : dict of int to int
        Nodes heard from, by version in force. Unknown nodes are not in it.
    unknown_count : int
        Nodes not heard from; they never count as in force.
    behind : tuple of NodeStatus
        Nodes behind, longest first, at most `MAX_LISTED_NODES`. Those that have been
        catching up for less than `MIN_LISTED_S` are only counted.
    behind_count : int
        All nodes behind, listed or not, unknown ones included.
    withheld_routes : int
        Most routes that one node withholds.
    """

    region: str
    relay: str
    accepted_version: int
    node_count: int
    counts_by_version: dict[int, int]
    unknown_count: int
    behind: tuple[Row[NodeStatus], ...]
    behind_count: int
    withheld_routes: int = 0
    convergences: tuple[Row[Convergence], ...] = ()


_status_adapter = TypeAdapter(RegionStatus)


def encode_region_status(status: RegionStatus) -> bytes:
    """Return the value to store: CBOR arrays of the fields in order.

    It crosses regions at least every `MAX_WRITE_INTERVAL_S`. With field names, the
    list of convergences alone would be three times as long.
    """
    return cbor2.dumps(astuple(status))


def decode_region_status(value: bytes) -> RegionStatus:
    """Return the status in a store object.

    Raises
    ------
    StatusError
        The value is not a region's status.
    """
    try:
        fields = cbor2.loads(value)
        if not isinstance(fields, list):
            raise StatusError("status is no array", step="status.decode")
        return _status_adapter.validate_python(ArgsKwargs(tuple(fields)))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        raise StatusError(f"status is invalid: {error}", step="status.decode") from None


@dataclass(slots=True)
class _Heard:
    """Last report of a node; `heard_at` is an instant of this node's clock."""

    report: NodeReport
    data_centre: str
    heard_at: float


class StatusAggregator:
    """Component that reports this node's status and aggregates it on relays."""

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        clock: Clock,
        peers: PeerPort,
        store: StorePort,
        roles: RoleView,
        members: MemberView,
        distribution: ConfigDistribution,
    ):
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._store = store
        self._roles = roles
        self._members = members
        self._distribution = distribution
        self._own_report: NodeReport | None = None
        self._next_report_at = clock.now()
        self._heard_by_node_id: dict[str, _Heard] = {}
        self._changed: set[str] = set()
        self._next_batch_at = self._next_full_at = clock.now()
        self._data_centres: set[str] = {identity.data_centre}
        self._causes: dict[str, tuple[BehindCause, float]] = {}
        self._learned_at_by_version: dict[int, float] = {}
        self._measured_version = 0
        self._convergences: list[Convergence] = []
        self._key = f"{STATUS_PREFIX}{identity.region}"
        self._object_version: int | None = None
        self._is_writing = False
        self._next_look_at = clock.now()
        self._written: RegionStatus | None = None
        self._written_at = clock.now() - MAX_WRITE_INTERVAL_S

    # Calls from the control task

    def on_message(self, peer_id: str, message: Message) -> None:
        """Take the reports of nodes and data centre relays below this node."""
        if isinstance(message, NodeReport) and message.node_id == peer_id:
            peer = self._peers.identity(peer_id)
            if peer is not None and peer.data_centre == self._identity.data_centre:
                self._hear(message, peer.data_centre)
        elif isinstance(message, DataCentreReport):
            self._on_batch(message)

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Report at once to a new relay."""
        if purpose is LinkPurpose.RELAY and is_open:
            self._next_report_at = self._next_full_at = self._clock.now()

    def on_object(self, obj: StoreObject) -> None:
        """Ignore watched objects; none concerns this component."""

    def on_tick(self) -> None:
        """Report, and as the region relay measure and write."""
        now = self._clock.now()
        report = self._report()
        if report != self._own_report or now >= self._next_report_at:
            self._own_report = report
            self._next_report_at = now + REPORT_INTERVAL_S
            self._send_own(report)
        if self._roles.is_region_relay():
            self._changed.clear()
            self._measure(now)
            self._write_when_due(now)
        elif self._roles.is_data_centre_relay():
            self._send_batch(now)

    def node_status(self) -> NodeStatus:
        """Return the status of this node, for operators."""
        report = self._report()
        heard = _Heard(report, self._identity.data_centre, self._clock.now())
        accepted = self._distribution.known_ref.version
        cause = _cause_of(report, accepted, is_heard=True)
        return self._status_of(report.node_id, heard, cause)

    def region_status(self) -> RegionStatus:
        """Return the aggregated status as this relay knows it."""
        now = self._clock.now()
        accepted = self._distribution.known_ref.version
        counts: Counter[int] = Counter()
        behind: list[NodeStatus] = []
        unknown_count = withheld = 0
        data_centres_by_id = self._data_centres_by_id()
        for node_id, data_centre in data_centres_by_id.items():
            heard = self._heard_by_node_id.get(node_id)
            is_heard = heard is not None and self._is_fresh(heard, now)
            if is_heard:
                counts[heard.report.version] += 1
                withheld = max(withheld, heard.report.withheld_routes)
            else:
                unknown_count += 1
            heard = heard or _Heard(_no_report(node_id), data_centre, now)
            cause = _cause_of(heard.report, accepted, is_heard=is_heard)
            if cause is not None:
                behind.append(self._status_of(node_id, heard, cause))
            else:
                self._causes.pop(node_id, None)
        self._forget_gone(data_centres_by_id)
        behind.sort(key=lambda node: (-node.since_s, node.node_id))
        return RegionStatus(
            region=self._identity.region,
            relay=self._identity.node_id,
            accepted_version=accepted,
            node_count=len(data_centres_by_id),
            counts_by_version=dict(counts),
            unknown_count=unknown_count,
            behind=tuple([n for n in behind if _is_listed(n)][:MAX_LISTED_NODES]),
            behind_count=len(behind),
            withheld_routes=withheld,
            convergences=tuple(self._convergences),
        )

    # Reports on the way up

    def _report(self) -> NodeReport:
        distribution = self._distribution
        state = distribution.state
        refusal = state.last_refusal()
        return NodeReport(
            self._identity.node_id,
            self._identity.incarnation,
            state.in_force_ref.version,
            state.held_ref.version,
            refusal.ref.version if refusal else 0,
            refusal.code if refusal else "",
            str(distribution.lifecycle.state),
            len(distribution.withheld_route_ids),
        )

    def _send_own(self, report: NodeReport) -> None:
        self._hear(report, self._identity.data_centre)
        relay_id = self._roles.relay_id()
        if relay_id is not None and not self._roles.is_data_centre_relay():
            self._peers.send(relay_id, report)

    def _hear(self, report: NodeReport, data_centre: str) -> None:
        known = self._heard_by_node_id.get(report.node_id)
        if known is None and len(self._heard_by_node_id) >= MAX_NODES:
            # At the bound a further node stays unknown.
            return
        if known is None or known.report != report:
            self._changed.add(report.node_id)
        self._heard_by_node_id[report.node_id] = _Heard(
            report, data_centre, self._clock.now()
        )

    def _send_batch(self, now: float) -> None:
        is_full = now >= self._next_full_at
        if not is_full and not self._changed and now < self._next_batch_at:
            return
        relay_id = self._roles.relay_id()
        if relay_id is None:
            return
        self._next_batch_at = now + REPORT_INTERVAL_S
        if is_full:
            self._next_full_at = now + FULL_REPORT_INTERVAL_S
        own = {
            node_id: heard
            for node_id, heard in self._heard_by_node_id.items()
            if heard.data_centre == self._identity.data_centre
        }
        fresh = {i for i, heard in own.items() if self._is_fresh(heard, now)}
        chosen = fresh if is_full else self._changed & fresh
        reports = tuple(own[node_id].report for node_id in sorted(chosen))
        batch = DataCentreReport(
            self._identity.data_centre, is_full, reports, tuple(own.keys() - fresh)
        )
        if self._peers.send(relay_id, batch):
            self._changed.clear()

    def _on_batch(self, batch: DataCentreReport) -> None:
        now = self._clock.now()
        self._data_centres.add(batch.data_centre)
        chosen = {report.node_id for report in batch.reports}
        for node_id, heard in tuple(self._heard_by_node_id.items()):
            if heard.data_centre != batch.data_centre or node_id in chosen:
                continue
            if batch.is_full or node_id in batch.unheard_ids:
                del self._heard_by_node_id[node_id]
            else:
                heard.heard_at = now
        for report in batch.reports:
            self._hear(report, batch.data_centre)

    # Aggregation

    def _data_centres_by_id(self) -> dict[str, str]:
        """Return all nodes that should be there, by the members and the reports."""
        known = {
            member.node_id: member.data_centre
            for data_centre in self._data_centres
            for member in self._members.members_in(data_centre)
            if member.region == self._identity.region
        }
        now = self._clock.now()
        for node_id, heard in self._heard_by_node_id.items():
            if self._is_fresh(heard, now):
                known.setdefault(node_id, heard.data_centre)
        return known

    def _forget_gone(self, data_centres_by_id: dict[str, str]) -> None:
        """Drop nodes that are neither members nor heard from."""
        for table in (self._heard_by_node_id, self._causes):
            for node_id in table.keys() - data_centres_by_id.keys():
                del table[node_id]

    def _is_fresh(self, heard: _Heard, now: float) -> bool:
        return now - heard.heard_at <= UNKNOWN_AFTER_S

    def _status_of(
        self, node_id: str, heard: _Heard, cause: BehindCause | None
    ) -> NodeStatus:
        now = since = self._clock.now()
        if cause is not None:
            known_cause, known_since = self._causes.get(node_id, (None, now))
            since = known_since if known_cause is cause else now
            self._causes[node_id] = (cause, since)
        report = heard.report
        is_refusal = cause is BehindCause.REFUSED
        return NodeStatus(
            node_id,
            heard.data_centre,
            report.version,
            report.staged_version,
            cause,
            round(now - since, 3),
            report.refusal_code if is_refusal else report.state,
            report.withheld_routes,
        )

    def _measure(self, now: float) -> None:
        learned_at = self._learned_at_by_version
        accepted = self._distribution.known_ref.version
        if accepted > max(learned_at, default=self._measured_version):
            if len(learned_at) < MAX_MEASURED_VERSIONS:
                learned_at[accepted] = now
        versions = self._versions_in_force(now) if learned_at else []
        if not versions:
            return
        in_force = min(versions)
        for version in sorted(v for v in learned_at if v <= in_force):
            duration_s = round(now - learned_at.pop(version), 3)
            self._convergences.append(Convergence(version, duration_s, len(versions)))
            emit(RegionConverged(version, duration_s, len(versions)))
            self._measured_version = version
        del self._convergences[:-MAX_CONVERGENCES]

    def _versions_in_force(self, now: float) -> list[int]:
        """Return the version of each node; empty while one is unknown."""
        versions = []
        for node_id in self._data_centres_by_id():
            heard = self._heard_by_node_id.get(node_id)
            if heard is None or not self._is_fresh(heard, now):
                return []
            versions.append(heard.report.version)
        return versions

    # Writing

    def _write_when_due(self, now: float) -> None:
        if now < self._next_look_at:
            return
        # Computed also when nothing is written, to see since when nodes are behind.
        self._next_look_at = now + LOOK_INTERVAL_S
        status = self.region_status()
        age_s = now - self._written_at
        if self._is_writing or age_s < MIN_WRITE_INTERVAL_S:
            return
        if age_s < MAX_WRITE_INTERVAL_S and not _differs(status, self._written):
            return
        self._written_at = now
        self._is_writing = True
        if self._object_version is None:
            self._store.get(self._key, lambda o, e: self._on_read(status, o, e))
        else:
            self._update(status, self._object_version)

    def _on_read(
        self,
        status: RegionStatus,
        obj: StoreObject | None,
        error: VerbenawickError | None,
    ) -> None:
        if error is not None:
            self._on_failed(error)
        else:
            self._update(status, obj.version)

    def _update(self, status: RegionStatus, version: int) -> None:
        def on_written(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            if error is not None:
                self._on_failed(error)
                return
            self._is_writing = False
            self._object_version = obj.version
            self._written = status

        value = encode_region_status(status)
        self._store.update(
            self._key, value, expected_version=version, callback=on_written
        )

    def _on_failed(self, error: VerbenawickError) -> None:
        self._is_writing = False
        if isinstance(error, StoreConditionError | StoreAnswerLostError):
            # Another relay wrote, or this write took effect: read the version again.
            self._object_version = None
        emit(StatusWriteFailed(self._key, error.code, error.message))


def _no_report(node_id: str) -> NodeReport:
    return NodeReport(node_id, 0, 0, 0, 0, "", "", 0)


def _cause_of(
    report: NodeReport, accepted_version: int, *, is_heard: bool
) -> BehindCause | None:
    if not is_heard:
        return BehindCause.UNREACHABLE
    if report.version >= max(1, accepted_version):
        return None
    if report.refused_version > report.version:
        return BehindCause.REFUSED
    return BehindCause.CATCHING_UP


def _is_listed(node: NodeStatus) -> bool:
    is_passing = node.cause is BehindCause.CATCHING_UP and node.since_s < MIN_LISTED_S
    return not is_passing


def _differs(status: RegionStatus, written: RegionStatus | None) -> bool:
    """Return whether anything but ages has changed."""
    if written is None:
        return True
    return _without_ages(status) != _without_ages(written)


def _without_ages(status: RegionStatus) -> RegionStatus:
    nodes = [replace(node, since_s=0.0) for node in status.behind]
    nodes.sort(key=lambda node: node.node_id)
    return replace(status, behind=tuple(nodes))
