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
"""Seconds between two states of a peer that is running."""


def make_addresses(count: int) -> list[str]:
    return [f"10.0.1.{index}:7" for index in range(count)]


def make_rings(count: int) -> dict[str, MonitorRing]:
    """Return the monitor rings of `count` instances that all know each other."""
    source = random.Random(count)
    names = [f"10.{source.randrange(256)}.{source.randrange(256)}.{n}:7" for n in range(count)]
    rings_by_address = {name: MonitorRing(name) for name in names}
    for name, ring in rings_by_address.items():
        ring.update([other for other in names if other != name], 0.0)
    return rings_by_address


@then(
    "each of {count:d} instances with random addresses has {monitors:d} monitors, which monitor it"
)
def step_rings(context: Context, count: int, monitors: int) -> None:
    rings_by_address = make_rings(count)
    for name, ring in rings_by_address.items():
        assert len(ring.monitors) == monitors
        assert all(name in rings_by_address[monitor].monitored() for monitor in ring.monitors)
        assert len(ring.monitored()) == monitors


def receive_state(context: Context, address: str, **fields: object) -> None:
    """Deliver a state with the interval at which its sender would send states to this instance."""
    peers = context.peers
    infrequent = len(peers) >= LARGE_FLEET_INSTANCES and address not in monitored_by_own(peers)
    interval = 100 * len(peers) if infrequent else 500
    exchange.receive_state(context, address, **{"interval_ms": interval, **fields})


def open_with_peers(context: Context, count: int) -> list[str]:
    open_exchange(context, FakeDirectory(), SystemClock())
    context.port.now = trio.current_time
    context.peers = make_addresses(count)
    return context.peers


def monitored_by_own(names: list[str]) -> set[str]:
    ring = MonitorRing(OWN)
    ring.update(names, 0.0)
    return set(ring.monitored())


def run(
    context: Context,
    phases: list[tuple[int, list[str]]],
    concurrent: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Run an instance through phases, each given by its seconds and the peers that send states."""

    async def run_phases() -> None:
        context.clock = SystemClock()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.exchange.run)
            await trio.testing.wait_all_tasks_blocked()
            if concurrent is not None:
                nursery.start_soon(concurrent)
            for seconds, senders in phases:
                for _ in range(round(seconds / STEP)):
                    for address in senders:
                        receive_state(context, address)
                    await trio.sleep(STEP)
            context.caller_addresses = [
                member.caller_address for member in context.exchange.alive()
            ]
            nursery.cancel_scope.cancel()

    trio.run(run_phases, clock=trio.testing.MockClock(autojump_threshold=0))


@when("an instance receives states of {count:d} peers for {seconds:d} seconds")
def step_receives(context: Context, count: int, seconds: int) -> None:
    peers = open_with_peers(context, count)
    run(context, [(seconds, peers)])


@when(
    "an instance receives states of {count:d} peers for {seconds:d} seconds, and one that is "
    "not its monitor asks {times:d} times, {interval:g} seconds apart, for frequent states"
)
def step_requests_states(
    context: Context, count: int, seconds: int, times: int, interval: float
) -> None:
    peers = open_with_peers(context, count)
    ring = MonitorRing(OWN)
    ring.update(peers, 0.0)
    context.requester = next(name for name in peers if name not in ring.monitors)

    async def send_requests() -> None:
        await trio.sleep(1)
        for _ in range(times):
            context.exchange.receive(context.requester, WatchRequest())
            await trio.sleep(interval)

    run(context, [(seconds, peers)], send_requests)


@then(
    "the peer that asked got {least:d} to {most:d} states, the last of them at the long "
    "interval: {long_interval}"
)
def step_request_granted(context: Context, least: int, most: int, long_interval: str) -> None:
    received = [notice for to, notice, _ in sent(context, NodeState) if to == context.requester]
    assert least <= len(received) <= most, len(received)
    assert (received[-1].interval_ms > 500) == (long_interval == "yes"), received[-1]


@when(
    "an instance receives states of {count:d} peers for {seconds:d} seconds, except for a "
    "monitored one that is silent until it is asked for frequent states, and then {response}"
)
def step_silent_until_asked(context: Context, count: int, seconds: int, response: str) -> None:
    peers = open_with_peers(context, count)
    context.silent_peer = min(monitored_by_own(peers))

    async def respond() -> None:
        exchange.receive_state(context, context.silent_peer, interval_ms=100 * count)
        for _ in range(round(seconds / STEP) - 2):
            await trio.sleep(STEP)
            if response == "sends them" and sent(context, WatchRequest):
                exchange.receive_state(context, context.silent_peer, interval_ms=500)

    run(context, [(seconds, [name for name in peers if name != context.silent_peer])], respond)
    context.last = 0.0


@then("only that peer was asked, at most {most:d} times")
def step_only_asked(context: Context, most: int) -> None:
    asked = [to for to, _, _ in sent(context, WatchRequest)]
    assert 0 < len(asked) <= most, asked
    assert set(asked) == {context.silent_peer}, (asked, context.silent_peer)


@when(
    "an instance receives states of {count:d} peers for {seconds:d} seconds, and then of all "
    "but a monitored one for {later:d} seconds"
)
def step_one_stops(context: Context, count: int, seconds: int, later: int) -> None:
    peers = open_with_peers(context, count)
    context.silent_peer = min(monitored_by_own(peers))
    senders = [name for name in peers if name != context.silent_peer]
    run(context, [(seconds, peers), (later, senders)])
    context.last = seconds - STEP


@when(
    "an instance receives states of {count:d} peers for {seconds:d} seconds, and then only of "
    "the monitored ones for {later:d} seconds"
)
def step_only_monitored(context: Context, count: int, seconds: int, later: int) -> None:
    peers = open_with_peers(context, count)
    run(context, [(seconds, peers), (later, sorted(monitored_by_own(peers)))])


@then("{near:d} of them got {least:d} to {most:d} states, and the others {few:d} to {many:d}")
def step_states(context: Context, near: int, least: int, most: int, few: int, many: int) -> None:
    received = Counter(to for to, notice in context.port.sent if isinstance(notice, NodeState))
    frequent = [name for name in context.peers if least <= received[name] <= most]
    assert len(frequent) == near, received
    assert all(few <= received[name] <= many for name in context.peers if name not in frequent), (
        received
    )


def sent(context: Context, kind: type[Notice]) -> list[tuple[str, Notice, float]]:
    return [
        (to, notice, at)
        for (to, notice), at in zip(context.port.sent, context.port.times, strict=True)
        if isinstance(notice, kind)
    ]


@then(
    "it reported that peer as lost once, to all others, {least:g} to {most:g} seconds after "
    "its last message"
)
def step_reported(context: Context, least: float, most: float) -> None:
    reports = sent(context, PeerLoss)
    assert {notice.address for _, notice, _ in reports} == {context.silent_peer}
    assert sorted(to for to, _, _ in reports) == sorted(set(context.peers) - {context.silent_peer})
    delays = {round(at - context.last, 2) for _, _, at in reports}
    assert len(delays) == 1
    assert least <= min(delays) <= most, delays


@then("it reported no peer as lost")
def step_none_lost(context: Context) -> None:
    assert not sent(context, PeerLoss)


@then("callers do not get the address of that peer")
def step_address_withheld(context: Context) -> None:
    host = context.silent_peer.partition(":")[0]
    listed = caller_addresses(context)
    assert host not in listed
    assert len(listed) == len(context.peers), listed


@then("callers get the addresses of {count:d} instances")
def step_address_count(context: Context, count: int) -> None:
    assert len(caller_addresses(context)) == count


def caller_addresses(context: Context) -> list[str]:
    """Return the addresses that callers get now, or got at the end of a run."""
    if "caller_addresses" in context:
        return context.caller_addresses
    return [member.caller_address for member in context.exchange.alive()]


@given("an instance with {count:d} peers")
def step_with_peers(context: Context, count: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.peers = make_addresses(count)
    for name in context.peers:
        receive_state(context, name)
    monitored = monitored_by_own(context.peers)
    context.silent_peer = next(name for name in context.peers if name not in monitored)
    context.port.sent.clear()
    context.port.times.clear()


@given('a peer that it does not monitor has a request on engine "{target_id}"')
def step_has_request(context: Context, target_id: str) -> None:
    notice = PlacementNotice("r1", "s", target_id, (), 5, 300, 200, 1_000, 2_000, 1_000)
    context.exchange.receive(context.silent_peer, RequestPlaced(notice))


def report(context: Context, sequence: int) -> None:
    reporter = next(name for name in context.peers if name != context.silent_peer)
    context.exchange.receive(reporter, PeerLoss(context.silent_peer, 1, sequence))


def pass_silence(context: Context, seconds: int) -> None:
    """Advance the clock, after which all peers but the silent one send a state."""
    context.clock.advance(timedelta(seconds=seconds))
    for name in context.peers:
        if name != context.silent_peer:
            receive_state(context, name)


@when("that peer was silent for {seconds:d} seconds and is reported as lost")
def step_reported_silent(context: Context, seconds: int) -> None:
    last = context.sequence
    pass_silence(context, seconds)
    report(context, last)


@when("that peer sent a message a second ago and is reported as lost")
def step_reported_running(context: Context) -> None:
    context.clock.advance(timedelta(seconds=1))
    report(context, context.sequence)


@when("that peer was silent for {seconds:d} seconds after a newer state and is reported as lost")
def step_reported_with_newer(context: Context, seconds: int) -> None:
    older = context.sequence
    receive_state(context, context.silent_peer)
    pass_silence(context, seconds)
    report(context, older)


@when("it was paused for {seconds:d} seconds and checks for silent peers")
def step_paused(context: Context, seconds: int) -> None:
    context.exchange._sweep()  # the instance calls it periodically
    context.clock.advance(timedelta(seconds=seconds))
    context.exchange._sweep()


@when("its state interval is {milliseconds:d} ms, and {seconds:d} seconds pass")
def step_interval(context: Context, milliseconds: int, seconds: int) -> None:
    receive_state(context, context.silent_peer, interval_ms=milliseconds)
    pass_silence(context, seconds)


@then("callers get the address of that peer: {listed}")
def step_address_given(context: Context, listed: str) -> None:
    host = context.silent_peer.partition(":")[0]
    assert (host in caller_addresses(context)) == (listed == "yes")


@when("it sends another state")
def step_another_state(context: Context) -> None:
    receive_state(context, context.silent_peer)


@then("that peer was sent the report about it")
def step_report_sent(context: Context) -> None:
    reported = [
        notice.address
        for to, notice in context.port.sent
        if to == context.silent_peer and isinstance(notice, PeerLoss)
    ]
    assert reported == [context.silent_peer], reported


@when("{count:d} peers report it as lost")
def step_reports(context: Context, count: int) -> None:
    context.clock.advance(timedelta(seconds=1))
    for name in context.peers[:count]:
        context.exchange.receive(name, PeerLoss(OWN, 1, 1))


@then("all peers got {count:d} more state")
def step_states_received(context: Context, count: int) -> None:
    received = Counter(to for to, notice in context.port.sent if isinstance(notice, NodeState))
    assert received == dict.fromkeys(context.peers, count), received


@when("it retries a request for a service")
def step_retries(context: Context) -> None:
    context.exchange.broadcast(RetryNotice("s"))


@then("{count:d} peers were sent the retry")
def step_retry_sent(context: Context, count: int) -> None:
    recipients = [to for to, notice in context.port.sent if isinstance(notice, RetryNotice)]
    assert len(recipients) == count, recipients


@given("an instance with {count:d} peers, of which {lower:d} have lower addresses")
def step_with_lower_peers(context: Context, count: int, lower: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.peers = [f"10.0.0.0:{port}" for port in range(1, lower + 1)]
    context.peers += make_addresses(count - lower)
    for name in context.peers:
        receive_state(context, name)
    context.silent_peer = context.peers[-1]
    context.port.sent.clear()


@when("one of them has restarted and knows no peer")
def step_restarted(context: Context) -> None:
    receive_state(context, context.silent_peer, incarnation=2)


@then("that peer was sent {states:d} state and {lists:d} lists of addresses")
def step_sent_both(context: Context, states: int, lists: int) -> None:
    kinds = Counter(type(notice) for to, notice in context.port.sent if to == context.silent_peer)
    assert (kinds[NodeState], kinds[NodeAddresses]) == (states, lists), kinds


@when('one of them reports {count:d} retries for service "{service}"')
def step_reports_retries(context: Context, count: int, service: str) -> None:
    for _ in range(count):
        context.exchange.receive(context.silent_peer, RetryNotice(service))


@when("its next state counts {count:d} retry")
def step_state_retries(context: Context, count: int) -> None:
    receive_state(context, context.silent_peer, uses=(RetryBudgetUse("s", 5, count),))


@then('that peer has used {count:d} retries of service "{service}"')
def step_used(context: Context, count: int, service: str) -> None:
    (uses,) = [uses for uses in context.nodes.uses() if uses]
    assert [(use.service, use.retries) for use in uses] == [(service, count)], uses


@when("one of them reports that it knows {count:d} instances")
def step_knows_few(context: Context, count: int) -> None:
    receive_state(context, context.silent_peer, peers=count)


@then("that peer was sent {count:d} addresses")
def step_addresses_sent(context: Context, count: int) -> None:
    lists = [
        notice.addresses
        for to, notice in context.port.sent
        if to == context.silent_peer and isinstance(notice, NodeAddresses)
    ]
    assert [len(found) for found in lists] == [count], lists
