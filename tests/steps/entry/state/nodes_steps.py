"""Steps for the table of the other entry instances."""

from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.state.nodes import NodeTable


def record_message(context: Context, names: str) -> None:
    for name in names.split():
        node = context.node_table.put(name, 0.0)
        node.heard, node.silence_timeout = 0.0, 1.0


@given('a table with messages from "{names}"')
def step_table(context: Context, names: str) -> None:
    context.node_table = NodeTable()
    record_message(context, names)


@when('"{removed}" is removed and a message from "{name}" arrives')
def step_changed(context: Context, removed: str, name: str) -> None:
    context.node_table.remove(removed)
    record_message(context, name)


@when(
    '"{name}" has a silence timeout of {seconds:g} seconds, the others of 1, and "{lost}" is '
    "reported as lost"
)
def step_timeouts(context: Context, name: str, seconds: float, lost: str) -> None:
    context.node_table.put(name, 0.0).silence_timeout = seconds
    context.node_table.put(lost, 0.0).lost = True


@then('it returns "{names}"')
def step_returns(context: Context, names: str) -> None:
    returned = context.node_table.reachable(0.0)
    assert [node.address for node in returned] == names.split()
    assert context.node_table.heard() == returned


@then('{seconds:g} seconds later it returns "{names}"')
def step_returns_later(context: Context, seconds: float, names: str) -> None:
    returned = [node.address for node in context.node_table.reachable(seconds)]
    assert returned == names.split(), returned
