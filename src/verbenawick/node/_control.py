"""Control task: runs the decision components of one node.

The control task is one green thread with a bounded mailbox. Links and store workers
queue their events in the mailbox. While it is full they block, so that TCP flow control
slows down the senders. All calls of the components are made in this green thread, one
at a time.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import eventlet
from eventlet.queue import Empty, LightQueue

from verbenawick.errors import LinkClosedError, LinkOverflowError
from verbenawick.links._component import (
    Component,
    LinkPurpose,
    NodeIdentity,
    StoreObject,
)
from verbenawick.links._links import Link, dial_link
from verbenawick.links._members import MemberView
from verbenawick.links._messages import Message
from verbenawick.membership._membership_messages import RelayAnswer, RelayQuery
from verbenawick.membership._topology import Topology
from verbenawick.node._control_links import ControlLinks
from verbenawick.runtime._clock import Clock, MonotonicClock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.settings._settings import NodeSettings
from verbenawick.store._lease import Lease
from verbenawick.store._store_workers import StoreAccess, StoreWatch, StoreWorkers

TICK_INTERVAL_S = 0.1
MAX_MAILBOX_ITEMS = 4096
# Number of mailbox items handled before other green threads run again.
MAX_BATCH_ITEMS = 64
# A longer delay of a tick means that this process was paused.
PAUSE_THRESHOLD_S = 1.0

LINKS = register_metric(
    "control.links", MetricKind.GAUGE, "links", "Open control links"
)
PAUSES = register_metric(
    "control.pauses", MetricKind.COUNTER, "pauses", "Gaps of this process's own ticks"
)


@register_event(320, level="ERROR")
@dataclass(frozen=True, slots=True)
class ComponentFailed(Event):
    """A component raised an exception; the control task continues."""

    component: str
    call: str
    reason: str


@register_event(321, level="WARNING")
@dataclass(frozen=True, slots=True)
class PauseNoticed(Event):
    """The process was paused for a while; deadlines were extended."""

    gap_s: float


class ControlTask:
    """Hosts the components of one node.

    A component may have a method ``forget_pause(gap_s)`` that extends its deadlines. It
    is called after this process was paused.

    Parameters
    ----------
    settings : NodeSettings
        The neighbours, the timing and the artificial link delays are used.
    store : StoreAccess
        Blocking store client.
    dial : callable
        Opens a link; tests replace it.

    Attributes
    ----------
    peers : ControlLinks
        `PeerPort` of the components and `LinkHandler` of `CONTROL_CHANNEL`.
    store : StoreWorkers
        `StorePort` of the components; refuses writes without the authority of a lease.
    roles : Topology
        `RoleView` of the components.
    record : DecisionRecord
        Recent decisions, for the `/explain` page.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: NodeIdentity,
        *,
        store: StoreAccess,
        clock: Clock | None = None,
        random: Random | None = None,
        metrics: MetricSet | None = None,
        record: DecisionRecord | None = None,
        dial: Callable[..., Link] = dial_link,
    ):
        self.identity = identity
        self.clock = clock or MonotonicClock()
        self.random = random or Random()
        self.metrics = metrics or MetricSet()
        self.record = record or DecisionRecord(self.clock)
        self._timing = settings.timing
        self._components: list[Component] = []
        self._mailbox: LightQueue = LightQueue(MAX_MAILBOX_ITEMS)
        self._local_queue: deque[Callable[[], None]] = deque()
        self._is_stopped = False
        self._last_tick_at: float | None = None
        self.peers = ControlLinks(
            settings,
            identity,
            events=self,
            submit=self.submit,
            submit_local=self._local_queue.append,
            dial=dial,
        )
        lease_store = StoreWorkers(store, submit=self.submit, metrics=self.metrics)
        self.roles = Topology(
            identity,
            seeds=tuple(settings.neighbours),
            clock=self.clock,
            random=self.random,
            dialler=self.peers,
            peers=self.peers,
            data_centre_lease=self._lease(
                f"leases/dc/{identity.data_centre}", lease_store
            ),
            region_lease=self._lease(f"leases/region/{identity.region}", lease_store),
            record=self.record,
        )
        self.store = StoreWorkers(
            store,
            submit=self.submit,
            metrics=self.metrics,
            may_write=self.roles.has_authority,
        )
        self._watch = StoreWatch(
            store,
            should_run=self._should_watch,
            deliver=lambda obj: self.submit(lambda: self._deliver_object(obj)),
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
        )

    def _lease(self, key: str, store: StoreWorkers) -> Lease:
        return Lease(
            key,
            self.identity,
            clock=self.clock,
            store=store,
            timing=self._timing,
            random=self.random,
            record=self.record,
        )

    def add(self, component: Component) -> None:
        """Add a component; must be called before `run`."""
        self._components.append(component)

    def set_members(self, members: MemberView) -> None:
        """Set the member table, used for ranks and for the selection of neighbours."""
        self.roles.members = members

    def submit(self, function: Callable[[], None]) -> None:
        """Queue `function` for the control task; block while the mailbox is full.

        Code that already runs in the control task calls the components directly.
        """
        self._mailbox.put(function)

    def run(self) -> None:
        """Process the mailbox and ticks until `stop` is called."""
        next_tick_at = self.clock.now()
        while not self._is_stopped:
            self._run_batch(next_tick_at)
            now = self.clock.now()
            if now >= next_tick_at:
                self.tick()
                next_tick_at = max(next_tick_at + TICK_INTERVAL_S, now)
            eventlet.sleep(0)
        self.peers.close_all()

    def process_mailbox(self) -> None:
        """Process the items that are queued in the mailbox, without blocking."""
        while (item := self._next_item(self.clock.now())) is not None:
            self._call_safely(self, "mailbox", item)

    def stop(self) -> None:
        """Release the leases, close all links and end `run`."""
        self.submit(self._shut_down)

    def _shut_down(self) -> None:
        self.roles.stop()
        self._is_stopped = True

    def tick(self) -> None:
        """Run the periodic work of the topology and of each component once."""
        now = self.clock.now()
        if self._last_tick_at is not None:
            gap_s = now - self._last_tick_at - TICK_INTERVAL_S
            if gap_s > PAUSE_THRESHOLD_S:
                self._handle_pause(gap_s)
        self._last_tick_at = now
        self._call_safely(self.roles, "on_tick", self.roles.on_tick)
        for component in self._components:
            self._call_safely(component, "on_tick", component.on_tick)
        self._watch.on_tick()
        self.metrics.gauge(LINKS, self.peers.link_count())

    # LinkEvents

    def on_peer_message(self, peer_id: str, message: Message) -> None:
        """Dispatch a message to the topology and the components."""
        if self.roles.on_message(peer_id, message):
            self.peers.announce(peer_id, LinkPurpose.RELAY)
        if isinstance(message, RelayAnswer | RelayQuery):
            return
        for component in self._components:
            self._call_safely(
                component, "on_message", component.on_message, peer_id, message
            )

    def on_attach(self, link: Link, purpose: LinkPurpose) -> LinkPurpose | None:
        """Accept neighbours always, and subscribers while this node is a relay."""
        if purpose is LinkPurpose.NEIGHBOUR:
            return LinkPurpose.NEIGHBOUR
        try:
            link.post(self.roles.answer())
        except (LinkClosedError, LinkOverflowError):
            return None
        return LinkPurpose.SUBSCRIBER if self.roles.is_data_centre_relay() else None

    def on_dialled(
        self, address: str, peer: NodeIdentity, purpose: LinkPurpose
    ) -> None:
        """Notify the topology of a link that this node opened."""
        self.roles.on_dialled(address, peer, purpose)

    def on_dial_failed(self, address: str, purpose: LinkPurpose) -> None:
        """Notify the topology of a link that could not be opened."""
        self.roles.on_dial_failed(address, purpose)

    def on_dialled_closed(self, node_id: str, purpose: LinkPurpose) -> None:
        """Notify the topology of the end of a link that this node opened."""
        self.roles.on_closed(node_id, purpose)

    def on_peer_link(
        self, node_id: str, purpose: LinkPurpose, *, is_open: bool
    ) -> None:
        """Notify the components of the first or last link of a purpose to a peer."""
        for component in self._components:
            self._call_safely(
                component,
                "on_link",
                component.on_link,
                node_id,
                purpose,
                is_open=is_open,
            )

    # Methods that run in the control task

    def _run_batch(self, next_tick_at: float) -> None:
        for _ in range(MAX_BATCH_ITEMS):
            item = self._next_item(next_tick_at)
            if item is None:
                return
            self._call_safely(self, "mailbox", item)

    def _next_item(self, next_tick_at: float) -> Callable[[], None] | None:
        if self._local_queue:
            return self._local_queue.popleft()
        wait_s = next_tick_at - self.clock.now()
        try:
            if wait_s > 0:
                return self._mailbox.get(timeout=wait_s)
            return self._mailbox.get_nowait()
        except Empty:
            return None

    def _call_safely(
        self, component: object, call: str, function, *args, **kwargs
    ) -> None:
        try:
            function(*args, **kwargs)
        except Exception as error:
            # A failure of one component must not stop the control task for all others.
            emit(ComponentFailed(type(component).__name__, call, repr(error)))

    def _handle_pause(self, gap_s: float) -> None:
        self.metrics.count(PAUSES)
        self.record.add(
            PauseNoticed(round(gap_s, 3)),
            cause="the delay between two ticks was too long",
        )
        self.roles.forget_pause(gap_s)
        for component in self._components:
            forget = getattr(component, "forget_pause", None)
            if forget is not None:
                self._call_safely(component, "forget_pause", forget, gap_s)

    def _deliver_object(self, obj: StoreObject) -> None:
        if not self.roles.is_region_relay():
            return
        for component in self._components:
            self._call_safely(component, "on_object", component.on_object, obj)

    def _should_watch(self) -> bool:
        return self.roles.is_region_relay() and not self._is_stopped
