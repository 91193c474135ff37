"""Outcomes of one attempt to run a request."""

from dataclasses import dataclass

from wasabiwell_entry.state.requests import EndFrame, StreamInterrupted


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The end mark arrived and the whole answer was verified."""

    end: EndFrame


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """The attempt ended without the whole answer."""

    broken: StreamInterrupted


AttemptOutcome = AttemptFinished | AttemptBroken


@dataclass(frozen=True, slots=True)
class TargetAlive:
    """The target answered on a new connection."""


@dataclass(frozen=True, slots=True)
class TargetDown:
    """The target refused or closed a new connection."""


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """No answer came on a new connection: the target is frozen, or the network is cut."""


ProbeOutcome = TargetAlive | TargetDown | TargetSilent


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """No byte of the call was sent to the target."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallInterrupted:
    """The call was sent, at least in part, and no whole answer came."""

    reason: str
