"""Command `apply`."""

import sys

import click
import msgspec
from wasabiwell_config import Items, changed_items, items_of

from wasabiwell_cli.changes import Changes, encode_changes, print_changes
from wasabiwell_cli.client import AdminClient, Reply, ReplyLost, Unreachable, refused
from wasabiwell_cli.const import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_UNCERTAIN,
    EXIT_UNREACHABLE,
)
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.options import file_argument, json_option, load_file
from wasabiwell_cli.output import print_json

UNCERTAIN = "it is not known whether the change was made, compare with `wasabiwell diff`"


@click.command()
@file_argument
@click.option(
    "--base-version",
    type=click.IntRange(0),
    help="Version that the file was made from; items that others changed since are a conflict. "
    "Without it the running version is the base and the file replaces what others changed.",
)
@click.option("--dry-run", is_flag=True, help="Show the changes and apply nothing.")
@click.option("--yes", is_flag=True, help="Ask for no confirmation on a terminal.")
@json_option
@click.pass_obj
def apply(
    client: AdminClient,
    file: str,
    base_version: int | None,
    dry_run: bool,
    yes: bool,
    as_json: bool,
) -> None:
    """Put a configuration file in force.

    The changes are shown first; on a terminal a confirmation is asked for.
    """
    wanted = items_of(load_file(file))
    running = client.running()
    changes = changed_items(running.encoded_items(), wanted)
    base = running.version if base_version is None else base_version
    if base > running.version:
        message = f"--base-version {base} is newer than the running version {running.version}"
        raise CommandError(EXIT_CONFLICT, message)
    if not as_json:
        print_changes(running.encoded_items(), changes)
    if not changes or dry_run:
        _report(as_json, "unchanged" if not changes else "dry run", running.version, changes)
        return
    asks = sys.stdin.isatty() and sys.stdout.isatty() and not yes and not as_json
    if asks and not click.confirm(f"Apply {len(changes)} changed items?"):
        raise click.Abort
    version = _send(client, base, changes, wanted)
    _report(as_json, "accepted", version, changes)


def _report(as_json: bool, outcome: str, version: int, changes: Changes) -> None:
    if as_json:
        encoded = encode_changes(changes)
        print_json({"outcome": outcome, "version": version, "changes": encoded})
        return
    match outcome:
        case "unchanged":
            click.echo(f"version {version} is the same")
        case "dry run":
            click.echo(f"{len(changes)} items would change, version {version} stays in force")
        case _:
            click.echo(f"version {version} is accepted, {len(changes)} items changed")


def _send(client: AdminClient, base: int, changes: Changes, wanted: Items) -> int:
    """Send the changes to one entry instance after the other until one takes them.

    A next instance gets them only when the one before surely made no change.
    """
    body = msgspec.json.encode({"base_version": base, "changes": encode_changes(changes)})
    reasons: list[str] = []
    for address in client.addresses:
        match client.send_to(address, "POST", "configuration", body):
            case Reply(status=200) as reply:
                return int(reply.value()["version"])
            case Unreachable(reason=reason):
                reasons.append(reason)
            case Reply(status=503) as reply:
                reasons.append(f"{address}: {reply.value().get('reason', 'unavailable')}")
            case Reply(status=504) as reply:
                return _settle(client, wanted, f"{address}: {reply.value().get('reason', '')}")
            case ReplyLost(reason=reason):
                return _settle(client, wanted, reason)
            case Reply() as reply:
                raise _not_applied(reply)
    raise CommandError(EXIT_UNREACHABLE, f"nothing was applied: {'; '.join(reasons)}")


def _settle(client: AdminClient, wanted: Items, reason: str) -> int:
    version = client.settled_version(wanted)
    if version is None:
        raise CommandError(EXIT_UNCERTAIN, f"{reason}; {UNCERTAIN}")
    return version


def _not_applied(reply: Reply) -> CommandError:
    value = reply.value()
    match value:
        case {"outcome": "conflict", "version": version, "paths": paths}:
            message = (
                f"others changed these items, version {version} is in force: read it and merge"
            )
            return CommandError(EXIT_CONFLICT, message, tuple(paths))
        case {"outcome": "invalid", "findings": findings}:
            lines = tuple(f"{item['place']}: {item['message']}" for item in findings)
            return CommandError(EXIT_INVALID, f"{reply.address} refused the changes", lines)
    return refused(reply)
