"""Steps for responses that nobody reads, without a network."""

from contextlib import ExitStack
from datetime import timedelta
from functools import partial

from behave import given, then, when
from behave.runner import Context
from support.logs import record_events
from wasabiwell_entry.coordination.intake.const import UNREAD_LIMIT
from wasabiwell_entry.coordination.intake.unread import OpenResponse, UnreadResponses
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import ManualClock


class ResponseWorld:
    """Responses by name, how many bytes have reached their callers, and which are given up."""

    def __init__(self, stack: ExitStack) -> None:
        self.clock = ManualClock()
        self.unread = UnreadResponses(self.clock)
        self.records = stack.enter_context(record_events())
        self.responses: dict[str, OpenResponse] = {}
        self.exits: dict[str, ExitStack] = {}
        self.delivered: dict[str, int] = {}
        self.given_up: list[str] = []
        self._stack = stack

    def open(self, name: str, service: str) -> None:
        """Begin a response that waits for its caller."""
        self.delivered[name] = 1_000
        self.exits[name] = self._stack.enter_context(ExitStack())
        self.responses[name] = self.exits[name].enter_context(
            self.unread.open(
                service,
                f"caller {name}",
                partial(self.delivered.__getitem__, name),
                partial(self.given_up.append, name),
            )
        )
        self.responses[name].blocked = True


@given('responses "{names}" of service "{service}" whose callers have to read first')
def step_responses(context: Context, names: str, service: str) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.world = ResponseWorld(stack)
    for name in names.split():
        context.world.open(name, service)


@given("nothing else")
def step_nothing_else(context: Context) -> None:
    assert context.world


@given('the target of "{name}" has ended its work')
def step_target_ended(context: Context, name: str) -> None:
    context.world.responses[name].holds_target = False


@given('"{name}" waits for its target')
def step_waits_for_target(context: Context, name: str) -> None:
    context.world.responses[name].blocked = False


@when('a request of service "{service}" is rejected at {seconds:d} s')
def step_rejected(context: Context, service: str, seconds: int) -> None:
    world = context.world
    passed = world.clock.monotonic()
    if not hasattr(context, "began"):
        context.began = passed
    world.clock.advance(context.began + timedelta(seconds=seconds) - passed)
    world.unread.record_rejection(service)


@when('the caller of "{name}" reads {count:d} byte')
def step_reads(context: Context, name: str, count: int) -> None:
    context.world.delivered[name] += count


@when('the response "{name}" ends')
def step_ends(context: Context, name: str) -> None:
    context.world.exits[name].close()


@then("no response is given up")
def step_none(context: Context) -> None:
    assert not context.world.given_up, context.world.given_up


@then('the responses "{names}" are given up')
def step_given_up(context: Context, names: str) -> None:
    assert sorted(context.world.given_up) == names.split(), context.world.given_up


@then("{count:d} response is given up")
def step_count(context: Context, count: int) -> None:
    assert len(context.world.given_up) == count, context.world.given_up
    assert context.world.unread.given_up == count


@then("{count:d} response is followed")
def step_followed(context: Context, count: int) -> None:
    assert context.world.unread.count == count


@then("each of them is logged with its caller and its time")
def step_logged(context: Context) -> None:
    number = log_events.UNREAD_RESPONSE_GIVEN_UP.number
    logged = [item.kwargs for item in context.world.records if item.extra["event"] == number]
    assert [item["caller"] for item in logged] == [
        f"caller {name}" for name in context.world.given_up
    ]
    least = UNREAD_LIMIT / timedelta(milliseconds=1)
    assert all(item["unread_ms"] >= least for item in logged), logged
