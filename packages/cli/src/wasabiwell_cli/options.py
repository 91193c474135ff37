"""Options and arguments shared by several commands."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from wasabiwell_config import Configuration, Findings, load

from wasabiwell_cli.const import EXIT_INVALID
from wasabiwell_cli.errors import CommandError

CommandFunction = Callable[..., Any]


def json_option(function: CommandFunction) -> CommandFunction:
    """Add the flag `--json`; it also applies to error messages, see `CommandError.show`."""

    def set_json(context: click.Context, _: click.Parameter, value: bool) -> bool:
        context.find_root().meta["json"] = value
        return value

    decorator = click.option(
        "--json", "as_json", is_flag=True, is_eager=True, callback=set_json, help="Print JSON."
    )
    return decorator(function)


def file_argument(function: CommandFunction) -> CommandFunction:
    """Add the argument FILE; `-` is stdin."""
    decorator: Callable[[CommandFunction], CommandFunction] = click.argument(
        "file", type=click.Path(allow_dash=True)
    )
    return decorator(function)


def load_file(file: str) -> Configuration:
    """Load and validate a configuration file; raises `CommandError` with all findings."""
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
