"""Results of probing a target with a new connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetAlive:
    """The target responded on a new connection."""


@dataclass(frozen=True, slots=True)
class TargetDown:
    """The target refused or closed a new connection."""


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """A new connection got no response: the target hangs, or the network is interrupted."""


ProbeOutcome = TargetAlive | TargetDown | TargetSilent
