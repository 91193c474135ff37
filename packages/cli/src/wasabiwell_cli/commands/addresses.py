"""Command `addresses`."""

import click

from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.fleet import members
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json


@click.command()
@click.option("--zone", default="", help="Only entry instances of this availability zone.")
@json_option
@click.pass_obj
def addresses(client: AdminClient, zone: str, as_json: bool) -> None:
    """Print the addresses of entries that take new work."""
    found = [
        str(member["caller_address"])
        for member in members(client)
        if member["status"] in ("alive", "suspect") and zone in ("", member["zone"])
    ]
    if as_json:
        print_json({"addresses": found})
        return
    for address in found:
        click.echo(address)
