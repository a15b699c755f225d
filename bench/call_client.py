"""Minimal HTTP client for the call benchmarks: one socket, little overhead."""

from dataclasses import dataclass

RECEIVE_BUFFER_BYTES = 65536


@dataclass(slots=True)
class Response:
    """An HTTP response.

    Attributes
    ----------
    headers : dict of str to str
        Values by lower-case name.
    size : int
        Length of the body in bytes.
    """

    status: int
    headers: dict[str, str]
    size: int

    @property
    def outcome(self) -> str:
        """Return the outcome header; empty if an upstream responded directly."""
        return self.headers.get("verbenawick-outcome", "")

    @property
    def code(self) -> str:
        """Return the error code header; empty for a complete call."""
        return self.headers.get("verbenawick-code", "")


def encode_request(
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return an encoded HTTP request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: bench"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def exchange(sock, request: bytes) -> Response:
    """Send a request and return its response once it is complete.

    Raises
    ------
    ConnectionError
        The connection was closed before the response was complete.
    """
    sock.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(_parse_header(line) for line in lines)
    size = int(headers.get("content-length", "0"))
    received = len(body)
    while received < size:
        received += len(_receive(sock))
    return Response(int(status_line.split(" ", 2)[1]), headers, size)


def _parse_header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.lower(), value.strip()


def _receive(sock) -> bytes:
    data = sock.recv(RECEIVE_BUFFER_BYTES)
    if not data:
        raise ConnectionError("connection closed before the response was complete")
    return data
