"""Subcommand `completion`."""

import click
from click.shell_completion import get_completion_class

from wasabiwell_cli.const import EXIT_FAILED
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json

PROGRAM = "wasabiwell"
COMPLETION_VARIABLE = "_WASABIWELL_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@json_option
@click.pass_context
def completion(context: click.Context, shell: str, as_json: bool) -> None:
    """Print the completion script for a shell.

    For bash: wasabiwell completion bash > ~/.local/share/bash-completion/completions/wasabiwell
    """
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise CommandError(EXIT_FAILED, f"completion is not available for {shell}")
    script = completion_class(
        context.find_root().command, {}, PROGRAM, COMPLETION_VARIABLE
    ).source()
    if as_json:
        print_json({"shell": shell, "script": script})
    else:
        click.echo(script)
