"""Steps for end-to-end requests with real processes."""

from functools import partial

import msgspec
from behave import then, when
from behave.runner import Context
from wasabiwell_standins.caller import chat, fetch_addresses, make_messages
from wasabiwell_standins.demo import booking_run_counts
from wasabiwell_standins.fleet import request

MAX_TOKENS = 24


def first_key(context: Context) -> str:
    """Return the key of the first organisation."""
    return next(iter(context.fleet.deployment.organisations.values()))


def book(context: Context, address: str, headers: dict[str, str]) -> object:
    """Send a booking to one entry instance."""
    deployment = context.fleet.deployment
    path = f"/v1/services/{deployment.booking_service}{deployment.booking_path}"
    authorization = {"authorization": f"Bearer {first_key(context)}"}
    return request("POST", address, path, {"crew": 1}, {**authorization, **headers})


@when("a caller sends a prompt of {tokens:d} tokens")
def step_prompt(context: Context, tokens: int) -> None:
    address = fetch_addresses(context.fleet.entries[0].address)[0]
    service = context.fleet.deployment.engine_service
    messages = make_messages(tokens, f"prompt of {tokens}")
    context.result = chat(address, first_key(context), service, messages, MAX_TOKENS)


@then("the caller gets the complete response to its own prompt")
def step_complete_response(context: Context) -> None:
    # `chat` sets an error unless the response is the expected completion of this prompt.
    assert not context.result.error, context.result.error


@when('a caller sends booking "{key}" through every entry instance')
def step_book(context: Context, key: str) -> None:
    send = partial(book, context, headers={"idempotency-key": key})
    context.responses = [send(entry.address) for entry in context.fleet.entries]


@then("every response has status {status:d}")
def step_statuses(context: Context, status: int) -> None:
    statuses = [response.status for response in context.responses]
    assert statuses == [status] * len(statuses), statuses


@then('booking "{key}" ran {count:d} time')
def step_booking_runs(context: Context, key: str, count: int) -> None:
    assert booking_run_counts(context.fleet).get(key, 0) == count


@when("a caller sends the completion body '{body}'")
def step_send_body(context: Context, body: str) -> None:
    headers = {"authorization": f"Bearer {first_key(context)}"}
    address = context.fleet.entries[0].address
    value = msgspec.Raw(body.encode())
    context.response = request("POST", address, "/v1/chat/completions", value, headers)


@when('a caller sends a prompt with the key "{key}"')
def step_prompt_with_key(context: Context, key: str) -> None:
    body = {"model": context.fleet.deployment.engine_service}
    body["messages"] = [{"role": "user", "content": "route to Concord?"}]
    headers = {"authorization": f"Bearer {key}"}
    address = context.fleet.entries[0].address
    context.response = request("POST", address, "/v1/chat/completions", body, headers)


@when("a caller sends a booking without Idempotency-Key")
def step_booking_without_key(context: Context) -> None:
    context.response = book(context, context.fleet.entries[0].address, {})


@then('the response has status {status:d} and run state "{run}"')
def step_status(context: Context, status: int, run: str) -> None:
    headers = {name.lower(): value for name, value in context.response.headers}
    assert context.response.status == status, context.response.content
    assert headers[b"wasabiwell-run"] == run.encode(), headers


@then('the findings name the places "{places}"')
def step_findings(context: Context, places: str) -> None:
    error = msgspec.json.decode(context.response.content)["error"]
    found = [finding["place"] for finding in error["findings"]]
    assert found == places.split(", "), found
