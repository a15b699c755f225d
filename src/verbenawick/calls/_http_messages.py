"""Headers and bodies of HTTP messages, for the interfaces of all daemons.

A daemon imports this module without those of the project's own call interface.
"""

from verbenawick.errors import BadCallError, RequestTooLargeError

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


def read_body(environ, max_bytes: int) -> bytes:
    """Return the complete request body."""
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
