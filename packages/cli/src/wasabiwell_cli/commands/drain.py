"""Command `drain`."""

from urllib.parse import quote

import click

from wasabiwell_cli.client import AdminClient, Reply, ReplyLost, Unreachable, accepted
from wasabiwell_cli.const import EXIT_NOT_FOUND, EXIT_PARTIAL
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.fleet import member_address, members, send_to_all
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json


@click.group()
def drain() -> None:
    """Take an entry instance or a target out of service.

    No request is cut off.
    """


@drain.command()
@click.argument("name")
@json_option
@click.pass_obj
def entry(client: AdminClient, name: str, as_json: bool) -> None:
    """Let an entry instance finish its requests and stop."""
    address = member_address(client, name)
    reply = accepted(client.send_to(address, "POST", "drain"))
    if as_json:
        print_json(reply.value())
    else:
        click.echo(f"{name} is leaving; its process ends when its requests are done")


@drain.command()
@click.argument("name")
@json_option
@click.pass_obj
def target(client: AdminClient, name: str, as_json: bool) -> None:
    """Give a target no new work; running requests go on.

    Each entry instance is told. The mark is lost when all of them restart, so stop the target or
    take it off the instance list afterwards.
    """
    addresses = [str(item["caller_address"]) for item in members(client)]
    path = f"targets/{quote(name, safe='')}/drain"
    done, unknown, failed = [], [], []
    for address, outcome in send_to_all(client, addresses, "POST", path):
        match outcome:
            case Reply(status=202):
                done.append(address)
            case Reply(status=404):
                unknown.append(address)
            case Reply(status=status):
                failed.append(f"{address}: status {status}")
            case Unreachable(reason=reason) | ReplyLost(reason=reason):
                failed.append(reason)
    if unknown and not done:
        raise CommandError(EXIT_NOT_FOUND, f"no target has the id {name}", tuple(failed))
    if failed:
        message = (
            f"{len(done)} entry instances confirmed the drain of {name}, {len(failed)} did not"
        )
        raise CommandError(EXIT_PARTIAL, message, tuple(failed))
    if as_json:
        print_json({"draining": name, "confirmed_by": done, "unknown_at": unknown})
    else:
        click.echo(f"{name} gets no new work; {len(done)} entry instances confirmed")
