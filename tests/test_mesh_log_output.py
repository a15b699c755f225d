"""Log lines of a node: whole, bounded, and never in the way of a call."""

import fcntl
import json
import os
from dataclasses import dataclass

import eventlet
from loguru import logger
from testtools import TestCase

from verbenawick.mesh import _log_output
from verbenawick.mesh._log_output import (
    LINES_PER_EVENT_S,
    MAX_LINES_KEPT,
    LogOutput,
    configure_log_output,
)
from verbenawick.runtime._events import Event, emit, limit_events, register_event


@register_event(9701, level="WARNING")
@dataclass(frozen=True, slots=True)
class Noted(Event):
    """Event used by these tests only."""

    request: str
    attempt: int


class LogOutputTest(TestCase):
    """Lines go to one end of a pipe that the test reads, or does not."""

    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.output = LogOutput(fileno=writer)
        configure_log_output(self.output, node_id="n1", level="INFO")
        self.addCleanup(limit_events, None)
        self.addCleanup(logger.remove)
        thread = eventlet.spawn(self.output.run)
        self.addCleanup(thread.kill)

    def lines(self):
        """Return the lines that have been written so far."""
        eventlet.sleep(0.3)
        data = b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]
            data += chunk
            self.output.flush()

    def test_line_has_number_name_node_and_fields(self):
        """On-call engineers find a request by its id, an event by its number."""
        emit(Noted("q1", 2))
        (line,) = self.lines()
        self.assertEqual(
            (9701, "Noted", "n1", "q1", 2),
            (
                line["event"],
                line["name"],
                line["node"],
                line["request"],
                line["attempt"],
            ),
        )

    def test_one_event_cannot_fill_the_log(self):
        """What is left out is counted, or a reader would take the log for whole."""
        self.patch(_log_output, "REPORT_INTERVAL_S", 0.0)
        for number in range(LINES_PER_EVENT_S + 25):
            emit(Noted(f"q{number}", 1))
        lines = self.lines()
        self.assertEqual(
            LINES_PER_EVENT_S, sum(line["event"] == 9701 for line in lines)
        )
        omitted = [line["omitted"] for line in lines if line["event"] == 700]
        self.assertEqual(["9701=25"], omitted)

    def test_reader_that_stands_still_blocks_nobody(self):
        """A call must not wait for a log line to be read."""
        limit_events(lambda number: True)
        fcntl.fcntl(self.reader, fcntl.F_SETPIPE_SZ, 4096)
        with eventlet.Timeout(5):
            for number in range(MAX_LINES_KEPT + 200):
                emit(Noted(f"q{number}", 1))
            self.output.flush()
        names = {line["name"] for line in self.lines()}
        self.assertIn("Noted", names)

    def test_lines_are_whole_after_a_short_write(self):
        """Half a line makes the next one unreadable as well."""
        limit_events(lambda number: True)
        fcntl.fcntl(self.reader, fcntl.F_SETPIPE_SZ, 4096)
        for number in range(200):
            emit(Noted(f"q{number}", 1))
        self.output.flush()
        lines = []
        while len(lines) < 200:
            read = self.lines()
            self.assertTrue(read)
            lines += read
        self.assertEqual(
            [f"q{number}" for number in range(200)], [line["request"] for line in lines]
        )
