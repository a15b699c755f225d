"""Log lines on standard output, bounded in rate and memory, that never block a call."""

import os
from collections import deque
from time import monotonic

import eventlet
import msgspec
from eventlet.event import Event
from loguru import logger

from verbenawick.mesh._node_events import LinesOmitted
from verbenawick.runtime._events import emit, limit_events

# Lines kept while the reader of the output is slow.
MAX_LINES_KEPT = 5000
# Lines a second written for one event; the rest are counted.
LINES_PER_EVENT_S = 40
FLUSH_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 5.0


class LogOutput:
    """Sink of loguru: one JSON object a line, written by a task of its own.

    Parameters
    ----------
    fileno : int
        Where the lines go; set to non-blocking.
    """

    def __init__(self, *, fileno: int = 1):
        self._fileno = fileno
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._has_lines = Event()
        self._counts_by_event: dict[int, list[float]] = {}
        self._omitted_by_event: dict[str, int] = {}
        self._reported_at = monotonic()
        os.set_blocking(fileno, False)

    def sink(self, message) -> None:
        """Take a record of loguru."""
        record = message.record
        extra = record["extra"]
        number = extra.get("event", 0)
        fields = {key: value for key, value in extra.items() if key != "event"}
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": number,
            "name": _name_in(record["message"]),
            **fields,
        }
        if not number:
            line["message"] = record["message"]
        self._append(line)

    def run(self) -> None:
        """Write lines until the green thread is killed."""
        while True:
            self._has_lines.wait()
            eventlet.sleep(FLUSH_INTERVAL_S)
            self._report_omitted()
            self.flush()
            if not self._lines and not self._partial:
                self._has_lines = Event()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._lines or self._partial:
            data = self._partial or self._lines.popleft()
            try:
                written = os.write(self._fileno, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                # Nobody reads the output any more; serving goes on without a log.
                self._lines.clear()
                self._partial = b""
                return
            self._partial = data[written:]

    def _append(self, line: dict) -> None:
        if len(self._lines) >= MAX_LINES_KEPT:
            self._lines.popleft()
            count = self._omitted_by_event.get("unread", 0)
            self._omitted_by_event["unread"] = count + 1
        if not self._has_lines.ready():
            self._has_lines.send(True)
        self._lines.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def is_within_rate(self, number: int) -> bool:
        """Return whether one more line of an event is written now; count the others."""
        now = monotonic()
        window = self._counts_by_event.setdefault(number, [now, 0])
        if now - window[0] >= 1:
            window[0], window[1] = now, 0
        window[1] += 1
        if window[1] <= LINES_PER_EVENT_S:
            return True
        name = str(number)
        self._omitted_by_event[name] = self._omitted_by_event.get(name, 0) + 1
        return False

    def _report_omitted(self) -> None:
        now = monotonic()
        if not self._omitted_by_event or now - self._reported_at < REPORT_INTERVAL_S:
            return
        omitted, self._omitted_by_event = self._omitted_by_event, {}
        self._reported_at = now
        counts = (f"{number}={count}" for number, count in sorted(omitted.items()))
        emit(LinesOmitted(",".join(counts)))


def configure_log_output(output: LogOutput, *, node_id: str, level: str) -> None:
    """Send all log events of the process to `output`."""
    logger.remove()
    logger.configure(extra={"node": node_id})
    logger.add(output.sink, level=level, format="{message}")
    limit_events(output.is_within_rate)


def _name_in(message: str) -> str:
    parts = message.split(" ", 2)
    return parts[1] if len(parts) > 1 and parts[0].isdigit() else ""
