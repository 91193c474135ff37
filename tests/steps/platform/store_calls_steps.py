"""Steps for calls to the store that are cancelled while its connections fail."""

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from random import Random

import trio
from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.state.store_revision import StoreRevision
from wasabiwell_platform.store import StoreClient, StoredRows
from wasabiwell_standins.proxy import Proxy
from wasabiwell_standins.users_platform.store import StoreStandIn

STORE_ADDRESS = ("127.78.0.1", 8223)
PROXY_ADDRESS = ("127.78.4.1", 8223)
"""No other feature uses these addresses."""
TABLE, KEY = "op", "config"
LONGEST_CALL_SECONDS = (0.0, 0.003, 0.02, 0.1)
"""Bounds of the random times after which calls are cancelled: before they connect, while they
connect, while they are sent, and while they wait for the response."""
FAULT_SECONDS = 0.1
READ_SECONDS = 1.0
DIRECTIONS = ("silent_to_client", "silent_to_server")


class CallWorld:
    """A client, a proxy and a store, with faults of the connections between them."""

    def __init__(self, client: StoreClient, proxy: Proxy, store: StoreStandIn, seed: int) -> None:
        self.client = client
        self._proxy = proxy
        self._store = store
        self._random = Random(seed)

    async def cancel_calls(self, count: int) -> None:
        """Make calls, each of which is cancelled unless it ends before."""
        for _ in range(count):
            longest = self._random.choice(LONGEST_CALL_SECONDS)
            with trio.move_on_after(self._random.uniform(0.0, longest)):
                if self._random.random() < 0.5:
                    await self.client.rows(TABLE, KEY, limit=1)
                else:
                    wait = timedelta(seconds=self._random.uniform(0.0, FAULT_SECONDS))
                    after = StoreRevision(self._store.era, self._store.version)
                    await self.client.changes(TABLE, after, wait)

    async def inject_faults(self) -> None:
        """Disturb the connections until cancelled, and end all faults then."""
        try:
            while True:
                await self._inject_fault(self._random.uniform(0.01, FAULT_SECONDS))
        finally:
            self._proxy.faults.cut = False
            self._proxy.faults.silent_to_client = self._proxy.faults.silent_to_server = False
            self._store.faults.delay_s = 0.0

    async def _inject_fault(self, seconds: float) -> None:
        faults, direction = self._proxy.faults, self._random.choice(DIRECTIONS)
        match self._random.choice(("reset", "silent", "silent for a time", "cut", "slow")):
            case "reset":
                self._proxy.reset()
            case "silent":
                self._proxy.silence_open_connections(direction)
            case "silent for a time":
                setattr(faults, direction, True)
            case "cut":
                faults.cut = True
                self._proxy.reset()
            case _:
                self._store.faults.delay_s = seconds / 4
        await trio.sleep(seconds)
        faults.cut = faults.silent_to_client = faults.silent_to_server = False
        self._store.faults.delay_s = 0.0


@given("a store behind a proxy that resets, delays, silences and refuses connections")
def step_store(context: Context) -> None:
    context.store = StoreStandIn()
    context.store.put_json(TABLE, KEY, {"version": 1})


@when("{callers:d} callers cancel {calls:d} calls each")
def step_cancel(context: Context, callers: int, calls: int) -> None:
    async def play(world: CallWorld) -> None:
        async with trio.open_nursery() as faults:
            faults.start_soon(world.inject_faults)
            async with trio.open_nursery() as nursery:
                for _ in range(callers):
                    nursery.start_soon(world.cancel_calls, calls)
            faults.cancel_scope.cancel()
        with trio.move_on_after(READ_SECONDS):
            context.read = await world.client.rows(TABLE, KEY, limit=1)

    context.read = None
    trio.run(run_calls, context.store, callers, play)


async def run_calls(
    store: StoreStandIn, seed: int, play: Callable[[CallWorld], Awaitable[None]]
) -> None:
    """Run calls against a store behind a proxy."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.serve, *STORE_ADDRESS)
        proxy = Proxy("{}:{}".format(*STORE_ADDRESS))
        host, port = PROXY_ADDRESS
        await nursery.start(partial(trio.serve_tcp, proxy.serve, port, host=host))
        client = StoreClient(f"{host}:{port}", Counter())
        await play(CallWorld(client, proxy, store, seed))
        await client.close()
        nursery.cancel_scope.cancel()


@then("the next read of the store succeeds at once")
def step_succeeds(context: Context) -> None:
    assert isinstance(context.read, StoredRows), context.read
