"""Collects the log lines of one request from log files of entry instances."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

COMMON_FIELDS = frozenset({"time", "node", "level", "event", "name", "request"})
MIN_CLOCK_LAG = timedelta(milliseconds=50)
"""A smaller lag between the clocks of two nodes is not reported."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of a log file."""

    time: datetime
    node: str
    name: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the fields as `name=value`, in the order of the line."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


@dataclass(slots=True)
class RequestLogLines:
    """The log lines of one request, sorted by time, and problems found in the log files.

    `unreadable` counts the lines of each file that are not log lines. `clock_lags` is, for each
    node, the time by which its clock is at least behind another node's clock.
    `suppressed_lines` is the number of lines that the rate limit of the log suppressed.
    """

    lines: list[LogLine] = field(default_factory=list)
    unreadable: dict[str, int] = field(default_factory=dict)
    clock_lags: dict[str, timedelta] = field(default_factory=dict)
    suppressed_lines: int = 0


def collect_request_log(request_id: str, paths: Iterable[Path]) -> RequestLogLines:
    """Return the log lines of a request; raises `OSError` for a file that cannot be read.

    Lines without a JSON log record are counted as unreadable. Text before the JSON object is
    ignored, because log collectors add prefixes.
    """
    request_log = RequestLogLines()
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = _parse_line(text)
                if line is None:
                    request_log.unreadable[str(path)] = request_log.unreadable.get(str(path), 0) + 1
                elif line.fields.get("request") == request_id:
                    fields = {
                        name: value
                        for name, value in line.fields.items()
                        if name not in COMMON_FIELDS
                    }
                    request_log.lines.append(LogLine(line.time, line.node, line.name, fields))
                elif line.name == "lines_left_out":
                    request_log.suppressed_lines += sum(line.fields.get("counts", {}).values())
    request_log.lines.sort(key=lambda line: line.time)
    request_log.clock_lags = _clock_lags(request_log.lines)
    return request_log


def _parse_line(text: str) -> LogLine | None:
    try:
        value = json.loads(text[text.index("{") :])
        time = datetime.fromisoformat(value["time"])
        return LogLine(time, str(value["node"]), str(value["name"]), value)
    except (ValueError, KeyError, TypeError):
        return None


def _clock_lags(lines: list[LogLine]) -> dict[str, timedelta]:
    """Return how far clocks of nodes are behind.

    The clock of a node is behind if one of its lines about an attempt is earlier than the `routed`
    line of the attempt that another node wrote.
    """
    routed_lines = {
        (line.fields.get("sends"), line.fields.get("target")): line
        for line in lines
        if line.name == "routed"
    }
    lags: dict[str, timedelta] = {}
    for line in lines:
        routed_line = routed_lines.get((line.fields.get("sends"), line.fields.get("target")))
        if routed_line is None or routed_line.node == line.node or line.time >= routed_line.time:
            continue
        if (lag := routed_line.time - line.time) >= MIN_CLOCK_LAG:
            lags[line.node] = max(lag, lags.get(line.node, timedelta()))
    return lags
