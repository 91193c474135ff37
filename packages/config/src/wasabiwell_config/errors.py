"""Errors found while a configuration is parsed or validated."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """An error and where it is, such as `organisation/lowell-crews.weight`."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@dataclass(frozen=True, slots=True)
class Findings:
    """All errors of a configuration; returned instead of an invalid configuration."""

    findings: tuple[Finding, ...]
