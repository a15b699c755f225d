"""Reading of accepted configuration from the store, done by region relays."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from verbenawick.configuration._config_messages import DeltaStep
from verbenawick.configuration._config_state import NO_VERSION, VersionRef
from verbenawick.errors import VerbenawickError
from verbenawick.links._component import StoreObject, StorePort
from verbenawick.runtime._events import Event, emit, register_event

# Maximum number of changes read one by one. For longer chains, reading one snapshot
# takes fewer store calls.
MAX_CHAIN_LENGTH = 16


@register_event(358, level="WARNING")
@dataclass(frozen=True, slots=True)
class FeedReadFailed(Event):
    """Reading the accepted configuration failed; it will be retried."""

    key: str
    code: str
    reason: str


@dataclass(frozen=True, slots=True)
class HeadInfo:
    """The fields of `config/head` used by distribution.

    Attributes
    ----------
    base : VersionRef
        Version that `delta` applies to.
    delta : bytes
        Delta of the last change; empty if it is too large to be stored inline.
    """

    ref: VersionRef
    base: VersionRef
    delta: bytes
    change_key: str
    snapshot_key: str


@dataclass(frozen=True, slots=True)
class ChangeInfo:
    """The fields of a `config/change/<change id>` object used by distribution."""

    ref: VersionRef
    base: VersionRef
    delta: bytes
    parent_key: str


class FeedCodec(Protocol):
    """Decoder of the configuration objects in the store."""

    def parse_head(self, value: bytes) -> HeadInfo:
        """Decode the value of `config/head`."""
        ...

    def parse_change(self, value: bytes) -> ChangeInfo:
        """Decode the value of a change object."""
        ...


@dataclass(frozen=True, slots=True)
class FeedResult:
    """A version read from the store: steps on a base, or a snapshot."""

    ref: VersionRef
    base: VersionRef = NO_VERSION
    steps: tuple[DeltaStep, ...] = ()
    snapshot: bytes = b""


class ConfigFeed:
    """Reads the head's version as inline delta, chain of changes or snapshot."""

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
        """Read the version of `head`; `on_read` is called with None on failure."""
        self.is_reading = True

        def on_finished(result: FeedResult | None) -> None:
            self.is_reading = False
            on_read(result)

        versions_behind = head.ref.version - held.version
        if wants_snapshot or held == NO_VERSION or versions_behind > MAX_CHAIN_LENGTH:
            self._read_snapshot(head, on_finished)
        elif head.delta and head.base == held:
            step = DeltaStep(head.ref.version, head.ref.digest, head.delta)
            on_finished(FeedResult(head.ref, held, (step,)))
        else:
            self._read_chain(head, held, on_finished)

    def _read_chain(self, head: HeadInfo, held: VersionRef, on_finished) -> None:
        steps: list[DeltaStep] = []

        def on_change(obj: StoreObject | None, error: VerbenawickError | None) -> None:
            if error is not None:
                _log_read_failure(head.change_key, error)
                on_finished(None)
                return
            if obj.version == 0:
                # Either the read was stale or the change was pruned; use the snapshot.
                self._read_snapshot(head, on_finished)
                return
            change = self._codec.parse_change(obj.value)
            step = DeltaStep(change.ref.version, change.ref.digest, change.delta)
            steps.insert(0, step)
            if change.base == held:
                on_finished(FeedResult(head.ref, held, tuple(steps)))
            elif change.base.version <= held.version or not change.parent_key:
                self._read_snapshot(head, on_finished)
            else:
                self._store.get(change.parent_key, on_change)

        self._store.get(head.change_key, on_change)

    def _read_snapshot(self, head: HeadInfo, on_finished) -> None:
        def on_snapshot(obj: StoreObject | None, error: VerbenawickError | None):
            if error is not None:
                _log_read_failure(head.snapshot_key, error)
                on_finished(None)
            elif obj.version == 0:
                on_finished(None)
            else:
                on_finished(FeedResult(head.ref, snapshot=obj.value))

        self._store.get(head.snapshot_key, on_snapshot)


def _log_read_failure(key: str, error: VerbenawickError) -> None:
    emit(FeedReadFailed(key, error.code, error.message))
