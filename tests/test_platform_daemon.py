"""Test the start of the daemon on the platform, in a separate process."""

import json
import subprocess
import sys

# The daemon patches the standard library on import, so it must not be imported here.
SCRIPT = """
import json
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
print(json.dumps({name: is_monkey_patched(name) for name in names}))
output.flush()
"""


def run_script() -> tuple[dict, list[dict]]:
    """Return which modules are patched, and the log lines of the process."""
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
    return patched, [line for line in lines if "message" in line]


def test_start_replaces_no_locks_which_would_traverse_all_objects():
    """Replacing the locks took a fifth of the processor time of a start."""
    patched, _ = run_script()
    assert patched == {"socket": True, "time": True, "thread": False}


def test_green_threads_log_without_losing_lines_to_lock_errors():
    """The log must work from many green threads without green locks."""
    _, lines = run_script()
    assert len(lines) == 200
