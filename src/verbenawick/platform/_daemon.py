"""Entry point of the node daemon on the users' platform."""

import os

# Addresses are IP numbers; the resolver would cost a third of the memory at start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet

eventlet.monkey_patch()

import gc
import signal
from pathlib import Path

from eventlet.event import Event

from verbenawick.errors import SettingsError
from verbenawick.mesh._log_output import LogOutput, configure_log_output
from verbenawick.mesh._settings import load_mesh_settings
from verbenawick.platform._node_server import NodeServer

# After start-up few long-lived objects die, so full collections run rarely.
GC_THRESHOLDS = (20_000, 20, 100)
SETTINGS_CHECK_INTERVAL_S = 1.0


def run_platform_node(path: Path) -> int:
    """Run a node until SIGTERM; return the exit code.

    Raises
    ------
    SettingsError
        The settings break a rule; no socket was opened.
    """
    settings = load_mesh_settings(path)
    output = LogOutput()
    configure_log_output(output, node_id=settings.node_id, level=settings.log_level)
    eventlet.spawn_n(output.run)
    server = NodeServer(settings)
    stopping = Event()
    reloading: list[str] = []

    def on_stop(number, frame):
        if not stopping.ready():
            stopping.send(number)

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, lambda number, frame: reloading.append("signal"))
    server.start()
    eventlet.spawn_n(_follow_settings, server, path, reloading)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    stopping.wait()
    server.stop()
    output.flush()
    return 0


def _follow_settings(server: NodeServer, path: Path, reloading: list[str]) -> None:
    """Read the settings again after SIGHUP and when the file has changed."""
    known = _fingerprint(path)
    while True:
        eventlet.sleep(SETTINGS_CHECK_INTERVAL_S)
        current = _fingerprint(path)
        if not reloading and current == known:
            continue
        cause = reloading.pop() if reloading else "file"
        reloading.clear()
        known = current
        try:
            server.node.reload(load_mesh_settings(path), cause=cause)
        except SettingsError as error:
            server.node.reject_settings(str(error))


def _fingerprint(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
