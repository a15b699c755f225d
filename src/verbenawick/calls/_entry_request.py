"""What the entry reads from a caller's request: headers, body, fingerprint.

Every problem raises a `CallError` that proves that the request did not run.
"""

from xxhash import xxh3_128_digest

from verbenawick.calls._table import Criticality, ServicePolicy
from verbenawick.calls._upstream import HOP_HEADERS
from verbenawick.errors import BadCallError, RequestTooLargeError
from verbenawick.links._call_messages import Headers

# Headers that the entry reads and the gateway writes anew.
CALL_HEADERS = frozenset(
    {
        "attempt",
        "call-depth",
        "content-length",
        "criticality",
        "expect",
        "idempotency-key",
        "request-timeout",
        "traceparent",
    }
)
DROPPED_HEADERS = HOP_HEADERS | CALL_HEADERS

LONGEST_TIMEOUT_S = 30.0
LARGEST_NUMBER = 1_000_000
# A keyed request that does not say which attempt it is may be a resend.
UNDECLARED_ATTEMPT = 2
MAX_KEY_LENGTH = 200

CRITICALITY_BY_NAME = {level.name.lower(): level for level in Criticality}


def criticality_in(environ, policy: ServicePolicy) -> Criticality:
    """Return the criticality that the caller asks for, else that of the policy."""
    name = environ.get("HTTP_CRITICALITY")
    if name is None:
        return policy.criticality
    criticality = CRITICALITY_BY_NAME.get(name.lower())
    if criticality is None:
        raise BadCallError(
            f"Criticality {name!r} is not high, normal or low", step="entry.headers"
        )
    return criticality


def timeout_in(environ, policy: ServicePolicy) -> float:
    """Return the time in seconds for which the caller waits."""
    if "HTTP_REQUEST_TIMEOUT" not in environ:
        return policy.timeout_s
    timeout_ms = number_in(environ, "HTTP_REQUEST_TIMEOUT", 0, least=1)
    return min(timeout_ms / 1000, LONGEST_TIMEOUT_S)


def attempt_in(environ) -> int:
    """Return which attempt of the caller's request this is."""
    has_key = bool(environ.get("HTTP_IDEMPOTENCY_KEY"))
    return number_in(
        environ, "HTTP_ATTEMPT", UNDECLARED_ATTEMPT if has_key else 1, least=1
    )


def number_in(environ, name: str, default: int, *, least: int) -> int:
    """Return a whole number of at least `least` from a header."""
    text = environ.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise BadCallError(f"{name} {text!r} is not a number", step="entry.headers")
    number = int(text)
    if number < least or number > LARGEST_NUMBER:
        raise BadCallError(f"{name} {number} is out of range", step="entry.headers")
    return number


def read_body(environ, max_bytes: int) -> bytes:
    """Return the whole request body."""
    length = environ.get("CONTENT_LENGTH")
    if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    too_large = RequestTooLargeError(
        f"request body exceeds {max_bytes} bytes", step="entry.body"
    )
    if length is not None and int(length) > max_bytes:
        raise too_large
    try:
        body = environ["wsgi.input"].read(max_bytes + 1)
    except (OSError, ValueError) as error:
        raise BadCallError(f"body is incomplete: {error}", step="entry.body") from error
    if len(body) > max_bytes:
        raise too_large
    if length is not None and len(body) != int(length):
        raise BadCallError("body is shorter than its length", step="entry.body")
    return body


def fingerprint_of(method: str, target: str, body: bytes) -> bytes:
    """Return what identifies equal requests."""
    return xxh3_128_digest(f"{method} {target}\n".encode("latin-1") + body)


def forwarded_headers(environ, *, default_host: str) -> Headers:
    """Return the headers that the upstream gets."""
    dropped = DROPPED_HEADERS
    connection = environ.get("HTTP_CONNECTION")
    if connection and connection.lower() not in ("keep-alive", "close"):
        # The sender names further headers that concern its own connection only.
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = dropped | named
    headers = tuple(
        (name, value)
        for name, value in environ["headers_raw"]
        if name.lower() not in dropped
    )
    if "HTTP_HOST" in environ:
        return headers
    # Callers of HTTP/1.0 may send none; the upstream speaks HTTP/1.1, which needs it.
    return (*headers, ("Host", default_host))
