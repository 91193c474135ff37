"""Command `trace`."""

from typing import Any
from urllib.parse import quote

import click

from wasabiwell_cli.client import AdminClient, Reply
from wasabiwell_cli.const import EXIT_NOT_FOUND
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.fleet import members, send_to_all
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json, print_table


@click.command()
@click.argument("request_id")
@json_option
@click.pass_obj
def trace(client: AdminClient, request_id: str, as_json: bool) -> None:
    """Show the record of a recent request.

    REQUEST_ID is the X-Request-Id of its answer. The record is kept by the entry instance that
    served the request; all of them are asked.
    """
    value = _find(client, request_id)
    if as_json:
        print_json(value)
        return
    request = value["request"]
    click.echo(f"request {request_id} at {value['node_id']}, {request['received_at']}")
    for name in ("kind", "organisation", "service", "size", "outcome", "run", "message", "tokens"):
        if request[name] not in ("", None):
            click.echo(f"  {name}: {request[name]}")
    for name in ("admission_wait_s", "first_token_s", "total_s"):
        if request[name] is not None:
            click.echo(f"  {name.removesuffix('_s').replace('_', ' ')}: {request[name]:.3f} s")
    rows = [
        (
            item["attempt_id"],
            item["target_id"],
            _seconds(item["started_s"]),
            _seconds(item["ended_s"]),
            item["outcome"],
            item["reason"],
        )
        for item in request["attempts"]
    ]
    print_table(("ATTEMPT", "TARGET", "STARTED, S", "ENDED, S", "OUTCOME", "REASON"), rows)


def _find(client: AdminClient, request_id: str) -> dict[str, Any]:
    addresses = [str(member["caller_address"]) for member in members(client)]
    path = f"trace/{quote(request_id, safe='')}"
    silent = []
    for address, outcome in send_to_all(client, addresses, "GET", path):
        match outcome:
            case Reply(status=200) as reply:
                value: dict[str, Any] = reply.value()
                return value
            case Reply(status=404):
                continue
            case _:
                silent.append(f"{address} did not answer")
    message = f"no entry instance that answered has a record of request {request_id}"
    raise CommandError(EXIT_NOT_FOUND, message, tuple(silent))


def _seconds(value: float | None) -> str | None:
    return None if value is None else f"{value:.3f}"
