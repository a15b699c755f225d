"""WSGI applications of a node: calls, status reports, readiness, metrics."""

from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec
from greenlet import GreenletExit

from verbenawick.calls._caller_protocol import CALLER_LEFT_STATUS
from verbenawick.calls._http_messages import has_body, read_body
from verbenawick.errors import CallError
from verbenawick.mesh._body_memory import BodyMemory, receive_body
from verbenawick.mesh._entry import MeshEntry
from verbenawick.mesh._local_upstream import LocalUpstream
from verbenawick.mesh._model import CallOutcome, CallResult, RequestLimits
from verbenawick.platform._calls import (
    READINESS_PATH,
    REPORT_PREFIX,
    HeaderError,
    decode_call,
    encode_result,
    host_of,
    key_digest_of,
    path_of,
)
from verbenawick.platform._documents import decode_report
from verbenawick.platform._events import CallBroken, ReportInvalid
from verbenawick.runtime._caller_watcher import CallerWatcher
from verbenawick.runtime._calls_in_flight import CallsInFlight
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import emit

METRICS_PATH = "/metrics"
PREVIEW_PATH = "/route"
# Status reports have a few hundred bytes; the platform limits them to 4 KiB.
MAX_REPORT_BYTES = 16_384
# Interval at which calls in flight are checked for callers that disconnected. The
# upstream must be free half a second after its caller disconnected.
CALLER_CHECK_INTERVAL_S = 0.2


class CallApplication:
    """WSGI application that serves the requests of callers on this VM.

    Parameters
    ----------
    caller_service : callable
        Returns the service of the upstream on this VM.
    observe : callable
        Called with the outcome of each call and its duration in seconds.
    """

    def __init__(
        self,
        entry: MeshEntry,
        *,
        clock: Clock,
        caller_service: Callable[[], str],
        observe: Callable[[str, float], None] = lambda outcome, seconds: None,
    ):
        self._observe = observe
        self._entry = entry
        self._clock = clock
        self._caller_service = caller_service
        self._watcher = CallerWatcher(interval_s=CALLER_CHECK_INTERVAL_S)
        self._calls = CallsInFlight()
        self._bodies = BodyMemory()

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._calls.count

    def stop_accepting(self) -> None:
        """Let `wait_idle` return as soon as no call is in flight."""
        self._calls.stop()

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait for calls in flight; return whether all ended within `timeout_s`.

        Call `stop_accepting` first.
        """
        return self._calls.wait_idle(timeout_s=timeout_s)

    def __call__(self, environ, start_response):
        """Serve one call."""
        now = self._clock.now()
        try:
            with self._calls.enter():
                result = self._serve(environ, now)
        except GreenletExit:
            start_response(CALLER_LEFT_STATUS, [("Content-Length", "0")])
            return [b""]
        except Exception as error:
            emit(CallBroken(environ.get("HTTP_ATTEMPT_ID", ""), repr(error)))
            result = CallResult(CallOutcome.UNKNOWN, CallError.code)
        self._observe(result.outcome, self._clock.now() - now)
        request_id = environ.get("HTTP_ATTEMPT_ID", "")
        status, headers, body = encode_result(result, request_id)
        start_response(status, headers)
        return [body]

    def _serve(self, environ, now: float) -> CallResult:
        configuration = self._entry.configuration
        limits = configuration.limits if configuration else RequestLimits()
        refusal = self._refuse_unread(environ)
        if refusal is not None:
            return refusal
        with self._bodies.reservation() as reserve:
            try:
                body = receive_body(environ, limits, reserve)
                call = decode_call(
                    environ,
                    body,
                    caller_service=self._caller_service(),
                    now=now,
                    has_workspaces=self._has_workspaces,
                )
            except CallError as error:
                retry_after_s = getattr(error, "retry_after_s", 0.0)
                return CallResult(
                    CallOutcome.NOT_RUN, error.code, retry_after_s=retry_after_s
                )
            except HeaderError:
                return CallResult(CallOutcome.NOT_RUN, "call.bad-request")
            with self._watcher.watch(environ["eventlet.input"].get_socket()):
                return self._entry.serve(call)

    @property
    def _has_workspaces(self) -> bool:
        configuration = self._entry.configuration
        return configuration is not None and configuration.workspaces is not None

    def _refuse_unread(self, environ) -> CallResult | None:
        """Return the refusal of a call for its key, before its body is received."""
        if not self._has_workspaces or not has_body(environ):
            return None
        return self._entry.refuse_unread(
            environ.get("HTTP_ATTEMPT_ID", ""),
            host_of(environ),
            path_of(environ),
            key_digest_of(environ),
        )


def report_application(
    upstream: LocalUpstream,
    *,
    clock: Clock,
    keep_leave: Callable[[], bool] = lambda: True,
):
    """Return the WSGI application that receives the local upstream's reports.

    Parameters
    ----------
    keep_leave : callable
        Called before a report of the upstream is acknowledged; waits until a leave is
        known elsewhere, and returns whether it is.
    """

    def acknowledge(start_response):
        if keep_leave():
            return _json_response(start_response, "200 OK", {})
        return _json_response(
            start_response,
            "503 Service Unavailable",
            {"error": "neither the store nor another node knows of the leave"},
        )

    def application(environ, start_response):
        path = environ["PATH_INFO"]
        upstream_id = path.removeprefix(REPORT_PREFIX)
        if not path.startswith(REPORT_PREFIX) or not upstream_id:
            return _json_response(
                start_response, "404 Not Found", {"error": "no such page"}
            )
        method = environ["REQUEST_METHOD"]
        if method == "DELETE":
            upstream.on_leave(upstream_id, clock.now())
            return acknowledge(start_response)
        if method != "PUT":
            return _json_response(
                start_response, "405 Method Not Allowed", {"error": "use PUT or DELETE"}
            )
        try:
            data = read_body(environ, MAX_REPORT_BYTES)
            report = decode_report(upstream_id, data)
        except (CallError, msgspec.MsgspecError, ValueError) as error:
            emit(ReportInvalid(upstream_id, str(error)))
            return _json_response(
                start_response, "400 Bad Request", {"error": str(error)}
            )
        upstream.on_report(report, clock.now())
        return acknowledge(start_response)

    return application


def readiness_application(is_ready: Callable[[], bool]):
    """Return the WSGI application of the platform's readiness probe."""

    def application(environ, start_response):
        if environ["PATH_INFO"] != READINESS_PATH:
            return _json_response(
                start_response, "404 Not Found", {"error": "no such page"}
            )
        ready = is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        return _json_response(start_response, status, {"ready": ready})

    return application


def metrics_application(
    render: Callable[[], bytes],
    preview: Callable[[str, str, bytes | None], dict],
):
    """Return the WSGI application that serves the metrics and previews of calls.

    Parameters
    ----------
    render : callable
        Returns the metrics in text format.
    preview : callable
        Returns where a call would go, in types of JSON, given its host, its path and
        the digest of its key.
    """

    def application(environ, start_response):
        if environ["PATH_INFO"] == PREVIEW_PATH:
            query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
            host, path = query.get("host", ""), query.get("path", "")
            content = preview(host, path, key_digest_of(environ))
            return _json_response(start_response, "200 OK", content)
        if environ["PATH_INFO"] != METRICS_PATH:
            return _json_response(
                start_response, "404 Not Found", {"error": "no such page"}
            )
        body = render()
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    return application


def _json_response(start_response, status: str, content: dict) -> list[bytes]:
    body = msgspec.json.encode(content)
    start_response(
        status,
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]
