"""Steps for failures with real processes."""

import time
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from dataclasses import replace

import httpcore
import msgspec
from behave import given, then, when
from behave.runner import Context
from wasabiwell_standins.caller import ChatResult, chat, make_messages
from wasabiwell_standins.demo import booking_run_counts
from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import Process, request, running_fleet

PROMPT_TOKENS = 1_000
PICKUP_SECONDS = 10.0
STREAMING_SECONDS = 0.7
"""Enough for some tokens to have been relayed."""


@given("a deployment with {count:d} proxied engines")
def step_fleet(context: Context, count: int) -> None:
    deployment = replace(EAVELINE, engines=count)
    context.fleet = context.stack.enter_context(running_fleet(deployment, proxied=True))
    context.pool = context.stack.enter_context(ThreadPoolExecutor(32))
    context.keys = list(deployment.organisations.values())
    context.streams = []


def start_stream(context: Context, index: int, tokens: int, entry: int) -> Future[ChatResult]:
    """Send a prompt in a thread of its own."""
    return context.pool.submit(
        chat,
        context.fleet.entries[entry].address,
        context.keys[index],
        context.fleet.deployment.engine_service,
        make_messages(PROMPT_TOKENS, f"prompt {index}"),
        tokens,
    )


def statistics(engine: Process) -> dict[str, object]:
    """Return an engine's statistics, bypassing its proxy."""
    return msgspec.json.decode(request("GET", engine.address, "/control").content)


def running_engine(context: Context) -> Process:
    """Return the engine that runs a request."""
    end = time.monotonic() + PICKUP_SECONDS
    while time.monotonic() < end:
        for engine in context.fleet.processes_with_role("engine"):
            if engine not in context.broken_engines and statistics(engine)["sequences"]:
                return engine
        time.sleep(0.05)
    raise AssertionError("no engine runs the request")


@when("a caller streams an answer of {tokens:d} tokens through entry {entry:d}")
def step_stream(context: Context, tokens: int, entry: int) -> None:
    context.broken_engines = []
    context.streams = [start_stream(context, 0, tokens, entry)]


@when("the engine that runs it {fails}")
def step_fail(context: Context, fails: str) -> None:
    engine = running_engine(context)
    time.sleep(STREAMING_SECONDS)
    context.broken_engines.append(engine)
    match fails:
        case "is killed":
            engine.kill()
        case "is frozen":
            engine.pause()
        case "goes silent to callers":
            context.fleet.control(context.fleet.proxy_of(engine), silent_to_client=True)
        case "has its open connections silenced":
            proxy = context.fleet.proxy_of(engine)
            context.fleet.control(proxy, silent_to_client=True)
            time.sleep(STREAMING_SECONDS)
            context.fleet.control(proxy, silent_to_client=False)
            context.broken_engines.remove(engine)
        case "goes silent to itself":
            context.fleet.control(context.fleet.proxy_of(engine), silent_to_server=True)


@then("the caller gets its own whole answer within {seconds:d} seconds")
def step_whole(context: Context, seconds: int) -> None:
    result = context.streams[0].result(seconds)
    assert not result.error, result


@when("{count:d} callers stream answers of {tokens:d} tokens through all entries")
def step_streams(context: Context, count: int, tokens: int) -> None:
    context.tokens = tokens
    context.streams = [start_stream(context, index, tokens, index % 3) for index in range(count)]
    time.sleep(STREAMING_SECONDS)


@when("a caller sends a prompt that crashes its target through every entry in turn")
def step_crash(context: Context) -> None:
    messages = msgspec.json.encode([{"role": "user", "content": "crash-this-target"}])
    service = context.fleet.deployment.engine_service
    for _ in range(2):
        for entry in context.fleet.entries:
            context.result = chat(entry.address, context.keys[9], service, messages, 16)


@then("{count:d} engines have died at most")
def step_died(context: Context, count: int) -> None:
    dead = [
        item.name
        for item in context.fleet.processes_with_role("engine")
        if item.popen.poll() is not None
    ]
    assert 1 <= len(dead) <= count, dead


@then('the last crashing prompt was refused with "{code}" and run state "{run}"')
def step_refused(context: Context, code: str, run: str) -> None:
    error = msgspec.json.decode(context.result.error)["error"]
    assert (error["code"], error["run"]) == (code, run), error


@then("all other callers get their own whole answers")
def step_all_whole(context: Context) -> None:
    wrong = [result for future in context.streams if (result := future.result(60)).error]
    assert not wrong, wrong


@when("the callers' prompts are sent again")
def step_again(context: Context) -> None:
    context.streams = [
        start_stream(context, index, context.tokens, index % 3)
        for index in range(len(context.streams))
    ]


def book(context: Context, key: str, entry: int) -> httpcore.Response:
    """Send a booking through an entry instance."""
    deployment = context.fleet.deployment
    path = f"/v1/services/{deployment.booking_service}{deployment.booking_path}"
    headers = {"authorization": f"Bearer {context.keys[0]}", "idempotency-key": key}
    return request("POST", context.fleet.entries[entry].address, path, {"crew": 1}, headers)


@given("bookings take {seconds:d} seconds")
def step_slow_bookings(context: Context, seconds: int) -> None:
    for target in context.fleet.processes_with_role("plain"):
        context.fleet.control(target, delay_s=float(seconds))


@given("the booking targets drop their next reply")
def step_drop(context: Context) -> None:
    for target in context.fleet.processes_with_role("plain"):
        context.fleet.control(target, drop_replies=1)


@given("the table service loses the next {count:d} replies")
def step_lose(context: Context, count: int) -> None:
    context.fleet.control(context.fleet.platform, lose_replies=count)


@given("the table service has an outage")
def step_outage(context: Context) -> None:
    context.fleet.control(context.fleet.platform, outage=True)


@when("the table service's outage is over")
def step_outage_over(context: Context) -> None:
    context.fleet.control(context.fleet.platform, outage=False)


@when('a caller sends booking "{key}" through entry {entry:d}, which is killed while it runs')
def step_book_and_kill(context: Context, key: str, entry: int) -> None:
    sent = context.pool.submit(book, context, key, entry)
    context.fleet.wait_until(lambda: booking_run_counts(context.fleet).get(key) == 1, "the run")
    context.fleet.entries[entry].kill()
    with suppress(httpcore.NetworkError, httpcore.ProtocolError):
        raise AssertionError(sent.result())


@when('the caller repeats booking "{key}" through entry {entry:d}')
def step_repeat(context: Context, key: str, entry: int) -> None:
    context.response = book(context, key, entry)


@then('the repeat has status {status:d} and run state "{run}"')
def step_repeat_status(context: Context, status: int, run: str) -> None:
    headers = {name.lower(): value.decode() for name, value in context.response.headers}
    found = context.response.status, headers[b"wasabiwell-run"]
    assert found == (status, run), (found, context.response.content)


@then('booking "{key}" has run {count:d} {unit}')
def step_has_run(context: Context, key: str, count: int, unit: str) -> None:
    assert booking_run_counts(context.fleet).get(key, 0) == count
