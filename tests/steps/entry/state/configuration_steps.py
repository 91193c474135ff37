"""Steps for the active configuration."""

import msgspec
from behave import given, then, when
from behave.runner import Context
from wasabiwell_config import Organisation, hash_key
from wasabiwell_entry.state.configuration import ConfigurationDelta, ConfigurationState


def change(name: str, keys: str) -> dict[str, bytes | None]:
    """Return the change that gives an organisation these keys."""
    hashes = tuple(hash_key(key) for key in keys.split(","))
    organisation = Organisation(name=name, key_hashes=hashes)
    return {f"organisation/{name}": msgspec.json.encode(organisation)}


@given('a configuration in which "{name}" has the keys "{keys}"')
def step_state(context: Context, name: str, keys: str) -> None:
    context.state = ConfigurationState()
    assert context.state.advance(ConfigurationDelta(1, change(name, keys))) is None


@when('version {version:d} gives "{name}" the keys "{keys}"')
def step_change(context: Context, version: int, name: str, keys: str) -> None:
    context.state.advance(ConfigurationDelta(version, change(name, keys)))


@when('version {version:d} moves "{key}" from "{old}" to "{new}"')
def step_move(context: Context, version: int, key: str, old: str, new: str) -> None:
    changes = {**change(new, key), **change(old, "other")}
    context.state.advance(ConfigurationDelta(version, changes))


@when('version {version:d} removes "{name}"')
def step_remove(context: Context, version: int, name: str) -> None:
    context.state.advance(ConfigurationDelta(version, {f"organisation/{name}": None}))


@when("a snapshot of version {version:d} with no items arrives")
def step_snapshot(context: Context, version: int) -> None:
    context.state.replace(version, {})


@then("version {version:d} is in force")
def step_version(context: Context, version: int) -> None:
    assert context.state.version == version


@then('key "{key}" belongs to "{name}"')
def step_belongs(context: Context, key: str, name: str) -> None:
    organisation = context.state.view.organisation_by_key_hash(hash_key(key))
    assert organisation is not None
    assert organisation.name == name


@then('key "{key}" belongs to no organisation')
def step_key_unknown(context: Context, key: str) -> None:
    assert context.state.view.organisation_by_key_hash(hash_key(key)) is None


@when('version {version:d} has an unreadable "{bad}" and gives "{name}" the keys "{keys}"')
def step_unreadable(context: Context, version: int, bad: str, name: str, keys: str) -> None:
    changes = {f"organisation/{bad}": b'{"weight": "a future form"}', **change(name, keys)}
    assert context.state.advance(ConfigurationDelta(version, changes)) is not None
