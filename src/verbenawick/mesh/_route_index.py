"""Route lookup by host and path prefix, and weighted choice of a route's target."""

from collections import defaultdict

from verbenawick.mesh._model import MeshConfiguration, MeshRoute, RouteTarget


class RouteIndex:
    """Routes of one configuration by host and path prefix; the longest prefix wins."""

    def __init__(self, configuration: MeshConfiguration):
        prefixes_by_host: dict[str, dict[str, MeshRoute]] = defaultdict(dict)
        for route in configuration.routes:
            prefixes_by_host[route.host.lower()][route.path_prefix] = route
        self._routes_by_prefix_by_host = dict(prefixes_by_host)

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Return the route for `path` on `host`, None if there is none.

        Every prefix ends with a slash, so only the parts of the path up to a slash are
        looked up, longest first.
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
    """Smooth weighted round robin over the targets of each route.

    Each target gets exactly its share of any consecutive requests whose number is the
    sum of the weights. Random choice would deviate over short periods.
    """

    def __init__(self):
        self._credits_by_route: dict[
            str, tuple[tuple[RouteTarget, ...], list[float]]
        ] = {}

    def choose(self, route: MeshRoute) -> str:
        """Return the target service of the next request of `route`."""
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

    def retain(self, names: set[str]) -> None:
        """Drop the state of all routes except those in `names`."""
        for name in self._credits_by_route.keys() - names:
            del self._credits_by_route[name]
