"""Reads of the accepted configuration from the store by the region relay."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from verbenawick.configuration._config_messages import DeltaStep
from verbenawick.configuration._config_state import NO_VERSION, VersionRef
from verbenawick.errors import VerbenawickError
from verbenawick.links._component import StoreObject, StorePort
from verbenawick.runtime._events import Event, emit, register_event

# Beyond this many changes one snapshot costs fewer store calls than the chain.
MAX_CHAIN_LENGTH = 16


@register_event(358, level="WARNING")
@dataclass(frozen=True, slots=True)
class FeedReadFailed(Event):
    """The accepted configuration could not be read; it is tried again."""

    key: str
    code: str
    reason: str


@dataclass(frozen=True, slots=True)
class HeadInfo:
    """What distribution needs of `config/head`.

    Attributes
    ----------
    base : VersionRef
        Version that `delta` applies to.
    delta : bytes
        Delta of the last change; empty when it is too large to be inline.
    """

    ref: VersionRef
    base: VersionRef
    delta: bytes
    change_key: str
    snapshot_key: str


@dataclass(frozen=True, slots=True)
class ChangeInfo:
    """What distribution needs of a `config/change/<change id>` object."""

    ref: VersionRef
    base: VersionRef
    delta: bytes
    parent_key: str


class FeedCodec(Protocol):
    """Decodes the store's configuration objects."""

    def parse_head(self, value: bytes) -> HeadInfo:
        """Return what `config/head` says."""
        ...

    def parse_change(self, value: bytes) -> ChangeInfo:
        """Return what a change object says."""
        ...


@dataclass(frozen=True, slots=True)
class FeedResult:
    """A version read from the store: steps on a base, or a snapshot."""

    ref: VersionRef
    base: VersionRef = NO_VERSION
    steps: tuple[DeltaStep, ...] = ()
    snapshot: bytes = b""


class ConfigFeed:
    """Reads the version of a head: inline delta, chain of changes, or snapshot."""

    def __init__(self, *, store: StorePort, codec: FeedCodec):
        self._store = store
        self._codec = codec
        self.is_reading = False

    def read(
        self,
        head: HeadInfo,
        held: VersionRef,
        on_read: Callable[[FeedResult | None], None],
        *,
        wants_snapshot: bool = False,
    ) -> None:
        """Read the version of `head`; `on_read` gets None when a read failed."""
        self.is_reading = True

        def finish(result: FeedResult | None) -> None:
            self.is_reading = False
            on_read(result)

        gap = head.ref.version - held.version
        if wants_snapshot or held == NO_VERSION or gap > MAX_CHAIN_LENGTH:
            self._read_snapshot(head, finish)
        elif head.delta and head.base == held:
            step = DeltaStep(head.ref.version, head.ref.digest, head.delta)
            finish(FeedResult(head.ref, held, (step,)))
        else:
            self._read_chain(head, held, finish)

    def _read_chain(self, head: HeadInfo, held: VersionRef, finish) -> None:
        steps: list[DeltaStep] = []

        def on_change(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            if error is not None:
                _report(head.change_key, error)
                finish(None)
                return
            if obj.version == 0:
                # A stale read, or a change that was removed; the snapshot remains.
                self._read_snapshot(head, finish)
                return
            change = self._codec.parse_change(obj.value)
            step = DeltaStep(change.ref.version, change.ref.digest, change.delta)
            steps.insert(0, step)
            if change.base == held:
                finish(FeedResult(head.ref, held, tuple(steps)))
            elif change.base.version <= held.version or not change.parent_key:
                self._read_snapshot(head, finish)
            else:
                self._store.get(change.parent_key, on_change)

        self._store.get(head.change_key, on_change)

    def _read_snapshot(self, head: HeadInfo, finish) -> None:
        def on_snapshot(obj: StoreObject | None, error: VerbenawickError | None):
            if error is not None:
                _report(head.snapshot_key, error)
                finish(None)
            elif obj.version == 0:
                finish(None)
            else:
                finish(FeedResult(head.ref, snapshot=obj.value))

        self._store.get(head.snapshot_key, on_snapshot)


def _report(key: str, error: VerbenawickError) -> None:
    emit(FeedReadFailed(key, error.code, error.message))
