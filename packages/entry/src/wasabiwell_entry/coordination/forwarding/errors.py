"""Outcomes of one attempt to forward a request."""

from dataclasses import dataclass, field

from wasabiwell_entry.state.forwarding import NotRun, NotSent, ResponseHead, ResponseInterrupted


@dataclass(frozen=True, slots=True)
class Delivered:
    """The whole answer went to the sink."""

    status: int


@dataclass(frozen=True, slots=True)
class Held:
    """The whole answer is here and nothing of it went to the sink."""

    head: ResponseHead
    body: bytes = field(repr=False)


AttemptOutcome = Delivered | Held | NotSent | NotRun | ResponseInterrupted
