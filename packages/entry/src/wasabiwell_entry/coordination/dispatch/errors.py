"""Outcomes of one attempt to run a request."""

from dataclasses import dataclass

from wasabiwell_entry.state.requests import EndFrame, StreamInterrupted


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The end frame arrived and the whole response was verified."""

    end: EndFrame


@dataclass(frozen=True, slots=True)
class AttemptInterrupted:
    """The attempt ended without the whole response."""

    interruption: StreamInterrupted


AttemptOutcome = AttemptFinished | AttemptInterrupted


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """No byte of the call was sent to the target."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallInterrupted:
    """The call was sent, at least in part, and no complete response arrived."""

    reason: str
