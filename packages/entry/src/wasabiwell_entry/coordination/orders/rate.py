"""Rate limit of the weight store, divided among regions and granted by an owner in each region."""

from datetime import timedelta

from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.coordination.orders.const import RATE_INTERVAL, RATE_KEY
from wasabiwell_entry.coordination.orders.ports import RatePeers
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.orders import RateLedger


class WeightStoreRateLimiter:
    """Requests loads from the owner of the region's share, and grants them if this is the owner.

    `loads` is what the weight store allows the whole deployment in one `RATE_INTERVAL`. A region
    that was seen once keeps its share, so that a network partition does not raise the total.
    """

    __slots__ = ("_clock", "_ledger", "_loads", "_members", "_own", "_peers", "_regions")

    def __init__(
        self, loads: int, own: Member, members: MemberTable, peers: RatePeers, clock: Clock
    ) -> None:
        self._loads = loads
        self._own = own
        self._members = members
        self._peers = peers
        self._clock = clock
        self._regions = {own.region}
        self._ledger: RateLedger | None = None

    async def take(self) -> timedelta | None:
        """Request one load; return None if it is granted, else the time to wait."""
        owner = self._owner()
        if isinstance(owner, NoOwner):
            return RATE_INTERVAL
        if owner.node_id == self._own.node_id:
            granted = self.grant(1)
        else:
            granted = await self._peers.take(owner, 1)
        return None if granted else RATE_INTERVAL

    def grant(self, count: int) -> int:
        """Return how many loads this instance grants as owner of the region's share; else 0."""
        owner = self._owner()
        if isinstance(owner, NoOwner) or owner.node_id != self._own.node_id:
            self._ledger = None
            return 0
        now = self._clock.monotonic()
        if self._ledger is None:
            self._ledger = RateLedger(RATE_INTERVAL, now + RATE_INTERVAL)
        self._regions |= {member.region for member in self._members}
        return self._ledger.take(count, self._loads // len(self._regions), now)

    def _owner(self) -> Member | NoOwner:
        region = [item for item in self._members.alive() if item.region == self._own.region]
        return owner_of(RATE_KEY, region)
