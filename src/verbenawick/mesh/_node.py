"""Node backed by a platform store: creates, starts and stops its components."""

from collections.abc import Callable
from random import Random, SystemRandom
from time import process_time

import eventlet

from verbenawick.allowances._allowances import Allowances
from verbenawick.allowances._model import Tolerance
from verbenawick.calls._entry_server import EntryServer
from verbenawick.links._call_links import CallLinks, PeerSilence
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, Link, LinkServer
from verbenawick.links._members import Member
from verbenawick.mesh._address_owners import AddressOwners
from verbenawick.mesh._beacons import Beacons
from verbenawick.mesh._configuration_relay import RelayState
from verbenawick.mesh._confirmation import Confirmation
from verbenawick.mesh._crash_exchange import (
    CrashDigest,
    CrashExchange,
    CrashNotice,
    CrashQuery,
)
from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._entry import MeshEntry
from verbenawick.mesh._followers import ConfigurationFollower
from verbenawick.mesh._gateway import MeshGateway, UpstreamProtocol
from verbenawick.mesh._health_probe import HealthProbe
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._messages import (
    ForwardedCall,
    GatewayNotice,
    LeaveNotice,
)
from verbenawick.mesh._metrics_page import MetricsPage
from verbenawick.mesh._model import (
    MeshConfiguration,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._named_limits import LimitNotice, PeerLimits
from verbenawick.mesh._node_events import (
    ConfigurationInForce,
    LeaveNotKept,
    MeshNodeStarted,
    MeshNodeStopped,
    MeshNodeStopping,
    PeerResponding,
    PeerSilent,
    ProcessStalled,
    RecordSuperseded,
    SettingsRejected,
    SettingsReloaded,
)
from verbenawick.mesh._own_state import desired_record, gateway_notice, record_of
from verbenawick.mesh._peer_connectors import PeerConnectors
from verbenawick.mesh._peer_leaves import PeerLeaves
from verbenawick.mesh._publisher import RecordPublisher
from verbenawick.mesh._record_follower import RecordFollower
from verbenawick.mesh._record_remover import RecordRemover
from verbenawick.mesh._release_task import ReleaseTask
from verbenawick.mesh._retry_budget import RetryBudget
from verbenawick.mesh._settings import MeshSettings
from verbenawick.mesh._standing_links import StandingLinks
from verbenawick.mesh._state_exchange import StateExchange
from verbenawick.mesh._state_store import RecordChange, StateStore
from verbenawick.mesh._upstream_channels import UpstreamChannels
from verbenawick.mesh._upstream_observer import UpstreamObserver
from verbenawick.mesh._upstream_prober import UpstreamProber
from verbenawick.releases._shares import VersionShares
from verbenawick.releases._tally import ReleaseTally
from verbenawick.runtime._clock import BootClock
from verbenawick.runtime._events import emit
from verbenawick.runtime._metrics import MetricSet

INCARNATION_BITS = 48
# Nodes on the same site accept in milliseconds; a VM that is powered off never does.
DIAL_TIMEOUT_S = 0.5
SILENCE_CHECK_INTERVAL_S = 0.15
# A delay of this length at a node makes its peers ping it.
STALL_LOGGED_S = 0.25
# Links with pending requests are checked by `_detect_silent_peers`, so idle links need
# only infrequent pings.
IDLE_PING_INTERVAL_S = 15.0
# Timeout of the final write to the store during shutdown.
FINAL_WRITE_TIMEOUT_S = 0.5
# Longest wait for the record of a leave before it is acknowledged. An upstream expects
# the acknowledgement within 1 s.
LEAVE_STORED_TIMEOUT_S = 0.6
# Longest wait for a peer that knows the leave if the store does not.
LEAVE_RECEIPT_TIMEOUT_S = 0.25
# Longest wait during shutdown for peers that take none of the last messages of their
# links. A message can wait for most of a second in the queue of a full link.
LINK_IDLE_TIMEOUT_S = 1.5
# Part of the stop grace period that is reserved for closing sockets before the platform
# kills the process.
STOP_MARGIN_S = 0.5
# Time from the last answers to callers and other nodes to the end of the grace period,
# in which they are delivered.
LAST_ANSWER_MARGIN_S = 0.2
# Time after a stop request from which calls of callers are refused. The platform
# accepts that the end of the grace period cuts a call only if it was sent before.
LAST_CALL_S = 3.0
# Time after the start of the process during which the notices of other nodes about the
# leave of the upstream are used. All links are open again within seconds.
LEAVE_NOTICE_WINDOW_S = 10.0
# Delay between announcing the drain and refusing calls, so that other nodes receive the
# announcement first.
DRAIN_NOTICE_S = 0.1
# The platform checks readiness once a second and stops sending callers after two failed
# checks. New callers are served until then.
SHUTDOWN_DELAY_S = 2.3


class MeshNode:
    """Node with an entry and a gateway.

    Parameters
    ----------
    open_store : callable
        Returns a `StateStore` with a separate connection.
    decode : callable
        Decodes a configuration document of the store at the given revision.
    protocol : UpstreamProtocol
        Protocol for requests to the upstream.
    metrics : MetricSet
        Shared with the store clients.
    process_began_at : float or None
        When the process of this node began, None if it is not the only one in it.
    """

    def __init__(
        self,
        settings: MeshSettings,
        *,
        open_store: Callable[[], StateStore],
        protocol: UpstreamProtocol,
        decode: Callable[[bytes, int], MeshConfiguration | None],
        metrics: MetricSet,
        process_began_at: float | None = None,
    ):
        self.settings = settings
        self.caller_service = settings.upstream.service
        self.clock = BootClock()
        # SystemRandom makes a system call per number, so it only seeds the generator
        # for gateway selection and jitter.
        self.random = Random(SystemRandom().getrandbits(64))
        self.metrics = metrics
        self.metrics_page = MetricsPage(self.metrics)
        self._started_at = self.clock.now()
        self.is_stopping = False
        self.is_gateway_draining = False
        # Whether nothing listens at the address of the upstream that left; determined
        # at the end of the shutdown.
        self._is_upstream_closed = False
        self.identity = NodeIdentity(
            node_id=settings.node_id,
            incarnation=SystemRandom().getrandbits(INCARNATION_BITS),
            service_id=settings.upstream.service,
            data_centre=settings.data_centre,
            region=settings.region,
            peer_address=settings.peer_address,
        )
        self.endpoints = Endpoints(
            node_id=settings.node_id,
            data_centre=settings.data_centre,
            region=settings.region,
        )
        self._address_owners = AddressOwners(
            node_id=settings.node_id, peer_address=settings.peer_address
        )
        self.links = CallLinks(
            self.identity,
            clock=self.clock,
            metrics=self.metrics,
            dial_timeout_s=DIAL_TIMEOUT_S,
            ping_interval_s=IDLE_PING_INTERVAL_S,
            on_link_open=self._on_link_open,
            # Traffic inside a data centre is free, so it is not compressed.
            is_compressed_to=lambda m: m.data_centre != settings.data_centre,
        )
        guard = CrashGuard()
        self._guard = guard
        self._crashes = CrashExchange(
            guard,
            self.links,
            region=settings.region,
            clock=self.clock,
            random=self.random,
        )
        self.channels = UpstreamChannels(
            settings.upstream.address,
            # Replaced by `max_connections` of the service in each configuration.
            max_channels=64,
            id_header=protocol.id_header,
            clock=self.clock,
            metrics=self.metrics,
        )
        health_probe = HealthProbe(
            channels=self.channels,
            protocol=protocol,
            clock=self.clock,
            configuration=lambda: self.entry.configuration,
        )
        self._observer = UpstreamObserver(self.channels, health_probe)
        self.upstream = LocalUpstream(
            address=settings.upstream.address,
            service=settings.upstream.service,
            observer=self._observer,
            on_change=self._on_upstream_change,
            awaits_record=True,
            keeps_version=settings.releases is not None,
        )
        shares = VersionShares()
        tally = ReleaseTally()
        self.gateway = MeshGateway(
            node_id=settings.node_id,
            upstream=self.upstream,
            channels=self.channels,
            protocol=protocol,
            guard=guard,
            clock=self.clock,
            metrics=self.metrics,
            on_crash=self._crashes.on_crash,
            on_limit=self._notify_state,
            observe=self.metrics_page.observe_upstream,
            shares=shares,
            tally=tally,
        )
        self._connectors = PeerConnectors(self.links, random=self.random)
        self.standing_links = StandingLinks(
            self._connectors, node_id=settings.node_id, endpoints=self.endpoints
        )
        self.allowances = Allowances(
            node_id=settings.node_id,
            epoch=self.identity.incarnation,
            links=self.links,
            clock=self.clock,
            metrics=self.metrics,
            node_ids=lambda: frozenset(e.node_id for e in self.endpoints.all()),
            is_reachable=self._is_reachable,
            connect=self._connect,
            process_began_at=process_began_at,
            tolerance=Tolerance(settings.allowances.excess, settings.allowances.slack),
        )
        self.entry = MeshEntry(
            node_id=settings.node_id,
            endpoints=self.endpoints,
            links=self.links,
            standing_links=self.standing_links,
            gateway=self.gateway,
            budget=RetryBudget(
                ratio=settings.retry_budget.ratio,
                slack=settings.retry_budget.slack,
                window_s=settings.retry_budget.window_s,
                node_count=lambda: len(self.endpoints),
            ),
            guard=guard,
            allowances=self.allowances,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
            shares=shares,
        )
        self.links.register_handler(
            ForwardedCall,
            self.gateway.on_call,
            is_cancellable=self.gateway.is_cancellable,
        )
        self.links.register_notice(GatewayNotice, self._on_gateway_notice)
        self.links.register_notice(CrashNotice, self._crashes.on_notice)
        self.links.register_notice(CrashDigest, self._crashes.on_digest)
        self.links.register_notice(CrashQuery, self._crashes.on_query)
        self.links.register_notice(LeaveNotice, self._on_leave_notice)
        self.links.register_notice(
            LimitNotice, lambda peer, notice: self.gateway.on_limit_notice(notice)
        )
        self._leaves = PeerLeaves()
        self._limits = PeerLimits()
        relay = RelayState(node_id=settings.node_id)
        self._beacons = Beacons(
            region=settings.region,
            links=self.links,
            endpoints=self.endpoints,
            clock=self.clock,
            relay=relay,
            is_stopping=lambda: self.is_stopping,
        )
        self._link_server = LinkServer(
            self.identity,
            {CALL_CHANNEL: self.links},
            ping_interval_s=IDLE_PING_INTERVAL_S,
            clock=self.clock,
        )
        self._publisher = RecordPublisher(
            open_store(),
            node_id=settings.node_id,
            desired=self._desired_record,
            random=self.random,
            on_first_answer=self._restore_upstream,
            on_failure=self.upstream.skip_restore,
        )
        self._configuration_follower = ConfigurationFollower(
            open_store(),
            random=self.random,
            clock=self.clock,
            apply=self._on_configuration,
            relay=relay,
            is_relay=self._beacons.is_relay,
            decode=decode,
            query=self._beacons.query,
            confirmation=Confirmation(clock=self.clock, metrics=self.metrics),
            send_beacon=self._beacons.send_if_relay,
        )
        self._beacons.set_follower(self._configuration_follower)
        self._record_follower = RecordFollower(
            open_store(),
            random=self.random,
            clock=self.clock,
            apply=self._on_records,
            is_relay=self._beacons.is_relay,
            send=self._beacons.send_records,
        )
        self._beacons.set_record_follower(self._record_follower)
        self._state_exchange = StateExchange(
            self.links,
            configuration=self._configuration_follower,
            records=self._record_follower,
            random=self.random,
        )
        self._record_remover = RecordRemover(
            open_store=open_store,
            endpoints=self.endpoints,
            links=self.links,
            clock=self.clock,
            is_leader=self._beacons.is_leader,
            superseded=lambda: [
                record.node_id
                for record in self._address_owners.superseded()
                if record.region == settings.region
            ],
        )
        self._prober = UpstreamProber(self.upstream, health_probe)
        self._release_task = None
        if settings.releases is not None:
            self._release_task = ReleaseTask(
                open_store=open_store,
                max_exposure=settings.releases.max_exposure,
                node_id=settings.node_id,
                region=settings.region,
                shares=shares,
                tally=tally,
                upstream=self.upstream,
                in_progress=lambda: self.gateway.in_flight,
                links=self.links,
                endpoints=self.endpoints,
                beacons=self._beacons,
                relay=relay,
                clock=self.clock,
                random=self.random,
                metrics=self.metrics,
            )
        self._tasks = []
        self._put_own_endpoint()

    @property
    def is_ready(self) -> bool:
        """Return whether the node can serve callers."""
        return (
            not self.is_stopping
            and self.entry.configuration is not None
            and self._record_follower.has_synced
        )

    def start(self) -> None:
        """Start listening for links and start all tasks."""
        self._link_server.listen()
        self._tasks = [
            eventlet.spawn(task)
            for task in (
                self._link_server.run,
                self._configuration_follower.run,
                self._record_follower.run,
                self._record_follower.send_beacons,
                self._state_exchange.run,
                self._crashes.run,
                self._publisher.run,
                self._detect_silent_peers,
                self._beacons.run,
                self._record_remover.run,
                self.standing_links.run,
                *self._release_tasks(),
            )
        ]
        settings = self.settings
        self._prober.start_if_unknown()
        emit(
            MeshNodeStarted(
                self.identity.incarnation,
                settings.upstream.service,
                settings.data_centre,
                settings.region,
            )
        )

    def _release_tasks(self) -> tuple[Callable[[], None], ...]:
        task = self._release_task
        if task is None:
            return ()
        return (task.watch_orders, task.conduct, task.store_statuses, task.report)

    def stop(
        self,
        entry_server: EntryServer,
        *,
        calls_in_flight: int,
        shutdown_delay_s: float = SHUTDOWN_DELAY_S,
    ) -> None:
        """Shut down gracefully within the `stop_grace_s` setting.

        Calls of other nodes are accepted for as long as new callers are, since the
        upstream is reachable only through this node.

        Parameters
        ----------
        entry_server : EntryServer
            Listener for the callers on this VM.
        calls_in_flight : int
            Number of calls in progress on that listener, for the log.
        shutdown_delay_s : float
            How long new callers are served after readiness checks start to fail.
        """
        grace_s = self.settings.stop_grace_s - STOP_MARGIN_S
        now = self.clock.now()
        deadline = now + grace_s
        # Readiness checks fail from here on; callers and other nodes are still served.
        self.is_stopping = True
        emit(MeshNodeStopping(calls_in_flight, self.gateway.in_flight))
        answer_by = deadline - LAST_ANSWER_MARGIN_S
        self.entry.stop_by(answer_by, last_call_at=now + LAST_CALL_S)
        self.gateway.stop_by(answer_by)
        self.allowances.release()
        eventlet.spawn_after(
            max(shutdown_delay_s - DRAIN_NOTICE_S, 0.0), self._drain_gateway
        )
        ended = entry_server.stop(
            grace_s=shutdown_delay_s, timeout_s=grace_s - shutdown_delay_s
        )
        self._complete_shutdown(deadline=deadline, all_calls_ended=ended)

    def _drain_gateway(self) -> None:
        """Announce the drain to other nodes, then refuse their calls."""
        self.is_gateway_draining = True
        self._notify_state()
        eventlet.sleep(DRAIN_NOTICE_S)
        self.gateway.stop_accepting()

    def _complete_shutdown(self, *, deadline: float, all_calls_ended: bool) -> None:
        """Wait for calls of other nodes, write the final record and close."""
        self.gateway.wait_idle(timeout_s=max(deadline - self.clock.now(), 0.0))
        left_s = max(min(deadline - self.clock.now(), FINAL_WRITE_TIMEOUT_S), 0.0)
        if self.upstream.state is UpstreamState.GONE:
            self._is_upstream_closed = self.channels.refuses_connections(
                timeout_s=left_s
            )
            left_s = max(min(deadline - self.clock.now(), FINAL_WRITE_TIMEOUT_S), 0.0)
            self._publisher.flush(timeout_s=left_s)
        # Otherwise other nodes would open new links while the last ones are closed.
        self._link_server.stop()
        self._connectors.close()
        left_s = max(deadline - self.clock.now(), 0.0)
        self.links.finish(timeout_s=left_s, idle_timeout_s=LINK_IDLE_TIMEOUT_S)
        self.close()
        all_calls_ended = all_calls_ended and not self.gateway.in_flight
        emit(MeshNodeStopped(all_calls_ended))

    def close(self) -> None:
        """Stop all tasks and close all links."""
        self._link_server.stop()
        for task in self._tasks:
            task.kill()
        self._prober.close()
        self._observer.stop_watching()
        self.allowances.close()
        self._connectors.close()
        self.links.close()

    def keep_leave(self) -> bool:
        """Return whether others know that the upstream is leaving, if it is.

        Otherwise, a process that is started after this one was killed would send
        requests to the upstream again. Waits until the record says so or, after
        `LEAVE_STORED_TIMEOUT_S` without the store, until a peer knows it.
        """
        if not self.upstream.is_leaving:
            return True
        if self._publisher.flush(timeout_s=LEAVE_STORED_TIMEOUT_S):
            return True
        self._notify_state()
        if self.links.await_any_receipt(timeout_s=LEAVE_RECEIPT_TIMEOUT_S):
            return True
        emit(LeaveNotKept(self.upstream.upstream_id, self.upstream.born_ms))
        return False

    def reload(self, settings: MeshSettings, *, cause: str) -> None:
        """Apply the changed settings that do not require a restart."""
        self.caller_service = settings.upstream.service
        if settings.upstream.address != self.upstream.address:
            self.channels.change_address(settings.upstream.address)
            self.upstream.change_address(
                settings.upstream.address, settings.upstream.service
            )
        emit(
            SettingsReloaded(
                cause, settings.upstream.service, settings.upstream.address
            )
        )

    def reject_settings(self, reason: str) -> None:
        """Log that the changed settings are invalid; the current ones stay active."""
        emit(SettingsRejected(reason))

    def _on_configuration(self, configuration: MeshConfiguration) -> None:
        earlier = self.entry.configuration
        if not self.entry.put_in_force(configuration):
            return
        emit(
            ConfigurationInForce(
                configuration.version,
                earlier.version if earlier else 0,
                configuration.revision,
                len(configuration.routes),
            )
        )
        self.allowances.put_in_force(configuration.workspaces)
        self._beacons.send_if_relay(with_document=True)
        service = configuration.services_by_name.get(self.upstream.service)
        if service is not None:
            self.channels.max_channels = service.max_connections

    def _on_records(self, change: RecordChange) -> None:
        records = change.records_by_node_id
        if change.is_complete:
            for endpoint in self.endpoints.all():
                if endpoint.node_id not in records:
                    self._on_record(endpoint.node_id, None)
        for node_id, record in records.items():
            if record is None and change.is_restored and self._is_linked(node_id):
                continue
            self._on_record(node_id, record)

    def _is_linked(self, node_id: str) -> bool:
        endpoint = self.endpoints.get(node_id)
        return (
            endpoint is not None
            and node_id != self.settings.node_id
            and self.links.is_connected(endpoint.member)
        )

    def _on_record(self, node_id: str, record: UpstreamRecord | None) -> None:
        if node_id == self.settings.node_id:
            self._publisher.on_stored(record)
            return
        if record is None:
            self._address_owners.remove(node_id)
            self._forget(node_id)
            return
        superseded = self._address_owners.put(record)
        if superseded is not None:
            emit(RecordSuperseded(superseded.node_id, record.peer_address))
            self._forget(superseded.node_id)
            if superseded is record:
                return
        known = self.endpoints.get(node_id)
        has_new_address = (
            known is not None and known.peer_address != record.peer_address
        )
        # A connected node reports the state of its upstream itself, in gateway notices.
        if (
            known is None
            or has_new_address
            or not self.links.is_connected(known.member)
        ):
            known = self.endpoints.put_record(record)
        self.standing_links.on_endpoint(known)

    def _forget(self, node_id: str) -> None:
        self.endpoints.remove(node_id)
        self._leaves.forget(node_id)
        self._limits.forget(node_id)
        self._connectors.stop_connector(node_id)

    def _detect_silent_peers(self) -> None:
        while True:
            self._sleep_and_log_stall(SILENCE_CHECK_INTERVAL_S)
            for change in self.links.check_silence():
                _emit_silence(change)

    def _sleep_and_log_stall(self, interval_s: float) -> None:
        wake_at = self.clock.now() + interval_s
        cpu_before_s = process_time()
        eventlet.sleep(interval_s)
        stalled_s = self.clock.now() - wake_at
        if stalled_s >= STALL_LOGGED_S:
            cpu_s = process_time() - cpu_before_s
            emit(ProcessStalled(round(stalled_s, 3), round(cpu_s, 3)))

    def _is_reachable(self, node_id: str) -> bool:
        """Return whether a link to another node is open or may be opened."""
        endpoint = self.endpoints.get(node_id)
        if endpoint is None:
            return False
        if self.links.is_connected(endpoint.member):
            return not self.links.is_silent(endpoint.peer_address)
        return self.standing_links.may_open(endpoint)

    def _connect(self, node_id: str) -> Member | None:
        """Return another node after opening a link to it, None if that fails."""
        endpoint = self.endpoints.get(node_id)
        if endpoint is None:
            return None
        if not self.links.is_connected(endpoint.member):
            self.standing_links.open(endpoint)
        return endpoint.member if self.links.is_connected(endpoint.member) else None

    def _restore_upstream(self, record: UpstreamRecord | None) -> None:
        if record is not None and record.state is UpstreamState.DRAINING:
            # Otherwise the present state would replace the leave before it applies.
            self.upstream.restore(record)
        else:
            # A health probe would hold up the writes of the record.
            eventlet.spawn(self.upstream.restore, record)

    def _on_link_open(self, link: Link) -> None:
        self.gateway.on_link_open(link)
        self._crashes.on_link_open(link)
        node_id = link.peer.node_id
        for notice in (self._leaves.of(node_id), self._limits.of(node_id)):
            if notice is not None:
                self.links.notify(link, notice)
        if not link.is_dialled:
            self.links.notify(link, self._gateway_notice())

    def _on_leave_notice(self, peer: NodeIdentity, notice: LeaveNotice) -> None:
        now = self.clock.now()
        # Later, this process knows more of its upstream than its peers.
        if now < self._started_at + LEAVE_NOTICE_WINDOW_S:
            # A health probe would hold up the messages of the link.
            eventlet.spawn(
                self.upstream.on_earlier_leave, notice.upstream_id, notice.born_ms, now
            )

    def _on_gateway_notice(self, peer: NodeIdentity, notice: GatewayNotice) -> None:
        self._leaves.on_notice(peer.node_id, notice)
        self._limits.on_notice(peer.node_id, notice)
        self.endpoints.put_state(
            peer.node_id,
            service=notice.service,
            upstream_id=notice.upstream_id,
            state=notice.state,
            version=notice.version,
        )

    def _on_upstream_change(self) -> None:
        self.gateway.on_upstream_change()
        self._prober.start_if_unknown()
        self._put_own_endpoint()
        self._publisher.wake()
        self._notify_state()

    def _notify_state(self) -> None:
        self.links.notify_all(self._gateway_notice())

    def _gateway_notice(self) -> GatewayNotice:
        return gateway_notice(
            self.upstream,
            is_draining=self.is_gateway_draining,
            rate_limit=self.gateway.rate_limit,
        )

    def _put_own_endpoint(self) -> None:
        upstream = self.upstream
        self.endpoints.put_record(record_of(upstream, upstream.state, self.settings))

    def _desired_record(self) -> UpstreamRecord | None:
        return desired_record(
            self.upstream, self.settings, is_upstream_closed=self._is_upstream_closed
        )


def _emit_silence(change: PeerSilence) -> None:
    node_id = change.peer.node_id
    silence_s = round(change.silence_s, 3)
    pending_calls = change.pending_requests
    if change.is_silent:
        emit(PeerSilent(node_id, silence_s, pending_calls, change.unsent_bytes))
    else:
        emit(PeerResponding(node_id, silence_s, pending_calls))
