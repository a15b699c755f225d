"""Simulation of control tasks with in-memory links and store and a manual clock."""

from collections import Counter
from random import Random
from types import SimpleNamespace

import eventlet
from eventlet.event import Event
from loguru import logger

from verbenawick.errors import (
    LinkClosedError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
)
from verbenawick.links._component import NodeIdentity, StoreObject
from verbenawick.links._messages import decode_message, encode_message
from verbenawick.membership._membership import Membership
from verbenawick.node._control import ControlTask
from verbenawick.runtime._clock import ManualClock
from verbenawick.settings._settings import NodeSettings
from verbenawick.store._lease import parse_lease_record

STEP_S = 0.1


class MemoryStore:
    """In-memory object store with fault injection; counts calls by kind and second."""

    def __init__(self, clock):
        self.clock = clock
        self.objects = {}
        self.revision = 0
        self.is_down = False
        # Ids of nodes that cannot reach the store.
        self.disconnected_nodes = set()
        # Called with node, method and key; if it returns True, the call takes effect
        # but its response is lost.
        self.loses_answer = lambda node_id, method, key: False
        self.calls = Counter()
        self.calls_by_second = Counter()
        self._watches = []

    def set_outage(self, is_down):
        """Start or end a store outage."""
        self.is_down = is_down
        self.break_watches()

    def break_watches(self):
        """Wake up all waiting watches."""
        watches, self._watches = self._watches, []
        for event in watches:
            event.send(None)

    def begin_call(self, node_id, method, key):
        """Count a call; raise if the store is unreachable for the node."""
        if self.is_down or node_id in self.disconnected_nodes:
            raise StoreUnavailableError("down", step=method, peer="store")
        self.calls[method, key] += 1
        self.calls_by_second[int(self.clock.now())] += 1

    def write(self, key, value, expected):
        """Write an object conditionally and return its new version."""
        current = self.objects.get(key)
        if (current.version if current else 0) != expected:
            raise StoreConditionError("condition", step="update", peer="store")
        self.revision += 1
        self.objects[key] = StoreObject(key, value, self.revision)
        self.break_watches()
        return self.revision

    def wait_for_change(self):
        """Block until the next call of `break_watches`."""
        event = Event()
        self._watches.append(event)
        event.wait()

    def lease(self, key):
        """Return the record of a lease object, or None if there is none."""
        found = self.objects.get(key)
        return parse_lease_record(found.value) if found else None


class MemoryStoreClient:
    """Store client of one node."""

    def __init__(self, store, node_id):
        self._store = store
        self._node_id = node_id

    def get(self, key):
        """Read one object."""
        self._store.begin_call(self._node_id, "get", key)
        return self._store.objects.get(key, StoreObject(key, b"", 0))

    def update(self, key, value, *, expected_version):
        """Write one object; the response may be lost."""
        self._store.begin_call(self._node_id, "update", key)
        version = self._store.write(key, value, expected_version)
        if self._store.loses_answer(self._node_id, "update", key):
            raise StoreAnswerLostError("lost", step="update", peer="store")
        return version

    def watch(self, prefixes, *, after, wait_s):
        """Wait for changes after a revision."""
        self._store.begin_call(self._node_id, "watch", "")
        while True:
            found = tuple(
                obj
                for obj in self._store.objects.values()
                if obj.version > after and obj.key.startswith(prefixes)
            )
            if found:
                return SimpleNamespace(revision=self._store.revision, objects=found)
            self._store.wait_for_change()
            if self._store.is_down or self._node_id in self._store.disconnected_nodes:
                raise StoreUnavailableError("down", step="watch", peer="store")


class MemoryLink:
    """One end of a link between two simulated nodes."""

    def __init__(self, owner, peer_node, *, is_dialled):
        self.owner = owner
        self.peer_node = peer_node
        self.peer = peer_node.identity
        self.is_dialled = is_dialled
        self.is_open = True
        self.bytes_sent = 0
        self.bytes_received = 0
        self.other = None

    def post(self, message):
        """Deliver at the peer's next step, unless the nodes are disconnected."""
        if not self.is_open:
            raise LinkClosedError("closed", step="post", peer=self.peer.node_id)
        data = encode_message(message)
        self.bytes_sent += len(data)
        if self.owner.mesh.is_connected(self.owner, self.peer_node):
            self.peer_node.inbox.append((self.other, data))

    def close(self, reason=""):
        """Close this end, and the other one unless the nodes are disconnected."""
        if not self.is_open:
            return
        self.is_open = False
        self.owner.inbox.append((self, None))
        if self.owner.mesh.is_connected(self.owner, self.peer_node):
            self.peer_node.inbox.append((self.other, None))


class SimulatedNode:
    """A control task with membership, without sockets."""

    def __init__(self, mesh, settings, incarnation):
        self.mesh = mesh
        self.settings = settings
        self.is_alive = True
        self.is_paused = False
        self.inbox = []
        self.identity = NodeIdentity(
            settings.node_id,
            incarnation,
            settings.upstream.service,
            settings.data_centre,
            settings.region,
            settings.peer_address,
        )
        self.task = ControlTask(
            settings,
            self.identity,
            store=MemoryStoreClient(mesh.store, settings.node_id),
            clock=mesh.clock,
            random=Random(f"{settings.node_id}/{incarnation}"),
            dial=self._dial,
        )
        self.membership = Membership(
            self.identity,
            slots=settings.upstream.slots,
            timing=settings.timing,
            clock=mesh.clock,
            peers=self.task.peers,
            store=self.task.store,
            roles=self.task.roles,
            record=self.task.record,
        )
        self.task.add(self.membership)
        self.task.set_members(self.membership.table)

    @property
    def table(self):
        """Member table of the node."""
        return self.membership.table

    @property
    def roles(self):
        """Roles of the node."""
        return self.task.roles

    def _dial(self, address, *, channel, identity, handler, delay_s, timeout_s):
        peer = self.mesh.nodes_by_address.get(address)
        if peer is None or not peer.is_alive or peer.is_paused:
            raise LinkClosedError("no listener", step="dial", peer=address)
        if not self.mesh.is_connected(self, peer):
            raise LinkClosedError("disconnected", step="dial", peer=address)
        near = MemoryLink(self, peer, is_dialled=True)
        near.other = MemoryLink(peer, self, is_dialled=False)
        near.other.other = near
        return near

    def step(self):
        """Process the inbox and the mailbox, and run one tick."""
        inbox, self.inbox = self.inbox, []
        for link, data in inbox:
            if data is None:
                link.is_open = False
                self.task.peers.on_close(link)
            else:
                link.bytes_received += len(data)
                self.task.peers.on_message(link, decode_message(data))
            self.task.process_mailbox()
        self.task.tick()
        self.task.process_mailbox()


class SimulatedMesh:
    """Simulated nodes, their network and the store."""

    def __init__(self, *, seed=1):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.nodes = {}
        self.nodes_by_address = {}
        # Pairs of region or node ids between which all messages are lost.
        self.partitions = set()
        self._incarnations = Random(seed)
        # The control task logs component failures and continues; tests must fail.
        self._failures = []
        logger.add(
            self._failures.append, filter=lambda r: r["extra"].get("event") == 320
        )

    def add_region(self, region, *, centres=2, nodes_per_centre=3, services=2):
        """Start the nodes of a region, each configured with up to two neighbours."""
        for centre in range(centres):
            data_centre = f"{region}-{centre}"
            addresses = [
                self._address(len(self.nodes) + i) for i in range(nodes_per_centre)
            ]
            for i, address in enumerate(addresses):
                others = [addresses[(i + k) % nodes_per_centre] for k in (1, 2)]
                self._start_new(
                    f"{data_centre}-n{i}",
                    data_centre,
                    region,
                    address,
                    [a for a in dict.fromkeys(others) if a != address],
                    f"svc{i % services}",
                )

    def _address(self, index):
        return f"10.0.{index // 250}.{index % 250 + 1}:7000"

    def _start_new(self, node_id, data_centre, region, address, neighbours, service):
        host = address.rpartition(":")[0]
        settings = NodeSettings(
            node_id=node_id,
            data_centre=data_centre,
            region=region,
            call_address=f"{host}:8000",
            peer_address=address,
            admin_address=f"{host}:9000",
            store={"address": "10.9.9.9:80"},
            upstream={"address": f"{host}:81", "service": service, "slots": 12},
            neighbours=neighbours,
        )
        self._start(settings)

    def _start(self, settings):
        node = SimulatedNode(self, settings, self._incarnations.getrandbits(32))
        self.nodes[settings.node_id] = node
        self.nodes_by_address[settings.peer_address] = node
        return node

    def is_connected(self, a, b):
        """Return whether messages between two nodes are delivered."""
        if not (a.is_alive and b.is_alive):
            return False
        for x in (a.identity.node_id, a.identity.region):
            for y in (b.identity.node_id, b.identity.region):
                if (x, y) in self.partitions or (y, x) in self.partitions:
                    return False
        return True

    def kill(self, *node_ids):
        """Kill processes; their peers see closed links."""
        for node_id in node_ids:
            node = self.nodes[node_id]
            for entries in node.task.peers._entries_by_node.values():
                for entry in entries:
                    entry.link.close()
            node.is_alive = False
            node.inbox = []

    def restart(self, *node_ids):
        """Restart processes with new incarnations."""
        return [self._start(self.nodes[node_id].settings) for node_id in node_ids]

    def restart_elsewhere(self, node_id, address):
        """Restart a node on another VM."""
        host = address.rpartition(":")[0]
        changes = {
            "call_address": f"{host}:8000",
            "peer_address": address,
            "admin_address": f"{host}:9000",
        }
        return self._start(self.nodes[node_id].settings.model_copy(update=changes))

    def running_nodes(self):
        """Return the running nodes, without paused ones."""
        return [n for n in self.nodes.values() if n.is_alive and not n.is_paused]

    def advance(self, seconds, *, step_s=STEP_S):
        """Advance the clock by `seconds` and step all running nodes."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            for node in self.running_nodes():
                node.step()
            for _ in range(3):
                eventlet.sleep(0)
                for node in self.running_nodes():
                    node.task.process_mailbox()
        if self._failures:
            raise AssertionError(self._failures[0])

    def advance_until(self, condition, limit_s):
        """Advance until `condition()` is true and return the elapsed seconds."""
        started_at = self.clock.now()
        while not condition():
            if self.clock.now() - started_at > limit_s:
                raise AssertionError(f"not reached within {limit_s} s")
            self.advance(STEP_S)
        return self.clock.now() - started_at

    def relays(self, region=None):
        """Return the nodes that act as data centre relays."""
        return [
            n
            for n in self.running_nodes()
            if n.roles.is_data_centre_relay() and region in (None, n.identity.region)
        ]

    def region_relays(self, region=None):
        """Return the nodes that act as region relays."""
        return [
            n
            for n in self.running_nodes()
            if n.roles.is_region_relay() and region in (None, n.identity.region)
        ]

    def has_converged(self, expected_ids=None):
        """Return whether all running nodes know exactly the expected nodes."""
        expected = {
            (n.identity.node_id, n.identity.incarnation)
            for n in self.running_nodes()
            if expected_ids is None or n.identity.node_id in expected_ids
        }
        return all(
            {
                (j.member.node_id, j.member.incarnation)
                for t in node.table.regions()
                for j in t.members_by_id.values()
            }
            == expected
            for node in self.running_nodes()
        )
