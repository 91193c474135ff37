"""Steps for the account of buffered bytes, without a network."""

from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack, suppress
from datetime import timedelta

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.coordination.intake import Intake, IntakeAccount
from wasabiwell_entry.coordination.intake.account import BufferedKind, Holding
from wasabiwell_entry.coordination.intake.coordinator import IntakeLimits, limits_of_machine
from wasabiwell_entry.protocol.problem import problem
from wasabiwell_entry.state.clock import ManualClock, SystemClock

KB = 1_000


def open_account(context: Context, capacity: int | None) -> None:
    context.clock = ManualClock()
    context.account = IntakeAccount(capacity, context.clock)
    context.holdings = {}
    context.exits = {}


def open_holding(context: Context, name: str, address: str, control: bool = False) -> Holding:
    context.exits[name] = context.stack.enter_context(ExitStack())
    held = context.account.hold(BufferedKind.BODY, address, control)
    holding: Holding = context.exits[name].enter_context(held)
    context.holdings[name] = holding
    return holding


def given_up(context: Context) -> set[str]:
    return {name for name, item in context.holdings.items() if item.refused is not None}


@given("an account of {size:d} kB")
def step_account(context: Context, size: int) -> None:
    open_account(context, size * KB)


@given("an account without a capacity")
def step_unbounded(context: Context) -> None:
    open_account(context, None)


@when('"{name}" at the control address has sent {size:d} kB of {expected:d} kB')
def step_control(context: Context, name: str, size: int, expected: int) -> None:
    holding = open_holding(context, name, "10.0.1.1", control=True)
    holding.expected = expected * KB
    assert context.account.try_grow(holding, size * KB)


@when('"{name}" of "{organisation}" at "{address}" has sent {size:d} kB of {expected:d} kB')
def step_organisation(
    context: Context, name: str, organisation: str, address: str, size: int, expected: int
) -> None:
    holding = open_holding(context, name, address)
    context.account.attribute(holding, organisation)
    holding.expected = expected * KB
    assert context.account.try_grow(holding, size * KB)


@when('"{name}" at "{address}" has sent {size:d} kB of {expected:d} kB')
def step_sent(context: Context, name: str, address: str, size: int, expected: int) -> None:
    step_organisation(context, name, "", address, size, expected)


@when('"{name}" sends {size:d} kB')
def step_sends(context: Context, name: str, size: int) -> None:
    assert context.account.try_grow(context.holdings[name], size * KB)


@when('"{name}" is complete')
def step_complete(context: Context, name: str) -> None:
    context.holdings[name].complete = True


@when('"{name}" was not read for {milliseconds:d} ms until now')
def step_not_read(context: Context, name: str, milliseconds: int) -> None:
    context.holdings[name].progressed = context.clock.monotonic()
    context.holdings[name].waited += timedelta(milliseconds=milliseconds)


@when("{seconds:d} s pass")
def step_pass(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))


@when('"{name}" needs {size:d} kB more')
def step_needs(context: Context, name: str, size: int) -> None:
    assert not context.account.try_grow(context.holdings[name], size * KB)
    context.account.make_room(context.holdings[name], size * KB)


@when('"{name}" ends')
def step_ends(context: Context, name: str) -> None:
    context.exits[name].close()


@when("the handling of a request with {size:d} kB raises an error")
def step_error(context: Context, size: int) -> None:
    with suppress(ValueError), context.account.hold(BufferedKind.BODY, "10.0.0.1") as holding:
        assert context.account.try_grow(holding, size * KB)
        raise ValueError("the handler fails")


@then('"{name}" may not buffer {size:d} kB more')
def step_may_not_more(context: Context, name: str, size: int) -> None:
    assert not context.account.try_grow(context.holdings[name], size * KB)


@then('"{name}" may buffer {size:d} kB more')
def step_may_more(context: Context, name: str, size: int) -> None:
    assert context.account.try_grow(context.holdings[name], size * KB)


@then('"{name}" at "{address}" may buffer {size:d} kB')
def step_may(context: Context, name: str, address: str, size: int) -> None:
    assert context.account.try_grow(open_holding(context, name, address), size * KB)


@then('"{name}" at "{address}" may not buffer {size:d} kB')
def step_may_not(context: Context, name: str, address: str, size: int) -> None:
    assert not context.account.try_grow(open_holding(context, name, address), size * KB)


@then("{size:d} kB are buffered")
def step_buffered(context: Context, size: int) -> None:
    assert context.account.used == size * KB, context.account.used
    assert sum(context.account.by_kind().values()) == size * KB


@then("nothing is buffered")
def step_nothing_buffered(context: Context) -> None:
    step_buffered(context, 0)


@then('"{name}" is given up, and nothing else')
def step_given_up(context: Context, name: str) -> None:
    assert given_up(context) == {name}, given_up(context)


@then('"{name}" is not given up')
def step_not_given_up(context: Context, name: str) -> None:
    assert name not in given_up(context)


@then('one of "{first}" and "{second}" is given up')
def step_one_of(context: Context, first: str, second: str) -> None:
    assert len(given_up(context) & {first, second}) == 1, given_up(context)


@then("nothing is given up")
def step_none_given_up(context: Context) -> None:
    assert not given_up(context)


@then("{count:d} of them is given up")
def step_count_given_up(context: Context, count: int) -> None:
    assert len(given_up(context)) == count, given_up(context)


@then('the reason for "{name}" has status {status:d} and a time to retry')
def step_reason(context: Context, name: str, status: int) -> None:
    response = problem(context.holdings[name].refused)
    assert response.status == status, response
    assert any(header == b"retry-after" for header, _ in response.headers), response


@then("a machine of {memory:d} MB buffers {size:d} bytes")
def step_machine_memory(context: Context, memory: int, size: int) -> None:
    assert limits_of_machine(memory, 0).buffered_bytes == size


@then("a machine without a known memory buffers without a bound")
def step_machine_unknown(context: Context) -> None:
    assert limits_of_machine(0, 0) == IntakeLimits()


@then(
    "a machine of {files:d} descriptors accepts {connections:d} connections and {control:d} "
    "control connections"
)
def step_machine_descriptors(context: Context, files: int, connections: int, control: int) -> None:
    limits = limits_of_machine(0, files)
    assert (limits.connections, limits.control_connections) == (connections, control), limits


def run_two(
    context: Context,
    size: int,
    hold: Callable[[Intake, Holding], float],
    second_in_service: bool = False,
) -> None:
    """Let a connection hold bytes for a time that `hold` returns, and another wait for as many."""
    context.granted, context.seconds = None, 0.0

    async def first(intake: Intake, task_status: trio.TaskStatus[None]) -> None:
        with intake.hold(BufferedKind.BODY, "10.0.0.1") as holding:
            assert await intake.grow(holding, size * KB)
            task_status.started()
            await trio.sleep(hold(intake, holding))

    async def run() -> None:
        intake = Intake(IntakeLimits(buffered_bytes=context.account.capacity), SystemClock())
        async with trio.open_nursery() as nursery:
            await nursery.start(first, intake)
            began = trio.current_time()
            with intake.hold(BufferedKind.BODY, "10.0.0.1") as holding:
                holding.expected = size * KB
                holding.complete = second_in_service
                context.granted = await intake.grow(holding, size * KB)
                context.seconds = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when("two connections need {size:d} kB each, of which the first one ends after {seconds:d} s")
def step_two_end(context: Context, size: int, seconds: int) -> None:
    def hold(intake: Intake, holding: Holding) -> float:
        holding.complete = True
        return seconds

    run_two(context, size, hold)


@when(
    "two connections with a request in service need {size:d} kB each, of which the first one ends "
    "after {seconds:d} s"
)
def step_two_in_service(context: Context, size: int, seconds: int) -> None:
    def hold(intake: Intake, holding: Holding) -> float:
        holding.complete = True
        return seconds

    run_two(context, size, hold, second_in_service=True)


@when("two connections need {size:d} kB each, of which the first one is complete and never ends")
def step_two_complete(context: Context, size: int) -> None:
    def hold(intake: Intake, holding: Holding) -> float:
        holding.complete = True
        return 1_000.0

    run_two(context, size, hold)


@then("the second one was granted its bytes after {seconds:d} s")
def step_granted(context: Context, seconds: int) -> None:
    assert context.granted
    assert abs(context.seconds - seconds) < 0.01, context.seconds


@then("the second one was given up after {seconds:d} s")
def step_given_up_after(context: Context, seconds: int) -> None:
    assert context.granted is False
    assert abs(context.seconds - seconds) <= 0.11, context.seconds


@when('a response to "{name}" at "{address}" of {size:d} kB waits for its caller')
def step_response(context: Context, name: str, address: str, size: int) -> None:
    holding = open_holding(context, name, address)
    context.account.classify(holding, BufferedKind.RESPONSE)
    holding.complete = holding.unread = True
    assert context.account.try_grow(holding, size * KB)


@when('the caller of "{name}" reads a part')
def step_reads(context: Context, name: str) -> None:
    context.account.record_progress(context.holdings[name])


@when(
    "{count:d} connections reserve {size:d} kB each for a read of {read:d} kB, beside a slow body "
    "of {slow:d} kB"
)
def step_many(context: Context, count: int, size: int, read: int, slow: int) -> None:
    context.reads = []

    async def read_once(intake: Intake, number: int) -> None:
        address = f"10.0.{number // 200}.{number % 200}"
        with intake.hold(BufferedKind.HEAD, address) as holding:
            granted = await intake.grow(holding, size * KB)
            await trio.lowlevel.checkpoint()
            context.reads.append(granted)
            if granted:
                intake.shrink(holding, (size - read) * KB)
                await trio.sleep(0.01)

    async def run() -> None:
        intake = Intake(IntakeLimits(buffered_bytes=context.account.capacity), SystemClock())
        context.refusals = intake.refusals
        with intake.hold(BufferedKind.BODY, "10.0.9.9") as body:
            body.expected = 10 * slow * KB
            assert await intake.grow(body, slow * KB)
            await trio.sleep(5)
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(read_once, intake, number)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("all reads were granted, and nothing was given up")
def step_all_granted(context: Context) -> None:
    assert all(context.reads), Counter(context.reads)
    assert not any(context.refusals().values()), context.refusals()


@when('"{name}" is noted as {noted}')
def step_noted(context: Context, name: str, noted: str) -> None:
    match noted:
        case "complete":
            context.account.complete(context.holdings[name])
        case "restarted":
            context.account.restart(context.holdings[name], 10)


@then("no bytes are about to be released")
def step_returning(context: Context) -> None:
    context.clock.advance(timedelta(seconds=2))
    context.account.give_up_slowest(control=False)
    assert given_up(context), "another body is given up only if none is about to be released"
