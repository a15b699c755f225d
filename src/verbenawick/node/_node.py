"""A node: builds and starts its parts, and stops them without interrupting calls."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from random import SystemRandom

import eventlet
from eventlet import wsgi
from statsd import StatsClient

from verbenawick.calls._admission import Admission
from verbenawick.calls._balancer import Balancer
from verbenawick.calls._dispatch import Dispatcher
from verbenawick.calls._drain_detector import DrainDetector
from verbenawick.calls._entry import EntryApplication
from verbenawick.calls._entry_server import EntryServer
from verbenawick.calls._gateway import Gateway
from verbenawick.calls._quarantine import Quarantine
from verbenawick.calls._retry import RetryRules
from verbenawick.calls._tracing import Tracer
from verbenawick.calls._upstream import UpstreamConnections
from verbenawick.calls._upstream_probe import UpstreamProbe
from verbenawick.claims._claim_messages import ClaimHandover, SealRequest
from verbenawick.claims._claim_records import ClaimLimits
from verbenawick.claims._claims import ClaimCoordinator
from verbenawick.configuration._config_codec import ConfigCodec
from verbenawick.configuration._config_state import ConfigState
from verbenawick.configuration._distribution import ConfigDistribution
from verbenawick.configuration._lifecycle import Lifecycle
from verbenawick.configuration._status import StatusAggregator
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import CallRequest
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, CONTROL_CHANNEL, LinkServer
from verbenawick.links._members import MemberState
from verbenawick.membership._membership import Membership
from verbenawick.node._admin import AdminPages
from verbenawick.node._control import ControlTask
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._graceful_listener import GracefulListener
from verbenawick.runtime._metrics import FLUSH_INTERVAL_S, MetricSet
from verbenawick.runtime._sockets import listen
from verbenawick.settings._settings import NodeSettings, TimingSettings
from verbenawick.store._lease import describe_lease
from verbenawick.store._store import StoreClient

INCARNATION_BITS = 48
# Time after the close of the listener from which calls on connections that were kept
# open are refused; callers with a further request on its way would put off the stop.
LAST_CALLS_S = 1.0
HANDOVER_TIMEOUT_S = 5.0
CLAIM_POLL_INTERVAL_S = 0.02
# Delay before sockets are closed, so that the last messages are sent.
CLOSE_DELAY_S = 0.3
# Longest wait for peers that take none of the last messages of their call links.
LINK_IDLE_TIMEOUT_S = 1.5
MAX_ADMIN_CONNECTIONS = 16
HEALTH_REPORT_INTERVAL_S = 0.5


@register_event(130)
@dataclass(frozen=True, slots=True)
class NodeStarted(Event):
    """The node started and listens on all its addresses."""

    node: str
    incarnation: int
    call_address: str
    peer_address: str
    admin_address: str


@register_event(131)
@dataclass(frozen=True, slots=True)
class NodeStopping(Event):
    """The node is stopping; it finishes its calls first."""

    node: str
    calls_in_flight: int


@register_event(132)
@dataclass(frozen=True, slots=True)
class NodeStopped(Event):
    """The node stopped after ending its calls and leaving the mesh."""

    node: str
    all_calls_ended: bool
    claims_handed_over: bool


class Node:
    """One node with all its components, servers and clients.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings; no listener is opened before `start`.
    """

    def __init__(self, settings: NodeSettings):
        self.settings = settings
        self.clock = MonotonicClock()
        self.random = SystemRandom()
        self.metrics = MetricSet()
        self.identity = NodeIdentity(
            node_id=settings.node_id,
            incarnation=self.random.getrandbits(INCARNATION_BITS),
            service_id=settings.upstream.service,
            data_centre=settings.data_centre,
            region=settings.region,
            peer_address=settings.peer_address,
        )
        self.tracer = Tracer(
            settings.node_id,
            sample_share=settings.traces.sample_share,
            random=self.random,
        )
        self._build_control()
        self._build_calls()
        self._build_entry()
        self._build_admin()

    def _build_control(self) -> None:
        settings = self.settings
        own_ip = settings.peer_address.rpartition(":")[0]
        self.store = StoreClient(
            settings.store.address,
            source_ip=own_ip,
            timeout_s=settings.store.timeout_s,
        )
        self.control = ControlTask(
            settings,
            self.identity,
            store=self.store,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
        )
        self.membership = Membership(
            self.identity,
            slots=settings.upstream.slots,
            timing=settings.timing,
            clock=self.clock,
            peers=self.control.peers,
            store=self.control.store,
            roles=self.control.roles,
            record=self.control.record,
        )
        self.members = self.membership.table
        self.control.set_members(self.members)
        self.lifecycle = Lifecycle()
        codec = ConfigCodec()
        self.distribution = ConfigDistribution(
            identity=self.identity,
            clock=self.clock,
            peers=self.control.peers,
            store=self.control.store,
            roles=self.control.roles,
            members=self.members,
            state=ConfigState(codec),
            feed_codec=codec,
            lifecycle=self.lifecycle,
            random=self.random,
            record=self.control.record,
        )
        self.control.add(self.membership)
        self.quarantine = Quarantine(
            self.identity,
            clock=self.clock,
            peers=self.control.peers,
            store=self.control.store,
            roles=self.control.roles,
            metrics=self.metrics,
        )
        self.control.add(self.distribution)
        self.status_aggregator = StatusAggregator(
            identity=self.identity,
            clock=self.clock,
            peers=self.control.peers,
            store=self.control.store,
            roles=self.control.roles,
            members=self.members,
            distribution=self.distribution,
        )
        self.control.add(self.status_aggregator)
        self.control.add(self.quarantine)

    def _build_calls(self) -> None:
        settings = self.settings
        delay_for = self.control.peers.delay_for
        self.call_links = CallLinks(
            self.identity, clock=self.clock, metrics=self.metrics, delay_for=delay_for
        )
        self.claims = ClaimCoordinator(
            self.identity,
            members=self.members,
            requests=self.call_links,
            clock=self.clock,
            limits=_claim_limits(settings.timing),
            map_function=lambda function, items: eventlet.GreenPool().imap(
                function, items
            ),
        )
        self.admission = Admission(
            slots=settings.upstream.slots, clock=self.clock, metrics=self.metrics
        )
        self.gateway = Gateway(
            node_id=settings.node_id,
            service_id=settings.upstream.service,
            admission=self.admission,
            upstream=UpstreamConnections(
                settings.upstream.address,
                max_connections=settings.upstream.connections,
                clock=self.clock,
                metrics=self.metrics,
            ),
            table=lambda: self.distribution.table,
            members=self.members,
            requests=self.call_links,
            claims=self.claims,
            tracer=self.tracer,
            metrics=self.metrics,
            clock=self.clock,
            is_quarantined=self.quarantine.is_refused,
            on_upstream_run=lambda: self.drain_detector.record_run(),
            on_upstream_refusal=lambda: self.drain_detector.record_refusal(),
        )
        self.drain_detector = DrainDetector(
            settings.upstream.address,
            drain=self.gateway.drain,
            resume=self.gateway.resume,
            is_last_member=self._is_last_member,
        )
        self.call_links.register_handler(CallRequest, self.gateway.on_request)
        for message_type in (SealRequest, ClaimHandover):
            self.call_links.register_handler(
                message_type, lambda peer, message, at: self.claims.answer_to(message)
            )
        self.links = LinkServer(
            self.identity,
            {CONTROL_CHANNEL: self.control.peers, CALL_CHANNEL: self.call_links},
            delay_for=delay_for,
        )
        self.probe = UpstreamProbe(
            settings.upstream.address, on_result=self._on_upstream_health
        )
        self._is_upstream_healthy = True
        self._is_stopping = False

    def _build_entry(self) -> None:
        settings = self.settings
        balancer = Balancer(
            data_centre=settings.data_centre,
            region=settings.region,
            members=self.members,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
        )
        dispatcher = Dispatcher(
            node_id=settings.node_id,
            region=settings.region,
            balancer=balancer,
            retry_rules=RetryRules(self.metrics),
            gateway=self.gateway,
            requests=self.call_links,
            claims=self.claims,
            clock=self.clock,
            metrics=self.metrics,
            on_crash=self.quarantine.record_crash,
            on_complete=self.quarantine.record_completion,
            is_quarantined=self.quarantine.is_refused,
        )
        self.balancer = balancer
        self.entry_application = EntryApplication(
            node_id=settings.node_id,
            service_id=settings.upstream.service,
            table=lambda: self.distribution.table,
            dispatcher=dispatcher,
            tracer=self.tracer,
            metrics=self.metrics,
            clock=self.clock,
            is_quarantined=self.quarantine.is_refused,
            longest_call_s=settings.timing.longest_call_s,
        )
        self.entry = EntryServer(self.entry_application, metrics=self.metrics)

    def _build_admin(self) -> None:
        self.admin = AdminPages()

        @self.admin.page("/healthz")
        def healthz(query: dict[str, str]) -> object:
            return {"state": self.lifecycle.state}

        @self.admin.page("/status")
        def status(query: dict[str, str]) -> object:
            return self.status()

        @self.admin.page("/metrics")
        def metrics(query: dict[str, str]) -> object:
            return self.metrics.totals()

        @self.admin.page("/members")
        def members(query: dict[str, str]) -> object:
            table = self.distribution.table
            service_ids = table.policies_by_service_id if table else {}
            return {
                service_id: [asdict(m) for m in self.members.members_of(service_id)]
                for service_id in service_ids
            }

        @self.admin.page("/explain")
        def explain(query: dict[str, str]) -> object:
            record = self.control.record
            version = int(query["version"]) if "version" in query else None
            decisions = record.decisions(
                node_id=query.get("node"),
                service_id=query.get("service"),
                version=version,
                limit=int(query.get("limit", "200")),
            )
            return [{**asdict(d), "age_s": record.age_s(d)} for d in decisions]

    def status(self) -> dict[str, object]:
        """Return the state of this node for the `/status` page."""
        roles = self.control.roles
        state = self.distribution.state
        refusal = state.refusal_of_highest_version()
        return {
            "node": self.settings.node_id,
            "incarnation": self.identity.incarnation,
            "state": self.lifecycle.state,
            "version_in_force": state.in_force_ref.version,
            "version_held": state.held_ref.version,
            "refused": asdict(refusal) if refusal else None,
            "withheld_routes": self.distribution.withheld_route_ids,
            "relay": roles.relay_id(),
            "is_data_centre_relay": roles.is_data_centre_relay(),
            "is_region_relay": roles.is_region_relay(),
            "leases": [
                describe_lease(roles.data_centre_lease),
                describe_lease(roles.region_lease),
            ],
            "members": len(self.members.members_in(self.settings.data_centre)),
            "calls_in_flight": self.entry_application.in_flight,
            "slots_in_use": self.admission.in_use,
            "claims": len(self.claims.table),
            "control_bytes": self.control.peers.bytes_on_links(),
            "store_bytes": self.store.traffic.bytes_sent
            + self.store.traffic.bytes_received,
        }

    def start(self) -> None:
        """Open the listeners and start all green threads."""
        settings = self.settings
        self.links.listen()
        self.entry.listen(settings.call_address)
        admin_listener = GracefulListener(listen(settings.admin_address))
        eventlet.spawn_n(self.links.run)
        eventlet.spawn_n(
            wsgi.server,
            admin_listener,
            self.admin,
            log_output=False,
            debug=False,
            max_size=MAX_ADMIN_CONNECTIONS,
        )
        self.entry.start()
        self.probe.start()
        self._control_thread = eventlet.spawn(self.control.run)
        self._run_periodically(HEALTH_REPORT_INTERVAL_S, self._report_load)
        self._start_metrics()
        emit(
            NodeStarted(
                settings.node_id,
                self.identity.incarnation,
                settings.call_address,
                settings.peer_address,
                settings.admin_address,
            )
        )

    def stop(self) -> None:
        """Finish all calls, hand over claims, leave the mesh and close all sockets."""
        timing = self.settings.timing
        self._is_stopping = True
        emit(NodeStopping(self.settings.node_id, self.entry_application.in_flight))
        self.control.submit(self.membership.start_drain)
        self.control.submit(self.lifecycle.drain)
        self.gateway.drain()
        self.entry_application.stop_by(
            last_call_at=self.clock.now() + timing.stop_grace_s + LAST_CALLS_S
        )
        all_ended = self.entry.stop(
            grace_s=timing.stop_grace_s, timeout_s=timing.longest_call_s
        )
        all_ended &= self.gateway.wait_drained(timeout_s=timing.longest_call_s)
        self.claims.stop_claiming()
        self._wait_for_claims(self.clock.now() + timing.longest_call_s)
        handed_over = self.claims.hand_over(self.clock.now() + HANDOVER_TIMEOUT_S)
        self.control.submit(
            lambda: self.membership.announce_stop(handed_over=handed_over)
        )
        eventlet.sleep(CLOSE_DELAY_S)
        self.control.stop()
        self._control_thread.wait()
        eventlet.sleep(CLOSE_DELAY_S)
        self.probe.stop()
        self.links.stop()
        self.call_links.finish(
            timeout_s=timing.longest_call_s, idle_timeout_s=LINK_IDLE_TIMEOUT_S
        )
        self.tracer.shutdown()
        emit(NodeStopped(self.settings.node_id, all_ended, handed_over))

    def _wait_for_claims(self, deadline: float) -> None:
        # The handover would record a request that is still running as unknown.
        while self.claims.running_claims and self.clock.now() < deadline:
            eventlet.sleep(CLAIM_POLL_INTERVAL_S)

    def _on_upstream_health(self, is_healthy: bool) -> None:
        self._is_upstream_healthy = is_healthy
        if not self._is_stopping:
            self.drain_detector.record_health(is_healthy)

    def _is_last_member(self) -> bool:
        service_id = self.settings.upstream.service
        return not any(
            member.state is MemberState.ACTIVE
            and member.node_id != self.settings.node_id
            for member in self.members.members_of(service_id)
        )

    def _report_load(self) -> None:
        busy_share = self.gateway.busy_share
        is_healthy = self._is_upstream_healthy
        self.control.submit(
            lambda: self.membership.set_load(busy_share, is_healthy=is_healthy)
        )
        self.balancer.forget_departed()

    def _start_metrics(self) -> None:
        address = self.settings.metrics.address
        if not address:
            return
        host, _, port = address.rpartition(":")
        client = StatsClient(host, int(port), prefix=self.settings.metrics.prefix)
        self._run_periodically(FLUSH_INTERVAL_S, lambda: self.metrics.flush(client))

    @staticmethod
    def _run_periodically(interval_s: float, function: Callable[[], None]) -> None:
        def repeat():
            while True:
                eventlet.sleep(interval_s)
                function()

        eventlet.spawn_n(repeat)


def _claim_limits(timing: TimingSettings) -> ClaimLimits:
    return ClaimLimits(
        horizon_s=timing.takeover_horizon_s,
        authority_s=timing.authority_s,
        longest_call_s=timing.longest_call_s,
    )
