"""Response of `http.client` whose status line has to be valid."""

import re
from http.client import BadStatusLine, HTTPResponse, RemoteDisconnected

MAX_STATUS_LINE_BYTES = 65_536
# Bytes of an invalid line that its error shows.
SHOWN_BYTES = 64

_STATUS_LINE = re.compile(rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: ([^\r\n]*))?\r?\n")


class StrictResponse(HTTPResponse):
    """Response whose status is a number of three digits between 100 and 599.

    `http.client` takes all that Python takes for a number up to 999, such as ``+200``.
    """

    def _read_status(self) -> tuple[str, int, str]:
        line = self.fp.readline(MAX_STATUS_LINE_BYTES + 1)
        if not line:
            raise RemoteDisconnected("connection closed without a response")
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise BadStatusLine(f"invalid status line {line[:SHOWN_BYTES]!r}")
        version, status, reason = match.groups(b"")
        return version.decode(), int(status), reason.decode("latin-1").strip()
