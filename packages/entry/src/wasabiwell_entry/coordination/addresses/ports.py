"""Interfaces that address lists require from other capabilities."""

from collections.abc import Callable
from typing import Protocol

from wasabiwell_entry.state.members import Member

OccupancySource = Callable[[], float]
"""Returns the part of a resource that is in use: 0 if none is, 1 if all of it is."""


class MemberSource(Protocol):
    """Source of the entry instances that callers may use; `MemberTable` implements it."""

    def alive(self) -> list[Member]:
        """Return the entry instances that accept new requests."""
