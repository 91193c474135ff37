"""Keeps a few entry instances in the platform's store, through which others find them."""

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
    """Enters this instance if it is one of the first, and finds peers when none is heard.

    `rank` returns the place of this instance by address, `alone` whether no peer is heard.
    """

    __slots__ = ("_alone", "_clock", "_directory", "_meet", "_own_address", "_rank")

    def __init__(
        self,
        own_address: str,
        directory: NodeDirectory,
        rank: Callable[[], int],
        alone: Callable[[], bool],
        meet: Callable[[str], object],
        clock: Clock,
    ) -> None:
        self._own_address = own_address
        self._directory = directory
        self._rank = rank
        self._alone = alone
        self._meet = meet
        self._clock = clock

    async def run(self) -> None:
        """Look at intervals whether there is something to do, until cancelled."""
        await self._clock.sleep(REGISTER_DELAY)
        registered = False
        while True:
            failed: StoreUnavailable | None = None
            if not registered and self._rank() < REGISTERED_INSTANCES:
                failed = await self._directory.register(self._own_address)
                registered = failed is None
            if failed is None and self._alone():
                failed = await self._meet_registered()
            retry = REGISTER_INTERVAL if failed is None else REGISTER_RETRY_INTERVAL
            await self._clock.sleep(retry)

    async def _meet_registered(self) -> StoreUnavailable | None:
        addresses = await self._directory.addresses()
        if isinstance(addresses, StoreUnavailable):
            return addresses
        for address in addresses:
            self._meet(address)
        return None
