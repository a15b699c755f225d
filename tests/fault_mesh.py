"""Entries, gateways and claim coordinators on loopback, with scripted upstreams."""

import struct
from dataclasses import replace

import eventlet
from eventlet.green import socket

from tests.call_support import SERVICE, CallNode, StaticMembers
from tests.fault_table import Fault, Interface, Step
from verbenawick.calls._table import Route, RoutingTable, ServicePolicy
from verbenawick.claims._claim_messages import ClaimHandover, SealRequest
from verbenawick.claims._claims import ClaimCoordinator
from verbenawick.links._call_messages import CallAnswer, CallRequest
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import DepartedMember, MemberState
from verbenawick.links._messages import encode_message
from verbenawick.runtime._clock import MonotonicClock

OK = "ok"
SLOW_RUN_S = 0.1
_clock = MonotonicClock()

LINGER_RESET = struct.pack("ii", 1, 0)


class ScriptedUpstream:
    """Upstream that takes the action for each request from a shared script.

    Attributes
    ----------
    runs : list
        Address of the upstream for each request that ran; shared by all upstreams.
    """

    def __init__(self, script: list, runs: list):
        self._script = script
        self._runs = runs
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self._thread = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting and close the listener; later connections are refused."""
        self._thread.kill()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        try:
            while self._read_request(sock):
                action = self._script.pop(0) if self._script else OK
                if not self._perform(sock, action):
                    return
        except OSError:
            return
        finally:
            sock.close()

    @staticmethod
    def _read_request(sock) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = sock.recv(65536)
            if not chunk:
                return False
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += sock.recv(65536)
        return True

    def _perform(self, sock, action) -> bool:
        """Handle one request; return whether to keep the connection."""
        if action == (Fault.REFUSE, Step.REQUEST):
            sock.sendall(
                b"HTTP/1.1 503 Busy\r\nUpstream-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        if action == (Fault.FREEZE, Step.RUN):
            eventlet.sleep(10)
            return False
        if action == (Fault.CRASH_BEFORE, Step.RUN):
            self.close()
            return False
        if action == (Fault.RESET, Step.REQUEST):
            return self._reset(sock)
        self._runs.append(self.address)
        if action == (Fault.RESET, Step.ANSWER):
            return self._reset(sock)
        if action == (Fault.CRASH_AFTER, Step.ANSWER):
            self.close()
            return False
        if action == (Fault.DELAY, Step.RUN):
            eventlet.sleep(SLOW_RUN_S)
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
        if action == (Fault.HALF_HEAD, Step.ANSWER):
            sock.sendall(response[:30])
            return False
        if action == (Fault.ENDLESS_HEAD, Step.ANSWER):
            sock.sendall(response[:17])
            while True:
                sock.sendall(b"X-Number: 1\r\n" * 1000)
        if action == (Fault.HALF_ANSWER, Step.ANSWER):
            sock.sendall(response[:120])
            return False
        sock.sendall(response)
        return True

    @staticmethod
    def _reset(sock) -> bool:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        return False


class FaultMembers(StaticMembers):
    """Member view with departures and an authority deadline set by the test."""

    def __init__(self):
        super().__init__()
        self.departed: list[DepartedMember] = []
        self.authority_ends_at = float("inf")

    def departed_of(self, service_id):
        """Return the departed members that the test set."""
        return tuple(self.departed)

    def authority_deadline(self):
        """Return the deadline that the test set."""
        return self.authority_ends_at


class _DeferredRequests:
    """Request port of a coordinator, bound to the links of its node later.

    The coordinator is built before its node, which owns the links.
    """

    def request(self, member, message, *, deadline):
        """Send the request over the links."""
        return self.links.request(member, message, deadline=deadline)


class FaultMesh:
    """Entry node and two further nodes of one service.

    The member of the entry node drains, so that each call goes to another node.
    """

    def __init__(self):
        self.members = FaultMembers()
        self.script: list = []
        self.runs: list[str] = []
        self.upstreams: dict[str, ScriptedUpstream] = {}
        self.nodes: dict[str, CallNode] = {}
        self.coordinators: dict[str, ClaimCoordinator] = {}
        self._table = RoutingTable(
            version=1,
            digest=b"",
            preset="ordinary",
            routes=(Route("r", "/", SERVICE),),
            policies_by_service_id={SERVICE: ServicePolicy("p", key_required=False)},
        )
        for name in ("entry", "one", "two"):
            self._add(name)
        self.members.members[0] = replace(
            self.members.members[0], state=MemberState.DRAINING
        )
        self.entry = self.nodes["entry"]

    def _add(self, name: str) -> None:
        upstream = self.upstreams[name] = ScriptedUpstream(self.script, self.runs)
        requests = _DeferredRequests()
        coordinator = self.coordinators[name] = ClaimCoordinator(
            NodeIdentity(name, 1, SERVICE, "dc1", "north", ""),
            members=self.members,
            requests=requests,
            clock=_clock,
        )
        node = self.nodes[name] = CallNode(
            name,
            self.members,
            self._table,
            coordinator,
            upstream_address=upstream.address,
        )
        requests.links = node.links
        for message_type in (SealRequest, ClaimHandover):
            node.links.register_handler(
                message_type, lambda peer, message, at: coordinator.answer_to(message)
            )

    def owner(self, key: str) -> str:
        """Return the node that owns `key`."""
        return self.entry.dispatcher._claims.owner_of(SERVICE, key).node_id

    def kill(self, name: str) -> None:
        """Close all sockets of a node and list it as departed."""
        node = self.nodes[name]
        for link, _ in list(node.links._running):
            link.close()
        node.close()
        (gone,) = (m for m in self.members.members if m.node_id == name)
        self.members.members.remove(gone)
        self.members.departed.append(
            DepartedMember(name, 1, SERVICE, "north", False, True, _clock.now())
        )

    def close(self) -> None:
        """Close all sockets."""
        for node in self.nodes.values():
            node.close()
        for upstream in self.upstreams.values():
            upstream.close()

    # Faults

    def inject(self, row, key: str) -> None:
        """Set up the fault of a row."""
        fault = (row.fault, row.step)
        if row.interface is Interface.UPSTREAM:
            self._inject_upstream(fault, key)
        elif row.interface is Interface.NODE:
            self._inject_node(fault, row.kind, key)
        elif fault == (Fault.RESET, Step.RUN):
            self.script.append((Fault.DELAY, Step.RUN))

    def _inject_upstream(self, fault, key) -> None:
        if fault == (Fault.REFUSE, Step.CONNECT):
            self.upstreams[self.owner(key)].close()
        else:
            self.script.append(fault)

    def _inject_node(self, fault, kind, key) -> None:
        owner = self.owner(key)
        node, coordinator = self.nodes[owner], self.coordinators[owner]
        if fault == (Fault.REFUSE, Step.CONNECT):
            node.link_server.stop()
        elif fault == (Fault.DELAY, Step.REQUEST):
            self.entry.links._delay_for = lambda ip: 0.02
        elif fault == (Fault.FREEZE, Step.REQUEST):
            for other in ("one", "two"):
                self.nodes[other].links.register_handler(
                    CallRequest, lambda *arguments: eventlet.sleep(10)
                )
        elif fault == (Fault.HALF_ANSWER, Step.ANSWER):
            self._truncate_first_answer()
        elif fault in ((Fault.RESET, Step.RUN), (Fault.NODE_KILL, Step.RUN)):
            self.script.append((Fault.DELAY, Step.RUN))
            eventlet.spawn_n(self._fail_during_run, fault[0])
        elif fault == (Fault.NODE_KILL, Step.WRITE):
            coordinator.confirm = lambda key: self._kill_and_hang(owner)
        elif fault == (Fault.LEASE_LAPSE, Step.CLAIM):
            self.members.authority_ends_at = 0.0
        elif fault == (Fault.LEASE_LAPSE, Step.WRITE):
            enter = node.admission.enter

            def lapse(**arguments):
                enter(**arguments)
                self.members.authority_ends_at = 0.0

            node.admission.enter = lapse
        else:
            raise NotImplementedError(f"no injection for {fault} of {kind}")

    def _kill_and_hang(self, name: str) -> bool:
        self.kill(name)
        eventlet.sleep(10)
        return False

    def _fail_during_run(self, fault: Fault) -> None:
        while not self.runs:
            eventlet.sleep(0.002)
        addresses = {u.address: name for name, u in self.upstreams.items()}
        name = addresses[self.runs[0]]
        if fault is Fault.NODE_KILL:
            self.kill(name)
            return
        for link, _ in list(self.nodes[name].links._running):
            link.close("closed by the test")

    def _truncate_first_answer(self) -> None:
        """Send half a frame of the first answer of a node, then close the link."""
        is_truncated = []

        def watch(links):
            on_open = links.on_open

            def opened(link):
                on_open(link)
                post = link.post

                def truncate(message):
                    if not isinstance(message, CallAnswer) or is_truncated:
                        return post(message)
                    is_truncated.append(True)
                    data = encode_message(message)
                    header = b"\x82\x7e" + struct.pack(">H", len(data))
                    link._sock.sendall(header + data[: len(data) // 2])
                    link.close("closed by the test")

                link.post = truncate

            links.on_open = opened

        for name in ("one", "two"):
            watch(self.nodes[name].links)
