"""Steps for organisation limits."""

from dataclasses import dataclass, field
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from wasabiwell_config import Limits, Organisation
from wasabiwell_entry.coordination.admission.ports import LimitLease
from wasabiwell_entry.coordination.limits import LimitCoordinator
from wasabiwell_entry.coordination.limits.errors import LimitOwnerUnreachable
from wasabiwell_entry.coordination.limits.shares import (
    LimitDemand,
    LimitGrant,
    LimitRequest,
    OwnedLimit,
)
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.sizes import SizeClass

STEP = timedelta(milliseconds=100)
RENEW_STEPS = 50


@dataclass(slots=True)
class FakeOwners:
    """Delivers and counts the messages between the instances of a scenario."""

    instances: dict[str, LimitCoordinator] = field(default_factory=dict)
    messages: int = 0
    unreachable: bool = False

    async def acquire(
        self, owner: Member, request: LimitRequest
    ) -> LimitGrant | LimitOwnerUnreachable:
        """Deliver a request to its owner."""
        await trio.lowlevel.checkpoint()
        self.messages += 1
        if self.unreachable:
            return LimitOwnerUnreachable("no answer")
        return self.instances[owner.node_id].grant(request)


@then("shares granted for random demands never exceed the limit in total")
def step_shares(context: Context) -> None:
    operations = st.lists(
        st.tuples(st.integers(0, 4), st.floats(0, 500), st.integers(0, 9), st.floats(0.1, 20.0)),
        max_size=40,
    )

    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @for_all(operations)
    def check(steps: list[tuple[int, float, int, float]]) -> None:
        owned, now = OwnedLimit(), timedelta()
        limits = Limits(requests_per_second=50.0, tokens_per_second=1_000.0, concurrent_long=5)
        held: dict[str, tuple[timedelta, float, float, int]] = {}
        for number, rate, longs, seconds in steps:
            now += timedelta(seconds=seconds)
            demand = LimitDemand("a", rate, rate * 10, longs)
            share = owned.grant(f"n{number}", demand, limits, 5, now)
            assert share.requests_per_second is not None
            assert share.longs is not None
            assert share.tokens_per_second is not None
            held[f"n{number}"] = (
                now + share.lifetime,
                share.requests_per_second,
                share.tokens_per_second,
                share.longs,
            )
            valid = [item for item in held.values() if item[0] > now]
            assert sum(item[1] for item in valid) <= 50.0 + 1e-6
            assert sum(item[2] for item in valid) <= 1_000.0 + 1e-6
            assert sum(item[3] for item in valid) <= 5

    check()


@given("{count:d} instances and an organisation with {limit:d} requests per second")
def step_rate(context: Context, count: int, limit: int) -> None:
    _start(context, count, Limits(requests_per_second=float(limit)))


@given("{count:d} instances and an organisation with {limit:d} concurrent long requests")
def step_longs(context: Context, count: int, limit: int) -> None:
    _start(context, count, Limits(concurrent_long=limit))


def _start(context: Context, count: int, limits: Limits) -> None:
    context.clock = ManualClock()
    context.organisation = Organisation(name="a", key_hashes=(), limits=limits)
    context.owners = FakeOwners()
    members = [Member(f"n{index}", 1, "r", "z", "", "") for index in range(count)]
    table = MemberTable()
    for member in members:
        table.put(member)
        context.owners.instances[member.node_id] = LimitCoordinator(
            member, table, lambda name: context.organisation, context.owners, context.clock
        )
    context.instances = list(context.owners.instances.values())
    context.leases = {}
    context.admitted = 0


@when("each instance receives {rate:d} requests per second for {seconds:d} seconds")
def step_receive(context: Context, rate: int, seconds: int) -> None:
    async def run() -> None:
        for number in range(round(timedelta(seconds=seconds) / STEP)):
            context.clock.advance(STEP)
            for instance in context.instances:
                if number % RENEW_STEPS == 0 and number:
                    await instance.renew()
                for _ in range(round(rate * STEP.total_seconds())):
                    await instance.ensure_share(context.organisation, SizeClass.SHORT)
                    lease = instance.try_acquire(context.organisation, 1_000, SizeClass.SHORT)
                    context.admitted += isinstance(lease, LimitLease)

    context.admitted = 0
    trio.run(run)


@when("the owner becomes unreachable")
def step_unreachable(context: Context) -> None:
    context.owners.unreachable = True


@when('long requests arrive at the instances "{indexes}"')
def step_long(context: Context, indexes: str) -> None:
    async def run() -> None:
        for index in map(int, indexes.split()):
            instance = context.instances[index]
            await instance.ensure_share(context.organisation, SizeClass.LONG)
            lease = instance.try_acquire(context.organisation, 200_000, SizeClass.LONG)
            context.long_admitted.append(int(isinstance(lease, LimitLease)))
            if isinstance(lease, LimitLease):
                context.leases[index] = lease

    context.long_admitted = []
    trio.run(run)


@when("the long request at instance {index:d} ends and {seconds:d} seconds pass")
def step_long_end(context: Context, index: int, seconds: int) -> None:
    async def renew_all() -> None:
        for instance in context.instances:
            await instance.renew()

    context.instances[index].release_lease(context.leases.pop(index))
    for _ in range(seconds):
        context.clock.advance(timedelta(seconds=1))
        trio.run(renew_all)


@then('the long requests were admitted as "{expected}"')
def step_long_admitted(context: Context, expected: str) -> None:
    assert context.long_admitted == [int(item) for item in expected.split()], context.long_admitted


@then("between {low:d} and {high:d} requests were admitted")
def step_admitted(context: Context, low: int, high: int) -> None:
    assert low <= context.admitted <= high, context.admitted


@then("at most {count:d} messages were sent")
def step_messages(context: Context, count: int) -> None:
    assert context.owners.messages <= count, context.owners.messages
