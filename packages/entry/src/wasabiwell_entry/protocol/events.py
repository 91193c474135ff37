"""Splits a body of server-sent events into complete events."""

from wasabiwell_entry.state.forwarding import ResponseEvent

END_OF_EVENT = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
"""A longer event is taken for bytes that are no event; those of engines have a few tokens."""
ID_FIELD = b"id:"
STATUS_LINE = b"HTTP/1."
"""Start of a line that no event has: a faulty target has sent the head of a further response."""


class UnreadableEventError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`, has a status line, or an id that is no number."""


class EventSplitter:
    """Incremental parser that returns events as soon as they are complete."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def remainder(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[ResponseEvent]:
        """Return the events that `data` completes; raises `UnreadableEventError`."""
        # Only the new bytes and the one before are searched, as an event may come in many parts.
        searched = max(0, len(self._buffer) - len(END_OF_EVENT) + 1)
        self._buffer += data
        if self._buffer.find(END_OF_EVENT, searched) < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise UnreadableEventError(f"an event has more than {MAX_EVENT_BYTES} bytes")
            return []
        *complete, remainder = bytes(self._buffer).split(END_OF_EVENT)
        self._buffer = bytearray(remainder)
        return [ResponseEvent(_event_id(event), event + END_OF_EVENT) for event in complete]


def _event_id(event: bytes) -> int | None:
    event_id = None
    for line in event.split(b"\n"):
        if line.startswith(STATUS_LINE):
            raise UnreadableEventError("an event has the status line of a further response")
        if event_id is None and line.startswith(ID_FIELD):
            try:
                event_id = int(line[len(ID_FIELD) :])
            except ValueError as error:
                raise UnreadableEventError(f"event id {line!r} is not a number") from error
    return event_id
