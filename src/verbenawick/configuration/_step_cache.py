"""Bounded cache of recent deltas and one snapshot, for peers that lag behind."""

from collections import OrderedDict
from collections.abc import Callable

from verbenawick.configuration._config_messages import DeltaStep
from verbenawick.configuration._config_state import NO_VERSION, VersionRef

MAX_CACHED_STEPS = 64
MAX_CACHED_BYTES = 1024 * 1024


class StepCache:
    """Recent deltas, keyed by the version they apply to, and one snapshot.

    When the cache is full, the oldest delta is evicted; a peer that needs it is sent
    the snapshot instead.
    """

    def __init__(self):
        self._steps_by_base: OrderedDict[VersionRef, DeltaStep] = OrderedDict()
        self._bytes = 0
        self._snapshot: tuple[VersionRef, bytes] = (NO_VERSION, b"")

    def add(self, base: VersionRef, steps: tuple[DeltaStep, ...]) -> None:
        """Add consecutive steps that start at `base`."""
        for step in steps:
            if step.version <= base.version:
                # Versions must increase; otherwise `chain` could loop forever.
                return
            if base not in self._steps_by_base:
                self._steps_by_base[base] = step
                self._bytes += len(step.delta)
            base = VersionRef(step.version, step.digest)
        while (
            len(self._steps_by_base) > MAX_CACHED_STEPS
            or self._bytes > MAX_CACHED_BYTES
        ):
            _, dropped = self._steps_by_base.popitem(last=False)
            self._bytes -= len(dropped.delta)

    def chain(self, base: VersionRef, target: VersionRef) -> tuple[DeltaStep, ...]:
        """Return the steps from `base` to `target`, or () if any is missing."""
        steps = []
        while base != target:
            step = self._steps_by_base.get(base)
            if step is None or step.version > target.version:
                return ()
            steps.append(step)
            base = VersionRef(step.version, step.digest)
        return tuple(steps)

    def last_step(self, target: VersionRef) -> tuple[VersionRef, DeltaStep | None]:
        """Return the base of the step that results in `target`, and the step.

        The step is None if it is not cached.
        """
        for base, step in reversed(self._steps_by_base.items()):
            if VersionRef(step.version, step.digest) == target:
                return base, step
        return NO_VERSION, None

    def snapshot_of(self, ref: VersionRef, encode: Callable[[], bytes]) -> bytes:
        """Return the cached snapshot of `ref`, calling `encode` if there is none."""
        if self._snapshot[0] != ref:
            self._snapshot = (ref, encode())
        return self._snapshot[1]
