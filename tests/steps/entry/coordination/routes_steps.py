"""Steps for the routes that one instance tracks."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import logbook
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.logs import record_events
from support.steps import count_steps
from support.stores import FakeRoutes, wait_for
from wasabiwell_entry.coordination.discovery import RouteDiscovery
from wasabiwell_entry.coordination.discovery.confirmation import RouteConfirmation
from wasabiwell_entry.coordination.discovery.ports import FleetView, StoreRole
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import ManualClock, SystemClock
from wasabiwell_entry.state.platform import StoreUnavailable

SETTLED_SECONDS = 0.3
RouteAction = Callable[["RouteWorld"], Awaitable[None]]


class RouteWorld:
    """An instance that tracks routes, and a peer from which it can fetch them."""

    def __init__(self, version: int) -> None:
        self.store = FakeRoutes(version)
        self.document = b""
        self.documents: dict[str, bytes] = {}
        view = FleetView(lambda: StoreRole.INDEPENDENT, lambda: 1, lambda _: None, lambda: None)
        self.discovery = RouteDiscovery(self.store, self.fetch, lambda _: None, view, SystemClock())

    async def fetch(self, address: str) -> bytes | StoreUnavailable:
        """Return the document of the peer, or the one that all peers have."""
        await trio.lowlevel.checkpoint()
        return self.documents.get(address, self.document) or StoreUnavailable("refused")


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


@when("the store has no configuration any more")
def step_missing(context: Context) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.missing, world.store.lost_history = True, True
        world.store.wake()
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("the store returns a configuration that cannot be decoded")
def step_unreadable(context: Context) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.unreadable = True
        world.store.put(9)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when(
    "the store becomes unavailable and a peer announces version {version:d}, which it does not send"
)
def step_not_sent(context: Context, version: int) -> None:
    announce_unavailable(context, version, b"")


@when("the store becomes unavailable and a peer announces version {version:d} and sends {sent:d}")
def step_sends_other(context: Context, version: int, sent: int) -> None:
    announce_unavailable(context, version, str(sent).encode())


@when("the store is away for {seconds:d} seconds")
def step_away_for(context: Context, seconds: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.unavailable = True
        world.store.wake()
        await trio.sleep(seconds)
        world.store.unavailable = False
        await trio.sleep(2)

    context.route_actions.append(action)


def play(context: Context, seconds: float) -> list[logbook.LogRecord]:
    """Run the instance through all actions and return the log lines after the first read."""

    async def run() -> None:
        world = RouteWorld(context.version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.discovery.run)
            await trio.sleep(SETTLED_SECONDS)
            for action in context.route_actions:
                await action(world)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    with record_events() as records:
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return list(records)


def fields_of(
    records: list[logbook.LogRecord], event: log_events.LogEvent
) -> list[dict[str, object]]:
    return [record.kwargs for record in records if record.extra["event"] == event.number]


@then('the instance logs once that version {version} is not applied, as "{reason}"')
def step_rejected(context: Context, version: str, reason: str) -> None:
    found = fields_of(play(context, 4.0), log_events.ROUTES_NOT_APPLIED)
    assert [(str(item["version"]), item["reason"]) for item in found] == [(version, reason)], found


@then("the instance logs the old proof {least:d} to {most:d} times, and then a new one")
def step_old_proofs(context: Context, least: int, most: int) -> None:
    records = play(context, 0.0)
    old = fields_of(records, log_events.ROUTES_PROOF_OLD)
    assert least <= len(old) <= most, old
    ages = [item["age_ms"] for item in old]
    assert ages == sorted(ages), ages
    numbers = [record.extra["event"] for record in records]
    proved, proof_old = log_events.ROUTES_PROVED.number, log_events.ROUTES_PROOF_OLD.number
    assert proved in numbers[: numbers.index(proof_old)], numbers
    assert proved in numbers[numbers.index(proof_old) :], numbers


@when(
    "the store is unavailable, a peer announces version {version:d} and sends {sent}, and another "
    "has version {other:d}"
)
def step_two_peers(context: Context, version: int, sent: str, other: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.unavailable = True
        world.store.wake()
        first, second = "10.0.0.2:9", "10.0.0.3:9"
        world.documents[first] = b"2" if sent == "an older version" else b"nonsense"
        world.documents[second] = str(other).encode()
        world.discovery.record_announcement(first, version)
        world.discovery.record_announcement(second, other)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)


@when("nothing happens for {seconds:d} seconds")
def step_nothing(context: Context, seconds: int) -> None:
    async def action(world: RouteWorld) -> None:
        await trio.sleep(seconds)

    context.route_actions.append(action)


@when(
    "a peer announced version {version:d}, which nobody has, {seconds:d} seconds ago",
)
def step_announced_before(context: Context, version: int, seconds: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.discovery.record_announcement("10.0.0.2:9", version)
        await trio.sleep(seconds)

    context.route_actions.append(action)


@when("the store has been away for {seconds:d} seconds")
def step_been_away(context: Context, seconds: int) -> None:
    async def action(world: RouteWorld) -> None:
        world.store.unavailable = True
        world.store.wake()
        await trio.sleep(seconds)

    context.route_actions.append(action)


@when("the store was away for {seconds:d} seconds, and is back")
def step_was_away(context: Context, seconds: int) -> None:
    step_been_away(context, seconds)

    async def action(world: RouteWorld) -> None:
        world.store.unavailable = False
        # The longest pause between two reads of a store that is away.
        await trio.sleep(1.5)

    context.route_actions.append(action)


@when(
    "a peer announces version {version:d}, which the store has in {late:d} ms, and a later one "
    "each {pause:d} ms"
)
def step_announced_series(context: Context, version: int, late: int, pause: int) -> None:
    async def announce(world: RouteWorld) -> None:
        for number in range(10):
            await trio.sleep(pause / 1000)
            if (number + 1) * pause == late:
                world.store.put(version)
            world.discovery.record_announcement("10.0.0.3:9", version + 1 + number)

    async def action(world: RouteWorld) -> None:
        world.discovery.record_announcement("10.0.0.2:9", version)
        await trio.lowlevel.checkpoint()

    context.route_actions.append(action)
    context.during_wait = announce


@then("the routes {state} within {milliseconds:d} ms")
def step_certain(context: Context, state: str, milliseconds: int) -> None:
    async def run() -> None:
        world = RouteWorld(context.version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.discovery.run)
            await trio.sleep(SETTLED_SECONDS)
            for action in context.route_actions:
                await action(world)
            limit = timedelta(milliseconds=milliseconds)
            if "during_wait" in context:
                nursery.start_soon(context.during_wait, world)
            context.current = await world.discovery.wait_until_current(limit)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert context.current == (state == "count as current"), context.current


@given("confirmations of versions {versions}, a second after each other")
def step_confirmations(context: Context, versions: str) -> None:
    view = FleetView(lambda: StoreRole.LISTENER, lambda: 40, lambda _: None, lambda: None)
    context.clock = ManualClock()
    context.clock.advance(timedelta(seconds=100))
    context.confirmation = RouteConfirmation(view, context.clock, Random(1))
    for index, version in enumerate(versions.split()):
        context.clock.advance(timedelta(seconds=min(index, 1)))
        context.confirmation.expect(int(version))


@when("version {version:d} is put in force a second later")
def step_in_force_later(context: Context, version: int) -> None:
    context.clock.advance(timedelta(seconds=1))
    context.confirmation.record_version(version)


@then("the routes were confirmed {seconds} seconds ago")
def step_confirmed_ago(context: Context, seconds: str) -> None:
    expected = None if seconds == "never" else timedelta(seconds=int(seconds))
    assert context.confirmation.age() == expected, context.confirmation.age()
