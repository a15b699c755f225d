"""Nodes, upstreams and callers in one process, for tests of the call path."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPConnection, parse_headers
from pathlib import Path
from random import Random

import eventlet
from eventlet.green import socket

from standins.upstream import StandinUpstream
from verbenawick.calls._admission import Admission
from verbenawick.calls._balancer import Balancer
from verbenawick.calls._dispatch import Dispatcher
from verbenawick.calls._entry import EntryApplication
from verbenawick.calls._entry_server import EntryServer
from verbenawick.calls._gateway import ClaimDecision, ClaimVerdict, Gateway
from verbenawick.calls._retry import RetryRules
from verbenawick.calls._table import Route, RoutingTable, ServicePolicy
from verbenawick.calls._tracing import Tracer
from verbenawick.calls._upstream import UpstreamConnections
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import CallAnswer, CallRequest
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, LinkServer
from verbenawick.links._members import Member, MemberState, ReportedLoad
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

SERVICE = "archivo"
# None of them is the status of an answer.
INVALID_STATUSES = (
    *(b"000", b"001", b"099", b"600", b"999", b"0", b"99", b"1000", b"2000", b"20"),
    *(b"-200", b"+200", b"2OO", b"101", b"0200", b"2_0", b""),
)


def _read_first_ephemeral_port() -> int:
    path = Path("/proc/sys/net/ipv4/ip_local_port_range")
    return int(path.read_text().split()[0])


# Ports below this one are not assigned to outgoing connections by the kernel, so a free
# one stays free until a test binds it.
FIRST_EPHEMERAL_PORT = _read_first_ephemeral_port()
FIRST_TEST_PORT = 10_000
# Seeded by the system, so that concurrent test processes use different ports.
_port_random = Random()
_used_ports: set[int] = set()


def free_port() -> int:
    """Return an unused port that this process has not returned before."""
    while True:
        port = _port_random.randrange(FIRST_TEST_PORT, FIRST_EPHEMERAL_PORT)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def wait_until(condition: Callable[[], object], timeout_s: float = 5.0) -> None:
    """Yield to other green threads until `condition()` holds."""
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.001)


def member(
    node_id: str,
    *,
    data_centre: str = "dc1",
    region: str = "north",
    port: int = 1,
    state: MemberState = MemberState.ACTIVE,
    incarnation: int = 1,
) -> Member:
    """Return a member of `SERVICE`."""
    return Member(
        node_id,
        incarnation,
        SERVICE,
        data_centre,
        region,
        f"127.0.0.1:{port}",
        4,
        state,
    )


@dataclass
class StaticMembers:
    """`MemberView` with members and loads set by a test."""

    members: list[Member] = field(default_factory=list)
    loads_by_node_id: dict[str, ReportedLoad] = field(default_factory=dict)

    def members_of(self, service_id):
        """Return all members of the service."""
        return tuple(m for m in self.members if m.service_id == service_id)

    def departed_of(self, service_id):
        """Return no departed members."""
        return ()

    def members_in(self, data_centre):
        """Return the members of a data centre."""
        return tuple(m for m in self.members if m.data_centre == data_centre)

    def member(self, node_id):
        """Return one member."""
        return next((m for m in self.members if m.node_id == node_id), None)

    def load_of(self, node_id):
        """Return the load that the test set."""
        return self.loads_by_node_id.get(node_id)

    def authority_deadline(self):
        """Return infinity: the authority never ends."""
        return float("inf")


class MemoryClaims:
    """`ClaimPort` of one owner in memory; keeps the state and answer of each key."""

    def __init__(self, owner: Callable[[], Member | None]):
        self.owner = owner
        self.state_by_key: dict[str, str] = {}
        self.answers_by_key: dict[str, CallAnswer] = {}
        self.confirm_result = True

    def owner_of(self, service_id, key):
        """Return the owner that the test chose."""
        return self.owner()

    def begin(self, key, *, fingerprint, attempt, deadline):
        """Decide by the state of the key."""
        state = self.state_by_key.get(key)
        if state is None:
            self.state_by_key[key] = "claimed"
            return ClaimDecision(ClaimVerdict.RUN)
        if state == "done":
            return ClaimDecision(ClaimVerdict.RECORDED, self.answers_by_key[key])
        if state == "claimed":
            return ClaimDecision(ClaimVerdict.IN_PROGRESS)
        return ClaimDecision(ClaimVerdict.UNKNOWN)

    def confirm(self, key):
        """Return the result that the test set."""
        return self.confirm_result

    def finish(self, key, answer):
        """Record the answer."""
        self.state_by_key[key] = "done"
        self.answers_by_key[key] = answer

    def release(self, key):
        """Remove the claim."""
        del self.state_by_key[key]

    def mark_unknown(self, key):
        """Record the unknown outcome."""
        self.state_by_key[key] = "unknown"


class CallNode:
    """Entry and gateway of one node, on real loopback sockets."""

    def __init__(
        self, node_id, members, table, claims, *, upstream_address, slots=4, seed=1
    ):
        self.clock = MonotonicClock()
        self.metrics = MetricSet()
        self.member = member(node_id, port=free_port())
        members.members.append(self.member)
        identity = NodeIdentity(
            node_id, 1, SERVICE, "dc1", "north", self.member.peer_address
        )
        shared = {"clock": self.clock, "metrics": self.metrics}
        self.links = CallLinks(identity, **shared)
        tracer = Tracer(node_id, sample_share=0.0, random=Random(seed))
        self.admission = Admission(slots=slots, **shared)
        self.upstream = UpstreamConnections(
            upstream_address, max_connections=120, **shared
        )
        self.gateway = Gateway(
            node_id=node_id,
            service_id=SERVICE,
            admission=self.admission,
            upstream=self.upstream,
            table=lambda: table,
            members=members,
            requests=self.links,
            claims=claims,
            tracer=tracer,
            **shared,
        )
        self.links.register_handler(CallRequest, self.gateway.on_request)
        self.balancer = Balancer(
            data_centre="dc1",
            region="north",
            members=members,
            random=Random(seed),
            **shared,
        )
        self.dispatcher = Dispatcher(
            node_id=node_id,
            region="north",
            balancer=self.balancer,
            retry_rules=RetryRules(self.metrics),
            gateway=self.gateway,
            requests=self.links,
            claims=claims,
            **shared,
        )
        self.entry = EntryApplication(
            node_id=node_id,
            service_id=SERVICE,
            table=lambda: table,
            dispatcher=self.dispatcher,
            tracer=tracer,
            **shared,
        )
        self.link_server = LinkServer(identity, {CALL_CHANNEL: self.links})
        self.link_server.listen()
        eventlet.spawn_n(self.link_server.run)
        self.entry_server = EntryServer(self.entry, metrics=self.metrics)
        self.call_address = f"127.0.0.1:{free_port()}"
        self.entry_server.listen(self.call_address)
        self.entry_server.start()

    def close(self):
        """Close all sockets."""
        self.links.close()
        self.link_server.stop()


class CallMesh:
    """Nodes of one service with their upstreams in one process."""

    def __init__(self, *, nodes=2, slots=4, policy=None):
        self.members = StaticMembers()
        policy = policy or ServicePolicy("p")
        self.table = RoutingTable(
            version=7,
            digest=b"",
            preset="ordinary",
            routes=(Route("r", "/", SERVICE),),
            policies_by_service_id={SERVICE: policy},
        )
        self.claims = MemoryClaims(lambda: self.members.members[-1])
        self.upstreams: list[StandinUpstream] = []
        self.nodes: list[CallNode] = []
        self.upstream_threads = []
        for number in range(nodes):
            self._add(f"node-{number}", slots)

    def _add(self, node_id, slots):
        upstream = StandinUpstream(SERVICE, slots=slots)
        listener = eventlet.listen(("127.0.0.1", 0))
        self.upstream_threads.append(eventlet.spawn(upstream.serve, listener))
        host, port = listener.getsockname()
        self.upstreams.append(upstream)
        self.nodes.append(
            CallNode(
                node_id,
                self.members,
                self.table,
                self.claims,
                upstream_address=f"{host}:{port}",
                slots=slots,
            )
        )

    def runs(self) -> list[tuple[str, str]]:
        """Return the runs recorded by all upstreams."""
        return [run for upstream in self.upstreams for run in upstream.runs]

    def close(self):
        """Close all nodes."""
        for node in self.nodes:
            node.close()
        for thread in self.upstream_threads:
            thread.kill()


@dataclass
class CallerResponse:
    """A response as a caller sees it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the outcome header."""
        return self.headers.get("Verbenawick-Outcome", "")

    @property
    def code(self) -> str:
        """Return the code header."""
        return self.headers.get("Verbenawick-Code", "")


def responses_until_close(sock) -> list[CallerResponse]:
    """Return the responses on `sock` up to the first with ``Connection: close``."""
    responses = []
    # One file, since the next response may be received with the end of one.
    with sock.makefile("rb") as received:
        while True:
            status = int(received.readline().split()[1])
            headers = dict(parse_headers(received))
            body = received.read(int(headers["Content-Length"]))
            responses.append(CallerResponse(status, headers, body))
            if headers.get("Connection") == "close":
                return responses


class Caller:
    """HTTP client with one connection."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.connection = HTTPConnection(host, int(port))
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection.sock = sock

    def send(self, method, target, *, body=None, headers=None) -> None:
        """Send a request without waiting for its response."""
        self.connection.request(method, target, body=body, headers=headers or {})

    def receive(self) -> CallerResponse:
        """Return the response to the last request."""
        response = self.connection.getresponse()
        body = response.read()
        return CallerResponse(response.status, dict(response.getheaders()), body)

    def call(self, method, target, *, body=None, headers=None) -> CallerResponse:
        """Send a request and return its response."""
        self.send(method, target, body=body, headers=headers)
        return self.receive()

    def close(self):
        """Close the connection."""
        self.connection.close()
