"""Steps for orders to engines."""

from dataclasses import replace

import trio
from behave import given, then, when
from behave.runner import Context
from support.histories import run_histories
from support.order_machine import ENGINE, OrderMachine
from wasabiwell_config import Fencing
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.coordination.orders import OrderLeases, WeightStoreRateLimiter
from wasabiwell_entry.coordination.orders.const import RATE_INTERVAL, RATE_KEY
from wasabiwell_entry.coordination.orders.errors import Lease, LeaseExpired
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable
from wasabiwell_entry.state.orders import ChangeRole


class DirectRatePeers:
    """Calls the owner directly instead of sending a message."""

    def __init__(self) -> None:
        self.rates: dict[str, WeightStoreRateLimiter] = {}

    async def take(self, owner: Member, count: int) -> int:
        """Return how many loads the owner grants."""
        return self.rates[owner.node_id].grant(count)


@then(
    "{count:d} random histories of orders with lost replies, pauses and delayed orders keep the "
    "invariants"
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
        peers.rates[member.node_id] = WeightStoreRateLimiter(
            loads, member, context.members, peers, context.clock
        )
    context.rates, context.started = peers.rates, []


@when("every entry instance requests loads for {intervals:d} intervals")
def step_request_loads(context: Context, intervals: int) -> None:
    async def request_all() -> int:
        waits = [await rate.take() for rate in context.rates.values() for _ in range(20)]
        return waits.count(None)

    for _ in range(intervals):
        context.started.append(trio.run(request_all))
        context.clock.advance(RATE_INTERVAL)


@when("the owner of the rate limit leaves")
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


@given("2 entry instances and an engine")
def step_instances(context: Context) -> None:
    context.machine = OrderMachine()
    context.machine.start(Fencing.IGNORED)


@when("all entry instances acquire the lease concurrently")
def step_acquire_concurrently(context: Context) -> None:
    outcomes: list[object] = []

    async def acquire(leases: OrderLeases) -> None:
        outcomes.append(await leases.acquire(ENGINE.target_id, Fencing.IGNORED))

    async def acquire_all() -> None:
        async with trio.open_nursery() as nursery:
            for leases in context.machine.leases:
                nursery.start_soon(acquire, leases)

    trio.run(acquire_all)
    context.outcomes = outcomes


@then("exactly {count:d} of them holds it")
def step_holders(context: Context, count: int) -> None:
    assert sum(isinstance(item, Lease) for item in context.outcomes) == count, context.outcomes


@when("the first acquires the lease and {age:d} seconds pass")
def step_first_acquires(context: Context, age: int) -> None:
    machine = context.machine
    machine.acquire(0)
    machine.advance(age)


@then("an order under it to an engine with {fencing} numbers is {result}")
def step_order_sent(context: Context, fencing: str, result: str) -> None:
    machine = context.machine
    _, lease = machine.held[0]
    order = ChangeRole("prefill")
    outcome = trio.run(machine.coordinators[0].send, lease, ENGINE, order, Fencing(fencing))
    assert isinstance(outcome, LeaseExpired) == (result == "not sent"), outcome
    assert bool(machine.engine.applied) == (result == "sent"), machine.engine.applied


@when("the first acquires the lease and the second observes it for {age:d} seconds")
def step_second_observes(context: Context, age: int) -> None:
    machine = context.machine
    machine.acquire(0)
    machine.acquire(1)
    machine.advance(age)


@then("the second {result} the lease of an engine with {fencing} numbers")
def step_second_acquires(context: Context, result: str, fencing: str) -> None:
    outcome = trio.run(context.machine.leases[1].acquire, ENGINE.target_id, Fencing(fencing))
    assert isinstance(outcome, Lease) == (result == "takes"), outcome
