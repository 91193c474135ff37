"""Steps for the routes of a large fleet, in which a few instances follow the store for all."""

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from random import Random

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.logs import record_events
from support.stores import FakeRoutes, wait_for
from wasabiwell_entry.coordination.discovery import RouteDiscovery
from wasabiwell_entry.coordination.discovery.ports import (
    ChangeHistoryLost,
    FleetView,
    RoutesRead,
    StoreRole,
    UnreadableRoutes,
)
from wasabiwell_entry.coordination.evacuation import EvacuationTable
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import RouteTable
from wasabiwell_entry.state.store_revision import StoreRevision

SETTLED_SECONDS = 4.0
MESSAGE_SECONDS = 0.001
FETCH_SECONDS = 0.01
FETCH_TIMEOUT_SECONDS = 0.25
TRANSFER_STEP_SECONDS = 0.05


class MemberStore:
    """The store as one instance reaches it; counts its reads."""

    def __init__(self, store: FakeRoutes) -> None:
        self._store = store
        self.refusing = False
        self.deaf = False
        self.read_seconds = 0.0
        self.reads = 0

    async def current(self) -> RoutesRead | StoreUnavailable:
        """Return the newest routes."""
        self.reads += 1
        if self.refusing:
            await trio.sleep(MESSAGE_SECONDS)
            return StoreUnavailable("refused")
        await trio.sleep(self.read_seconds)
        return await self._store.current()

    async def changes(
        self, after: StoreRevision, wait: timedelta
    ) -> RoutesRead | ChangeHistoryLost | StoreUnavailable:
        """Wait until something changes."""
        self.reads += 1
        if self.refusing:
            await trio.sleep(MESSAGE_SECONDS)
            return StoreUnavailable("refused")
        outcome = await self._store.changes(after, wait)
        if self.deaf:
            await trio.sleep_forever()
        return outcome

    def decode(self, document: bytes) -> RouteTable | UnreadableRoutes:
        """Return the routes of a document."""
        return self._store.decode(document)


class Member:
    """An instance of the fleet; the first ones are the followers."""

    def __init__(self, fleet: "RouteFleet", number: int, follower: bool) -> None:
        self.follower = follower
        self.knows_fleet = True
        self.other_role = StoreRole.LISTENER
        self.peers_answer = True
        self.older_build = False
        self.evacuations = EvacuationTable(SystemClock())
        self.address = f"10.0.0.{number}:9"
        self.store = MemberStore(fleet.store)
        self.scope = trio.CancelScope()
        view = FleetView(
            role=self._role,
            size=lambda: len(fleet.members),
            confirm=partial(fleet.confirm, self),
            report_failure=partial(fleet.report_failure, self),
            send_state=partial(fleet.send_state, self),
        )
        self.discovery = RouteDiscovery(
            self.store,
            partial(fleet.fetch, self),
            lambda _: None,
            view,
            SystemClock(),
            Random(number),
            evacuations=self.evacuations,
        )

    def _role(self) -> StoreRole:
        if not self.knows_fleet:
            return StoreRole.INDEPENDENT
        return StoreRole.FOLLOWER if self.follower else self.other_role

    async def run(self) -> None:
        """Run until the instance is ended."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.evacuations.run)
                await self.discovery.run()


class RouteFleet:
    """Instances that pass each other messages within a millisecond."""

    def __init__(self, size: int, followers: int, version: int) -> None:
        self.store = FakeRoutes(version)
        self.members: list[Member] = []
        for number in range(size):
            self.members.append(Member(self, number, number < followers))
        self.nursery: trio.Nursery | None = None
        self.cut_members: list[Member] = []
        self.repeat_after: float | None = None
        self.lost_share = 0.0
        self.failure_reports = 0
        self.confirmations = 0
        self.transfer_seconds = 0.0
        self.transfers: Counter[str] = Counter()
        self._random = Random(size)

    def cut_off(self, member: Member) -> None:
        """Let an instance exchange messages with no other one."""
        self.cut_members.append(member)

    def confirm(self, sender: Member, version: int) -> None:
        """Deliver a confirmation to all others."""
        self.confirmations += 1
        self.send_state(sender)
        for member in self._others(sender):
            self._deliver(
                partial(
                    member.discovery.record_confirmation,
                    sender.address,
                    version,
                    True,
                    not sender.older_build,
                )
            )

    def send_state(self, sender: Member) -> None:
        """Deliver the evacuations that an instance knows to all others, unless it knows none."""
        told = sender.evacuations.current
        if sender.older_build or not told.revision.number:
            return
        for member in self._others(sender):
            self._deliver(partial(member.evacuations.record, told, sender.address))

    def report_failure(self, sender: Member) -> None:
        """Deliver a report of an unreachable store to all others."""
        self.failure_reports += 1
        for member in self._others(sender):
            self._deliver(member.discovery.record_unreachable)

    async def fetch(self, caller: Member, address: str) -> bytes | StoreUnavailable:
        """Return the document of an instance."""
        if not caller.peers_answer:
            await trio.sleep(FETCH_TIMEOUT_SECONDS)
            return StoreUnavailable("no response in time")
        await trio.sleep(FETCH_SECONDS)
        (member,) = [item for item in self.members if item.address == address]
        if member.scope.cancel_called or member in self.cut_members:
            return StoreUnavailable("no connection")
        document = member.discovery.document
        await self._transfer(address)
        return document

    async def _transfer(self, address: str) -> None:
        """Wait until a document has been sent; all that one instance sends share its link."""
        remaining = self.transfer_seconds
        self.transfers[address] += 1
        try:
            while remaining > 0:
                await trio.sleep(TRANSFER_STEP_SECONDS)
                remaining -= TRANSFER_STEP_SECONDS / self.transfers[address]
        finally:
            self.transfers[address] -= 1

    def running(self) -> list[Member]:
        """Return the instances that have not ended."""
        return [member for member in self.members if not member.scope.cancel_called]

    def _others(self, sender: Member) -> list[Member]:
        if sender in self.cut_members:
            return []
        return [
            member
            for member in self.running()
            if member is not sender and member not in self.cut_members
        ]

    def _deliver(self, receive: Callable[[], None]) -> None:
        async def deliver() -> None:
            await trio.sleep(MESSAGE_SECONDS)
            receive()
            if self.repeat_after is not None:
                await trio.sleep(self.repeat_after)
                receive()

        lost = self._random.random() < self.lost_share
        if self.nursery is not None and not lost:
            self.nursery.start_soon(deliver)


Action = Callable[[RouteFleet], Awaitable[None]]


@given("{size:d} instances of which {followers:d} follow a store with version {version:d}")
def step_fleet(context: Context, size: int, followers: int, version: int) -> None:
    context.make_fleet = partial(RouteFleet, size, followers, version)
    context.fleet_actions = []
    context.away_at_start = False
    context.unknown_seconds = 0.0


@given("the followers know the size of the fleet only after {seconds:d} second")
def step_unknown_fleet(context: Context, seconds: int) -> None:
    context.unknown_seconds = float(seconds)


@when(
    "a slow instance gets no answers from its peers, and reads the store within {milliseconds:d} ms"
)
def step_slow_instance(context: Context, milliseconds: int) -> None:
    def slow(fleet: RouteFleet) -> None:
        member = fleet.members[-1]
        member.peers_answer = False
        member.store.read_seconds = milliseconds / 1000

    act(context, slow)


@given("the others hold long polls of their own")
def step_independent(context: Context) -> None:
    def hold(fleet: RouteFleet) -> None:
        for member in fleet.members:
            member.other_role = StoreRole.INDEPENDENT

    act(context, hold, SETTLED_SECONDS)


@when("the polls get no response from now on, and those in progress neither")
def step_silent_polls(context: Context) -> None:
    def silence(fleet: RouteFleet) -> None:
        fleet.store.polls_silent = True

    act(context, silence)


@when("the store ends each poll at once")
def step_ends_polls(context: Context) -> None:
    def end(fleet: RouteFleet) -> None:
        fleet.store.polls_fail = True
        fleet.store.wake()

    act(context, end)


@when("the store tells nobody of version {version:d}, and cuts all polls {milliseconds:d} ms later")
def step_deaf(context: Context, version: int, milliseconds: int) -> None:
    def put(fleet: RouteFleet) -> None:
        reset_reads(fleet)
        fleet.store.deaf = True
        fleet.store.put(version)

    act(context, put, milliseconds / 1000)
    act(context, lambda fleet: fleet.store.cut())


def act(context: Context, change: Callable[[RouteFleet], None], seconds: float = 0.0) -> None:
    """Add a change of the fleet, which is made once the earlier ones have been."""

    async def action(fleet: RouteFleet) -> None:
        change(fleet)
        await trio.sleep(seconds)

    context.fleet_actions.append(action)


def reset_reads(fleet: RouteFleet) -> None:
    for member in fleet.members:
        member.store.reads = 0


@given("one document takes {milliseconds:d} ms on the link of an instance")
def step_transfer(context: Context, milliseconds: int) -> None:
    def slow(fleet: RouteFleet) -> None:
        fleet.transfer_seconds = milliseconds / 1000

    act(context, slow)


@given("the store refuses one follower")
def step_refuses_follower(context: Context) -> None:
    def refuse(fleet: RouteFleet) -> None:
        fleet.members[0].store.refusing = True
        fleet.store.wake()

    act(context, refuse, SETTLED_SECONDS)


@given("the store refuses all followers")
def step_refuses_followers(context: Context) -> None:
    def refuse(fleet: RouteFleet) -> None:
        for member in fleet.members:
            member.store.refusing = member.follower
        fleet.store.wake()

    act(context, refuse)


def set_away(away: bool, fleet: RouteFleet) -> None:
    fleet.store.unavailable = away
    fleet.store.wake()


@given("the store is away")
def step_away(context: Context) -> None:
    act(context, partial(set_away, True))


@given("the store does not answer")
def step_silent(context: Context) -> None:
    def silence(fleet: RouteFleet) -> None:
        fleet.store.silent = True
        fleet.store.wake()

    act(context, silence)


@given("the store is away when they start")
def step_away_at_start(context: Context) -> None:
    context.away_at_start = True


@when("the store is back")
def step_back(context: Context) -> None:
    def back(fleet: RouteFleet) -> None:
        fleet.store.silent = False
        set_away(False, fleet)

    act(context, back)


@when("{count:d} instances are cut off from all others")
def step_cut_off(context: Context, count: int) -> None:
    def cut(fleet: RouteFleet) -> None:
        for member in fleet.members[-count:]:
            fleet.cut_off(member)

    act(context, cut)


@when("the store refuses these for {seconds:d} seconds")
def step_refuses_cut_off(context: Context, seconds: int) -> None:
    def set_refusing(refusing: bool, fleet: RouteFleet) -> None:
        for member in fleet.cut_members:
            member.store.refusing = refusing

    act(context, partial(set_refusing, True), seconds)
    act(context, partial(set_refusing, False))


@when("each message between them is delivered again {seconds:d} second later")
def step_delivered_again(context: Context, seconds: int) -> None:
    def repeat(fleet: RouteFleet) -> None:
        fleet.repeat_after = float(seconds)

    act(context, repeat, 3 * seconds)


@when("half of the messages between them are lost")
def step_lost_messages(context: Context) -> None:
    def lose(fleet: RouteFleet) -> None:
        fleet.lost_share = 0.5

    act(context, lose)


@when("{seconds:d} seconds pass for them")
def step_pass(context: Context, seconds: int) -> None:
    act(context, reset_reads, seconds)


@when("all followers end")
def step_followers_end(context: Context) -> None:
    def end(fleet: RouteFleet) -> None:
        for member in fleet.members:
            if member.follower:
                member.scope.cancel()

    act(context, end)


@when("a follower that is behind confirms version {version:d} to all")
def step_behind(context: Context, version: int) -> None:
    act(context, lambda fleet: fleet.confirm(fleet.members[0], version), MESSAGE_SECONDS * 2)


@when("version {version:d} is put in force for them")
def step_put(context: Context, version: int) -> None:
    def put(fleet: RouteFleet) -> None:
        reset_reads(fleet)
        fleet.store.put(version)

    act(context, put)


@when("versions {first:d} to {last:d} are put in force {milliseconds:d} ms apart")
def step_put_series(context: Context, first: int, last: int, milliseconds: int) -> None:
    act(context, reset_reads)
    for version in range(first, last + 1):
        act(context, lambda fleet, version=version: fleet.store.put(version), milliseconds / 1000)


async def run_fleet(context: Context, version: int, milliseconds: int) -> None:
    """Run the fleet through all actions, until all instances have a version."""
    context.fleet = fleet = context.make_fleet()
    fleet.store.unavailable = context.away_at_start
    async with trio.open_nursery() as nursery:
        fleet.nursery = nursery
        for member in fleet.members:
            member.knows_fleet = not member.follower or context.unknown_seconds == 0.0
            nursery.start_soon(member.run)
        await trio.sleep(context.unknown_seconds)
        for member in fleet.members:
            member.knows_fleet = True
        await trio.sleep(SETTLED_SECONDS)
        for action in context.fleet_actions:
            await action(fleet)
        context.reached = await wait_for(
            lambda: all(item.discovery.table.version == version for item in fleet.running()),
            milliseconds,
        )
        nursery.cancel_scope.cancel()


def play(context: Context, version: int = 0, milliseconds: int = 0) -> None:
    trio.run(
        run_fleet,
        context,
        version,
        milliseconds,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


@then("all instances have version {version:d} within {milliseconds:d} ms")
@then("all other instances have version {version:d} within {milliseconds:d} ms")
def step_all_have(context: Context, version: int, milliseconds: int) -> None:
    play(context, version, milliseconds)
    versions = [item.discovery.table.version for item in context.fleet.running()]
    assert context.reached, versions


@then("all instances but the refused one have version {version:d} within {milliseconds:d} ms")
def step_others_have(context: Context, version: int, milliseconds: int) -> None:
    """Check the instances that reach the store; the other one depends on its peers."""

    async def wait(fleet: RouteFleet) -> None:
        context.in_time = await wait_for(
            lambda: all(
                item.discovery.table.version == version
                for item in fleet.members
                if not item.store.refusing
            ),
            milliseconds,
        )

    context.fleet_actions.append(wait)
    play(context)
    versions = Counter(item.discovery.table.version for item in context.fleet.members)
    assert context.in_time, versions


@then("the store was read at most {most:d} times in that time")
def step_reads(context: Context, most: int) -> None:
    if "fleet" not in context or not context.fleet.members:
        play(context)
    reads = sum(member.store.reads for member in context.fleet.members)
    assert reads <= most, reads


@then("no follower reported that the store is unreachable")
def step_no_report(context: Context) -> None:
    assert context.fleet.failure_reports == 0, context.fleet.failure_reports


@then("no listener read it in that time")
def step_no_listener_read(context: Context) -> None:
    reads = [member.store.reads for member in context.fleet.members if not member.follower]
    assert not any(reads), reads


@then("they log at most {most:d} proofs each, and no old one")
def step_few_proofs(context: Context, most: int) -> None:
    with record_events() as records:
        play(context)
    numbers = [record.extra["event"] for record in records]
    proved, proof_old = log_events.ROUTES_PROVED.number, log_events.ROUTES_PROOF_OLD.number
    size = len(context.fleet.members)
    assert size <= numbers.count(proved) <= most * size, numbers.count(proved)
    assert not numbers.count(proof_old), numbers


class FaultSeries:
    """Random changes of a fleet, its store and its messages, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.fleet = RouteFleet(self._random.choice((5, 9, 12, 40)), self._random.choice((1, 3)), 1)
        self.version = 1
        if self._random.random() < 0.4:
            for member in self.fleet.members:
                member.other_role = StoreRole.INDEPENDENT

    async def run(self) -> None:
        """Change the fleet, then end all faults; messages or fetches may fail for good."""
        await trio.sleep(self._random.uniform(0.0, SETTLED_SECONDS))
        for _ in range(self._random.randint(5, 60)):
            await trio.sleep(self._random.uniform(0.0, 0.6))
            self._change()
        self._put()
        self._end_faults()

    def _put(self) -> None:
        self.version += self._random.randint(1, 9)
        self.fleet.store.put(self.version)

    def _change(self) -> None:
        fleet, store = self.fleet, self.fleet.store
        member = self._random.choice(fleet.members)
        match self._random.randrange(14):
            case 0:
                member.store.refusing = not member.store.refusing
            case 1:
                member.peers_answer = not member.peers_answer
            case 2:
                member.follower = not member.follower
            case 3:
                member.other_role = self._random.choice((StoreRole.LISTENER, StoreRole.INDEPENDENT))
            case 4 if member in fleet.cut_members:
                fleet.cut_members.remove(member)
            case 4:
                fleet.cut_off(member)
            case 5:
                fleet.lost_share = self._random.choice((0.0, 0.3, 0.9, 1.0))
            case 6:
                store.deaf = self._random.random() < 0.5
                store.wake()
            case 7:
                store.cut()
            case 8:
                store.polls_silent = self._random.random() < 0.5
                store.silent = self._random.random() < 0.3
            case 9:
                set_away(self._random.random() < 0.5, fleet)
            case 10:
                member.store.read_seconds = self._random.choice((0.0, 0.3, 1.0, 1.4))
                store.lost_history = self._random.random() < 0.5
            case _:
                self._put()

    def _end_faults(self) -> None:
        fleet, store = self.fleet, self.fleet.store
        store.deaf = store.polls_silent = store.silent = False
        set_away(False, fleet)
        failing = self._random.choice(("nothing", "messages", "fetches"))
        fleet.lost_share = 1.0 if failing == "messages" else 0.0
        fleet.cut_members.clear()
        for member in fleet.members:
            member.store.refusing, member.store.read_seconds = False, 0.0
            member.peers_answer = failing == "nothing"


@when("fleets of 5 to 40 instances go through the random faults of seeds {first:d} to {last:d}")
def step_random_faults(context: Context, first: int, last: int) -> None:
    async def run(series: FaultSeries) -> float:
        async with trio.open_nursery() as nursery:
            series.fleet.nursery = nursery
            for member in series.fleet.members:
                nursery.start_soon(member.run)
            await series.run()
            ended_at = trio.current_time()
            await wait_for(
                lambda: all(
                    member.discovery.table.version == series.version
                    for member in series.fleet.members
                ),
                30_000,
            )
            nursery.cancel_scope.cancel()
            return trio.current_time() - ended_at

    context.seconds_by_seed = {
        seed: trio.run(run, FaultSeries(seed), clock=trio.testing.MockClock(autojump_threshold=0))
        for seed in range(first, last + 1)
    }


@then("each instance has the last version within {milliseconds:d} ms of the end of the faults")
def step_last_version(context: Context, milliseconds: int) -> None:
    late = {
        seed: round(seconds, 2)
        for seed, seconds in context.seconds_by_seed.items()
        if seconds > milliseconds / 1000
    }
    assert not late, late


def write_zones(context: Context, zones: str, evacuated: bool) -> None:
    def write(fleet: RouteFleet) -> None:
        for zone in zones.split():
            fleet.store.write_zone(zone, evacuated)

    act(context, write)


@given('zone "{zones}" is evacuated before they start')
def step_evacuated_before(context: Context, zones: str) -> None:
    make_fleet = context.make_fleet

    def make() -> RouteFleet:
        fleet = make_fleet()
        for zone in zones.split():
            fleet.store.write_zone(zone, True)
        return fleet

    context.make_fleet = make


@given("the followers are of a build that knows no evacuations")
def step_older_followers(context: Context) -> None:
    def age(fleet: RouteFleet) -> None:
        for member in fleet.members:
            member.older_build = member.follower

    act(context, age, SETTLED_SECONDS)


@when("the store answers only the last instance")
def step_answers_one(context: Context) -> None:
    def silence(fleet: RouteFleet) -> None:
        for member in fleet.members[:-1]:
            member.store.deaf = True

    act(context, silence)


@when('the rows of zones "{zones}" are written')
def step_write_zones(context: Context, zones: str) -> None:
    write_zones(context, zones, True)


@when('the rows of zones "{zones}" are removed')
def step_remove_zones(context: Context, zones: str) -> None:
    write_zones(context, zones, False)


@when("the configuration in the store cannot be decoded")
def step_undecodable(context: Context) -> None:
    def spoil(fleet: RouteFleet) -> None:
        fleet.store.unreadable = True
        fleet.store.put(9)

    act(context, spoil, SETTLED_SECONDS)


@when("the store returns from a copy at revision {revision:d}")
def step_restored(context: Context, revision: int) -> None:
    act(context, lambda fleet: fleet.store.restore(revision))


@when("the store is away, and an instance starts again")
def step_starts_again(context: Context) -> None:
    def restart(fleet: RouteFleet) -> None:
        set_away(True, fleet)
        fleet.members[-1].scope.cancel()
        member = Member(fleet, len(fleet.members), False)
        fleet.members.append(member)
        assert fleet.nursery is not None
        fleet.nursery.start_soon(member.run)
        fleet.send_state(fleet.members[1])

    act(context, restart, MESSAGE_SECONDS * 2)


@then('all instances have evacuated "{zones}" within {milliseconds:d} ms')
def step_all_evacuated(context: Context, zones: str, milliseconds: int) -> None:
    check_zones(context, frozenset(zones.split()), milliseconds)


@then("all instances have evacuated no zone within {milliseconds:d} ms")
def step_none_evacuated(context: Context, milliseconds: int) -> None:
    check_zones(context, frozenset(), milliseconds)


def check_zones(context: Context, zones: frozenset[str], milliseconds: int) -> None:
    """Play all actions, and check that all instances but older ones evacuate the zones in time."""

    async def wait(fleet: RouteFleet) -> None:
        followers = [item for item in fleet.running() if not item.older_build]
        context.in_time = await wait_for(
            lambda: all(item.evacuations.zones == zones for item in followers), milliseconds
        )
        context.zones = [sorted(item.evacuations.zones) for item in followers]

    context.fleet_actions.append(wait)
    play(context)
    assert context.in_time, context.zones


@then("they told each other of it at most {most:d} times at their start")
def step_few_told(context: Context, most: int) -> None:
    assert context.fleet.confirmations <= most, context.fleet.confirmations
