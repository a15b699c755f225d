"""Reading of request heads for eventlet's WSGI server.

`http.server` reads headers with the parser of the standard library for mail, which
takes three times as long as the parser here. This one also reads the answers of
upstreams; it refuses heads that two readers could understand differently, such as a
length next to a chunked body.
"""

from http.client import HTTPMessage

from eventlet import wsgi
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

_LAST_LINES = (b"\r\n", b"\n", b"")


class _Head:
    """Collects what the parser finds in one head."""

    def __init__(self):
        self.target = b""
        self.headers = HTTPMessage()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        text = value.decode("latin-1").strip(" \t")
        self.headers[name.decode("latin-1")] = text


class CallerProtocol(wsgi.HttpProtocol):
    """One connection of a caller."""

    def parse_request(self) -> bool:
        """Read the head that begins with ``raw_requestline``.

        Returns
        -------
        bool
            False when the head is invalid; an error has been sent then.
        """
        self.command = ""
        self.request_version = "HTTP/1.1"
        self.requestline = self.raw_requestline.decode("latin-1").rstrip("\r\n")
        # An answer to a head that cannot be read ends the connection.
        self.close_connection = True
        lines = self._read_lines()
        head = _Head()
        parser = HttpRequestParser(head)
        try:
            parser.feed_data(b"".join(lines))
        except HttpParserUpgrade:
            # Another protocol is not spoken; the request is served as it is.
            pass
        except HttpParserError:
            self.send_error(400, "Bad Request")
            return False
        if lines[-1] == b"" or not head.target:
            # The connection ended within the head.
            return False
        self.command = parser.get_method().decode("latin-1")
        self.path = head.target.decode("latin-1")
        self.request_version = f"HTTP/{parser.get_http_version()}"
        self.headers = head.headers
        self.close_connection = not parser.should_keep_alive()
        if (
            self.request_version == "HTTP/1.1"
            and head.headers.get("Expect", "").lower() == "100-continue"
        ):
            return self.handle_expect_100()
        return True

    def _read_lines(self) -> list[bytes]:
        """Return the lines of the head; the server itself bounds their size."""
        lines = [self.raw_requestline]
        while lines[-1] not in _LAST_LINES:
            lines.append(self.rfile.readline())
        return lines
