"""Calls about the rate limit of the weight store."""

from wasabiwell_entry.coordination.orders import WeightStoreRateLimiter
from wasabiwell_entry.protocol.peer import ACQUIRE_WEIGHT_RATE, RateGrant, RateRequest
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.transport.peer.client import PeerClient, PeerUnavailable
from wasabiwell_entry.transport.peer.server import PeerService


class GrpcWeightRatePeers:
    """Requests loads from other entry instances; implements `RatePeers`."""

    __slots__ = ("_client",)

    def __init__(self, client: PeerClient) -> None:
        self._client = client

    async def take(self, owner: Member, count: int) -> int:
        """Return how many loads the owner grants; 0 if it cannot be reached."""
        request = RateRequest(count)
        match await self._client.call(owner.peer_address, ACQUIRE_WEIGHT_RATE, request):
            case PeerUnavailable():
                return 0
            case reply:
                return reply.granted


def serve_weight_rate(service: PeerService, limiter: WeightStoreRateLimiter) -> None:
    """Register the handler that grants loads from this entry instance's share of the limit."""

    async def take(request: RateRequest) -> RateGrant:
        return RateGrant(limiter.grant(request.count))

    service.handle(ACQUIRE_WEIGHT_RATE, take)
