"""Messages to the owners of limits."""

from wasabiwell_entry.coordination.limits.errors import OwnerUnreachable
from wasabiwell_entry.coordination.limits.shares import LimitGrant, LimitRequest
from wasabiwell_entry.protocol.peer import ACQUIRE_LIMIT
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.transport.peer.client import PeerClient, PeerUnavailable


class GrpcLimitOwners:
    """Asks owners through the peer client."""

    __slots__ = ("_peers",)

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def acquire(self, owner: Member, request: LimitRequest) -> LimitGrant | OwnerUnreachable:
        """Ask another entry instance for shares."""
        reply = await self._peers.call(owner.peer_address, ACQUIRE_LIMIT, request)
        if isinstance(reply, PeerUnavailable):
            return OwnerUnreachable(reply.reason)
        return reply
