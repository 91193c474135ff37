"""Steps for the roles of an instance in a fleet."""

from unittest.mock import patch

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support import exchange
from support.exchange import OWN, FakeDirectory, open_exchange
from wasabiwell_entry.coordination.discovery.const import WATCHER_COUNT
from wasabiwell_entry.coordination.discovery.ports import StoreRole
from wasabiwell_entry.state.clock import ManualClock, SystemClock
from wasabiwell_entry.state.exchange import NodeAddresses
from wasabiwell_entry.state.nodes import NodeTable


@given("an instance with {count:d} peers in its own zone and in {zones:d} others")
def step_zones(context: Context, count: int, zones: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.own_zone_peers = []
    for index in range(count):
        address, zone = f"10.0.{index}.1:7", index % (zones + 1)
        context.nodes.put(address, 0.0)
        exchange.receive_state(context, address, zone="z" if zone == 0 else f"z{zone}")
        if zone == 0:
            context.own_zone_peers.append(address)


@when("{before:d} peers of its own zone have a lower address")
def step_before(context: Context, before: int) -> None:
    lower = [address for address in context.own_zone_peers if address < OWN]
    for address in lower:
        context.nodes.remove(address)
    for index in range(before):
        exchange.receive_state(context, f"10.0.0.0:{index + 1}", zone="z")


@then("it learns of changes in the store as {role:w}")
def step_role(context: Context, role: str) -> None:
    assert context.exchange.roles.store_role() is StoreRole(role), (
        context.exchange.roles.store_role()
    )


@when("{count:d} further peers send their first states, which know half of the others")
def step_further_peers(context: Context, count: int) -> None:
    send_first_states(context, count, len(context.exchange.peers()))


@when("{count:d} further peers send their first states, which know {known:d} of the others")
def step_further_peers_few(context: Context, count: int, known: int) -> None:
    send_first_states(context, count, known)


def send_first_states(context: Context, count: int, known: int) -> None:
    context.further = [f"10.9.{index}.1:7" for index in range(count)]
    for address in context.further:
        exchange.receive_state(context, address, zone="z", peers=known)


def peers_with_addresses(context: Context) -> set[str]:
    sent = {to for to, notice in context.port.sent if isinstance(notice, NodeAddresses)}
    return sent & set(context.further)


@then("at most {most:d} of them were sent the addresses of the others")
def step_few_lists(context: Context, most: int) -> None:
    assert len(peers_with_addresses(context)) <= most, peers_with_addresses(context)


@then("at least {least:d} of them were sent the addresses of the others")
def step_many_lists(context: Context, least: int) -> None:
    assert len(peers_with_addresses(context)) >= least, peers_with_addresses(context)


async def readiness(context: Context, seconds: float) -> list[bool]:
    """Return whether a running instance acts for others, in steps of 100 ms from its start."""
    acts = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(context.exchange.run)
        for _ in range(round(seconds * 10)):
            await trio.sleep(0.1)
            acts.append(context.exchange.roles.settled())
        nursery.cancel_scope.cancel()
    return acts


@then("it does not act for them within {seconds:g} seconds of its start")
def step_settling(context: Context, seconds: float) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.acts = trio.run(readiness, context, 2.5, clock=clock)
    assert not any(context.acts[: round(seconds * 10)]), context.acts


@then("it does after {seconds:g} seconds")
def step_settled(context: Context, seconds: float) -> None:
    assert all(context.acts[round(seconds * 10) :]), context.acts


@given('peers with lower addresses that know no target, at ports "{ports}"')
def step_knowing_nothing(context: Context, ports: str) -> None:
    for port in ports.split():
        exchange.receive_state(context, f"10.0.0.0:{port}", knows_targets=False)


@given("a running instance that has been told the addresses of {count:d} others with lower ones")
def step_told_addresses(context: Context, count: int) -> None:
    open_exchange(context, FakeDirectory(), SystemClock())
    addresses = tuple(f"10.0.0.0:{port}" for port in range(1, count + 1))

    async def run() -> None:
        context.watches = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.exchange.run)
            await trio.testing.wait_all_tasks_blocked()
            context.exchange.receive("10.0.0.9:7", NodeAddresses(addresses))
            for _ in range(3):
                await trio.sleep(1)
                context.watches.append(context.exchange.roles.watch_rank() < WATCHER_COUNT)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it is no watcher of the list 1 second after its start")
def step_no_watcher(context: Context) -> None:
    assert not context.watches[0], context.watches


@then("it is one 3 seconds after its start, as none of them was heard")
def step_watcher(context: Context) -> None:
    assert context.watches[2], context.watches


@when("each peer sends {count:d} further states")
def step_further_states(context: Context, count: int) -> None:
    addresses = [node.address for node in context.nodes]
    known = len(addresses)
    with patch.object(NodeTable, "reachable", autospec=True) as reachable:
        reachable.return_value = []
        for _ in range(count):
            for address in addresses:
                exchange.receive_state(context, address, zone="z", peers=known)
        context.listed = reachable.call_count


@then("the peers were listed at most {most:d} times for them")
def step_listed(context: Context, most: int) -> None:
    assert context.listed <= most, context.listed
