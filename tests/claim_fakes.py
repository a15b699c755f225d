"""In-memory member tables and network for tests of the claim coordinators."""

from collections.abc import Callable
from dataclasses import replace

from verbenawick.claims._claim_records import ClaimLimits
from verbenawick.claims._claims import ClaimCoordinator
from verbenawick.errors import AnswerLostError, LinkClosedError
from verbenawick.links._call_messages import CallAnswer, Outcome
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import DepartedMember, Member
from verbenawick.links._messages import decode_message, encode_message
from verbenawick.membership._rendezvous import score_of
from verbenawick.runtime._clock import ManualClock

SERVICE = "treasury"
FINGERPRINT = b"POST /fee 1"
KEY = "key-1"


def answer(body: bytes = b"paid", status: int = 200) -> CallAnswer:
    """Return a complete response."""
    return CallAnswer(
        0, Outcome.COMPLETE, "", status, (("X-Lot", "7"),), body, "upstream"
    )


def ranked_nodes(count: int, key: str = KEY) -> list[str]:
    """Return node ids in rendezvous order for `key`, owner first."""
    names = [f"n{number}" for number in range(count)]
    return sorted(names, key=lambda name: score_of(key, name), reverse=True)


def member(node_id: str, *, incarnation: int = 1, **fields) -> Member:
    """Return a member of `SERVICE` on loopback."""
    values = {"data_centre": "dc", "region": "ashanti", "slots": 14, **fields}
    return Member(node_id, incarnation, SERVICE, peer_address="127.0.0.1:1", **values)


class FakeMembers:
    """Member table of one node that the test sets up."""

    def __init__(self, clock: ManualClock):
        self.by_id: dict[str, Member] = {}
        self.departed: list[DepartedMember] = []
        self.authority_until = clock.now() + ClaimLimits().authority_s
        self._clock = clock

    def add(self, *members: Member) -> None:
        """Add or replace members."""
        self.by_id.update({m.node_id: m for m in members})

    def depart(self, node_id: str, *, handed_over=False, process_ended=False) -> None:
        """Record the departure of a member."""
        departed_member = self.by_id.pop(node_id)
        self.departed.append(
            DepartedMember(
                node_id,
                departed_member.incarnation,
                departed_member.service_id,
                departed_member.region,
                handed_over,
                process_ended,
                self._clock.now(),
            )
        )

    def change(self, node_id: str, **fields) -> None:
        """Replace fields of a member."""
        self.by_id[node_id] = replace(self.by_id[node_id], **fields)

    def members_of(self, service_id):
        """Return the members sorted by node id."""
        found = (m for m in self.by_id.values() if m.service_id == service_id)
        return tuple(sorted(found, key=lambda m: m.node_id))

    def departed_of(self, service_id):
        """Return the departed members."""
        return tuple(d for d in self.departed if d.service_id == service_id)

    def member(self, node_id):
        """Return one member."""
        return self.by_id.get(node_id)

    def authority_deadline(self):
        """Return the time at which the authority to claim ends."""
        return self.authority_until


class FakeNetwork:
    """Passes requests between coordinators through the message codec.

    Attributes
    ----------
    coordinators_by_id : dict of str to ClaimCoordinator
        Coordinators of the reachable processes.
    before_delivery, before_answer : callable
        Hooks called with each request before it is delivered, and with each answer
        before it is returned. They may change the state of the mesh, or raise to
        simulate a slow or broken link.
    sent : list
        Receiver id and message of each request.
    """

    def __init__(self):
        self.coordinators_by_id: dict[str, ClaimCoordinator] = {}
        self.before_delivery: Callable = lambda receiver, message: None
        self.before_answer: Callable = lambda receiver, message: None
        self.sent: list = []

    def request(self, receiver: Member, message, *, deadline):
        """Deliver `message` and return its answer."""
        self.sent.append((receiver.node_id, message))
        coordinator = self.coordinators_by_id.get(receiver.node_id)
        if coordinator is None:
            raise LinkClosedError("no link", peer=receiver.node_id)
        self.before_delivery(receiver.node_id, message)
        reply = coordinator.answer_to(decode_message(encode_message(message)))
        self.before_answer(receiver.node_id, reply)
        return decode_message(encode_message(reply))


def lose_answer(receiver, reply) -> None:
    """Hook that drops an answer after its request was processed."""
    raise AnswerLostError("link closed", peer=receiver)


class CoordinatorMesh:
    """Coordinators of `SERVICE` on one network, each with its own member table."""

    def __init__(
        self,
        *node_ids: str,
        limits: ClaimLimits | None = None,
        coordinator_type=ClaimCoordinator,
    ):
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.limits = limits or ClaimLimits()
        self.tables: dict[str, FakeMembers] = {}
        self._coordinator_type = coordinator_type
        for node_id in node_ids:
            self.start(node_id)
        for table in self.tables.values():
            table.add(*(member(node_id) for node_id in node_ids))

    def start(self, node_id: str, *, incarnation: int = 1) -> ClaimCoordinator:
        """Start a process with an empty member table."""
        table = self.tables[node_id] = FakeMembers(self.clock)
        coordinator = self._coordinator_type(
            NodeIdentity(node_id, incarnation, SERVICE, "dc", "ashanti", "127.0.0.1:1"),
            members=table,
            requests=self.network,
            clock=self.clock,
            limits=self.limits,
        )
        self.network.coordinators_by_id[node_id] = coordinator
        return coordinator

    def join(self, node_id: str, *others: str, incarnation: int = 1) -> None:
        """Start a process; add it as recently joined to its own table and `others`.

        The rest of its own table is copied from the first of `others`.
        """
        self.start(node_id, incarnation=incarnation)
        recent = member(node_id, incarnation=incarnation, recently_joined=True)
        if others:
            self.tables[node_id].add(*self.tables[others[0]].by_id.values())
            self.tables[node_id].departed = list(self.tables[others[0]].departed)
        for table_id in (node_id, *others):
            self.tables[table_id].add(recent)

    def crash(self, node_id: str, **departure) -> None:
        """End a process; record its departure at the others if `departure` is given."""
        del self.network.coordinators_by_id[node_id]
        del self.tables[node_id]
        if departure:
            for table in self.tables.values():
                if node_id in table.by_id:
                    table.depart(node_id, **departure)

    def coordinator(self, node_id: str) -> ClaimCoordinator:
        """Return the running coordinator of a node."""
        return self.network.coordinators_by_id[node_id]

    def begin(self, node_id: str, *, key=KEY, attempt=1, fingerprint=FINGERPRINT):
        """Begin a call with a deadline of 5 s at a node."""
        return self.coordinator(node_id).begin(
            key,
            fingerprint=fingerprint,
            attempt=attempt,
            deadline=self.clock.now() + 5.0,
        )

    def run(self, node_id: str, *, key=KEY, body=b"paid") -> None:
        """Begin a first attempt and finish it."""
        assert self.begin(node_id, key=key).verdict == "run"
        assert self.coordinator(node_id).confirm(key)
        self.coordinator(node_id).finish(key, answer(body))
