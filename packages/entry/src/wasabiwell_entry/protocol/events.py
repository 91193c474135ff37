"""Splits a body of server-sent events into whole events."""

from wasabiwell_entry.state.forwarding import ResponseEvent

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


class UnreadableEventError(Exception):
    """An event has an id that is no number."""


class EventSplitter:
    """Takes bytes as they come and returns the events that are complete."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> list[ResponseEvent]:
        """Return the events that are complete with these bytes; raises `UnreadableEventError`."""
        *whole, self._rest = (self._rest + data).split(END_OF_EVENT)
        return [ResponseEvent(_event_id(event), event + END_OF_EVENT) for event in whole]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError as error:
                raise UnreadableEventError(f"event id {line!r} is no number") from error
    return None
