"""Headers of requests and responses between callers, nodes and upstreams."""

import math
from http.client import responses

from verbenawick.calls._http_messages import HOP_BY_HOP_HEADERS
from verbenawick.capacity._model import UpstreamLoad
from verbenawick.errors import errors_by_code
from verbenawick.mesh._model import CallOutcome, CallResult, Headers, IncomingCall
from verbenawick.mesh._upstream_channels import AnswerKind, RawAnswer
from verbenawick.workspaces._model import digest_key

REQUEST_ID_HEADER = "Attempt-Id"
# Milliseconds that the sender still waits; a duration, not a point in time.
REMAINING_TIME_HEADER = "Deadline-Remaining"
# Id of the only upstream that may run the request.
EXPECTED_UPSTREAM_HEADER = "Target-Instance"
CALLER_SERVICE_HEADER = "Caller-Service"
# Name of the caller's workspace.
WORKSPACE_HEADER = "Tenant-Id"
KEY_HEADER = "Authorization"
KEY_SCHEME = "bearer"
NOT_RUN_HEADER = "Not-Executed"
UPSTREAM_ID_HEADER = "Instance-Id"
# Running requests, queued requests and slots, separated by commas; from upstreams that
# share their VM also the time that work takes at the moment, in percent of the usual.
UPSTREAM_LOAD_HEADER = "Server-Load"
MAX_COUNT_DIGITS = 6
# Requests per second that the upstream takes from all nodes together.
UPSTREAM_RATE_LIMIT_HEADER = "Server-Limit"
# "1" in all answers of an upstream that leaves.
UPSTREAM_LEAVING_HEADER = "Server-Leaving"

READINESS_PATH = "/readiness"
REPORT_PREFIX = "/instances/"

# Set by this node; values sent by the caller are discarded.
_OVERWRITTEN_HEADERS = frozenset(
    {
        "content-length",
        "expect",
        REMAINING_TIME_HEADER.lower(),
        EXPECTED_UPSTREAM_HEADER.lower(),
        CALLER_SERVICE_HEADER.lower(),
    }
)
_DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | _OVERWRITTEN_HEADERS
# Not forwarded either where the configuration has workspaces.
_WORKSPACE_HEADERS = frozenset({WORKSPACE_HEADER.lower(), KEY_HEADER.lower()})
_DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "date"}

_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
_TOO_MANY_REQUESTS_STATUS = 429
_UNAUTHORIZED_STATUS = 401
_STATUS_BY_NOT_RUN_CODE = {
    "call.unknown-key": _UNAUTHORIZED_STATUS,
    "call.over-allowance": _TOO_MANY_REQUESTS_STATUS,
    "call.no-route": 404,
    "call.bad-request": 400,
    "call.request-too-large": 413,
}


class HeaderError(ValueError):
    """A header of a request has an invalid value."""


def decode_call(
    environ,
    body: bytes,
    *,
    caller_service: str,
    now: float,
    has_workspaces: bool = False,
) -> IncomingCall:
    """Return the call described by a WSGI environment.

    Parameters
    ----------
    has_workspaces : bool
        Whether the configuration in force has workspaces. Their keys and the name of a
        workspace that the caller wrote are not forwarded.

    Raises
    ------
    HeaderError
        The request has no request id.
    """
    request_id = environ.get("HTTP_ATTEMPT_ID", "")
    if not request_id:
        raise HeaderError(f"{REQUEST_ID_HEADER} is missing")
    path = path_of(environ)
    query = environ.get("QUERY_STRING")
    return IncomingCall(
        request_id,
        caller_service,
        environ["REQUEST_METHOD"],
        f"{path}?{query}" if query else path,
        path,
        host_of(environ),
        _forwarded_headers(environ, has_workspaces=has_workspaces),
        body,
        _parse_remaining_time_s(environ),
        now,
        key_digest_of(environ) if has_workspaces else None,
    )


def path_of(environ) -> str:
    """Return the path of a request as the caller encoded it."""
    return environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]


def host_of(environ) -> str:
    """Return the host that a request names, without a port."""
    return environ.get("HTTP_HOST", "").partition(":")[0]


def key_digest_of(environ) -> bytes | None:
    """Return the digest of the key in a request, None if it has none."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").strip().partition(" ")
    key = key.strip()
    return digest_key(key) if key and scheme.lower() == KEY_SCHEME else None


def _forwarded_headers(environ, *, has_workspaces: bool) -> Headers:
    dropped = _DROPPED_REQUEST_HEADERS
    if has_workspaces:
        dropped = dropped | _WORKSPACE_HEADERS
    connection = environ.get("HTTP_CONNECTION")
    if connection and connection.lower() not in ("keep-alive", "close"):
        # Connection names further hop-by-hop headers, which must not be forwarded.
        dropped = dropped | {name.strip().lower() for name in connection.split(",")}
    return tuple(
        (name, value)
        for name, value in environ["headers_raw"]
        if name.lower() not in dropped
    )


def _parse_remaining_time_s(environ) -> float | None:
    value = _parse_number(environ.get("HTTP_DEADLINE_REMAINING"))
    return value / 1000 if value else None


def _parse_number(text: str | None) -> float | None:
    """Return the finite number of at least 0 in a header, None if there is none."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _parse_count(text: str) -> int | None:
    """Return the number of at most `MAX_COUNT_DIGITS` digits, None if it is none."""
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


def encode_result(result: CallResult, request_id: str) -> tuple[str, list, bytes]:
    """Return the status line, headers and body of the response to a caller."""
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
        headers.append((REQUEST_ID_HEADER, request_id))
    status = http_status_of(result)
    if status == _UNAUTHORIZED_STATUS:
        headers.append(("WWW-Authenticate", "Bearer"))
    if status in (_UNAVAILABLE_STATUS, _TOO_MANY_REQUESTS_STATUS):
        headers.append(("Retry-After", f"{max(result.retry_after_s, 0.01):.3f}"))
    return _status_line(status), headers, body


def http_status_of(result: CallResult) -> int:
    """Return the HTTP status for a call that has no response of an upstream."""
    if result.outcome is CallOutcome.NOT_RUN:
        return _STATUS_BY_NOT_RUN_CODE.get(result.code, _UNAVAILABLE_STATUS)
    error_type = errors_by_code.get(result.code)
    status = getattr(error_type, "http_status", 502)
    # Any other status would promise that the request did not run.
    return status if status in (502, 504) else 502


def _status_line(status: int) -> str:
    return f"{status} {responses.get(status, 'Status')}"


class PlatformUpstreamProtocol:
    """Protocol between a node and the upstreams of the platform."""

    id_header = REQUEST_ID_HEADER.lower()

    def request_headers(
        self,
        headers: Headers,
        *,
        caller_service: str,
        upstream_id: str,
        left_s: float,
        workspace: str = "",
    ) -> Headers:
        """Return the headers of a request that only `upstream_id` may run."""
        headers = (
            *headers,
            (CALLER_SERVICE_HEADER, caller_service),
            (REMAINING_TIME_HEADER, str(max(int(left_s * 1000), 1))),
            (EXPECTED_UPSTREAM_HEADER, upstream_id),
        )
        if not workspace:
            return headers
        # Headers are written in Latin-1.
        return (*headers, (WORKSPACE_HEADER, workspace.encode().decode("latin-1")))

    def classify(self, answer: RawAnswer, *, request_id: str) -> AnswerKind:
        """Return how an answer relates to the request with `request_id`."""
        answered_id = answer.header(self.id_header)
        if answered_id is not None and answered_id != request_id:
            return AnswerKind.MISMATCHED
        if answer.status == _MISDIRECTED_STATUS:
            return AnswerKind.OTHER_UPSTREAM
        if answer.header(NOT_RUN_HEADER.lower()) is not None:
            return AnswerKind.NOT_RUN
        if answered_id is None:
            return AnswerKind.MISMATCHED
        return AnswerKind.MATCHING

    def response_headers(self, answer: RawAnswer) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""
        dropped = _DROPPED_RESPONSE_HEADERS
        return tuple(
            (name, value)
            for name, value in answer.headers
            if name.lower() not in dropped
        )

    def load_of(self, answer: RawAnswer) -> UpstreamLoad | None:
        """Return the load that the upstream names, None if it names none.

        Figures after the fourth are ignored, and so is a fourth one that is invalid.
        """
        figures = (answer.header(UPSTREAM_LOAD_HEADER.lower()) or "").split(",")
        counts = [_parse_count(text) for text in figures[:3]]
        if len(counts) < 3 or None in counts:
            return None
        percent = _parse_number(figures[3]) if len(figures) > 3 else None
        return UpstreamLoad(*counts, percent / 100 if percent else None)

    def rate_limit_of(self, answer: RawAnswer) -> float | None:
        """Return the requests per second that the upstream takes, None if any.

        A value that is no number counts as none, as if the header were missing.
        """
        return _parse_number(answer.header(UPSTREAM_RATE_LIMIT_HEADER.lower()))

    def is_leaving(self, answer: RawAnswer) -> bool:
        """Return whether the upstream says that it leaves."""
        text = answer.header(UPSTREAM_LEAVING_HEADER.lower())
        return text is not None and text.strip() == "1"

    def health_headers(self, host: str) -> Headers:
        """Return the headers of a health probe."""
        return (("Host", host),)

    def read_health(self, answer: RawAnswer) -> tuple[str, int]:
        """Return the id and the slots of a healthy upstream, else an empty id."""
        if answer.status != 200:
            return "", 0
        upstream_id = answer.header(UPSTREAM_ID_HEADER.lower()) or ""
        load = self.load_of(answer)
        return upstream_id, load.slots if load else 0
