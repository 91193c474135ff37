"""Subcommand `diff`."""

import click
from wasabiwell_config import changed_items, items_of

from wasabiwell_cli.changes import encode_changes, print_changes
from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.options import file_argument, json_option, load_file
from wasabiwell_cli.output import print_json


@click.command()
@file_argument
@json_option
@click.pass_obj
def diff(client: AdminClient, file: str, as_json: bool) -> None:
    """Show what applying a configuration file would change.

    The exit code is 0 even if there are changes.
    """
    desired = items_of(load_file(file))
    running = client.running_configuration()
    changes = changed_items(running.encoded_items(), desired)
    if as_json:
        print_json({"version": running.version, "changes": encode_changes(changes)})
        return
    print_changes(running.encoded_items(), changes)
    click.echo(f"{len(changes)} items differ from version {running.version}")
