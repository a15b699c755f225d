"""Operators' HTTP interface."""

import json

from testtools import TestCase

from verbenawick.errors import VerbenawickError
from verbenawick.node._admin import AdminPages


class AdminPagesTest(TestCase):
    """Pages by path, with errors that leave the process serving."""

    def setUp(self):
        super().setUp()
        self.pages = AdminPages()

        @self.pages.page("/status")
        def status(query):
            if "fail" in query:
                raise VerbenawickError("no such node", step="status")
            return {"query": query}

    def get(self, path, query=""):
        statuses = []
        environ = {"PATH_INFO": path, "QUERY_STRING": query}
        body = self.pages(environ, lambda status, headers: statuses.append(status))
        return statuses[0], json.loads(b"".join(body))

    def test_a_page_gets_the_query(self):
        """Parameters reach the page; guards against lost filters in `/explain`."""
        status, value = self.get("/status", "node=n1")
        self.assertEqual(("200 OK", {"query": {"node": "n1"}}), (status, value))

    def test_an_unknown_path_names_the_known_ones(self):
        """A wrong path is answered with the list of pages, not with a traceback."""
        status, value = self.get("/nothing")
        self.assertEqual(("404 Not Found", ["/status"]), (status, value["pages"]))

    def test_an_error_of_a_page_is_an_answer(self):
        """A typed error becomes a 400 answer; guards against a dead admin task."""
        status, value = self.get("/status", "fail=1")
        self.assertEqual("400 Bad Request", status)
        self.assertIn("no such node", value["error"])
