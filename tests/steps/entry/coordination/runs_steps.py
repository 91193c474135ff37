"""Steps for run records."""

from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.calls import booking_call
from support.fakes import FakeObjects, FakeTable
from wasabiwell_entry.coordination.runs import RunCoordinator
from wasabiwell_entry.coordination.runs.errors import Claimed
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.outcomes import Failed, Refused, ServiceResponse
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.state.runs import RunStatus


def make_call(context: Context, key: str, body: str) -> ServiceCall:
    """Return a booking call that begins now."""
    return booking_call(context.clock.monotonic(), key, body)


def run_on(context: Context, index: int, method: str, *arguments: object) -> object:
    """Run a method of an entry instance's coordinator and wait for its settlements."""

    async def run() -> object:
        async with trio.open_nursery() as nursery:
            runs = RunCoordinator(
                context.table_service, context.objects, context.clock, f"entry-{index}", nursery
            )
            return await getattr(runs, method)(*arguments)

    return trio.run(run)


@given("a table service and two entry instances")
def step_instances(context: Context) -> None:
    context.table_service, context.objects, context.clock = (
        FakeTable(),
        FakeObjects(),
        ManualClock(),
    )
    context.claims = {}


@given("the table service loses its next reply")
def step_lose_reply(context: Context) -> None:
    context.table_service.lose_replies = 1


@given("the table service applies the next {count:d} writes late")
def step_delay_writes(context: Context, count: int) -> None:
    context.table_service.delay_writes = count


@when("the delayed writes take effect")
def step_apply_delayed(context: Context) -> None:
    while context.table_service.delayed:
        context.table_service.apply_delayed_write()


@given("the object store is down")
def step_objects_down(context: Context) -> None:
    context.objects.unavailable = True


@when("instance {index:d} sweeps the records")
def step_sweep(context: Context, index: int) -> None:
    run_on(context, index, "sweep")


@when("{days:d} days pass")
def step_days(context: Context, days: int) -> None:
    context.clock.advance(timedelta(days=days))


@then("the table service has {count:d} rows")
def step_rows(context: Context, count: int) -> None:
    assert len(context.table_service.rows) == count, context.table_service.rows


@then("the table service did {transactions:d} transactions and {reads:d} read")
def step_store_calls(context: Context, transactions: int, reads: int) -> None:
    calls = context.table_service.transactions, context.table_service.reads
    assert calls == (transactions, reads), calls


@given("the table service is down")
def step_down(context: Context) -> None:
    context.table_service.unavailable = True


@when('instance {index:d} claims key "{key}" for body "{body}"')
def step_claim(context: Context, index: int, key: str, body: str) -> None:
    context.outcome = run_on(context, index, "claim", make_call(context, key, body))
    if isinstance(context.outcome, Claimed):
        context.claims[key] = context.outcome


@when('instance {index:d} settles key "{key}" as done with a response of {size:d} bytes')
def step_settle_done(context: Context, index: int, key: str, size: int) -> None:
    response = ServiceResponse(201, "application/json", b"x" * size)
    run_on(context, index, "settle", context.claims[key], RunStatus.DONE, response)


@when('instance {index:d} settles key "{key}" as not run')
def step_settle_not_run(context: Context, index: int, key: str) -> None:
    run_on(context, index, "settle", context.claims[key], RunStatus.NOT_RUN)


@when("{seconds:d} seconds pass")
def step_pass(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))


@then("the last claim is held")
def step_held(context: Context) -> None:
    assert isinstance(context.outcome, Claimed), context.outcome


@then("the last claim returns the stored response of {size:d} bytes")
def step_stored(context: Context, size: int) -> None:
    assert context.outcome == ServiceResponse(201, "application/json", b"x" * size, replayed=True)


@then('the last claim fails with "{reason}" and run state "{run}"')
def step_failed(context: Context, reason: str, run: str) -> None:
    assert isinstance(context.outcome, Failed), context.outcome
    assert (context.outcome.reason.value, context.outcome.run.value) == (reason, run)


@then('the last claim is refused with "{reason}"')
def step_refused(context: Context, reason: str) -> None:
    assert isinstance(context.outcome, Refused), context.outcome
    assert context.outcome.reason.value == reason
