"""Age of a node's knowledge that its configuration is the latest one."""

from dataclasses import dataclass

from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

# A node with a working relay, or a working watch of its own, is never older.
UNCONFIRMED_AFTER_S = 1.5

UNCONFIRMED_S = register_metric(
    "mesh.configuration_unconfirmed_s",
    MetricKind.GAUGE,
    "seconds",
    "Time since the version in force was known to be the latest",
)


@register_event(753, level="WARNING")
@dataclass(frozen=True, slots=True)
class ConfigurationUnconfirmed(Event):
    """Neither the store nor a relay has confirmed the version in force for `age_s`.

    `source` is the one that the node relies on, as in `ConfigurationSourceChanged`.
    """

    version: int
    age_s: float
    source: str
    relay: str


@register_event(754)
@dataclass(frozen=True, slots=True)
class ConfigurationConfirmed(Event):
    """The version in force is known to be the latest again, after `age_s`."""

    version: int
    age_s: float
    source: str
    relay: str


class Confirmation:
    """Logs when the version in force becomes unconfirmed, and when it is confirmed."""

    def __init__(self, *, clock: Clock, metrics: MetricSet):
        self._clock = clock
        self._metrics = metrics
        self._confirmed_at = clock.now()
        # When the version was last confirmed before it became unconfirmed; None while
        # it is confirmed.
        self._unconfirmed_since: float | None = None

    def confirm(self) -> None:
        """Record that the version in force is the latest."""
        self._confirmed_at = self._clock.now()

    @property
    def is_overdue(self) -> bool:
        """Return whether the version in force is unconfirmed."""
        return self._clock.now() - self._confirmed_at > UNCONFIRMED_AFTER_S

    def check(self, *, version: int, source: str, relay: str) -> None:
        """Log a change since the last check, and update the gauge."""
        age_s = self._clock.now() - self._confirmed_at
        self._metrics.gauge(UNCONFIRMED_S, round(age_s, 3))
        if self._unconfirmed_since is None:
            if age_s > UNCONFIRMED_AFTER_S:
                self._unconfirmed_since = self._confirmed_at
                emit(ConfigurationUnconfirmed(version, round(age_s, 3), source, relay))
        elif age_s <= UNCONFIRMED_AFTER_S:
            unconfirmed_s = self._confirmed_at - self._unconfirmed_since
            self._unconfirmed_since = None
            emit(
                ConfigurationConfirmed(version, round(unconfirmed_s, 3), source, relay)
            )
