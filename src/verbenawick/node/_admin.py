"""Operators' HTTP interface of a node: JSON pages by path.

`/healthz`, `/status`, `/explain`, `/metrics`; the node registers one function per
page.
"""

import json
from collections.abc import Callable
from urllib.parse import parse_qsl

from verbenawick.errors import VerbenawickError

PageFunction = Callable[[dict[str, str]], object]


class AdminPages:
    """WSGI application that serves registered pages as JSON."""

    def __init__(self):
        self._pages_by_path: dict[str, PageFunction] = {}

    def page(self, path: str) -> Callable[[PageFunction], PageFunction]:
        """Return a decorator that registers a function for `path`.

        The function gets the query parameters and returns a JSON value.
        """

        def decorate(function: PageFunction) -> PageFunction:
            self._pages_by_path[path] = function
            return function

        return decorate

    def __call__(self, environ, start_response) -> list[bytes]:
        """Answer one request."""
        function = self._pages_by_path.get(environ.get("PATH_INFO", ""))
        if function is None:
            value = {"pages": sorted(self._pages_by_path)}
            return _answer(start_response, "404 Not Found", value)
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        try:
            return _answer(start_response, "200 OK", function(query))
        except (VerbenawickError, ValueError, KeyError) as error:
            return _answer(start_response, "400 Bad Request", {"error": str(error)})


def _answer(start_response, status: str, value: object) -> list[bytes]:
    body = json.dumps(value, default=str).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]
