"""Exponentially weighted moving averages."""

from dataclasses import dataclass


@dataclass(slots=True)
class MovingAverage:
    """Exponentially weighted moving average.

    Attributes
    ----------
    weight : float
        Weight of a new sample, above 0 and at most 1. The average covers about
        ``1 / weight`` samples.
    value : float or None
        The average; None before the first sample if no initial value was given.
    """

    weight: float
    value: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample; without an initial value, the first one becomes the average."""
        if self.value is None:
            self.value = sample
        else:
            self.value += self.weight * (sample - self.value)


class MovingAverages:
    """A bounded collection of moving averages by name, such as one per route.

    Parameters
    ----------
    weight : float
        Weight of a new sample.
    max_names : int
        When a new name would exceed this number, all averages are cleared.
    """

    def __init__(self, weight: float, *, max_names: int = 2000):
        self._weight = weight
        self._max_names = max_names
        self._averages_by_name: dict[str, MovingAverage] = {}

    def add(self, name: str, sample: float) -> None:
        """Add a sample to the average of `name`."""
        average = self._averages_by_name.get(name)
        if average is None:
            if len(self._averages_by_name) >= self._max_names:
                self._averages_by_name.clear()
            average = self._averages_by_name[name] = MovingAverage(self._weight)
        average.add(sample)

    def value(self, name: str) -> float | None:
        """Return the average of `name`; None before its first sample."""
        average = self._averages_by_name.get(name)
        return None if average is None else average.value
