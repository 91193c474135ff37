"""Steps for target health, the retry budget and the graceful stop."""

from dataclasses import replace
from datetime import timedelta

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.forwarding import make_target
from wasabiwell_entry.coordination.budget import RetryBudget
from wasabiwell_entry.coordination.budget.coordinator import BudgetLimits
from wasabiwell_entry.coordination.health import TargetHealth
from wasabiwell_entry.coordination.stop import GracefulStop
from wasabiwell_entry.protocol.notices import decode_notice, encode_notice
from wasabiwell_entry.state.clock import ManualClock, SystemClock
from wasabiwell_entry.state.exchange import (
    AttemptVerdict,
    RetryBudgetUse,
    RetryNotice,
    TargetDepartures,
)
from wasabiwell_entry.state.outcomes import Reason, Refused
from wasabiwell_entry.state.targets import ListedTarget, TargetAdvice
from wasabiwell_entry.transport.datagram.endpoint import MAX_DATAGRAM_BYTES

SERVICE = "s"
DRAIN_LIMIT = timedelta(milliseconds=7_600)
"""Of a grace period of 8 s."""
TOLERANCE = 0.11
"""Seconds; the stop polls the number of open requests every 100 ms."""


@given("a listed target")
def step_listed(context: Context) -> None:
    context.clock = ManualClock()
    context.health = TargetHealth(context.clock)
    context.target = make_target(0)
    context.health.update([ListedTarget(context.target, False)])


@given("a target that is not listed yet")
def step_not_listed(context: Context) -> None:
    step_listed(context)
    context.health = TargetHealth(context.clock)


def record_attempts(context: Context, verdict: AttemptVerdict, count: int = 1) -> None:
    for _ in range(count):
        context.health.record_attempt(context.target.target_id, verdict)


@when("it is lost")
def step_lost(context: Context) -> None:
    record_attempts(context, AttemptVerdict.LOST)


@when("it responds")
def step_responds(context: Context) -> None:
    record_attempts(context, AttemptVerdict.ANSWERED)


@when("it fails {count:d} requests")
def step_fails(context: Context, count: int) -> None:
    record_attempts(context, AttemptVerdict.FAILED, count)


@when("{seconds:d} seconds pass for it")
def step_pass(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))


@when("the listing shows it as leaving, and as ready again afterwards")
def step_leaving(context: Context) -> None:
    context.health.update([ListedTarget(context.target, True)])
    context.health.update([ListedTarget(context.target, False)])


@when("the listing shows it with another incarnation")
def step_incarnation(context: Context) -> None:
    context.target = make_target(0, incarnation=2)
    context.health.update([ListedTarget(context.target, False)])


@then("it is not usable for {seconds:g} seconds")
def step_unusable(context: Context, seconds: float) -> None:
    step = timedelta(milliseconds=100)
    for _ in range(round(seconds * 10)):
        assert not context.health.usable(context.target)
        context.clock.advance(step)
    assert context.health.usable(context.target)


@then("it is usable")
def step_usable(context: Context) -> None:
    assert context.health.usable(context.target)


@then("it is not usable")
def step_not_usable(context: Context) -> None:
    assert not context.health.usable(context.target)


@then("its failure rate is above {rate:g}")
def step_above(context: Context, rate: float) -> None:
    assert context.health.failure_rate(context.target) > rate


@then("its failure rate is below {rate:g}")
def step_below(context: Context, rate: float) -> None:
    assert context.health.failure_rate(context.target) < rate


@given("a retry budget of {ratio:g} and a slack of {slack:g} in {seconds:d} seconds")
def step_budget(context: Context, ratio: float, slack: float, seconds: int) -> None:
    context.clock = ManualClock()
    context.peer_usage = []
    limits = BudgetLimits(ratio, slack, timedelta(seconds=seconds))
    context.published = []
    context.budget = RetryBudget(
        limits, lambda: context.peer_usage, context.published.append, context.clock
    )


@then("{count:d} retries were published")
def step_retries_published(context: Context, count: int) -> None:
    assert context.published == [RetryNotice(SERVICE)] * count, context.published


@given("peers that counted {requests:d} requests and {retries:d} retries")
def step_peers(context: Context, requests: int, retries: int) -> None:
    context.peer_usage = [
        (RetryBudgetUse(SERVICE, requests // 2, retries // 2),),
        (RetryBudgetUse(SERVICE, requests // 2, retries // 2), RetryBudgetUse("t", 1_000, 1_000)),
    ]


@when("{count:d} requests are counted")
def step_counted(context: Context, count: int) -> None:
    for _ in range(count):
        context.budget.count_request(SERVICE)


@when("the retry budget is {seconds:d} seconds older")
def step_older(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))


@then("{count:d} retries are allowed")
def step_allowed(context: Context, count: int) -> None:
    taken = sum(context.budget.try_consume(SERVICE) for _ in range(1_000))
    assert taken == count, taken


@then("{count:d} retries of another service are allowed")
def step_allowed_other(context: Context, count: int) -> None:
    assert sum(context.budget.try_consume("t") for _ in range(1_000)) == count


@given("an instance with {count:d} open requests")
def step_open(context: Context, count: int) -> None:
    context.request_seconds = 0


@given("an instance with a request that takes {seconds:d} seconds")
def step_request(context: Context, seconds: int) -> None:
    context.request_seconds = seconds


@when("its graceful stop begins")
def step_leave(context: Context) -> None:
    async def run() -> None:
        stop = GracefulStop(SystemClock(), DRAIN_LIMIT)

        async def serve() -> None:
            with stop.request():
                await trio.sleep(context.request_seconds)

        async with trio.open_nursery() as nursery:
            if context.request_seconds:
                nursery.start_soon(serve)
            await trio.lowlevel.checkpoint()
            started = trio.current_time()
            stop.leave()
            await stop.wait_listeners_close()
            context.closed = trio.current_time() - started
            await stop.wait_requests_finished()
            context.ended = trio.current_time() - started
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it closes its listeners after {seconds:g} seconds")
def step_closes(context: Context, seconds: float) -> None:
    assert abs(context.closed - seconds) < TOLERANCE, context.closed


@then("it ends after {seconds:g} seconds")
def step_ends(context: Context, seconds: float) -> None:
    assert abs(context.ended - seconds) < TOLERANCE, context.ended


@when(
    "{kind} request with a limit of {limit:g} seconds arrives {age:g} seconds after its graceful "
    "stop begins"
)
def step_arrives_late(context: Context, kind: str, limit: float, age: float) -> None:
    clock = ManualClock()
    stop = GracefulStop(clock, DRAIN_LIMIT)
    stop.leave()
    clock.advance(timedelta(seconds=age))
    context.admission = stop.admit(
        "retryable" in kind, clock.monotonic() + timedelta(seconds=limit)
    )


@when("{kind} request with a limit of {limit:g} seconds arrives without a stop")
def step_arrives_without_stop(context: Context, kind: str, limit: float) -> None:
    clock = ManualClock()
    stop = GracefulStop(clock, DRAIN_LIMIT)
    context.admission = stop.admit(
        "retryable" in kind, clock.monotonic() + timedelta(seconds=limit)
    )


@then("the request is taken")
def step_taken(context: Context) -> None:
    assert context.admission is None, context.admission


@then("the request is refused")
def step_refused_leaving(context: Context) -> None:
    assert isinstance(context.admission, Refused), context.admission
    assert context.admission.reason is Reason.NOT_READY, context.admission


@when("its answer says that it is leaving")
def step_announces(context: Context) -> None:
    context.departure = context.health.record_advice(context.target, TargetAdvice(leaving=True))


@then("the other instances are told of its departure")
def step_departure_told(context: Context) -> None:
    expected = TargetDepartures((context.target.process,))
    assert context.departure == expected, context.departure
    # A second answer is no news.
    assert context.health.record_advice(context.target, TargetAdvice(leaving=True)) is None


@when("another instance reports its departure")
def step_departure_received(context: Context) -> None:
    departures = TargetDepartures((context.target.process,))
    context.health.record_departures(decode_notice(encode_notice(departures)))


@when("the listing shows it no longer, and as ready again afterwards")
def step_relisted(context: Context) -> None:
    context.health.update([])
    context.health.update([ListedTarget(context.target, False)])


@when("the listing shows it with another address")
def step_other_address(context: Context) -> None:
    context.target = replace(context.target, address="10.0.9.9:80")
    context.health.update([ListedTarget(context.target, False)])


@when("it asks for a pause of {seconds:d} seconds")
def step_asks_pause(context: Context, seconds: int) -> None:
    context.health.record_advice(context.target, TargetAdvice(pause=timedelta(seconds=seconds)))


@then("its share is {share:g}")
def step_share(context: Context, share: float) -> None:
    assert context.health.share(context.target) == share, context.health.share(context.target)


@when("the listing shows it with other slots")
def step_other_slots(context: Context) -> None:
    context.target = replace(context.target, slots=context.target.slots + 1)
    context.health.update([ListedTarget(context.target, False)])


@when(
    "{count:d} targets with names of {length:d} characters announce their departure and ask for "
    "pauses"
)
def step_many_advise(context: Context, count: int, length: int) -> None:
    advice = TargetAdvice(leaving=True, pause=timedelta(seconds=2))
    for number in range(count):
        target = replace(context.target, target_id=f"{number:0{length}}")
        context.health.record_advice(target, advice)


@then("at most {most:d} departures are known, in messages that fit into datagrams")
def step_departures_bounded(context: Context, most: int) -> None:
    messages = context.health.departures()
    assert sum(len(message.processes) for message in messages) <= most
    assert all(len(encode_notice(message)) <= MAX_DATAGRAM_BYTES for message in messages)
