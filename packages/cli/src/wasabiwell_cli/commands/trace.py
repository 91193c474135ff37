"""Command `trace`."""

from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from wasabiwell_cli.client import AdminClient, Reply
from wasabiwell_cli.const import EXIT_NOT_FOUND
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.fleet import members, send_to_all
from wasabiwell_cli.log_files import find_request
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json, print_table


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@json_option
@click.pass_obj
def trace(client: AdminClient, request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show what became of a request.

    REQUEST_ID is the id of its answer. With FILES, the lines of these log files that tell of it are
    shown in the order of time, of all entry instances together. Without, the record of a recent
    request is shown, which the entry instance keeps that served it; all of them are asked.
    """
    if files:
        _show_lines(request_id, files, as_json)
        return
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


def _show_lines(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    story = find_request(request_id, files)
    notes = [f"{path}: {count} unreadable lines" for path, count in story.unreadable.items()]
    notes += [
        f"the clock of {node} is at least {behind.total_seconds():.3f} s behind"
        for node, behind in story.clock_differences.items()
    ]
    if story.left_out:
        notes.append(f"{story.left_out} lines were left out under load")
    if not story.lines:
        raise CommandError(EXIT_NOT_FOUND, f"no line tells of request {request_id}", tuple(notes))
    if as_json:
        lines = [
            {"time": line.time.isoformat(), "node": line.node, "name": line.name, **line.fields}
            for line in story.lines
        ]
        print_json({"lines": lines, "notes": notes})
        return
    first = story.lines[0].time
    rows = [
        (f"{(line.time - first).total_seconds():.3f}", line.node, line.name, line.text())
        for line in story.lines
    ]
    click.echo(f"request {request_id}, from {first.isoformat()}")
    print_table(("SECONDS", "NODE", "EVENT", "FIELDS"), rows)
    for note in notes:
        click.echo(note)


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
