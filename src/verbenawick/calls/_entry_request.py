"""Parsing of a caller's request by the entry: headers, fingerprint.

Invalid requests raise a `CallError`, which proves that the request did not run.
"""

from xxhash import xxh3_128_digest

from verbenawick.calls._http_messages import HOP_BY_HOP_HEADERS
from verbenawick.calls._table import Criticality, ServicePolicy
from verbenawick.errors import BadCallError
from verbenawick.links._call_messages import Headers

# Headers that the entry interprets. They are not forwarded; the gateway writes its own.
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
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | CALL_HEADERS

MAX_TIMEOUT_S = 30.0
MAX_HEADER_INTEGER = 1_000_000
# A keyed request without an Attempt header may be a retry, so it is not taken for the
# first attempt.
DEFAULT_KEYED_ATTEMPT = 2
# Characters; the same limit as `ClaimLimits.max_key_length`.
MAX_KEY_LENGTH = 200

CRITICALITY_BY_NAME = {level.name.lower(): level for level in Criticality}


def parse_criticality(environ, policy: ServicePolicy) -> Criticality:
    """Return the criticality requested by the caller; defaults to the policy's."""
    name = environ.get("HTTP_CRITICALITY")
    if name is None:
        return policy.criticality
    criticality = CRITICALITY_BY_NAME.get(name.lower())
    if criticality is None:
        raise BadCallError(
            f"Criticality {name!r} is not high, normal or low", step="entry.headers"
        )
    return criticality


def parse_timeout(environ, policy: ServicePolicy) -> float:
    """Return the timeout of the caller in seconds."""
    if "HTTP_REQUEST_TIMEOUT" not in environ:
        return policy.timeout_s
    timeout_ms = parse_integer(environ, "HTTP_REQUEST_TIMEOUT", 0, minimum=1)
    return min(timeout_ms / 1000, MAX_TIMEOUT_S)


def parse_attempt(environ) -> int:
    """Return the caller's attempt number, 1 for the first."""
    has_key = bool(environ.get("HTTP_IDEMPOTENCY_KEY"))
    return parse_integer(
        environ, "HTTP_ATTEMPT", DEFAULT_KEYED_ATTEMPT if has_key else 1, minimum=1
    )


def parse_integer(environ, name: str, default: int, *, minimum: int) -> int:
    """Return the integer in a header, which must be at least `minimum`."""
    text = environ.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise BadCallError(f"{name} {text!r} is not a number", step="entry.headers")
    number = int(text)
    if number < minimum or number > MAX_HEADER_INTEGER:
        raise BadCallError(f"{name} {number} is out of range", step="entry.headers")
    return number


def compute_fingerprint(
    caller_service_id: str, method: str, target: str, body: bytes
) -> bytes:
    """Return the hash that equal requests of one service share.

    Upstreams may treat equal requests of different callers differently.
    """
    head = f"{caller_service_id} {method} {target}\n"
    return xxh3_128_digest(head.encode("latin-1", "replace") + body)


def forwarded_headers(environ, *, default_host: str) -> Headers:
    """Return the headers to forward to the upstream."""
    dropped = DROPPED_HEADERS
    connection = environ.get("HTTP_CONNECTION")
    if connection and connection.lower() not in ("keep-alive", "close"):
        # Connection names further hop-by-hop headers, which must not be forwarded.
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = dropped | named
    headers = tuple(
        (name, value)
        for name, value in environ["headers_raw"]
        if name.lower() not in dropped
    )
    if "HTTP_HOST" in environ:
        return headers
    # HTTP/1.0 callers may omit Host, but HTTP/1.1, spoken to the upstream, requires it.
    return (*headers, ("Host", default_host))
