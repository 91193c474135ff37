"""Interface that reachability requires from other layers."""

from typing import Protocol

from wasabiwell_entry.state.targets import Target


class ConnectionPort(Protocol):
    """New connections to targets."""

    async def accepts(self, target: Target) -> bool:
        """Return whether a target accepts a new connection, which is closed at once."""
