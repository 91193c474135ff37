"""Outcomes of looking for an owner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoOwner:
    """No live member can own the key."""

    key: str
