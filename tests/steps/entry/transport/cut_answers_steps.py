"""Steps for cut answers to the clients of the product's own engines and plain services."""

from dataclasses import replace
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.answering_target import (
    Answer,
    AnsweringTarget,
    EarlyAnswer,
    frame_body,
    run_for_each_cut,
    served,
)
from support.forwarding import make_target
from wasabiwell_entry.coordination.dispatch.errors import CallInterrupted
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.outcomes import ServiceResponse
from wasabiwell_entry.state.requests import (
    Attempt,
    EndFrame,
    GenerateRequest,
    ServiceCall,
    StreamInterrupted,
    TokenFrame,
)
from wasabiwell_entry.state.targets import Target
from wasabiwell_entry.transport.target.engine import HttpEngineClient
from wasabiwell_entry.transport.target.plain import HttpPlainClient
from wasabiwell_entry.transport.target.pools import open_target_pools

SUCCESS = b"HTTP/1.1 200 OK\r\n"
BODY = [b"the ", b"whole body"]
FRAMES = [
    b'{"attempt":"a","count":1,"text":"x"}\n',
    b'{"attempt":"a","offset":1,"count":1,"text":"y"}\n',
    b'{"attempt":"a","end":true,"tokens":2}\n',
]


def answer_of(status_line: bytes, framing: str, parts: list[bytes]) -> bytes:
    lines, body = frame_body(framing, parts)
    return status_line + lines + b"\r\n" + body


@given("a plain service whose answer is sent {framing}")
def step_plain(context: Context, framing: str) -> None:
    context.framing, context.call = framing, call_plain
    context.answer = answer_of(SUCCESS, framing, BODY)


@given("an engine whose answer is sent {framing}")
def step_engine(context: Context, framing: str) -> None:
    context.call = generate
    context.answer = answer_of(SUCCESS, framing, FRAMES)


@given("an engine whose refusal is sent {framing}")
def step_refusal(context: Context, framing: str) -> None:
    context.call = generate
    context.answer = answer_of(b"HTTP/1.1 429 Full\r\n", framing, [b'{"error":"full"}'])


async def call_plain(target: Target, body: bytes = b"{}") -> object:
    now = SystemClock().monotonic()
    call = ServiceCall(
        request_id="r1",
        organisation="org",
        service="desk",
        method="POST",
        path="/",
        content_type="",
        body=body,
        fingerprint="f",
        received=now,
        deadline=now + timedelta(seconds=20),
        idempotent=False,
    )
    return await HttpPlainClient(SystemClock()).call(target, call)


async def generate(target: Target) -> object:
    request = GenerateRequest(
        request_id="r1",
        organisation="org",
        service="chat",
        messages=b"[]",
        prompt_tokens=10,
        max_tokens=10,
        fingerprint="f",
        received=timedelta(),
        deadline=timedelta(days=1_000_000),
    )
    attempt = Attempt(
        attempt_id="a",
        request=request,
        priority=0,
        resume_offset=0,
        generated="",
        reservation_id="",
        shards=(),
    )
    async with (
        open_target_pools() as pools,
        HttpEngineClient(pools, SystemClock()).generate(target, attempt) as items,
    ):
        return [item async for item in items]


@when("that answer is cut at each byte, and its connection {ends}")
def step_cut(context: Context, ends: str) -> None:
    context.end = {"closes": "close", "resets": "reset"}[ends]
    context.outcomes = {}

    async def cut(at: int) -> None:
        target = AnsweringTarget([Answer(context.answer[:at], context.end)])
        async with served(target) as address:
            outcome = await context.call(replace(make_target(0), address=address))
        assert len(target.requests) == 1, target.requests
        context.outcomes[at] = outcome

    trio.run(run_for_each_cut, context.answer, cut)
    assert len(context.outcomes) == len(context.answer) + 1


def is_uncut(context: Context, cut_at: int) -> bool:
    """Return whether a whole answer must have arrived; a reset may overtake its last bytes."""
    return cut_at == len(context.answer) and context.end == "close"


@then("every call was interrupted or has a whole answer")
def step_whole_calls(context: Context) -> None:
    for at, outcome in context.outcomes.items():
        sent = context.answer[:at].partition(b"\r\n\r\n")[2]
        acceptable = {b"".join(BODY)}
        if context.framing == "without a length" and context.end == "close" and sent:
            acceptable.add(sent)  # the end of the connection in order is the end of the body
        match outcome:
            case ServiceResponse(body=body):
                assert body in acceptable, (at, outcome)
            case CallInterrupted():
                assert not is_uncut(context, at), (at, outcome)
            case _:
                raise AssertionError((at, outcome))


@then("every stream was interrupted or has its end frame")
def step_whole_streams(context: Context) -> None:
    for at, items in context.outcomes.items():
        text = "".join(item.text for item in items if isinstance(item, TokenFrame))
        assert "xy".startswith(text), (at, items)
        match items[-1]:
            case EndFrame(tokens=tokens):
                assert (tokens, text) == (2, "xy"), (at, items)
                assert FRAMES[-1] in context.answer[:at], (at, items)
            case StreamInterrupted(refused=refused):
                assert not refused, (at, items)
                assert not is_uncut(context, at), (at, items)
            case _:
                raise AssertionError((at, items))


@then("only whole refusals count")
def step_whole_refusals(context: Context) -> None:
    for at, items in context.outcomes.items():
        (item,) = items
        assert isinstance(item, StreamInterrupted), (at, item)
        assert not item.refused or at == len(context.answer), (at, item)
        assert item.refused or not is_uncut(context, at), (at, item)


SINGLE_ANSWERS = {
    "a length beside whole chunks": SUCCESS
    + b"Content-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n"
    + frame_body("in chunks", BODY)[1],
    "a length of 0": SUCCESS + b"Content-Length: 0\r\n\r\n",
    "empty chunks": SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a 204 without a length": b"HTTP/1.1 204 No Content\r\n\r\n",
    "status 600": b"HTTP/1.1 600 Status\r\nContent-Length: 0\r\n\r\n",
    "status 700": b"HTTP/1.1 700 Status\r\nContent-Length: 0\r\n\r\n",
    "status 999": b"HTTP/1.1 999 Status\r\nContent-Length: 0\r\n\r\n",
    "status 000": b"HTTP/1.1 000 Status\r\nContent-Length: 0\r\n\r\n",
    "status 099": b"HTTP/1.1 099 Status\r\nContent-Length: 0\r\n\r\n",
    "status 101": b"HTTP/1.1 101 Status\r\nContent-Length: 0\r\n\r\n",
    "status 199": b"HTTP/1.1 199 Status\r\nContent-Length: 0\r\n\r\n",
    "status 599": b"HTTP/1.1 599 Status\r\nContent-Length: 0\r\n\r\n",
    "a 204 with a body": b"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
    "a 304 with a body": b"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\nabc",
    "a 500 without a length": b"HTTP/1.1 500 Error\r\n\r\n",
}


@given("a plain service that answers {answer}")
def step_single_answer(context: Context, answer: str) -> None:
    context.answer = SINGLE_ANSWERS[answer]


@when("a call is sent to it")
def step_single_call(context: Context) -> None:
    async def run() -> object:
        async with served(AnsweringTarget([Answer(context.answer)])) as address:
            return await call_plain(replace(make_target(0), address=address))

    context.outcome = trio.run(run)


@then("the call was interrupted")
def step_interrupted(context: Context) -> None:
    assert isinstance(context.outcome, CallInterrupted), context.outcome


@then("the call got an empty body")
def step_empty_body(context: Context) -> None:
    assert isinstance(context.outcome, ServiceResponse), context.outcome
    assert context.outcome.body == b"", context.outcome


@given("a plain service which answers early {framing}, and then, {pause:d} ms later, does {end}")
def step_early_plain(context: Context, framing: str, pause: int, end: str) -> None:
    parts = BODY[:1] if framing == "without a length" else BODY
    context.early = EarlyAnswer(answer_of(SUCCESS, framing, parts), end, pause / 1000)


@when("a call with an upload is sent to it")
def step_upload_call(context: Context) -> None:
    async def run() -> object:
        async with served(AnsweringTarget([context.early])) as address:
            target = replace(make_target(0), address=address)
            return await call_plain(target, bytes(6 * 2**20))

    context.outcome = trio.run(run)


@then("the call got the whole body")
def step_whole_body(context: Context) -> None:
    assert isinstance(context.outcome, ServiceResponse), context.outcome
    assert context.outcome.body == b"".join(BODY), context.outcome


@then("the call got what was sent in order")
def step_part_in_order(context: Context) -> None:
    assert isinstance(context.outcome, ServiceResponse), context.outcome
    assert context.outcome.body == BODY[0], context.outcome
