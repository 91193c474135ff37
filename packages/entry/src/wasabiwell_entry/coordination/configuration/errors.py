"""Outcomes of applying a configuration."""

from dataclasses import dataclass

from wasabiwell_entry.state.outcomes import Finding


@dataclass(frozen=True, slots=True)
class Accepted:
    """The version is committed, in force here and at `peers` other entry instances."""

    version: int
    peers: int = 0


@dataclass(frozen=True, slots=True)
class AcceptedNotShared:
    """The version is committed and in force here, but none of the other entry instances took it.

    If this instance is lost during an outage of the table service, the others get the version
    when the outage ends.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator changed these items after the base version; nothing was applied."""

    version: int
    paths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration has mistakes; nothing was applied."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class ApplyUnavailable:
    """The table service is unavailable; nothing was applied."""

    reason: str


@dataclass(frozen=True, slots=True)
class ApplyUncertain:
    """The table service did not tell whether the version was committed."""

    reason: str


ApplyOutcome = Accepted | AcceptedNotShared | Conflict | Invalid | ApplyUnavailable | ApplyUncertain
