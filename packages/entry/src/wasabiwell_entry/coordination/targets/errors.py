"""Failed outcomes of load queries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadUnavailable:
    """The engine did not report its load."""

    reason: str
