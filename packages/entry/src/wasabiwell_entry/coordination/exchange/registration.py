"""Registers a few entry instances in the platform's store, so that others can find the fleet."""

from collections.abc import Callable

from wasabiwell_entry.coordination.exchange.const import (
    REGISTER_DELAY,
    REGISTER_INTERVAL,
    REGISTER_RETRY_INTERVAL,
    REGISTERED_INSTANCES,
)
from wasabiwell_entry.coordination.exchange.ports import NodeDirectory
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import StoreUnavailable


class Registration:
    """Registers this instance if it is one of the first by address; finds peers if there are none.

    `rank` returns the rank of this instance by address, `isolated` whether no peer is reachable.
    """

    __slots__ = ("_add_peer", "_clock", "_directory", "_isolated", "_own_address", "_rank")

    def __init__(
        self,
        own_address: str,
        directory: NodeDirectory,
        rank: Callable[[], int],
        isolated: Callable[[], bool],
        add_peer: Callable[[str], object],
        clock: Clock,
    ) -> None:
        self._own_address = own_address
        self._directory = directory
        self._rank = rank
        self._isolated = isolated
        self._add_peer = add_peer
        self._clock = clock

    async def run(self) -> None:
        """Check periodically whether to register or to look for peers, until cancelled."""
        await self._clock.sleep(REGISTER_DELAY)
        registered = False
        while True:
            failed: StoreUnavailable | None = None
            if not registered and self._rank() < REGISTERED_INSTANCES:
                failed = await self._directory.register(self._own_address)
                registered = failed is None
            if failed is None and self._isolated():
                failed = await self._add_registered_peers()
            interval = REGISTER_INTERVAL if failed is None else REGISTER_RETRY_INTERVAL
            await self._clock.sleep(interval)

    async def _add_registered_peers(self) -> StoreUnavailable | None:
        addresses = await self._directory.addresses()
        if isinstance(addresses, StoreUnavailable):
            return addresses
        for address in addresses:
            self._add_peer(address)
        return None
