"""Headers and bodies of HTTP messages, for the interfaces of all daemons.

A daemon imports this module without those of the project's own call interface.
"""

from collections.abc import Callable, Iterable

from verbenawick.errors import BadCallError, RequestTooLargeError

# Bytes of a body that are read at once.
PIECE_BYTES = 64 * 1024
# Idle time after which a connection to an upstream is not reused, unless the upstream
# announces a shorter one. Common HTTP servers close idle connections after 5 s or more.
MAX_IDLE_S = 4.0
# Subtracted from the announced idle time, to allow for the transit time of the request.
IDLE_MARGIN_S = 0.5

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def idle_time_s(keep_alive: Iterable[str]) -> float:
    """Return how long a connection may stay idle and still be reused.

    Parameters
    ----------
    keep_alive : iterable of str
        Values of the ``Keep-Alive`` fields of the last response.
    """
    limits_s = [MAX_IDLE_S]
    for parameter in ",".join(keep_alive).split(","):
        name, _, value = parameter.partition("=")
        value = value.strip(' \t"')
        if name.strip().lower() == "timeout" and value.isdecimal():
            limits_s.append(int(value) - IDLE_MARGIN_S)
    return min(limits_s)


def is_status(status: int) -> bool:
    """Return whether an answer can have `status`; any other one is no answer."""
    return 100 <= status <= 599


def has_body(environ) -> bool:
    """Return whether a request has a body, which may be empty."""
    return "CONTENT_LENGTH" in environ or "HTTP_TRANSFER_ENCODING" in environ


def read_body(
    environ, max_bytes: int, *, reserve: Callable[[int], None] = lambda count: None
) -> bytes:
    """Return the complete request body.

    Parameters
    ----------
    reserve : callable
        Called before bytes of the body are kept; may raise a `CallError`.
    """
    if not has_body(environ):
        return b""
    length = environ.get("CONTENT_LENGTH")
    if length is not None and int(length) > max_bytes:
        raise _too_large(max_bytes)
    if length is not None:
        reserve(int(length))
    body = bytearray()
    # Pieces, since the server keeps each chunk as an object until a read returns.
    while piece := _read_piece(environ, max_bytes + 1 - len(body)):
        if length is None:
            reserve(len(piece))
        body += piece
        if len(body) > max_bytes:
            raise _too_large(max_bytes)
    if length is not None and len(body) != int(length):
        raise BadCallError("body is shorter than its length", step="entry.body")
    return bytes(body)


def _too_large(max_bytes: int) -> RequestTooLargeError:
    """Return the error for a body.

    A reader that kept it in a variable would form a reference cycle with its traceback,
    which keeps the body until the next garbage collection.
    """
    return RequestTooLargeError(
        f"request body exceeds {max_bytes} bytes", step="entry.body"
    )


def _read_piece(environ, max_bytes: int) -> bytes:
    try:
        return environ["wsgi.input"].read(min(PIECE_BYTES, max_bytes))
    except (OSError, ValueError) as error:
        raise BadCallError(f"body is incomplete: {error}", step="entry.body") from error
