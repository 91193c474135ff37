"""Subcommand `show`."""

import click
from wasabiwell_config import Findings, configuration_from_items, render

from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.const import EXIT_FAILED, EXIT_NOT_FOUND
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json


@click.command()
@click.argument("path", default="")
@json_option
@click.pass_obj
def show(client: AdminClient, path: str, as_json: bool) -> None:
    """Print the running configuration as input for `apply`.

    PATH selects one item (organisation/NAME) or all items of one kind (organisation). With --json,
    the version and the items by path are printed.
    """
    running = client.running_configuration()
    items = {
        name: value
        for name, value in running.items.items()
        if not path or name == path or name.startswith(f"{path}/")
    }
    if path and not items:
        raise CommandError(EXIT_NOT_FOUND, f"version {running.version} has no item {path}")
    if as_json:
        print_json({"version": running.version, "items": items})
    elif path in items:
        print_json(items[path])
    else:
        encoded = {name: bytes(value) for name, value in items.items()}
        match configuration_from_items(encoded):
            case Findings(findings=findings):
                lines = tuple(str(finding) for finding in findings)
                raise CommandError(
                    EXIT_FAILED, "this command is older than the entry instances", lines
                )
            case configuration:
                click.echo(render(configuration), nl=False)
