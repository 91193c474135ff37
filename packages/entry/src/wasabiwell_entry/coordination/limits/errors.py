"""Failed outcomes of share requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """The owner did not respond within the timeout."""

    reason: str
