"""Calls about credits between the credit coordinators of entry instances."""

from collections.abc import Sequence

from wasabiwell_entry.coordination.credits import CreditHolder, CreditOwner
from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable, CreditRefused
from wasabiwell_entry.coordination.credits.ports import ClaimResponse, CreditGranted, CreditReturn
from wasabiwell_entry.protocol.peer import (
    ACQUIRE_CREDIT,
    OUTSTANDING_CREDITS,
    RELEASE_CREDIT,
    Ack,
    CreditGrant,
    CreditRelease,
    CreditRequest,
    OutstandingReply,
    OwnerQuery,
)
from wasabiwell_entry.state.credits import CreditClaim
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.transport.peer.client import PeerClient, PeerUnavailable
from wasabiwell_entry.transport.peer.server import PeerService


class GrpcCreditPeers:
    """Calls other entry instances about credits; implements `CreditPeers`."""

    __slots__ = ("_client",)

    def __init__(self, client: PeerClient) -> None:
        self._client = client

    async def acquire(
        self, owner: Member, claims: Sequence[CreditClaim]
    ) -> list[ClaimResponse] | CreditOwnerUnreachable:
        """Send claims to the owner of their engines."""
        request = CreditRequest(list(claims))
        match await self._client.call(owner.peer_address, ACQUIRE_CREDIT, request):
            case PeerUnavailable(reason=reason):
                return CreditOwnerUnreachable(reason)
            case reply:
                return [*reply.grants, *reply.refusals]

    async def release(
        self, owner: Member, returns: Sequence[CreditReturn]
    ) -> CreditOwnerUnreachable | None:
        """Return credits to their owner."""
        request = CreditRelease(list(returns))
        match await self._client.call(owner.peer_address, RELEASE_CREDIT, request):
            case PeerUnavailable(reason=reason):
                return CreditOwnerUnreachable(reason)
            case _:
                return None

    async def outstanding(
        self, holder: Member, engine_ids: Sequence[str]
    ) -> list[CreditClaim] | CreditOwnerUnreachable:
        """Return the credits of the given engines that a member holds."""
        request = OwnerQuery(list(engine_ids))
        match await self._client.call(holder.peer_address, OUTSTANDING_CREDITS, request):
            case PeerUnavailable(reason=reason):
                return CreditOwnerUnreachable(reason)
            case reply:
                return reply.claims


def serve_credits(service: PeerService, owner: CreditOwner, holder: CreditHolder) -> None:
    """Register the handlers of credit calls with the coordinators of this entry instance."""

    async def acquire(request: CreditRequest) -> CreditGrant:
        reply = CreditGrant([], [])
        for response in owner.process_claims(request.claims):
            match response:
                case CreditGranted():
                    reply.grants.append(response)
                case CreditRefused():
                    reply.refusals.append(response)
        return reply

    async def release(request: CreditRelease) -> Ack:
        owner.accept_returns(request.returns)
        return Ack()

    async def outstanding(query: OwnerQuery) -> OutstandingReply:
        return OutstandingReply(holder.outstanding(query.engine_ids))

    service.handle(ACQUIRE_CREDIT, acquire)
    service.handle(RELEASE_CREDIT, release)
    service.handle(OUTSTANDING_CREDITS, outstanding)
