"""Node processes of the platform, as `verbenawick.platform` runs them."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from eventlet.green.http.client import HTTPConnection

from tests.call_support import free_port

ROOT = Path(__file__).parent.parent
GET_TIMEOUT_S = 5.0
BYTES_PER_MB = 1_000_000
KB_BYTES = 1024
_ADDRESSES = ("call", "peer", "readiness", "report", "metrics")


@dataclass(frozen=True, slots=True)
class PlatformNode:
    """A running node and its addresses by purpose."""

    process: subprocess.Popen
    addresses: dict[str, str]

    def get(self, purpose: str, path: str) -> int:
        """Return the status of a request to a listener, 0 if it does not answer."""
        host, _, port = self.addresses[purpose].rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=GET_TIMEOUT_S)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            response.read()
            return response.status
        except OSError:
            return 0
        finally:
            connection.close()

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> dict[str, float]:
        """Return resident memory, its peak, and its private part."""
        names = {"VmRSS": "rss_mb", "VmHWM": "peak_mb", "RssAnon": "private_mb"}
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        values = {}
        for line in status.splitlines():
            name, _, value = line.partition(":")
            if name in names:
                size = int(value.split()[0]) * KB_BYTES / BYTES_PER_MB
                values[names[name]] = round(size, 1)
        return values


@contextmanager
def run_platform_node(
    node_id: str, *, store_address: str, service: str, upstream_address: str
) -> Iterator[PlatformNode]:
    """Run a node until the end of the context, and kill it then."""
    addresses = {name: f"127.0.0.1:{free_port()}" for name in _ADDRESSES}
    settings = {f"{name}_address": address for name, address in addresses.items()}
    settings |= {
        "node_id": node_id,
        "data_centre": "dc1",
        "region": "north",
        "store_address": store_address,
        "upstream": {"service": service, "address": upstream_address},
    }
    with TemporaryDirectory() as directory:
        path = Path(directory) / "node.json5"
        path.write_text(json.dumps(settings), encoding="utf-8")
        variables = {
            "PYTHONPATH": str(ROOT / "src"),
            "VERBENAWICK_SETTINGS": str(path),
            # As on the platform.
            "MALLOC_ARENA_MAX": "1",
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "verbenawick.platform"],
            env={**os.environ, **variables},
            stdout=subprocess.DEVNULL,
        )
        try:
            yield PlatformNode(process, addresses)
        finally:
            process.kill()
            process.wait()
