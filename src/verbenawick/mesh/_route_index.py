"""Selection of the route of a request, and of a target among weighted ones."""

from collections import defaultdict

from verbenawick.mesh._model import MeshConfiguration, MeshRoute, RouteTarget


class RouteIndex:
    """Routes of one configuration by host; the longest matching prefix wins."""

    def __init__(self, configuration: MeshConfiguration):
        prefixes_by_host: dict[str, dict[str, MeshRoute]] = defaultdict(dict)
        for route in configuration.routes:
            prefixes_by_host[route.host.lower()][route.path_prefix] = route
        self._routes_by_prefix_by_host = dict(prefixes_by_host)

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Return the route of `path` on `host`, None without one.

        Every prefix ends with a slash, so only the parts of the path up to a slash
        have to be looked up, the longest first.
        """
        routes_by_prefix = self._routes_by_prefix_by_host.get(host.lower())
        if routes_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class TargetRotation:
    """Deals the requests of weighted routes to their targets (smooth round robin).

    Each target gets its share exactly over any run of as many requests as the weights
    add up to; a random draw would miss the share in a short time.
    """

    def __init__(self):
        self._credits_by_route: dict[
            str, tuple[tuple[RouteTarget, ...], list[float]]
        ] = {}

    def choose(self, route: MeshRoute) -> str:
        """Return the service that the next request of `route` goes to."""
        if len(route.targets) == 1:
            return route.targets[0].service
        targets, credits = self._credits_by_route.get(route.name, ((), []))
        if targets != route.targets:
            credits = [0.0] * len(route.targets)
            self._credits_by_route[route.name] = (route.targets, credits)
        total = 0.0
        for index, target in enumerate(route.targets):
            credits[index] += target.weight
            total += target.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.targets[best].service

    def forget_except(self, names: set[str]) -> None:
        """Drop the counts of routes that no longer exist."""
        for name in self._credits_by_route.keys() - names:
            del self._credits_by_route[name]
