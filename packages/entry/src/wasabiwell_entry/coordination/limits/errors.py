"""Failed outcomes of share requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitOwnerUnreachable:
    """The owner of the limit did not respond within the timeout."""

    reason: str
