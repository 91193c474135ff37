"""Outcomes of asking an owner for shares."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """The owner did not answer in time."""

    reason: str
