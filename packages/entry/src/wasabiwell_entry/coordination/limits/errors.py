"""Failed outcomes of share requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """The owner did not answer within the timeout."""

    reason: str
