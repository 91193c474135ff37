"""Steps for operators' orders with real processes."""

import msgspec
from behave import then, when
from behave.runner import Context
from wasabiwell_standins.fleet import request


@when("an operator orders '{order}' through every entry instance")
def step_order(context: Context, order: str) -> None:
    fleet = context.fleet
    context.engine = fleet.processes_with_role("engine")[0]
    body = {"engine": context.engine.name, **msgspec.json.decode(order)}
    headers = {"authorization": f"Bearer {fleet.deployment.operator_key}"}
    context.replies = [
        request("POST", entry.address, "/admin/v1/orders", body, headers) for entry in fleet.entries
    ]


@then("every order is answered with status {status:d}")
def step_status(context: Context, status: int) -> None:
    replies = [(reply.status, reply.content) for reply in context.replies]
    assert all(item[0] == status for item in replies), replies


@then("the engine got fencing numbers {numbers}")
def step_numbers(context: Context, numbers: str) -> None:
    reply = request("GET", context.engine.address, "/control")
    orders = msgspec.json.decode(reply.content)["orders"]
    assert [str(order["fencing"]) for order in orders] == numbers.split(", "), orders


@then('the responses name "{path}"')
def step_path(context: Context, path: str) -> None:
    for reply in context.replies:
        assert path.encode() in reply.content, reply.content
