"""Steps for finding out whether an instance reaches targets."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.calls import VirtualClock
from support.forwarding import ZONE, PlacementFixture, make_peer, make_target
from wasabiwell_entry.coordination.reachability import (
    ReachabilityProber,
    RelayPeers,
    TargetReachability,
)
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.targets import Target

CHOICES = 60
LACKS = {
    "targets": {"reaches_targets": False},
    "leaving": {"leaving": True},
    "serving": {"serving": False},
    "version": {"reaches_targets": None},
}


@dataclass(slots=True)
class ProbedTargets:
    """Targets of which some are down; records each connection like the platform's client."""

    reachability: TargetReachability
    down: set[str]
    probed: list[str] = field(default_factory=list)

    async def accepts(self, target: Target) -> bool:
        """Return whether a target is not down."""
        await trio.lowlevel.checkpoint()
        self.probed.append(target.target_id)
        accepted = target.target_id not in self.down
        self.reachability.record_connection(target, accepted)
        return accepted


def target_id(number: int) -> str:
    return make_target(number).target_id


@given("an instance with {count:d} listed targets")
def step_listed(context: Context, count: int) -> None:
    context.listed = [make_target(number) for number in range(count)]
    context.down = set()
    context.actions = []


@given("an instance with {count:d} listed targets, none of which accepts connections")
def step_all_down(context: Context, count: int) -> None:
    step_listed(context, count)
    context.down = {target.target_id for target in context.listed}


@given("an instance with {count:d} listed targets, of which only target {number:d} is down")
def step_one_down(context: Context, count: int, number: int) -> None:
    step_listed(context, count)
    context.down = {target_id(number)}


@given("an instance with {count:d} listed targets, of which {down:d} are down")
def step_some_down(context: Context, count: int, down: int) -> None:
    step_listed(context, count)
    context.down = {target_id((number + 1) % count) for number in range(down)}


@then("a crash of target {number:d} {counts}")
def step_crash_counts(context: Context, number: int, counts: str) -> None:
    async def run(seed: int) -> bool:
        clock = VirtualClock()
        reachability = TargetReachability(
            lambda: context.listed, lambda: None, lambda since: None, clock
        )
        port = ProbedTargets(reachability, context.down)
        target = make_target(number)
        reachability.record_connection(target, False)
        prober = ReachabilityProber(reachability, port, clock, Random(seed))
        return await prober.reaches_another(target)

    expected = counts == "counts"
    assert all(trio.run(run, seed) is expected for seed in range(CHOICES))


@when("connections to the targets {events} fail or are accepted")
def step_events(context: Context, events: str) -> None:
    context.actions += events.split()


@when("{seconds:d} seconds go by")
def step_pass(context: Context, seconds: int) -> None:
    context.actions.append(timedelta(seconds=seconds))


@when("a connection to target {number:d} fails and {seconds:d} second passes")
@when("a connection to target {number:d} fails and {seconds:d} seconds pass")
def step_fails(context: Context, number: int, seconds: int) -> None:
    context.actions += [str(number), timedelta(seconds=seconds)]
    context.probing = True


@when("the targets accept connections again and {seconds:d} second passes")
def step_again(context: Context, seconds: int) -> None:
    context.actions += ["end", timedelta(seconds=seconds)]


def play(context: Context) -> None:
    """Play the recorded actions on a new instance."""
    context.changes = []

    async def run() -> None:
        clock = VirtualClock()
        reachability = TargetReachability(
            lambda: context.listed,
            lambda: context.changes.append("begun"),
            lambda since: context.changes.append("ended"),
            clock,
        )
        port = ProbedTargets(reachability, context.down)
        prober = ReachabilityProber(reachability, port, clock, Random(1))
        async with trio.open_nursery() as nursery:
            if "probing" in context:
                nursery.start_soon(prober.run)
                await trio.testing.wait_all_tasks_blocked()
            for action in context.actions:
                match action:
                    case timedelta():
                        await clock.sleep(action)
                    case "end":
                        port.down.clear()
                    case _:
                        accepted = action.startswith("+")
                        target = make_target(int(action.removeprefix("+")))
                        reachability.record_connection(target, accepted)
            nursery.cancel_scope.cancel()
        context.cut_off = reachability.cut_off
        context.probed = port.probed

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it counts as cut off")
def step_is_cut_off(context: Context) -> None:
    play(context)
    assert context.cut_off


@then("it reaches targets")
def step_reaches(context: Context) -> None:
    play(context)
    assert not context.cut_off


@then("the state has begun {begun:d} time and ended {ended:d} time")
def step_changes(context: Context, begun: int, ended: int) -> None:
    play(context)
    counts = context.changes.count("begun"), context.changes.count("ended")
    assert counts == (begun, ended), context.changes


@then("at most {count:d} other targets were probed")
def step_probed(context: Context, count: int) -> None:
    assert 0 < len(context.probed) <= count, context.probed


@given("these peers: {peers}")
def step_peers(context: Context, peers: str) -> None:
    context.nodes = []
    for text in peers.split():
        number, zone, *lacks = text.split(":")
        fields = LACKS[lacks[0]] if lacks else {}
        context.nodes.append(make_peer(int(number), zone, **fields))


@then("peers that get requests: {chosen}")
def step_chosen(context: Context, chosen: str) -> None:
    choice = RelayPeers(lambda: context.nodes, ZONE, Random(1))
    found = {choice.choose(frozenset()) for _ in range(CHOICES)}
    addresses = {peer.address if peer else None for peer in found}
    numbers = [] if chosen == "none" else chosen.split()
    expected = {make_peer(int(number)).address for number in numbers} or {None}
    assert addresses == expected, addresses


@when("the targets {before} are lost before a cut and {during} in it, and the cut ends")
def step_lost(context: Context, before: str, during: str) -> None:
    async def run() -> None:
        clock = VirtualClock()
        engines = PlacementFixture(len(context.listed), clock)
        for number in before.split():
            engines.health.record_attempt(target_id(int(number)), AttemptVerdict.LOST)
        await trio.sleep(0.1)
        since = clock.monotonic()
        for number in during.split():
            engines.health.record_attempt(target_id(int(number)), AttemptVerdict.LOST)
        await trio.sleep(0.1)
        engines.health.end_pauses(since)
        context.usable = {
            target.target_id for target in engines.targets if engines.health.usable(target)
        }

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the targets {usable} may receive requests and {paused} are paused")
def step_usable(context: Context, usable: str, paused: str) -> None:
    assert {target_id(int(number)) for number in usable.split()} <= context.usable
    assert not {target_id(int(number)) for number in paused.split()} & context.usable
