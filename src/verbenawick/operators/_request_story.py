"""The story of one request from the log lines of several nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

# Changes of state this long before the first line of a request may explain it.
BACKGROUND = timedelta(seconds=3)
# Log lines that change what a node believes; see docs/events.md.
BACKGROUND_EVENTS = frozenset(
    {701, 702, 703, 704, 705, 706, 707, 709, 710, 711, 740, 741, 742, 745, 746}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line.

    Attributes
    ----------
    concerns_request : bool
        Whether the line names the request itself; others give the background.
    """

    at: datetime
    node: str
    name: str
    fields: dict[str, object]
    concerns_request: bool

    def __str__(self) -> str:
        """Return the line for people."""
        marker = "*" if self.concerns_request else " "
        text = " ".join(f"{key}={value}" for key, value in self.fields.items())
        time = self.at.time().isoformat(timespec="milliseconds")
        return f"{marker} {time} {self.node} {self.name} {text}"


def tell_story(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines about a request and their background, in order of time.

    Parameters
    ----------
    request_id : str
        The caller's id of the attempt; calls that its upstream made have ids that
        begin with it and a dot, and are included.
    lines : iterable of str
        Log lines of any nodes; text before the JSON object and lines without one are
        passed over.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    own = [line for line in parsed if _names(line, request_id)]
    if not own:
        return []
    start = min(_time_of(line) for line in own) - BACKGROUND
    end = max(_time_of(line) for line in own)
    nodes = _nodes_in(own)
    background = [
        line
        for line in parsed
        if line.get("event") in BACKGROUND_EVENTS
        and start <= _time_of(line) <= end
        and (line.get("node") in nodes or line.get("peer") in nodes)
    ]
    story = [_log_line(line, concerns_request=True) for line in own]
    story += [_log_line(line, concerns_request=False) for line in background]
    return sorted(story, key=lambda line: line.at)


def _parse(text: str) -> dict | None:
    start = text.find('{"time"')
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:].strip())
        datetime.fromisoformat(line["time"])
    except (msgspec.DecodeError, ValueError, TypeError, KeyError):
        return None
    return line


def _names(line: dict, request_id: str) -> bool:
    named = str(line.get("request", ""))
    return named == request_id or named.startswith(f"{request_id}.")


def _nodes_in(lines: list[dict]) -> set[str]:
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
