"""Outcomes of operators' requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Done:
    """The request took effect at this entry instance."""


@dataclass(frozen=True, slots=True)
class NotFound:
    """This entry instance does not know the requested object."""

    message: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The request had no effect, because a required component is missing or unavailable."""

    reason: str
