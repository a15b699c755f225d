"""The story of a request from log lines of several nodes."""

import json

from testtools import TestCase

from verbenawick.operators._request_story import tell_story


def line(second: float, node: str, event: int, name: str, **fields) -> str:
    """Return a log line."""
    time = f"2026-01-01T10:00:{second:06.3f}+00:00"
    content = {"time": time, "level": "INFO", "event": event, "name": name}
    return json.dumps({**content, "node": node, **fields}, separators=(",", ":"))


class RequestStoryTest(TestCase):
    """From an id to its cause."""

    def test_lines_of_all_nodes_are_told_in_order(self):
        """The refusal at the gateway comes before the answer of the entry."""
        lines = [
            line(5.2, "n1", 730, "CallEnded", request="q", offers="n2:call.queue-full"),
            line(5.1, "n2", 720, "GatewayRefused", request="q", running=12),
            line(5.0, "n3", 720, "GatewayRefused", request="other"),
        ]
        story = tell_story("q", lines)
        self.assertEqual(
            ["GatewayRefused", "CallEnded"], [entry.name for entry in story]
        )

    def test_changes_of_the_nodes_concerned_are_the_background(self):
        """An upstream that turned away work explains the refusal that follows."""
        lines = [
            line(4.0, "n2", 710, "UpstreamChanged", state="draining"),
            line(4.0, "n9", 710, "UpstreamChanged", state="draining"),
            line(0.5, "n2", 710, "UpstreamChanged", state="ready"),
            line(5.2, "n1", 730, "CallEnded", request="q", offers="n2:call.draining"),
        ]
        story = tell_story("q", lines)
        self.assertEqual([False, True], [entry.concerns_request for entry in story])
        self.assertIn("state=draining", str(story[0]))

    def test_calls_of_its_upstream_belong_to_the_request(self):
        """A request often fails because a call behind it failed."""
        lines = [line(5.0, "n1", 730, "CallEnded", request="q.7f")]
        self.assertEqual(1, len(tell_story("q", lines)))
        self.assertEqual([], tell_story("q.7", lines))

    def test_unreadable_lines_are_passed_over(self):
        """Log files are cut off where a process was killed."""
        whole = line(5.0, "n1", 730, "CallEnded", request="q")
        lines = ["", "text", whole[:40], "12.5 n1 " + whole, '{"time":7}']
        self.assertEqual(1, len(tell_story("q", lines)))
