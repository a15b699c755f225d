"""In-memory members and request port for the tests of the claim keepers."""

from collections.abc import Callable
from dataclasses import replace

from verbenawick.claims._claim_records import ClaimLimits
from verbenawick.claims._claims import ClaimKeeper
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


def ranked(count: int, key: str = KEY) -> list[str]:
    """Return node ids in rendezvous order for `key`, the owner first."""
    names = [f"n{number}" for number in range(count)]
    return sorted(names, key=lambda name: score_of(key, name), reverse=True)


def member(node_id: str, *, incarnation: int = 1, **fields) -> Member:
    """Return a member of `SERVICE` on loopback."""
    values = {"data_centre": "dc", "region": "ashanti", "slots": 14, **fields}
    return Member(node_id, incarnation, SERVICE, peer_address="127.0.0.1:1", **values)


class FakeMembers:
    """Member table of one node, set by the test."""

    def __init__(self, clock: ManualClock):
        self.by_id: dict[str, Member] = {}
        self.departed: list[DepartedMember] = []
        self.authority_until = clock.now() + ClaimLimits().authority_s
        self._clock = clock

    def add(self, *members: Member) -> None:
        """Enter or replace members."""
        self.by_id.update({m.node_id: m for m in members})

    def depart(self, node_id: str, *, handed_over=False, process_ended=False) -> None:
        """Move a member to the departed ones."""
        gone = self.by_id.pop(node_id)
        self.departed.append(
            DepartedMember(
                node_id,
                gone.incarnation,
                gone.service_id,
                gone.region,
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
        """Return the end of the authority."""
        return self.authority_until


class FakeNetwork:
    """Delivers requests between keepers through the codec.

    Attributes
    ----------
    keepers_by_id : dict of str to ClaimKeeper
        Reachable processes.
    before_delivery, before_answer : callable
        Called with each request before it is delivered, and with each answer before it
        is returned; may change the world or raise, as a slow or broken link would.
    sent : list
        Receiver and message of each request.
    """

    def __init__(self):
        self.keepers_by_id: dict[str, ClaimKeeper] = {}
        self.before_delivery: Callable = lambda receiver, message: None
        self.before_answer: Callable = lambda receiver, message: None
        self.sent: list = []

    def request(self, receiver: Member, message, *, deadline):
        """Deliver `message` and return the answer."""
        self.sent.append((receiver.node_id, message))
        keeper = self.keepers_by_id.get(receiver.node_id)
        if keeper is None:
            raise LinkClosedError("no link", peer=receiver.node_id)
        self.before_delivery(receiver.node_id, message)
        reply = keeper.answer_to(decode_message(encode_message(message)))
        self.before_answer(receiver.node_id, reply)
        return decode_message(encode_message(reply))


def lose_answer(receiver, reply) -> None:
    """Hook that loses an answer after its request took effect."""
    raise AnswerLostError("link closed", peer=receiver)


class Mesh:
    """Keepers of `SERVICE`, each with its own member table, and one network."""

    def __init__(
        self, *node_ids: str, limits: ClaimLimits | None = None, keeper=ClaimKeeper
    ):
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.limits = limits or ClaimLimits()
        self.tables: dict[str, FakeMembers] = {}
        self._keeper = keeper
        for node_id in node_ids:
            self.start(node_id)
        for table in self.tables.values():
            table.add(*(member(node_id) for node_id in node_ids))

    def start(self, node_id: str, *, incarnation: int = 1) -> ClaimKeeper:
        """Start a process with an empty member table of its own."""
        table = self.tables[node_id] = FakeMembers(self.clock)
        keeper = self._keeper(
            NodeIdentity(node_id, incarnation, SERVICE, "dc", "ashanti", "127.0.0.1:1"),
            members=table,
            requests=self.network,
            clock=self.clock,
            limits=self.limits,
        )
        self.network.keepers_by_id[node_id] = keeper
        return keeper

    def join(self, node_id: str, *others: str, incarnation: int = 1) -> None:
        """Start a process and enter it as recent at itself and at `others`.

        Its own table shows the members that `others` show and is copied from the first.
        """
        self.start(node_id, incarnation=incarnation)
        recent = member(node_id, incarnation=incarnation, recently_joined=True)
        if others:
            self.tables[node_id].add(*self.tables[others[0]].by_id.values())
            self.tables[node_id].departed = list(self.tables[others[0]].departed)
        for table_id in (node_id, *others):
            self.tables[table_id].add(recent)

    def crash(self, node_id: str, **departure) -> None:
        """End a process; enter its departure at the others when it is described."""
        del self.network.keepers_by_id[node_id]
        del self.tables[node_id]
        if departure:
            for table in self.tables.values():
                if node_id in table.by_id:
                    table.depart(node_id, **departure)

    def keeper(self, node_id: str) -> ClaimKeeper:
        """Return the running keeper of a node."""
        return self.network.keepers_by_id[node_id]

    def begin(self, node_id: str, *, key=KEY, attempt=1, fingerprint=FINGERPRINT):
        """Begin a call of 5 s at a node."""
        return self.keeper(node_id).begin(
            key,
            fingerprint=fingerprint,
            attempt=attempt,
            deadline=self.clock.now() + 5.0,
        )

    def run(self, node_id: str, *, key=KEY, body=b"paid") -> None:
        """Begin a first attempt and finish it."""
        assert self.begin(node_id, key=key).verdict == "run"
        assert self.keeper(node_id).confirm(key)
        self.keeper(node_id).finish(key, answer(body))
