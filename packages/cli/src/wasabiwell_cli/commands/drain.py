"""Subcommand `drain`."""

from urllib.parse import quote

import click

from wasabiwell_cli.client import (
    AdminClient,
    AdminResponse,
    ResponseLost,
    Unreachable,
    require_success,
)
from wasabiwell_cli.const import EXIT_NOT_FOUND, EXIT_PARTIAL
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.fleet import list_members, member_address, send_to_all
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json


@click.group()
def drain() -> None:
    """Take an entry instance or a target out of service.

    Running requests are not aborted.
    """


@drain.command()
@click.argument("name")
@json_option
@click.pass_obj
def entry(client: AdminClient, name: str, as_json: bool) -> None:
    """Stop an entry instance after its running requests have finished."""
    address = member_address(client, name)
    response = require_success(client.send_to(address, "POST", "drain"))
    if as_json:
        print_json(response.json())
    else:
        click.echo(f"{name} is draining; its process exits when its requests have finished")


@drain.command()
@click.argument("name")
@json_option
@click.pass_obj
def target(client: AdminClient, name: str, as_json: bool) -> None:
    """Stop sending new requests to a target; running requests continue.

    The drain is requested from every entry instance. It is forgotten when all of them restart, so
    stop the target or remove it from the instance list afterwards.
    """
    addresses = [str(item["caller_address"]) for item in list_members(client)]
    path = f"targets/{quote(name, safe='')}/drain"
    confirmed, not_found, failures = [], [], []
    for address, outcome in send_to_all(client, addresses, "POST", path):
        match outcome:
            case AdminResponse(status=202):
                confirmed.append(address)
            case AdminResponse(status=404):
                not_found.append(address)
            case AdminResponse(status=status):
                failures.append(f"{address}: status {status}")
            case Unreachable(reason=reason) | ResponseLost(reason=reason):
                failures.append(reason)
    if not_found and not confirmed:
        raise CommandError(EXIT_NOT_FOUND, f"no target has the id {name}", tuple(failures))
    if failures:
        message = (
            f"{len(confirmed)} entry instances confirmed the drain of {name},"
            f" {len(failures)} did not"
        )
        raise CommandError(EXIT_PARTIAL, message, tuple(failures))
    if as_json:
        print_json({"draining": name, "confirmed_by": confirmed, "unknown_at": not_found})
    else:
        click.echo(f"{name} gets no new requests; {len(confirmed)} entry instances confirmed")
