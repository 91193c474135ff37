"""Steps for the routes that one instance tracks."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.steps import count_steps
from support.stores import FakeRoutes, wait_for
from wasabiwell_entry.coordination.discovery import RouteDiscovery
from wasabiwell_entry.coordination.discovery.ports import FleetView, StoreRole
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.platform import StoreUnavailable

SETTLED_SECONDS = 0.3
RouteAction = Callable[["RouteWorld"], Awaitable[None]]


class RouteWorld:
    """An instance that tracks routes, and a peer from which it can fetch them."""

    def __init__(self, version: int) -> None:
        self.store = FakeRoutes(version)
        self.document = b""
        view = FleetView(lambda: StoreRole.INDEPENDENT, lambda: 1, lambda _: None, lambda: None)
        self.discovery = RouteDiscovery(self.store, self.fetch, lambda _: None, view, SystemClock())

    async def fetch(self, address: str) -> bytes | StoreUnavailable:
        """Return the document of the peer."""
        await trio.lowlevel.checkpoint()
        return self.document or StoreUnavailable("refused")


@given("an instance that tracks a store with version {version:d}")
def step_routes(context: Context, version: int) -> None:
    context.version = version
    context.route_actions = []


@given("the poll for changes never returns")
def step_poll_hangs(context: Context) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.polls_hang = True
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("version {version:d} is put in force")
@when("the store returns version {version:d}")
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


@when("the store becomes unavailable and a peer announces version {version:d}")
def step_unavailable(context: Context, version: int) -> None:
    announce_unavailable(context, version, str(version).encode())


@when("the store becomes unavailable and a peer announces version {version:d} in an invalid form")
def step_unavailable_invalid(context: Context, version: int) -> None:
    announce_unavailable(context, version, b"nonsense")


def announce_unavailable(context: Context, version: int, document: bytes) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.unavailable = True
        world.store.wake()
        world.document = document
        world.discovery.record_announcement("10.0.0.2:9", version)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("the change history is lost while version {version:d} is put in force")
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


@then("the instance checked for newer versions at most {most:d} times in {seconds:d} seconds")
def step_checked(context: Context, most: int, seconds: int) -> None:
    async def run() -> None:
        world = RouteWorld(context.version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.discovery.run)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    count = count_steps("_follow_announcements", run)
    assert 0 < count <= most, count
