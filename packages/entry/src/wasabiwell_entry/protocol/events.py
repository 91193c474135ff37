"""Splits a body of server-sent events into complete events."""

from wasabiwell_entry.state.forwarding import ResponseEvent

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


class UnreadableEventError(Exception):
    """An event has an id that is not a number."""


class EventSplitter:
    """Incremental parser that returns events as soon as they are complete."""

    __slots__ = ("_remainder",)

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[ResponseEvent]:
        """Return the events that `data` completes; raises `UnreadableEventError`."""
        *complete, self._remainder = (self._remainder + data).split(END_OF_EVENT)
        return [ResponseEvent(_event_id(event), event + END_OF_EVENT) for event in complete]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError as error:
                raise UnreadableEventError(f"event id {line!r} is not a number") from error
    return None
