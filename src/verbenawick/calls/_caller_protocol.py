"""Parser of HTTP request heads for eventlet's WSGI server.

`http.server` parses headers with the standard library's email parser, which takes three
times as long as httptools. httptools also parses the responses of upstreams. It rejects
ambiguous heads that allow request smuggling, such as a Content-Length beside a chunked
body.
"""

from http.client import HTTPMessage

from eventlet import wsgi
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

_HEAD_TERMINATORS = (b"\r\n", b"\n", b"")


class _RequestHead:
    """Target and headers of one request, filled by the parser's callbacks."""

    def __init__(self):
        self.target = b""
        self.headers = HTTPMessage()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        text = value.decode("latin-1").strip(" \t")
        self.headers[name.decode("latin-1")] = text


class CallerProtocol(wsgi.HttpProtocol):
    """HTTP protocol of one connection of a caller."""

    def parse_request(self) -> bool:
        """Parse the request head that begins with ``raw_requestline``.

        Returns
        -------
        bool
            False if the head is invalid or incomplete; an invalid head has been
            answered with an error.
        """
        self.command = ""
        self.request_version = "HTTP/1.1"
        self.requestline = self.raw_requestline.decode("latin-1").rstrip("\r\n")
        # Close the connection after answering an invalid head.
        self.close_connection = True
        lines = self._read_lines()
        head = _RequestHead()
        parser = HttpRequestParser(head)
        try:
            parser.feed_data(b"".join(lines))
        except HttpParserUpgrade:
            # Protocol upgrades are not supported; serve the request without one.
            pass
        except HttpParserError:
            self.send_error(400, "Bad Request")
            return False
        if lines[-1] == b"" or not head.target:
            # The connection was closed before the head was complete.
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
        """Return the lines of the head, whose size the server limits."""
        lines = [self.raw_requestline]
        while lines[-1] not in _HEAD_TERMINATORS:
            lines.append(self.rfile.readline())
        return lines
