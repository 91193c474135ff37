"""Turns log records into JSON lines, with limits on their rate and on the memory they use."""

import zlib
from collections import deque
from typing import Any

import logbook
import msgspec

from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.log_events import LogEvent
from wasabiwell_entry.transport.logs.const import (
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_SECOND,
    MAX_SUCCESS_LINES_PER_SECOND,
    SAMPLING_INTERVAL,
)


class LineBuffer(logbook.Handler):  # type: ignore[misc]
    """Log handler that buffers lines until they are written; it never blocks.

    Each line is a JSON object with `time` (UTC), `node`, `level`, `event` (its number), `name` and
    the fields of the event. Lines above the rate limit of their event are suppressed, except those
    of sampled requests; lines for which a full buffer has no space are dropped.
    """

    def __init__(self, node: str) -> None:
        super().__init__(level=logbook.INFO)
        self._node = node
        self._events = {event.number: (name, event) for name, event in log_events.catalogue()}
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._second = 0
        self._counts: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}
        self.dropped = 0
        self.written = 0
        self.wake = _noop

    @property
    def empty(self) -> bool:
        """Return whether no lines are buffered."""
        return not self._lines

    def take(self, max_bytes: int) -> bytes:
        """Remove and return whole lines: at least `max_bytes`, if that many are buffered."""
        lines = []
        while self._lines and max_bytes > 0:
            line = self._lines.popleft()
            max_bytes -= len(line)
            self._buffered_bytes -= len(line)
            lines.append(line)
        return b"".join(lines)

    def emit(self, record: Any) -> None:
        """Buffer the line of a record unless the rate limit suppresses it."""
        number = record.extra["event"]
        name, event = self._events[number]
        second = int(record.time.timestamp())
        if second != self._second:
            self._start_second(record, second)
        count = self._counts[number] = self._counts.get(number, 0) + 1
        if not self._within_limits(event, count, record.kwargs):
            self._suppressed[number] = self._suppressed.get(number, 0) + 1
            return
        self._append(record, number, name, record.kwargs)

    def _within_limits(self, event: LogEvent, count: int, fields: dict[str, object]) -> bool:
        if not event.success:
            return count <= MAX_LINES_PER_SECOND
        if count <= MAX_SUCCESS_LINES_PER_SECOND:
            return True
        return zlib.crc32(str(fields.get("request")).encode()) % SAMPLING_INTERVAL == 0

    def _start_second(self, record: Any, second: int) -> None:
        """Reset the counts and log how many lines were suppressed in the previous second."""
        suppressed, self._suppressed = self._suppressed, {}
        self._second = second
        self._counts.clear()
        if suppressed:
            counts = {self._events[number][0]: count for number, count in suppressed.items()}
            name = self._events[log_events.LINES_LEFT_OUT.number][0]
            fields = {"counts": counts, "dropped": self.dropped}
            self._append(record, log_events.LINES_LEFT_OUT.number, name, fields)

    def _append(self, record: Any, number: int, name: str, fields: dict[str, object]) -> None:
        common_fields = {
            "time": record.time.strftime("%Y-%m-%dT%H:%M:%S.%fZ"),
            "node": self._node,
            "level": self._events[number][1].level.name.lower(),
            "event": number,
            "name": name.lower(),
        }
        line = msgspec.json.encode({**common_fields, **fields}, enc_hook=str) + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self.written += 1
        self.wake()


def _noop() -> None:
    pass
