"""Forecast of when the slots of an upstream become free.

Load: long calls occupy the slots while short ones wait. A short call that is granted a
slot soon frees it for the next, so a queue of short calls is not judged by the time of
the running ones. Does no I/O and reads no clock.
"""

from heapq import heapify, heapreplace


class SlotForecast:
    """Expected waits of calls, asked in the order in which they are granted slots.

    Parameters
    ----------
    slots, running : int
        Slots of the upstream, and how many of them are in use.
    service_s : float
        Expected service time of the running calls, seconds. Their ends are assumed to
        be spread evenly over it.
    """

    def __init__(self, *, slots: int, running: int, service_s: float):
        slots = max(slots, 1)
        first_end = running - slots + 1
        self._free_in_s = [
            max(first_end + index, 0) * service_s / slots for index in range(slots)
        ]
        heapify(self._free_in_s)

    def wait_s(self) -> float:
        """Return the time until the next slot becomes free, in seconds."""
        return self._free_in_s[0]

    def add(self, service_s: float) -> None:
        """Let a call occupy the next slot for `service_s` seconds."""
        heapreplace(self._free_in_s, self._free_in_s[0] + service_s)
