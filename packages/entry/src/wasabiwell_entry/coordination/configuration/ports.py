"""Interfaces that the configuration requires from other layers."""

from typing import Protocol

from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state.configuration import ConfigurationDelta, ConfigurationUpdate
from wasabiwell_entry.state.members import Member


class ConfigurationPeers(Protocol):
    """Configuration calls to other entry instances."""

    async def push(self, member: Member, delta: ConfigurationDelta) -> int | PeerUnreachable:
        """Push a delta to a peer and return the peer's current version."""

    async def fetch(self, member: Member, since: int) -> ConfigurationUpdate | PeerUnreachable:
        """Fetch the changes after version `since` from a peer."""
