"""Requests to the store in worker green threads, and the region's store watch."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import eventlet
from eventlet.semaphore import Semaphore

from verbenawick.errors import (
    LeaseNotHeldError,
    StoreUnavailableError,
    VerbenawickError,
)
from verbenawick.links._component import StoreCallback, StoreObject
from verbenawick.runtime._backoff import Backoff
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

MAX_STORE_CALLS = 4
MAX_WAITING_STORE_CALLS = 64
WATCH_WAIT_S = 30.0
WATCHED_PREFIXES = ("config/head", "members/", "quarantine/")

STORE_CALLS = register_metric(
    "control.store_calls", MetricKind.COUNTER, "calls", "Requests to the store"
)
STORE_CALLS_REFUSED = register_metric(
    "control.store_calls_refused",
    MetricKind.COUNTER,
    "calls",
    "Requests to the store that were refused at the bound or without a lease",
)


@register_event(322, level="WARNING")
@dataclass(frozen=True, slots=True)
class WatchFailed(Event):
    """The region's store watch failed; it is resumed after a backoff."""

    after: int
    reason: str


class StoreAccess(Protocol):
    """Blocking store client; implemented by `StoreClient` in `_store`."""

    def get(self, key: str) -> StoreObject:
        """Read one object; an absent one has version 0."""
        ...

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write if the object's version is `expected_version`; return the new one."""
        ...

    def watch(self, prefixes: tuple[str, ...], *, after: int, wait_s: float):
        """Return the revision and the objects changed after `after`."""
        ...


class StoreWorkers:
    """Runs requests to the store in worker green threads.

    Parameters
    ----------
    post : callable
        Puts a call into the control task's mailbox.
    may_write : callable
        Checked immediately before each write is sent.
    """

    def __init__(
        self,
        store: StoreAccess,
        *,
        post: Callable[[Callable[[], None]], None],
        metrics: MetricSet,
        may_write: Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._post = post
        self._metrics = metrics
        self._may_write = may_write
        self._slots = Semaphore(MAX_STORE_CALLS)
        self._waiting = 0

    def get(self, key: str, callback: StoreCallback) -> None:
        """Read one object; see `StorePort`."""
        self._start(lambda: self._store.get(key), callback)

    def update(
        self, key: str, value: bytes, *, expected_version: int, callback: StoreCallback
    ) -> None:
        """Write one object conditionally; see `StorePort`."""

        def write():
            if not self._may_write():
                self._metrics.count(STORE_CALLS_REFUSED)
                raise LeaseNotHeldError(
                    "no lease gives authority to write now; nothing was sent",
                    step="store.update",
                    peer=key,
                )
            version = self._store.update(key, value, expected_version=expected_version)
            return StoreObject(key, value, version)

        self._start(write, callback)

    def _start(self, call, callback: StoreCallback) -> None:
        if self._waiting >= MAX_WAITING_STORE_CALLS:
            self._metrics.count(STORE_CALLS_REFUSED)
            error = StoreUnavailableError("too many store requests wait", step="store")
            self._post(lambda: callback(None, error))
            return
        self._waiting += 1
        eventlet.spawn_n(self._run, call, callback)

    def _run(self, call, callback: StoreCallback) -> None:
        obj, failure = None, None
        try:
            with self._slots:
                self._metrics.count(STORE_CALLS)
                obj = call()
        except VerbenawickError as error:
            failure = error
        except Exception as error:
            failure = StoreUnavailableError(repr(error), step="store.call")
        finally:
            self._waiting -= 1
        self._post(lambda: callback(obj, failure))


class StoreWatch:
    """The one waiting watch of a region relay; runs while `is_wanted` holds.

    After an error it resumes from the last revision that it saw.
    """

    def __init__(
        self,
        store: StoreAccess,
        *,
        is_wanted: Callable[[], bool],
        deliver: Callable[[StoreObject], None],
        clock: Clock,
        random: Random,
        metrics: MetricSet,
    ):
        self._store = store
        self._is_wanted = is_wanted
        self._deliver = deliver
        self._clock = clock
        self._metrics = metrics
        self._backoff = Backoff(random)
        self._is_running = False
        self._is_fresh = True
        self._next_at = 0.0
        self.revision = 0

    def on_tick(self) -> None:
        """Start the watch when it is wanted and not running."""
        if not self._is_wanted():
            self._is_fresh = True
        elif not self._is_running and self._clock.now() >= self._next_at:
            if self._is_fresh:
                # A new region relay reads everything; one that goes on after an
                # outage resumes where it was.
                self.revision = 0
                self._is_fresh = False
            self._is_running = True
            eventlet.spawn_n(self._run)

    def _run(self) -> None:
        try:
            while self._is_wanted():
                self._watch_once()
                self._backoff.reset()
        except VerbenawickError as error:
            emit(WatchFailed(self.revision, str(error)))
            self._next_at = self._clock.now() + self._backoff.next_wait_s()
        finally:
            self._is_running = False

    def _watch_once(self) -> None:
        self._metrics.count(STORE_CALLS)
        change = self._store.watch(
            WATCHED_PREFIXES, after=self.revision, wait_s=WATCH_WAIT_S
        )
        if not self._is_wanted():
            return
        for obj in change.objects:
            self._deliver(obj)
        # A stale answer must not move the watch back.
        self.revision = max(self.revision, change.revision)
