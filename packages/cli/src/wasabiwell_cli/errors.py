"""Error that ends the command with an exit code."""

import sys
from typing import IO, Any

import click
import msgspec


class CommandError(click.ClickException):
    """Ends the command with an exit code; `findings` are printed as lines above the message."""

    def __init__(self, exit_code: int, message: str, findings: tuple[str, ...] = ()) -> None:
        super().__init__(message)
        self.exit_code = exit_code  # type: ignore[misc]
        self.findings = findings
        context = click.get_current_context(silent=True)
        self._as_json = context is not None and context.find_root().meta.get("json", False)

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the error to stderr, as JSON if `--json` was given."""
        if self._as_json:
            value = {
                "exit_code": self.exit_code,
                "message": self.message,
                "findings": self.findings,
            }
            click.echo(msgspec.json.encode({"error": value}), file=file or sys.stderr)
            return
        for finding in self.findings:
            click.echo(finding, file=file or sys.stderr)
        click.echo(click.style(f"error: {self.message}", fg="red"), file=file or sys.stderr)
