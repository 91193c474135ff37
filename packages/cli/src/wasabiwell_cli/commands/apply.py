"""Subcommand `apply`."""

import sys

import click
import msgspec
from wasabiwell_config import Items, changed_items, items_of

from wasabiwell_cli.changes import Changes, encode_changes, print_changes
from wasabiwell_cli.client import (
    AdminClient,
    AdminResponse,
    ResponseLost,
    Unreachable,
    error_from_response,
)
from wasabiwell_cli.const import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_UNCERTAIN,
    EXIT_UNREACHABLE,
)
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.options import file_argument, json_option, load_file
from wasabiwell_cli.output import print_json

OUTCOME_UNKNOWN = "the outcome of the change is unknown, compare with `wasabiwell diff`"


@click.command()
@file_argument
@click.option(
    "--base-version",
    type=click.IntRange(0),
    help="Version that the file is based on; items that others changed since are a conflict. "
    "Without it, the running version is the base and the file overwrites other changes.",
)
@click.option("--dry-run", is_flag=True, help="Show the changes without applying them.")
@click.option("--yes", is_flag=True, help="Apply without asking for confirmation.")
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
    """Apply a configuration file.

    The changes are shown first; on a terminal, the command asks for confirmation.
    """
    desired = items_of(load_file(file))
    running = client.running_configuration()
    changes = changed_items(running.encoded_items(), desired)
    base = running.version if base_version is None else base_version
    if base > running.version:
        message = f"--base-version {base} is newer than the running version {running.version}"
        raise CommandError(EXIT_CONFLICT, message)
    if not as_json:
        print_changes(running.encoded_items(), changes)
    if not changes or dry_run:
        _report(as_json, "unchanged" if not changes else "dry run", running.version, changes)
        return
    ask_confirmation = sys.stdin.isatty() and sys.stdout.isatty() and not yes and not as_json
    if ask_confirmation and not click.confirm(f"Apply {len(changes)} changed items?"):
        raise click.Abort
    version = apply_changes(client, base, changes, desired)
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
            click.echo(f"{len(changes)} items would change, version {version} stays active")
        case _:
            click.echo(f"version {version} is accepted, {len(changes)} items changed")


def apply_changes(client: AdminClient, base: int, changes: Changes, desired: Items) -> int:
    """Send the changes to an entry instance and return the version that contains them.

    The next address is only tried when the previous instance certainly made no change. When the
    outcome is unknown, the changes may be active already, so the running configuration decides.
    """
    body = msgspec.json.encode({"base_version": base, "changes": encode_changes(changes)})
    reasons: list[str] = []
    for address in client.addresses:
        match client.send_to(address, "POST", "configuration", body):
            case AdminResponse(status=200) as response:
                return int(response.json()["version"])
            case Unreachable(reason=reason):
                reasons.append(reason)
            case AdminResponse(status=503) as response:
                reasons.append(f"{address}: {response.json().get('reason', 'unavailable')}")
            case AdminResponse(status=504) as response:
                return _confirm(client, desired, f"{address}: {response.json().get('reason', '')}")
            case ResponseLost(reason=reason):
                return _confirm(client, desired, reason)
            case AdminResponse() as response:
                raise _apply_error(response)
    raise CommandError(EXIT_UNREACHABLE, f"nothing was applied: {'; '.join(reasons)}")


def _confirm(client: AdminClient, desired: Items, reason: str) -> int:
    version = client.wait_for_items(desired)
    if version is None:
        raise CommandError(EXIT_UNCERTAIN, f"{reason}; {OUTCOME_UNKNOWN}")
    return version


def _apply_error(response: AdminResponse) -> CommandError:
    value = response.json()
    match value:
        case {"outcome": "conflict", "version": version, "paths": paths}:
            message = f"others changed these items; version {version} is active: fetch it and merge"
            return CommandError(EXIT_CONFLICT, message, tuple(paths))
        case {"outcome": "invalid", "findings": findings}:
            lines = tuple(f"{item['place']}: {item['message']}" for item in findings)
            return CommandError(EXIT_INVALID, f"{response.address} rejected the changes", lines)
    return error_from_response(response)
