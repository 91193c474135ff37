"""Steps for run records."""

from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.fakes import FakeObjects, FakeTable
from wasabiwell_entry.coordination.runs import RunCoordinator
from wasabiwell_entry.coordination.runs.errors import Claimed
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.outcomes import Answer, Failed, Refused
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.state.runs import RunStatus

CALL_TIMEOUT = timedelta(seconds=20)


def make_call(context: Context, key: str, body: str) -> ServiceCall:
    """Return a booking call."""
    now = context.clock.monotonic()
    return ServiceCall(
        request_id="r",
        organisation="lowell-crews",
        service="crew-desk",
        method="POST",
        path="/bookings",
        content_type="application/json",
        body=body.encode(),
        fingerprint=body,
        received=now,
        deadline=now + CALL_TIMEOUT,
        idempotent=False,
        idempotency_key=key,
    )


@given("a table service and two entry instances")
def step_instances(context: Context) -> None:
    context.table_service, context.objects, context.clock = (
        FakeTable(),
        FakeObjects(),
        ManualClock(),
    )
    context.runs = [
        RunCoordinator(context.table_service, context.objects, context.clock, f"entry-{index}")
        for index in range(2)
    ]
    context.claims = {}


@given("the table service loses its next reply")
def step_lose_reply(context: Context) -> None:
    context.table_service.lose_replies = 1


@given("the table service is down")
def step_down(context: Context) -> None:
    context.table_service.unavailable = True


@when('instance {index:d} claims key "{key}" for body "{body}"')
def step_claim(context: Context, index: int, key: str, body: str) -> None:
    context.outcome = trio.run(context.runs[index].claim, make_call(context, key, body))
    if isinstance(context.outcome, Claimed):
        context.claims[key] = context.outcome


@when('instance {index:d} settles key "{key}" as done with an answer of {size:d} bytes')
def step_settle_done(context: Context, index: int, key: str, size: int) -> None:
    answer = Answer(201, "application/json", b"x" * size)
    trio.run(context.runs[index].settle, context.claims[key], RunStatus.DONE, answer)


@when('instance {index:d} settles key "{key}" as not run')
def step_settle_not_run(context: Context, index: int, key: str) -> None:
    trio.run(context.runs[index].settle, context.claims[key], RunStatus.NOT_RUN)


@when("{seconds:d} seconds pass")
def step_pass(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))


@then("the last claim is held")
def step_held(context: Context) -> None:
    assert isinstance(context.outcome, Claimed), context.outcome


@then("the last claim gives the stored answer of {size:d} bytes")
def step_stored(context: Context, size: int) -> None:
    assert context.outcome == Answer(201, "application/json", b"x" * size, replayed=True)


@then('the last claim fails with "{reason}" and run state "{run}"')
def step_failed(context: Context, reason: str, run: str) -> None:
    assert isinstance(context.outcome, Failed), context.outcome
    assert (context.outcome.reason.value, context.outcome.run.value) == (reason, run)


@then('the last claim is refused with "{reason}"')
def step_refused(context: Context, reason: str) -> None:
    assert isinstance(context.outcome, Refused), context.outcome
    assert context.outcome.reason.value == reason
