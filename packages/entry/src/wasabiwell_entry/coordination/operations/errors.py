"""Outcomes of operators' requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Done:
    """The request took effect at this entry instance."""


@dataclass(frozen=True, slots=True)
class NotFound:
    """What the operator named is not known at this entry instance."""

    message: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The request had no effect, because a part that it needs is missing or down."""

    reason: str
