"""Decides which response is given up as its caller reads nothing and others need its target."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from wasabiwell_entry.coordination.intake.const import UNREAD_LIMIT
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock


class OpenResponse:
    """A response that is sent to its caller while its target is at work on it.

    `delivered` returns how many bytes the connection has brought to the caller so far. `blocked` is
    set while nothing more can be sent before the caller reads, and `holds_target` until the target
    has ended its work. `give_up` ends the response.
    """

    __slots__ = (
        "blocked",
        "caller",
        "delivered",
        "give_up",
        "holds_target",
        "position",
        "service",
        "since",
    )

    def __init__(
        self,
        service: str,
        caller: str,
        delivered: Callable[[], int],
        give_up: Callable[[], None],
    ) -> None:
        self.service = service
        self.caller = caller
        self.delivered = delivered
        self.give_up = give_up
        self.blocked = False
        self.holds_target = True
        self.position: int | None = None
        self.since = timedelta()
        """Since when the position has been known to be the same."""


class UnreadResponses:
    """Gives up responses that nobody reads, one for each rejected request of their service.

    This answers callers that send many requests and read nothing of large responses: these occupy
    all targets of a service for the whole time-out of its route. Without a rejection nothing is
    given up, and a response of which any byte has arrived within the limit is kept, however slowly
    its caller reads.
    """

    __slots__ = ("_clock", "_responses", "given_up")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._responses: set[OpenResponse] = set()
        self.given_up = 0

    @property
    def count(self) -> int:
        """Return the number of responses in progress."""
        return len(self._responses)

    @contextmanager
    def open(
        self,
        service: str,
        caller: str,
        delivered: Callable[[], int],
        give_up: Callable[[], None],
    ) -> Iterator[OpenResponse]:
        """Follow a response until the context exits."""
        response = OpenResponse(service, caller, delivered, give_up)
        self._responses.add(response)
        try:
            yield response
        finally:
            self._responses.discard(response)

    def record_rejection(self, service: str) -> None:
        """Note that no target had room for a request, and give up the longest unread response."""
        now = self._clock.monotonic()
        blocked = [
            item
            for item in self._responses
            if item.blocked and item.holds_target and item.service == service
        ]
        for response in blocked:
            position = response.delivered()
            if position != response.position:
                response.position, response.since = position, now
        unread = [item for item in blocked if now - item.since >= UNREAD_LIMIT]
        if not unread:
            return
        oldest = min(unread, key=lambda item: item.since)
        self._responses.discard(oldest)
        self.given_up += 1
        log_events.emit(
            log_events.UNREAD_RESPONSE_GIVEN_UP,
            caller=oldest.caller,
            service=service,
            unread_ms=(now - oldest.since) // timedelta(milliseconds=1),
            blocked=len(blocked),
        )
        oldest.give_up()
