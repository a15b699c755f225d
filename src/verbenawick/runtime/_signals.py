"""Signals of a process that has no handlers yet, or that is about to end."""

import signal
from collections.abc import Iterable


def ignore_signals(numbers: Iterable[signal.Signals]) -> None:
    """Ignore signals from now on, also while the interpreter ends.

    The interpreter restores the default action of signals that have a handler before
    it ends, so a further signal would still change the exit code.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
