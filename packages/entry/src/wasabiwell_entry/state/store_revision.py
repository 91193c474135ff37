"""Position in the order of the store's changes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """The count of the store's changes within one of its eras.

    An era ends when the store returns from a copy: it has lost the last changes then, and gives
    their numbers out again. A revision of a later era is newer, whatever its number is. A store
    that names no era is in era 0.
    """

    era: int
    number: int

    def __str__(self) -> str:
        """Return the form for log lines, `ERA/NUMBER`."""
        return f"{self.era}/{self.number}"


NO_REVISION = StoreRevision(0, 0)
"""Precedes all others."""
