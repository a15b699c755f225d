"""Test the start of the daemon on the platform, in a separate process."""

import json
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from threading import Timer
from time import sleep

from tests.call_support import free_port

STOP_TIMEOUT_S = 30
# Longer than the imports of a node take.
WAIT_S = 0.8
# An address for documentation, which no machine has.
FOREIGN_ADDRESS = "192.0.2.1:7000"
# The daemon patches the standard library on import, so it must not be imported here.
SCRIPT = """
import json
import sys
import verbenawick.platform._daemon
import eventlet
from eventlet.patcher import is_monkey_patched
from loguru import logger
from verbenawick.mesh._log_output import LogOutput, configure_log_output

output = LogOutput()
configure_log_output(output, node_id="n-1", level="INFO")

def log(number):
    for _ in range(20):
        logger.info("line {}", number)
        eventlet.sleep(0)

threads = [eventlet.spawn(log, n) for n in range(10)]
for thread in threads:
    thread.wait()
names = ("socket", "time", "thread")
print(json.dumps(sorted(name for name in sys.modules if "verbenawick" in name)))
print(json.dumps({name: is_monkey_patched(name) for name in names}))
output.flush()
"""

# Runs a node for 3 s. The store's address refuses connections.
NODE_SCRIPT = """
import gc
import json
import os
import signal
import sys

early_collections = []

def on_collection(phase, info):
    if not gc.get_freeze_count():
        early_collections.append(info["generation"])

def stop(number, frame):
    state = {"early": early_collections, "is_enabled": gc.isenabled()}
    sys.stderr.write(json.dumps(state))
    os._exit(0)

signal.signal(signal.SIGALRM, stop)
signal.setitimer(signal.ITIMER_REAL, 3)
from verbenawick.platform.__main__ import main
gc.callbacks.append(on_collection)
main()
"""

# Sends SIGHUP to the program at the place where it would run the node.
START_SCRIPT = """
import os
import signal
import sys
from types import ModuleType
from verbenawick.platform.__main__ import main

daemon = ModuleType("daemon")
daemon.run_platform_node = lambda path: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules["verbenawick.platform._daemon"] = daemon
sys.exit(main())
"""

# Sends SIGHUP whenever a module is loaded that the handler does not need.
IMPORT_SCRIPT = """
import os
import signal
import sys
from types import ModuleType

class SignalSender:
    def find_spec(self, name, path=None, target=None):
        if name not in sys.builtin_module_names and "verbenawick" not in name:
            os.kill(os.getpid(), signal.SIGHUP)

daemon = ModuleType("daemon")
daemon.run_platform_node = lambda path: 0
sys.modules["verbenawick.platform._daemon"] = daemon
sys.modules.pop("argparse", None)
sys.meta_path.insert(0, SignalSender())
from verbenawick.platform.__main__ import main
sys.exit(main())
"""


def write_settings(tmp_path, **changes):
    """Write the settings of a node; its store's address refuses connections."""
    names = ("call", "peer", "readiness", "report", "metrics", "store")
    settings = {f"{name}_address": f"127.0.0.1:{free_port()}" for name in names}
    settings |= {"node_id": "n-1", "data_centre": "dc1", "region": "north"}
    settings["upstream"] = {"service": "s", "address": f"127.0.0.1:{free_port()}"}
    path = tmp_path / "node.json5"
    path.write_text(json.dumps(settings | changes))
    return str(path)


def run_node_script(script, tmp_path):
    """Run a script with the settings of a node, and return the ended process."""
    return subprocess.run(
        [
            sys.executable,
            "-W",
            "ignore",
            "-c",
            script,
            "--settings",
            write_settings(tmp_path),
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )


def run_node(settings_path):
    """Run a node until it ends by itself, and return the ended process."""
    return subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "verbenawick.platform"]
        + ["--settings", str(settings_path)],
        capture_output=True,
        text=True,
        timeout=30,
    )


def started_node(settings_path):
    """Start a node process whose log lines can be read."""
    return subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", "verbenawick.platform"]
        + ["--settings", str(settings_path)],
        stdout=subprocess.PIPE,
        text=True,
    )


def wait_for_start(node):
    """Read log lines until the node listens on all its addresses."""
    while "MeshNodeStarted" not in (line := node.stdout.readline()):
        assert line, "the node ended"


def failure_of(run):
    """Return the log line with the error that ended a node."""
    lines = [json.loads(line) for line in run.stdout.splitlines()]
    (failure,) = (line for line in lines if line["name"] == "NodeFailed")
    return failure


def test_signal_that_settings_changed_does_not_end_a_starting_node(tmp_path):
    """Guards against nodes that end when a change of their settings meets a start."""
    run = run_node_script(START_SCRIPT, tmp_path)
    assert run.returncode == 0, run.stderr


def test_signal_that_settings_changed_does_not_end_a_node_that_imports(tmp_path):
    """Guards against nodes that end when SIGHUP meets their first imports."""
    run = run_node_script(IMPORT_SCRIPT, tmp_path)
    assert run.returncode == 0, run.stderr


def test_node_that_ends_by_itself_logs_the_error(tmp_path):
    """Guards against processes that end without a log line."""
    path = Path(write_settings(tmp_path, metrics_address=FOREIGN_ADDRESS))
    run = run_node(path)
    assert run.returncode == 1
    assert FOREIGN_ADDRESS in failure_of(run)["error"]


def test_node_waits_for_settings_that_are_being_written(tmp_path):
    """Guards against a start that ends while the platform writes the settings."""
    path = Path(write_settings(tmp_path))
    content = path.read_text()
    path.write_text(content[: len(content) // 2])
    with started_node(path) as node:
        sleep(WAIT_S)
        path.write_text(content)
        wait_for_start(node)
        node.kill()


def test_node_waits_for_addresses_in_use(tmp_path):
    """Guards against a start that ends while connections of others use its ports."""
    path = Path(write_settings(tmp_path))
    host, _, port = json.loads(path.read_text())["report_address"].rpartition(":")
    with (
        socket.create_server((host, 0)) as server,
        socket.create_connection(
            server.getsockname(), source_address=(host, int(port))
        ) as connection,
        started_node(path) as node,
    ):
        assert "AddressesUsed" in node.stdout.readline()
        # Closed by the other side first, which then waits in TIME_WAIT.
        server.accept()[0].close()
        connection.close()
        wait_for_start(node)
        node.kill()


def test_node_that_waits_for_addresses_stops_at_once(tmp_path):
    """Guards against a stop request that is ignored during a wait."""
    path = Path(write_settings(tmp_path))
    host, _, port = json.loads(path.read_text())["call_address"].rpartition(":")
    with socket.create_server((host, int(port))), started_node(path) as node:
        assert "AddressesUsed" in node.stdout.readline()
        node.terminate()
        assert node.wait(timeout=5) == 0


def test_node_with_invalid_settings_logs_the_error(tmp_path):
    """Guards against processes that end without a log line."""
    path = tmp_path / "node.json5"
    path.write_text("{")
    run = run_node(path)
    assert run.returncode == 2
    assert "node.json5" in failure_of(run)["error"]


def test_further_stop_signals_do_not_change_the_exit_code(tmp_path):
    """Guards against a clean stop that looks like a crash."""
    with started_node(write_settings(tmp_path)) as node:
        wait_for_start(node)
        watchdog = Timer(STOP_TIMEOUT_S, node.kill)
        watchdog.start()
        # The end of the interpreter takes some milliseconds.
        while node.returncode is None:
            node.terminate()
            with suppress(subprocess.TimeoutExpired):
                node.wait(timeout=0.0005)
        watchdog.cancel()
        assert "MeshNodeStopped" in node.stdout.read()
    assert node.returncode == 0


def test_no_garbage_collection_delays_the_start(tmp_path):
    """Collections took a sixth of the processor time of a start."""
    run = run_node_script(NODE_SCRIPT, tmp_path)
    assert run.returncode == 0, run.stderr
    assert "MeshNodeStarted" in run.stdout
    assert json.loads(run.stderr) == {"early": [], "is_enabled": True}


def run_script() -> tuple[dict, list[str], list[dict]]:
    """Return which modules are patched, the project's modules and the log lines."""
    run = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", SCRIPT],
        capture_output=True,
        check=True,
        text=True,
        timeout=30,
    )
    assert run.stderr == ""
    lines = [json.loads(line) for line in run.stdout.splitlines()]
    patched = next(line for line in lines if "socket" in line)
    modules = next(line for line in lines if isinstance(line, list))
    return patched, modules, [line for line in lines if "message" in line]


def test_start_replaces_no_locks_which_would_traverse_all_objects():
    """Replacing the locks took a fifth of the processor time of a start."""
    patched, _, _ = run_script()
    assert patched == {"socket": True, "time": True, "thread": False}


def test_green_threads_log_without_losing_lines_to_lock_errors():
    """The log must work from many green threads without green locks."""
    _, _, lines = run_script()
    assert len(lines) == 200


def test_start_imports_no_modules_of_the_own_call_interface():
    """The tables of that interface took some milliseconds of each start."""
    _, modules, _ = run_script()
    calls = {name for name in modules if name.startswith("verbenawick.calls._")}
    assert calls == {
        "verbenawick.calls._caller_protocol",
        "verbenawick.calls._connection_ends",
        "verbenawick.calls._entry_server",
        "verbenawick.calls._http_messages",
        "verbenawick.calls._read_ahead",
    }


# Modules of the standard library and of packages that a node never uses.
UNUSED_MODULES = {
    "argparse",
    "asyncio.events",
    "concurrent.futures",
    "json5",
    "prometheus_client",
    "ssl",
    "subprocess",
    "zipfile",
}

MODULES_SCRIPT = NODE_SCRIPT.replace("json.dumps(state)", "json.dumps([*sys.modules])")


def test_node_does_not_import_modules_that_it_never_uses(tmp_path, monkeypatch):
    """Guards against imports that take a third of the memory of a node."""
    monkeypatch.setenv("VERBENAWICK_SETTINGS", write_settings(tmp_path))
    run = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", MODULES_SCRIPT],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert UNUSED_MODULES & set(json.loads(run.stderr)) == set()


def test_node_with_closed_log_stops(tmp_path):
    """Guards against nodes that wait for a log that nobody reads."""
    with started_node(write_settings(tmp_path)) as node:
        wait_for_start(node)
        node.stdout.close()
        sleep(WAIT_S)
        node.terminate()
        assert node.wait(STOP_TIMEOUT_S) == 0
