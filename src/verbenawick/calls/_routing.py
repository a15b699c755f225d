"""Matching of requests to routes."""

from collections import defaultdict

from verbenawick.calls._table import Route, RoutingTable


class Router:
    """Finds the route of a request.

    Indexes the routes of the last table by first path segment, since the routes of 82
    services would otherwise be searched linearly for each call.
    """

    def __init__(self):
        self._table: RoutingTable | None = None
        self._routes_by_segment: dict[str, list[Route]] = {}

    def match(
        self, table: RoutingTable, *, method: str, path: str, host: str
    ) -> Route | None:
        """Return the first matching route of `table`, None if there is none.

        A prefix matches whole path segments: ``/lots`` matches ``/lots`` and
        ``/lots/7`` but not ``/lotsize``.

        Parameters
        ----------
        path : str
            Path as sent by the caller, without the query.
        host : str
            Host of the request without port; compared case-insensitively.
        """
        if table is not self._table:
            self._routes_by_segment = _index_routes(table.routes)
            self._table = table
        routes = self._routes_by_segment.get(_first_segment(path))
        if routes is None:
            routes = self._routes_by_segment[""]
        for route in routes:
            if not _prefix_matches(route.path_prefix, path):
                continue
            if route.methods and method not in route.methods:
                continue
            if route.host and route.host.lower() != host.lower():
                continue
            return route
        return None


def _index_routes(routes: tuple[Route, ...]) -> dict[str, list[Route]]:
    segments = {_first_segment(route.path_prefix) for route in routes} | {""}
    routes_by_segment: dict[str, list[Route]] = defaultdict(list)
    for segment in segments:
        # Routes for "/" match under any segment. The order of the table is preserved.
        routes_by_segment[segment] = [
            route
            for route in routes
            if _first_segment(route.path_prefix) in ("", segment)
        ]
    return dict(routes_by_segment)


def _prefix_matches(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def _first_segment(path: str) -> str:
    return path[1:].partition("/")[0]
