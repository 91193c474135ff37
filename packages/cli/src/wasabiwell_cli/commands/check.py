"""Subcommand `check`."""

import click

from wasabiwell_cli.options import file_argument, json_option, load_file
from wasabiwell_cli.output import print_json


@click.command()
@file_argument
@json_option
def check(file: str, as_json: bool) -> None:
    """Validate a configuration file; no entry instance is needed."""
    load_file(file)
    if as_json:
        print_json({"valid": True})
    else:
        click.echo("the configuration is valid")
