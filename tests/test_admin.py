"""Tests of the HTTP interface for operators."""

import json

from testtools import TestCase

from verbenawick.errors import VerbenawickError
from verbenawick.node._admin import AdminPages


class AdminPagesTest(TestCase):
    """Dispatch of pages by path, and errors in pages."""

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

    def test_page_gets_the_query_parameters(self):
        """Guards against ignored filters of the `/explain` page."""
        status, value = self.get("/status", "node=n1")
        self.assertEqual(("200 OK", {"query": {"node": "n1"}}), (status, value))

    def test_unknown_path_returns_the_list_of_pages(self):
        """Guards against a traceback instead of a 404 response."""
        status, value = self.get("/nothing")
        self.assertEqual(("404 Not Found", ["/status"]), (status, value["pages"]))

    def test_error_of_a_page_returns_status_400(self):
        """Guards against an error that stops the server of the pages."""
        status, value = self.get("/status", "fail=1")
        self.assertEqual("400 Bad Request", status)
        self.assertIn("no such node", value["error"])
