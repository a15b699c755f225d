"""Store requests in worker green threads, and the store watch of a region relay."""

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

MAX_CONCURRENT_STORE_CALLS = 4
MAX_PENDING_STORE_CALLS = 64
# A watch on a connection that has gone silent is noticed only after its wait and a
# time-out, and a change has to be in force within 14 s.
WATCH_WAIT_S = 6.0
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
    """The store watch of a region relay failed; it is retried after a backoff."""

    after: int
    reason: str


class StoreAccess(Protocol):
    """Interface of a blocking store client; `StoreClient` in `_store` implements it."""

    def get(self, key: str) -> StoreObject:
        """Read an object; an absent one has version 0."""
        ...

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write if the object has `expected_version`; return the new version."""
        ...

    def watch(self, prefixes: tuple[str, ...], *, after: int, wait_s: float):
        """Return the objects that changed after a revision, and the new revision."""
        ...


class StoreWorkers:
    """Runs store requests in worker green threads; implements `StorePort`.

    Parameters
    ----------
    submit : callable
        Queues a function for the control task.
    may_write : callable
        Returns whether writes are allowed; called directly before each write is sent.
    """

    def __init__(
        self,
        store: StoreAccess,
        *,
        submit: Callable[[Callable[[], None]], None],
        metrics: MetricSet,
        may_write: Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._submit = submit
        self._metrics = metrics
        self._may_write = may_write
        self._concurrency_limit = Semaphore(MAX_CONCURRENT_STORE_CALLS)
        self._pending_count = 0

    def get(self, key: str, callback: StoreCallback) -> None:
        """Read an object; see `StorePort`."""
        self._start(lambda: self._store.get(key), callback)

    def update(
        self, key: str, value: bytes, *, expected_version: int, callback: StoreCallback
    ) -> None:
        """Write an object conditionally; see `StorePort`."""

        def write():
            if not self._may_write():
                self._metrics.count(STORE_CALLS_REFUSED)
                raise LeaseNotHeldError(
                    "no held lease gives authority to write; nothing was sent",
                    step="store.update",
                    peer=key,
                )
            version = self._store.update(key, value, expected_version=expected_version)
            return StoreObject(key, value, version)

        self._start(write, callback)

    def _start(self, call, callback: StoreCallback) -> None:
        if self._pending_count >= MAX_PENDING_STORE_CALLS:
            self._metrics.count(STORE_CALLS_REFUSED)
            error = StoreUnavailableError(
                "too many pending store requests", step="store"
            )
            self._submit(lambda: callback(None, error))
            return
        self._pending_count += 1
        eventlet.spawn_n(self._run, call, callback)

    def _run(self, call, callback: StoreCallback) -> None:
        obj, failure = None, None
        try:
            with self._concurrency_limit:
                self._metrics.count(STORE_CALLS)
                obj = call()
        except VerbenawickError as error:
            failure = error
        except Exception as error:
            failure = StoreUnavailableError(repr(error), step="store.call")
        finally:
            self._pending_count -= 1
        self._submit(lambda: callback(obj, failure))


class StoreWatch:
    """Store watch of a region relay; runs as long as `should_run` returns true.

    After an error it resumes at the last revision that it received.
    """

    def __init__(
        self,
        store: StoreAccess,
        *,
        should_run: Callable[[], bool],
        deliver: Callable[[StoreObject], None],
        clock: Clock,
        random: Random,
        metrics: MetricSet,
    ):
        self._store = store
        self._should_run = should_run
        self._deliver = deliver
        self._clock = clock
        self._metrics = metrics
        self._backoff = Backoff(random)
        self._is_running = False
        self._must_reset = True
        self._next_start_at = 0.0
        self.revision = 0

    def on_tick(self) -> None:
        """Start the watch if it should run and is not running."""
        if not self._should_run():
            self._must_reset = True
        elif not self._is_running and self._clock.now() >= self._next_start_at:
            if self._must_reset:
                # A new region relay starts with all objects; one that continues after
                # an outage resumes at its last revision.
                self.revision = 0
                self._must_reset = False
            self._is_running = True
            eventlet.spawn_n(self._run)

    def _run(self) -> None:
        try:
            while self._should_run():
                self._watch_once()
                self._backoff.reset()
        except VerbenawickError as error:
            emit(WatchFailed(self.revision, str(error)))
            self._next_start_at = self._clock.now() + self._backoff.next_delay_s()
        finally:
            self._is_running = False

    def _watch_once(self) -> None:
        self._metrics.count(STORE_CALLS)
        change = self._store.watch(
            WATCHED_PREFIXES, after=self.revision, wait_s=WATCH_WAIT_S
        )
        if not self._should_run():
            return
        for obj in change.objects:
            self._deliver(obj)
        # A stale response must not decrease the revision.
        self.revision = max(self.revision, change.revision)
