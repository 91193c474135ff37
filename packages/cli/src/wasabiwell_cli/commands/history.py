"""Subcommand `history`."""

import click

from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json, print_table


@click.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@json_option
@click.pass_obj
def history(client: AdminClient, limit: int, as_json: bool) -> None:
    """List recent configuration versions, newest first.

    An entry instance keeps the versions of about the last 1,000 changes since it started.
    """
    value = client.get_json(f"configuration/history?limit={limit}")
    if as_json:
        print_json(value)
        return
    rows = [
        (entry["version"] if index == 0 else "", path)
        for entry in value["versions"]
        for index, path in enumerate(entry["paths"])
    ]
    print_table(("VERSION", "CHANGED"), rows)
