"""Steps for calls to plain services under failure."""

import msgspec
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.calls import CALL_TIMEOUT, CallWorld
from wasabiwell_entry.state.outcomes import Failed, Refused, ServiceResponse
from wasabiwell_entry.state.runs import RunRecord

RECOVERY_SECONDS = 60.0


class CallScript:
    """One call in virtual time; the table service recovers after the call."""

    def __init__(self, modes: list[str]) -> None:
        self.modes = modes
        self.hang_seconds = 0.0
        self.unavailable_after_claim = False
        self.recovers = False
        self.seconds = 0.0

    async def run(self, idempotent: bool) -> None:
        """Send the call, wait for its outcome, and let the table service recover."""
        self.world = world = CallWorld()
        world.targets.modes = list(self.modes)
        world.shared.hang_seconds = self.hang_seconds
        async with trio.open_nursery() as nursery:
            await nursery.start(world.run_entry, 0)
            call = world.call(None if idempotent else "k", "a", idempotent)
            self.result = world.start_call(0, call)
            if self.unavailable_after_claim:
                while not world.shared.rows:
                    await trio.lowlevel.checkpoint()
                world.shared.unavailable = True
            await self.result.finished.wait()
            self.seconds = trio.current_time()
            world.shared.unavailable = False
            world.shared.hang_seconds = 0.0
            await trio.sleep(RECOVERY_SECONDS)
            nursery.cancel_scope.cancel()


@given('plain targets that behave as "{modes}"')
def step_modes(context: Context, modes: str) -> None:
    context.script = CallScript(modes.split(", "))


@given("the table service hangs")
def step_hang(context: Context) -> None:
    context.script.hang_seconds = 2 * CALL_TIMEOUT.total_seconds()


@given("the table service becomes unavailable after the claim")
def step_unavailable_after_claim(context: Context) -> None:
    context.script.unavailable_after_claim = True


@when("a caller sends an idempotent call")
def step_idempotent(context: Context) -> None:
    run_script(context, True)


@when("a caller sends a booking")
def step_booking(context: Context) -> None:
    run_script(context, False)


def run_script(context: Context, idempotent: bool) -> None:
    """Run the script in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(context.script.run, idempotent, clock=clock)


@when("the table service is available again")
def step_available(context: Context) -> None:
    assert not context.script.world.shared.unavailable


@then('the caller receives the error "{reason}" and run state "{run}"')
def step_error(context: Context, reason: str, run: str) -> None:
    match context.script.result.outcome:
        case Failed() as failed:
            error = failed.reason.value, failed.run.value
        case Refused() as refused:
            error = refused.reason.value, "not-run"
        case other:
            raise AssertionError(other)
    assert error == (reason, run), error


@then("the caller receives the response with status {status:d}")
def step_response_status(context: Context, status: int) -> None:
    outcome = context.script.result.outcome
    assert isinstance(outcome, ServiceResponse), outcome
    assert outcome.status == status, outcome


@then("the response arrived within {seconds:d} seconds")
def step_within(context: Context, seconds: int) -> None:
    assert context.script.seconds <= seconds, context.script.seconds


@then("the targets ran {count:d} bookings")
def step_runs(context: Context, count: int) -> None:
    assert context.script.world.targets.runs.total() == count


@then('the record has status "{status}"')
def step_record(context: Context, status: str) -> None:
    (row,) = context.script.world.shared.rows.values()
    record = msgspec.msgpack.decode(row.value, type=RunRecord)
    assert record.status.value == status, record
