"""Stand-in for an upstream on the platform: runs requests and reports its status."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPConnection

import eventlet
from eventlet import wsgi
from eventlet.green import socket


@dataclass(slots=True)
class StandinPlatformUpstream:
    """WSGI application of one upstream; counts its runs by request id.

    Attributes
    ----------
    service_time_s : float
        Duration of each request.
    sheds : bool
        Whether requests are refused as not run.
    is_healthy : bool
        Whether health probes succeed; those of a draining upstream do not.
    said_headers : list
        Further headers of all answers, in which the upstream tells of itself.
    crashes_on : callable
        Whether a request, given its WSGI environment, crashes the upstream.
    on_crash : callable
        Called when a request crashes the upstream; ends its listener.
    """

    upstream_id: str
    service: str
    slots: int = 8
    service_time_s: float = 0.0
    sheds: bool = False
    status: int = 200
    is_healthy: bool = True
    said_headers: list[tuple[str, str]] = field(default_factory=list)
    runs_by_request: Counter = field(default_factory=Counter)
    completed_runs: Counter = field(default_factory=Counter)
    headers_by_request: dict[str, dict[str, str]] = field(default_factory=dict)
    running: int = 0
    peak_running: int = 0
    sequence: int = 0
    version: str = "v1"
    born_ms: int = 1
    crashes_on: Callable[[dict], bool] = lambda environ: False
    on_crash: Callable[[], None] = lambda: None

    def serve(self, listener) -> None:
        """Serve on a listening socket until the green thread is killed."""
        wsgi.server(listener, self, log_output=False, debug=False)

    def report(
        self, control: str, address: str, *, state: str = "ready", **fields
    ) -> int:
        """Send a status report to the node; return the response status."""
        self.sequence += 1
        content = {
            "service": self.service,
            "address": address,
            "zone": "zone",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
            **fields,
        }
        return self._send_control(control, "PUT", json.dumps(content).encode())

    def leave(self, control: str) -> int:
        """Tell the node that this upstream leaves; return the response status."""
        return self._send_control(control, "DELETE", b"")

    def _send_control(self, control: str, method: str, body: bytes) -> int:
        host, _, port = control.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=2)
        connection.sock = socket.create_connection((host, int(port)), 2)
        connection.request(method, f"/instances/{self.upstream_id}", body)
        status = connection.getresponse().status
        connection.close()
        return status

    def __call__(self, environ, start_response):
        """Serve a request or a health probe."""
        if environ["PATH_INFO"] == "/health":
            load = f"{self.running},0,{self.slots}"
            headers = [("Instance-Id", self.upstream_id), ("Server-Load", load)]
            status = "200 OK" if self.is_healthy else "503 Service Unavailable"
            start_response(status, [*headers, ("Content-Length", "0")])
            return [b""]
        request_id = environ.get("HTTP_ATTEMPT_ID", "")
        expected = environ.get("HTTP_TARGET_INSTANCE", self.upstream_id)
        if expected != self.upstream_id:
            return self._refuse(start_response, "421 Misdirected Request", request_id)
        if self.sheds:
            return self._refuse(start_response, "503 Unavailable", request_id)
        return self._run(environ, start_response, request_id)

    def _run(self, environ, start_response, request_id: str):
        self.runs_by_request[request_id] += 1
        self.headers_by_request[request_id] = {
            key: value for key, value in environ.items() if key.startswith("HTTP_")
        }
        body = environ["wsgi.input"].read()
        if self.crashes_on(environ):
            self.on_crash()
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
            raise ConnectionAbortedError("the upstream crashed")
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            eventlet.sleep(self.service_time_s)
        finally:
            self.running -= 1
        self.completed_runs[request_id] += 1
        content = f"{environ['REQUEST_METHOD']} {environ['RAW_PATH_INFO']}".encode()
        content += b" " + body
        start_response(
            f"{self.status} Status",
            [
                ("Attempt-Id", request_id),
                ("Response-Seal", f"seal-{request_id}"),
                ("Content-Length", str(len(content))),
                *self.said_headers,
            ],
        )
        return [content]

    def _refuse(self, start_response, status: str, request_id: str):
        start_response(
            status,
            [
                ("Attempt-Id", request_id),
                ("Not-Executed", "1"),
                ("Instance-Id", self.upstream_id),
                ("Content-Length", "0"),
                *self.said_headers,
            ],
        )
        return [b""]
