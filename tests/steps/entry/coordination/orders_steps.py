"""Steps for orders to engines."""

from dataclasses import replace

import trio
from behave import given, then, when
from behave.runner import Context
from support.histories import run_histories
from support.order_machine import OrderMachine
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.coordination.orders import WeightStoreRate
from wasabiwell_entry.coordination.orders.const import RATE_INTERVAL, RATE_KEY
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable


class DirectRatePeers:
    """Calls the owner in place of a message."""

    def __init__(self) -> None:
        self.rates: dict[str, WeightStoreRate] = {}

    async def take(self, owner: Member, count: int) -> int:
        """Return how many loads the owner grants."""
        return self.rates[owner.node_id].grant(count)


@then(
    "{count:d} random histories of orders with lost replies, pauses and late orders keep the rules"
)
def step_order_histories(context: Context, count: int) -> None:
    run_histories(OrderMachine, count)


@given(
    "{regions:d} regions of {nodes:d} entry instances and a weight store that allows {loads:d} "
    "loads in an interval"
)
def step_rates(context: Context, regions: int, nodes: int, loads: int) -> None:
    context.clock, context.members = ManualClock(), MemberTable()
    peers = DirectRatePeers()
    for region in range(regions):
        for node in range(nodes):
            context.members.put(Member(f"n-{region}-{node}", 1, f"r-{region}", "z", "", ""))
    for member in context.members:
        peers.rates[member.node_id] = WeightStoreRate(
            loads, member, context.members, peers, context.clock
        )
    context.rates, context.started = peers.rates, []


@when("every entry instance takes loads for {intervals:d} intervals")
def step_take(context: Context, intervals: int) -> None:
    async def take_all() -> int:
        waits = [await rate.take() for rate in context.rates.values() for _ in range(20)]
        return waits.count(None)

    for _ in range(intervals):
        context.started.append(trio.run(take_all))
        context.clock.advance(RATE_INTERVAL)


@when("the owner of the rate leaves")
def step_leave(context: Context) -> None:
    owner = owner_of(RATE_KEY, context.members.alive())
    context.members.put(replace(owner, status=MemberStatus.LEAVING))


@then("at most {loads:d} loads start in each interval and the first interval has none")
def step_at_most(context: Context, loads: int) -> None:
    assert context.started[0] == 0, context.started
    assert max(context.started) <= loads, context.started


@then("at least {loads:d} loads start in the last interval")
def step_at_least(context: Context, loads: int) -> None:
    assert context.started[-1] >= loads, context.started


@then("no load starts in the last interval")
def step_none(context: Context) -> None:
    assert context.started[-1] == 0, context.started
