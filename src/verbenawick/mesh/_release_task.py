"""Tasks of a node for releases: conducting them as the relay, reporting, following.

The relay of the configuration conducts the releases. Two relays at once write the
status of an order under the same condition, so that one of them reads it anew.
"""

from collections.abc import Callable
from dataclasses import astuple, dataclass
from random import Random

import eventlet

from verbenawick.errors import (
    AnswerLostError,
    LinkClosedError,
    StoreHistoryGoneError,
    VerbenawickError,
)
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import next_call_id
from verbenawick.links._component import NodeIdentity
from verbenawick.mesh._beacons import Beacons
from verbenawick.mesh._configuration_relay import RelayState
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._model import UpstreamState
from verbenawick.mesh._node_events import PeerLost
from verbenawick.mesh._state_store import OrderChange, StateStore
from verbenawick.mesh._store_era import era_of
from verbenawick.releases._judgement import RouteTally, UpstreamTally
from verbenawick.releases._lead import ReleaseLead
from verbenawick.releases._messages import (
    ReleaseBeacon,
    ReleaseReceipt,
    ReleaseReport,
)
from verbenawick.releases._model import ReleaseOrder, ReleaseStatus, ReleaseView
from verbenawick.releases._shares import VersionShares
from verbenawick.releases._tally import ReleaseTally
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# A watch on a connection that has gone silent is noticed after this and a time-out.
WATCH_WAIT_S = 3.0
RELAY_CHECK_INTERVAL_S = 0.3
# A node that starts is the relay until it has links. With this delay the nodes of a
# common start make no calls to the store for it.
RELAY_SETTLED_S = 1.5
RETRY_DELAY_S = 0.5
# A store that discards its history may do so again at once.
HISTORY_DELAY_S = 1.0
STEP_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 0.4
BEACON_INTERVAL_S = 0.5

SHARE = register_metric(
    "mesh.release_share",
    MetricKind.GAUGE,
    "fraction",
    "Share of the calls that the target version of the last changed release gets",
)


@register_event(780)
@dataclass(frozen=True, slots=True)
class ReleaseChanged(Event):
    """The state or the share of a release changed, as this node knows it."""

    service: str
    target_version: str
    state: str
    share: float
    is_final: bool
    revision: int


@register_event(781)
@dataclass(frozen=True, slots=True)
class ReleaseStored(Event):
    """The node has stored the status of a release that it conducts."""

    service: str
    target_version: str
    state: str
    share: float
    remaining_s: float
    reason: str


@register_event(782, level="WARNING")
@dataclass(frozen=True, slots=True)
class ReleaseNotStored(Event):
    """The status of a release could not be stored and will be decided anew."""

    service: str
    error: str


class ReleaseTask:
    """Follows the releases, and conducts them while this node is the relay.

    Parameters
    ----------
    in_progress : callable
        Returns the number of calls at the own gateway.
    """

    def __init__(
        self,
        *,
        open_store: Callable[[], StateStore],
        max_exposure: float,
        node_id: str,
        region: str,
        shares: VersionShares,
        tally: ReleaseTally,
        upstream: LocalUpstream,
        in_progress: Callable[[], int],
        links: CallLinks,
        endpoints: Endpoints,
        beacons: Beacons,
        relay: RelayState,
        clock: Clock,
        random: Random,
        metrics: MetricSet,
    ):
        self._watch_store = open_store()
        self._write_store = open_store()
        self._node_id = node_id
        self._region = region
        self._shares = shares
        self._tally = tally
        self._upstream = upstream
        self._in_progress = in_progress
        self._links = links
        self._endpoints = endpoints
        self._beacons = beacons
        self._relay = relay
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._lead = ReleaseLead(
            max_exposure=max_exposure,
            ready_versions=self._ready_versions,
            is_followed=lambda s: shares.active(s, clock.now()) is not None,
            is_rolled_back=lambda *order: shares.roll_back_of(*order) is not None,
        )
        # Store revision that the watch continues from, 0 if all orders have to be read.
        self._revision = 0
        # Whether the orders were read since this node became the relay.
        self._is_conducting = False
        # Set when a write failed: the order may have changed or the write taken effect.
        self._must_read = False
        # Era of the store in which the orders were read.
        self._era = 0
        self._relay_since: float | None = None
        self._next_beacon_at = float("-inf")
        links.register_notice(ReleaseBeacon, self._on_beacon)
        links.register_handler(ReleaseReport, self._on_report)

    def watch_orders(self) -> None:
        """Watch the orders while this node is the relay, until the thread is killed."""
        while True:
            if not self._is_settled_relay():
                self.stop_conducting()
                eventlet.sleep(RELAY_CHECK_INTERVAL_S)
                continue
            try:
                self.watch_once()
            except StoreHistoryGoneError:
                self._revision = 0
                eventlet.sleep(HISTORY_DELAY_S)
            except VerbenawickError:
                # Logged by the followers of the configuration and of the records.
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self._random.random()))

    def watch_once(self) -> None:
        """Read the orders, or wait for a change of them."""
        if self._revision and not self._must_read:
            change = self._watch_store.watch_orders(self._revision, wait_s=WATCH_WAIT_S)
        else:
            self._must_read = False
            change = self._watch_store.read_orders()
        self._apply(change)

    def stop_conducting(self) -> None:
        """Forget the releases that this node conducted, since another one does."""
        self._revision = 0
        self._is_conducting = False
        self._lead.clear()

    def conduct(self) -> None:
        """Advance the releases as the relay until the green thread is killed."""
        while True:
            eventlet.sleep(STEP_INTERVAL_S)
            self.advance()

    def advance(self) -> None:
        """Decide the next steps of the releases as the relay, and announce them."""
        if self._is_conducting and self._beacons.is_relay():
            now = self._clock.now()
            self._lead.advance(now)
            self._announce(now)

    def store_statuses(self) -> None:
        """Store the progress of the releases until the green thread is killed."""
        while True:
            eventlet.sleep(STEP_INTERVAL_S)
            self.store_progress()

    def store_progress(self) -> None:
        """Store as the relay what the store lacks of the progress."""
        if self._is_conducting and self._beacons.is_relay():
            for order, status in self._lead.unstored(self._clock.now()):
                self._store(order, status)

    def report(self) -> None:
        """Report on the own upstream until the green thread is killed."""
        while True:
            eventlet.sleep(REPORT_INTERVAL_S * (0.75 + 0.5 * self._random.random()))
            view = self._shares.active(self._upstream.service, self._clock.now())
            if view is None:
                self._tally.follow()
                continue
            self._follow(view)
            self._send_report(view)

    def _is_settled_relay(self) -> bool:
        """Return whether this node has been the relay for `RELAY_SETTLED_S`."""
        if not self._beacons.is_relay():
            self._relay_since = None
            return False
        now = self._clock.now()
        if self._relay_since is None:
            self._relay_since = now
        return now >= self._relay_since + RELAY_SETTLED_S

    def _apply(self, change: OrderChange) -> None:
        now = self._clock.now()
        orders = change.orders_by_name
        is_older_copy = era_of(change.revision) > self._era > 0
        self._revision = change.revision
        self._era = era_of(change.revision)
        if change.is_complete:
            self._is_conducting = True
            self._lead.replace_orders(
                list(orders.values()), now, is_older_copy=is_older_copy
            )
            return
        for name, order in orders.items():
            if order is None:
                self._lead.remove_order(name)
            else:
                self._lead.put_order(order, now)

    def _store(self, order: ReleaseOrder, status: ReleaseStatus) -> None:
        try:
            revision = self._write_store.write_order_status(order, status)
        except VerbenawickError as error:
            emit(ReleaseNotStored(order.service, str(error)))
            self._must_read = True
            eventlet.sleep(RETRY_DELAY_S)
            return
        now = self._clock.now()
        self._lead.on_stored(order, status, revision, now)
        emit(
            ReleaseStored(
                order.service,
                status.target_version,
                status.state,
                status.share,
                round(status.remaining_s, 3),
                status.reason,
            )
        )
        self._announce(now)

    def _announce(self, now: float) -> None:
        """Send the views that have changed, and all of them from time to time."""
        is_due = now >= self._next_beacon_at
        if is_due:
            self._next_beacon_at = now + BEACON_INTERVAL_S
        for view in self._lead.views(now):
            if self._put(view) or is_due:
                self._beacons.broadcast(ReleaseBeacon(*astuple(view)))

    def _put(self, view: ReleaseView) -> bool:
        if not self._shares.put(view, self._clock.now()):
            return False
        self._metrics.gauge(SHARE, view.share)
        emit(
            ReleaseChanged(
                view.service,
                view.target_version,
                view.state,
                round(view.share, 3),
                view.is_final,
                view.revision,
            )
        )
        return True

    def _on_beacon(self, peer: NodeIdentity, beacon: ReleaseBeacon) -> None:
        self._beacons.forward(peer, beacon)
        view = ReleaseView(*astuple(beacon))
        self._put(view)
        roll_back = self._shares.roll_back_against(view, self._clock.now())
        if roll_back is not None:
            # The leader may not have been told of it.
            self._links.notify_peer(peer, ReleaseBeacon(*astuple(roll_back)))
        if view == self._shares.active(self._upstream.service, self._clock.now()):
            self._follow(view)

    def _follow(self, view: ReleaseView) -> None:
        self._tally.follow(view.service, view.target_version, self._upstream.process_id)

    def _send_report(self, view: ReleaseView) -> None:
        report = ReleaseReport(
            next_call_id(),
            view.service,
            view.target_version,
            self._upstream.version,
            self._in_progress(),
            view.is_final,
            tuple(
                (route, tally.calls, tally.failures, tally.busy_s)
                for route, tally in self._tally.by_route.items()
            ),
        )
        if self._beacons.is_relay():
            self._put_report(self._node_id, self._region, report)
            return
        endpoint = self._endpoints.get(self._relay.relay_id)
        if endpoint is None:
            return
        deadline = self._links.now() + REPORT_TIMEOUT_S
        try:
            self._links.request(endpoint.member, report, deadline=deadline)
        except (LinkClosedError, AnswerLostError) as error:
            emit(PeerLost(endpoint.node_id, f"release report failed: {error}"))

    def _on_report(
        self, peer: NodeIdentity, report: ReleaseReport, sent_at: float
    ) -> ReleaseReceipt:
        self._put_report(peer.node_id, peer.region, report)
        return ReleaseReceipt(report.call_id)

    def _put_report(self, node_id: str, region: str, report: ReleaseReport) -> None:
        tally = UpstreamTally(
            node_id,
            report.version,
            region,
            report.in_progress,
            {route: RouteTally(*counts) for route, *counts in report.routes},
            report.is_final,
        )
        self._lead.put_report(
            report.service, report.target_version, tally, self._clock.now()
        )

    def _ready_versions(self, service: str) -> dict[str, str]:
        return {
            endpoint.node_id: endpoint.version
            for endpoint in self._endpoints.of_service(service)
            if endpoint.state is UpstreamState.READY
        }
