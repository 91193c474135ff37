"""Steps for request placement."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta

from behave import given, then, when
from behave.runner import Context
from support.forwarding import (
    PROFILE,
    ZONE,
    PlacementFixture,
    make_forwarded,
    make_placed,
    make_route,
)
from wasabiwell_entry.coordination.placement import coordinator
from wasabiwell_entry.coordination.placement.const import MAX_COMPARED_TARGETS
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.state.targets import TargetAdvice
from wasabiwell_entry.state.work import PlacedRequest


@given("{count:d} engines")
def step_engines(context: Context, count: int) -> None:
    context.engines = PlacementFixture(count, ManualClock())
    context.placements = []


@given("{count:d} plain targets")
def step_plain(context: Context, count: int) -> None:
    context.engines = PlacementFixture(count, ManualClock(), profile=None)
    context.placements = []


def add_placed(context: Context, placed: PlacedRequest) -> None:
    context.engines.works.add(placed, context.engines.now)


@given('a prompt of {tokens:d} tokens is in prefill on "{target_id}"')
def step_prefill(context: Context, tokens: int, target_id: str) -> None:
    add_placed(context, make_placed(target_id, tokens, "long"))


@given('a prompt of {tokens:d} tokens is decoding on "{target_id}"')
def step_decoding_long(context: Context, tokens: int, target_id: str) -> None:
    add_placed(context, make_placed(target_id, tokens, "long", decoding=True))


@given(
    'a prompt of {tokens:d} tokens, due {due:g} s later, is in prefill on "{lead}" and "{helper}"'
)
def step_due(context: Context, tokens: int, due: float, lead: str, helper: str) -> None:
    finish = PROFILE.prefill_seconds(tokens) / 2
    placed = make_placed(lead, tokens, "long", helpers=(helper,), due=finish + due)
    add_placed(context, replace(placed, placed_at=-1.0))


@given('{count:d} short requests are decoding on "{target_id}"')
def step_decoding(context: Context, count: int, target_id: str) -> None:
    for number in range(count):
        add_placed(
            context, make_placed(target_id, 5_000, request_id=f"{target_id}{number}", decoding=True)
        )


@given('zones that serve their own requests, with "{one}" and "{other}" in the local zone')
def step_local_zones(context: Context, one: str, other: str) -> None:
    engines = context.engines
    engines.zone_locality.enabled = True
    engines.targets = [
        replace(target, zone=ZONE if target.target_id in (one, other) else "z1")
        for target in engines.targets
    ]
    engines.apply_target_list()


@given('a call was placed on "{target_id}"')
def step_call_placed(context: Context, target_id: str) -> None:
    placed = make_placed(target_id, 1, "call")
    add_placed(context, replace(placed, size=None))


@given('"{target_id}" is leaving')
def step_leaving(context: Context, target_id: str) -> None:
    context.engines.apply_target_list(leaving=target_id)


@given('"{target_id}" was lost')
def step_lost(context: Context, target_id: str) -> None:
    context.engines.health.record_attempt(target_id, AttemptVerdict.LOST)


@given('"{target_id}" failed {count:d} requests')
def step_failed(context: Context, target_id: str, count: int) -> None:
    for _ in range(count):
        context.engines.health.record_attempt(target_id, AttemptVerdict.FAILED)


def place(context: Context, size: str, tokens: int, **options: object) -> None:
    """Place a request and add it to the work table, as the ledger does."""
    engines, number = context.engines, len(context.placements)
    kind = RouteKind.STREAM if size != "call" else RouteKind.IDEMPOTENT
    request = make_forwarded(make_route(kind, size), tokens, f"r{number}")
    excluded = options.pop("excluded", frozenset())
    placement = engines.placer.place(request, excluded, **options)
    context.placements.append(placement)
    if isinstance(placement, Placement):
        helpers = tuple(helper.target.target_id for helper in placement.helpers)
        target_id = placement.target.target_id
        add_placed(
            context,
            make_placed(target_id, tokens, size, request_id=f"r{number}", helpers=helpers),
        )


@when("{rate:d} short requests a second have arrived for 2 seconds and have ended")
def step_rate(context: Context, rate: int) -> None:
    works, now = context.engines.works, context.engines.now
    for number in range(rate * 2):
        works.add(make_placed("e00", 5_000, request_id=f"past{number}"), now)
        works.remove(f"past{number}", now)


@then("it is split over {count:d} engines at most")
def step_split_at_most(context: Context, count: int) -> None:
    assert 1 < len(engines_of(context)) <= count, engines_of(context)


@when("{count:d} short request is placed")
@when("{count:d} short requests are placed")
def step_place_short(context: Context, count: int) -> None:
    for _ in range(count):
        place(context, "short", 1_000)


@when('a short request that failed on "{target_id}" is placed')
def step_place_excluded(context: Context, target_id: str) -> None:
    place(context, "short", 1_000, excluded=frozenset({target_id}))


@when("a suspected short request is placed")
def step_place_suspected(context: Context) -> None:
    place(context, "short", 1_000, suspected=True)


@when("{count:d} different suspected short requests are placed at the same time")
def step_place_suspects(context: Context, count: int) -> None:
    engines = context.engines
    for number in range(count):
        request = make_forwarded(make_route(RouteKind.STREAM), 1_000, f"suspect{number}")
        context.placements.append(engines.placer.place(request, frozenset(), suspected=True))


@then('they are on {count:d} engines at least, without "{target_id}"')
def step_apart(context: Context, count: int, target_id: str) -> None:
    used = {placement.target.target_id for placement in context.placements}
    assert len(used) >= count, used
    assert target_id not in used, used


@when("a suspected call is placed")
def step_place_suspected_call(context: Context) -> None:
    place(context, "call", 0, suspected=True)


@when("a suspected long prompt of {tokens:d} tokens is placed")
def step_place_suspected_long(context: Context, tokens: int) -> None:
    context.tokens = tokens
    place(context, "long", tokens, suspected=True)


@when("a {size} prompt of {tokens:d} tokens is placed")
def step_place_size(context: Context, size: str, tokens: int) -> None:
    context.tokens = tokens
    place(context, size, tokens)


@when("a call is placed")
def step_place_call(context: Context) -> None:
    place(context, "call", 0)


def engines_of(context: Context) -> list[str]:
    placement = context.placements[-1]
    return [placement.target.target_id, *(item.target.target_id for item in placement.helpers)]


@then("they are on {count:d} engine")
def step_on(context: Context, count: int) -> None:
    assert len({item.target.target_id for item in context.placements}) == count


@then("no engine has more than {count:d} requests")
def step_at_most(context: Context, count: int) -> None:
    occupied = {work.target.target_id: work.occupied_slots for work in context.engines.works}
    assert max(occupied.values()) <= count, occupied


@then('the last request is on "{target_id}"')
@then('its lead is "{target_id}"')
def step_lead(context: Context, target_id: str) -> None:
    assert engines_of(context)[0] == target_id, engines_of(context)


@then("it is split over at least {count:d} engines")
def step_split(context: Context, count: int) -> None:
    assert len(engines_of(context)) >= count, engines_of(context)


@then('"{target_id}" is not used')
def step_not_used(context: Context, target_id: str) -> None:
    assert target_id not in engines_of(context), engines_of(context)


@then("no prefill segment takes longer than {milliseconds:d} ms")
def step_segment(context: Context, milliseconds: int) -> None:
    segment = PROFILE.prefill_seconds(context.tokens) / len(engines_of(context))
    assert segment <= milliseconds / 1000, segment


@then("no engine keeps the KV cache of more than {tokens:d} tokens")
def step_keeps(context: Context, tokens: int) -> None:
    kept = [item.kv_tokens for item in context.placements[-1].helpers]
    assert max([*kept, context.tokens - sum(kept)]) <= tokens, kept


@then("all {tokens:d} tokens are kept in KV caches")
def step_kept(context: Context, tokens: int) -> None:
    kept = [item.kv_tokens for item in context.placements[-1].helpers]
    lead = tokens - sum(kept)
    assert 0 < lead <= PROFILE.memory_tokens, (lead, kept)
    assert sum(kept) > 0


@then("no target was chosen")
def step_no_target(context: Context) -> None:
    assert isinstance(context.placements[-1], NoPlacement)


@then("at most {count:d} engines were compared")
def step_compared(context: Context, count: int) -> None:
    works = context.engines.works.of_service("ice-advisor")
    assert len(works) > count >= MAX_COMPARED_TARGETS
    assert len(coordinator._comparison_window(works, "r0")) <= count


def advise(context: Context, target_id: str, advice: TargetAdvice) -> None:
    work = context.engines.works.get(target_id)
    context.engines.health.record_advice(work.target, advice)


@given('"{target_id}" has announced its departure')
def step_announced(context: Context, target_id: str) -> None:
    advise(context, target_id, TargetAdvice(leaving=True))


@given('"{target_id}" has asked for a pause of {seconds:d} seconds')
def step_asked_pause(context: Context, target_id: str, seconds: int) -> None:
    advise(context, target_id, TargetAdvice(pause=timedelta(seconds=seconds)))


@when("{count:d} calls are placed")
def step_place_calls(context: Context, count: int) -> None:
    for _ in range(count):
        place(context, "call", 0)


@then("the callers are asked to return after {first:g} to {last:g} seconds, not all at once")
def step_return(context: Context, first: float, last: float) -> None:
    times = [item.retry_after.total_seconds() for item in context.placements]
    assert first <= min(times) <= max(times) <= last, times
    assert len(set(times)) > len(times) / 2, times


@when("{count:d} calls are placed and answered in each half second for {seconds:d} seconds")
def step_place_half_seconds(context: Context, count: int, seconds: int) -> None:
    context.calls_by_target = []
    for _ in range(2 * seconds):
        counts: Counter[str] = Counter()
        for _ in range(count):
            place(context, "call", 0)
            placed = context.placements[-1]
            counts[placed.target.target_id] += 1
            context.engines.works.remove(f"r{len(context.placements) - 1}", context.engines.now)
        context.calls_by_target.append(counts)
        context.engines.clock.advance(timedelta(milliseconds=500))


@then(
    '"{target_id}" got 0 calls in the first {seconds:d} seconds, and then more in each half second'
)
def step_ramp(context: Context, target_id: str, seconds: int) -> None:
    counts = [counted[target_id] for counted in context.calls_by_target]
    pause, ramp = counts[: 2 * seconds], counts[2 * seconds : 4 * seconds]
    assert not any(pause), counts
    assert ramp == sorted(ramp), counts
    assert ramp[-1] > 0, counts


@then('"{target_id}" never got more than {most:d} of {count:d} calls')
def step_never_more(context: Context, target_id: str, most: int, count: int) -> None:
    for counted in context.calls_by_target:
        assert sum(counted.values()) == count
        assert counted[target_id] <= most, context.calls_by_target


@given(
    '{count:d} prompts of {tokens:d} tokens are in prefill on "{lead}" with the helper "{helper}"'
)
def step_helped(context: Context, count: int, tokens: int, lead: str, helper: str) -> None:
    for number in range(count):
        placed = make_placed(
            lead, tokens, "long", request_id=f"helped{number}", helpers=(helper,), due=60.0
        )
        add_placed(context, placed)


@given('{tokens:d} tokens of other prompts are kept on all engines but "{target_id}"')
def step_kept_memory(context: Context, tokens: int, target_id: str) -> None:
    for target in context.engines.targets:
        if target.target_id == target_id:
            continue
        placed = make_placed(
            "an engine of another zone",
            2 * tokens,
            "long",
            request_id=f"kept on {target.target_id}",
            helpers=(target.target_id,),
            helper_kv_tokens=(tokens,),
            decoding=True,
        )
        add_placed(context, placed)


@then('"{target_id}" is used')
def step_used(context: Context, target_id: str) -> None:
    placement = context.placements[-1]
    used = [placement.target.target_id, *(item.target.target_id for item in placement.helpers)]
    assert target_id in used, used


@then("no helper keeps a part of it")
def step_none_keeps(context: Context) -> None:
    kept = [item.kv_tokens for item in context.placements[-1].helpers]
    assert not any(kept), kept


@then("other engines help to prefill it")
def step_helped_by(context: Context) -> None:
    assert context.placements[-1].helpers
