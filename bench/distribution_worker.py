"""Process that runs nodes with membership, distribution and status, without calls.

`bench.distribution` starts it as ``python -m bench.distribution_worker``. It takes the
commands of `bench.mesh_worker`.
"""

import bench.mesh_worker as mesh_worker  # noqa: I001 - patches sockets first

from time import monotonic

import eventlet

from verbenawick.runtime._clock import MonotonicClock
from verbenawick.links._component import NodeIdentity
from verbenawick.configuration._config_codec import ConfigCodec
from verbenawick.configuration._config_state import ConfigState, VersionRef
from verbenawick.node._control import ControlTask
from verbenawick.configuration._distribution import ConfigDistribution
from verbenawick.configuration._lifecycle import Lifecycle
from verbenawick.links._links import CONTROL_CHANNEL, LinkServer
from verbenawick.membership._membership import Membership
from verbenawick.runtime._metrics import MetricSet
from verbenawick.settings._settings import NodeSettings
from verbenawick.configuration._status import StatusAggregator
from verbenawick.store._store import StoreClient, Traffic
from verbenawick.errors import VerbenawickError

HEAD_KEY = "config/head"


def _bytes_by_part(traffic: Traffic) -> dict[str, int]:
    return {f"{k}/{part}": n for (k, part), n in traffic.bytes_by_part.items()}


class TimedState(ConfigState):
    """Configuration state that records when each version was put in force."""

    def __init__(self, codec):
        super().__init__(codec)
        self.in_force_at: dict[int, float] = {}

    def commit(self, ref: VersionRef, *, cause: str = "") -> bool:
        """Put a version in force and record the time."""
        is_in_force = super().commit(ref, cause=cause)
        if is_in_force:
            # All processes of a machine share this clock, so that times are comparable.
            self.in_force_at.setdefault(ref.version, monotonic())
        return is_in_force


class DistributionNode(mesh_worker.TreeNode):
    """Node without the call path, with added link delays."""

    def start(self) -> None:
        """Listen and start the green threads."""
        settings = self.settings
        self.identity = NodeIdentity(
            settings.node_id,
            self.random.getrandbits(48),
            settings.upstream.service,
            settings.data_centre,
            settings.region,
            settings.peer_address,
        )
        self.metrics = MetricSet()
        own_ip = settings.peer_address.rpartition(":")[0]
        self.client = StoreClient(settings.store.address, source_ip=own_ip)
        self.store = mesh_worker.DisconnectableStore(self.client)
        clock = MonotonicClock()
        self.task = ControlTask(
            settings,
            self.identity,
            store=self.store,
            clock=clock,
            random=self.random,
            metrics=self.metrics,
        )
        ports = {
            "clock": clock,
            "peers": self.task.peers,
            "store": self.task.store,
            "roles": self.task.roles,
        }
        self.membership = Membership(
            self.identity,
            slots=settings.upstream.slots,
            timing=settings.timing,
            record=self.task.record,
            **ports,
        )
        members = self.membership.table
        codec = ConfigCodec()
        self.state = TimedState(codec)
        distribution = ConfigDistribution(
            identity=self.identity,
            members=members,
            state=self.state,
            feed_codec=codec,
            lifecycle=Lifecycle(),
            random=self.random,
            **ports,
        )
        status = StatusAggregator(
            identity=self.identity,
            members=members,
            distribution=distribution,
            **ports,
        )
        for component in (self.membership, distribution, status):
            self.task.add(component)
        self.task.set_members(members)
        self.server = LinkServer(
            self.identity,
            {CONTROL_CHANNEL: self.task.peers},
            delay_for=self.task.peers.delay_for,
        )
        self.server.listen()
        self.is_running = True
        self._threads = [
            eventlet.spawn(self.server.run),
            eventlet.spawn(self.task.run),
            eventlet.spawn(self._change_load),
        ]

    def describe(self) -> dict:
        """Return the state and counters that the benchmark reads."""
        return {
            **super().describe(),
            "region": self.settings.region,
            "store_bytes_by_part": _bytes_by_part(self.client.traffic),
            "in_force_at": self.state.in_force_at,
            "version": self.state.in_force_ref.version,
        }


class WatchingNode:
    """Baseline node that watches the head in the store and applies its deltas."""

    def __init__(self, settings: NodeSettings, *, seed: int):
        self.settings = settings
        self.is_running = False
        self._codec = ConfigCodec()
        self.state = TimedState(self._codec)
        self.state.raise_floor(0)

    def start(self) -> None:
        """Start to watch the head."""
        own_ip = self.settings.peer_address.rpartition(":")[0]
        self.client = StoreClient(self.settings.store.address, source_ip=own_ip)
        self.is_running = True
        self._thread = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Stop the node."""
        self.is_running = False
        self._thread.kill()

    def _watch(self) -> None:
        after = 0
        while True:
            try:
                listing = self.client.watch((HEAD_KEY,), after=after, wait_s=30.0)
                for obj in listing.objects:
                    self._apply(obj.value)
                after = listing.revision
            except VerbenawickError:
                eventlet.sleep(0.1)

    def _apply(self, value: bytes) -> None:
        head = self._codec.parse_head(value)
        if head.delta and head.base == self.state.held_ref:
            self.state.stage_deltas(head.ref, head.base, [head.delta])
        else:
            snapshot = self.client.get(head.snapshot_key).value
            self.state.stage_snapshot(head.ref, snapshot)
        self.state.commit(head.ref)

    def describe(self) -> dict:
        """Return the state and counters that the benchmark reads."""
        traffic = self.client.traffic
        return {
            "node": self.settings.node_id,
            "region": self.settings.region,
            "members": [],
            "link_bytes": 0,
            "store_bytes": traffic.bytes_sent + traffic.bytes_received,
            "store_bytes_by_part": _bytes_by_part(traffic),
            "in_force_at": self.state.in_force_at,
            "version": self.state.in_force_ref.version,
        }


mesh_worker.NODE_CLASSES.update(distribution=DistributionNode, watching=WatchingNode)

if __name__ == "__main__":
    mesh_worker.main()
