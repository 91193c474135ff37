"""Outcomes of committing a configuration change."""

from dataclasses import dataclass

from wasabiwell_entry.state.outcomes import Finding


@dataclass(frozen=True, slots=True)
class Accepted:
    """The version is committed and in effect on this and `peers` other entry instances."""

    version: int
    peers: int = 0


@dataclass(frozen=True, slots=True)
class AcceptedNotShared:
    """The version is committed and in effect here, but no other entry instance has applied it.

    If this instance fails during an outage of the table service, the others get the version only
    after the outage.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator changed these items after the base version; nothing was applied."""

    version: int
    paths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration failed validation; nothing was applied."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class ApplyUnavailable:
    """The table service is unavailable; nothing was applied."""

    reason: str


@dataclass(frozen=True, slots=True)
class ApplyUncertain:
    """It is unknown whether the table service committed the version."""

    reason: str


ApplyOutcome = Accepted | AcceptedNotShared | Conflict | Invalid | ApplyUnavailable | ApplyUncertain
