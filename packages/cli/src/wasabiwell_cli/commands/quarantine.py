"""Subcommand `quarantine`."""

from urllib.parse import quote

import click

from wasabiwell_cli.client import AdminClient, require_success
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json, print_table


@click.group()
def quarantine() -> None:
    """List and release requests suspected of crashing targets."""


@quarantine.command("list")
@json_option
@click.pass_obj
def list_suspects(client: AdminClient, as_json: bool) -> None:
    """List suspected and quarantined requests by fingerprint."""
    value = client.get_json("quarantine")
    if as_json:
        print_json(value)
        return
    rows = [
        (
            suspect["fingerprint"],
            "quarantined" if suspect["quarantined"] else "suspect",
            ", ".join(suspect["targets"]),
        )
        for suspect in value["suspects"]
    ]
    print_table(("FINGERPRINT", "STATE", "TARGETS"), rows)


@quarantine.command()
@click.argument("fingerprint")
@json_option
@click.pass_obj
def release(client: AdminClient, fingerprint: str, as_json: bool) -> None:
    """Release a request from quarantine, so that it can run again."""
    path = f"quarantine/{quote(fingerprint, safe='')}"
    response = require_success(client.send("DELETE", path))
    if as_json:
        print_json(response.json())
    else:
        click.echo(f"{fingerprint} is released")
