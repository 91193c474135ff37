"""Outcomes of operations on suspected and quarantined requests."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.state.crashes import Cause


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


@dataclass(frozen=True, slots=True)
class NoSuspicion:
    """No crash of a target counts against the request."""


@dataclass(frozen=True, slots=True)
class SuspectedCause:
    """Targets crashed while they ran the request, too few to refuse it."""

    cause: Cause


@dataclass(frozen=True, slots=True)
class RefusedCause:
    """The request is refused for `time_left`, after `crashes` crashes of targets."""

    cause: Cause
    crashes: int
    time_left: timedelta


@dataclass(frozen=True, slots=True)
class ListedCause:
    """A cause against which crashes of `targets` count."""

    cause: Cause
    refused: bool
    targets: tuple[str, ...]


CrashAssessment = NoSuspicion | SuspectedCause | RefusedCause
ReleaseOutcome = Released | NotSuspected | ReleaseUnavailable
