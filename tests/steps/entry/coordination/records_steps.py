"""Steps for the records of requests."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import trio
from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.coordination.telemetry import (
    NO_TELEMETRY,
    InstrumentedDispatcher,
    InstrumentedEngines,
    RequestLog,
)
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.counters import Counters
from wasabiwell_entry.state.outcomes import Failed, Finished, Reason, RunState
from wasabiwell_entry.state.requests import (
    Attempt,
    GenerateRequest,
    StreamInterrupted,
    StreamItem,
)
from wasabiwell_entry.state.targets import Target, TargetKind

TARGET = Target("e1", TargetKind.ENGINE, "s", "127.0.0.1:1", "r", "z")


@dataclass(slots=True)
class FakeDispatcher:
    """Returns one outcome after a delay."""

    outcome: Finished | Failed
    delay_seconds: float = 0.0

    async def generate(self, request: GenerateRequest, sink: object) -> Finished | Failed:
        """Return the outcome."""
        await trio.sleep(self.delay_seconds)
        return self.outcome


@dataclass(slots=True)
class BrokenEngines:
    """Interrupts each attempt with a reason."""

    reason: str

    @asynccontextmanager
    async def generate(
        self, target: Target, attempt: Attempt
    ) -> AsyncIterator[AsyncIterator[StreamItem]]:
        """Yield only the interruption."""

        async def items() -> AsyncIterator[StreamItem]:
            yield StreamInterrupted(self.reason)

        yield items()


def make_request(number: int) -> GenerateRequest:
    """Return a request with a unique id."""
    zero = timedelta()
    return GenerateRequest(f"r{number}", "o", "s", b"[]", 100, 10, "f", zero, zero)


@given("a request log for {count:d} records")
def step_log(context: Context, count: int) -> None:
    context.log, context.counters = RequestLog(ManualClock(), count), Counters()


@when("{count:d} instrumented requests finish")
def step_finish(context: Context, count: int) -> None:
    inner = FakeDispatcher(Finished(1, "stop"))
    instrumented = InstrumentedDispatcher(inner, context.log, context.counters, NO_TELEMETRY)
    for number in range(count):
        trio.run(instrumented.generate, make_request(number), None)


@when('an instrumented attempt ends with "{reason}"')
def step_attempt(context: Context, reason: str) -> None:
    async def attempt() -> None:
        engines = InstrumentedEngines(BrokenEngines(reason), context.log, NO_TELEMETRY)
        request = make_request(0)
        record = context.log.open(request)
        async with engines.generate(TARGET, Attempt("a", request, 0)) as items:
            assert [item async for item in items] == [StreamInterrupted(reason)]
        failed = Failed(Reason.TARGET_FAILED, reason, RunState.UNKNOWN)
        context.log.close(record, request, failed)

    trio.run(attempt)


@when("an instrumented request is cancelled")
def step_cancel(context: Context) -> None:
    async def cancel() -> None:
        inner = FakeDispatcher(Finished(1, "stop"), delay_seconds=60.0)
        instrumented = InstrumentedDispatcher(inner, context.log, context.counters, NO_TELEMETRY)
        with trio.move_on_after(0.01):
            await instrumented.generate(make_request(0), None)

    trio.run(cancel)


@then('the log holds the requests "{names}"')
def step_holds(context: Context, names: str) -> None:
    assert len(context.log) == 3, len(context.log)
    for name in names.split(", "):
        assert context.log.get(name).outcome == "ok", name


@then('the record has the reason "{reason}" and nowhere "{text}"')
def step_reason(context: Context, reason: str, text: str) -> None:
    record = context.log.get("r0")
    assert record.attempts[0].reason == reason, record
    assert text.encode() not in msgspec.json.encode(record), record


@then('its outcome is "{outcome}", it is counted once and no stream is open')
def step_cancelled(context: Context, outcome: str) -> None:
    counted = {kind.outcome: count for kind, count in context.counters.requests.items()}
    assert counted == {outcome: 1}, counted
    assert context.log.get("r0").outcome == outcome
    assert context.counters.open_streams == 0
