"""Tests for log output: complete lines, bounded volume, no blocking."""

import fcntl
import json
import os
from dataclasses import dataclass

import eventlet
from loguru import logger
from testtools import TestCase

from verbenawick.mesh import _log_output
from verbenawick.mesh._log_output import (
    MAX_BUFFERED_LINES,
    MAX_EVENT_LINES_PER_S,
    LogOutput,
    configure_log_output,
)
from verbenawick.runtime._events import Event, emit, register_event, set_event_filter


@register_event(9701, level="WARNING")
@dataclass(frozen=True, slots=True)
class SampleEvent(Event):
    """Event for these tests."""

    request: str
    attempt: int


@register_event(9702, level="DEBUG")
@dataclass(frozen=True, slots=True)
class DebugEvent(Event):
    """Event below the level of the log of these tests."""

    peer: str


class LogOutputTest(TestCase):
    """Log output to a pipe, which some tests do not read."""

    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.output = LogOutput(fileno=writer)
        configure_log_output(self.output, node_id="n1", level="INFO")
        self.addCleanup(set_event_filter, None)
        self.addCleanup(logger.remove)
        thread = eventlet.spawn(self.output.run)
        self.addCleanup(thread.kill)

    def lines(self):
        """Return the lines written since the last call."""
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
        """On-call engineers search for requests by id and for events by number."""
        emit(SampleEvent("q1", 2))
        (line,) = self.lines()
        self.assertEqual(
            (9701, "SampleEvent", "n1", "q1", 2),
            (
                line["event"],
                line["name"],
                line["node"],
                line["request"],
                line["attempt"],
            ),
        )

    def test_lines_over_the_rate_limit_are_counted(self):
        """Without the counts a reader would take the log for complete."""
        self.patch(_log_output, "REPORT_INTERVAL_S", 0.0)
        for number in range(MAX_EVENT_LINES_PER_S + 25):
            emit(SampleEvent(f"q{number}", 1))
        lines = self.lines()
        self.assertEqual(
            MAX_EVENT_LINES_PER_S, sum(line["event"] == 9701 for line in lines)
        )
        omitted = [line["omitted"] for line in lines if line["event"] == 700]
        self.assertEqual(["9701=25"], omitted)

    def test_events_below_the_level_are_not_reported_as_omitted(self):
        """A node that opened links reported lines that its log never has."""
        self.patch(_log_output, "REPORT_INTERVAL_S", 0.0)
        for number in range(MAX_EVENT_LINES_PER_S + 25):
            emit(DebugEvent(f"n{number}"))
        emit(SampleEvent("q1", 1))
        self.assertEqual([9701], [line["event"] for line in self.lines()])

    def test_events_below_the_level_are_not_formatted(self):
        """Each end of each link emits such events."""

        class Unprintable:
            def __str__(self):
                raise AssertionError("formatted")

        emit(DebugEvent(Unprintable()))

    def test_stalled_reader_does_not_block_emit(self):
        """A call must not block until the output is read."""
        set_event_filter(lambda number: True)
        fcntl.fcntl(self.reader, fcntl.F_SETPIPE_SZ, 4096)
        with eventlet.Timeout(5):
            for number in range(MAX_BUFFERED_LINES + 200):
                emit(SampleEvent(f"q{number}", 1))
            self.output.flush()
        names = {line["name"] for line in self.lines()}
        self.assertIn("SampleEvent", names)

    def test_lines_are_whole_after_a_short_write(self):
        """A truncated line would also corrupt the line after it."""
        set_event_filter(lambda number: True)
        fcntl.fcntl(self.reader, fcntl.F_SETPIPE_SZ, 4096)
        for number in range(200):
            emit(SampleEvent(f"q{number}", 1))
        self.output.flush()
        lines = []
        while len(lines) < 200:
            read = self.lines()
            self.assertTrue(read)
            lines += read
        self.assertEqual(
            [f"q{number}" for number in range(200)], [line["request"] for line in lines]
        )
