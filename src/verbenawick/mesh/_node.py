"""A node whose platform keeps the state: builds its parts, starts and stops them."""

from collections.abc import Callable
from random import Random, SystemRandom

import eventlet

from verbenawick.calls._entry_server import EntryServer
from verbenawick.links._call_links import CallLinks
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, Link, LinkServer
from verbenawick.links._messages import Message
from verbenawick.mesh._beacons import Beacons
from verbenawick.mesh._configuration_relay import RelayState
from verbenawick.mesh._crash_guard import CrashGuard
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._entry import MeshEntry
from verbenawick.mesh._followers import ConfigurationFollower, RecordFollower
from verbenawick.mesh._gateway import MeshGateway, UpstreamProtocol
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._messages import CrashNotice, ForwardedCall, GatewayNotice
from verbenawick.mesh._metrics_page import MetricsPage
from verbenawick.mesh._model import (
    MeshConfiguration,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._node_events import (
    ConfigurationInForce,
    MeshNodeStarted,
    MeshNodeStopped,
    MeshNodeStopping,
    PeerLost,
    SettingsRejected,
    SettingsReloaded,
)
from verbenawick.mesh._peer_connectors import PeerConnectors
from verbenawick.mesh._publisher import RecordPublisher
from verbenawick.mesh._record_remover import RecordRemover
from verbenawick.mesh._retry_budget import RetryBudget
from verbenawick.mesh._settings import MeshSettings
from verbenawick.mesh._state_store import RecordChange, StateStore
from verbenawick.mesh._upstream_channels import UpstreamChannels
from verbenawick.mesh._upstream_prober import UpstreamProber
from verbenawick.runtime._clock import BootClock
from verbenawick.runtime._events import emit
from verbenawick.runtime._metrics import MetricSet

INCARNATION_BITS = 48
# A node on the same site answers in milliseconds; a VM that is off never does.
DIAL_TIMEOUT_S = 0.5
SILENCE_CHECK_INTERVAL_S = 0.15
# Links that owe answers are watched closely; idle ones need few signs of life.
IDLE_PING_INTERVAL_S = 15.0
# Longest wait for the last write to the store at a stop, seconds.
LAST_WRITE_S = 0.5
# Left of the grace for closing sockets before the process is killed, seconds.
STOP_MARGIN_S = 0.5
# Other nodes learn within this time that the node takes no more calls, seconds.
HANDOFF_S = 0.1
# The platform asks for readiness once a second and sends no new callers after two
# refusals; until then callers are served.
LEAVING_S = 2.3


class MeshNode:
    """One node with its entry and its gateway.

    Parameters
    ----------
    open_store : callable
        Returns a `StateStore` with a connection of its own.
    decode : callable
        Returns the configuration in a document of the store at a revision.
    protocol : UpstreamProtocol
        How upstreams are spoken to.
    """

    def __init__(
        self,
        settings: MeshSettings,
        *,
        open_store: Callable[[], StateStore],
        protocol: UpstreamProtocol,
        decode: Callable[[bytes, int], MeshConfiguration | None],
    ):
        self.settings = settings
        self.caller_service = settings.upstream.service
        self.clock = BootClock()
        # Draws among gateways and waits need no system call each.
        self.random = Random(SystemRandom().getrandbits(64))
        self.metrics = MetricSet()
        self.metrics_page = MetricsPage(self.metrics)
        self.is_stopping = False
        self.is_handing_off = False
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
        self.upstream = LocalUpstream(
            address=settings.upstream.address,
            service=settings.upstream.service,
            on_change=self._on_upstream_change,
        )
        self.links = CallLinks(
            self.identity,
            clock=self.clock,
            metrics=self.metrics,
            dial_timeout_s=DIAL_TIMEOUT_S,
            ping_interval_s=IDLE_PING_INTERVAL_S,
            on_link_open=self._on_link_open,
            # Bytes inside a data centre cost nothing.
            is_compressed_to=lambda m: m.data_centre != settings.data_centre,
        )
        guard = CrashGuard()
        self._guard = guard
        self.channels = UpstreamChannels(
            settings.upstream.address,
            max_channels=64,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.gateway = MeshGateway(
            node_id=settings.node_id,
            upstream=self.upstream,
            channels=self.channels,
            protocol=protocol,
            guard=guard,
            clock=self.clock,
            metrics=self.metrics,
            on_crash=self._on_crash,
            observe=self.metrics_page.observe_upstream,
        )
        self.entry = MeshEntry(
            node_id=settings.node_id,
            endpoints=self.endpoints,
            links=self.links,
            gateway=self.gateway,
            budget=RetryBudget(
                ratio=settings.retry_budget.ratio,
                slack=settings.retry_budget.slack,
                window_s=settings.retry_budget.window_s,
                node_count=lambda: len(self.endpoints),
            ),
            guard=guard,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
        )
        self.links.register_handler(
            ForwardedCall,
            self.gateway.on_call,
            is_cancellable=self.gateway.is_cancellable,
        )
        self.links.register_notice(GatewayNotice, self._on_gateway_notice)
        self.links.register_notice(CrashNotice, self._on_crash_notice)
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
            wanted=self._wanted_record,
            random=self.random,
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
            announce=self._beacons.send_when_due,
        )
        self._beacons.serve(self._configuration_follower)
        self._record_follower = RecordFollower(
            open_store(), random=self.random, apply=self._on_records
        )
        self._connectors = PeerConnectors(self.links, random=self.random)
        self._record_remover = RecordRemover(
            open_store=open_store,
            endpoints=self.endpoints,
            links=self.links,
            clock=self.clock,
            is_relay=self._beacons.is_relay,
        )
        self._prober = UpstreamProber(
            self.upstream,
            channels=self.channels,
            protocol=protocol,
            clock=self.clock,
            configuration=lambda: self.entry.configuration,
        )
        self._tasks = []
        self._put_own_endpoint()

    @property
    def is_ready(self) -> bool:
        """Return whether callers should send work here."""
        return (
            not self.is_stopping
            and self.entry.configuration is not None
            and self._record_follower.has_read
        )

    def start(self) -> None:
        """Open the link listener and start all tasks."""
        self._link_server.listen()
        self._tasks = [
            eventlet.spawn(task)
            for task in (
                self._link_server.run,
                self._configuration_follower.run,
                self._record_follower.run,
                self._publisher.run,
                self._watch_silence,
                self._beacons.run,
                self._record_remover.run,
            )
        ]
        settings = self.settings
        self._prober.start_when_unknown()
        emit(
            MeshNodeStarted(
                self.identity.incarnation,
                settings.upstream.service,
                settings.data_centre,
                settings.region,
            )
        )

    def stop(
        self,
        callers: EntryServer,
        *,
        calls_in_flight: int,
        leaving_s: float = LEAVING_S,
    ) -> None:
        """Finish all calls and close everything within the grace of the settings.

        The node goes on running calls for others as long as it can: its upstream has
        no other way to work.

        Parameters
        ----------
        callers : EntryServer
            Listener of the callers on this VM.
        calls_in_flight : int
            Their calls at the moment, for the log.
        leaving_s : float
            Time during which new callers are still served.
        """
        grace_s = self.settings.stop_grace_s - STOP_MARGIN_S
        deadline = self.clock.now() + grace_s
        # Not ready from here on; callers and other nodes are still served.
        self.is_stopping = True
        emit(MeshNodeStopping(calls_in_flight, self.gateway.in_flight))
        eventlet.spawn_after(max(leaving_s - HANDOFF_S, 0.0), self._hand_off)
        ended = callers.stop(grace_s=leaving_s, timeout_s=grace_s - leaving_s)
        self._finish(deadline=deadline, all_calls_ended=ended)

    def _hand_off(self) -> None:
        """Take no more calls of other nodes; the upstream is idle from then on."""
        self.is_handing_off = True
        self._notify_state()
        eventlet.sleep(HANDOFF_S)
        self.gateway.stop_accepting()

    def _finish(self, *, deadline: float, all_calls_ended: bool) -> None:
        """Wait for the calls of other nodes, bring the record up to date, close."""
        self.gateway.wait_idle(timeout_s=max(deadline - self.clock.now(), 0.0))
        left_s = max(min(deadline - self.clock.now(), LAST_WRITE_S), 0.0)
        if self.upstream.state is UpstreamState.GONE:
            self._publisher.flush(timeout_s=left_s)
        self.close()
        all_calls_ended = all_calls_ended and not self.gateway.in_flight
        emit(MeshNodeStopped(all_calls_ended))

    def close(self) -> None:
        """End all tasks and close all links."""
        self._link_server.stop()
        for task in self._tasks:
            task.kill()
        self._prober.close()
        self._connectors.close()
        self.links.close()

    def reload(self, settings: MeshSettings, *, cause: str) -> None:
        """Take over changed settings that need no restart."""
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
        """Go on with the settings at hand, since the changed ones are invalid."""
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
        self._beacons.send_when_due(with_document=True)
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
            self._on_record(node_id, record)

    def _on_record(self, node_id: str, record: UpstreamRecord | None) -> None:
        if node_id == self.settings.node_id:
            self._publisher.on_stored(record)
            return
        if record is None:
            self.endpoints.remove(node_id)
            self._connectors.forget(node_id)
            return
        known = self.endpoints.get(node_id)
        has_moved = known is not None and known.peer_address != record.peer_address
        # A node with an open link says itself how its upstream is.
        if (
            known is None
            or has_moved
            or not self.links.is_connected(record.peer_address)
        ):
            self.endpoints.put_record(record)
        self._connectors.keep(record)

    def _watch_silence(self) -> None:
        while True:
            eventlet.sleep(SILENCE_CHECK_INTERVAL_S)
            for peer in self.links.check_silence(may_abandon=_may_abandon):
                emit(PeerLost(peer.node_id, "no sign of life"))

    def _on_link_open(self, link: Link) -> None:
        if not link.is_dialled:
            self.links.notify(link, self._notice())

    def _on_gateway_notice(self, peer: NodeIdentity, notice: GatewayNotice) -> None:
        self.endpoints.put_state(
            peer.node_id,
            service=notice.service,
            upstream_id=notice.upstream_id,
            state=notice.state,
        )

    def _on_crash_notice(self, peer: NodeIdentity, notice: CrashNotice) -> None:
        self._guard.record_crash(
            notice.upstream_id, notice.fingerprints, self.clock.now()
        )

    def _on_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        notice = CrashNotice(self.upstream.upstream_id, fingerprints)
        self._guard.record_crash(notice.upstream_id, fingerprints, self.clock.now())
        self.links.notify_all(notice)

    def _on_upstream_change(self) -> None:
        self.gateway.on_upstream_change()
        self._prober.start_when_unknown()
        self._put_own_endpoint()
        self._publisher.wake()
        self._notify_state()

    def _notify_state(self) -> None:
        self.links.notify_all(self._notice())

    def _notice(self) -> GatewayNotice:
        state = UpstreamState.DRAINING if self.is_handing_off else self.upstream.state
        return GatewayNotice(
            self.upstream.service,
            self.upstream.upstream_id,
            state,
            self.upstream.slots,
        )

    def _put_own_endpoint(self) -> None:
        settings = self.settings
        self.endpoints.put_record(
            UpstreamRecord(
                settings.node_id,
                self.upstream.service,
                settings.data_centre,
                settings.region,
                settings.peer_address,
                self.upstream.upstream_id,
                self.upstream.state,
                self.upstream.slots,
            )
        )

    def _wanted_record(self) -> UpstreamRecord | None:
        upstream = self.upstream
        if upstream.state is UpstreamState.GONE:
            return None
        if upstream.state is UpstreamState.UNKNOWN:
            return None
        settings = self.settings
        return UpstreamRecord(
            settings.node_id,
            upstream.service,
            settings.data_centre,
            settings.region,
            settings.peer_address,
            upstream.upstream_id,
            upstream.state,
            upstream.slots,
        )


def _may_abandon(message: Message) -> bool:
    return isinstance(message, ForwardedCall) and message.is_idempotent
