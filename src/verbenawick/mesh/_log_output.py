"""Non-blocking log output with a rate limit and a bounded buffer."""

import os
from collections import deque
from time import monotonic

import eventlet
import msgspec
from eventlet.event import Event
from loguru import logger

from verbenawick.mesh._node_events import LinesOmitted
from verbenawick.runtime._events import emit, set_event_filter

# Lines buffered while the reader of the output is slow; the oldest are dropped first.
MAX_BUFFERED_LINES = 5000
# Maximum lines per second and event; further lines are dropped and counted.
MAX_EVENT_LINES_PER_S = 40
FLUSH_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 5.0


class LogOutput:
    """Loguru sink that writes one JSON object per line from a separate task.

    Parameters
    ----------
    fileno : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, *, fileno: int = 1):
        self._fileno = fileno
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._has_lines = Event()
        self._counts_by_event: dict[int, list[float]] = {}
        self._omitted_by_event: dict[str, int] = {}
        self._reported_at = monotonic()
        os.set_blocking(fileno, False)

    def sink(self, message) -> None:
        """Buffer a loguru record for writing."""
        record = message.record
        extra = record["extra"]
        number = extra.get("event", 0)
        fields = {key: value for key, value in extra.items() if key != "event"}
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": number,
            "name": _event_name(record["message"]),
            **fields,
        }
        if not number:
            line["message"] = record["message"]
        self._append(line)

    def run(self) -> None:
        """Write buffered lines until the green thread is killed."""
        while True:
            self._has_lines.wait()
            eventlet.sleep(FLUSH_INTERVAL_S)
            self._report_omitted()
            self.flush()
            if not self._lines and not self._unwritten:
                self._has_lines = Event()

    def flush(self) -> None:
        """Write as many lines as possible without blocking."""
        while self._lines or self._unwritten:
            data = self._unwritten or self._lines.popleft()
            try:
                written = os.write(self._fileno, data)
            except BlockingIOError:
                self._unwritten = data
                return
            except OSError:
                # The reader has closed the output; the node continues without a log.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = data[written:]

    def _append(self, line: dict) -> None:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._lines.popleft()
            count = self._omitted_by_event.get("unread", 0)
            self._omitted_by_event["unread"] = count + 1
        if not self._has_lines.ready():
            self._has_lines.send(True)
        self._lines.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def allow_line(self, number: int) -> bool:
        """Return whether the rate limit admits a line; count the dropped ones."""
        now = monotonic()
        window = self._counts_by_event.setdefault(number, [now, 0])
        if now - window[0] >= 1:
            window[0], window[1] = now, 0
        window[1] += 1
        if window[1] <= MAX_EVENT_LINES_PER_S:
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
    """Route all log events of the process to `output`."""
    logger.remove()
    logger.configure(extra={"node": node_id})
    logger.add(output.sink, level=level, format="{message}")
    set_event_filter(output.allow_line, min_level=level)


def _event_name(message: str) -> str:
    parts = message.split(" ", 2)
    return parts[1] if len(parts) > 1 and parts[0].isdigit() else ""
