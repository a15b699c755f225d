"""Timeline of a request from the log lines of several nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

# State changes within this time before the first line of a request may explain it.
CONTEXT_WINDOW = timedelta(seconds=3)
# Numbers of events about state changes; see docs/events.md.
CONTEXT_EVENTS = frozenset(
    (*range(701, 708), *range(709, 714), *range(717, 720), *range(740, 747))
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line.

    Attributes
    ----------
    concerns_request : bool
        Whether the line is about the request itself. Other lines are context: state
        changes of the nodes involved.
    """

    at: datetime
    node: str
    name: str
    fields: dict[str, object]
    concerns_request: bool

    def __str__(self) -> str:
        """Return the line in readable form."""
        marker = "*" if self.concerns_request else " "
        text = " ".join(f"{key}={value}" for key, value in self.fields.items())
        time = self.at.time().isoformat(timespec="milliseconds")
        return f"{marker} {time} {self.node} {self.name} {text}"


def build_timeline(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines about a request and their context, in order of time.

    Parameters
    ----------
    request_id : str
        Id of the attempt that the caller sent. Calls made by the upstream while it ran
        the request are included; their ids consist of this id, a dot and a suffix.
    lines : iterable of str
        Log lines of any nodes. Text before the JSON object is ignored, and so are
        lines without a valid one.
    """
    parsed_lines = [line for line in map(_parse_line, lines) if line is not None]
    request_lines = [
        line for line in parsed_lines if _concerns_request(line, request_id)
    ]
    if not request_lines:
        return []
    start = min(_time_of(line) for line in request_lines) - CONTEXT_WINDOW
    end = max(_time_of(line) for line in request_lines)
    nodes = _involved_nodes(request_lines)
    context_lines = [
        line
        for line in parsed_lines
        if line.get("event") in CONTEXT_EVENTS
        and start <= _time_of(line) <= end
        and (line.get("node") in nodes or line.get("peer") in nodes)
    ]
    timeline = [_log_line(line, concerns_request=True) for line in request_lines]
    timeline += [_log_line(line, concerns_request=False) for line in context_lines]
    return sorted(timeline, key=lambda line: line.at)


def _parse_line(text: str) -> dict | None:
    start = text.find('{"time"')
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:].strip())
        datetime.fromisoformat(line["time"])
    except (msgspec.DecodeError, ValueError, TypeError, KeyError):
        return None
    return line


def _concerns_request(line: dict, request_id: str) -> bool:
    line_request_id = str(line.get("request", ""))
    return line_request_id == request_id or line_request_id.startswith(f"{request_id}.")


def _involved_nodes(lines: list[dict]) -> set[str]:
    nodes = {str(line.get("node")) for line in lines}
    for line in lines:
        for offer in str(line.get("offers", "")).split(","):
            if offer:
                nodes.add(offer.partition(":")[0])
    return nodes


def _time_of(line: dict) -> datetime:
    return datetime.fromisoformat(line["time"])


def _log_line(line: dict, *, concerns_request: bool) -> LogLine:
    hidden = ("time", "node", "name", "event", "level")
    fields = {key: value for key, value in line.items() if key not in hidden}
    return LogLine(
        _time_of(line),
        str(line.get("node", "")),
        str(line.get("name", "")),
        fields,
        concerns_request,
    )
