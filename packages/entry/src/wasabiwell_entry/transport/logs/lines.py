"""Turns log records into JSON lines, with bounds on their number and on their memory."""

import zlib
from collections import deque
from typing import Any

import logbook
import msgspec

from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.log_events import LogEvent
from wasabiwell_entry.transport.logs.const import (
    BUFFERED_BYTES,
    LINES_PER_EVENT,
    SAMPLED_REQUESTS,
    SUCCESS_LINES,
)


class LineBuffer(logbook.Handler):  # type: ignore[misc]
    """Keeps lines until they are written; it never waits.

    Each line is a JSON object with `time` (UTC), `node`, `level`, `event` (its number), `name` and
    the fields of the event.
    """

    def __init__(self, node: str) -> None:
        super().__init__(level=logbook.INFO)
        self._node = node
        self._events = {event.number: (name, event) for name, event in log_events.catalogue()}
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._second = 0
        self._counts: dict[int, int] = {}
        self._left_out: dict[int, int] = {}
        self.dropped = 0
        self.written = 0
        self.wake = _do_nothing

    @property
    def empty(self) -> bool:
        """Return whether no line waits."""
        return not self._lines

    def take(self, size: int) -> bytes:
        """Return lines that wait, about as many bytes as told, and forget them."""
        taken = []
        while self._lines and size > 0:
            line = self._lines.popleft()
            size -= len(line)
            self._size -= len(line)
            taken.append(line)
        return b"".join(taken)

    def emit(self, record: Any) -> None:
        """Add the line of a record unless there are too many."""
        number = record.extra["event"]
        name, event = self._events[number]
        second = int(record.time.timestamp())
        if second != self._second:
            self._begin_second(record, second)
        count = self._counts[number] = self._counts.get(number, 0) + 1
        if not self._is_told(event, count, record.kwargs):
            self._left_out[number] = self._left_out.get(number, 0) + 1
            return
        self._add(record, number, name, record.kwargs)

    def _is_told(self, event: LogEvent, count: int, fields: dict[str, object]) -> bool:
        if not event.success:
            return count <= LINES_PER_EVENT
        if count <= SUCCESS_LINES:
            return True
        return zlib.crc32(str(fields.get("request")).encode()) % SAMPLED_REQUESTS == 0

    def _begin_second(self, record: Any, second: int) -> None:
        """Tell what was left out in the second before."""
        left_out, self._left_out = self._left_out, {}
        self._second = second
        self._counts.clear()
        if left_out:
            counts = {self._events[number][0]: count for number, count in left_out.items()}
            name = self._events[log_events.LINES_LEFT_OUT.number][0]
            fields = {"counts": counts, "dropped": self.dropped}
            self._add(record, log_events.LINES_LEFT_OUT.number, name, fields)

    def _add(self, record: Any, number: int, name: str, fields: dict[str, object]) -> None:
        head = {
            "time": record.time.strftime("%Y-%m-%dT%H:%M:%S.%fZ"),
            "node": self._node,
            "level": self._events[number][1].level.name.lower(),
            "event": number,
            "name": name.lower(),
        }
        line = msgspec.json.encode({**head, **fields}, enc_hook=str) + b"\n"
        if self._size + len(line) > BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        self.written += 1
        self.wake()


def _do_nothing() -> None:
    pass
