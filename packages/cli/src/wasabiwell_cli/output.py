"""Output of the command; `click.echo` drops colours when the output is no terminal."""

from collections.abc import Sequence
from typing import Any

import click
import msgspec

GOOD, WARN, BAD = "green", "yellow", "red"


def print_json(value: Any) -> None:
    """Print a value as JSON on several lines."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows below headings, each column as wide as its widest cell; nothing is cut off."""
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
    """Return a text in a colour."""
    return click.style(text, fg=colour)
