"""Calls to the entry instances that own limits."""

from wasabiwell_entry.coordination.limits.errors import LimitOwnerUnreachable
from wasabiwell_entry.coordination.limits.shares import LimitGrant, LimitRequest
from wasabiwell_entry.protocol.peer import ACQUIRE_LIMIT
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.transport.peer.client import PeerClient, PeerUnavailable


class GrpcLimitOwners:
    """Acquires shares of limits from their owners; implements `LimitOwnerPort`."""

    __slots__ = ("_client",)

    def __init__(self, client: PeerClient) -> None:
        self._client = client

    async def acquire(
        self, owner: Member, request: LimitRequest
    ) -> LimitGrant | LimitOwnerUnreachable:
        """Request shares from the entry instance that owns the limit."""
        reply = await self._client.call(owner.peer_address, ACQUIRE_LIMIT, request)
        if isinstance(reply, PeerUnavailable):
            return LimitOwnerUnreachable(reply.reason)
        return reply
