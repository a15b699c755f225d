"""Random histories of the upstream on one VM: starts, reports, leaves and restarts."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from verbenawick.errors import StoreConditionError, StoreUnavailableError
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._model import StatusReport, UpstreamRecord
from verbenawick.mesh._own_state import desired_record, gateway_notice
from verbenawick.mesh._peer_leaves import PeerLeaves
from verbenawick.mesh._publisher import RecordPublisher
from verbenawick.mesh._settings import (
    LocalUpstreamSettings,
    MeshSettings,
    RetryBudgetSettings,
)

ADDRESS = "127.0.0.1:9"
NODE_ID = "node-1"
HEARTBEAT_S = 1.5
SETTINGS = MeshSettings(
    node_id=NODE_ID,
    data_centre="d",
    region="r",
    call_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    readiness_address="127.0.0.1:3",
    report_address="127.0.0.1:4",
    metrics_address="127.0.0.1:5",
    store_address="127.0.0.1:6",
    upstream=LocalUpstreamSettings(service="s", address=ADDRESS),
    retry_budget=RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
)


@dataclass(eq=False)
class Process:
    """A process of the upstream; `sequence` is that of its last report."""

    upstream_id: str
    born_ms: int
    is_draining: bool = False
    has_left: bool = False
    is_acknowledged: bool = False
    sequence: int = 0

    @property
    def is_serving(self) -> bool:
        """Return whether the process neither drains nor leaves."""
        return not self.is_draining and not self.has_left


@dataclass
class Store:
    """Store of one record."""

    record: UpstreamRecord | None = None
    revision: int = 0
    is_up: bool = True

    def _check(self, revision: int) -> int:
        if not self.is_up:
            raise StoreUnavailableError("down")
        if (self.record.revision if self.record else 0) != revision:
            raise StoreConditionError("changed")
        self.revision += 1
        return self.revision

    def create_record(self, record: UpstreamRecord) -> int:
        """Create the record."""
        self.record = replace(record, revision=self._check(0))
        return self.revision

    def replace_record(self, record: UpstreamRecord) -> int:
        """Replace the record if it has not changed."""
        self.record = replace(record, revision=self._check(record.revision))
        return self.revision

    def delete_record(self, node_id: str, revision: int) -> None:
        """Delete the record if it has not changed."""
        self._check(revision)
        self.record = None

    def read_record(self, node_id: str) -> UpstreamRecord | None:
        """Return the record."""
        if not self.is_up:
            raise StoreUnavailableError("down")
        return self.record


@dataclass
class TrueObserver:
    """Observer that knows the process at the address.

    Attributes
    ----------
    during_probe : callable or None
        Takes place between the answer to the next health probe and its arrival.
    """

    process: Process | None = None
    watched: Process | None = None
    answers_probes: bool = True
    during_probe: Callable[[], None] | None = None

    def is_healthy(self, upstream_id: str, service: str) -> bool:
        """Return what the process answers."""
        is_healthy = (
            self.answers_probes
            and self.process is not None
            and self.process.is_serving
            and self.process.upstream_id == upstream_id
        )
        event, self.during_probe = self.during_probe, None
        if event is not None:
            event()
        return is_healthy

    def watch_process(self) -> None:
        """Observe the process that serves now."""
        self.watched = self.process

    def is_watched_process_running(self) -> bool:
        """Return whether the observed process still serves."""
        return self.watched is not None and self.watched is self.process

    def stop_watching(self) -> None:
        """Observe no process."""
        self.watched = None


@dataclass
class Node:
    """The parts of a node that know its upstream."""

    store: Store
    observer: TrueObserver
    on_change: Callable[[], None]
    upstream: LocalUpstream = field(init=False)
    publisher: RecordPublisher = field(init=False)

    def __post_init__(self):
        self.upstream = LocalUpstream(
            address=ADDRESS,
            service="s",
            observer=self.observer,
            on_change=self.on_change,
            awaits_record=True,
        )
        self.publisher = RecordPublisher(
            self.store,
            node_id=NODE_ID,
            desired=lambda: desired_record(
                self.upstream, SETTINGS, is_upstream_closed=False
            ),
            random=Random(1),
            on_first_answer=self.upstream.restore,
            on_failure=self.upstream.skip_restore,
        )

    def publish(self) -> bool:
        """Return whether the store has the record that it should have."""
        while not self.publisher._is_current():
            try:
                self.publisher._write_once()
            except StoreConditionError:
                self.publisher._is_stored_known = False
            except StoreUnavailableError:
                self.upstream.skip_restore()
                return False
        return True


class LeaveMachine(RuleBasedStateMachine):
    """One VM with its node, the store and the other nodes.

    The upstream names itself in each answer, so a request reaches the process at the
    address only if the node has its id.
    """

    @initialize()
    def begin(self):
        """Start the node; the upstream starts later."""
        self.now = 100.0
        self.births = set()
        self.delayed = []
        self.store = Store()
        self.observer = TrueObserver()
        self.peers = PeerLeaves()
        self.is_linked = True
        self.start_node()

    def start_node(self):
        """Start the process of the node."""
        self.observer.stop_watching()
        self.node = None
        self.node = Node(self.store, self.observer, self.notify_peers)
        self.node.publish()

    def notify_peers(self):
        """Send the notice that follows each change."""
        if self.is_linked and self.node is not None:
            notice = gateway_notice(self.node.upstream, is_draining=False)
            self.peers.on_notice(NODE_ID, notice)

    @property
    def process(self):
        """Return the process at the address."""
        return self.observer.process

    def is_leave_kept(self) -> bool:
        """Return what `MeshNode.keep_leave` does before an acknowledgement."""
        is_published = self.node.publish()
        if not self.node.upstream.is_leaving or is_published:
            return True
        self.notify_peers()
        return self.is_linked

    def next_report(self) -> StatusReport:
        """Return the next report of the process."""
        process = self.process
        process.sequence += 1
        return StatusReport(
            process.upstream_id,
            "s",
            ADDRESS,
            4,
            process.is_draining,
            0.0,
            process.sequence,
            process.born_ms,
        )

    def deliver(self, report: StatusReport) -> bool:
        """Deliver a report; return whether it is acknowledged."""
        self.node.upstream.on_report(report, self.now)
        return self.is_leave_kept()

    def leave(self):
        """Let the process leave."""
        process = self.process
        process.has_left = True
        self.node.upstream.on_leave(process.upstream_id, self.now)
        process.is_acknowledged |= self.is_leave_kept()

    def drain(self):
        """Let the process report that it drains."""
        process = self.process
        process.is_draining = True
        process.is_acknowledged |= self.deliver(self.next_report())

    @rule(seconds=st.sampled_from([0.1, 3.0, 12.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @precondition(lambda self: self.process is not None)
    @rule()
    def end(self):
        """End the process, by a crash unless it left."""
        self.observer.process = None

    @rule(
        upstream_id=st.sampled_from(["u1", "u1", "u2"]),
        step_ms=st.sampled_from([0, 0, -2400, 2400]),
        first_report=st.sampled_from(["in time", "late", "none"]),
    )
    def start(self, upstream_id, step_ms, first_report):
        """Start a process, often with the id of the earlier one.

        The time of day, from which it takes its start, may be ahead or behind.
        """
        self.now += 0.5
        born_ms = int(self.now * 1000) + step_ms
        while born_ms in self.births:
            born_ms += 1
        self.births.add(born_ms)
        self.observer.process = Process(upstream_id, born_ms)
        if first_report == "in time":
            self.report()
        elif first_report == "late":
            self.delay_report()

    @precondition(lambda self: self.process is not None and not self.process.has_left)
    @rule()
    def report(self):
        """Deliver a report in time.

        A node whose upstream left or drained uses the next one with its first report.
        """
        process = self.process
        was_leaving = self.node.upstream.is_leaving
        is_acknowledged = self.deliver(self.next_report())
        if process.is_draining:
            process.is_acknowledged |= is_acknowledged
        elif was_leaving and self.observer.answers_probes and self.process is process:
            self.assert_used(process)

    def assert_used(self, process):
        """Guards against an upstream that is not used after a leave of another."""
        upstream = self.node.upstream
        if process.is_serving and self.store.is_up:
            assert (upstream.accepts_work, upstream.upstream_id) == (
                True,
                process.upstream_id,
            )

    @precondition(lambda self: self.process is not None and not self.process.has_left)
    @rule()
    def delay_report(self):
        """Send a report that arrives late."""
        self.delayed.append(self.next_report())

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def deliver_late_report(self, data):
        """Deliver a delayed report, in any order."""
        number = data.draw(st.integers(0, len(self.delayed) - 1))
        self.deliver(self.delayed.pop(number))

    @precondition(lambda self: self.process is not None and not self.process.has_left)
    @rule()
    def report_drain(self):
        """Let the process drain."""
        self.drain()

    @precondition(lambda self: self.process is not None and not self.process.has_left)
    @rule()
    def send_leave(self):
        """Let the process leave."""
        self.leave()

    @precondition(lambda self: self.process is not None and self.process.is_serving)
    @rule(is_drain=st.booleans())
    def leave_during_next_probe(self, is_drain):
        """Let the process leave just after it answered the next health probe."""
        process = self.process

        def announce():
            if self.process is process and process.is_serving:
                self.drain() if is_drain else self.leave()

        self.observer.during_probe = announce

    @rule(
        disturbance=st.sampled_from(
            ["no connection", "no probes", "probes", "store down", "store up"]
        )
    )
    def disturb(self, disturbance):
        """Begin or end one disturbance.

        The upstream may close the connection by which it is observed, health probes may
        time out, and the store may fail.
        """
        match disturbance:
            case "no connection":
                self.observer.stop_watching()
            case "no probes" | "probes":
                self.observer.answers_probes = disturbance == "probes"
            case "store down" | "store up":
                self.store.is_up = disturbance == "store up"
                self.node.publish()

    @rule()
    def request(self):
        """Send a request; another upstream than the known one refuses it."""
        upstream = self.node.upstream
        if (
            upstream.accepts_work
            and self.process is not None
            and upstream.upstream_id != self.process.upstream_id
        ):
            upstream.on_other_upstream(upstream.upstream_id)
            self.node.publish()

    @rule()
    def probe(self):
        """Send the health probe of an unknown upstream."""
        process = self.process
        if process is not None and self.observer.is_healthy(process.upstream_id, "s"):
            self.node.upstream.on_probe(process.upstream_id, 4)
            self.node.publish()

    @rule(opens_links=st.booleans())
    def restart_node(self, opens_links):
        """Kill the process of the node and start another."""
        self.is_linked = False
        self.observer.during_probe = None
        self.start_node()
        if opens_links:
            self.open_links()

    @precondition(lambda self: not self.is_linked)
    @rule()
    def open_links(self):
        """Open the links of a node that was restarted."""
        leave = self.peers.of(NODE_ID)
        self.is_linked = True
        self.notify_peers()
        if leave is not None:
            upstream = self.node.upstream
            upstream.on_earlier_leave(leave.upstream_id, leave.born_ms, self.now)
            self.node.publish()

    @invariant()
    def acknowledged_leave_binds(self):
        """Guards against requests to an upstream whose leave was acknowledged."""
        process = self.process
        if process is None or not process.is_acknowledged:
            return
        upstream = self.node.upstream
        assert not upstream.accepts_work or (
            upstream.upstream_id != process.upstream_id
        )

    @precondition(lambda self: self.process is not None and self.process.is_serving)
    @rule()
    def serve_calmly(self):
        """Guards against an upstream that stays unused.

        Reports come in time, requests show another upstream, health probes are
        answered and the store is up.
        """
        process = self.process
        self.observer.during_probe = None
        self.observer.answers_probes = self.store.is_up = True
        for _ in range(4):
            self.now += HEARTBEAT_S
            self.deliver(self.next_report())
            self.request()
            self.probe()
        self.assert_used(process)


LeaveMachineTest = LeaveMachine.TestCase
LeaveMachineTest.settings = settings(
    max_examples=2000, stateful_step_count=40, derandomize=True, deadline=None
)
