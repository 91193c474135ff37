"""Steps for whole, cut and malformed answers of targets."""

import re
from dataclasses import dataclass
from functools import partial

import trio
from behave import given, then, when
from behave.runner import Context
from support.answering_target import (
    Answer,
    AnsweredCall,
    EarlyAnswer,
    call_target,
    call_target_twice,
    frame_body,
    run_for_each_cut,
)
from support.forwarding import make_route
from wasabiwell_entry.state.forwarding import Forwarded
from wasabiwell_entry.state.outcomes import Failed, RunState
from wasabiwell_entry.state.routes import Route, RouteKind

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
IDENTITY = b"Wasabiwell-Request-Id: r1\r\nWasabiwell-Response-Signature: s\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
JSON = b"Content-Type: application/json\r\n"
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
BODY = b"the whole body"
ROUTES = {
    "booking": make_route(RouteKind.AT_MOST_ONCE, "call"),
    "idempotent request": make_route(RouteKind.IDEMPOTENT, "call"),
    "single stream": make_route(RouteKind.STREAM, resumable=False),
    "resumable stream": make_route(RouteKind.STREAM, attempts=3),
}


@dataclass(frozen=True, slots=True)
class CutCall:
    """A call whose first answer was cut after `cut_at` bytes, and the bodies that are whole."""

    cut_at: int
    acceptable: set[bytes]
    call: AnsweredCall


def success(framing: str, parts: list[bytes], headers: bytes = EVENT_STREAM) -> bytes:
    lines, body = frame_body(framing, parts)
    return STATUS_LINE + IDENTITY + headers + lines + b"\r\n" + body


@given("a whole answer {framing} to a {request}")
def step_whole_answer(context: Context, framing: str, request: str) -> None:
    streaming = request.endswith("stream")
    context.route = ROUTES[request]
    context.framing = framing
    context.parts = EVENTS[:3] if streaming else [BODY[:5], BODY[5:]]
    context.answer = success(framing, context.parts, EVENT_STREAM if streaming else b"")


def continuation(parts: list[bytes], request_head: bytes) -> bytes:
    """Return the answer of a second target, which goes on after the last received event."""
    received = re.search(rb"Last-Event-Id: (\d+)", request_head)
    headers = EVENT_STREAM if parts[0] in EVENTS else b""
    return success("in chunks", parts[int(received[1]) if received else 0 :], headers)


@when("it is cut at each byte, and the connection {ends}")
def step_cut(context: Context, ends: str) -> None:
    answer: bytes = context.answer
    end = {"closes": "close", "resets": "reset"}[ends]
    context.end = end
    calls: list[CutCall] = []

    async def cut(at: int) -> None:
        sent = answer[:at].partition(b"\r\n\r\n")[2]
        acceptable = {b"".join(context.parts)}
        if context.framing == "without a length" and end == "close" and sent:
            acceptable.add(sent)  # the end of the connection in order is the end of the body
        answers = [Answer(answer[:at], end), Answer(partial(continuation, context.parts))]
        calls.append(CutCall(at, acceptable, await call_target(context.route, answers)))

    trio.run(run_for_each_cut, answer, cut)
    assert len(calls) == len(answer) + 1, len(calls)
    context.cut_calls = calls
    context.calls = [item.call for item in calls]


@then("no caller got a part of an answer as a whole one")
def step_no_part_as_whole(context: Context) -> None:
    whole_body = b"".join(context.parts)
    for item in context.cut_calls:
        sink = item.call.sink
        assert sink.heads <= 1, item
        assert whole_body.startswith(sink.data), item
        if sink.finished:
            assert sink.data in item.acceptable, item
            if context.route.kind is RouteKind.STREAM:
                assert sink.data.endswith(b"\n\n"), item
        elif context.route.kind is not RouteKind.STREAM:
            assert sink.heads == 0, item
        assert isinstance(item.call.outcome, Forwarded) == sink.finished, item
        # A reset may overtake the last bytes of a whole answer.
        uncut = item.cut_at == len(context.answer) and context.end == "close"
        assert item.call.sink.finished or not uncut, item


@then("each ran once, and is not reported as not run")
def step_ran_once(context: Context) -> None:
    for call in context.calls:
        assert len(call.requests) == 1, call
        match call.outcome:
            case Forwarded():
                assert call.sink.finished, call
            case Failed(run=state):
                assert state is RunState.UNKNOWN, call
                assert not call.sink.finished, call
            case _:
                raise AssertionError(call)


@then("each got a whole answer in the end")
def step_whole_in_the_end(context: Context) -> None:
    for item in context.cut_calls:
        assert item.call.sink.finished, item
        assert item.call.sink.data == b"".join(context.parts), item
        assert len(item.call.requests) <= 2, item


def failure(status: int, signed: bool = True, headers: bytes = JSON) -> bytes:
    identity = IDENTITY if signed else b"Wasabiwell-Request-Id: r1\r\n"
    text = b'{"error": "failed"}\n\n'
    lines, body = frame_body("with a length", [text])
    return b"HTTP/1.1 %d Status\r\n" % status + identity + headers + lines + b"\r\n" + body


REFUSAL = b"Wasabiwell-Request-Id: r1\r\nWasabiwell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
REST = EVENTS[2:3]
FURTHER_ANSWERS = {
    "a signed 400": failure(400),
    "an unsigned 404": failure(404, signed=False),
    "a signed 404": failure(404),
    "a signed 409": failure(409),
    "a signed 429": failure(429),
    "a signed 500": failure(500),
    "an unsigned 500": failure(500, signed=False),
    "a signed 503": failure(503),
    "a signed 504": failure(504, headers=EVENT_STREAM),
    "a signed 301": failure(301),
    "a refusal": b"HTTP/1.1 503 Full\r\n" + REFUSAL,
    "a refusal of another instance": b"HTTP/1.1 421 Misdirected\r\n" + REFUSAL,
    "nothing": b"",
    "a head without its end": STATUS_LINE + IDENTITY + EVENT_STREAM,
    "a stream without events that breaks off": success("in chunks", [REST[0][:-1]])[:-5],
    "an error text after the head of a stream": success("in chunks", [b'{"error": "failed"}']),
    "a whole error after the head of a stream": success("without a length", [failure(500)]),
    "a second head before event 3": success(
        "without a length", [success("without a length", REST)]
    ),
    "a signed 500 that breaks off": failure(500)[:-4],
    "a stream whose length is too large": success("with a length", [REST[0][:-1], b"x" * 99])[:-99],
    "a stream whose length is too small": STATUS_LINE
    + IDENTITY
    + EVENT_STREAM
    + b"Content-Length: 7\r\n\r\n"
    + REST[0],
    "a stream with a content encoding": success(
        "in chunks", REST, EVENT_STREAM + b"Content-Encoding: gzip\r\n"
    ),
    "a stream without a signature": success("in chunks", REST).replace(
        b"Wasabiwell-Response-Signature: s\r\n", b""
    ),
    "a stream of another request": success("in chunks", REST).replace(b"r1", b"r2"),
    "a stream from event 1 on": success("in chunks", EVENTS[:3]),
    "a stream from event 4 on": success("in chunks", EVENTS[3:]),
    "a stream whose first event has no id": success(
        "in chunks", [b"event: error\ndata: failed\n\n", *REST]
    ),
    "a JSON document": success("with a length", [b'{"a": 1}'], JSON),
    "a JSON document with empty lines": success("with a length", [b'{"a": 1}\n\n'], JSON),
    "a text of empty lines": success(
        "with a length", [b"\n\n\n\n"], b"Content-Type: text/plain\r\n"
    ),
    "an empty JSON document": success("with a length", [b""], JSON),
    "a success without a body": success("with a length", [b""], b""),
    "a 204": b"HTTP/1.1 204 No Content\r\n" + IDENTITY + EVENT_STREAM + b"\r\n",
}


@given("a resumable stream that breaks off after event 2 of 3")
def step_broken_stream(context: Context) -> None:
    context.route = ROUTES["resumable stream"]
    whole = success("in chunks", EVENTS[:3])
    context.first_answer = Answer(whole[: whole.index(EVENTS[2]) + 4])


@when("each further target answers with {answer}")
def step_further_targets(context: Context, answer: str) -> None:
    answers = [context.first_answer, Answer(FURTHER_ANSWERS[answer])]
    context.call = trio.run(call_target, context.route, answers)


@then("the caller has received events 1 to 2 and no end of the stream")
def step_broken(context: Context) -> None:
    call = context.call
    assert len(call.requests) > 1, call
    assert (call.sink.heads, call.sink.finished) == (1, False), call
    assert call.sink.data == b"".join(EVENTS[:2]), call
    assert isinstance(call.outcome, Failed), call


def contradicting(headers: bytes, body: bytes = BODY) -> bytes:
    return STATUS_LINE + IDENTITY + headers + b"\r\n" + body


CHUNKED = b"Transfer-Encoding: chunked\r\n"
CONTRADICTIONS = {
    "with two lengths": contradicting(b"Content-Length: 14\r\nContent-Length: 3\r\n"),
    "with a list of two lengths": contradicting(b"Content-Length: 14, 3\r\n"),
    "with a negative length": contradicting(b"Content-Length: -3\r\n"),
    "with a length that is no number": contradicting(b"Content-Length: 0x3\r\n"),
    "with a length and no body": contradicting(b"Content-Length: 14\r\n", b""),
    "with a larger length beside whole chunks": contradicting(
        b"Content-Length: 99\r\n" + CHUNKED, frame_body("in chunks", EVENTS[:1])[1]
    ),
    "with a length beside an unchunked body": contradicting(b"Content-Length: 14\r\n" + CHUNKED),
    "with a chunk size that is cut": contradicting(CHUNKED, b"e\r\n" + BODY + b"\r\n1"),
    "with a chunk size that is no number": contradicting(CHUNKED, b"z\r\n" + BODY),
    "with a chunk size without end": contradicting(CHUNKED, b"0" * 65_536),
    "with an unknown transfer encoding": contradicting(b"Transfer-Encoding: gzip, chunked\r\n"),
    "with a head of 1 MiB": contradicting(b"X: %s\r\nContent-Length: 14\r\n" % (b"x" * 2**20)),
    "with a head line without a name": contradicting(b": x\r\nContent-Length: 14\r\n"),
    "with an interim response only": b"HTTP/1.1 103 Early Hints\r\n" + IDENTITY + b"\r\n",
    "with a switch of protocols": b"HTTP/1.1 101 Switching\r\n"
    + IDENTITY
    + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
    + contradicting(b"Content-Length: 14\r\n"),
    "with no status": b"HTTP/1.1 OK\r\n" + IDENTITY + b"Content-Length: 0\r\n\r\n",
}


@given("an answering target that answers {answer}")
def step_contradicting_target(context: Context, answer: str) -> None:
    context.answers = [Answer(CONTRADICTIONS[answer])]


@when("a {request} is sent to the answering target")
def step_send(context: Context, request: str) -> None:
    route: Route = ROUTES[request]
    context.call = trio.run(call_target, route, context.answers)
    context.calls = [context.call]


@then("the caller has received no whole success")
def step_no_whole_success(context: Context) -> None:
    call = context.call
    assert not call.sink.finished, call
    assert not isinstance(call.outcome, Forwarded), call


def answer_to(request_id: bytes, framing: str = "with a length") -> bytes:
    text = success(framing, [b"body of " + request_id], JSON)
    return text.replace(b"Request-Id: r1", b"Request-Id: " + request_id)


FIRST, SECOND = answer_to(b"r1"), answer_to(b"r2")
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n" + IDENTITY + b"\r\n"
EMPTY = success("with a length", [b""], JSON)
HEAD_ONLY = FIRST[: FIRST.index(b"\r\n\r\n") + 4]
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
COPIES = {
    "twice at once": [Answer(FIRST + FIRST, "keep"), Answer(SECOND)],
    "twice, the second time late": [Answer(FIRST, "keep", late=FIRST), Answer(SECOND)],
    "again on the next connection": [
        Answer(FIRST),
        Answer(SECOND, early=FIRST),
        Answer(SECOND),
    ],
    "again behind the next answer": [Answer(FIRST), Answer(SECOND + FIRST, "keep")],
    "twice after an interim response": [Answer(INTERIM + FIRST + FIRST, "keep"), Answer(SECOND)],
    "after the answer with no content": [Answer(NO_CONTENT + FIRST, "keep"), Answer(SECOND)],
    "late after the answer with no content": [
        Answer(NO_CONTENT, "keep", late=FIRST),
        Answer(SECOND),
    ],
    "after an empty body with a length": [Answer(EMPTY, "keep", late=FIRST), Answer(SECOND)],
    "between the head and its chunks": [
        Answer(answer_to(b"r1", "in chunks").replace(b"\r\n\r\n", b"\r\n\r\n" + FIRST, 1)),
        Answer(SECOND),
    ],
    "between the head and its events": [
        Answer(success("without a length", [success("without a length", EVENTS[:1])])),
        Answer(success("in chunks", EVENTS[:2]).replace(b"r1", b"r2")),
    ],
    "after a head without a body": [Answer(HEAD_ONLY, "keep", late=FIRST), Answer(SECOND)],
}


@given("an answering target that sends its first answer {copy}")
def step_copying_target(context: Context, copy: str) -> None:
    context.answers = COPIES[copy]


@when("two {method} calls, {request}s, are sent to it one after the other")
def step_two_calls(context: Context, method: str, request: str) -> None:
    context.calls = trio.run(call_target_twice, ROUTES[request], context.answers, method)


@then("the first caller has received status {status:d} and the body {body}")
def step_first_answer(context: Context, status: int, body: str) -> None:
    sink = context.calls[0].sink
    expected = b"" if body == "of no bytes" else body.encode()
    assert (sink.status, sink.data, sink.finished) == (status, expected, True), sink


@then("the first caller has received no whole success")
def step_first_failed(context: Context) -> None:
    assert not context.calls[0].sink.finished, context.calls[0]


@then("the second caller has received {received}")
def step_second_answer(context: Context, received: str) -> None:
    call = context.calls[1]
    match received:
        case "nothing, as its booking may have run":
            assert isinstance(call.outcome, Failed), call
            assert call.outcome.run is RunState.UNKNOWN, call
            assert (call.sink.heads, len(call.requests)) == (0, 1), call
        case "its own answer":
            assert (call.sink.data, call.sink.finished) == (b"body of r2", True), call
        case "its own events":
            assert (call.sink.data, call.sink.finished) == (b"".join(EVENTS[:2]), True), call
        case "its own head":
            result = (call.sink.status, call.sink.data, call.sink.finished)
            assert result == (200, b"", True), call
        case _:
            raise AssertionError(received)


UPLOAD = bytes(range(256)) * (6 * 2**20 // 256)
"""A body that exceeds the buffers of a connection, so that its writes wait for the target."""


def early_part(framing: str, streaming: bool) -> bytes:
    """Return an answer, or its first part if nothing but the connection ends it."""
    parts = EVENTS[:3] if streaming else [BODY[:5], BODY[5:]]
    if framing == "without a length":
        parts = parts[:1]
    return success(framing, parts, EVENT_STREAM if streaming else JSON)


@given("a target that answers early {framing}, and then, {pause:d} ms later, does {end}")
def step_early_target(context: Context, framing: str, pause: int, end: str) -> None:
    context.early = (framing, end, pause / 1000)


@given("a target that refuses a request early, and then, {pause:d} ms later, does {end}")
def step_early_refusal(context: Context, pause: int, end: str) -> None:
    context.early = (b"HTTP/1.1 503 Full\r\n" + REFUSAL, end, pause / 1000)


@when("a {request} with an upload is sent to it, and another target answers in full")
def step_upload(context: Context, request: str) -> None:
    streaming = request.endswith("stream")
    answer, end, pause = context.early
    data = answer if isinstance(answer, bytes) else early_part(answer, streaming)
    context.parts = EVENTS[:3] if streaming else [BODY]
    answers = [EarlyAnswer(data, end, pause), Answer(partial(continuation, context.parts))]
    context.call = trio.run(call_target, ROUTES[request], answers, "POST", UPLOAD)
    context.calls = [context.call]


@then("the caller has received the whole answer of {count:d} target")
@then("the caller has received the whole answer of {count:d} targets")
def step_whole_of_targets(context: Context, count: int) -> None:
    call = context.call
    assert (call.sink.finished, call.sink.data) == (True, b"".join(context.parts)), call.sink
    assert len(call.requests) == count, call.requests


@then("the caller has received what the target sent as its whole answer")
def step_ended_in_order(context: Context) -> None:
    call = context.call
    assert (call.sink.finished, call.sink.data) == (True, BODY[:5]), call.sink
    assert len(call.requests) == 1, call.requests


@then("the target has received the upload and nothing else")
def step_upload_received(context: Context) -> None:
    (received,) = context.call.read_on
    assert received == UPLOAD, (len(received), received[-64:])


@given("a target that answers with status {status}, {signed}")
def step_status(context: Context, status: str, signed: str) -> None:
    answer = failure(599, signed=signed == "signed").replace(b" 599 ", b" %s " % status.encode())
    context.first_answer = Answer(answer)


@when("a {request} is sent to it, and another target answers in full")
def step_send_with_second(context: Context, request: str) -> None:
    context.parts = EVENTS[:3] if request.endswith("stream") else [BODY]
    answers = [context.first_answer, Answer(partial(continuation, context.parts))]
    context.call = trio.run(call_target, ROUTES[request], answers)
    context.calls = [context.call]


@then("the caller has received status {status:d} of 1 target")
def step_received_status(context: Context, status: int) -> None:
    sink = context.call.sink
    assert (sink.status, sink.finished) == (status, True), sink
    assert len(context.call.requests) == 1, context.call
