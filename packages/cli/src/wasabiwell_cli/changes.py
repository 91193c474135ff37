"""Encoding and display of the differences between the running configuration and a file."""

import difflib

import click
import msgspec
from wasabiwell_config import Items

from wasabiwell_cli.output import GREEN, RED

Changes = dict[str, bytes | None]


def encode_changes(changes: Changes) -> dict[str, msgspec.Raw | None]:
    """Return the changes in their JSON form; a removed item maps to null."""
    return {path: None if value is None else msgspec.Raw(value) for path, value in changes.items()}


def print_changes(running_items: Items, changes: Changes) -> None:
    """Print a unified diff of each changed item."""
    for path in sorted(changes):
        value = changes[path]
        old_lines = _lines(running_items.get(path))
        for line in difflib.unified_diff(old_lines, _lines(value), path, path, lineterm="", n=2):
            colour = GREEN if line.startswith("+") else RED if line.startswith("-") else None
            click.echo(click.style(line, fg=colour) if colour else line)


def _lines(value: bytes | None) -> list[str]:
    return [] if value is None else msgspec.json.format(value, indent=2).decode().splitlines()
