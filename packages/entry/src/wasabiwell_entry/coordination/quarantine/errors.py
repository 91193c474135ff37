"""Outcomes of operations on suspected and quarantined requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Released:
    """The request may run again."""


@dataclass(frozen=True, slots=True)
class NotSuspected:
    """No suspect has this fingerprint."""


@dataclass(frozen=True, slots=True)
class ReleaseUnavailable:
    """The table service did not confirm the release."""

    reason: str


@dataclass(frozen=True, slots=True)
class LeaseConflict:
    """Another suspect acquired the suspect lease first."""


ReleaseOutcome = Released | NotSuspected | ReleaseUnavailable
