"""Steps for the monitors of instances in a large fleet."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support import exchange
from support.exchange import OWN, FakeDirectory, open_exchange
from wasabiwell_entry.coordination.exchange.const import LARGE_FLEET_INSTANCES
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.state.clock import ManualClock, SystemClock
from wasabiwell_entry.state.exchange import (
    NodeAddresses,
    NodeState,
    Notice,
    PeerLoss,
    PlacementNotice,
    RequestPlaced,
    RetryBudgetUse,
    RetryNotice,
    WatchRequest,
)

STEP = 0.25
"""Seconds between the messages of others that are heard."""


def addresses(count: int) -> list[str]:
    return [f"10.0.1.{index}:7" for index in range(count)]


def rings(count: int) -> dict[str, MonitorRing]:
    """Return the rings of all of a number of instances that know each other."""
    source = random.Random(count)
    names = [f"10.{source.randrange(256)}.{source.randrange(256)}.{n}:7" for n in range(count)]
    found = {name: MonitorRing(name) for name in names}
    for name, ring in found.items():
        ring.update([other for other in names if other != name], 0.0)
    return found


@then("of {count:d} instances with random addresses each has {monitors:d} monitors, which watch it")
def step_rings(context: Context, count: int, monitors: int) -> None:
    found = rings(count)
    for name, ring in found.items():
        assert len(ring.monitors) == monitors
        assert all(name in found[monitor].watched() for monitor in ring.monitors)
        assert len(ring.watched()) == monitors


def hear(context: Context, address: str, **fields: object) -> None:
    """Let a state arrive that tells the interval which its sender keeps to this instance."""
    others = context.others
    far = len(others) >= LARGE_FLEET_INSTANCES and address not in watched_by_own(others)
    interval = 100 * len(others) if far else 500
    exchange.hear(context, address, **{"interval_ms": interval, **fields})


def open_run(context: Context, count: int) -> list[str]:
    open_exchange(context, FakeDirectory(), SystemClock())
    context.port.now = trio.current_time
    context.others = addresses(count)
    return context.others


def watched_by_own(names: list[str]) -> set[str]:
    ring = MonitorRing(OWN)
    ring.update(names, 0.0)
    return set(ring.watched())


def run(
    context: Context,
    phases: list[tuple[int, list[str]]],
    happening: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Let an instance run in phases of some seconds, in each of which some others are heard."""

    async def play() -> None:
        context.clock = SystemClock()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.exchange.run)
            await trio.testing.wait_all_tasks_blocked()
            if happening is not None:
                nursery.start_soon(happening)
            for seconds, heard in phases:
                for _ in range(round(seconds / STEP)):
                    for address in heard:
                        hear(context, address)
                    await trio.sleep(STEP)
            context.told = [member.caller_address for member in context.exchange.alive()]
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@when("an instance hears {count:d} others for {seconds:d} seconds")
def step_hears(context: Context, count: int, seconds: int) -> None:
    others = open_run(context, count)
    run(context, [(seconds, others)])


@when(
    "an instance hears {count:d} others for {seconds:d} seconds, of which one that is no monitor "
    "asks {times:d} times, {interval:g} seconds apart, for frequent states"
)
def step_asks(context: Context, count: int, seconds: int, times: int, interval: float) -> None:
    others = open_run(context, count)
    ring = MonitorRing(OWN)
    ring.update(others, 0.0)
    context.asking = next(name for name in others if name not in ring.monitors)

    async def ask() -> None:
        await trio.sleep(1)
        for _ in range(times):
            context.exchange.receive(context.asking, WatchRequest())
            await trio.sleep(interval)

    run(context, [(seconds, others)], ask)


@then("the one that asked got {least:d} to {most:d} states, the last of which are seldom: {seldom}")
def step_asked(context: Context, least: int, most: int, seldom: str) -> None:
    got = [notice for to, notice, _ in sent(context, NodeState) if to == context.asking]
    assert least <= len(got) <= most, len(got)
    assert (got[-1].interval_ms > 500) == (seldom == "yes"), got[-1]


@when(
    "an instance hears {count:d} others for {seconds:d} seconds, of which one that it watches "
    "{answers} when it is asked for frequent states, and is silent before"
)
def step_seldom_watched(context: Context, count: int, seconds: int, answers: str) -> None:
    others = open_run(context, count)
    context.silent = min(watched_by_own(others))

    async def answer() -> None:
        exchange.hear(context, context.silent, interval_ms=100 * count)
        for _ in range(round(seconds / STEP) - 2):
            await trio.sleep(STEP)
            if answers == "sends them" and sent(context, WatchRequest):
                exchange.hear(context, context.silent, interval_ms=500)

    run(context, [(seconds, [name for name in others if name != context.silent])], answer)
    context.last = 0.0


@then("only that one was asked, at most {most:d} times")
def step_asked_once(context: Context, most: int) -> None:
    asked = [to for to, _, _ in sent(context, WatchRequest)]
    assert 0 < len(asked) <= most, asked
    assert set(asked) == {context.silent}, (asked, context.silent)


@when(
    "an instance hears {count:d} others for {seconds:d} seconds, and then all but one that it "
    "watches for {later:d} seconds"
)
def step_one_silent(context: Context, count: int, seconds: int, later: int) -> None:
    others = open_run(context, count)
    context.silent = min(watched_by_own(others))
    heard = [name for name in others if name != context.silent]
    run(context, [(seconds, others), (later, heard)])
    context.last = seconds - STEP


@when(
    "an instance hears {count:d} others for {seconds:d} seconds, and then only those that it "
    "watches for {later:d} seconds"
)
def step_far_silent(context: Context, count: int, seconds: int, later: int) -> None:
    others = open_run(context, count)
    run(context, [(seconds, others), (later, sorted(watched_by_own(others)))])


@then("{near:d} of them got {least:d} to {most:d} states, and the others {few:d} to {many:d}")
def step_states(context: Context, near: int, least: int, most: int, few: int, many: int) -> None:
    got = Counter(to for to, notice in context.port.sent if isinstance(notice, NodeState))
    often = [name for name in context.others if least <= got[name] <= most]
    assert len(often) == near, got
    assert all(few <= got[name] <= many for name in context.others if name not in often), got


def sent(context: Context, kind: type[Notice]) -> list[tuple[str, Notice, float]]:
    return [
        (to, notice, at)
        for (to, notice), at in zip(context.port.sent, context.port.times, strict=True)
        if isinstance(notice, kind)
    ]


@then(
    "it reported that one once, to all others, {least:g} to {most:g} seconds after its last message"
)
def step_reported(context: Context, least: float, most: float) -> None:
    reports = sent(context, PeerLoss)
    assert {notice.address for _, notice, _ in reports} == {context.silent}
    assert sorted(to for to, _, _ in reports) == sorted(set(context.others) - {context.silent})
    delays = {round(at - context.last, 2) for _, _, at in reports}
    assert len(delays) == 1
    assert least <= min(delays) <= most, delays


@then("it reported none")
def step_none_reported(context: Context) -> None:
    assert not sent(context, PeerLoss)


@then("callers are not told of that one")
def step_not_told(context: Context) -> None:
    host = context.silent.partition(":")[0]
    told = told_to_callers(context)
    assert host not in told
    assert len(told) == len(context.others), told


@then("callers are told of {count:d} instances")
def step_told_count(context: Context, count: int) -> None:
    assert len(told_to_callers(context)) == count


def told_to_callers(context: Context) -> list[str]:
    """Return what callers are told now, or were told at the end of a run."""
    if "told" in context:
        return context.told
    return [member.caller_address for member in context.exchange.alive()]


@given("an instance that hears {count:d} others")
def step_hears_others(context: Context, count: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.others = addresses(count)
    for name in context.others:
        hear(context, name)
    watched = watched_by_own(context.others)
    context.silent = next(name for name in context.others if name not in watched)
    context.port.sent.clear()
    context.port.times.clear()


@given('another that it does not watch has a request on engine "{target_id}"')
def step_has_request(context: Context, target_id: str) -> None:
    notice = PlacementNotice("r1", "s", target_id, (), 5, 300, 200, 1_000, 2_000, 1_000)
    context.exchange.receive(context.silent, RequestPlaced(notice))


def report(context: Context, sequence: int) -> None:
    reporter = next(name for name in context.others if name != context.silent)
    context.exchange.receive(reporter, PeerLoss(context.silent, 1, sequence))


def pass_silence(context: Context, seconds: int) -> None:
    """Let time pass in which only the silent instance is not heard."""
    context.clock.advance(timedelta(seconds=seconds))
    for name in context.others:
        if name != context.silent:
            hear(context, name)


@when("that one was silent for {seconds:d} seconds and is reported as silent")
def step_silent(context: Context, seconds: int) -> None:
    last = context.sequence
    pass_silence(context, seconds)
    report(context, last)


@when("that one was heard a second ago and is reported as silent")
def step_heard(context: Context) -> None:
    context.clock.advance(timedelta(seconds=1))
    report(context, context.sequence)


@when("that one was silent for {seconds:d} seconds after a newer state and is reported as silent")
def step_newer(context: Context, seconds: int) -> None:
    older = context.sequence
    hear(context, context.silent)
    pass_silence(context, seconds)
    report(context, older)


@when("it was paused for {seconds:d} seconds and looks for silent peers")
def step_paused(context: Context, seconds: int) -> None:
    context.exchange._sweep()  # what the instance does at intervals
    context.clock.advance(timedelta(seconds=seconds))
    context.exchange._sweep()


@when("its states are to come every {milliseconds:d} ms, and {seconds:d} seconds pass")
def step_seldom(context: Context, milliseconds: int, seconds: int) -> None:
    hear(context, context.silent, interval_ms=milliseconds)
    pass_silence(context, seconds)


@then("callers are told of that one: {told}")
def step_told_or_not(context: Context, told: str) -> None:
    host = context.silent.partition(":")[0]
    assert (host in told_to_callers(context)) == (told == "yes")


@when("it is heard again")
def step_again(context: Context) -> None:
    hear(context, context.silent)


@then("that one was told that it had been reported")
def step_told_report(context: Context) -> None:
    told = [
        notice.address
        for to, notice in context.port.sent
        if to == context.silent and isinstance(notice, PeerLoss)
    ]
    assert told == [context.silent], told


@when("{count:d} others report that it is silent")
def step_reports(context: Context, count: int) -> None:
    context.clock.advance(timedelta(seconds=1))
    for name in context.others[:count]:
        context.exchange.receive(name, PeerLoss(OWN, 1, 1))


@then("all others got {count:d} state more")
def step_got(context: Context, count: int) -> None:
    got = Counter(to for to, notice in context.port.sent if isinstance(notice, NodeState))
    assert got == dict.fromkeys(context.others, count), got


@when("it repeats a request for a service")
def step_repeats(context: Context) -> None:
    context.exchange.broadcast(RetryNotice("s"))


@then("{count:d} others were told of the repeat")
def step_told_repeat(context: Context, count: int) -> None:
    told = [to for to, notice in context.port.sent if isinstance(notice, RetryNotice)]
    assert len(told) == count, told


@given("an instance that hears {count:d} others, of which {lower:d} have lower addresses")
def step_hears_lower(context: Context, count: int, lower: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.others = [f"10.0.0.0:{port}" for port in range(1, lower + 1)]
    context.others += addresses(count - lower)
    for name in context.others:
        hear(context, name)
    context.silent = context.others[-1]
    context.port.sent.clear()


@when("one of them has started again and hears nobody")
def step_started_again(context: Context) -> None:
    hear(context, context.silent, incarnation=2)


@then("that one was sent {states:d} state and {lists:d} lists of addresses")
def step_sent_both(context: Context, states: int, lists: int) -> None:
    kinds = Counter(type(notice) for to, notice in context.port.sent if to == context.silent)
    assert (kinds[NodeState], kinds[NodeAddresses]) == (states, lists), kinds


@when('one of them tells of {count:d} repeats for service "{service}"')
def step_tells_repeats(context: Context, count: int, service: str) -> None:
    for _ in range(count):
        context.exchange.receive(context.silent, RetryNotice(service))


@when("its next state tells of {count:d} repeat")
def step_state_repeats(context: Context, count: int) -> None:
    hear(context, context.silent, uses=(RetryBudgetUse("s", 5, count),))


@then('that one has used {count:d} repeats of service "{service}"')
def step_used(context: Context, count: int, service: str) -> None:
    (uses,) = [uses for uses in context.nodes.uses() if uses]
    assert [(use.service, use.retries) for use in uses] == [(service, count)], uses


@when("one of them tells that it hears {count:d} instances")
def step_few(context: Context, count: int) -> None:
    hear(context, context.silent, peers=count)


@then("that one was told of {count:d} addresses")
def step_told_addresses(context: Context, count: int) -> None:
    lists = [
        notice.addresses
        for to, notice in context.port.sent
        if to == context.silent and isinstance(notice, NodeAddresses)
    ]
    assert [len(found) for found in lists] == [count], lists
