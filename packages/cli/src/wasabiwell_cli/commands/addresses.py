"""Subcommand `addresses`."""

import click

from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.fleet import list_members
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json


@click.command()
@click.option("--zone", default="", help="Only entry instances of this availability zone.")
@json_option
@click.pass_obj
def addresses(client: AdminClient, zone: str, as_json: bool) -> None:
    """Print addresses of entry instances that accept new requests."""
    selected = [
        str(member["caller_address"])
        for member in list_members(client)
        if member["status"] in ("alive", "suspect") and zone in ("", member["zone"])
    ]
    if as_json:
        print_json({"addresses": selected})
        return
    for address in selected:
        click.echo(address)
