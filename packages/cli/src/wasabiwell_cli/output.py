"""Printing of JSON, tables and colours; `click.echo` drops colours outside a terminal."""

from collections.abc import Sequence
from typing import Any

import click
import msgspec

GREEN, YELLOW, RED = "green", "yellow", "red"


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table; columns are as wide as their widest cell, so nothing is truncated."""
    cells = [[("-" if cell is None else str(cell)) for cell in row] for row in rows]
    widths = [
        max(len(click.unstyle(row[column])) for row in [list(headings), *cells])
        for column in range(len(headings))
    ]
    for index, row in enumerate([list(headings), *cells]):
        line = "  ".join(
            cell + " " * (width - len(click.unstyle(cell)))
            for cell, width in zip(row, widths, strict=True)
        )
        click.echo(click.style(line.rstrip(), bold=True) if index == 0 else line.rstrip())


def coloured(text: str, colour: str) -> str:
    """Return a text with the escape codes of a terminal colour."""
    return click.style(text, fg=colour)
