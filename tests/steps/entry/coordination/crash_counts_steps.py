"""Steps for crash counts that entry instances share by messages."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.forwarding import make_forwarded, make_route
from support.logs import record_events
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.coordination.quarantine.errors import (
    CrashAssessment,
    NoSuspicion,
    RefusedCause,
    SuspectedCause,
)
from wasabiwell_entry.coordination.quarantine.refusals import RefusalKeeper
from wasabiwell_entry.protocol.notices import decode_notice, encode_notice
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.crashes import Cause, StoredRefusal
from wasabiwell_entry.state.exchange import Notice
from wasabiwell_entry.state.forwarding import ForwardedRequest
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.transport.datagram.endpoint import MAX_DATAGRAM_BYTES


def make_request(name: str, parts: str = "") -> ForwardedRequest:
    request = make_forwarded(make_route(RouteKind.STREAM))
    return replace(request, fingerprint=name, prompt_parts=tuple(parts.split()))


def deliver(context: Context, sender: int, notice: Notice) -> None:
    """Pass a message to all other instances, after encoding and decoding."""
    for index, instance in enumerate(context.instances):
        if index != sender:
            for suspicion in decode_notice(encode_notice(notice)).items:
                instance.receive(suspicion)


def assess(context: Context, name: str) -> list[CrashAssessment]:
    return [instance.assess(make_request(name)) for instance in context.instances]


class FakeRefusalStore:
    """Refusals by cause; `available` is False during an outage."""

    def __init__(self) -> None:
        self.available = True
        self.refusals: dict[Cause, StoredRefusal] = {}
        self.writes = 0

    async def load(self) -> list[StoredRefusal] | StoreUnavailable:
        """Return all refusals."""
        await trio.lowlevel.checkpoint()
        return list(self.refusals.values()) if self.available else StoreUnavailable("outage")

    async def save(self, refusal: StoredRefusal) -> StoreUnavailable | None:
        """Save a refusal."""
        await trio.lowlevel.checkpoint()
        if not self.available:
            return StoreUnavailable("outage")
        self.refusals[refusal.cause] = refusal
        self.writes += 1
        return None

    async def remove(self, cause: Cause) -> StoreUnavailable | None:
        """Remove a refusal."""
        await trio.lowlevel.checkpoint()
        if not self.available:
            return StoreUnavailable("outage")
        self.refusals.pop(cause, None)
        return None


@given("{count:d} instances that count crashes")
def step_instances(context: Context, count: int) -> None:
    context.clock = ManualClock()
    context.store = FakeRefusalStore()
    context.messages = []
    context.delivering = True
    start_instances(context, count)


def start_instances(context: Context, count: int) -> None:
    def broadcast_from(sender: int) -> Callable[[Notice], None]:
        def broadcast(notice: Notice) -> None:
            if context.delivering:
                context.messages.append((sender, notice))
                deliver(context, sender, notice)

        return broadcast

    context.rewritten = rewritten = []

    def record_rewritten(table: str, key: str) -> None:
        rewritten.append((table, key))

    context.instances = [CrashCounts(broadcast_from(i), context.clock) for i in range(count)]
    context.keepers = [
        RefusalKeeper(instance, context.store, context.clock, record_rewritten)
        for instance in context.instances
    ]


@given("the store of refusals is unavailable")
def step_store_unavailable(context: Context) -> None:
    context.store.available = False


@when("the store of refusals becomes available")
def step_store_available(context: Context) -> None:
    context.store.available = True


@when("the instances save their refusals")
def step_save(context: Context) -> None:
    for keeper in context.keepers:
        trio.run(keeper.save_pending)


@when("the instances load their refusals")
def step_load(context: Context) -> None:
    for keeper in context.keepers:
        trio.run(keeper.load)


@when("the instances look for the refusals that they have heard of")
def step_check(context: Context) -> None:
    for keeper in context.keepers:
        trio.run(keeper.check_heard)


@when("the store of refusals loses all rows with its return from a copy")
def step_rows_lost(context: Context) -> None:
    context.store.refusals.clear()
    context.store.writes = 0
    notice_return(context)


@when("the store of refusals returns from a copy of before")
def step_copy_returns(context: Context) -> None:
    context.store.refusals.update(context.copied_refusals)
    notice_return(context)


@when("a copy of the store of refusals is made")
def step_copy_made(context: Context) -> None:
    context.copied_refusals = dict(context.store.refusals)


def notice_return(context: Context) -> None:
    for keeper in context.keepers:
        keeper.record_return()
    step_check(context)
    step_save(context)


@then("{count:d} rows were logged as written again")
def step_rewritten(context: Context, count: int) -> None:
    assert len(context.rewritten) == count, context.rewritten


@when("instance {index:d} ends for good")
def step_ends(context: Context, index: int) -> None:
    del context.instances[index], context.keepers[index]


@when("all instances end and start again")
def step_restart(context: Context) -> None:
    start_instances(context, len(context.instances))
    step_load(context)


@when('an operator releases "{name:w}" at instance {index:d}')
def step_release(context: Context, name: str, index: int) -> None:
    context.released = trio.run(context.keepers[index].release, name)


@then("the store has no refusal")
def step_no_refusal(context: Context) -> None:
    assert not context.store.refusals


@then("the store was written once")
def step_written_once(context: Context) -> None:
    assert context.store.writes == 1, context.store.writes


@when('request "{name:w}" crashes targets "{targets}" at instance {index:d}')
def step_crashes(context: Context, name: str, targets: str, index: int) -> None:
    for target in targets.split():
        context.instances[index].record_crash(make_request(name), f"{target}@1")


@when('request "{name:w}" with parts "{parts}" crashes targets "{targets}" at instance {index:d}')
def step_crashes_parts(context: Context, name: str, parts: str, targets: str, index: int) -> None:
    for target in targets.split():
        context.instances[index].record_crash(make_request(name, parts), f"{target}@1")


@when('request "{name:w}" with parts "{parts}" succeeds at instance {index:d}')
def step_succeeds_parts(context: Context, name: str, parts: str, index: int) -> None:
    context.instances[index].record_success(make_request(name, parts))


def refusals(context: Context, request: ForwardedRequest) -> list[bool]:
    return [isinstance(instance.assess(request), RefusedCause) for instance in context.instances]


@then('a new request with parts "{parts}" is refused at all instances')
def step_new_refused(context: Context, parts: str) -> None:
    found = refusals(context, make_request("new", parts))
    assert all(found), found


@then('a new request with parts "{parts}" is not refused at any instance')
def step_new_not_refused(context: Context, parts: str) -> None:
    found = refusals(context, make_request("new", parts))
    assert not any(found), found


@then('a new request with parts "{parts}" for another service is not refused at any instance')
def step_other_service(context: Context, parts: str) -> None:
    found = refusals(context, replace(make_request("new", parts), service="another"))
    assert not any(found), found


@when('request "{name:w}" succeeds at instance {index:d}')
def step_succeeds(context: Context, name: str, index: int) -> None:
    context.instances[index].record_success(make_request(name))


@when('request "{name:w}" succeeds at instance {index:d}, but its message is lost')
def step_succeeds_lost(context: Context, name: str, index: int) -> None:
    context.delivering = False
    context.instances[index].record_success(make_request(name))
    context.delivering = True


@when("all messages so far are delivered again")
def step_again(context: Context) -> None:
    for sender, notice in reversed(context.messages):
        deliver(context, sender, notice)


@when("the instances repeat their recent suspicions")
def step_repeat(context: Context) -> None:
    for sender, instance in enumerate(context.instances):
        for notice in instance.recent_suspicions():
            deliver(context, sender, notice)


@when("it crashes another target after each of {count:d} refusals")
def step_crashes_on(context: Context, count: int) -> None:
    for number in range(count):
        context.clock.advance(timedelta(hours=5))
        context.instances[0].record_crash(make_request("a"), f"later{number}@1")


@when("{seconds:d} seconds pass for all instances")
def step_pass(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))


@when("{count:d} different requests crash a target at instance {index:d}")
def step_many(context: Context, count: int, index: int) -> None:
    for number in range(count):
        context.instances[index].record_crash(make_request(f"r{number}"), "e1@1")


@then('request "{name:w}" is refused at all instances')
def step_refused(context: Context, name: str) -> None:
    assert all(isinstance(item, RefusedCause) for item in assess(context, name))


@then('request "{name:w}" is refused for {seconds:d} seconds')
def step_refused_for(context: Context, name: str, seconds: int) -> None:
    expected = timedelta(seconds=seconds)
    found = [getattr(item, "time_left", None) for item in assess(context, name)]
    assert found == [expected] * len(found), found


@then('request "{name:w}" is suspected, but not refused, at all instances')
def step_suspected(context: Context, name: str) -> None:
    found = assess(context, name)
    assert all(isinstance(item, SuspectedCause) for item in found), found


@then('request "{name:w}" is not suspected at any instance')
def step_not_suspected(context: Context, name: str) -> None:
    found = assess(context, name)
    assert all(isinstance(item, NoSuspicion) for item in found), found


@then("at most {count:d} suspicions are known")
def step_known(context: Context, count: int) -> None:
    for instance in context.instances:
        known = [item for notice in instance.suspicions() for item in notice.items]
        assert len(known) <= count, len(known)


@when(
    "{count:d} requests crash {targets:d} targets with names of {length:d} characters each "
    "at instance {index:d}"
)
def step_long_names(context: Context, count: int, targets: int, length: int, index: int) -> None:
    context.crashing = [f"request{number}" for number in range(count)]
    for name in context.crashing:
        for number in range(targets):
            target = f"{number:0{length}}@{2**53}"
            context.instances[index].record_crash(make_request(name), target)


@then("no message is larger than a datagram")
def step_fits(context: Context) -> None:
    sizes = [len(encode_notice(notice)) for _, notice in context.messages]
    for instance in context.instances:
        sizes += [len(encode_notice(notice)) for notice in instance.suspicions()]
        sizes += [len(encode_notice(notice)) for notice in instance.recent_suspicions()]
    assert max(sizes) <= MAX_DATAGRAM_BYTES, max(sizes)


@then("every message about the {count:d} requests has arrived at all instances")
def step_all_arrived(context: Context, count: int) -> None:
    assert len(context.crashing) == count
    for name in context.crashing:
        assert all(isinstance(item, RefusedCause) for item in assess(context, name)), name


@when('the log is recorded while request "{name:w}" is assessed')
def step_log_assessed(context: Context, name: str) -> None:
    with record_events() as context.records:
        assess(context, name)


@when("the log is recorded while all instances end and start again")
def step_log_restart(context: Context) -> None:
    with record_events() as context.records:
        step_restart(context)


@then('the log has the events "{names}"')
def step_logged(context: Context, names: str) -> None:
    found = [record.extra["event"] for record in context.records]
    expected = [getattr(log_events, name).number for name in names.split()]
    assert found == expected, (found, expected)


@then("the refusal in the log has {seconds:d} seconds left")
def step_logged_time(context: Context, seconds: int) -> None:
    assert context.records[-1].kwargs["refusal_s"] == seconds, context.records[-1].kwargs


@then("no cause is counted as refused at any instance")
def step_none_refused(context: Context) -> None:
    counts = [instance.counts() for instance in context.instances]
    assert all(item["refused"] == 0 for item in counts), counts
    assert all(item["suspected"] >= 0 for item in counts), counts
