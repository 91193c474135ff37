"""Steps for the load model of the targets."""

from behave import given, then, when
from behave.runner import Context
from support.forwarding import PROFILE, make_placed, make_target
from wasabiwell_entry.state.work import WorkTable

LEAD, HELPER = "e00", "e01"


def open_table(context: Context) -> None:
    context.works = WorkTable()
    context.works.update([(make_target(index), PROFILE) for index in range(2)], 0.0)


@given("an engine on which a prompt of {tokens:d} tokens was placed")
def step_placed(context: Context, tokens: int) -> None:
    open_table(context)
    context.works.add(make_placed(LEAD, tokens, "long", request_id="whole"), 0.0)
    context.seconds = PROFILE.prefill_seconds(tokens)


@given('a segment of a prompt of {tokens:d} tokens "{name}"')
def step_segment(context: Context, tokens: int, name: str) -> None:
    placed = make_placed(HELPER, tokens, "long", request_id=name, helpers=(LEAD,))
    context.works.add(placed, 0.0)


@given("a prompt of {tokens:d} tokens of which a helper keeps the KV cache of {kept:d}")
def step_kv_kept(context: Context, tokens: int, kept: int) -> None:
    open_table(context)
    placed = make_placed(
        LEAD, tokens, "long", request_id="held", helpers=(HELPER,), helper_kv_tokens=(kept,)
    )
    context.works.add(placed, 0.0)


@when("its prefill time has passed")
def step_prefill_done(context: Context) -> None:
    context.works.get(LEAD).advance(context.seconds + 0.001)


@when("events arrive {factor:d} times as slowly as usual, {count:d} of them")
def step_slow(context: Context, factor: int, count: int) -> None:
    work = context.works.get(LEAD)
    context.gap = factor * PROFILE.base_event_gap
    now = context.seconds
    for _ in range(count):
        now += context.gap
        work.observe_slowdown(context.gap, now)
    context.now = now


@when("it gets no requests for {seconds:d} seconds")
def step_idle(context: Context, seconds: int) -> None:
    context.works.get(LEAD).advance(context.now + seconds)


@then("its slowdown is over {slowdown:g}")
def step_slowdown_over(context: Context, slowdown: float) -> None:
    assert context.works.get(LEAD).slowdown > slowdown, context.works.get(LEAD).slowdown


@then("its slowdown is under {slowdown:g}")
def step_slowdown_under(context: Context, slowdown: float) -> None:
    assert context.works.get(LEAD).slowdown < slowdown, context.works.get(LEAD).slowdown


@then("its iterations are predicted to be as slow as its events")
def step_predicted(context: Context) -> None:
    work = context.works.get(LEAD)
    assert 0.8 < work.iteration_seconds(work.decoding_requests()) / context.gap < 1.2


@when('the first event of "{name}" arrives')
def step_first(context: Context, name: str) -> None:
    context.works.start_decode(name, 0.0)


@when("its first event arrives")
def step_first_held(context: Context) -> None:
    context.works.start_decode("held", 0.1)


@when("it ends")
def step_ends(context: Context) -> None:
    context.works.remove("held", 0.2)


@when("the engine is listed with another incarnation")
def step_restarted(context: Context) -> None:
    targets = [make_target(0, incarnation=2), make_target(1)]
    context.works.update([(target, PROFILE) for target in targets], 0.1)


@when("the instance that placed it reports no placed requests")
def step_retained(context: Context) -> None:
    context.works.retain("peer", frozenset(), 0.1)


@when("the model advances by {seconds:d} seconds")
def step_advances(context: Context, seconds: int) -> None:
    context.works.expire(float(seconds))


@then("no prefill is left and the request is decoding")
def step_decoding(context: Context) -> None:
    work = context.works.get(LEAD)
    assert not work.prefill_order()
    assert [item.placed.request_id for item in work.decoding_requests()] == ["whole"]


@then('the prefill order is "{names}"')
def step_order(context: Context, names: str) -> None:
    order = [item.placed.request_id for item in context.works.get(LEAD).prefill_order()]
    assert order == names.split(", "), order


@then("the helper has {tokens:d} tokens in use")
def step_tokens(context: Context, tokens: int) -> None:
    assert context.works.get(HELPER).tokens == tokens


@then("it has no request")
def step_none(context: Context) -> None:
    assert not context.works.get(LEAD).requests
