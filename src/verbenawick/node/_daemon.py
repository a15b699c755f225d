"""Entry point of the node daemon; patches the standard library for eventlet."""

import eventlet

eventlet.monkey_patch()

import gc
import signal
from pathlib import Path

from eventlet.event import Event

from verbenawick.node._node import Node
from verbenawick.runtime._logging import configure_logging
from verbenawick.settings._settings import load_settings

# A full collection walks all long-lived objects; after start-up few of them die, so it
# runs rarely. Younger generations keep their usual thresholds.
GC_THRESHOLDS = (5_000, 20, 100)


def run_node(path: Path) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    path : pathlib.Path
        Settings file, JSON with comments.

    Raises
    ------
    SettingsError
        The settings break a rule; no socket was opened.
    """
    settings = load_settings(path)
    configure_logging(settings.log, node_id=settings.node_id)
    node = Node(settings)
    stopping = Event()

    def on_signal(number, frame):
        if not stopping.ready():
            stopping.send(number)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    node.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    stopping.wait()
    node.stop()
    return 0
