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
    `record_rewritten` takes the table and key of a row that is written again after the store has
    returned from a copy.
    """

    __slots__ = (
        "_add_peer",
        "_clock",
        "_directory",
        "_isolated",
        "_own_address",
        "_rank",
        "_record_rewritten",
        "_registered",
        "_rewriting",
    )

    def __init__(
        self,
        own_address: str,
        directory: NodeDirectory,
        rank: Callable[[], int],
        isolated: Callable[[], bool],
        add_peer: Callable[[str], object],
        clock: Clock,
        record_rewritten: Callable[[str, str], None] = lambda table, key: None,
    ) -> None:
        self._registered = False
        self._rewriting = False
        self._record_rewritten = record_rewritten
        self._own_address = own_address
        self._directory = directory
        self._rank = rank
        self._isolated = isolated
        self._add_peer = add_peer
        self._clock = clock

    def record_return(self) -> None:
        """Register again with the next check, as the store may have lost the row."""
        self._rewriting = self._rewriting or self._registered
        self._registered = False

    async def run(self) -> None:
        """Check periodically whether to register or to look for peers, until cancelled."""
        await self._clock.sleep(REGISTER_DELAY)
        while True:
            failed: StoreUnavailable | None = None
            if not self._registered and self._rank() < REGISTERED_INSTANCES:
                failed = await self._register()
            if failed is None and self._isolated():
                failed = await self._add_registered_peers()
            interval = REGISTER_INTERVAL if failed is None else REGISTER_RETRY_INTERVAL
            await self._clock.sleep(interval)

    async def _register(self) -> StoreUnavailable | None:
        # Set before the write, as the store may return from a copy during it.
        self._registered = True
        failed = await self._directory.register(self._own_address)
        if failed is not None:
            self._registered = False
        elif self._registered and self._rewriting:
            self._rewriting = False
            self._record_rewritten("entries", self._own_address)
        return failed

    async def _add_registered_peers(self) -> StoreUnavailable | None:
        addresses = await self._directory.addresses()
        if isinstance(addresses, StoreUnavailable):
            return addresses
        for address in addresses:
            self._add_peer(address)
        return None
