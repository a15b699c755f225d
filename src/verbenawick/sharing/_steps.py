"""Recognition of the steps of running calls.

Load: an upstream that runs calls for its callers sends calls of its own, and callers
from outside compete for the same slots. A step that is refused wastes the run of the
call that waits for it, so steps are served first.

Where a configuration has workspaces, only upstreams and the callers of anonymous routes
send no key. A VM cannot tell these two apart, but a step needs a running call: at most
as many calls without a key count as steps as its own upstream is running calls.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from verbenawick.workspaces._model import MAX_PRIORITY

# Served before the priorities that a route or a workspace can have.
STEP_PRIORITY = -MAX_PRIORITY - 1


class StepRecognition:
    """Tells which calls without a key are steps of calls on the own upstream."""

    def __init__(self):
        self._open_steps = 0

    @contextmanager
    def handle(self, *, running_calls: int) -> Iterator[bool]:
        """Handle a call without a key, and yield whether it counts as a step.

        Parameters
        ----------
        running_calls : int
            Calls that the own upstream is running.
        """
        is_step = self._open_steps < running_calls
        self._open_steps += is_step
        try:
            yield is_step
        finally:
            self._open_steps -= is_step
