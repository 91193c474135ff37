"""Subcommand `evacuate`."""

import click
from wasabiwell_config import (
    Configuration,
    EvacuatedZone,
    items_of,
    validate,
)

from wasabiwell_cli.changes import Changes
from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.commands.apply import apply_changes
from wasabiwell_cli.const import EXIT_INVALID
from wasabiwell_cli.errors import CommandError
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import print_json


@click.command()
@click.argument("zone")
@click.option("--end", is_flag=True, help="Return the zone to service.")
@json_option
@click.pass_obj
def evacuate(client: AdminClient, zone: str, end: bool, as_json: bool) -> None:
    """Send no new requests to the targets of a zone.

    ZONE is an availability zone. Running requests continue. The evacuation is a part of the
    configuration and lasts until it is ended, or until a configuration file without it is applied.
    """
    configuration = Configuration(evacuated_zones=(EvacuatedZone(name=zone),))
    ((path, value),) = items_of(configuration).items()
    findings = validate(configuration)
    if findings:
        lines = tuple(f"{finding.place}: {finding.message}" for finding in findings)
        raise CommandError(EXIT_INVALID, f"{zone!r} is no name of a zone", lines)
    running = client.running_configuration()
    version, desired = running.version, running.encoded_items()
    changed = (path in desired) == end
    if changed:
        change: Changes = {path: None if end else value}
        desired = {**desired, path: value}
        if end:
            del desired[path]
        version = apply_changes(client, version, change, desired)
    if as_json:
        print_json({"zone": zone, "evacuated": not end, "changed": changed, "version": version})
    else:
        state = "returns to service" if end else "is evacuated"
        click.echo(f"zone {zone} {state}, configuration version {version}")
