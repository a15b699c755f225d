"""Detection of times during which the process ran no green thread on time."""

from collections.abc import Callable
from dataclasses import dataclass
from time import process_time

from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

# Other nodes regard a node that does not respond for 0.7 s as silent.
MIN_REPORTED_DELAY_S = 0.2


@register_event(717, level="WARNING")
@dataclass(frozen=True, slots=True)
class ProcessDelayed(Event):
    """A timer of the process fired late; all calls waited meanwhile.

    If `processor_s` is close to `delay_s`, the process itself was busy; otherwise it
    was paused or had to wait for a processor.
    """

    delay_s: float
    processor_s: float


class DelayMonitor:
    """Reports late timers.

    Parameters
    ----------
    processor_time : callable
        Returns the processor time of the process, in seconds.
    """

    def __init__(
        self, clock: Clock, *, processor_time: Callable[[], float] = process_time
    ):
        self._clock = clock
        self._processor_time = processor_time
        self._due_at = 0.0
        self._processor_s = 0.0

    def expect(self, interval_s: float) -> None:
        """Expect a call of `check` after `interval_s`."""
        self._due_at = self._clock.now() + interval_s
        self._processor_s = self._processor_time()

    def check(self) -> None:
        """Emit `ProcessDelayed` if the call is late."""
        delay_s = self._clock.now() - self._due_at
        if delay_s >= MIN_REPORTED_DELAY_S:
            used_s = self._processor_time() - self._processor_s
            emit(ProcessDelayed(round(delay_s, 3), round(used_s, 3)))
