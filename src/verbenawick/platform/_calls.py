"""Headers of calls and answers, between callers, nodes and upstreams."""

import math
from http.client import responses

from verbenawick.calls._upstream import HOP_BY_HOP_HEADERS
from verbenawick.errors import errors_by_code
from verbenawick.mesh._model import CallOutcome, CallResult, Headers, IncomingCall
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer

REQUEST_ID = "Attempt-Id"
# Milliseconds for which the sender waits, not an instant.
TIME_LEFT = "Deadline-Remaining"
# Only the upstream with this id may run the request.
EXPECTED_UPSTREAM = "Target-Instance"
CALLER_SERVICE = "Caller-Service"
NOT_RUN = "Not-Executed"
UPSTREAM_ID = "Instance-Id"
# Running requests, waiting requests, slots.
UPSTREAM_LOAD = "Server-Load"

READINESS_PATH = "/readiness"
REPORT_PREFIX = "/instances/"

# Set by this node, whatever was sent.
_SET_HEADERS = frozenset(
    {
        "content-length",
        "expect",
        TIME_LEFT.lower(),
        EXPECTED_UPSTREAM.lower(),
        CALLER_SERVICE.lower(),
    }
)
_DROPPED_FROM_REQUEST = HOP_BY_HOP_HEADERS | _SET_HEADERS
_DROPPED_FROM_ANSWER = HOP_BY_HOP_HEADERS | {"content-length", "date"}

_MISDIRECTED = 421
_SHED_STATUS = 503
_OWN_STATUS_BY_CODE = {
    "call.no-route": 404,
    "call.bad-request": 400,
    "call.request-too-large": 413,
}


class HeaderError(ValueError):
    """A header of a request has an invalid value."""


def decode_call(
    environ, body: bytes, *, caller_service: str, now: float
) -> IncomingCall:
    """Return the call in a WSGI environment.

    Raises
    ------
    HeaderError
        The request has no id.
    """
    request_id = environ.get("HTTP_ATTEMPT_ID", "")
    if not request_id:
        raise HeaderError(f"{REQUEST_ID} is missing")
    path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
    query = environ.get("QUERY_STRING")
    return IncomingCall(
        request_id,
        environ["REQUEST_METHOD"],
        f"{path}?{query}" if query else path,
        path,
        environ.get("HTTP_HOST", "").partition(":")[0],
        _request_headers(environ, caller_service),
        body,
        _time_left_s(environ),
        now,
    )


def _request_headers(environ, caller_service: str) -> Headers:
    dropped = _DROPPED_FROM_REQUEST
    connection = environ.get("HTTP_CONNECTION")
    if connection and connection.lower() not in ("keep-alive", "close"):
        # The sender names further headers that concern its own connection only.
        dropped = dropped | {name.strip().lower() for name in connection.split(",")}
    headers = tuple(
        (name, value)
        for name, value in environ["headers_raw"]
        if name.lower() not in dropped
    )
    return (*headers, (CALLER_SERVICE, caller_service))


def _time_left_s(environ) -> float | None:
    text = environ.get("HTTP_DEADLINE_REMAINING")
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value / 1000 if math.isfinite(value) and value > 0 else None


def encode_result(result: CallResult, request_id: str) -> tuple[str, list, bytes]:
    """Return status line, headers and body of the answer to a caller."""
    if result.outcome is CallOutcome.COMPLETE:
        headers = list(result.headers)
        if result.status not in (204, 304):
            headers.append(("Content-Length", str(len(result.body))))
        return _status_line(result.status), headers, result.body
    body = f"{result.code}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
    ]
    if request_id:
        headers.append((REQUEST_ID, request_id))
    status = status_of(result)
    if status == _SHED_STATUS:
        headers.append(("Retry-After", f"{max(result.retry_after_s, 0.01):.3f}"))
    return _status_line(status), headers, body


def status_of(result: CallResult) -> int:
    """Return the HTTP status of a call without a response."""
    if result.outcome is CallOutcome.NOT_RUN:
        return _OWN_STATUS_BY_CODE.get(result.code, _SHED_STATUS)
    error_type = errors_by_code.get(result.code)
    status = getattr(error_type, "http_status", 502)
    # The other statuses would promise that nothing ran.
    return status if status in (502, 504) else 502


def _status_line(status: int) -> str:
    return f"{status} {responses.get(status, 'Status')}"


class PlatformUpstreamProtocol:
    """How upstreams of the platform are spoken to."""

    def request_headers(
        self, headers: Headers, *, upstream_id: str, left_s: float
    ) -> Headers:
        """Return the headers of a request that only `upstream_id` may run."""
        return (
            *headers,
            (TIME_LEFT, str(max(int(left_s * 1000), 1))),
            (EXPECTED_UPSTREAM, upstream_id),
        )

    def classify(self, answer: RawAnswer, *, request_id: str) -> AnswerKind:
        """Return what an answer is to the request with `request_id`."""
        answered_id = answer.header(REQUEST_ID.lower())
        if answered_id is not None and answered_id != request_id:
            return AnswerKind.FOREIGN
        if answer.status == _MISDIRECTED:
            return AnswerKind.OTHER_UPSTREAM
        if answer.header(NOT_RUN.lower()) is not None:
            return AnswerKind.NOT_RUN
        if answered_id is None:
            return AnswerKind.FOREIGN
        return AnswerKind.OWN

    def response_headers(self, answer: RawAnswer) -> Headers:
        """Return the headers of an answer that are passed on."""
        dropped = _DROPPED_FROM_ANSWER
        return tuple(
            (name, value)
            for name, value in answer.headers
            if name.lower() not in dropped
        )

    def health_headers(self, host: str) -> Headers:
        """Return the headers of a health probe."""
        return (("Host", host),)

    def read_health(self, answer: RawAnswer) -> tuple[str, int]:
        """Return the id and the slots of a healthy upstream; an empty id otherwise."""
        if answer.status != 200:
            return "", 0
        upstream_id = answer.header(UPSTREAM_ID.lower()) or ""
        parts = (answer.header(UPSTREAM_LOAD.lower()) or "").split(",")
        slots = int(parts[2]) if len(parts) == 3 and parts[2].strip().isdigit() else 0
        return upstream_id, slots
