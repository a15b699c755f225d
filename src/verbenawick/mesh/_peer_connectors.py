"""Tasks that keep links to other nodes open, so that calls need not dial."""

from random import Random

import eventlet
from eventlet.event import Event

from verbenawick.errors import LinkClosedError
from verbenawick.links._call_links import CallLinks
from verbenawick.links._members import Member
from verbenawick.mesh._node_events import PeerLost, PeerReached
from verbenawick.runtime._events import emit

BASE_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0


class PeerConnectors:
    """Runs one task per node, which redials with exponential backoff."""

    def __init__(self, links: CallLinks, *, random: Random):
        self._links = links
        self._random = random
        self._tasks_by_node_id: dict[str, tuple[str, object]] = {}
        self._first_dials_by_node_id: dict[str, Event] = {}
        self._any_first_dial_ended = Event()

    def has(self, node_id: str) -> bool:
        """Return whether a task keeps a link to a node open."""
        return node_id in self._tasks_by_node_id

    def ensure_connector(self, member: Member) -> None:
        """Keep a link open to the current address of the node `member`."""
        address, task = self._tasks_by_node_id.get(member.node_id, ("", None))
        if address == member.peer_address:
            return
        if task is not None:
            # A direct kill would run other green threads between the changes that the
            # caller makes.
            eventlet.spawn_n(task.kill)
        first_dial = self._first_dials_by_node_id[member.node_id] = Event()
        task = eventlet.spawn(self._maintain_link, member, first_dial)
        self._tasks_by_node_id[member.node_id] = (member.peer_address, task)

    def wait_for_first_dial(self, node_id: str, *, timeout_s: float) -> None:
        """Wait until the first dial of a connector has succeeded or failed."""
        first_dial = self._first_dials_by_node_id.get(node_id)
        if first_dial is not None:
            first_dial.wait(timeout=timeout_s)

    def wait_for_any_first_dial(self, *, timeout_s: float) -> None:
        """Wait until one of the first dials has ended, or for `timeout_s`."""
        self._any_first_dial_ended.wait(timeout=timeout_s)

    def is_opening(self, node_id: str) -> bool:
        """Return whether the first dial of a connector is in progress.

        False during further dials, since the node is then probably down.
        """
        first_dial = self._first_dials_by_node_id.get(node_id)
        return first_dial is not None and not first_dial.ready()

    def stop_connector(self, node_id: str) -> None:
        """Stop dialling a node; an open link stays until the peer closes it."""
        _, task = self._tasks_by_node_id.pop(node_id, ("", None))
        first_dial = self._first_dials_by_node_id.pop(node_id, None)
        if first_dial is not None:
            self._end_first_dial(first_dial)
        if task is not None:
            eventlet.spawn_n(task.kill)

    def close(self) -> None:
        """Stop all tasks."""
        for node_id in list(self._tasks_by_node_id):
            self.stop_connector(node_id)

    def _maintain_link(self, member: Member, first_dial: Event) -> None:
        failures = 0
        while True:
            try:
                self._links.connect(member)
                emit(PeerReached(member.node_id))
                failures = 0
                self._end_first_dial(first_dial)
                self._links.wait_until_closed(member.peer_address)
                emit(PeerLost(member.node_id, "link closed"))
                eventlet.sleep(BASE_REDIAL_DELAY_S * self._random.random())
            except LinkClosedError as error:
                failures += 1
                self._end_first_dial(first_dial)
                if failures == 1:
                    emit(PeerLost(member.node_id, str(error)))
                wait_s = min(BASE_REDIAL_DELAY_S * 2**failures, MAX_REDIAL_DELAY_S)
                eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))

    def _end_first_dial(self, first_dial: Event) -> None:
        if first_dial.ready():
            return
        first_dial.send(True)
        any_ended, self._any_first_dial_ended = self._any_first_dial_ended, Event()
        any_ended.send(True)
