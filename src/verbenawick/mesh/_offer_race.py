"""Offers of one call, which run in parallel while a gateway is silent.

Usually one offer is in progress at a time and runs in the caller's green thread. An
offer whose gateway becomes silent continues in the background while the next one runs,
and the call takes the first answer of an upstream.
"""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.hubs import get_hub
from eventlet.queue import LightQueue

from verbenawick.mesh._model import CallResult
from verbenawick.runtime._killable import returns_when_killed


@dataclass(frozen=True, slots=True)
class OfferEvent:
    """An offer has ended, or its gateway has become silent.

    Attributes
    ----------
    result : CallResult or None
        None if the gateway is silent and the offer continues in the background.
    was_silent : bool
        Whether an earlier event reported the gateway of this offer as silent.
    """

    node_id: str
    result: CallResult | None
    was_silent: bool = False


class OfferRace:
    """Runs the offers of one call; `cancel` must be called at the end."""

    __slots__ = (
        "_abandons",
        "_events",
        "_is_cancelled",
        "_next_offer",
        "_silent_count",
        "_threads",
    )

    def __init__(self):
        self._next_offer: Callable[[], OfferEvent] | None = None
        self._silent_count = 0
        # Created when the first gateway becomes silent.
        self._events: LightQueue | None = None
        self._threads: list = []
        self._abandons: list[Callable[[], None]] = []
        self._is_cancelled = False

    @property
    def has_silent(self) -> bool:
        """Return whether an offer to a silent gateway is in progress."""
        return self._silent_count > 0

    def start(self, offer: Callable[[], OfferEvent]) -> None:
        """Start the next offer; `offer` returns its event."""
        if self._silent_count:
            self._spawn(offer)
        else:
            self._next_offer = offer

    def continue_silent(
        self, wait: Callable[[], OfferEvent], *, abandon: Callable[[], None]
    ) -> None:
        """Continue an offer whose gateway has become silent.

        Parameters
        ----------
        wait : callable
            Waits for the result and returns the event for it.
        abandon : callable
            Cancels the offer; called by `cancel`, also if `wait` has returned or was
            never called.
        """
        if self._is_cancelled:
            abandon()
            return
        if self._events is None:
            self._events = LightQueue()
        self._silent_count += 1
        self._abandons.append(abandon)
        self._spawn(wait)

    def next_event(self) -> OfferEvent:
        """Return the next event of an offer in progress; there must be one."""
        if self._next_offer is not None:
            offer, self._next_offer = self._next_offer, None
            return offer()
        event = self._events.get()
        if isinstance(event, Exception):
            try:
                raise event
            finally:
                # The variable would form a reference cycle with the traceback, which
                # keeps the call and its body until the next garbage collection.
                del event
        self._silent_count -= event.was_silent
        return event

    def cancel(self) -> None:
        """Cancel the offers in progress and wait until they have ended."""
        self._is_cancelled = True
        for abandon in self._abandons:
            abandon()
        for thread in self._threads:
            get_hub().schedule_call_global(0, thread.kill)
        if self._threads:
            # The caller may leave meanwhile; its `GreenletExit` finds all scheduled.
            eventlet.sleep(0)

    def _spawn(self, offer: Callable[[], OfferEvent]) -> None:
        self._threads.append(eventlet.spawn(self._run, offer))

    @returns_when_killed
    def _run(self, offer: Callable[[], OfferEvent]) -> None:
        if self._is_cancelled:
            return
        try:
            self._events.put(offer())
        except Exception as error:
            # Raised in the green thread of the caller, which waits for an event.
            self._events.put(error)
