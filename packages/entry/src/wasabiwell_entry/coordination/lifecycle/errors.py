"""Reasons for not being ready."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ready:
    """The instance takes requests."""


@dataclass(frozen=True, slots=True)
class NotReady:
    """The instance must not get requests."""

    reason: str


Readiness = Ready | NotReady
