"""Steps for target and route discovery.

The steps collect actions; the last step executes them in simulated time.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.steps import count_steps
from support.stores import FakeStore, ReadFault, targets_from, text_of, wait_for
from wasabiwell_entry.coordination.discovery import TargetDiscovery
from wasabiwell_entry.coordination.discovery.ports import (
    ChangeHistoryLost,
    TargetChanges,
)
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.exchange import ListingNotice
from wasabiwell_entry.state.listing import NO_LISTING, TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.store_revision import StoreRevision

SETTLED_SECONDS = 0.3
ADDRESSES_KNOWN_SECONDS = 0.05
"""Time after which an instance has been told the addresses of all others, before it hears them."""


class CountingStore:
    """A store as one instance reaches it; counts its reads."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.reads = 0

    async def targets(self) -> TargetListing | StoreUnavailable:
        """Return the list."""
        self.reads += 1
        return await self._store.targets()

    async def changes(
        self, after: StoreRevision, wait: timedelta
    ) -> TargetChanges | ChangeHistoryLost | StoreUnavailable:
        """Wait for changes."""
        self.reads += 1
        return await self._store.changes(after, wait)


class WatcherPair:
    """A watcher and an instance that receives its notices, with one store."""

    def __init__(self, store: FakeStore) -> None:
        clock = SystemClock()
        self.store = store
        self.notices: list[ListingNotice] = []
        self.dropping = False
        self.scope = trio.CancelScope()
        self.fleet_size = 18
        self.other_store = CountingStore(store)
        self.other = TargetDiscovery(
            self.other_store,
            lambda: 5,
            lambda _: None,
            lambda _: None,
            clock,
            lambda: self.fleet_size,
        )
        self.watcher = TargetDiscovery(store, lambda: 0, self.deliver, lambda _: None, clock)
        self.late_watcher: TargetDiscovery | None = None
        self.nursery: trio.Nursery | None = None

    def deliver(self, notice: ListingNotice) -> None:
        """Record a notice of a watcher and pass it on to the other instance."""
        self.notices.append(notice)
        if not self.dropping:
            self.other.receive("watcher", notice)

    async def run_watcher(self) -> None:
        """Run the watcher until it is stopped."""
        with self.scope:
            await self.watcher.run()


Action = Callable[[WatcherPair], Awaitable[None]]


@given('a store that lists "{names}"')
def step_store(context: Context, names: str) -> None:
    context.names = names
    context.actions = []


@given("a watcher and another instance that receives its notices")
def step_pair(context: Context) -> None:
    """Do nothing: `check_targets` creates both instances."""


def add_action(context: Context, action: Action) -> None:
    context.actions.append(action)


@when('the store lists "{names}" a little later')
def step_lists(context: Context, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.list_targets(names)
        await trio.sleep(0.05)

    add_action(context, action)


@when('polls get no response from now on, and the store lists "{names}"')
def step_silent_polls(context: Context, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.polls_silent = True
        pair.store.list_targets(names)
        await trio.lowlevel.checkpoint()

    add_action(context, action)


@when(
    "a poll that has just begun and later ones get no response, the next read {fault}, others take "
    '{delay:d} ms, and the store lists "{names}"'
)
def step_silent_polls_and_read(context: Context, fault: str, delay: int, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        polls_before = pair.store.reads
        with trio.fail_after(5):
            while pair.store.reads == polls_before:  # noqa: ASYNC110 a fake is polled
                await trio.sleep(0.001)
        pair.store.polls_silent = True
        pair.store.read_faults = [ReadFault(fault)]
        pair.store.delay_seconds = delay / 1000
        pair.store.list_targets(names)

    add_action(context, action)


@when("each read {fault} for {seconds:d} seconds")
def step_store_fails(context: Context, fault: str, seconds: int) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.polls_silent = True
        pair.store.read_faults = [ReadFault(fault)] * 1_000
        pair.store.reads = pair.other_store.reads = 0
        await trio.sleep(seconds)

    add_action(context, action)


@then("the watcher has read the store at most {most:d} times")
def step_watcher_reads(context: Context, most: int) -> None:
    check_targets(context, lambda pair: pair.watcher, context.names, 0)
    reads = context.pair.store.reads - context.pair.other_store.reads
    assert reads <= most, reads


@when('the watcher stops and the store lists "{names}"')
def step_watcher_stops(context: Context, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.scope.cancel()
        pair.store.list_targets(names)
        await trio.lowlevel.checkpoint()

    add_action(context, action)


@when('the store is unavailable for {seconds:d} seconds and then lists "{names}"')
def step_outage(context: Context, seconds: int, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.unavailable = True
        pair.store.wake()
        await trio.sleep(seconds)
        pair.store.unavailable = False
        pair.store.list_targets(names)

    add_action(context, action)


@when('the store returns from a copy of revision {revision:d} that lists "{names}"')
def step_returns(context: Context, revision: int, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.restore(revision, names)
        await trio.sleep(0.05)

    add_action(context, action)


@when('the entry of "{name}" is written again without a change')
def step_rewritten(context: Context, name: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.rewritten = frozenset([name])
        pair.store.list_targets(text_of(pair.store.current_targets))
        await trio.sleep(0.05)

    add_action(context, action)


@when("{seconds:g} seconds pass for the list")
def step_pass(context: Context, seconds: float) -> None:
    async def action(pair: WatcherPair) -> None:
        await trio.sleep(seconds)

    add_action(context, action)


@when('a peer in era {era:d} reports "{names}" at revision {number:d}')
def step_peer_in_era(context: Context, era: int, names: str, number: int) -> None:
    async def action(pair: WatcherPair) -> None:
        targets = targets_from(names)
        digest = TargetListing(StoreRevision(era, number), targets).digest()
        changed = tuple(targets.values())
        for instance in (pair.other, pair.watcher):
            removed = tuple(key for key in instance.listing.targets if key not in targets)
            instance.receive("peer", ListingNotice(number, 1, digest, changed, removed, era))
        await trio.lowlevel.checkpoint()

    add_action(context, action)


@when('a poll of era {era:d} is answered late with "{names}" at revision {number:d}')
def step_late_answer(context: Context, era: int, names: str, number: int) -> None:
    async def action(pair: WatcherPair) -> None:
        changed = tuple(targets_from(names).values())
        pair.store.late_answer = TargetChanges(StoreRevision(era, number), changed, ())
        pair.store.wake()
        await trio.sleep(0.05)
        assert pair.store.late_answer is None

    add_action(context, action)


@then('{instance} has the targets "{names}" for {seconds:g} seconds')
def step_has_for(context: Context, instance: str, names: str, seconds: float) -> None:
    async def action(pair: WatcherPair) -> None:
        discovery = pair.watcher if instance == "the watcher" else pair.other
        changed = await wait_for(
            lambda: text_of(discovery.listing.targets) != names, round(seconds * 1000)
        )
        assert not changed, text_of(discovery.listing.targets)

    add_action(context, action)
    check_targets(context, lambda pair: pair.other, names, 0)


@when('the store loses its change history and lists "{names}"')
def step_history_lost(context: Context, names: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.store.history_lost_until = pair.store.revision + 1
        pair.store.list_targets(names)
        await trio.lowlevel.checkpoint()

    add_action(context, action)


@when("the watcher ends {seconds:d} second later")
def step_watcher_ends_later(context: Context, seconds: int) -> None:
    async def action(pair: WatcherPair) -> None:
        await trio.sleep(seconds)
        pair.scope.cancel()

    add_action(context, action)


@when('the watcher is told to keep "{name}" after an outage that only it has seen')
def step_late_watcher(context: Context, name: str) -> None:
    async def action(pair: WatcherPair) -> None:
        # The watcher reads a list that lacks the target when its own list is 3 seconds old.
        watcher = pair.late_watcher = TargetDiscovery(
            pair.store, lambda: 0, pair.deliver, lambda _: None, SystemClock()
        )
        revision = StoreRevision(pair.store.era, pair.store.revision - 1)
        known = TargetListing(revision, targets_from(context.names))
        changed = tuple(known.targets.values())
        digest = known.digest()
        watcher.receive(
            "peer", ListingNotice(revision.number, NO_LISTING.digest(), digest, changed, ())
        )
        await trio.sleep(3)
        pair.nursery.start_soon(watcher.run)
        assert await wait_for(lambda: watcher.listing.revision > known.revision, 100)
        assert name in watcher.listing.targets

    add_action(context, action)


@then("the other instance keeps them for {seconds:d} seconds")
def step_keeps(context: Context, seconds: int) -> None:
    async def action(pair: WatcherPair) -> None:
        expected = text_of(pair.store.current_targets)
        changed = await wait_for(
            lambda: text_of(pair.other.listing.targets) != expected, seconds * 1000
        )
        assert not changed, text_of(pair.other.listing.targets)

    add_action(context, action)
    check_targets(context, lambda pair: pair.other, "a b", 0)


@when("an outdated notice arrives late")
def step_outdated_notice(context: Context) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.other.receive("watcher", pair.notices[0])
        await trio.lowlevel.checkpoint()

    add_action(context, action)


@when('a notice is lost while the store lists "{first}" and then "{second}"')
def step_lost(context: Context, first: str, second: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.dropping = True
        pair.store.list_targets(first)
        await trio.sleep(0.05)
        pair.dropping = False
        pair.store.list_targets(second)

    add_action(context, action)


@when('another watcher reports "{first}" before the store lists "{second}" in one change')
def step_partly_known(context: Context, first: str, second: str) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.other_store.reads = 0
        before = pair.other.listing
        number = before.revision.number + 1
        known = TargetListing(StoreRevision(before.revision.era, number), targets_from(first))
        changed = tuple(item for key, item in known.targets.items() if key not in before.targets)
        notice = ListingNotice(number, before.digest(), known.digest(), changed, ())
        pair.other.receive("another watcher", notice)
        pair.store.list_targets(second)
        pair.store.revision = max(pair.store.revision, number + 1)
        await trio.sleep(0.05)

    add_action(context, action)


@then("the other instance has not read the store")
def step_not_read(context: Context) -> None:
    assert context.pair.other_store.reads == 0, context.pair.other_store.reads


def add_outage(context: Context, seconds: int, size: int, notice: ListingNotice | None) -> None:
    """Let the store be away for an instance of a fleet, which gets a notice that does not fit."""

    async def action(pair: WatcherPair) -> None:
        pair.fleet_size = size
        pair.store.unavailable = True
        pair.store.wake()
        if notice is None:
            await trio.sleep(3)
        else:
            pair.other.receive("watcher", notice)
        pair.other_store.reads = 0
        await trio.sleep(seconds)

    add_action(context, action)


@when("the store is unavailable for {seconds:d} seconds for a fleet of {size:d}")
def step_outage_large(context: Context, seconds: int, size: int) -> None:
    add_outage(context, seconds, size, None)


@when(
    "the store is unavailable for {seconds:d} seconds for a fleet of {size:d}, and a notice cannot "
    "be applied"
)
def step_outage_missed(context: Context, seconds: int, size: int) -> None:
    add_outage(context, seconds, size, ListingNotice(100, 1, 2, (), ()))


@then("the other instance has read the store at most {most:d} times")
def step_other_reads(context: Context, most: int) -> None:
    check_targets(context, lambda pair: pair.other, context.names, 0)
    assert context.pair.other_store.reads <= most, context.pair.other_store.reads


@then('the watcher has the targets "{names}" within {milliseconds:d} ms')
def step_watcher_has(context: Context, names: str, milliseconds: int) -> None:
    check_targets(context, lambda pair: pair.watcher, names, milliseconds)


@then('the other instance has the targets "{names}" within {milliseconds:d} ms')
def step_other_has(context: Context, names: str, milliseconds: int) -> None:
    check_targets(context, lambda pair: pair.other, names, milliseconds)


def check_targets(
    context: Context,
    choose: Callable[[WatcherPair], TargetDiscovery],
    names: str,
    milliseconds: int,
) -> None:
    async def run() -> None:
        context.pair = pair = WatcherPair(FakeStore(targets_from(context.names)))
        async with trio.open_nursery() as nursery:
            pair.nursery = nursery
            nursery.start_soon(pair.run_watcher)
            nursery.start_soon(pair.other.run)
            await trio.sleep(SETTLED_SECONDS)
            pair.store.reads = 0
            for action in context.actions:
                await action(pair)
            discovery = choose(pair)
            reached = await wait_for(
                lambda: text_of(discovery.listing.targets) == names, milliseconds
            )
            assert reached, (text_of(discovery.listing.targets), names)
            context.reads = pair.store.reads
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the store was queried at most twice since the change")
def step_reads(context: Context) -> None:
    assert context.reads <= 2, context.reads


@then("the other instance woke up at most {most:d} times in {seconds:d} seconds")
def step_woke_up(context: Context, most: int, seconds: int) -> None:
    async def run() -> None:
        pair = WatcherPair(FakeStore(targets_from(context.names)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pair.run_watcher)
            await trio.sleep(SETTLED_SECONDS)
            nursery.start_soon(pair.other.run)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    count = count_steps("TargetDiscovery.run", run)
    assert 0 < count <= most, count


@when("{count:d} notices of unknown bases arrive within {milliseconds:d} ms")
def step_unknown_bases(context: Context, count: int, milliseconds: int) -> None:
    async def action(pair: WatcherPair) -> None:
        pair.other_store.reads = 0
        for number in range(count):
            notice = ListingNotice(pair.store.revision, number, number + 1, (), ())
            pair.other.receive("watcher", notice)
            await trio.sleep(milliseconds / 1000 / count)
        await trio.sleep(0.4)

    add_action(context, action)


@then("the other instance has read the store at most {most:d} times since then")
def step_read_since(context: Context, most: int) -> None:
    assert context.pair.other_store.reads <= most, context.pair.other_store.reads


class StartingFleet:
    """Instances that start together; each learns of one more of the others at a time."""

    def __init__(self, store: FakeStore, count: int, learn_seconds: float) -> None:
        self.store = store
        self.learn_seconds = learn_seconds
        self.tellers: set[int] = set()
        self.members = [self._create(number) for number in range(count)]

    def _create(self, number: int) -> TargetDiscovery:
        return TargetDiscovery(
            self.store,
            lambda: number if trio.current_time() >= ADDRESSES_KNOWN_SECONDS else 0,
            lambda notice: self._tell(number, notice),
            lambda _: None,
            SystemClock(),
            lambda: max(1, round(len(self.members) * self._known_share())),
            lambda: self._known_share() >= 1.0,
        )

    def _known_share(self) -> float:
        return min(1.0, trio.current_time() / self.learn_seconds)

    def _tell(self, sender: int, notice: ListingNotice) -> None:
        self.tellers.add(sender)
        known = round(len(self.members) * self._known_share())
        for number, member in enumerate(self.members[:known]):
            if number != sender:
                member.receive(f"{sender}", notice)


@when("{count:d} instances start together, which learn of each other within {seconds:d} second")
def step_start_together(context: Context, count: int, seconds: int) -> None:
    async def run() -> None:
        store = FakeStore(targets_from(context.names))
        context.fleet = fleet = StartingFleet(store, count, seconds)
        async with trio.open_nursery() as nursery:
            for member in fleet.members:
                nursery.start_soon(member.run)
            await trio.sleep(seconds + 1)
            context.start_reads, store.reads = store.reads, 0
            context.start_tellers = set(fleet.tellers)
            await trio.sleep(10)
            context.later_reads = store.reads
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('all of them have the targets "{names}"')
def step_all_have_targets(context: Context, names: str) -> None:
    for member in context.fleet.members:
        assert text_of(member.listing.targets) == names


@then(
    "the store was read at most {most:d} times, and at most {tellers:d} instances told the others "
    "of a list"
)
def step_start_reads(context: Context, most: int, tellers: int) -> None:
    assert context.start_reads <= most, context.start_reads
    assert len(context.start_tellers) <= tellers, context.start_tellers


@then("the watchers then read it at most {most:d} times in {seconds:d} seconds")
def step_later_reads(context: Context, most: int, seconds: int) -> None:
    assert context.later_reads <= most, (context.later_reads, seconds)


@then("the other instance has read the store at least {least:d} times")
def step_other_reads_least(context: Context, least: int) -> None:
    check_targets(context, lambda pair: pair.other, context.names, 0)
    assert context.pair.other_store.reads >= least, context.pair.other_store.reads
