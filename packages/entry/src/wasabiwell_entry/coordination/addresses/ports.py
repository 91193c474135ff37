"""What telling addresses needs of other capabilities."""

from typing import Protocol

from wasabiwell_entry.state.members import Member


class MemberSource(Protocol):
    """Entry instances that callers may use; `MemberTable` implements it."""

    def alive(self) -> list[Member]:
        """Return the entry instances that take new work."""
