"""Steps for the settings of an entry instance."""

import os
import re
import subprocess
import sys

from behave import then, when
from behave.runner import Context

NUMBER_OPTION = re.compile(r"(--[a-z-]+) (?:INTEGER|FLOAT) (.*?)(?= --|$)")
UNITS = ("bytes", "seconds", "0 to 1", "count")


def start(context: Context, arguments: list[str], **variables: str) -> None:
    """Run the command `wasabiwell-entry` and wait for it to end."""
    context.finished = subprocess.run(
        [sys.executable, "-m", "wasabiwell_entry.main", *arguments],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        check=False,
    )


@when('the entry instance is started with "{arguments}"')
def step_start(context: Context, arguments: str) -> None:
    start(context, arguments.split())


@when('the entry instance is started with the variable "{name}" as "{value}"')
def step_variable(context: Context, name: str, value: str) -> None:
    start(context, [], **{name: value})


@then("the entry command ends with code {code:d} and names")
def step_names(context: Context, code: int) -> None:
    assert context.finished.returncode == code, context.finished
    places = [line.partition(":")[0] for line in context.finished.stderr.splitlines()]
    assert sorted(places) == context.text.splitlines(), context.finished.stderr


@then('the entry command names "{line}"')
def step_include(context: Context, line: str) -> None:
    assert line in context.finished.stderr.splitlines(), context.finished.stderr


@then("each line of help for a number has a unit and a default")
def step_help(context: Context) -> None:
    options = NUMBER_OPTION.findall(" ".join(context.finished.stdout.split()))
    assert len(options) >= 4, context.finished.stdout
    for name, text in options:
        assert any(unit in text for unit in UNITS), (name, text)
        assert "default: " in text, (name, text)
        assert "env var: WASABIWELL_" in text, (name, text)


@then('the entry command prints "{text}"')
def step_output(context: Context, text: str) -> None:
    assert text in context.finished.stdout, context.finished
