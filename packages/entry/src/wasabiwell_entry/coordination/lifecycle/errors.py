"""Outcomes of the readiness check."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ready:
    """The instance accepts requests."""


@dataclass(frozen=True, slots=True)
class NotReady:
    """The instance must not get requests."""

    reason: str


Readiness = Ready | NotReady
