"""Outcomes of target selection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target of the service can take the request now."""

    reason: str


@dataclass(frozen=True, slots=True)
class UnknownPolicy:
    """No policy has this name."""

    name: str
