"""Steps for the table of the other entry instances."""

from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.state.nodes import NodeTable


def hear(context: Context, names: str) -> None:
    for name in names.split():
        node = context.node_table.put(name, 0.0)
        node.heard, node.silence_timeout = 0.0, 1.0


@given('a table that has heard "{names}"')
def step_table(context: Context, names: str) -> None:
    context.node_table = NodeTable()
    hear(context, names)


@when('"{gone}" is removed and "{name}" is heard')
def step_changed(context: Context, gone: str, name: str) -> None:
    context.node_table.remove(gone)
    hear(context, name)


@when(
    '"{patient}" may be silent for {seconds:g} seconds, the others for 1, and "{lost}" is reported '
    "as lost"
)
def step_silences(context: Context, patient: str, seconds: float, lost: str) -> None:
    context.node_table.put(patient, 0.0).silence_timeout = seconds
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
