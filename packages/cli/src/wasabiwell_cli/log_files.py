"""Reads log files of entry instances and finds the lines of one request."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

HEAD_FIELDS = frozenset({"time", "node", "level", "event", "name", "request"})
MIN_CLOCK_DIFFERENCE = timedelta(milliseconds=50)
"""Smaller differences between the files of two nodes are not told."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log file."""

    time: datetime
    node: str
    name: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the fields as `name=value`, in the order of the line."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


@dataclass(slots=True)
class LogStory:
    """The lines of one request in the order of time, and what was met on the way.

    `clock_differences` tells, for a node, how much earlier its line was than the one of another
    node that must have come before it.
    """

    lines: list[LogLine] = field(default_factory=list)
    unreadable: dict[str, int] = field(default_factory=dict)
    clock_differences: dict[str, timedelta] = field(default_factory=dict)
    left_out: int = 0


def find_request(request_id: str, paths: Iterable[Path]) -> LogStory:
    """Return what log files tell of a request; raises `OSError` for a file that cannot be read.

    Lines that are no JSON object of a log are counted. What stands before a JSON object on a line
    is ignored, as collectors of logs add to lines.
    """
    story = LogStory()
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is None:
                    story.unreadable[str(path)] = story.unreadable.get(str(path), 0) + 1
                elif line.fields.get("request") == request_id:
                    fields = {
                        name: value
                        for name, value in line.fields.items()
                        if name not in HEAD_FIELDS
                    }
                    story.lines.append(LogLine(line.time, line.node, line.name, fields))
                elif line.name == "lines_left_out":
                    story.left_out += sum(line.fields.get("counts", {}).values())
    story.lines.sort(key=lambda line: line.time)
    story.clock_differences = _clock_differences(story.lines)
    return story


def _parse(text: str) -> LogLine | None:
    try:
        value = json.loads(text[text.index("{") :])
        time = datetime.fromisoformat(value["time"])
        return LogLine(time, str(value["node"]), str(value["name"]), value)
    except (ValueError, KeyError, TypeError):
        return None


def _clock_differences(lines: list[LogLine]) -> dict[str, timedelta]:
    """Return how far nodes are behind, seen where a send ends before it was routed."""
    routed = {
        (line.fields.get("sends"), line.fields.get("target")): line
        for line in lines
        if line.name == "routed"
    }
    differences: dict[str, timedelta] = {}
    for line in lines:
        begin = routed.get((line.fields.get("sends"), line.fields.get("target")))
        if begin is None or begin.node == line.node or line.time >= begin.time:
            continue
        if (behind := begin.time - line.time) >= MIN_CLOCK_DIFFERENCE:
            differences[line.node] = max(behind, differences.get(line.node, timedelta()))
    return differences
