"""Entry point of the node daemon; monkey-patches the standard library for eventlet."""

import eventlet

eventlet.monkey_patch()

import gc
import signal
from pathlib import Path

from eventlet.event import Event

from verbenawick.node._node import Node
from verbenawick.runtime._logging import configure_logging
from verbenawick.runtime._signals import ignore_signals
from verbenawick.settings._settings import load_settings

# A full collection traverses all long-lived objects, few of which become garbage after
# start-up, so it runs rarely. The younger generations are collected more often.
GC_THRESHOLDS = (5_000, 20, 100)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def run_node(path: Path) -> int:
    """Run a node until SIGTERM, SIGINT or SIGHUP; return the exit code.

    Parameters
    ----------
    path : pathlib.Path
        Settings file in JSON with comments.

    Raises
    ------
    SettingsError
        The settings are invalid; no socket was opened.
    """
    settings = load_settings(path)
    configure_logging(settings.log, node_id=settings.node_id)
    node = Node(settings)
    stop_signal = Event()

    def on_signal(number, frame):
        if not stop_signal.ready():
            stop_signal.send(number)

    for number in STOP_SIGNALS:
        # `nohup` starts a node that outlives its terminal.
        is_nohup = number is signal.SIGHUP and (
            signal.getsignal(number) is signal.SIG_IGN
        )
        if not is_nohup:
            signal.signal(number, on_signal)
    node.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    stop_signal.wait()
    node.stop()
    ignore_signals(STOP_SIGNALS)
    return 0
