"""Tasks that follow the store: the configuration, and the records of upstreams.

Each task owns its connection. A watch returns soon even without a change, so that a
connection that went silent is noticed within `WATCH_WAIT_S` and a little more.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import eventlet

from verbenawick._events import Event, emit, register_event
from verbenawick.errors import StoreHistoryGoneError, VerbenawickError
from verbenawick.mesh._model import MeshConfiguration
from verbenawick.mesh._state_store import RecordChange, StateStore

# Below the 3 s after the end of a fault within which a node has to be up to date again.
WATCH_WAIT_S = 2.4
# Changes in quick succession are fetched together: a call to the store costs more than
# a second of delay, and a configuration has 2 s to come into force.
CONFIGURATION_PAUSE_S = 0.9
RECORDS_PAUSE_S = 0.3
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0


@register_event(740, level="WARNING")
@dataclass(frozen=True, slots=True)
class StoreLost(Event):
    """The store does not answer; the node goes on with what it knows."""

    subject: str
    revision: int
    reason: str


@register_event(741)
@dataclass(frozen=True, slots=True)
class StoreRegained(Event):
    """The store answers again."""

    subject: str
    revision: int


@register_event(742, level="WARNING")
@dataclass(frozen=True, slots=True)
class HistoryGone(Event):
    """The store no longer knows the changes after a revision; all is read again."""

    subject: str
    revision: int


class _Follower:
    """Reads once, then watches; subclasses say what."""

    subject = ""
    pause_s = 0.0

    def __init__(self, store: StateStore, *, random: Random):
        self._store = store
        self._random = random
        self._revision = 0
        self._failures = 0

    @property
    def has_read(self) -> bool:
        """Return whether the store has answered at least once."""
        return self._revision > 0

    def run(self) -> None:
        """Follow the store until the green thread is killed."""
        while True:
            try:
                has_changed = self._step()
            except StoreHistoryGoneError:
                emit(HistoryGone(self.subject, self._revision))
                self._revision = 0
                continue
            except VerbenawickError as error:
                self._on_failure(error)
                continue
            if self._failures:
                emit(StoreRegained(self.subject, self._revision))
                self._failures = 0
            if has_changed:
                eventlet.sleep(self.pause_s)

    def _on_failure(self, error: VerbenawickError) -> None:
        if not self._failures:
            emit(StoreLost(self.subject, self._revision, str(error)))
        self._failures += 1
        wait_s = min(FIRST_RETRY_S * 2**self._failures, LONGEST_RETRY_S)
        # Nodes that lost the store together come back spread over the wait.
        eventlet.sleep(wait_s * (0.5 + 0.5 * self._random.random()))

    def _step(self) -> bool:
        raise NotImplementedError


class ConfigurationFollower(_Follower):
    """Brings each accepted configuration to `apply`."""

    subject = "configuration"
    pause_s = CONFIGURATION_PAUSE_S

    def __init__(
        self,
        store: StateStore,
        *,
        random: Random,
        apply: Callable[[MeshConfiguration], None],
    ):
        super().__init__(store, random=random)
        self._apply = apply

    def _step(self) -> bool:
        if not self._revision:
            change = self._store.read_configuration()
        else:
            change = self._store.watch_configuration(
                self._revision, wait_s=WATCH_WAIT_S
            )
        if change.configuration is not None:
            self._apply(change.configuration)
        if change.configuration is not None or change.revision:
            self._revision = max(self._revision, change.revision)
        return change.configuration is not None


class RecordFollower(_Follower):
    """Brings the records of upstreams to `apply`."""

    subject = "records"
    pause_s = RECORDS_PAUSE_S

    def __init__(
        self,
        store: StateStore,
        *,
        random: Random,
        apply: Callable[[RecordChange], None],
    ):
        super().__init__(store, random=random)
        self._apply = apply

    def _step(self) -> bool:
        if not self._revision:
            change = self._store.read_records()
        else:
            change = self._store.watch_records(self._revision, wait_s=WATCH_WAIT_S)
        if change.revision < self._revision:
            # An answer from before what is known already.
            return bool(change.records_by_node_id)
        self._revision = change.revision
        if change.records_by_node_id or change.is_complete:
            self._apply(change)
        return bool(change.records_by_node_id)
