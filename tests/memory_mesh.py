"""In-memory links, store, roles and members for tests of distribution and status.

Messages and store answers are queued until the test delivers them, in any order.
"""

import json
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from verbenawick.calls._table import Route, RoutingTable, ServicePolicy
from verbenawick.configuration._config_feed import ChangeInfo, HeadInfo
from verbenawick.configuration._config_state import ConfigState, VersionRef
from verbenawick.configuration._distribution import ConfigDistribution
from verbenawick.configuration._lifecycle import Lifecycle
from verbenawick.configuration._status import StatusAggregator
from verbenawick.errors import (
    BaseMismatchError,
    DocumentError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
)
from verbenawick.links._component import LinkPurpose, NodeIdentity, StoreObject
from verbenawick.links._members import Member
from verbenawick.links._messages import decode_message, encode_message
from verbenawick.runtime._clock import ManualClock

HEAD = "config/head"
# Region of the store; the other regions reach it only while they are not partitioned.
STORE_REGION = "a"


def document(routes_by_id: dict[str, str], preset: str = "ordinary") -> dict:
    """Return a document with these services by route id."""
    return {"routes": routes_by_id, "preset": preset}


class JsonCodec:
    """Codec for JSON documents; a delta contains the whole base and new document."""

    def __init__(self):
        self.broken_versions: set[int] = set()

    def digest_of(self, document) -> bytes:
        """Return the digest of a document."""
        data = json.dumps(document, sort_keys=True).encode()
        return blake2b(data, digest_size=8).digest()

    def apply_delta(self, document, delta: bytes):
        """Return the new document if the base matches."""
        base, new = json.loads(delta)
        if base != document:
            raise BaseMismatchError("delta has another base")
        return new

    def compile(self, document, *, version: int, digest: bytes) -> RoutingTable:
        """Return the routing table, or raise for a version in `broken_versions`."""
        if version in self.broken_versions:
            raise DocumentError("version is marked as broken by the test")
        routes = tuple(
            Route(route_id, f"/{route_id}", service_id)
            for route_id, service_id in sorted(document["routes"].items())
        )
        policies = {route.service_id: ServicePolicy("p") for route in routes}
        return RoutingTable(
            version=version,
            digest=digest,
            preset=document["preset"],
            routes=routes,
            policies_by_service_id=policies,
        )

    def encode_snapshot(self, document) -> bytes:
        """Encode a document as JSON."""
        return json.dumps(document).encode()

    def decode_snapshot(self, data: bytes, digest: bytes):
        """Decode a snapshot."""
        return json.loads(data)

    def parse_head(self, value: bytes) -> HeadInfo:
        """Decode the head object."""
        head = json.loads(value)
        return HeadInfo(
            VersionRef(head["version"], bytes.fromhex(head["digest"])),
            VersionRef(head["version"] - 1, bytes.fromhex(head["base"])),
            bytes.fromhex(head["delta"]),
            f"config/change/{head['version']}",
            f"config/snapshot/{head['version']}",
        )

    def parse_change(self, value: bytes) -> ChangeInfo:
        """Decode a change object."""
        head = self.parse_head(value)
        parent = f"config/change/{head.base.version}"
        return ChangeInfo(
            head.ref, head.base, bytes.fromhex(json.loads(value)["delta"]), parent
        )


class MemoryStore:
    """Store that keeps all versions of its objects and simulates faults."""

    def __init__(self):
        self.history: dict[str, list[StoreObject]] = {}
        self.revision = 0
        self.is_down = False
        self.loses_answers = False
        self.is_stale = False
        self.calls: list[tuple[str, str]] = []
        self.accepted: list[dict] = []

    def read(self, key: str) -> StoreObject:
        """Return the latest version of an object."""
        return self.history.get(key, [StoreObject(key, b"", 0)])[-1]

    def write(self, key: str, value: bytes) -> StoreObject:
        """Write unconditionally and return the new version."""
        self.revision += 1
        obj = StoreObject(key, value, self.revision)
        self.history.setdefault(key, []).append(obj)
        return obj

    def accept(self, new: dict, *, inline: bool = True) -> int:
        """Write an accepted change as the command line does; return its version."""
        codec = JsonCodec()
        version = len(self.accepted) + 1
        base = self.accepted[-1] if self.accepted else document({})
        change = {
            "version": version,
            "digest": codec.digest_of(new).hex(),
            "base": codec.digest_of(base).hex(),
            "delta": json.dumps([base, new]).encode().hex(),
        }
        self.write(f"config/change/{version}", json.dumps(change).encode())
        self.write(f"config/snapshot/{version}", codec.encode_snapshot(new))
        head = change if inline else {**change, "delta": ""}
        self.accepted.append(new)
        self.write(HEAD, json.dumps(head).encode())
        return version


class MemoryStorePort:
    """`StorePort` of a process; updates take effect at once, answers are queued."""

    def __init__(self, mesh: "MemoryMesh", node: "MemoryNode"):
        self._mesh = mesh
        self._store = mesh.store
        self._node = node

    def get(self, key, callback) -> None:
        """Queue the answer to a read."""
        self._store.calls.append(("get", key))
        older = self._store.history.get(key, [])[:-1]
        is_stale = self._store.is_stale and older
        self._answer(callback, older[-1] if is_stale else self._store.read(key))

    def update(self, key, value, *, expected_version, callback) -> None:
        """Apply a conditional update and queue the answer."""
        self._store.calls.append(("update", key))
        if not self._is_reachable():
            self._answer(callback, None)
        elif self._store.read(key).version != expected_version:
            self._answer(callback, None, StoreConditionError("changed"))
        else:
            obj = self._store.write(key, value)
            lost = StoreAnswerLostError("lost") if self._store.loses_answers else None
            self._answer(callback, None if lost else obj, lost)

    def _is_reachable(self) -> bool:
        region = self._node.identity.region
        is_cut = region in self._mesh.cut_regions and region != STORE_REGION
        return not (self._store.is_down or is_cut)

    def _answer(self, callback, obj, error=None) -> None:
        if not self._is_reachable():
            obj, error = None, StoreUnavailableError("down")
        self._mesh.post(lambda: callback(obj, error), receiver=self._node.node_id)


@dataclass
class MemoryRoles:
    """Roles as known to a node; not updated while the node is paused."""

    node: "MemoryNode"
    epoch: int = 0
    holds_data_centre_lease: bool = False
    holds_region_lease: bool = False
    relay_node_id: str | None = None

    def is_data_centre_relay(self) -> bool:
        return self.holds_data_centre_lease

    def is_region_relay(self) -> bool:
        return self.holds_region_lease

    def relay_id(self) -> str | None:
        return self.relay_node_id

    def lease_epoch(self) -> int:
        return self.epoch


class MemoryMembers:
    """Member table shared by all nodes; a test may remove members from it."""

    def __init__(self):
        self.members_by_id: dict[str, Member] = {}

    def members_of(self, service_id):
        return tuple(
            m for m in self.members_by_id.values() if m.service_id == service_id
        )

    def departed_of(self, service_id):
        return ()

    def members_in(self, data_centre):
        return tuple(
            m for m in self.members_by_id.values() if m.data_centre == data_centre
        )

    def member(self, node_id):
        return self.members_by_id.get(node_id)

    def load_of(self, node_id):
        return None

    def authority_deadline(self):
        return 0.0


class MemoryNode:
    """Process of a node with its components and ports."""

    def __init__(self, mesh: "MemoryMesh", identity: NodeIdentity):
        self.mesh = mesh
        self.identity = identity
        self.codec = JsonCodec()
        self.roles = MemoryRoles(self)
        self.is_paused = False
        self.lifecycle = Lifecycle()
        self.state = ConfigState(self.codec)
        self.distribution = ConfigDistribution(
            identity=identity,
            clock=mesh.clock,
            peers=MemoryPeers(mesh, self),
            store=MemoryStorePort(mesh, self),
            roles=self.roles,
            members=mesh.members,
            state=self.state,
            feed_codec=self.codec,
            lifecycle=self.lifecycle,
            random=mesh.random,
        )
        self.status = StatusAggregator(
            identity=identity,
            clock=mesh.clock,
            peers=MemoryPeers(mesh, self),
            store=MemoryStorePort(mesh, self),
            roles=self.roles,
            members=mesh.members,
            distribution=self.distribution,
        )
        self.components = [self.distribution, self.status]

    @property
    def node_id(self) -> str:
        return self.identity.node_id

    @property
    def served(self) -> int:
        """Version in force for calls; 0 without one."""
        table = self.distribution.table
        return table.version if table else 0


class MemoryPeers:
    """`PeerPort` of a process."""

    def __init__(self, mesh: "MemoryMesh", node: MemoryNode):
        self._mesh = mesh
        self._node = node

    def send(self, node_id, message) -> bool:
        target = self._mesh.nodes_by_id.get(node_id)
        if target is None or not self._mesh.is_linked(self._node, target):
            return False
        self._mesh.sent.append(message)
        data = encode_message(message)
        self._mesh.post_message(self._node, target, data)
        return True

    def identity(self, node_id):
        return self._mesh.identities_by_id.get(node_id)

    def peers(self, purpose):
        return self._mesh.peers_of(self._node, purpose)


@dataclass
class InFlight:
    """Message or store answer that was not delivered yet."""

    deliver: object
    sender: str = ""
    receiver: str = ""
    message: object = None


@dataclass
class MemoryMesh:
    """Simulated mesh of nodes.

    A node id starts with the id of its data centre, which starts with the letter of its
    region: node ``a1x`` is in data centre ``a1`` of region ``a``.
    """

    random: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self):
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.members = MemoryMembers()
        self.nodes_by_id: dict[str, MemoryNode] = {}
        self.identities_by_id: dict[str, NodeIdentity] = {}
        self.queue: list[InFlight] = []
        self.sent: list = []
        self.cut_regions: set[str] = set()
        self.epochs_by_data_centre: dict[str, int] = {}
        self.relays_by_data_centre: dict[str, str] = {}
        self.relays_by_region: dict[str, str] = {}
        self.node_codec = JsonCodec()

    def start(self, node_id: str, service_id: str = "base") -> MemoryNode:
        """Start a process of a node; its previous process must have ended."""
        former = self.identities_by_id.get(node_id)
        incarnation = former.incarnation + 1 if former else 1
        identity = NodeIdentity(
            node_id, incarnation, service_id, node_id[:2], node_id[:1], "127.0.0.1:1"
        )
        self.identities_by_id[node_id] = identity
        self.rejoin(node_id)
        node = self.nodes_by_id[node_id] = MemoryNode(self, identity)
        self._update_roles(node)
        for other in tuple(self.nodes_by_id.values()):
            if other is not node and self.is_linked(node, other):
                self._open_link(node, other)
                self._open_link(other, node)
        return node

    def rejoin(self, node_id: str) -> None:
        """Add a node to the member table."""
        identity = self.identities_by_id[node_id]
        self.members.members_by_id[node_id] = Member(
            node_id,
            identity.incarnation,
            identity.service_id,
            identity.data_centre,
            identity.region,
            identity.peer_address,
            1,
        )

    def kill(self, node_id: str) -> None:
        """End a process; its state and leases are lost."""
        node = self.nodes_by_id.pop(node_id)
        for table in (self.relays_by_data_centre, self.relays_by_region):
            for key in [key for key, holder in table.items() if holder == node_id]:
                del table[key]
        self.queue = [i for i in self.queue if i.receiver != node_id]
        self._update_all_roles()
        node.roles.holds_data_centre_lease = node.roles.holds_region_lease = False

    def elect(self, node_id: str, *, region: bool = False) -> None:
        """Give a node the lease of its data centre and optionally of its region."""
        node = self.nodes_by_id[node_id]
        dc = node.identity.data_centre
        if self.relays_by_data_centre.get(dc) != node_id:
            epoch = self.epochs_by_data_centre.get(dc, 0) + 1
            self.epochs_by_data_centre[dc] = epoch
            self.relays_by_data_centre[dc] = node_id
        if region:
            self.relays_by_region[node.identity.region] = node_id
        self._update_all_roles()
        node.roles.holds_data_centre_lease = True
        if region:
            node.roles.holds_region_lease = True
            self.watch(node)

    def watch(self, node: MemoryNode) -> None:
        """Queue the head for a region relay as a store watch does."""
        obj = self.store.read(HEAD)
        if not self.store.is_down and obj.version:
            self.deliver_object(node, obj)

    def deliver_object(self, node: MemoryNode, obj: StoreObject) -> None:
        """Queue a watched object for a region relay."""
        self.post(lambda: node.distribution.on_object(obj), receiver=node.node_id)

    def watch_all(self) -> None:
        """Queue the head for all running region relays that reach the store."""
        for node in self.nodes_by_id.values():
            if node.roles.holds_region_lease and not node.is_paused:
                region = node.identity.region
                if region == STORE_REGION or region not in self.cut_regions:
                    self.watch(node)

    def is_linked(self, node: MemoryNode, other: MemoryNode) -> bool:
        """Return whether two nodes can exchange messages."""
        regions = {node.identity.region, other.identity.region}
        return len(regions) == 1 or not regions & self.cut_regions

    def peers_of(self, node: MemoryNode, purpose: LinkPurpose) -> tuple[str, ...]:
        """Return the linked peers of a node according to the current roles."""
        own = node.identity
        if purpose is LinkPurpose.RELAY:
            relay_id = node.roles.relay_node_id
            return (relay_id,) if relay_id and relay_id != own.node_id else ()
        others = [
            other
            for other in self.nodes_by_id.values()
            if other is not node and self.is_linked(node, other)
        ]
        if purpose is LinkPurpose.NEIGHBOUR:
            same = [o for o in others if o.identity.data_centre == own.data_centre]
            return tuple(o.node_id for o in same)
        return tuple(o.node_id for o in others if o.roles.relay_node_id == own.node_id)

    def post(self, deliver, *, receiver: str = "") -> None:
        """Queue a callback for later delivery."""
        self.queue.append(InFlight(deliver, receiver=receiver))

    def post_message(self, sender: MemoryNode, target: MemoryNode, data: bytes) -> None:
        """Queue a message for a process; it is dropped if the process has ended."""
        message = decode_message(data)

        def deliver():
            if self.nodes_by_id.get(target.node_id) is target:
                for component in target.components:
                    component.on_message(sender.node_id, message)

        item = InFlight(deliver, sender.node_id, target.node_id, message)
        self.queue.append(item)

    def deliver_all(self, limit: int = 100_000) -> None:
        """Deliver all queued items in order, except those for paused receivers."""
        deferred = []
        while self.queue and limit:
            item = self.queue.pop(0)
            receiver = self.nodes_by_id.get(item.receiver)
            if receiver is not None and receiver.is_paused:
                deferred.append(item)
                continue
            item.deliver()
            limit -= 1
        self.queue = deferred + self.queue

    def tick(self, *, deliver: bool = True) -> None:
        """Advance the clock by 0.1 s and run all components."""
        self.clock.advance(0.1)
        for node in tuple(self.nodes_by_id.values()):
            if not node.is_paused:
                for component in node.components:
                    component.on_tick()
        if deliver:
            self.deliver_all()

    def run(self, seconds: float) -> None:
        """Advance the time and deliver all messages in order."""
        self.deliver_all()
        for _ in range(round(seconds * 10)):
            self.tick()

    def served_versions(self) -> dict[str, int]:
        """Return the version in force on each node."""
        return {node_id: node.served for node_id, node in self.nodes_by_id.items()}

    def pause(self, node_id: str) -> None:
        """Pause a process; its roles are not updated meanwhile."""
        self.nodes_by_id[node_id].is_paused = True

    def resume(self, node_id: str) -> None:
        """Resume a process; `refresh_roles` updates its roles."""
        self.nodes_by_id[node_id].is_paused = False

    def refresh_roles(self) -> None:
        """Update the roles of all running nodes from the current leases."""
        self._update_all_roles()

    def _open_link(self, node: MemoryNode, other: MemoryNode) -> None:
        for purpose in LinkPurpose:
            if other.node_id in self.peers_of(node, purpose):
                for component in node.components:
                    component.on_link(other.node_id, purpose, is_open=True)

    def _update_all_roles(self) -> None:
        for node in self.nodes_by_id.values():
            self._update_roles(node)

    def _update_roles(self, node: MemoryNode) -> None:
        if node.is_paused:
            return
        identity, roles = node.identity, node.roles
        roles.epoch = self.epochs_by_data_centre.get(identity.data_centre, 0)
        data_centre_relay_id = self.relays_by_data_centre.get(identity.data_centre)
        roles.holds_data_centre_lease = data_centre_relay_id == identity.node_id
        region_relay_id = self.relays_by_region.get(identity.region)
        roles.holds_region_lease = region_relay_id == identity.node_id
        roles.relay_node_id = (
            region_relay_id if roles.holds_data_centre_lease else data_centre_relay_id
        )
