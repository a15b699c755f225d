"""Stand-in for an upstream with limits, drain, cold start and faults on demand.

Run it with ``python -m standins.upstream --address 127.0.0.1:9000 --service archivo``.

Each path except `/health`, `/load` and those below `/standin/` runs a request. The
query parameters of a request select its faults:

====================  ============================================================
``delay_ms=N``        service time of this request
``bytes=N``           size of the response body; 200 by default
``status=N``          status of the response
``chunked=1``         chunked response without ``Content-Length``
``deadline=ignored``  the request continues past its deadline
``fault=cut``         connection closed after half of the response
``fault=reset``       connection reset after the request ran
``fault=crash``       process exits while the request runs
====================  ============================================================

A request body is echoed as the response body. ``GET /standin/runs`` returns the state
changes of all runs in order, with their ``Request-Id``; ``POST /standin/faults`` takes
a JSON object with fields of `Faults`.
"""

import argparse
import json
import os
import socket as native_socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from time import monotonic, thread_time
from urllib.parse import parse_qsl

from eventlet import wsgi
from eventlet.hubs import trampoline

from verbenawick.runtime._sockets import listen

COLD_START_FACTOR = 5.0
EXIT_CODE_CRASH = 70
MAX_RUNS_KEPT = 200_000
NOT_RUN_HEADER = ("Upstream-Not-Run", "1")
REASONS_BY_STATUS = {
    200: "OK",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass
class Faults:
    """Faults of the whole stand-in, set by ``POST /standin/faults``.

    Attributes
    ----------
    draining : bool
        New requests are refused as not run; those that run finish.
    shed_share : float
        Share of requests that are refused as not run, from 0 to 1.
    load_lag_s : float
        Age of the state that ``/load`` and ``/health`` report.
    health_override : str
        Fixed result of ``/health``: ``"healthy"``, ``"unhealthy"`` or empty for none.
    load_override : float
        Fixed busy share in ``/load``; negative for none.
    latency_factor : float
        Multiplier of the service time.
    """

    draining: bool = False
    shed_share: float = 0.0
    load_lag_s: float = 0.0
    health_override: str = ""
    load_override: float = -1.0
    latency_factor: float = 1.0


def _exit_process() -> None:
    os._exit(EXIT_CODE_CRASH)


class StandinUpstream:
    """WSGI application of the stand-in.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests; others are refused with 503 as not run.
    connections : int
        Maximum number of open connections; others wait in the listen backlog.
    service_time_s : float
        Service time of requests without ``delay_ms``.
    cold_start_s : float
        Time after the start over which the service time falls from `COLD_START_FACTOR`
        times its value to normal.
    refusal_cpu_s : float
        CPU time of each refusal, as in servers that parse, authenticate and log a
        request before they refuse it.
    crash : callable
        Called by a request with ``fault=crash``; exits the process by default.
    """

    def __init__(
        self,
        service: str,
        *,
        slots: int = 12,
        connections: int = 120,
        service_time_s: float = 0.0,
        cold_start_s: float = 0.0,
        refusal_cpu_s: float = 0.0,
        crash: Callable[[], None] = _exit_process,
    ):
        self.faults = Faults()
        self.runs: deque[tuple[str, str]] = deque(maxlen=MAX_RUNS_KEPT)
        self.running = 0
        self.peak_running = 0
        self.shed = 0
        self.cancelled = 0
        self._service = service
        self._slots = slots
        self._connections = connections
        self._service_time_s = service_time_s
        self._cold_start_s = cold_start_s
        self._refusal_cpu_s = refusal_cpu_s
        self._crash = crash
        self._started_at = monotonic()
        self._shed_accumulator = 0.0
        self._load_history: deque[tuple[float, float, bool]] = deque(maxlen=4096)

    def serve(self, listener) -> None:
        """Serve on a listening socket until the green thread is killed."""
        wsgi.server(
            listener, self, log_output=False, max_size=self._connections, debug=False
        )

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self._handle_control(environ, start_response, path[9:])
        if path == "/health":
            return self._report_health(start_response)
        if path == "/load":
            return self._report_load(start_response)
        return self._run(environ, start_response)

    def _run(self, environ, start_response):
        body = environ["wsgi.input"].read()
        if len(body) < int(environ.get("CONTENT_LENGTH") or 0):
            return []
        options = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        if self._should_refuse():
            self.shed += 1
            _burn_cpu(self._refusal_cpu_s)
            return _make_response(start_response, 503, b"not run", [NOT_RUN_HEADER])
        self._record_load()
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        request_id = environ.get("HTTP_REQUEST_ID", "")
        self.runs.append((request_id, "started"))
        try:
            return self._respond(environ, start_response, options, body, request_id)
        finally:
            self.running -= 1
            self._record_load()

    def _should_refuse(self) -> bool:
        if self.faults.draining or self.running >= self._slots:
            return True
        self._shed_accumulator += self.faults.shed_share
        if self._shed_accumulator >= 1:
            self._shed_accumulator -= 1
            return True
        return False

    def _respond(self, environ, start_response, options, body, request_id):
        fault = options.get("fault", "")
        if fault == "crash":
            self._crash()
        sock = environ["eventlet.input"].get_socket()
        service_s = self._service_time(options)
        timeout_s = float(environ.get("HTTP_REQUEST_TIMEOUT") or "inf") / 1000
        if options.get("deadline") == "ignored":
            timeout_s = float("inf")
        if not _wait_connected(sock, min(service_s, timeout_s)):
            self.cancelled += 1
            self.runs.append((request_id, "cancelled"))
            return []
        if service_s > timeout_s:
            self.runs.append((request_id, "expired"))
            return _make_response(start_response, 504, b"deadline exceeded", [])
        self.runs.append((request_id, "finished"))
        payload = body or b"x" * int(options.get("bytes", "200"))
        if fault:
            return _break_connection(sock, fault, payload)
        status = int(options.get("status", "200"))
        headers = [("Upstream-Request-Id", request_id)]
        if options.get("chunked"):
            start_response(_status_line(status), headers)
            return [payload[i : i + 1000] for i in range(0, len(payload), 1000)]
        return _make_response(start_response, status, payload, headers)

    def _service_time(self, options) -> float:
        service_s = self._service_time_s
        if "delay_ms" in options:
            service_s = float(options["delay_ms"]) / 1000
        service_s *= self.faults.latency_factor
        age_s = monotonic() - self._started_at
        if age_s < self._cold_start_s:
            missing = 1 - age_s / self._cold_start_s
            service_s *= 1 + (COLD_START_FACTOR - 1) * missing
        return service_s

    def _record_load(self) -> None:
        entry = (monotonic(), self.running / self._slots, not self.faults.draining)
        self._load_history.append(entry)

    def _lagged_load(self) -> tuple[float, bool]:
        until = monotonic() - self.faults.load_lag_s
        for at, busy_share, healthy in reversed(self._load_history):
            if at <= until:
                return busy_share, healthy
        return 0.0, True

    def _report_health(self, start_response):
        healthy = self._lagged_load()[1] and not self.faults.draining
        if self.faults.health_override:
            healthy = self.faults.health_override == "healthy"
        text = b"healthy" if healthy else b"unhealthy"
        return _make_response(start_response, 200 if healthy else 503, text, [])

    def _report_load(self, start_response):
        share = self._lagged_load()[0]
        if self.faults.load_override >= 0:
            share = self.faults.load_override
        return _json_response(
            start_response, {"busy_share": share, "slots": self._slots}
        )

    def _handle_control(self, environ, start_response, name):
        if name == "runs":
            return _json_response(start_response, list(self.runs))
        if name == "counters":
            return _json_response(start_response, self.counters())
        if name == "faults" and environ["REQUEST_METHOD"] == "POST":
            values = json.loads(environ["wsgi.input"].read())
            known = {field.name for field in fields(Faults)}
            if not set(values) <= known:
                return _make_response(start_response, 404, b"unknown fault", [])
            for key, value in values.items():
                setattr(self.faults, key, value)
            return _json_response(start_response, asdict(self.faults))
        return _make_response(start_response, 404, b"no such page", [])

    def counters(self) -> dict[str, int]:
        """Return the counters since the start."""
        return {
            "running": self.running,
            "peak_running": self.peak_running,
            "shed": self.shed,
            "cancelled": self.cancelled,
            "started": sum(state == "started" for _, state in self.runs),
            "finished": sum(state == "finished" for _, state in self.runs),
        }


def _burn_cpu(duration_s: float) -> None:
    until = thread_time() + duration_s
    while thread_time() < until:
        pass


def _status_line(status: int) -> str:
    return f"{status} {REASONS_BY_STATUS.get(status, 'Status')}"


def _make_response(start_response, status, body, headers):
    headers = [*headers, ("Content-Length", str(len(body)))]
    start_response(_status_line(status), headers)
    return [body]


def _json_response(start_response, value):
    headers = [("Content-Type", "application/json")]
    return _make_response(start_response, 200, json.dumps(value).encode(), headers)


def _wait_connected(sock, duration_s) -> bool:
    """Wait for a duration; return False as soon as the peer closes the connection."""
    if duration_s <= 0:
        return True
    try:
        trampoline(sock, read=True, timeout=duration_s, timeout_exc=TimeoutError)
    except TimeoutError:
        return True
    # Callers do not pipeline, so a readable socket means that the peer closed it.
    return False


def _break_connection(sock, fault, payload):
    if fault == "reset":
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(native_socket.SOL_SOCKET, native_socket.SO_LINGER, linger)
        # After `sock.close`, file objects of the server would keep the descriptor open.
        native_socket.close(sock.fd.detach())
        return []
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
    sock.sendall(head + payload[: len(payload) // 2])
    sock.shutdown(native_socket.SHUT_RDWR)
    return []


def main(arguments: list[str] | None = None) -> None:
    """Run the stand-in until its process is terminated."""
    parser = argparse.ArgumentParser(prog="python -m standins.upstream")
    parser.add_argument("--address", required=True, metavar="IP:PORT")
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--connections", type=int, default=120)
    parser.add_argument("--service-time-ms", type=float, default=0.0)
    parser.add_argument("--cold-start-s", type=float, default=0.0)
    parser.add_argument(
        "--refusal-cpu-ms", type=float, default=0.0, help="CPU time of each refusal"
    )
    options = parser.parse_args(arguments)
    upstream = StandinUpstream(
        options.service,
        slots=options.slots,
        connections=options.connections,
        service_time_s=options.service_time_ms / 1000,
        cold_start_s=options.cold_start_s,
        refusal_cpu_s=options.refusal_cpu_ms / 1000,
    )
    listener = listen(options.address)
    print(f"upstream {options.service} listens on {options.address}", flush=True)
    upstream.serve(listener)


if __name__ == "__main__":
    main()
