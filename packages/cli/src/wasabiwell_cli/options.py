"""Options and arguments that several commands share."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from wasabiwell_config import Configuration, Findings, load

from wasabiwell_cli.const import EXIT_INVALID
from wasabiwell_cli.errors import CommandError

Decorated = Callable[..., Any]


def json_option(function: Decorated) -> Decorated:
    """Add the flag `--json`, which failures see too."""

    def remember(context: click.Context, _: click.Parameter, value: bool) -> bool:
        context.find_root().meta["json"] = value
        return value

    flag = click.option(
        "--json", "as_json", is_flag=True, is_eager=True, callback=remember, help="Print JSON."
    )
    return flag(function)


def file_argument(function: Decorated) -> Decorated:
    """Add the argument FILE; `-` stands for the standard input."""
    argument: Callable[[Decorated], Decorated] = click.argument(
        "file", type=click.Path(allow_dash=True)
    )
    return argument(function)


def load_file(file: str) -> Configuration:
    """Return the configuration of a file; raises `CommandError` with all findings."""
    try:
        data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        raise CommandError(EXIT_INVALID, f"{file} cannot be read: {error.strerror}") from None
    match load(data):
        case Findings(findings=findings):
            lines = tuple(str(finding) for finding in findings)
            noun = "finding" if len(lines) == 1 else "findings"
            raise CommandError(EXIT_INVALID, f"{len(lines)} {noun} in {file}", lines)
        case configuration:
            return configuration
