"""Steps for turns of suspects."""

from datetime import UTC, datetime, timedelta

import logbook
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.fakes import FakeTable, NoSuspectGossip
from wasabiwell_entry.coordination.quarantine.const import TURN_PREFIX
from wasabiwell_entry.coordination.quarantine.coordinator import QuarantineCoordinator
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.suspects import Suspect, SuspectTable

START = datetime(2026, 1, 1, tzinfo=UTC)


class RunClock(SystemClock):
    """Clock whose wall-clock time follows that of the trio run."""

    def now(self) -> datetime:
        """Return a time that grows with the monotonic one."""
        return START + timedelta(seconds=trio.current_time())


@given('two entry instances that suspect requests "{first}" and "{second}"')
@given('two entry instances that suspect requests "{first}" and ""')
def step_instances(context: Context, first: str, second: str = "") -> None:
    context.rows = FakeTable()
    context.ran = {}
    context.instances = []
    for _ in range(2):
        suspects = SuspectTable()
        for fingerprint in filter(None, (first, second)):
            suspects.merge(Suspect(fingerprint, ("e0",), START + timedelta(days=1)))
        context.instances.append(
            QuarantineCoordinator(context.rows, suspects, NoSuspectGossip(), lambda: 2, RunClock())
        )


@given("a table service that loses {count:d} reply")
def step_loses(context: Context, count: int) -> None:
    context.rows.lose_replies = count


@given("a table service that is away")
def step_away(context: Context) -> None:
    context.rows.unavailable = True
    context.lines = context.stack.enter_context(logbook.TestHandler())


async def run_suspect(
    context: Context, instance: int, fingerprint: str, target_id: str, seconds: float
) -> None:
    async with context.instances[instance].exclusive_retry(fingerprint, target_id):
        began = trio.current_time()
        await trio.sleep(seconds)
        context.ran[fingerprint] = (began, trio.current_time())


@when(
    '"{first}" runs for {seconds:d} seconds on target "{one}" at one instance, and "{second}" on '
    '"{other}" at the other'
)
def step_run_both(
    context: Context, first: str, seconds: int, one: str, second: str, other: str
) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_suspect, context, 0, first, one, seconds)
            nursery.start_soon(run_suspect, context, 1, second, other, seconds)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when(
    'an instance dies while "{first}" runs on target "{target_id}", and "{second}" is to run there '
    "at the other"
)
def step_dies(context: Context, first: str, target_id: str, second: str) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_suspect, context, 0, first, target_id, 0.5)
            await trio.sleep(0.1)
            context.rows.unavailable = True  # nothing that the dead instance does arrives
            await trio.sleep(1.0)
            context.rows.unavailable = False
            nursery.start_soon(run_suspect, context, 1, second, target_id, 0.5)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def overlap(context: Context) -> bool:
    (first_began, first_ended), (second_began, second_ended) = context.ran.values()
    return first_began < second_ended and second_began < first_ended


@then("they did not run at the same time")
def step_apart(context: Context) -> None:
    assert not overlap(context), context.ran


@then("they ran at the same time")
def step_together(context: Context) -> None:
    assert overlap(context), context.ran


@then('"{fingerprint}" ran {least:d} to {most:d} seconds later')
def step_later(context: Context, fingerprint: str, least: int, most: int) -> None:
    began, _ = context.ran[fingerprint]
    assert least <= began <= most, context.ran


@then("both ran within {seconds:d} seconds")
def step_within(context: Context, seconds: int) -> None:
    assert max(ended for _, ended in context.ran.values()) < seconds, context.ran


@when('the table service goes away while "{fingerprint}" runs on target "{target_id}"')
def step_away_midway(context: Context, fingerprint: str, target_id: str) -> None:
    context.lines = context.stack.enter_context(logbook.TestHandler())

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_suspect, context, 0, fingerprint, target_id, 2)
            await trio.sleep(1)
            context.rows.unavailable = True

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("event {number:d} was logged once")
def step_logged_once(context: Context, number: int) -> None:
    logged = [record.extra["event"] for record in context.lines.records]
    assert logged.count(number) == 1, logged


@then("event {number:d} was logged for both")
def step_logged(context: Context, number: int) -> None:
    logged = [record.extra["event"] for record in context.lines.records]
    assert logged.count(number) == 2, logged


@then("the table service holds no turn")
def step_no_turn(context: Context) -> None:
    assert not [key for key in context.rows.rows if key.startswith(TURN_PREFIX)]
