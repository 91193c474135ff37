"""Steps for leases of suspects."""

from datetime import UTC, datetime, timedelta

import logbook
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.fakes import FakeTable, NoSuspectGossip
from wasabiwell_entry.coordination.quarantine.const import SUSPECT_LEASE_PREFIX
from wasabiwell_entry.coordination.quarantine.coordinator import QuarantineCoordinator
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.suspects import Suspect, SuspectTable

START = datetime(2026, 1, 1, tzinfo=UTC)


class RunClock(SystemClock):
    """Clock whose wall-clock time advances with the virtual time of the trio run."""

    def now(self) -> datetime:
        """Return `START` plus the virtual time."""
        return START + timedelta(seconds=trio.current_time())


@given('two entry instances that suspect requests "{first}" and "{second}"')
@given('two entry instances that suspect requests "{first}" and ""')
def step_instances(context: Context, first: str, second: str = "") -> None:
    context.table_service = FakeTable()
    context.ran = {}
    context.instances = []
    for _ in range(2):
        suspects = SuspectTable()
        for fingerprint in filter(None, (first, second)):
            suspects.merge(Suspect(fingerprint, ("e0",), START + timedelta(days=1)))
        context.instances.append(
            QuarantineCoordinator(
                context.table_service, suspects, NoSuspectGossip(), lambda: 2, RunClock()
            )
        )


@given("a table service that loses {count:d} reply")
def step_lose_replies(context: Context, count: int) -> None:
    context.table_service.lose_replies = count


@given("a table service that is unavailable")
def step_unavailable(context: Context) -> None:
    context.table_service.unavailable = True
    context.lines = context.stack.enter_context(logbook.TestHandler())


async def run_suspect(
    context: Context, instance: int, fingerprint: str, target_id: str, seconds: float
) -> None:
    async with context.instances[instance].exclusive_retry(fingerprint, target_id):
        started_at = trio.current_time()
        await trio.sleep(seconds)
        context.ran[fingerprint] = (started_at, trio.current_time())


@when(
    '"{first}" runs for {seconds:d} seconds on target "{first_target}" at one instance, and '
    '"{second}" on "{second_target}" at the other'
)
def step_run_both(
    context: Context, first: str, seconds: int, first_target: str, second: str, second_target: str
) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_suspect, context, 0, first, first_target, seconds)
            nursery.start_soon(run_suspect, context, 1, second, second_target, seconds)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when(
    'an instance crashes while "{first}" runs on target "{target_id}", and the other sends '
    '"{second}" there'
)
def step_crash(context: Context, first: str, target_id: str, second: str) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_suspect, context, 0, first, target_id, 0.5)
            await trio.sleep(0.1)
            context.table_service.unavailable = True  # blocks the crashed instance's release
            await trio.sleep(1.0)
            context.table_service.unavailable = False
            nursery.start_soon(run_suspect, context, 1, second, target_id, 0.5)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def overlap(context: Context) -> bool:
    (first_started_at, first_ended_at), (second_started_at, second_ended_at) = context.ran.values()
    return first_started_at < second_ended_at and second_started_at < first_ended_at


@then("they did not overlap")
def step_no_overlap(context: Context) -> None:
    assert not overlap(context), context.ran


@then("they overlapped")
def step_overlap(context: Context) -> None:
    assert overlap(context), context.ran


@then('"{fingerprint}" ran {minimum:d} to {maximum:d} seconds later')
def step_delayed(context: Context, fingerprint: str, minimum: int, maximum: int) -> None:
    started_at, _ = context.ran[fingerprint]
    assert minimum <= started_at <= maximum, context.ran


@then("both ran within {seconds:d} seconds")
def step_within(context: Context, seconds: int) -> None:
    assert max(ended for _, ended in context.ran.values()) < seconds, context.ran


@when('the table service becomes unavailable while "{fingerprint}" runs on target "{target_id}"')
def step_unavailable_midway(context: Context, fingerprint: str, target_id: str) -> None:
    context.lines = context.stack.enter_context(logbook.TestHandler())

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_suspect, context, 0, fingerprint, target_id, 2)
            await trio.sleep(1)
            context.table_service.unavailable = True

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("event {number:d} was logged once")
def step_logged_once(context: Context, number: int) -> None:
    logged = [record.extra["event"] for record in context.lines.records]
    assert logged.count(number) == 1, logged


@then("event {number:d} was logged for both")
def step_logged(context: Context, number: int) -> None:
    logged = [record.extra["event"] for record in context.lines.records]
    assert logged.count(number) == 2, logged


@then("the table service holds no suspect lease")
def step_no_lease(context: Context) -> None:
    assert not [key for key in context.table_service.rows if key.startswith(SUSPECT_LEASE_PREFIX)]
