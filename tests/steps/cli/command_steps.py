"""Steps for the operator command against fake entry instances."""

import subprocess
import sys

from behave import given, then, when
from behave.runner import Context
from support.fake_entry import Store, running_entry
from wasabiwell_standins.fleet import free_ports


def run_command(context: Context, *arguments: str) -> None:
    """Run the operator command with the addresses of the scenario's entry instances."""
    options = [part for address in context.addresses for part in ("--entry", address)]
    context.finished = subprocess.run(
        [sys.executable, "-m", "wasabiwell_cli.main", *options, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@given("a fake entry instance that {mode}")
def step_fake_entry(context: Context, mode: str) -> None:
    if "store" not in context:
        context.store, context.addresses = Store(), []
    if mode == "is down":
        context.addresses.append(f"127.0.0.1:{free_ports()[0]}")
        return
    server = context.stack.enter_context(running_entry(context.store, mode))
    context.addresses.append(server.address)


@when("the example configuration is applied")
def step_apply_example(context: Context) -> None:
    run_command(context, "apply", "tests/cli/small.json")


@when('the command is run with "{arguments}"')
def step_run_command(context: Context, arguments: str) -> None:
    run_command(context, *arguments.split())


@then('the command exits with code {code:d} and prints "{text}"')
def step_exit_code_and_output(context: Context, code: int, text: str) -> None:
    output = context.finished.stdout + context.finished.stderr
    assert context.finished.returncode == code, (context.finished.returncode, output)
    assert text in output, output
    assert "Traceback" not in output, output


@then("{applies:d} apply requests were received and version {version:d} is active")
def step_apply_count(context: Context, applies: int, version: int) -> None:
    assert (context.store.applies, context.store.version) == (applies, version), context.store


@then("no line of the output ends with an ellipsis")
def step_not_truncated(context: Context) -> None:
    usage, *lines = context.finished.stdout.splitlines()
    assert usage.startswith("Usage: "), usage
    assert len(lines) > 20, lines
    assert not [line for line in lines if line.endswith("...")], lines
