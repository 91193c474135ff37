"""Subcommand `trace`."""

from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from wasabiwell_cli.client import AdminClient, AdminResponse
from wasabiwell_cli.const import EXIT_NOT_FOUND
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.fleet import list_members, send_to_all
from wasabiwell_cli.log_files import collect_request_log
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json, print_table


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@json_option
@click.pass_obj
def trace(client: AdminClient, request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show how a request was handled.

    REQUEST_ID is the id in its response. With FILES, its lines in these log files are shown, merged
    over all entry instances and sorted by time. Without FILES, all entry instances are queried and
    the record that the instance that served the request keeps of recent requests is shown.
    """
    if files:
        _print_request_log(request_id, files, as_json)
        return
    value = _fetch_record(client, request_id)
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
            _format_seconds(item["started_s"]),
            _format_seconds(item["ended_s"]),
            item["outcome"],
            item["reason"],
        )
        for item in request["attempts"]
    ]
    print_table(("ATTEMPT", "TARGET", "STARTED, S", "ENDED, S", "OUTCOME", "REASON"), rows)


def _print_request_log(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    request_log = collect_request_log(request_id, files)
    notes = [f"{path}: {count} unreadable lines" for path, count in request_log.unreadable.items()]
    notes += [
        f"the clock of {node} is at least {lag.total_seconds():.3f} s behind"
        for node, lag in request_log.clock_lags.items()
    ]
    if request_log.suppressed_lines:
        notes.append(
            f"{request_log.suppressed_lines} lines were suppressed by the log's rate limit"
        )
    if not request_log.lines:
        raise CommandError(
            EXIT_NOT_FOUND, f"no log line of request {request_id} was found", tuple(notes)
        )
    if as_json:
        lines = [
            {"time": line.time.isoformat(), "node": line.node, "name": line.name, **line.fields}
            for line in request_log.lines
        ]
        print_json({"lines": lines, "notes": notes})
        return
    first = request_log.lines[0].time
    rows = [
        (f"{(line.time - first).total_seconds():.3f}", line.node, line.name, line.text())
        for line in request_log.lines
    ]
    click.echo(f"request {request_id}, from {first.isoformat()}")
    print_table(("SECONDS", "NODE", "EVENT", "FIELDS"), rows)
    for note in notes:
        click.echo(note)


def _fetch_record(client: AdminClient, request_id: str) -> dict[str, Any]:
    addresses = [str(member["caller_address"]) for member in list_members(client)]
    path = f"trace/{quote(request_id, safe='')}"
    failures = []
    for address, outcome in send_to_all(client, addresses, "GET", path):
        match outcome:
            case AdminResponse(status=200) as response:
                value: dict[str, Any] = response.json()
                return value
            case AdminResponse(status=404):
                continue
            case _:
                failures.append(f"{address} did not respond")
    message = f"no entry instance that responded has a record of request {request_id}"
    raise CommandError(EXIT_NOT_FOUND, message, tuple(failures))


def _format_seconds(value: float | None) -> str | None:
    return None if value is None else f"{value:.3f}"
