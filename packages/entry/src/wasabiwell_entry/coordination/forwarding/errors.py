"""Outcomes of one attempt to forward a request."""

from dataclasses import dataclass, field

from wasabiwell_entry.state.forwarding import AnswerHead, Broken, NotRun, NotSent


@dataclass(frozen=True, slots=True)
class Delivered:
    """The whole answer went to the sink."""

    status: int


@dataclass(frozen=True, slots=True)
class Held:
    """The whole answer is here and nothing of it went to the sink."""

    head: AnswerHead
    body: bytes = field(repr=False)


AttemptOutcome = Delivered | Held | NotSent | NotRun | Broken
