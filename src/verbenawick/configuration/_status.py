"""Status of a region: which version each node serves, and why some are behind.

Nodes report to their data centre relay, which reports to the region relay, which writes
`status/<region>`. Each duration is measured by the clock of a single node and is
transmitted as an age, not as a timestamp.
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
# A node or data centre without a report for this long counts as unknown.
UNKNOWN_AFTER_S = 4.0
EVALUATION_INTERVAL_S = 0.5
MIN_WRITE_INTERVAL_S = 2.0
MAX_WRITE_INTERVAL_S = 5.0
MAX_LISTED_NODES = 50
# After each change, all nodes are briefly behind. Listing them immediately would send
# the full list across regions on every change.
MIN_LISTED_AGE_S = 1.0
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
    """Writing the region's status failed; it will be retried."""

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
    """Status of one node.

    Attributes
    ----------
    version : int
        Version in force according to the last report; 0 for none.
    staged_version : int
        Highest held version according to the last report.
    cause : BehindCause or None
        None if the node serves the accepted version.
    since_s : float
        Time since the cause was first detected.
    detail : str
        Error code if the version was refused, otherwise the lifecycle state.
    withheld_routes : int
        Number of routes withheld because their service has no known endpoint.
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
    """Time from first knowing a version until it was in force on all known nodes."""

    version: int
    duration_s: float
    nodes: int


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """Value of `status/<region>`.

    Attributes
    ----------
    accepted_version : int
        Highest accepted version known to the region relay.
    counts_by_version : dict of int to int
        Number of reachable nodes by version in force; unknown nodes are excluded.
    unknown_count : int
        Number of nodes without a recent report; they never count as in force.
    behind : tuple of NodeStatus
        Nodes behind, longest first, at most `MAX_LISTED_NODES`. Nodes that have been
        catching up for less than `MIN_LISTED_AGE_S` are counted but not listed.
    behind_count : int
        Number of all nodes behind, including unlisted and unknown ones.
    withheld_routes : int
        Maximum number of routes withheld by a single node.
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
    """Encode a status as CBOR arrays of the fields in order.

    The value is sent across regions at least every `MAX_WRITE_INTERVAL_S`. Including
    field names would triple the size of the list of convergences alone.
    """
    return cbor2.dumps(astuple(status))


def decode_region_status(value: bytes) -> RegionStatus:
    """Decode the value of a region's status object.

    Raises
    ------
    StatusError
        The value is not a valid region status.
    """
    try:
        fields = cbor2.loads(value)
        if not isinstance(fields, list):
            raise StatusError("status is not an array", step="status.decode")
        return _status_adapter.validate_python(ArgsKwargs(tuple(fields)))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        raise StatusError(f"status is invalid: {error}", step="status.decode") from None


@dataclass(slots=True)
class _ReceivedReport:
    """Last report of a node, and the local time at which it was last confirmed."""

    report: NodeReport
    data_centre: str
    last_seen_at: float


class StatusAggregator:
    """Component that reports this node's status and, on relays, aggregates reports."""

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
        self._last_own_report: NodeReport | None = None
        self._next_report_at = clock.now()
        self._reports_by_node_id: dict[str, _ReceivedReport] = {}
        self._changed_ids: set[str] = set()
        self._next_batch_at = self._next_full_at = clock.now()
        self._known_data_centres: set[str] = {identity.data_centre}
        self._causes_by_node_id: dict[str, tuple[BehindCause, float]] = {}
        self._learned_at_by_version: dict[int, float] = {}
        self._measured_version = 0
        self._convergences: list[Convergence] = []
        self._key = f"{STATUS_PREFIX}{identity.region}"
        self._object_version: int | None = None
        self._is_writing = False
        self._next_evaluation_at = clock.now()
        self._last_written_status: RegionStatus | None = None
        self._written_at = clock.now() - MAX_WRITE_INTERVAL_S

    # Callbacks of the control task

    def on_message(self, peer_id: str, message: Message) -> None:
        """Handle reports from nodes and data centre relays."""
        if isinstance(message, NodeReport) and message.node_id == peer_id:
            peer = self._peers.identity(peer_id)
            if peer is not None and peer.data_centre == self._identity.data_centre:
                self._record_report(message, peer.data_centre)
        elif isinstance(message, DataCentreReport):
            self._on_batch(message)

    def on_link(self, peer_id: str, purpose: LinkPurpose, *, is_open: bool) -> None:
        """Report immediately to a new relay."""
        if purpose is LinkPurpose.RELAY and is_open:
            self._next_report_at = self._next_full_at = self._clock.now()

    def on_object(self, obj: StoreObject) -> None:
        """Ignore watched objects; this component uses none."""

    def on_tick(self) -> None:
        """Send reports; on the region relay, track convergence and write the status."""
        now = self._clock.now()
        report = self._build_report()
        if report != self._last_own_report or now >= self._next_report_at:
            self._last_own_report = report
            self._next_report_at = now + REPORT_INTERVAL_S
            self._send_own_report(report)
        if self._roles.is_region_relay():
            self._changed_ids.clear()
            self._measure_convergence(now)
            self._write_when_due(now)
        elif self._roles.is_data_centre_relay():
            self._send_batch(now)

    def node_status(self) -> NodeStatus:
        """Return the status of this node."""
        report = self._build_report()
        received = _ReceivedReport(
            report, self._identity.data_centre, self._clock.now()
        )
        accepted = self._distribution.known_ref.version
        cause = _behind_cause(report, accepted, is_reachable=True)
        return self._make_node_status(report.node_id, received, cause)

    def region_status(self) -> RegionStatus:
        """Return the aggregated status of the region known to this relay."""
        now = self._clock.now()
        accepted = self._distribution.known_ref.version
        counts: Counter[int] = Counter()
        behind: list[NodeStatus] = []
        unknown_count = withheld = 0
        data_centres_by_node_id = self._data_centres_by_node_id()
        for node_id, data_centre in data_centres_by_node_id.items():
            received = self._reports_by_node_id.get(node_id)
            is_reachable = received is not None and self._is_fresh(received, now)
            if is_reachable:
                counts[received.report.version] += 1
                withheld = max(withheld, received.report.withheld_routes)
            else:
                unknown_count += 1
            received = received or _ReceivedReport(
                _empty_report(node_id), data_centre, now
            )
            cause = _behind_cause(received.report, accepted, is_reachable=is_reachable)
            if cause is not None:
                behind.append(self._make_node_status(node_id, received, cause))
            else:
                self._causes_by_node_id.pop(node_id, None)
        self._drop_departed(data_centres_by_node_id)
        behind.sort(key=lambda node: (-node.since_s, node.node_id))
        return RegionStatus(
            region=self._identity.region,
            relay=self._identity.node_id,
            accepted_version=accepted,
            node_count=len(data_centres_by_node_id),
            counts_by_version=dict(counts),
            unknown_count=unknown_count,
            behind=tuple([n for n in behind if _is_listed(n)][:MAX_LISTED_NODES]),
            behind_count=len(behind),
            withheld_routes=withheld,
            convergences=tuple(self._convergences),
        )

    # Reporting to relays

    def _build_report(self) -> NodeReport:
        distribution = self._distribution
        state = distribution.state
        refusal = state.refusal_of_highest_version()
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

    def _send_own_report(self, report: NodeReport) -> None:
        self._record_report(report, self._identity.data_centre)
        relay_id = self._roles.relay_id()
        if relay_id is not None and not self._roles.is_data_centre_relay():
            self._peers.send(relay_id, report)

    def _record_report(self, report: NodeReport, data_centre: str) -> None:
        known = self._reports_by_node_id.get(report.node_id)
        if known is None and len(self._reports_by_node_id) >= MAX_NODES:
            # The table is full; additional nodes remain unknown.
            return
        if known is None or known.report != report:
            self._changed_ids.add(report.node_id)
        self._reports_by_node_id[report.node_id] = _ReceivedReport(
            report, data_centre, self._clock.now()
        )

    def _send_batch(self, now: float) -> None:
        is_full = now >= self._next_full_at
        if not is_full and not self._changed_ids and now < self._next_batch_at:
            return
        relay_id = self._roles.relay_id()
        if relay_id is None:
            return
        self._next_batch_at = now + REPORT_INTERVAL_S
        if is_full:
            self._next_full_at = now + FULL_REPORT_INTERVAL_S
        own = {
            node_id: received
            for node_id, received in self._reports_by_node_id.items()
            if received.data_centre == self._identity.data_centre
        }
        fresh = {i for i, received in own.items() if self._is_fresh(received, now)}
        chosen = fresh if is_full else self._changed_ids & fresh
        reports = tuple(own[node_id].report for node_id in sorted(chosen))
        batch = DataCentreReport(
            self._identity.data_centre, is_full, reports, tuple(own.keys() - fresh)
        )
        if self._peers.send(relay_id, batch):
            self._changed_ids.clear()

    def _on_batch(self, batch: DataCentreReport) -> None:
        now = self._clock.now()
        self._known_data_centres.add(batch.data_centre)
        chosen = {report.node_id for report in batch.reports}
        for node_id, received in tuple(self._reports_by_node_id.items()):
            if received.data_centre != batch.data_centre or node_id in chosen:
                continue
            if batch.is_full or node_id in batch.unreachable_ids:
                del self._reports_by_node_id[node_id]
            else:
                received.last_seen_at = now
        for report in batch.reports:
            self._record_report(report, batch.data_centre)

    # Aggregation

    def _data_centres_by_node_id(self) -> dict[str, str]:
        """Return the data centre of each expected node, from members and reports."""
        known = {
            member.node_id: member.data_centre
            for data_centre in self._known_data_centres
            for member in self._members.members_in(data_centre)
            if member.region == self._identity.region
        }
        now = self._clock.now()
        for node_id, received in self._reports_by_node_id.items():
            if self._is_fresh(received, now):
                known.setdefault(node_id, received.data_centre)
        return known

    def _drop_departed(self, data_centres_by_node_id: dict[str, str]) -> None:
        """Remove nodes that are neither members nor have a recent report."""
        for table in (self._reports_by_node_id, self._causes_by_node_id):
            for node_id in table.keys() - data_centres_by_node_id.keys():
                del table[node_id]

    def _is_fresh(self, received: _ReceivedReport, now: float) -> bool:
        return now - received.last_seen_at <= UNKNOWN_AFTER_S

    def _make_node_status(
        self, node_id: str, received: _ReceivedReport, cause: BehindCause | None
    ) -> NodeStatus:
        now = since = self._clock.now()
        if cause is not None:
            known_cause, known_since = self._causes_by_node_id.get(node_id, (None, now))
            since = known_since if known_cause is cause else now
            self._causes_by_node_id[node_id] = (cause, since)
        report = received.report
        is_refusal = cause is BehindCause.REFUSED
        return NodeStatus(
            node_id,
            received.data_centre,
            report.version,
            report.staged_version,
            cause,
            round(now - since, 3),
            report.refusal_code if is_refusal else report.state,
            report.withheld_routes,
        )

    def _measure_convergence(self, now: float) -> None:
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
        """Return the version of each node, or an empty list if any is unknown."""
        versions = []
        for node_id in self._data_centres_by_node_id():
            received = self._reports_by_node_id.get(node_id)
            if received is None or not self._is_fresh(received, now):
                return []
            versions.append(received.report.version)
        return versions

    # Writing

    def _write_when_due(self, now: float) -> None:
        if now < self._next_evaluation_at:
            return
        # Evaluated even if nothing is written, to track how long nodes are behind.
        self._next_evaluation_at = now + EVALUATION_INTERVAL_S
        status = self.region_status()
        age_s = now - self._written_at
        if self._is_writing or age_s < MIN_WRITE_INTERVAL_S:
            return
        if age_s < MAX_WRITE_INTERVAL_S and not _has_changed(
            status, self._last_written_status
        ):
            return
        self._written_at = now
        self._is_writing = True
        if self._object_version is None:
            self._store.get(self._key, lambda o, e: self._on_read(status, o, e))
        else:
            self._write_status(status, self._object_version)

    def _on_read(
        self,
        status: RegionStatus,
        obj: StoreObject | None,
        error: VerbenawickError | None,
    ) -> None:
        if error is not None:
            self._on_write_failed(error)
        else:
            self._write_status(status, obj.version)

    def _write_status(self, status: RegionStatus, version: int) -> None:
        def on_written(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            if error is not None:
                self._on_write_failed(error)
                return
            self._is_writing = False
            self._object_version = obj.version
            self._last_written_status = status

        value = encode_region_status(status)
        self._store.update(
            self._key, value, expected_version=version, callback=on_written
        )

    def _on_write_failed(self, error: VerbenawickError) -> None:
        self._is_writing = False
        if isinstance(error, StoreConditionError | StoreAnswerLostError):
            # Another relay may have written, or this write may have taken effect;
            # read the object version again before the next write.
            self._object_version = None
        emit(StatusWriteFailed(self._key, error.code, error.message))


def _empty_report(node_id: str) -> NodeReport:
    return NodeReport(node_id, 0, 0, 0, 0, "", "", 0)


def _behind_cause(
    report: NodeReport, accepted_version: int, *, is_reachable: bool
) -> BehindCause | None:
    if not is_reachable:
        return BehindCause.UNREACHABLE
    if report.version >= max(1, accepted_version):
        return None
    if report.refused_version > report.version:
        return BehindCause.REFUSED
    return BehindCause.CATCHING_UP


def _is_listed(node: NodeStatus) -> bool:
    is_transient = (
        node.cause is BehindCause.CATCHING_UP and node.since_s < MIN_LISTED_AGE_S
    )
    return not is_transient


def _has_changed(status: RegionStatus, written: RegionStatus | None) -> bool:
    """Return whether anything other than ages has changed."""
    if written is None:
        return True
    return _without_ages(status) != _without_ages(written)


def _without_ages(status: RegionStatus) -> RegionStatus:
    nodes = [replace(node, since_s=0.0) for node in status.behind]
    nodes.sort(key=lambda node: node.node_id)
    return replace(status, behind=tuple(nodes))
