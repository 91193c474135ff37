"""Steps for failures of engines, entry instances and platform services, with real processes."""

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
START_TIMEOUT_SECONDS = 10.0
STREAM_START_SECONDS = 0.7
"""Time after which some tokens have been relayed."""


@given("a deployment with {count:d} proxied engines")
def step_fleet(context: Context, count: int) -> None:
    deployment = replace(EAVELINE, engines=count)
    context.fleet = context.stack.enter_context(running_fleet(deployment, proxied=True))
    context.pool = context.stack.enter_context(ThreadPoolExecutor(32))
    context.keys = list(deployment.organisations.values())
    context.streams = []


def start_stream(context: Context, index: int, tokens: int, entry: int) -> Future[ChatResult]:
    """Send a prompt in a thread."""
    return context.pool.submit(
        chat,
        context.fleet.entries[entry].address,
        context.keys[index],
        context.fleet.deployment.engine_service,
        make_messages(PROMPT_TOKENS, f"prompt {index}"),
        tokens,
    )


def statistics(engine: Process) -> dict[str, object]:
    """Return an engine's statistics, requested directly and not through its proxy."""
    return msgspec.json.decode(request("GET", engine.address, "/control").content)


def running_engine(context: Context) -> Process:
    """Return the engine that runs the request, without those that have failed before."""
    end = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < end:
        for engine in context.fleet.processes_with_role("engine"):
            if engine not in context.failed_engines and statistics(engine)["sequences"]:
                return engine
        time.sleep(0.05)
    raise AssertionError("no engine runs the request")


@when("a caller streams a response of {tokens:d} tokens through entry {entry:d}")
def step_stream(context: Context, tokens: int, entry: int) -> None:
    context.failed_engines = []
    context.streams = [start_stream(context, 0, tokens, entry)]


@when("the engine that runs it {fails}")
def step_fail(context: Context, fails: str) -> None:
    engine = running_engine(context)
    time.sleep(STREAM_START_SECONDS)
    context.failed_engines.append(engine)
    match fails:
        case "is killed":
            engine.kill()
        case "is frozen":
            engine.pause()
        case "stops sending data":
            context.fleet.control(context.fleet.proxy_of(engine), silent_to_client=True)
        case "stops sending data on open connections":
            proxy = context.fleet.proxy_of(engine)
            context.fleet.control(proxy, silent_to_client=True)
            time.sleep(STREAM_START_SECONDS)
            context.fleet.control(proxy, silent_to_client=False)
            context.failed_engines.remove(engine)
        case "stops receiving data":
            context.fleet.control(context.fleet.proxy_of(engine), silent_to_server=True)


@then("the caller gets the complete response to its own prompt within {seconds:d} seconds")
def step_complete_response(context: Context, seconds: int) -> None:
    result = context.streams[0].result(seconds)
    assert not result.error, result


@when("{count:d} callers stream responses of {tokens:d} tokens through all entry instances")
def step_streams(context: Context, count: int, tokens: int) -> None:
    context.tokens = tokens
    context.streams = [start_stream(context, index, tokens, index % 3) for index in range(count)]
    time.sleep(STREAM_START_SECONDS)


@when("a caller sends a prompt that crashes its target through one entry instance after the other")
def step_crashing_prompt(context: Context) -> None:
    messages = msgspec.json.encode([{"role": "user", "content": "crash-this-target"}])
    service = context.fleet.deployment.engine_service
    for _ in range(2):
        for entry in context.fleet.entries:
            context.result = chat(entry.address, context.keys[9], service, messages, 16)


@then("at most {count:d} engines have crashed")
def step_crashed_engines(context: Context, count: int) -> None:
    crashed = [
        item.name
        for item in context.fleet.processes_with_role("engine")
        if item.popen.poll() is not None
    ]
    assert 1 <= len(crashed) <= count, crashed


@then('the last crashing prompt was refused with "{code}" and run state "{run}"')
def step_refused(context: Context, code: str, run: str) -> None:
    error = msgspec.json.decode(context.result.error)["error"]
    assert (error["code"], error["run"]) == (code, run), error


@then("all other callers get the complete responses to their own prompts")
def step_all_complete(context: Context) -> None:
    failed = [result for future in context.streams if (result := future.result(60)).error]
    assert not failed, failed


@when("the callers' prompts are sent again")
def step_resend(context: Context) -> None:
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


@given("the booking targets drop their next response")
def step_drop_responses(context: Context) -> None:
    for target in context.fleet.processes_with_role("plain"):
        context.fleet.control(target, drop_replies=1)


@given("the table service loses the next {count:d} replies")
def step_lose_replies(context: Context, count: int) -> None:
    context.fleet.control(context.fleet.platform, lose_replies=count)


@given("the table service has an outage")
def step_outage(context: Context) -> None:
    context.fleet.control(context.fleet.platform, outage=True)


@when("the table service's outage is over")
def step_outage_over(context: Context) -> None:
    context.fleet.control(context.fleet.platform, outage=False)


@when('a caller sends booking "{key}" through entry {entry:d}, which is killed while it runs')
def step_book_and_kill(context: Context, key: str, entry: int) -> None:
    response = context.pool.submit(book, context, key, entry)
    context.fleet.wait_until(
        lambda: booking_run_counts(context.fleet).get(key) == 1, "the booking runs"
    )
    context.fleet.entries[entry].kill()
    with suppress(httpcore.NetworkError, httpcore.ProtocolError):
        raise AssertionError(response.result())


@when('the caller sends booking "{key}" through entry {entry:d}')
def step_send_booking(context: Context, key: str, entry: int) -> None:
    context.response = book(context, key, entry)


@then('the booking response has status {status:d} and run state "{run}"')
def step_booking_status(context: Context, status: int, run: str) -> None:
    headers = {name.lower(): value.decode() for name, value in context.response.headers}
    found = context.response.status, headers[b"wasabiwell-run"]
    assert found == (status, run), (found, context.response.content)


@then('booking "{key}" has run {count:d} {unit}')
def step_has_run(context: Context, key: str, count: int, unit: str) -> None:
    assert booking_run_counts(context.fleet).get(key, 0) == count
