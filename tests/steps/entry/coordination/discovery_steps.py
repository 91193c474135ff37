"""Steps for following the platform's list of targets and the routes.

The steps collect what happens; the last one lets it happen in simulated time.
"""

from collections.abc import Awaitable, Callable

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.stores import FakeRoutes, FakeStore, listed, names_of, wait_for
from wasabiwell_entry.coordination.discovery import RouteDiscovery, TargetDiscovery
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.exchange import ListingNotice
from wasabiwell_entry.state.platform import StoreUnavailable

SETTLED_SECONDS = 0.3


class Pair:
    """A watcher and an instance that hears it, over one store."""

    def __init__(self, store: FakeStore) -> None:
        clock = SystemClock()
        self.store = store
        self.notices: list[ListingNotice] = []
        self.dropping = False
        self.scope = trio.CancelScope()
        self.other = TargetDiscovery(store, lambda: 5, lambda _: None, lambda _: None, clock)
        self.watcher = TargetDiscovery(store, lambda: 0, self._tell, lambda _: None, clock)

    def _tell(self, notice: ListingNotice) -> None:
        self.notices.append(notice)
        if not self.dropping:
            self.other.receive("watcher", notice)

    async def run_watcher(self) -> None:
        """Run the watcher until it is stopped."""
        with self.scope:
            await self.watcher.run()


Action = Callable[[Pair], Awaitable[None]]


@given('a store that lists "{names}"')
def step_store(context: Context, names: str) -> None:
    context.names = names
    context.actions = []


@given("a watcher and another instance that hears it")
def step_pair(context: Context) -> None:
    """Name the parts; `check` builds them."""


def act(context: Context, action: Action) -> None:
    context.actions.append(action)


@when('the store lists "{names}" a little later')
def step_lists(context: Context, names: str) -> None:
    async def action(pair: Pair) -> None:
        pair.store.list_targets(names)
        await trio.sleep(0.05)

    act(context, action)


@when('the watcher stops and the store lists "{names}"')
def step_watcher_stops(context: Context, names: str) -> None:
    async def action(pair: Pair) -> None:
        pair.scope.cancel()
        pair.store.list_targets(names)
        await trio.lowlevel.checkpoint()

    act(context, action)


@when('the store is away for {seconds:d} seconds and then lists "{names}"')
def step_outage(context: Context, seconds: int, names: str) -> None:
    async def action(pair: Pair) -> None:
        pair.store.away = True
        pair.store.wake()
        await trio.sleep(seconds)
        pair.store.away = False
        pair.store.list_targets(names)

    act(context, action)


@when('the store forgets its history and lists "{names}"')
def step_forgets(context: Context, names: str) -> None:
    async def action(pair: Pair) -> None:
        pair.store.forgotten = pair.store.revision + 1
        pair.store.list_targets(names)
        await trio.lowlevel.checkpoint()

    act(context, action)


@when("a notice of the list before arrives late")
def step_late(context: Context) -> None:
    async def action(pair: Pair) -> None:
        pair.other.receive("watcher", pair.notices[0])
        await trio.lowlevel.checkpoint()

    act(context, action)


@when('a notice is lost while the store lists "{first}" and then "{second}"')
def step_lost(context: Context, first: str, second: str) -> None:
    async def action(pair: Pair) -> None:
        pair.dropping = True
        pair.store.list_targets(first)
        await trio.sleep(0.05)
        pair.dropping = False
        pair.store.list_targets(second)

    act(context, action)


@then('the watcher knows "{names}" within {milliseconds:d} ms')
def step_watcher_knows(context: Context, names: str, milliseconds: int) -> None:
    check(context, lambda pair: pair.watcher, names, milliseconds)


@then('the other instance knows "{names}" within {milliseconds:d} ms')
def step_other_knows(context: Context, names: str, milliseconds: int) -> None:
    check(context, lambda pair: pair.other, names, milliseconds)


def check(
    context: Context, choose: Callable[[Pair], TargetDiscovery], names: str, milliseconds: int
) -> None:
    async def run() -> None:
        pair = Pair(FakeStore(listed(context.names)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pair.run_watcher)
            nursery.start_soon(pair.other.run)
            await trio.sleep(SETTLED_SECONDS)
            pair.store.asked = 0
            for action in context.actions:
                await action(pair)
            discovery = choose(pair)
            reached = await wait_for(
                lambda: names_of(discovery.listing.targets) == names, milliseconds
            )
            assert reached, (names_of(discovery.listing.targets), names)
            context.asked = pair.store.asked
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the store was asked at most twice since the change")
def step_asked(context: Context) -> None:
    assert context.asked <= 2, context.asked


class StepCounter(trio.abc.Instrument):
    """Counts how often the tasks of one function were run."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.count = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count a run of a task."""
        self.count += self.name in task.name


def count_steps(name: str, run: Callable[[], Awaitable[None]]) -> int:
    """Run in simulated time, and return how often tasks were run whose name contains this one."""
    counter = StepCounter(name)
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0), instruments=[counter])
    return counter.count


@then("the other instance ran at most {most:d} times in {seconds:d} seconds")
def step_ran(context: Context, most: int, seconds: int) -> None:
    async def run() -> None:
        pair = Pair(FakeStore(listed(context.names)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pair.run_watcher)
            await trio.sleep(SETTLED_SECONDS)
            nursery.start_soon(pair.other.run)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    count = count_steps("TargetDiscovery.run", run)
    assert 0 < count <= most, count


RouteAction = Callable[["RouteWorld"], Awaitable[None]]


class RouteWorld:
    """An instance that follows routes, and a peer that may hand them over."""

    def __init__(self, version: int) -> None:
        self.store = FakeRoutes(version)
        self.document = b""
        self.discovery = RouteDiscovery(self.store, self.fetch, lambda _: None, SystemClock())

    async def fetch(self, address: str) -> bytes | StoreUnavailable:
        """Return what the peer has."""
        await trio.lowlevel.checkpoint()
        return self.document or StoreUnavailable("refused")


@given("an instance that follows a store with version {version:d}")
def step_routes(context: Context, version: int) -> None:
    context.version = version
    context.route_actions = []


@given("the query for changes is never answered")
def step_silent(context: Context) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.silent = True
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("version {version:d} is put in force")
@when("the store answers with version {version:d}")
def step_put(context: Context, version: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.put(version)
        await trio.sleep(0.02)

    context.route_actions.append(action)


@when("version {version:d} is put in force and a peer announces it")
def step_put_announced(context: Context, version: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.put(version)
        world.document = str(version).encode()
        world.discovery.record_announcement("10.0.0.2:9", version)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("the store goes away and a peer announces version {version:d}")
def step_away(context: Context, version: int) -> None:
    announce_away(context, version, str(version).encode())


@when("the store goes away and a peer announces version {version:d} but sends nonsense")
def step_away_nonsense(context: Context, version: int) -> None:
    announce_away(context, version, b"nonsense")


def announce_away(context: Context, version: int, document: bytes) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.away = True
        world.store.wake()
        world.document = document
        world.discovery.record_announcement("10.0.0.2:9", version)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("the history is lost while version {version:d} is put in force")
def step_history(context: Context, version: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.lost_history = True
        world.store.put(version)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@then("the instance has version {version:d} within {milliseconds:d} ms")
def step_version(context: Context, version: int, milliseconds: int) -> None:
    async def run() -> None:
        world = RouteWorld(context.version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.discovery.run)
            await trio.sleep(SETTLED_SECONDS)
            for action in context.route_actions:
                await action(world)
            await wait_for(lambda: world.discovery.table.version > version, milliseconds // 2)
            await wait_for(lambda: world.discovery.table.version == version, milliseconds)
            assert world.discovery.table.version == version, world.discovery.table.version
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the instance looked for newer versions at most {most:d} times in {seconds:d} seconds")
def step_looked(context: Context, most: int, seconds: int) -> None:
    async def run() -> None:
        world = RouteWorld(context.version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.discovery.run)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    count = count_steps("_follow_announcements", run)
    assert 0 < count <= most, count
