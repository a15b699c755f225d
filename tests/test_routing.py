"""Route matching."""

from testtools import TestCase

from verbenawick.calls._routing import Router
from verbenawick.calls._table import Route, RoutingTable


class RouterTest(TestCase):
    """First match in table order, by whole path segments."""

    def match(self, path, *, method="GET", host=""):
        route = self.router.match(self.table, method=method, path=path, host=host)
        return route.route_id if route else None

    def setUp(self):
        super().setUp()
        self.router = Router()
        self.use(
            Route("fees", "/lots/fees", "treasury"),
            Route("write", "/lots", "desk", frozenset({"POST"})),
            Route("lots", "/lots", "lodging"),
            Route("host", "/", "hosted", host="Mark.example"),
        )

    def use(self, *routes):
        self.table = RoutingTable(1, b"", "ordinary", routes=routes)

    def test_the_first_match_wins(self):
        """Longer prefixes and methods select the route."""
        self.assertEqual("fees", self.match("/lots/fees/7"))
        self.assertEqual("write", self.match("/lots/7", method="POST"))
        self.assertEqual("lots", self.match("/lots/7"))

    def test_a_prefix_matches_whole_segments(self):
        """Guards against ``/lotsize`` reaching the service of ``/lots``."""
        self.assertIsNone(self.match("/lotsize"))
        self.assertEqual("lots", self.match("/lots"))

    def test_a_host_restricts_a_route(self):
        """Routes for "/" match paths under indexed segments too."""
        self.assertEqual("host", self.match("/lotsize", host="mark.example"))
        self.assertIsNone(self.match("/other", host="else.example"))

    def test_a_new_table_replaces_the_index(self):
        """Guards against routes of an earlier version staying in force."""
        self.match("/lots")
        self.use(Route("all", "/", "svc"))
        self.assertEqual("all", self.match("/lots/7"))
