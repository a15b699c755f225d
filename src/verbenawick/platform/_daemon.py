"""Entry point of the node daemon on the users' platform."""

import os

# All addresses are IP addresses, so the green DNS resolver is not needed; loading it
# would take a third of the memory used at start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet

# Locks stay those of the standard library: the node has one thread and never switches
# green threads while it holds one. Replacing them would traverse all objects in memory,
# which takes a fifth of the processor time of a start. A node starts no processes, and
# its log is written without waiting, which a patched `os.write` does for each line.
eventlet.monkey_patch(select=True, socket=True, time=True)

import gc
import signal
from pathlib import Path
from time import monotonic

from eventlet.event import Event

from verbenawick.errors import SettingsError
from verbenawick.mesh._log_output import LogOutput, configure_log_output
from verbenawick.mesh._settings import MeshSettings, load_mesh_settings
from verbenawick.platform._events import AddressesUsed, NodeFailed
from verbenawick.platform._node_server import NodeServer
from verbenawick.runtime._events import emit
from verbenawick.runtime._process_start import PROCESS_BEGAN_AT
from verbenawick.runtime._signals import ignore_signals
from verbenawick.runtime._sockets import is_used

# After start-up few long-lived objects become garbage, so full collections are made
# rare.
GC_THRESHOLDS = (20_000, 20, 100)
SETTINGS_POLL_INTERVAL_S = 1.0
# Longest wait at the start for a settings file that is still being written, and for
# addresses that another process or connection uses.
SETTINGS_WAIT_S = 1.0
ADDRESS_WAIT_S = 10.0
START_RETRY_INTERVAL_S = 0.05
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_platform_node(path: Path) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    Raises
    ------
    SettingsError
        The settings are invalid; no socket was opened.
    """
    output = LogOutput()
    configure_log_output(output, node_id="", level="INFO")
    eventlet.spawn_n(output.run)
    try:
        _run(path, output)
    except Exception as error:
        emit(NodeFailed(repr(error)))
        raise
    finally:
        output.flush()
    ignore_signals((*STOP_SIGNALS, signal.SIGHUP))
    return 0


def _run(path: Path, output: LogOutput) -> None:
    reload_causes: list[str] = []
    signal.signal(signal.SIGHUP, lambda number, frame: reload_causes.append("signal"))
    stop_requested = Event()

    def request_stop(number, frame):
        if not stop_requested.ready():
            stop_requested.send(number)

    for number in STOP_SIGNALS:
        signal.signal(number, request_stop)
    fingerprint, settings = _load_complete_settings(path)
    configure_log_output(output, node_id=settings.node_id, level=settings.log_level)
    _wait_for_addresses(settings, stop_requested)
    if stop_requested.ready():
        return
    server = NodeServer(settings, process_began_at=PROCESS_BEGAN_AT)
    server.start()
    eventlet.spawn_n(_watch_settings, server, path, reload_causes, fingerprint)
    # A collection first would take a tenth of the processor time of the start, and free
    # 0.3 MB.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    stop_requested.wait()
    server.stop()


def _load_complete_settings(path: Path) -> tuple[tuple[int, int], MeshSettings]:
    """Return the fingerprint of the settings file and the settings."""
    deadline = monotonic() + SETTINGS_WAIT_S
    while True:
        fingerprint = _file_fingerprint(path)
        try:
            return fingerprint, load_mesh_settings(path)
        except SettingsError:
            if monotonic() >= deadline:
                raise
        eventlet.sleep(START_RETRY_INTERVAL_S)


def _wait_for_addresses(settings: MeshSettings, stop_requested: Event) -> None:
    """Wait until the listeners can be opened, a stop is requested, or for some time."""
    deadline = monotonic() + ADDRESS_WAIT_S
    is_logged = False
    while monotonic() < deadline and not stop_requested.ready():
        used = [a for a in settings.listener_addresses if is_used(a)]
        if not used:
            return
        if not is_logged:
            is_logged = True
            emit(AddressesUsed(",".join(used)))
        eventlet.sleep(START_RETRY_INTERVAL_S)


def _watch_settings(
    server: NodeServer,
    path: Path,
    reload_causes: list[str],
    loaded_fingerprint: tuple[int, int],
) -> None:
    """Reload the settings after SIGHUP and whenever the file has changed."""
    while True:
        eventlet.sleep(SETTINGS_POLL_INTERVAL_S)
        fingerprint = _file_fingerprint(path)
        if not reload_causes and fingerprint == loaded_fingerprint:
            continue
        cause = reload_causes.pop() if reload_causes else "file"
        reload_causes.clear()
        loaded_fingerprint = fingerprint
        try:
            server.node.reload(load_mesh_settings(path), cause=cause)
        except SettingsError as error:
            server.node.reject_settings(str(error))


def _file_fingerprint(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
