"""Steps for admission control."""

from contextlib import ExitStack
from dataclasses import dataclass, field
from datetime import timedelta

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.admission import (
    CountingLimits,
    FakeReservations,
    make_load,
    make_request,
    make_targets,
)
from wasabiwell_config import Organisation
from wasabiwell_entry.coordination.admission.coordinator import AdmissionCoordinator, AdmissionPorts
from wasabiwell_entry.coordination.admission.load_capacity import LoadBasedCapacity
from wasabiwell_entry.coordination.dispatch.ports import AdmissionGrant
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.outcomes import Refused


@dataclass(slots=True)
class Sent:
    """A request in a scenario, with its outcome and the means to end or cancel it."""

    tokens: int
    outcome: AdmissionGrant | Refused | None = None
    end: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@given("{count:d} engines of 400000 tokens, of which {used:d} are used by others")
def step_engines(context: Context, count: int, used: int) -> None:
    clock = context.clock = ManualClock()
    context.instances = 1
    context.targets = make_targets(count, clock.monotonic(), used)
    context.reservations, context.limits = FakeReservations(), CountingLimits()
    ports = AdmissionPorts(
        context.reservations,
        LoadBasedCapacity(context.targets, clock, lambda: context.instances),
        context.limits,
        _organisation,
    )
    router = Router(context.targets, "z0", clock)
    context.admission = AdmissionCoordinator(router, context.targets, ports, clock)
    context.actions = []


@given("engine {index:d} refuses reservations")
def step_refusing(context: Context, index: int) -> None:
    context.reservations.refusing.add(f"e{index}")


@given("{count:d} entry instances share engines on which others run {running:d} requests")
def step_shared(context: Context, count: int, running: int) -> None:
    context.instances = count
    for status in context.targets:
        status.load = make_load(timedelta(), running=running)


@when("a request of {tokens:d} tokens is sent")
def step_send(context: Context, tokens: int) -> None:
    context.actions.append(("send", tokens))


@when("the request of {tokens:d} tokens ends")
def step_end(context: Context, tokens: int) -> None:
    context.actions.append(("end", tokens))


@when("{seconds:d} seconds pass while they wait")
def step_pass(context: Context, seconds: int) -> None:
    context.actions.append(("pass", seconds))


@when("all requests are cancelled")
def step_cancel(context: Context) -> None:
    context.actions.append(("cancel", 0))


def check_after_actions(context: Context, check: object) -> None:
    """Run the recorded actions, followed by the check, in one trio run."""

    async def run() -> None:
        sent: list[Sent] = []
        async with trio.open_nursery() as nursery:
            for action, tokens in context.actions:
                matching = [item for item in sent if item.tokens == tokens]
                if action == "send":
                    sent.append(Sent(tokens))
                    nursery.start_soon(_send, context, sent[-1])
                elif action == "end":
                    matching[0].end.set()
                elif action == "pass":
                    context.clock.advance(timedelta(seconds=tokens))
                    context.admission.capacity_changed()
                else:
                    for item in sent:
                        item.scope.cancel()
                await trio.testing.wait_all_tasks_blocked()
            check({item.tokens: item.outcome for item in sent})  # type: ignore[operator]
            nursery.cancel_scope.cancel()

    with ExitStack() as stack:
        stack.callback(_reset, context)
        trio.run(run)


async def _send(context: Context, sent: Sent) -> None:
    with sent.scope:
        async with context.admission.admit(make_request(sent.tokens), frozenset()) as outcome:
            sent.outcome = outcome
            await sent.end.wait()


def _reset(context: Context) -> None:
    """Check that the run has released everything, so that the next one starts clean."""
    assert_nothing_held(context)


def assert_nothing_held(context: Context) -> None:
    """Fail if capacity or reservations are still held."""
    held = [
        (item.outstanding, item.outstanding_tokens, item.long_tokens) for item in context.targets
    ]
    assert set(held) == {(0, 0, 0)}, held
    assert not context.reservations.held, context.reservations.held


def _organisation(name: str) -> Organisation:
    return Organisation(name=name, key_hashes=())


@then("the request of {tokens:d} tokens is placed")
def step_placed(context: Context, tokens: int) -> None:
    def check(outcomes: dict[int, AdmissionGrant | Refused | None]) -> None:
        assert isinstance(outcomes[tokens], AdmissionGrant), outcomes

    check_after_actions(context, check)


@then("the request of {tokens:d} tokens waits")
def step_waits(context: Context, tokens: int) -> None:
    def check(outcomes: dict[int, AdmissionGrant | Refused | None]) -> None:
        assert outcomes[tokens] is None, outcomes

    check_after_actions(context, check)


@then('the request of {tokens:d} tokens is refused with "{reason}"')
def step_refused(context: Context, tokens: int, reason: str) -> None:
    def check(outcomes: dict[int, AdmissionGrant | Refused | None]) -> None:
        outcome = outcomes[tokens]
        assert isinstance(outcome, Refused), outcome
        assert outcome.reason.value == reason

    check_after_actions(context, check)


@then("memory was reserved in ascending order of engines for all of it")
def step_reserved(context: Context) -> None:
    ids = [target_id for target_id, _ in context.reservations.order]
    assert len(ids) >= 2, ids
    assert ids == sorted(ids), ids
    assert sum(tokens for _, tokens in context.reservations.order) == 900_000


@then("all capacity is released")
def step_released(context: Context) -> None:
    def check(outcomes: dict[int, AdmissionGrant | Refused | None]) -> None:
        assert_nothing_held(context)

    check_after_actions(context, check)
    assert context.limits.running == 0
