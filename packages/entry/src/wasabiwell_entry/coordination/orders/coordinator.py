"""Sends orders to engines under a lease with a fencing number."""

from datetime import timedelta

from wasabiwell_config import Fencing

from wasabiwell_entry.coordination.orders.const import ORDER_TIMEOUT
from wasabiwell_entry.coordination.orders.errors import (
    Lease,
    LeaseExpired,
    OrderOutcome,
    OrderUnacknowledged,
    RateLimitReached,
    SendOutcome,
)
from wasabiwell_entry.coordination.orders.leases import OrderLeases
from wasabiwell_entry.coordination.orders.ports import OrderPort
from wasabiwell_entry.coordination.orders.rate import WeightStoreRateLimiter
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.orders import ChangeRole, EngineOrder, LoadAdapter, LoadModel
from wasabiwell_entry.state.targets import Target


class OrderCoordinator:
    """Issues orders on behalf of this entry instance.

    An engine that refuses old fencing numbers is safe by itself. For an engine that ignores them,
    an order is sent only if the lease outlasts the order's timeout, and the next holder waits until
    both the lease and the timeout have passed. Not covered is a process that is paused for longer
    than both between this check and the write to the connection.
    """

    __slots__ = ("_clock", "_engines", "_leases", "_rate")

    def __init__(
        self, leases: OrderLeases, engines: OrderPort, rate: WeightStoreRateLimiter, clock: Clock
    ) -> None:
        self._leases = leases
        self._engines = engines
        self._rate = rate
        self._clock = clock

    async def issue(self, target: Target, order: EngineOrder, fencing: Fencing) -> OrderOutcome:
        """Acquire the lease of an engine, send one order and release the lease."""
        lease = await self._leases.acquire(target.target_id, fencing)
        if not isinstance(lease, Lease):
            return lease
        wait = await self._reserve_load(order)
        if wait is not None:
            await self._leases.release(lease)
            return RateLimitReached(wait)
        outcome = await self.send(lease, target, order, fencing)
        # An engine that ignores fencing numbers may still act on an unacknowledged order, so its
        # lease is left to expire.
        if not isinstance(outcome, OrderUnacknowledged) or fencing is Fencing.REFUSED:
            await self._leases.release(lease)
        return outcome

    async def send(
        self, lease: Lease, target: Target, order: EngineOrder, fencing: Fencing
    ) -> SendOutcome:
        """Send an order under a lease that this entry instance holds."""
        needed = ORDER_TIMEOUT if fencing is Fencing.IGNORED else timedelta()
        if lease.expires_at - self._clock.monotonic() <= needed:
            return LeaseExpired()
        return await self._engines.send(target, order, lease.fencing, ORDER_TIMEOUT)

    async def _reserve_load(self, order: EngineOrder) -> timedelta | None:
        """Reserve a load from the weight store if the order needs one.

        Returns None if the order may go on, else the time to wait.
        """
        match order:
            case LoadModel() | LoadAdapter():
                return await self._rate.take()
            case ChangeRole():
                return None
