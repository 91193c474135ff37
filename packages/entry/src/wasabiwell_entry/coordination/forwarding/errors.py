"""Outcomes of one attempt to forward a request."""

from dataclasses import dataclass, field

from wasabiwell_entry.state.forwarding import NotRun, NotSent, ResponseHead, ResponseInterrupted


@dataclass(frozen=True, slots=True)
class Delivered:
    """The whole response was delivered to the sink."""

    status: int


@dataclass(frozen=True, slots=True)
class Buffered:
    """The whole response is buffered, and no part of it was delivered to the sink."""

    head: ResponseHead
    body: bytes = field(repr=False)


AttemptOutcome = Delivered | Buffered | NotSent | NotRun | ResponseInterrupted
