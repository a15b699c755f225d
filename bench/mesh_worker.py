"""Process that runs control tasks with membership over real sockets.

Benchmarks and tests start it as ``python -m bench.mesh_worker``. It reads one JSON
object per line from standard input, first the plan and then commands, and answers each
with one line.
"""

from functools import partial

import eventlet

eventlet.monkey_patch()

import json
import sys
from random import Random
from time import monotonic

import psutil
from eventlet.green import os as green_os
from loguru import logger

from verbenawick.errors import StoreUnavailableError, VerbenawickError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CONTROL_CHANNEL, LinkServer
from verbenawick.membership._membership import Membership
from verbenawick.node._control import ControlTask
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet
from verbenawick.settings._settings import NodeSettings
from verbenawick.store._store import StoreClient
from verbenawick.store._store_workers import STORE_CALLS

LOAD_INTERVAL_S = 1.0
# Share of nodes whose load changes randomly each second, so that loads have to be sent.
LOAD_CHANGE_SHARE = 0.2
BASELINE_INTERVAL_S = 5.0
# Three missed writes.
BASELINE_TIMEOUT_S = 15.0
BASELINE_PREFIX = "baseline/"
BASELINE_VALUE_BYTES = 90


class DisconnectableStore:
    """Store client that a command can disconnect from the store."""

    def __init__(self, client: StoreClient):
        self.client = client
        self.is_cut = False

    def _check_connected(self) -> None:
        if self.is_cut:
            raise StoreUnavailableError("disconnected by the benchmark", step="bench")

    def get(self, key):
        """Read one object."""
        self._check_connected()
        return self.client.get(key)

    def update(self, key, value, *, expected_version):
        """Write one object."""
        self._check_connected()
        return self.client.update(key, value, expected_version=expected_version)

    def list(self, prefix):
        """Read all objects below a prefix."""
        self._check_connected()
        return self.client.list(prefix)

    def watch(self, prefixes, *, after, wait_s):
        """Wait for changes."""
        self._check_connected()
        # Bounds the time until a disconnection takes effect.
        return self.client.watch(prefixes, after=after, wait_s=min(wait_s, 5.0))


class TreeNode:
    """Node with control task, membership and listener."""

    def __init__(self, settings: NodeSettings, *, seed: int):
        self.settings = settings
        self.random = Random(f"{seed}/{settings.node_id}")
        self.is_running = False
        self.started_at = 0.0

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
        clock = MonotonicClock()
        self.metrics = MetricSet()
        own_ip = settings.peer_address.rpartition(":")[0]
        self.store = DisconnectableStore(
            StoreClient(settings.store.address, source_ip=own_ip)
        )
        self.task = ControlTask(
            settings,
            self.identity,
            store=self.store,
            clock=clock,
            random=self.random,
            metrics=self.metrics,
        )
        self.membership = Membership(
            self.identity,
            slots=settings.upstream.slots,
            timing=settings.timing,
            clock=clock,
            peers=self.task.peers,
            store=self.task.store,
            roles=self.task.roles,
            record=self.task.record,
        )
        self.task.add(self.membership)
        self.task.set_members(self.membership.table)
        self.server = LinkServer(self.identity, {CONTROL_CHANNEL: self.task.peers})
        self.server.listen()
        self.is_running = True
        self.started_at = monotonic()
        self._threads = [
            eventlet.spawn(self.server.run),
            eventlet.spawn(self.task.run),
            eventlet.spawn(self._change_load),
        ]

    def stop(self) -> None:
        """Stop without notifying peers, like a killed process."""
        self.is_running = False
        for thread in self._threads:
            thread.kill()
        self.server.stop()
        self.task.peers.close_all()

    def _change_load(self) -> None:
        busy_share = self.random.random()
        while True:
            if self.random.random() < LOAD_CHANGE_SHARE:
                busy_share = self.random.random()
            report = partial(self.membership.set_load, busy_share, is_healthy=True)
            self.task.submit(report)
            eventlet.sleep(LOAD_INTERVAL_S)

    def describe(self) -> dict:
        """Return the state and counters that benchmarks read."""
        roles, table = self.task.roles, self.membership.table
        traffic = self.store.client.traffic
        return {
            "node": self.settings.node_id,
            "incarnation": self.identity.incarnation,
            "members": sorted(
                f"{joined.member.node_id}/{joined.member.incarnation}"
                for region in table.regions()
                for joined in region.members_by_id.values()
            ),
            "relay": roles.relay_id(),
            "is_data_centre_relay": roles.is_data_centre_relay(),
            "is_region_relay": roles.is_region_relay(),
            "has_authority": roles.has_authority(),
            "link_bytes": self.task.peers.bytes_on_links(),
            "store_bytes": traffic.bytes_sent + traffic.bytes_received,
            "store_calls": self.metrics.totals().get(STORE_CALLS, 0),
            "links": self.task.peers.link_count(),
        }


class BaselineNode:
    """Baseline node that writes its own object and reads those of all nodes."""

    def __init__(self, settings: NodeSettings, *, seed: int):
        self.settings = settings
        self.random = Random(f"{seed}/{settings.node_id}")
        self.is_running = False
        self.members: dict[str, int] = {}
        self.failures = 0

    def start(self) -> None:
        """Start to write and read periodically."""
        own_ip = self.settings.peer_address.rpartition(":")[0]
        self.store = DisconnectableStore(
            StoreClient(self.settings.store.address, source_ip=own_ip)
        )
        self.members = {}
        self.is_running = True
        self._threads = [eventlet.spawn(self._write), eventlet.spawn(self._read)]

    def stop(self) -> None:
        """Stop the node."""
        self.is_running = False
        for thread in self._threads:
            thread.kill()

    def _write(self) -> None:
        key = BASELINE_PREFIX + self.settings.node_id
        eventlet.sleep(self.random.uniform(0, BASELINE_INTERVAL_S))
        version = 0
        while True:
            value = self.random.randbytes(BASELINE_VALUE_BYTES)
            try:
                version = self.store.update(key, value, expected_version=version)
            except VerbenawickError:
                self.failures += 1
                try:
                    version = self.store.get(key).version
                except VerbenawickError:
                    self.failures += 1
            eventlet.sleep(BASELINE_INTERVAL_S)

    def _read(self) -> None:
        eventlet.sleep(self.random.uniform(0, BASELINE_INTERVAL_S))
        while True:
            try:
                listing = self.store.list(BASELINE_PREFIX)
                self.members = {
                    obj.key: obj.version
                    for obj in listing.objects
                    if obj.age_s < BASELINE_TIMEOUT_S
                }
            except VerbenawickError:
                self.failures += 1
            eventlet.sleep(BASELINE_INTERVAL_S)

    def describe(self) -> dict:
        """Return the state and counters that benchmarks read."""
        traffic = self.store.client.traffic
        return {
            "node": self.settings.node_id,
            "members": sorted(self.members),
            "failures": self.failures,
            "link_bytes": 0,
            "store_bytes": traffic.bytes_sent + traffic.bytes_received,
        }


NODE_CLASSES = {"tree": TreeNode, "baseline": BaselineNode}


class Worker:
    """Nodes of this process, controlled by commands."""

    def __init__(self, plan: dict):
        node_class = NODE_CLASSES[plan["mode"]]
        self.nodes = {
            settings["node_id"]: node_class(
                NodeSettings.model_validate(settings), seed=plan["seed"]
            )
            for settings in plan["nodes"]
        }

    def handle(self, command: dict) -> dict:
        """Execute a command and return the answer."""
        ids = command.get("ids") or list(self.nodes)
        match command["do"]:
            case "start":
                for node_id in ids:
                    if not self.nodes[node_id].is_running:
                        self.nodes[node_id].start()
                return {}
            case "stop":
                for node_id in ids:
                    if self.nodes[node_id].is_running:
                        self.nodes[node_id].stop()
                return {}
            case "cut_store":
                for node_id in ids:
                    self.nodes[node_id].store.is_cut = command["is_cut"]
                return {}
            case "describe":
                return self.describe(with_members=command.get("members", False))
        raise ValueError(f"unknown command {command['do']!r}")

    def describe(self, *, with_members: bool) -> dict:
        """Return the state of the nodes, and CPU time and memory of the process."""
        process = psutil.Process()
        times = process.cpu_times()
        nodes = [n.describe() for n in self.nodes.values() if n.is_running]
        for node in nodes:
            node["member_count"] = len(node["members"])
            if not with_members:
                del node["members"]
        return {
            "nodes": nodes,
            "cpu_s": times.user + times.system,
            "rss_mb": process.memory_info().rss / 1e6,
            "at": monotonic(),
        }


def read_lines():
    """Yield lines of standard input without blocking other green threads."""
    green_os.set_blocking(0, False)
    buffer = b""
    while data := green_os.read(0, 1 << 16):
        buffer += data
        *lines, buffer = buffer.split(b"\n")
        yield from lines


def main() -> None:
    """Answer commands until the end of standard input."""
    logger.remove()
    # Failures of components are logged as errors and must be visible in a benchmark.
    logger.add(sys.stderr, level="ERROR")
    lines = read_lines()
    worker = Worker(json.loads(next(lines)))
    print(json.dumps({}), flush=True)
    for line in lines:
        print(json.dumps(worker.handle(json.loads(line))), flush=True)
    sys.exit(0)


if __name__ == "__main__":
    main()
