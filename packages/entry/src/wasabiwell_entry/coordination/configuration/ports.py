"""What configuration needs of the other layers."""

from typing import Protocol

from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state.configuration import ConfigurationDelta, ConfigurationUpdate
from wasabiwell_entry.state.members import Member


class ConfigurationPeers(Protocol):
    """Configuration calls to other entry instances."""

    async def push(self, member: Member, delta: ConfigurationDelta) -> int | PeerUnreachable:
        """Hand a delta to a peer and return the version that is in force there."""

    async def fetch(self, member: Member, since: int) -> ConfigurationUpdate | PeerUnreachable:
        """Return what an instance with the version `since` lacks."""
