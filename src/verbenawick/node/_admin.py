"""HTTP interface of a node for operators: JSON pages by path.

The node registers one function per page, such as `/healthz`, `/status`, `/explain`,
`/metrics` and `/members`.
"""

import json
from collections.abc import Callable
from urllib.parse import parse_qsl

from verbenawick.errors import VerbenawickError

PageFunction = Callable[[dict[str, str]], object]


class AdminPages:
    """WSGI application that serves the registered pages as JSON."""

    def __init__(self):
        self._pages_by_path: dict[str, PageFunction] = {}

    def page(self, path: str) -> Callable[[PageFunction], PageFunction]:
        """Return a decorator that registers a page function for `path`.

        The page function takes the query parameters and returns a JSON value.
        """

        def decorate(page_function: PageFunction) -> PageFunction:
            self._pages_by_path[path] = page_function
            return page_function

        return decorate

    def __call__(self, environ, start_response) -> list[bytes]:
        """Respond to one request."""
        page_function = self._pages_by_path.get(environ.get("PATH_INFO", ""))
        if page_function is None:
            value = {"pages": sorted(self._pages_by_path)}
            return _respond(start_response, "404 Not Found", value)
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        try:
            return _respond(start_response, "200 OK", page_function(query))
        except (VerbenawickError, ValueError, KeyError) as error:
            return _respond(start_response, "400 Bad Request", {"error": str(error)})


def _respond(start_response, status: str, value: object) -> list[bytes]:
    body = json.dumps(value, default=str).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]
