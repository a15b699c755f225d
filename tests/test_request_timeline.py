"""Timeline of a request from the log lines of several nodes."""

import json

from testtools import TestCase

from verbenawick.operators._request_timeline import build_timeline


def line(second: float, node: str, event: int, name: str, **fields) -> str:
    """Return a log line."""
    time = f"2026-01-01T10:00:{second:06.3f}+00:00"
    content = {"time": time, "level": "INFO", "event": event, "name": name}
    return json.dumps({**content, "node": node, **fields}, separators=(",", ":"))


class RequestTimelineTest(TestCase):
    """Selection and order of the lines about a request and their context."""

    def test_lines_of_all_nodes_are_ordered_by_time(self):
        """The refusal by the gateway precedes the response of the entry."""
        lines = [
            line(5.2, "n1", 730, "CallEnded", request="q", offers="n2:call.queue-full"),
            line(5.1, "n2", 720, "GatewayRefused", request="q", running=12),
            line(5.0, "n3", 720, "GatewayRefused", request="other"),
        ]
        timeline = build_timeline("q", lines)
        self.assertEqual(
            ["GatewayRefused", "CallEnded"], [entry.name for entry in timeline]
        )

    def test_state_changes_of_involved_nodes_are_included(self):
        """For example, an upstream that drains explains the refusal that follows."""
        lines = [
            line(4.0, "n2", 710, "UpstreamChanged", state="draining"),
            line(4.0, "n9", 710, "UpstreamChanged", state="draining"),
            line(0.5, "n2", 710, "UpstreamChanged", state="ready"),
            line(5.2, "n1", 730, "CallEnded", request="q", offers="n2:call.draining"),
        ]
        timeline = build_timeline("q", lines)
        self.assertEqual([False, True], [entry.concerns_request for entry in timeline])
        self.assertIn("state=draining", str(timeline[0]))

    def test_calls_made_by_the_upstream_are_included(self):
        """A request often fails because a call of its upstream failed."""
        lines = [line(5.0, "n1", 730, "CallEnded", request="q.7f")]
        self.assertEqual(1, len(build_timeline("q", lines)))
        self.assertEqual([], build_timeline("q.7", lines))

    def test_invalid_lines_are_ignored(self):
        """Log files end with a partial line if the process was killed."""
        entry_line = line(5.0, "n1", 730, "CallEnded", request="q")
        lines = [
            "",
            "text",
            entry_line[:40],
            "12.5 n1 " + entry_line,
            '{"time":7}',
        ]
        self.assertEqual(1, len(build_timeline("q", lines)))
