"""Interface that address lists require from other capabilities."""

from typing import Protocol

from wasabiwell_entry.state.members import Member


class MemberSource(Protocol):
    """Source of the entry instances that callers may use; `MemberTable` implements it."""

    def alive(self) -> list[Member]:
        """Return the entry instances that accept new requests."""
