"""Findings of a check of a configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One mistake with its place, such as `organisation/lowell-crews.weight`."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@dataclass(frozen=True, slots=True)
class Findings:
    """All findings of a check; a sentinel returned in place of a configuration."""

    findings: tuple[Finding, ...]
